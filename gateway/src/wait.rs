//! Requests that wait for a free slot at a target, in the order of the backlog.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use decision::gateway::backlog::{Backlog, Lane, Waiter};
use decision::gateway::balance::{Choice, Forecast, Key, Requirements};
use decision::prelude::*;
use decision::request::Ticket;
use tokio::sync::oneshot;
use tokio::time::timeout_at;

use crate::refusal::Denial;
use crate::slot::Slot;
use crate::state::Shared;

/// Result of a wait: a slot at a target, or the reason why there is none.
type Admission<P> = Result<Slot<P>, Denial>;

/// A request in the backlog.
struct Waiting<P> {
    service: Arc<str>,
    requirements: Requirements,
    /// Time by which the first token is expected.
    first_token_due: Time,
    sender: oneshot::Sender<Admission<P>>,
}

/// Queue of the requests that wait at this entry.
pub(crate) struct WaitQueue<P> {
    backlog: Mutex<Backlog<Waiting<P>>>,
}

impl<P> Default for WaitQueue<P> {
    fn default() -> WaitQueue<P> {
        WaitQueue { backlog: Mutex::default() }
    }
}

impl<P> WaitQueue<P> {
    fn backlog(&self) -> MutexGuard<'_, Backlog<Waiting<P>>> {
        self.backlog.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of requests that wait.
    pub(crate) fn len(&self) -> usize {
        self.backlog().len()
    }

    /// Returns whether a request waits in `lane`, so that a new one has to wait behind it.
    pub(crate) fn has_waiting(&self, lane: &Lane) -> bool {
        self.backlog().has_waiting(lane)
    }
}

/// Why a request leaves the backlog.
enum Outcome {
    Placed(Key, Forecast),
    NoTarget,
}

/// Removes a request from the backlog on drop, also when its caller disconnects during the wait.
struct RemoveOnDrop<'a, P> {
    shared: &'a Shared<P>,
    ticket: Ticket,
}

impl<P> Drop for RemoveOnDrop<'_, P> {
    fn drop(&mut self) {
        self.shared.wait_queue.backlog().remove(self.ticket);
    }
}

/// Waits for a slot at a target until `until`.
///
/// # Errors
///
/// Returns [`Denial::Busy`] with the retry delay `retry_after` if no slot is free by then or the
/// backlog is full, and [`Denial::NoTarget`] if the request has no target any more.
pub(crate) async fn wait<P>(
    shared: &Shared<P>,
    waiter: Waiter,
    requirements: Requirements,
    (until, retry_after): (Time, Duration),
) -> Admission<P> {
    let started = shared.now();
    let first_token_due = started + requirements.objective;
    let (sender, mut receiver) = oneshot::channel();
    let waiting = Waiting { service: waiter.lane.0.clone(), requirements, first_token_due, sender };
    let Some(ticket) = shared.wait_queue.backlog().push(waiter, waiting) else {
        shared.metrics.count("rhubarblatch_waits_total", "outcome=\"full\"");
        return Err(Denial::Busy(retry_after));
    };
    shared.slot_freed.notify_one();
    let remove_on_drop = RemoveOnDrop { shared, ticket };
    let received = timeout_at(shared.clock.instant(until), &mut receiver).await;
    drop(remove_on_drop);
    let result = match received {
        Ok(Ok(admission)) => admission,
        // The request may have been dispatched between the timeout and its removal.
        Ok(Err(_)) | Err(_) => receiver.try_recv().unwrap_or(Err(Denial::Busy(retry_after))),
    };
    let outcome = if result.is_ok() { "outcome=\"placed\"" } else { "outcome=\"refused\"" };
    shared.metrics.count("rhubarblatch_waits_total", outcome);
    shared.metrics.time("rhubarblatch_wait_seconds", "", shared.now().since(started));
    result
}

/// Dispatches waiting requests whenever a slot may have become free, until the process ends.
pub(crate) async fn run<P>(shared: Arc<Shared<P>>) {
    loop {
        shared.slot_freed.notified().await;
        dispatch(&shared);
    }
}

fn dispatch<P>(shared: &Arc<Shared<P>>) {
    let now = shared.now();
    let mut backlog = shared.wait_queue.backlog();
    if backlog.is_empty() {
        return;
    }
    let mut balancer = shared.balance();
    let dispatched = backlog.dispatch(|it| {
        let requirements =
            Requirements { objective: it.first_token_due.since(now), ..it.requirements.clone() };
        match balancer.choose(now, &it.service, &requirements) {
            Choice::Send(key, forecast) => Some(Outcome::Placed(key, forecast)),
            Choice::NoTarget => Some(Outcome::NoTarget),
            Choice::Busy(_) => None,
        }
    });
    let with_targets = dispatched.into_iter().map(|(waiting, outcome)| {
        let target = match &outcome {
            Outcome::Placed(key, _) => {
                let terms = balancer.terms(*key, waiting.requirements.patience());
                balancer.target(*key).cloned().zip(terms)
            }
            Outcome::NoTarget => None,
        };
        (waiting, outcome, target)
    });
    let with_targets: Vec<_> = with_targets.collect();
    drop((backlog, balancer));
    for (waiting, outcome, target) in with_targets {
        let admission = match (outcome, target) {
            (Outcome::Placed(key, forecast), Some((target, terms))) => Ok(Slot::new(
                shared.clone(),
                (key, target, terms),
                forecast,
                waiting.requirements.prompt_tokens,
            )),
            _ => Err(Denial::NoTarget),
        };
        // If the receiver is gone, dropping the slot releases it.
        drop(waiting.sender.send(admission));
    }
}
