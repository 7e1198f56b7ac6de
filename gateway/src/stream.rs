//! Requests whose response is a stream of events, which another target may resume.

use decision::gateway::balance::Completion;
use decision::gateway::continuation::{Head, Rejection};
use decision::prelude::*;
use http::{Response, StatusCode, header, response};
use http_body_util::BodyExt as _;
use tokio::time::sleep_until;

use crate::body::{Answer, Delivery, Disconnected, Sender};
use crate::content::{self, Content};
use crate::event::Reader;
use crate::exchange;
use crate::journal::Event;
use crate::pool::Reply;
use crate::port::{Outgoing, Platform};
use crate::progress::Stage;
use crate::quarantine;
use crate::reason::Reason;
use crate::refusal::{Denial, Refusal};
use crate::request::{ENTRY_ENDS, Job, STOP_COUNTER, Times};
use crate::silence;
use crate::slot::Slot;

/// Largest number of bytes of a stream that are read ahead of a slow caller. The limit is lower
/// while the entry is short of memory.
const MAX_READ_AHEAD_BYTES: u32 = 64 << 10;

/// Number of targets that may fail to run the request before it is given up.
const MAX_REFUSALS: usize = 4;

/// The response of a target whose stream is being read.
struct Upstream<P> {
    slot: Slot<P>,
    head: response::Parts,
    body: Reply,
    /// What its head shows about its body.
    shown: Head,
}

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

/// Why a target opened no stream.
enum Failure {
    /// The target did not run the request. Holds the reason.
    NotRun(Reason),
    /// The target was silent, so that it is not known whether it runs the request.
    Silent,
    /// The target may have run the request. Holds the reason.
    Unknown(Reason),
    /// The target responded with a status that is no success.
    Answered(Box<response::Parts>, Content),
}

impl From<exchange::Failure> for Failure {
    fn from(failure: exchange::Failure) -> Failure {
        match failure {
            exchange::Failure::NotRun(reason) => Failure::NotRun(reason),
            exchange::Failure::Unknown(reason) => Failure::Unknown(reason),
        }
    }
}

/// Why no target opens the stream.
enum OpenError {
    /// No target is available.
    Denied(Denial),
    /// An attempt failed after which no other may follow. Holds the reason.
    Failed(Reason),
    /// A target responded with a status that is no success, which the caller gets.
    Answered(Box<response::Parts>, Content),
}

/// Sends a request to targets until one opens the stream or no attempt is left. Returns the
/// response to the caller, whose body is forwarded in a task of its own.
pub(crate) async fn run<P: Platform>(mut job: Job<P>) -> Response<Answer> {
    let mut may_have_run = false;
    let mut reader = Reader::new(job.shared.buffer_limiter.clone());
    let upstream = match open(&mut job, &reader, &mut may_have_run).await {
        Ok(upstream) => upstream,
        Err(OpenError::Answered(head, content)) => {
            return content::forward(job, None, "", *head, content);
        }
        Err(OpenError::Denied(denial)) if !may_have_run => return job.deny(denial),
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
            () = sender.closed() => Err(Reason::CallerLeft),
            result = forward_events(
                &mut job, &mut upstream, &mut reader, &mut timer, &sender
            ) => result,
            () = shared.stop.closing() => Err(Reason::EntryEnds),
        };
        let times = timer.times;
        match result {
            Ok(()) => {
                // Without a frame, the end of a crashed target's stream may look like that of a whole one.
                if upstream.body.is_framed() {
                    quarantine::record_answer(&shared, &mut upstream.slot, &job.head.prompt);
                }
                upstream.slot.finish(Completion::Answered);
                shared.connections.set_stage(job.connection, Stage::Answered);
                return job.record_end(&target, status, "answered", times);
            }
            Err(Reason::CallerLeft) => {
                upstream.slot.finish(Completion::Cancelled);
                return job.record_end(&target, status, "left", times);
            }
            Err(reason) => {
                job.record_failure(&upstream.slot, reason, "unknown");
                let key = upstream.slot.key;
                upstream.slot.finish(match reason {
                    Reason::EntryEnds => Completion::Cancelled,
                    _ => Completion::Failed,
                });
                job.excluded.push(key);
                job.attempted.push(key);
            }
        }
        let mut may_have_run = true;
        let next = tokio::select! {
            biased;
            () = sender.closed() => return job.record_end(&target, status, "left", times),
            next = resume(&mut job, &reader, &mut may_have_run) => next,
            () = shared.stop.closing() => Err(ENTRY_ENDS),
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
    may_have_run: &mut bool,
) -> Result<Upstream<P>, &'static str> {
    if job.shared.stop.is_closing() {
        return Err(ENTRY_ENDS);
    }
    if !job.route.is_idempotent() {
        return Err("broken");
    }
    reader.continuation.resume_point().map_err(Rejection::name)?;
    if !job.may_retry() {
        return Err("attempts spent");
    }
    match open(job, reader, may_have_run).await {
        Ok(upstream) => Ok(upstream),
        Err(OpenError::Answered(..)) => Err("failed elsewhere"),
        Err(OpenError::Denied(Denial::RetryBudgetSpent)) => Err("budget spent"),
        Err(OpenError::Denied(Denial::Quarantined)) => Err("quarantined"),
        Err(OpenError::Denied(_)) => Err("no target left"),
        Err(OpenError::Failed(reason)) => Err(reason.name()),
    }
}

/// Forwards the events of one target until the stream is complete.
///
/// # Errors
///
/// Returns the reason why the stream stopped before that.
async fn forward_events<P: Platform>(
    job: &mut Job<P>,
    upstream: &mut Upstream<P>,
    reader: &mut Reader,
    timer: &mut EventTimer,
    sender: &Sender,
) -> Result<(), Reason> {
    let shared = job.shared.clone();
    let mut last_received = shared.now();
    let mut earliest_check = Time::ZERO;
    loop {
        let check = silence::next_check(job, &upstream.slot, last_received).max(earliest_check);
        let frame = tokio::select! {
            biased;
            frame = upstream.body.frame() => frame,
            () = sleep_until(shared.clock.instant(check)) => {
                let now = shared.now();
                if now >= job.deadline {
                    return Err(Reason::DeadlinePassed);
                }
                if let Some(until) =
                    silence::late_timer_grace(now, check).filter(|_| earliest_check <= last_received)
                {
                    earliest_check = until;
                    continue;
                }
                if !job.route.is_idempotent()
                    || !silence::check(job, &upstream.slot, last_received)
                {
                    continue;
                }
                if job.may_fail_over(upstream.slot.key) {
                    job.permit = job.request_permit();
                    return Err(Reason::Silent);
                }
                // No other target may take over, but this one may still go on: check again later.
                earliest_check = silence::next_doubt(job);
                continue;
            }
        };
        let Some(frame) = frame else {
            let rest = reader.end()?;
            if rest.is_empty() {
                return Ok(());
            }
            return sender.send(rest).await.map(drop).map_err(|Disconnected| Reason::CallerLeft);
        };
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

/// Sends the request to targets until one opens the stream, or continues that of `reader`. Sets
/// `may_have_run` if a target may have run the request.
async fn open<P: Platform>(
    job: &mut Job<P>,
    reader: &Reader,
    may_have_run: &mut bool,
) -> Result<Upstream<P>, OpenError> {
    let mut refusals = 0;
    loop {
        let is_resumed = reader.continuation.last_id().is_some();
        let slot = job.acquire_slot(is_resumed).await.map_err(OpenError::Denied)?;
        let key = slot.key;
        match attempt_open(job, slot, reader).await {
            Ok(upstream) => return Ok(upstream),
            Err(Failure::NotRun(_)) => {
                job.excluded.push(key);
                refusals += 1;
                if refusals >= MAX_REFUSALS {
                    return Err(OpenError::Denied(Denial::NoTarget));
                }
            }
            Err(Failure::Answered(head, body)) => return Err(OpenError::Answered(head, body)),
            Err(Failure::Silent) => {
                // The target may have begun a moment ago.
                *may_have_run = true;
                job.excluded.push(key);
                job.attempted.push(key);
            }
            Err(Failure::Unknown(reason)) => {
                *may_have_run = true;
                job.excluded.push(key);
                job.attempted.push(key);
                if !job.route.is_idempotent() || !job.may_retry() {
                    return Err(OpenError::Failed(reason));
                }
            }
        }
    }
}

/// Makes one attempt to open the stream, and logs its failure.
async fn attempt_open<P: Platform>(
    job: &mut Job<P>,
    slot: Slot<P>,
    reader: &Reader,
) -> Result<Upstream<P>, Failure> {
    let request = job.outgoing(&slot, reader.continuation.last_id().cloned());
    job.record_sent(&slot);
    let mut permit = None;
    let result = {
        let exchange = exchange(job, &slot, reader, request);
        tokio::pin!(exchange);
        let begun = job.shared.now();
        let mut earliest_check = Time::ZERO;
        loop {
            let check = silence::next_check(job, &slot, begun).max(earliest_check);
            tokio::select! {
                biased;
                result = &mut exchange => break result,
                () = sleep_until(job.shared.clock.instant(check)) => {
                    if job.shared.now() >= job.deadline {
                        break Err((Failure::Unknown(Reason::NoResponse), Completion::Failed));
                    }
                    let grace = silence::late_timer_grace(job.shared.now(), check);
                    if let Some(until) = grace.filter(|_| earliest_check <= begun) {
                        earliest_check = until;
                        continue;
                    }
                    if job.route.is_idempotent() && silence::check_before_response(job, &slot) {
                        if job.may_fail_over(slot.key) {
                            permit = job.request_permit();
                            break Err((Failure::Silent, Completion::Failed));
                        }
                        earliest_check = silence::next_doubt(job);
                    }
                }
            }
        }
    };
    job.permit = permit;
    job.record_arrival(match &result {
        Err((Failure::NotRun(reason), _)) => Some(*reason),
        _ => None,
    });
    match result {
        Ok((head, body, shown)) => Ok(Upstream { slot, head, body, shown }),
        Err((failure, completion)) => {
            match &failure {
                Failure::NotRun(reason) => job.record_failure(&slot, *reason, "no"),
                Failure::Silent => job.record_failure(&slot, Reason::Silent, "unknown"),
                Failure::Unknown(reason) => job.record_failure(&slot, *reason, "unknown"),
                Failure::Answered(..) => {}
            }
            slot.finish(completion);
            Err(failure)
        }
    }
}

/// Sends `request` and reads the header of the response. On failure also returns how the attempt
/// ended for the target.
async fn exchange<P: Platform>(
    job: &Job<P>,
    slot: &Slot<P>,
    reader: &Reader,
    request: Outgoing,
) -> Result<(response::Parts, Reply, Head), (Failure, Completion)> {
    let sent = exchange::send(job, slot, request).await;
    let exchange::Response { head, body, answer } =
        sent.map_err(|failure| (failure.into(), failure.completion()))?;
    let shown = Head {
        status: head.status.as_u16(),
        is_event_stream: answer.is_event_stream,
        has_stamp: answer.has_stamp,
        is_framed: body.is_framed(),
    };
    if let Err(rejection) = reader.continuation.check_head(&shown) {
        let is_answer = rejection == Rejection::Status;
        let completion = if is_answer { Completion::Answered } else { Completion::Failed };
        return Err((Failure::Unknown(Reason::Rejected(rejection)), completion));
    }
    if head.status.is_success() {
        return Ok((head, body, shown));
    }
    match content::read(&job.shared.buffer_limiter, body).await {
        Some(content) => Err((Failure::Answered(Box::new(head), content), Completion::Answered)),
        None => Err((Failure::Unknown(Reason::ResponseBrokeOff), Completion::Failed)),
    }
}
