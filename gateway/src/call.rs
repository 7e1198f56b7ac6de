//! Requests whose answer is one whole body.

use bytes::Bytes;
use decision::gateway::balance::Completion;
use http::{Response, StatusCode, header, response};
use http_body_util::{BodyExt as _, Limited};
use tokio::time::timeout_at;

use crate::body::Answer;
use crate::error::Call;
use crate::pool::{Connection, Reply};
use crate::port::{Platform, Run};
use crate::refusal::{Denial, Refusal};
use crate::request::{Job, Times, strip};
use crate::slot::Slot;

/// Largest body of an answer that is gathered, in bytes.
const MAX_ANSWER: usize = 16 << 20;

/// Objectives that an attempt may take while there is another one.
const ATTEMPT_OBJECTIVES: u32 = 2;

/// What came of one attempt.
enum Attempt {
    /// An answer for the caller.
    Answered(Box<response::Parts>, Bytes),
    /// The target did not run it.
    NotRun(&'static str),
    /// The target may have run it.
    Unknown(&'static str),
}

/// Sends a request until it has an answer, and answers the caller.
pub(crate) async fn run<P: Platform>(mut job: Job<P>) -> Response<Answer> {
    let mut unknown: Option<StatusCode> = None;
    loop {
        let place = match job.place(false).await {
            Ok(place) => place,
            Err(denial) => return give_up(&job, denial, unknown),
        };
        let (key, id) = (place.key, place.target.id.clone());
        let attempt = send(&mut job, place).await;
        match attempt {
            Attempt::Answered(head, body) => {
                let error = head.status.is_server_error();
                if error && job.route.is_idempotent() && repeat(&mut job, key, true) {
                    unknown = Some(StatusCode::BAD_GATEWAY);
                    continue;
                }
                job.ended(&id, head.status, "answered", Times::default());
                return answer(*head, body);
            }
            Attempt::NotRun(_) if job.shared.now() < job.deadline => {
                job.avoid.push(key);
                if job.avoid.len() > MAX_REFUSALS {
                    return give_up(&job, Denial::Nothing, unknown);
                }
            }
            Attempt::NotRun(_) => return give_up(&job, Denial::Late, unknown),
            Attempt::Unknown(reason) => {
                let status = match reason {
                    "no answer in time" => StatusCode::GATEWAY_TIMEOUT,
                    _ => StatusCode::BAD_GATEWAY,
                };
                if job.route.is_idempotent() && repeat(&mut job, key, true) {
                    unknown = Some(status);
                    continue;
                }
                return broken(&job, &id, status);
            }
        }
    }
}

/// Targets that may refuse a request before it is given up.
const MAX_REFUSALS: usize = 3;

/// Whether there is one more attempt, after `key` may have run the request.
fn repeat<P: Platform>(job: &mut Job<P>, key: decision::gateway::balance::Key, ran: bool) -> bool {
    job.avoid.push(key);
    if ran {
        job.tried.push(key);
    }
    job.may_repeat() && job.shared.now() < job.deadline
}

fn give_up<P: Platform>(
    job: &Job<P>,
    denial: Denial,
    unknown: Option<StatusCode>,
) -> Response<Answer> {
    match unknown {
        Some(status) => broken(job, "", status),
        None => job.deny(denial),
    }
}

fn broken<P: Platform>(job: &Job<P>, target: &str, status: StatusCode) -> Response<Answer> {
    job.ended(target, status, "unknown", Times::default());
    Refusal::new(status, "the attempt failed").answer()
}

/// Makes one attempt.
async fn send<P: Platform>(job: &mut Job<P>, place: Slot<P>) -> Attempt {
    let request = job.outgoing(&place, None);
    job.sent(&place);
    let shared = job.shared.clone();
    let now = shared.now();
    let last = !job.route.is_idempotent() || job.tried.len() as u32 + 1 >= job.route.max_attempts;
    let until = match last {
        true => job.deadline,
        false => (now + job.route.objective * ATTEMPT_OBJECTIVES).min(job.deadline),
    };
    let until = shared.clock.instant(until);
    let exchange = exchange(job, &place, request);
    let attempt = timeout_at(until, exchange).await;
    let (attempt, end) =
        attempt.unwrap_or((Attempt::Unknown("no answer in time"), Completion::Failed));
    match &attempt {
        Attempt::Answered(..) => {}
        Attempt::NotRun(reason) => job.failed(&place, reason, "no"),
        Attempt::Unknown(reason) => job.failed(&place, reason, "unknown"),
    }
    place.finish(end);
    attempt
}

async fn exchange<P: Platform>(
    job: &Job<P>,
    place: &Slot<P>,
    request: crate::port::Outgoing,
) -> (Attempt, Completion) {
    let channel = if job.route.is_idempotent() { Connection::Reused } else { Connection::New };
    let sent = job.shared.targets.send(place.target.address, request, channel).await;
    let response = match sent {
        Ok(response) => response,
        Err(Call::Connect(_)) => return (Attempt::NotRun("cannot connect"), Completion::Failed),
        Err(Call::Unsent) => return (Attempt::NotRun("connection closed"), Completion::Failed),
        Err(_) => return (Attempt::Unknown("connection broke"), Completion::Failed),
    };
    let (head, body) = response.into_parts();
    let answer = job.shared.platform.answer(&head);
    job.heed(place, &answer);
    if answer.id.as_ref().is_some_and(|it| *it != job.head.id) {
        return (Attempt::Unknown("answer to another request"), Completion::Failed);
    }
    match answer.run {
        Run::Refused => return (Attempt::NotRun("target refused"), Completion::Refused),
        Run::Misdirected => return (Attempt::NotRun("another instance"), Completion::Failed),
        Run::Ran if answer.id.is_none() => {
            return (Attempt::Unknown("answer to no request"), Completion::Failed);
        }
        Run::Ran => {}
    }
    match whole(body).await {
        Some(body) if !answer.encoded => {
            (Attempt::Answered(Box::new(head), body), Completion::Answered)
        }
        Some(_) => (Attempt::Unknown("answer is encoded"), Completion::Failed),
        None => (Attempt::Unknown("answer broke off"), Completion::Failed),
    }
}

pub(crate) async fn whole(body: Reply) -> Option<Bytes> {
    let body = Limited::new(body, MAX_ANSWER).collect().await;
    body.ok().map(|it| it.to_bytes())
}

/// The target's answer, as the caller gets it.
pub(crate) fn answer(mut head: response::Parts, body: Bytes) -> Response<Answer> {
    strip(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    let mut response = Response::new(Answer::whole(body));
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    response
}
