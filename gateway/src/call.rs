//! Requests whose response is read as a whole before it is sent to the caller.

use decision::gateway::balance::{Completion, Key};
use decision::gateway::continuation::Rejection;
use http::{Response, StatusCode, response};
use tokio::time::timeout_at;

use crate::body::Answer;
use crate::content::{self, Content};
use crate::error::Call;
use crate::pool::Connection;
use crate::port::{self, Platform, Run};
use crate::quarantine;
use crate::reason::Reason;
use crate::refusal::{Denial, Refusal};
use crate::request::{Job, Times, remove_hop_by_hop};
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
pub(crate) async fn run<P: Platform>(mut job: Job<P>) -> Response<Answer> {
    let mut unknown_status: Option<StatusCode> = None;
    loop {
        let slot = match job.acquire_slot(false).await {
            Ok(slot) => slot,
            Err(denial) => return give_up(&job, denial, unknown_status),
        };
        let (key, target) = (slot.key, slot.target.id.clone());
        let attempt = send(&mut job, slot).await;
        match attempt {
            Attempt::Answered(head, content, slot) => {
                let is_error = head.status.is_server_error();
                if is_error && job.route.is_idempotent() && prepare_retry(&mut job, key) {
                    unknown_status = Some(StatusCode::BAD_GATEWAY);
                    continue;
                }
                return content::forward(job, slot, &target, *head, content);
            }
            Attempt::NotRun(_) if job.shared.now() < job.deadline => {
                job.excluded.push(key);
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
                if job.route.is_idempotent() && prepare_retry(&mut job, key) {
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

/// Excludes the target `key`, which may have run the request, from further attempts, and counts it
/// as attempted. Returns whether the request may be retried.
fn prepare_retry<P: Platform>(job: &mut Job<P>, key: Key) -> bool {
    job.excluded.push(key);
    job.attempted.push(key);
    job.may_retry() && job.shared.now() < job.deadline
}

/// Ends a request without a further attempt. If an earlier attempt may have run it, the response
/// has the status `unknown_status`. Else the request is denied, which means that it has not run.
fn give_up<P: Platform>(
    job: &Job<P>,
    denial: Denial,
    unknown_status: Option<StatusCode>,
) -> Response<Answer> {
    match unknown_status {
        Some(status) => fail_unknown(job, "", status),
        None => job.deny(denial),
    }
}

/// Logs and returns a failure of a request that a target may have run.
fn fail_unknown<P: Platform>(job: &Job<P>, target: &str, status: StatusCode) -> Response<Answer> {
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
        !job.route.is_idempotent() || job.attempted.len() as u32 + 1 >= job.route.max_attempts;
    let deadline = match is_last {
        true => job.deadline,
        false => (now + job.route.objective * ATTEMPT_TIMEOUT_OBJECTIVES).min(job.deadline),
    };
    let deadline = shared.clock.instant(deadline);
    let exchange = exchange(job, &slot, request);
    let attempt = timeout_at(deadline, exchange).await;
    let (attempt, completion) =
        attempt.unwrap_or((Attempt::Unknown(Reason::NoResponse), Completion::Failed));
    job.record_arrival(match attempt {
        Attempt::NotRun(reason) => Some(reason),
        Attempt::Answered(..) | Attempt::Unknown(_) => None,
    });
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
    job: &Job<P>,
    slot: &Slot<P>,
    request: crate::port::Outgoing,
) -> (Attempt<P>, Completion) {
    let connection = if job.route.is_idempotent() { Connection::Reused } else { Connection::New };
    let sent = job.shared.targets.send(slot.target.address, request, connection).await;
    let response = match sent {
        Ok(response) => response,
        Err(Call::Connect(_)) => {
            return (Attempt::NotRun(Reason::CannotConnect), Completion::Failed);
        }
        Err(Call::Unsent) => {
            return (Attempt::NotRun(Reason::ConnectionClosed), Completion::Failed);
        }
        Err(Call::Large) => return (Attempt::Unknown(Reason::LargeHead), Completion::Failed),
        Err(Call::Malformed(_)) => {
            return (Attempt::Unknown(Reason::MalformedHead), Completion::Failed);
        }
        Err(_) => return (Attempt::Unknown(Reason::ConnectionBroke), Completion::Failed),
    };
    let (mut head, body) = response.into_parts();
    let Some(answer) = read_head(&job.shared.platform, &mut head) else {
        return (Attempt::Unknown(Reason::MalformedHead), Completion::Failed);
    };
    job.apply_target_state(slot, &answer);
    if answer.id.as_ref().is_some_and(|it| *it != job.head.id) {
        return (Attempt::Unknown(Reason::OtherRequest), Completion::Failed);
    }
    if answer.id.is_none() && needs_id(answer.run, connection) {
        return (Attempt::Unknown(Reason::NoRequest), Completion::Failed);
    }
    match answer.run {
        Run::Refused => return (Attempt::NotRun(Reason::Refused), Completion::Refused),
        Run::Misdirected => return (Attempt::NotRun(Reason::OtherInstance), Completion::Failed),
        Run::Possible => {}
    }
    if answer.encoded {
        return (Attempt::Unknown(Reason::Encoded), Completion::Failed);
    }
    if head.status.is_success() && !answer.has_stamp {
        return (Attempt::Unknown(Reason::Rejected(Rejection::NoStamp)), Completion::Failed);
    }
    match content::read(&job.shared.buffer_limiter, body).await {
        Some(content) => (Attempt::Answered(Box::new(head), content, None), Completion::Answered),
        None => (Attempt::Unknown(Reason::ResponseBrokeOff), Completion::Failed),
    }
}

/// Reads the head of a response and removes the headers of its connection. Returns `None` if the head
/// lists headers there that say what the response is, as its caller would not get these.
pub(crate) fn read_head<P: Platform>(
    platform: &P,
    head: &mut response::Parts,
) -> Option<port::Answer> {
    let answer = platform.answer(head);
    let listed = remove_hop_by_hop(&mut head.headers);
    (listed == 0 || platform.answer(head) == answer).then_some(answer)
}

/// Returns whether a response must name its request. On a reused connection it may belong to an
/// earlier one, also if it says that the request did not run.
pub(crate) fn needs_id(run: Run, connection: Connection) -> bool {
    run == Run::Possible || connection == Connection::Reused
}
