//! Requests whose response is read as a whole before it is sent to the caller.

use std::sync::Arc;

use decision::gateway::balance::Completion;
use decision::gateway::continuation::Rejection;
use decision::prelude::*;
use http::{StatusCode, response};
use tokio::time::timeout_at;

use crate::body::Answer;
use crate::content::{self, Content};
use crate::exchange::{Exchange, Failure, Response};
use crate::port::{Outgoing, Platform};
use crate::quarantine;
use crate::reason::Reason;
use crate::refusal::{Denial, Refusal};
use crate::request::{Job, Times};
use crate::slot::Slot;
use crate::takeover::{Race, Sign, race};

/// An attempt that another one may follow is slow after the objective of its route times this.
const ATTEMPT_TIMEOUT_OBJECTIVES: u32 = 2;

/// Response of a target for the caller.
struct Found<P> {
    target: Arc<str>,
    head: Box<response::Parts>,
    content: Content,
    /// The slot of the target as long as it goes on.
    slot: Option<Box<Slot<P>>>,
}

/// Why no target responds.
enum End {
    /// No target is available. One that was asked before may have run the request.
    Denied(Denial),
    /// Targets may have run the request. The last one, if it is known, and the status for the caller.
    Unknown(Arc<str>, StatusCode),
}

/// The result of one attempt.
enum Attempt<P> {
    /// The target sent a response for the caller. It has its slot as long as it goes on.
    Answered(Box<response::Parts>, Content, Option<Box<Slot<P>>>),
    /// The target did not run the request. Holds the reason.
    NotRun(Reason),
    /// The target may have run the request. Holds the reason.
    Unknown(Reason),
    /// The target was slow or failed, and another one was asked in its place.
    Replaced(Result<Found<P>, End>),
}

/// Sends a request to targets until there is a response or no attempt is left. Returns the response
/// to the caller.
pub(crate) async fn run<P: Platform>(mut job: Job<P>) -> http::Response<Answer> {
    match ask(&mut job).await {
        Ok(Found { target, head, content, slot }) => {
            content::forward(job, slot, &target, *head, content)
        }
        Err(End::Denied(denial)) if job.attempted.is_empty() => job.deny(denial),
        Err(End::Denied(_)) => fail_unknown(&job, "", StatusCode::BAD_GATEWAY),
        Err(End::Unknown(target, status)) => fail_unknown(&job, &target, status),
    }
}

/// Logs and returns a failure of a request that a target may have run.
fn fail_unknown<P: Platform>(
    job: &Job<P>,
    target: &str,
    status: StatusCode,
) -> http::Response<Answer> {
    job.record_end(target, status, "unknown", Times::default());
    Refusal::new(status, "the attempt failed").response()
}

/// Makes attempts until one has a response or none is left. A target that is slow is kept until
/// another one has responded.
async fn ask<P: Platform>(job: &mut Job<P>) -> Result<Found<P>, End> {
    let mut unknown_status = None;
    loop {
        let slot = acquire_slot(job, unknown_status).await?;
        let target = slot.target.id.clone();
        let attempt = attempt(job, slot).await;
        if let Some(result) = conclude(job, target, attempt, &mut unknown_status) {
            return result;
        }
    }
}

/// Does the same as [`ask`] for a request that another target has, which is slow. A target that is slow
/// too is left while others may follow.
async fn ask_elsewhere<P: Platform>(job: &mut Job<P>) -> Result<Found<P>, End> {
    let mut unknown_status = None;
    loop {
        let slot = acquire_slot(job, unknown_status).await?;
        let target = slot.target.id.clone();
        let attempt = attempt_takeover(job, slot).await;
        if let Some(result) = conclude(job, target, attempt, &mut unknown_status) {
            return result;
        }
    }
}

/// Chooses the next target. If an earlier attempt may have run the request, `unknown_status` is the
/// status that its caller gets without another one.
async fn acquire_slot<P: Platform>(
    job: &mut Job<P>,
    unknown_status: Option<StatusCode>,
) -> Result<Slot<P>, End> {
    job.acquire_slot(false).await.map_err(|it| end(it, unknown_status))
}

fn end(denial: Denial, unknown_status: Option<StatusCode>) -> End {
    match unknown_status {
        Some(status) => End::Unknown("".into(), status),
        None => End::Denied(denial),
    }
}

/// A request that the last target did not run is given up once it was sent to more targets than this.
const MAX_REFUSALS: usize = 3;

/// Decides whether `attempt` is the last one. Returns the result of the request if it is.
fn conclude<P: Platform>(
    job: &Job<P>,
    target: Arc<str>,
    attempt: Attempt<P>,
    unknown_status: &mut Option<StatusCode>,
) -> Option<Result<Found<P>, End>> {
    let has_time = job.shared.now() < job.deadline;
    let may_retry = job.route.is_idempotent() && job.may_retry() && has_time;
    match attempt {
        Attempt::Answered(head, _, _) if head.status.is_server_error() && may_retry => {
            *unknown_status = Some(StatusCode::BAD_GATEWAY);
            None
        }
        Attempt::Answered(head, content, slot) => Some(Ok(Found { target, head, content, slot })),
        Attempt::Replaced(result) => Some(result),
        Attempt::NotRun(_) if !has_time => Some(Err(end(Denial::DeadlinePassed, *unknown_status))),
        Attempt::NotRun(_) if job.excluded.len() > MAX_REFUSALS => {
            Some(Err(end(Denial::NoTarget, *unknown_status)))
        }
        Attempt::NotRun(_) => None,
        Attempt::Unknown(reason) => {
            let status = match reason {
                Reason::NoResponse => StatusCode::GATEWAY_TIMEOUT,
                _ => StatusCode::BAD_GATEWAY,
            };
            *unknown_status = Some(status);
            (!may_retry).then_some(Err(End::Unknown(target, status)))
        }
    }
}

/// Makes one attempt, and logs its failure. If the target is slow, another one may take over.
async fn attempt<P: Platform>(job: &mut Job<P>, slot: Slot<P>) -> Attempt<P> {
    let request = job.outgoing(&slot, None);
    job.record_sent(&slot);
    let context = Exchange::new(job);
    let clock = context.shared.clock;
    let result = {
        let exchange = exchange(&context, &slot, request);
        tokio::pin!(exchange);
        let prompt = timeout_at(clock.instant(patience(job)), exchange.as_mut()).await.ok();
        let replaced = match prompt {
            None if job.begin_takeover(slot.key) => {
                let sign = |(attempt, _): &Outcome<P>| sign(&context, attempt);
                match race(exchange.as_mut(), ask_elsewhere(job), sign).await {
                    Race::Kept(result) => {
                        job.record_kept(&slot, "it has responded");
                        Ok(Some(result))
                    }
                    Race::Alone(end) => {
                        job.record_kept(&slot, end.name());
                        Ok(None)
                    }
                    Race::TakenOver(failure, found) => Err((failure, Ok(found))),
                    Race::Lost(failure, end) => Err((Some(failure), Err(end))),
                }
            }
            prompt => Ok(prompt),
        };
        match replaced {
            Ok(Some(result)) => Ok(result),
            Ok(None) => Ok(timeout_at(clock.instant(job.deadline), exchange)
                .await
                .unwrap_or_else(|_| no_response())),
            Err(replaced) => Err(replaced),
        }
    };
    match result {
        Ok(result) => finish(job, slot, result),
        Err((failure, result)) => {
            let target = slot.target.id.clone();
            match (finish(job, slot, failure.unwrap_or_else(no_response)), result) {
                // The failure of a target is an answer for the caller.
                (Attempt::Answered(head, content, slot), Err(_)) => {
                    Attempt::Replaced(Ok(Found { target, head, content, slot }))
                }
                (_, result) => Attempt::Replaced(result),
            }
        }
    }
}

/// Makes one attempt in place of another one, and logs its failure.
async fn attempt_takeover<P: Platform>(job: &mut Job<P>, slot: Slot<P>) -> Attempt<P> {
    let request = job.outgoing(&slot, None);
    job.record_sent(&slot);
    let context = Exchange::new(job);
    let deadline = context.shared.clock.instant(patience(job));
    let result = timeout_at(deadline, exchange(&context, &slot, request)).await;
    finish(job, slot, result.unwrap_or_else(|_| no_response()))
}

/// Returns until when an attempt that begins now is waited for alone: until the deadline, unless another
/// one may follow.
fn patience<P: Platform>(job: &Job<P>) -> Time {
    match job.route.is_idempotent() && job.may_retry() {
        true => {
            let slow = job.route.objective * ATTEMPT_TIMEOUT_OBJECTIVES;
            (job.shared.now() + slow).min(job.deadline)
        }
        false => job.deadline,
    }
}

/// Tells what the result of an attempt at a slow target means.
fn sign<P>(context: &Exchange<P>, attempt: &Attempt<P>) -> Sign {
    match attempt {
        Attempt::Answered(head, ..) if !head.status.is_server_error() => {
            Sign::GoesOn(context.shared.clock.instant(context.shared.now()))
        }
        _ => Sign::Failed,
    }
}

fn no_response<P>() -> Outcome<P> {
    (Attempt::Unknown(Reason::NoResponse), Completion::Failed)
}

impl End {
    /// Returns the reason in the log.
    fn name(&self) -> &'static str {
        match self {
            End::Denied(Denial::RetryBudgetSpent) => "budget spent",
            End::Denied(Denial::Quarantined) => "quarantined",
            End::Denied(_) => "no target left",
            End::Unknown(..) => "failed elsewhere",
        }
    }
}

/// Releases the slot of an attempt that is over, and logs its failure.
fn finish<P: Platform>(
    job: &mut Job<P>,
    mut slot: Slot<P>,
    (attempt, completion): Outcome<P>,
) -> Attempt<P> {
    let not_run = match attempt {
        Attempt::NotRun(reason) => Some(reason),
        _ => None,
    };
    job.record_arrival(slot.key, not_run);
    match attempt {
        Attempt::Answered(head, content @ Content::Part(_), _) => {
            return Attempt::Answered(head, content, Some(Box::new(slot)));
        }
        Attempt::Answered(..) => {
            quarantine::record_answer(&job.shared, &mut slot, &job.head.prompt);
        }
        Attempt::NotRun(reason) => job.record_failure(&slot, reason, "no"),
        Attempt::Unknown(reason) => job.record_failure(&slot, reason, "unknown"),
        Attempt::Replaced(_) => {}
    }
    slot.finish(completion);
    attempt
}

/// The result of an attempt, and how it ended for the target.
type Outcome<P> = (Attempt<P>, Completion);

/// Sends `request` and reads the response.
async fn exchange<P: Platform>(
    context: &Exchange<P>,
    slot: &Slot<P>,
    request: Outgoing,
) -> Outcome<P> {
    let Response { head, body, answer } = match context.send(slot, request).await {
        Ok(response) => response,
        Err(failure) => return (failure.into(), failure.completion()),
    };
    if head.status.is_success() && !answer.has_stamp {
        return (Attempt::Unknown(Reason::Rejected(Rejection::NoStamp)), Completion::Failed);
    }
    match content::read(&context.shared.buffer_limiter, body).await {
        Some(content) => (Attempt::Answered(Box::new(head), content, None), Completion::Answered),
        None => (Attempt::Unknown(Reason::ResponseBrokeOff), Completion::Failed),
    }
}

impl<P> From<Failure> for Attempt<P> {
    fn from(failure: Failure) -> Attempt<P> {
        match failure {
            Failure::NotRun(reason) => Attempt::NotRun(reason),
            Failure::Unknown(reason) => Attempt::Unknown(reason),
        }
    }
}
