//! Bodies of responses that are kept as a whole, as far as there is memory for them.
//!
//! What a target sends has no bound of its own. A body that is larger than may be kept is passed on
//! while it arrives, at the pace of its caller, and can then no longer be replaced by that of
//! another target.

use bytes::Bytes;
use decision::gateway::balance::Completion;
use decision::prelude::*;
use http::{HeaderValue, Response, StatusCode, header, response};
use http_body_util::BodyExt as _;
use hyper::body::Body as _;
use tokio::time::timeout_at;

use crate::body::{Answer, Disconnected, Sender};
use crate::journal::Event;
use crate::memory::Limiter;
use crate::pool::Reply;
use crate::port::Platform;
use crate::progress::Stage;
use crate::quarantine;
use crate::reason::Reason;
use crate::request::{ENTRY_ENDS, Job, STOP_COUNTER, Times};
use crate::slot::Slot;

/// Largest number of bytes of an answer that are read ahead of its caller, beyond what was kept.
const MAX_READ_AHEAD_BYTES: u32 = 64 << 10;

/// Body of a response, as far as it was read.
pub(crate) enum Content {
    /// The complete body.
    Whole(Bytes),
    /// The beginning of a body that is larger than may be kept.
    Part(Box<Part>),
}

/// The beginning of a body, and its source.
pub(crate) struct Part {
    /// What was kept.
    kept: Bytes,
    /// What was read and not kept.
    next: Bytes,
    rest: Reply,
    /// Length of the whole body, if it has one.
    length: Option<u64>,
}

/// Reads a body to its end, or as far as `limiter` has memory for it. Returns `None` if it breaks
/// off.
pub(crate) async fn read(limiter: &Limiter, mut body: Reply) -> Option<Content> {
    let length = body.size_hint().exact();
    let mut hold = limiter.hold_answer()?;
    while let Some(frame) = body.frame().await {
        let Ok(next) = frame.ok()?.into_data() else { continue };
        if hold.push(&next).is_err() {
            let part = Part { kept: hold.into_bytes(), next, rest: body, length };
            return Some(Content::Part(Box::new(part)));
        }
    }
    Some(Content::Whole(hold.into_bytes()))
}

/// Converts the response of a target, whose head was read, into the one to the caller, and
/// logs the end of the request. `slot` is the target's if it is still occupied.
pub(crate) fn forward<P: Platform>(
    job: Job<P>,
    slot: Option<Box<Slot<P>>>,
    target: &str,
    mut head: response::Parts,
    content: Content,
) -> Response<Answer> {
    head.headers.remove(header::CONTENT_LENGTH);
    let answer = match content {
        Content::Whole(bytes) => {
            job.record_end(target, head.status, "answered", Times::default());
            Answer::whole(bytes)
        }
        Content::Part(part) => {
            if let Some(length) = part.length {
                head.headers.insert(header::CONTENT_LENGTH, HeaderValue::from(length));
            }
            pass_on(job, slot, target, head.status, *part)
        }
    };
    let mut response = Response::new(answer);
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    response
}

/// Passes a body on in a task of its own, at the pace of its caller.
fn pass_on<P: Platform>(
    job: Job<P>,
    slot: Option<Box<Slot<P>>>,
    target: &str,
    status: StatusCode,
    part: Part,
) -> Answer {
    let shared = job.shared.clone();
    shared.metrics.count("rhubarblatch_passed_on_answers_total", "");
    let kept_bytes = part.kept.len();
    let (request, after_ms) = (&*job.head.id, job.waited_ms());
    shared.journal.note(&Event::PassedOn { request, target, kept_bytes, after_ms });
    let (sender, answer) = Answer::stream(shared.buffer_limiter.read_ahead(MAX_READ_AHEAD_BYTES));
    shared.connections.set_stage(job.connection, Stage::Streaming);
    let target = target.to_owned();
    let first_event = Some(shared.now().since(job.arrived));
    let times = Times { first_event, ..Times::default() };
    tokio::spawn(async move {
        let mut job = job;
        let result = tokio::select! {
            biased;
            () = sender.closed() => Err(Reason::CallerLeft),
            result = send(&job, part, &sender) => result,
            () = shared.stop.closing() => Err(Reason::EntryEnds),
        };
        let outcome = finish(&mut job, slot, result);
        shared.connections.set_stage(job.connection, Stage::Answered);
        job.record_end(&target, status, outcome, times);
        if result.is_err() {
            sender.fail().await;
        }
    });
    answer
}

/// Sends a body to its caller. Its target has until the deadline of the request, and as long as the
/// caller makes it wait.
async fn send<P: Platform>(job: &Job<P>, part: Part, sender: &Sender) -> Result<(), Reason> {
    let shared = &job.shared;
    let Part { mut kept, next, mut rest, .. } = part;
    let mut deadline = job.deadline;
    while !kept.is_empty() {
        let piece = kept.split_to(kept.len().min(MAX_READ_AHEAD_BYTES as usize));
        deadline = deadline + deliver(job, piece, sender).await?;
    }
    deadline = deadline + deliver(job, next, sender).await?;
    loop {
        let frame = timeout_at(shared.clock.instant(deadline), rest.frame()).await;
        let Some(frame) = frame.map_err(|_| Reason::DeadlinePassed)? else { return Ok(()) };
        let frame = frame.map_err(|_| Reason::ResponseBrokeOff)?;
        let Ok(next) = frame.into_data() else { continue };
        if shared.now() >= deadline {
            return Err(Reason::DeadlinePassed);
        }
        deadline = deadline + deliver(job, next, sender).await?;
    }
}

/// Sends a piece of a body to its caller. Returns for how long the caller had it wait.
async fn deliver<P: Platform>(
    job: &Job<P>,
    piece: Bytes,
    sender: &Sender,
) -> Result<Duration, Reason> {
    let begun = job.shared.now();
    sender.send(piece).await.map_err(|Disconnected| Reason::CallerLeft)?;
    Ok(job.shared.now().since(begun))
}

/// Releases the slot of a body that was passed on. Returns the outcome to log.
fn finish<P: Platform>(
    job: &mut Job<P>,
    slot: Option<Box<Slot<P>>>,
    result: Result<(), Reason>,
) -> &'static str {
    let (completion, outcome) = match result {
        Ok(()) => (Completion::Answered, "answered"),
        Err(Reason::CallerLeft) => (Completion::Cancelled, "left"),
        Err(Reason::EntryEnds) => {
            job.shared.metrics.count(STOP_COUNTER, "outcome=\"broken\"");
            (Completion::Cancelled, ENTRY_ENDS)
        }
        Err(_) => (Completion::Failed, "broken"),
    };
    if let Some(mut slot) = slot {
        match result {
            Ok(()) => quarantine::record_answer(&job.shared, &mut slot, &job.head.prompt),
            Err(Reason::CallerLeft) => {}
            Err(reason) => job.record_failure(&slot, reason, "unknown"),
        }
        slot.finish(completion);
    }
    outcome
}
