//! Waits of requests for a place at a target, in the order of the line.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use decision::gateway::backlog::{Backlog, Lane, Waiter};
use decision::gateway::balance::{Choice, Forecast, Key, Requirements};
use decision::prelude::*;
use decision::request::Ticket;
use tokio::sync::oneshot;
use tokio::time::timeout_at;

use crate::place::Place;
use crate::refusal::Denial;
use crate::state::Shared;

/// What a request that waits is told.
type Turn<P> = Result<Place<P>, Denial>;

/// A request that waits.
struct Waiting<P> {
    service: Arc<str>,
    ask: Requirements,
    /// When its first token is late.
    due: Time,
    told: oneshot::Sender<Turn<P>>,
}

/// The line of an entry.
pub(crate) struct Waits<P> {
    line: Mutex<Backlog<Waiting<P>>>,
}

impl<P> Default for Waits<P> {
    fn default() -> Waits<P> {
        Waits { line: Mutex::default() }
    }
}

impl<P> Waits<P> {
    fn line(&self) -> MutexGuard<'_, Backlog<Waiting<P>>> {
        self.line.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How many requests wait.
    pub(crate) fn len(&self) -> usize {
        self.line().len()
    }

    /// Whether somebody waits for the same.
    pub(crate) fn is_waited(&self, lane: &Lane) -> bool {
        self.line().has_waiting(lane)
    }
}

/// What there is for a request that waits.
enum Found {
    Place(Key, Forecast),
    Nothing,
}

/// Leaves the line when the request waits no longer, also if its caller has left.
struct Leave<'a, P> {
    shared: &'a Shared<P>,
    ticket: Ticket,
}

impl<P> Drop for Leave<'_, P> {
    fn drop(&mut self) {
        self.shared.waits.line().remove(self.ticket);
    }
}

/// Waits for a place until `until`. Who gets none is told to come back `after`.
///
/// # Errors
///
/// If there is none by then, or too many wait.
pub(crate) async fn wait<P>(
    shared: &Shared<P>,
    waiter: Waiter,
    ask: Requirements,
    (until, after): (Time, Duration),
) -> Turn<P> {
    let begun = shared.now();
    let due = begun + ask.objective;
    let (told, mut turn) = oneshot::channel();
    let waiting = Waiting { service: waiter.lane.0.clone(), ask, due, told };
    let Some(ticket) = shared.waits.line().push(waiter, waiting) else {
        shared.metrics.count("rhubarblatch_waits_total", "outcome=\"full\"");
        return Err(Denial::Busy(after));
    };
    shared.freed.notify_one();
    let leave = Leave { shared, ticket };
    let told = timeout_at(shared.clock.instant(until), &mut turn).await;
    drop(leave);
    let result = match told {
        Ok(Ok(told)) => told,
        // Its turn may have come at the last moment.
        Ok(Err(_)) | Err(_) => turn.try_recv().unwrap_or(Err(Denial::Busy(after))),
    };
    let outcome = if result.is_ok() { "outcome=\"placed\"" } else { "outcome=\"refused\"" };
    shared.metrics.count("rhubarblatch_waits_total", outcome);
    shared.metrics.time("rhubarblatch_wait_seconds", "", shared.now().since(begun));
    result
}

/// Gives those who wait what becomes free, until the process ends.
pub(crate) async fn run<P>(shared: Arc<Shared<P>>) {
    loop {
        shared.freed.notified().await;
        turn(&shared);
    }
}

fn turn<P>(shared: &Arc<Shared<P>>) {
    let now = shared.now();
    let mut line = shared.waits.line();
    if line.is_empty() {
        return;
    }
    let mut balance = shared.balance();
    let placed = line.dispatch(|it| {
        let ask = Requirements { objective: it.due.since(now), ..it.ask.clone() };
        match balance.choose(now, &it.service, &ask) {
            Choice::Send(key, forecast) => Some(Found::Place(key, forecast)),
            Choice::NoTarget => Some(Found::Nothing),
            Choice::Busy(_) => None,
        }
    });
    let targets = placed.into_iter().map(|(waiting, found)| {
        let target = match &found {
            Found::Place(key, _) => balance.target(*key).cloned(),
            Found::Nothing => None,
        };
        (waiting, found, target)
    });
    let targets: Vec<_> = targets.collect();
    drop((line, balance));
    for (waiting, found, target) in targets {
        let told = match (found, target) {
            (Found::Place(key, forecast), Some(target)) => {
                Ok(Place::new(shared.clone(), (key, target), forecast, waiting.ask.prompt_tokens))
            }
            _ => Err(Denial::Nothing),
        };
        // Who has left takes no place: it is given back.
        drop(waiting.told.send(told));
    }
}
