//! Requests whose response is read as a whole before it is sent to the caller.

use decision::gateway::balance::Completion;
use decision::gateway::continuation::Rejection;
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

/// An attempt that another one may follow times out after the objective of its route times this.
const ATTEMPT_TIMEOUT_OBJECTIVES: u32 = 2;

/// The result of one attempt.
enum Attempt<P> {
    /// The target sent a response for the caller. It has its slot as long as it goes on.
    Answered(Box<response::Parts>, Content, Option<Box<Slot<P>>>),
    /// The target did not run the request. Holds the reason.
    NotRun(Reason),
    /// The target may have run the request. Holds the reason.
    Unknown(Reason),
}

/// Sends a request to targets until there is a response or no attempt is left. Returns the response
/// to the caller.
pub(crate) async fn run<P: Platform>(mut job: Job<P>) -> http::Response<Answer> {
    let mut unknown_status: Option<StatusCode> = None;
    loop {
        let slot = match job.acquire_slot(false).await {
            Ok(slot) => slot,
            Err(denial) => return give_up(&job, denial, unknown_status),
        };
        let target = slot.target.id.clone();
        let attempt = send(&mut job, slot).await;
        match attempt {
            Attempt::Answered(head, content, slot) => {
                let is_error = head.status.is_server_error();
                if is_error && may_retry(&job) {
                    unknown_status = Some(StatusCode::BAD_GATEWAY);
                    continue;
                }
                return content::forward(job, slot, &target, *head, content);
            }
            Attempt::NotRun(_) if job.shared.now() < job.deadline => {
                if job.excluded.len() > MAX_REFUSALS {
                    return give_up(&job, Denial::NoTarget, unknown_status);
                }
            }
            Attempt::NotRun(_) => return give_up(&job, Denial::DeadlinePassed, unknown_status),
            Attempt::Unknown(reason) => {
                let status = match reason {
                    Reason::NoResponse => StatusCode::GATEWAY_TIMEOUT,
                    _ => StatusCode::BAD_GATEWAY,
                };
                if may_retry(&job) {
                    unknown_status = Some(status);
                    continue;
                }
                return fail_unknown(&job, &target, status);
            }
        }
    }
}

/// A request that the last target did not run is given up once more targets than this are excluded.
const MAX_REFUSALS: usize = 3;

/// Returns whether a request that a target may have run may be retried.
fn may_retry<P: Platform>(job: &Job<P>) -> bool {
    job.route.is_idempotent() && job.may_retry() && job.shared.now() < job.deadline
}

/// Ends a request without a further attempt. If an earlier attempt may have run it, the response
/// has the status `unknown_status`. Else the request is denied, which means that it has not run.
fn give_up<P: Platform>(
    job: &Job<P>,
    denial: Denial,
    unknown_status: Option<StatusCode>,
) -> http::Response<Answer> {
    match unknown_status {
        Some(status) => fail_unknown(job, "", status),
        None => job.deny(denial),
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

/// Makes one attempt, and logs its failure.
async fn send<P: Platform>(job: &mut Job<P>, mut slot: Slot<P>) -> Attempt<P> {
    let request = job.outgoing(&slot, None);
    job.record_sent(&slot);
    let shared = job.shared.clone();
    let now = shared.now();
    let is_last =
        !job.route.is_idempotent() || job.attempted.len() as u32 >= job.route.max_attempts;
    let deadline = match is_last {
        true => job.deadline,
        false => (now + job.route.objective * ATTEMPT_TIMEOUT_OBJECTIVES).min(job.deadline),
    };
    let deadline = shared.clock.instant(deadline);
    let context = Exchange::new(job);
    let attempt = timeout_at(deadline, exchange(&context, &slot, request)).await;
    let (attempt, completion) =
        attempt.unwrap_or((Attempt::Unknown(Reason::NoResponse), Completion::Failed));
    job.record_arrival(
        slot.key,
        match attempt {
            Attempt::NotRun(reason) => Some(reason),
            Attempt::Answered(..) | Attempt::Unknown(_) => None,
        },
    );
    match attempt {
        Attempt::Answered(head, content @ Content::Part(_), _) => {
            return Attempt::Answered(head, content, Some(Box::new(slot)));
        }
        Attempt::Answered(..) => {
            quarantine::record_answer(&shared, &mut slot, &job.head.prompt);
        }
        Attempt::NotRun(reason) => job.record_failure(&slot, reason, "no"),
        Attempt::Unknown(reason) => job.record_failure(&slot, reason, "unknown"),
    }
    slot.finish(completion);
    attempt
}

/// Sends `request` and reads the response. Also returns how the attempt ended for the target.
async fn exchange<P: Platform>(
    context: &Exchange<P>,
    slot: &Slot<P>,
    request: Outgoing,
) -> (Attempt<P>, Completion) {
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
