//! Requests whose response is a stream of events, which another target may resume.

mod open;

use bytes::Bytes;
use decision::gateway::balance::Completion;
use decision::gateway::continuation::Rejection;
use decision::prelude::*;
use http::{Response, StatusCode, header};
use http_body_util::BodyExt as _;
use hyper::body::Frame;
use tokio::time::sleep_until;

use self::open::{OpenError, Upstream, open, open_elsewhere};
use crate::body::{Answer, Delivery, Disconnected, Sender};
use crate::content;
use crate::event::Reader;
use crate::journal::Event;
use crate::port::Platform;
use crate::progress::Stage;
use crate::quarantine;
use crate::reason::Reason;
use crate::refusal::{Denial, Refusal};
use crate::request::{ENTRY_ENDS, Job, STOP_COUNTER, Times};
use crate::silence;
use crate::takeover::{Race, Sign, race};

/// Largest number of bytes of a stream that are read ahead of a slow caller. The limit is lower
/// while the entry is short of memory.
const MAX_READ_AHEAD_BYTES: u32 = 64 << 10;

/// What comes next of a body: `None` at its end.
type Received = Option<Result<Frame<Bytes>, hyper::Error>>;

/// Records when the events of a stream arrive.
#[derive(Default)]
struct EventTimer {
    times: Times,
    last_event: Option<Time>,
}

impl EventTimer {
    fn record(&mut self, now: Time, arrived: Time) {
        let gap = self.last_event.map(|it| now.since(it)).unwrap_or_default();
        self.times.first_event.get_or_insert(now.since(arrived));
        self.times.max_gap = self.times.max_gap.max(gap);
        self.last_event = Some(now);
    }
}

/// Why a target does not complete the stream.
enum Interruption<P> {
    /// The target failed. Holds the reason.
    Failed(Reason),
    /// Another target has taken over. Holds why this one was left.
    TakenOver(Reason, Box<Upstream<P>>),
    /// The target failed, and none goes on. Holds the reason and the outcome to log.
    Lost(Reason, &'static str),
}

impl<P> From<Reason> for Interruption<P> {
    fn from(reason: Reason) -> Interruption<P> {
        Interruption::Failed(reason)
    }
}

/// Sends a request to targets until one opens the stream or no attempt is left. Returns the
/// response to the caller, whose body is forwarded in a task of its own.
pub(crate) async fn run<P: Platform>(mut job: Job<P>) -> Response<Answer> {
    let mut reader = Reader::new(job.shared.buffer_limiter.clone());
    let upstream = match open(&mut job, &reader).await {
        Ok(upstream) => upstream,
        Err(OpenError::Answered(head, content)) => {
            return content::forward(job, None, "", *head, content);
        }
        Err(OpenError::Denied(denial)) if job.attempted.is_empty() => return job.deny(denial),
        Err(error) => return fail_unknown(&job, &error),
    };
    reader.begin(upstream.shown);
    let mut response = Response::new(());
    *response.status_mut() = upstream.head.status;
    *response.headers_mut() = upstream.head.headers.clone();
    response.headers_mut().remove(header::CONTENT_LENGTH);
    let (sender, answer) =
        Answer::stream(job.shared.buffer_limiter.read_ahead(MAX_READ_AHEAD_BYTES));
    job.shared.connections.set_stage(job.connection, Stage::Streaming);
    tokio::spawn(forward(job, upstream, reader, sender));
    response.map(|()| answer)
}

/// Logs and returns a failure of a request that a target may have run.
fn fail_unknown<P: Platform>(job: &Job<P>, error: &OpenError) -> Response<Answer> {
    let status = match error {
        OpenError::Denied(Denial::DeadlinePassed) => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    job.record_end("", status, "unknown", Times::default());
    Refusal::new(status, "the attempt failed").response()
}

/// Forwards events until the stream is complete, can't be resumed, or the caller disconnects.
async fn forward<P: Platform>(
    mut job: Job<P>,
    mut upstream: Upstream<P>,
    mut reader: Reader,
    sender: Sender,
) {
    let mut timer = EventTimer::default();
    loop {
        let target = upstream.slot.target.id.clone();
        let status = upstream.head.status;
        let shared = job.shared.clone();
        let result = tokio::select! {
            biased;
            () = sender.closed() => Err(Reason::CallerLeft.into()),
            result = forward_events(
                &mut job, &mut upstream, &mut reader, &mut timer, &sender
            ) => result,
            () = shared.stop.closing() => Err(Reason::EntryEnds.into()),
        };
        let times = timer.times;
        let interruption = match result {
            Ok(()) => {
                // Without a frame, the end of a crashed target's stream may look like that of a whole one.
                if upstream.body.is_framed() {
                    quarantine::record_answer(&shared, &mut upstream.slot, &job.head.prompt);
                }
                upstream.slot.finish(Completion::Answered);
                shared.connections.set_stage(job.connection, Stage::Answered);
                return job.record_end(&target, status, "answered", times);
            }
            Err(Interruption::Failed(Reason::CallerLeft)) => {
                upstream.slot.finish(Completion::Cancelled);
                return job.record_end(&target, status, "left", times);
            }
            Err(interruption) => interruption,
        };
        let (reason, next) = match interruption {
            Interruption::Failed(reason) => (reason, None),
            Interruption::TakenOver(reason, next) => (reason, Some(Ok(*next))),
            Interruption::Lost(reason, outcome) => (reason, Some(Err(outcome))),
        };
        job.record_failure(&upstream.slot, reason, "unknown");
        upstream.slot.finish(match reason {
            Reason::EntryEnds => Completion::Cancelled,
            _ => Completion::Failed,
        });
        let next = match next {
            Some(next) => next,
            None => tokio::select! {
                biased;
                () = sender.closed() => return job.record_end(&target, status, "left", times),
                next = resume(&mut job, &reader) => next,
                () = shared.stop.closing() => Err(ENTRY_ENDS),
            },
        };
        match next {
            Ok(next) => {
                shared.connections.set_stage(job.connection, Stage::Streaming);
                reader.begin(next.shown);
                upstream = next;
            }
            Err(reason) => {
                if reason == ENTRY_ENDS {
                    shared.metrics.count(STOP_COUNTER, "outcome=\"broken\"");
                }
                job.record_end(&target, status, reason, times);
                shared.connections.set_stage(job.connection, Stage::Answered);
                return sender.fail().await;
            }
        }
        let event = Event::Resumed {
            request: &job.head.id,
            target: &upstream.slot.target.id,
            last_event: reader.continuation.last_id().map(|it| &**it).unwrap_or_default(),
            after_ms: job.waited_ms(),
        };
        shared.journal.note(&event);
    }
}

/// Opens the stream at another target, to continue after the last event that the caller has.
///
/// # Errors
///
/// Returns the outcome to log if the stream can't be resumed.
async fn resume<P: Platform>(
    job: &mut Job<P>,
    reader: &Reader,
) -> Result<Upstream<P>, &'static str> {
    check_resumable(job, reader)?;
    if !job.may_retry() {
        return Err("attempts spent");
    }
    open(job, reader).await.map_err(|it| it.outcome())
}

/// Checks whether another target may continue the stream.
///
/// # Errors
///
/// Returns the outcome to log if none may.
fn check_resumable<P: Platform>(job: &Job<P>, reader: &Reader) -> Result<(), &'static str> {
    if job.shared.stop.is_closing() {
        return Err(ENTRY_ENDS);
    }
    if !job.route.is_idempotent() {
        return Err("broken");
    }
    reader.continuation.resume_point().map(drop).map_err(Rejection::name)
}

/// Checks the silence of a stream at the time `check`, not before `earliest_check`, which it sets for the
/// next time. If it has lasted too long, another target may take over. Returns the next frame if one has
/// come meanwhile.
///
/// # Errors
///
/// If the deadline has passed, another target has taken over, or both failed.
async fn check_silence<P: Platform>(
    job: &mut Job<P>,
    upstream: &mut Upstream<P>,
    reader: &Reader,
    last_received: Time,
    (check, earliest_check): (Time, &mut Time),
) -> Result<Option<Received>, Interruption<P>> {
    let now = job.shared.now();
    if now >= job.deadline {
        return Err(Reason::DeadlinePassed.into());
    }
    let grace = silence::late_timer_grace(now, check);
    if let Some(until) = grace.filter(|_| *earliest_check <= last_received) {
        *earliest_check = until;
        return Ok(None);
    }
    if !job.route.is_idempotent() || !silence::check(job, &upstream.slot, last_received) {
        return Ok(None);
    }
    // Without another target, this one may still go on: check again later.
    *earliest_check = silence::next_doubt(job);
    if check_resumable(job, reader).is_err() || !job.begin_takeover(upstream.slot.key) {
        return Ok(None);
    }
    take_over(job, upstream, reader, last_received).await
}

/// Sends what is left of a body that has ended, if the stream is complete with it.
async fn finish_body<P>(reader: &mut Reader, sender: &Sender) -> Result<(), Interruption<P>> {
    let rest = reader.end()?;
    if !rest.is_empty() {
        sender.send(rest).await.map_err(|Disconnected| Reason::CallerLeft)?;
    }
    Ok(())
}

/// Lets another target take over a stream whose target is silent. Returns the next frame of the silent
/// one if that goes on; `None` if it is still silent and has to be kept.
///
/// # Errors
///
/// If another target has taken over, or both failed.
async fn take_over<P: Platform>(
    job: &mut Job<P>,
    upstream: &mut Upstream<P>,
    reader: &Reader,
    last_received: Time,
) -> Result<Option<Received>, Interruption<P>> {
    let shared = job.shared.clone();
    // The caller notices nothing of a pause that its route allows.
    let due = last_received + job.route.max_event_gap.unwrap_or_default();
    let sign = |received: &Received| match received {
        Some(Ok(_)) => Sign::GoesOn(shared.clock.instant(due)),
        None if reader.may_end() => Sign::GoesOn(shared.clock.instant(shared.now())),
        Some(Err(_)) | None => Sign::Failed,
    };
    let other = open_elsewhere(job, reader);
    let (received, reason) = match race(upstream.body.frame(), other, sign).await {
        Race::TakenOver(None, next) => {
            return Err(Interruption::TakenOver(Reason::Silent, Box::new(next)));
        }
        Race::TakenOver(Some(_), next) => {
            return Err(Interruption::TakenOver(Reason::StreamBrokeOff, Box::new(next)));
        }
        Race::Lost(_, error) => {
            return Err(Interruption::Lost(Reason::StreamBrokeOff, error.outcome()));
        }
        Race::Kept(received) => (Some(received), "it goes on"),
        Race::Alone(error) => (None, error.outcome()),
    };
    job.record_kept(&upstream.slot, reason);
    shared.connections.set_stage(job.connection, Stage::Streaming);
    Ok(received)
}

/// Forwards the events of one target until the stream is complete.
///
/// # Errors
///
/// Returns why the stream stopped before that.
async fn forward_events<P: Platform>(
    job: &mut Job<P>,
    upstream: &mut Upstream<P>,
    reader: &mut Reader,
    timer: &mut EventTimer,
    sender: &Sender,
) -> Result<(), Interruption<P>> {
    let shared = job.shared.clone();
    let mut last_received = shared.now();
    let mut earliest_check = Time::ZERO;
    loop {
        let check = silence::next_check(job, &upstream.slot, last_received).max(earliest_check);
        let received = tokio::select! {
            biased;
            received = upstream.body.frame() => Some(received),
            () = sleep_until(shared.clock.instant(check)) => None,
        };
        let received = match received {
            Some(received) => Some(received),
            None => {
                let checks = (check, &mut earliest_check);
                check_silence(job, upstream, reader, last_received, checks).await?
            }
        };
        let Some(received) = received else { continue };
        let Some(frame) = received else { return finish_body(reader, sender).await };
        let frame = frame.map_err(|_| Reason::StreamBrokeOff)?;
        // Trailers follow a complete body, and concern the target's connection alone.
        let Ok(data) = frame.into_data() else { continue };
        last_received = shared.now();
        upstream.slot.record_activity();
        let (events, result) = reader.push(&data);
        if !events.is_empty() {
            timer.record(last_received, job.arrived);
            upstream.slot.record_event();
            quarantine::record_event(&shared, &mut upstream.slot, &job.head.prompt);
            let delivery = sender.send(events).await.map_err(|Disconnected| Reason::CallerLeft)?;
            if delivery == Delivery::Delayed {
                upstream.slot.ignore_next_gap();
            }
        }
        result?;
    }
}
