//! Requests whose answer is a stream of events, which may go on at another target.

use std::sync::Arc;

use bytes::Bytes;
use decision::gateway::balance::Completion;
use decision::prelude::*;
use http::{Response, StatusCode, header, response};
use http_body_util::BodyExt as _;
use tokio::time::sleep_until;

use crate::body::{Answer, Left, Passed, Pieces};
use crate::call;
use crate::error::Call;
use crate::journal::Event;
use crate::pool::{Connection, Reply};
use crate::port::{Platform, Run};
use crate::refusal::{Denial, Refusal};
use crate::request::{Job, Times, strip};
use crate::slot::Slot;
use crate::splitter::Splitter;

/// Bytes of a stream that wait for a slow caller, unless the entry has no room for them.
const AHEAD: u32 = 64 << 10;

/// Silence of one stream, on a target that serves others, after which it goes on elsewhere.
const ALONE: Duration = Duration::from_secs(1);

/// Targets that may refuse a stream before it is given up.
const MAX_REFUSALS: usize = 4;

/// An open answer of a target.
struct Open<P> {
    place: Slot<P>,
    head: response::Parts,
    body: Reply,
}

/// Notes when the pieces of a stream come.
#[derive(Default)]
struct Pace {
    times: Times,
    last: Option<Time>,
}

impl Pace {
    fn note(&mut self, now: Time, arrived: Time) {
        let pause = self.last.map(|it| now.since(it)).unwrap_or_default();
        self.times.first.get_or_insert(now.since(arrived));
        self.times.pause = self.times.pause.max(pause);
        self.last = Some(now);
    }
}

/// Why a target gave no open answer.
enum Failure {
    /// The target did not run it.
    NotRun(&'static str),
    /// The target showed no sign of having begun.
    Silent,
    /// The target may have run it.
    Unknown(&'static str),
    /// The target answered with a failure of its own.
    Answered(Box<response::Parts>, Bytes),
}

/// Why a stream can't go on.
enum Stop {
    Denied(Denial),
    Broken(&'static str),
    Answered(Box<response::Parts>, Bytes),
}

/// Sends a request until its stream is open, and answers the caller.
pub(crate) async fn run<P: Platform>(mut job: Job<P>) -> Response<Answer> {
    let mut ran = false;
    let open = match open(&mut job, None, &mut ran).await {
        Ok(open) => open,
        Err(Stop::Answered(head, body)) => {
            job.ended("", head.status, "answered", Times::default());
            return call::answer(*head, body);
        }
        Err(Stop::Denied(denial)) if !ran => return job.deny(denial),
        Err(stop) => return broken(&job, &stop),
    };
    let mut response = Response::new(());
    *response.status_mut() = open.head.status;
    *response.headers_mut() = open.head.headers.clone();
    strip(response.headers_mut());
    response.headers_mut().remove(header::CONTENT_LENGTH);
    let (pieces, answer) = Answer::stream(job.shared.hold.read_ahead(AHEAD));
    tokio::spawn(pump(job, open, pieces));
    response.map(|()| answer)
}

fn broken<P: Platform>(job: &Job<P>, stop: &Stop) -> Response<Answer> {
    let status = match stop {
        Stop::Denied(Denial::Late) => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    job.ended("", status, "unknown", Times::default());
    Refusal::new(status, "the attempt failed").answer()
}

/// Passes events on until the stream is whole, can't go on, or the caller has left.
async fn pump<P: Platform>(mut job: Job<P>, mut open: Open<P>, pieces: Pieces) {
    let mut splitter = Splitter::default();
    let mut pace = Pace::default();
    loop {
        let target = open.place.target.id.clone();
        let status = open.head.status;
        let shared = job.shared.clone();
        let end = tokio::select! {
            biased;
            () = pieces.closed() => Err("caller left"),
            end = pass(&mut job, &mut open, &mut splitter, &mut pace, &pieces) => end,
        };
        let begun = pace.times;
        match end {
            Ok(()) => {
                open.place.finish(Completion::Answered);
                return job.ended(&target, status, "answered", begun);
            }
            Err("caller left") => {
                open.place.finish(Completion::Cancelled);
                return job.ended(&target, status, "left", begun);
            }
            Err(reason) => {
                job.failed(&open.place, reason, "unknown");
                let key = open.place.key;
                open.place.finish(Completion::Failed);
                job.avoid.push(key);
                job.tried.push(key);
            }
        }
        splitter.clear();
        let last = splitter.last().cloned();
        let mut ran = true;
        let next = tokio::select! {
            biased;
            () = pieces.closed() => return job.ended(&target, status, "left", begun),
            next = resume(&mut job, last, &mut ran) => next,
        };
        match next {
            Ok(next) => open = next,
            Err(reason) => {
                job.ended(&target, status, reason, begun);
                return pieces.fail().await;
            }
        }
        let event = Event::Resumed {
            request: &job.head.id,
            target: &open.place.target.id,
            last_event: splitter.last().map(|it| &**it).unwrap_or_default(),
            after_ms: job.waited_ms(),
        };
        shared.journal.note(&event);
    }
}

async fn resume<P: Platform>(
    job: &mut Job<P>,
    last: Option<Arc<str>>,
    ran: &mut bool,
) -> Result<Open<P>, &'static str> {
    if !job.route.is_idempotent() {
        return Err("broken");
    }
    if !job.may_repeat() {
        return Err("attempts spent");
    }
    match open(job, last, ran).await {
        Ok(open) if open.head.status.is_success() => Ok(open),
        Ok(_) | Err(Stop::Answered(..)) => Err("failed elsewhere"),
        Err(Stop::Denied(Denial::Budget)) => Err("budget spent"),
        Err(Stop::Denied(_)) => Err("no target left"),
        Err(Stop::Broken(reason)) => Err(reason),
    }
}

/// Passes the events of one target on. Says why they stopped, or that the stream is whole.
async fn pass<P: Platform>(
    job: &mut Job<P>,
    open: &mut Open<P>,
    splitter: &mut Splitter,
    pace: &mut Pace,
    pieces: &Pieces,
) -> Result<(), &'static str> {
    let shared = job.shared.clone();
    let mut heard = shared.now();
    let mut late = Time::ZERO;
    loop {
        let wake = wake(job, &open.place, heard).max(late);
        let frame = tokio::select! {
            biased;
            frame = open.body.frame() => frame,
            () = sleep_until(shared.clock.instant(wake)) => {
                let now = shared.now();
                if now >= job.deadline {
                    return Err("deadline");
                }
                if let Some(until) = listens_late(now, wake).filter(|_| late <= heard) {
                    late = until;
                    continue;
                }
                if !job.route.is_idempotent() || !is_silent(job, &open.place, heard) {
                    continue;
                }
                if job.may_go_on() {
                    return Err("silent");
                }
                // Nobody else may have it: what is silent now may still go on.
                late = now + ALONE;
                continue;
            }
        };
        let Some(frame) = frame else {
            return finish(open, splitter, pieces).await;
        };
        let Ok(data) = frame.map_err(|_| ()).and_then(|it| it.into_data().map_err(|_| ())) else {
            return Err("stream broke off");
        };
        heard = shared.now();
        open.place.record_activity();
        let whole = splitter.push(&data).map_err(|_| "event too long")?;
        if let Some(events) = whole {
            pace.note(heard, job.arrived);
            open.place.record_event();
            let passed = pieces.send(events).await.map_err(|Left| "caller left")?;
            if passed == Passed::AfterWaiting {
                open.place.ignore_next_gap();
            }
        }
    }
}

/// Ends a stream whose body has ended.
async fn finish<P: Platform>(
    open: &Open<P>,
    splitter: &mut Splitter,
    pieces: &Pieces,
) -> Result<(), &'static str> {
    if splitter.rest().is_empty() {
        return Ok(());
    }
    if !open.body.is_framed() {
        return Err("stream broke off");
    }
    let rest = Bytes::copy_from_slice(splitter.rest());
    pieces.send(rest).await.map(drop).map_err(|Left| "caller left")
}

/// When to look next whether a target is silent.
fn wake<P: Platform>(job: &Job<P>, place: &Slot<P>, heard: Time) -> Time {
    let now = job.shared.now();
    let limit = job.shared.balance().silence_deadline(now, place.key);
    let alone = heard + ALONE;
    let soonest = limit.min(alone).max(now + LOOK);
    soonest.min(job.deadline.max(now + LOOK))
}

/// Pause between two looks at a target that is nearly silent for too long.
const LOOK: Duration = Duration::from_millis(10);

/// Until when an entry listens on that was to wake at `wake` and did so only now: it was busy, and
/// what came meanwhile may not have been read yet.
fn listens_late(now: Time, wake: Time) -> Option<Time> {
    let late = now.since(wake);
    (late > LATE).then(|| now + late.min(LATE_LIMIT))
}

/// Time by which a timer may be late on an entry that isn't busy.
const LATE: Duration = Duration::from_millis(5);

/// Longest time for which an entry that was busy listens on.
const LATE_LIMIT: Duration = Duration::from_millis(100);

fn is_silent<P: Platform>(job: &Job<P>, place: &Slot<P>, heard: Time) -> bool {
    let now = job.shared.now();
    let silent = job.shared.balance().check_silence(now, place.key);
    if silent {
        let silent_ms = crate::request::millis(now.since(heard));
        job.shared.journal.note(&Event::Suspect { target: &place.target.id, silent_ms });
        job.shared.changed.notify_waiters();
    }
    if silent {
        // Its other connections may be silent for good.
        job.shared.targets.close_idle(place.target.address);
    }
    silent || now.since(heard) >= ALONE
}

/// Finds a target that opens the stream.
async fn open<P: Platform>(
    job: &mut Job<P>,
    last: Option<Arc<str>>,
    ran: &mut bool,
) -> Result<Open<P>, Stop> {
    let mut refusals = 0;
    loop {
        let place = job.place(last.is_some()).await.map_err(Stop::Denied)?;
        let key = place.key;
        match begin(job, place, last.clone()).await {
            Ok(open) => return Ok(open),
            Err(Failure::NotRun(_)) => {
                job.avoid.push(key);
                refusals += 1;
                if refusals >= MAX_REFUSALS {
                    return Err(Stop::Denied(Denial::Nothing));
                }
            }
            Err(Failure::Answered(head, body)) => return Err(Stop::Answered(head, body)),
            Err(Failure::Silent) => {
                // It may have begun a moment ago.
                *ran = true;
                job.avoid.push(key);
                job.tried.push(key);
            }
            Err(Failure::Unknown(reason)) => {
                *ran = true;
                job.avoid.push(key);
                job.tried.push(key);
                if !job.route.is_idempotent() || !job.may_repeat() {
                    return Err(Stop::Broken(reason));
                }
            }
        }
    }
}

/// Makes one attempt to open the stream.
async fn begin<P: Platform>(
    job: &mut Job<P>,
    place: Slot<P>,
    last: Option<Arc<str>>,
) -> Result<Open<P>, Failure> {
    let request = job.outgoing(&place, last);
    job.sent(&place);
    let result = {
        let exchange = exchange(job, &place, request);
        tokio::pin!(exchange);
        let begun = job.shared.now();
        let mut late = Time::ZERO;
        loop {
            let wake = wake(job, &place, begun).max(late);
            tokio::select! {
                biased;
                result = &mut exchange => break result,
                () = sleep_until(job.shared.clock.instant(wake)) => {
                    if job.shared.now() >= job.deadline {
                        break Err((Failure::Unknown("no answer in time"), Completion::Failed));
                    }
                    let listens = listens_late(job.shared.now(), wake);
                    if let Some(until) = listens.filter(|_| late <= begun) {
                        late = until;
                        continue;
                    }
                    if job.route.is_idempotent() && job.may_go_on()
                        && is_silent_waiting(job, &place)
                    {
                        break Err((Failure::Silent, Completion::Failed));
                    }
                }
            }
        }
    };
    match result {
        Ok((head, body)) => Ok(Open { place, head, body }),
        Err((failure, end)) => {
            match &failure {
                Failure::NotRun(reason) => job.failed(&place, reason, "no"),
                Failure::Silent => job.failed(&place, "silent", "unknown"),
                Failure::Unknown(reason) => job.failed(&place, reason, "unknown"),
                Failure::Answered(..) => {}
            }
            place.finish(end);
            Err(failure)
        }
    }
}

fn is_silent_waiting<P: Platform>(job: &Job<P>, place: &Slot<P>) -> bool {
    is_silent(job, place, job.shared.now())
}

async fn exchange<P: Platform>(
    job: &Job<P>,
    place: &Slot<P>,
    request: crate::port::Outgoing,
) -> Result<(response::Parts, Reply), (Failure, Completion)> {
    let channel = if job.route.is_idempotent() { Connection::Reused } else { Connection::New };
    let sent = job.shared.targets.send(place.target.address, request, channel).await;
    let response = match sent {
        Ok(response) => response,
        Err(Call::Connect(_)) => {
            return Err((Failure::NotRun("cannot connect"), Completion::Failed));
        }
        Err(Call::Unsent) => {
            return Err((Failure::NotRun("connection closed"), Completion::Failed));
        }
        Err(_) => return Err((Failure::Unknown("connection broke"), Completion::Failed)),
    };
    let (head, body) = response.into_parts();
    let answer = job.shared.platform.answer(&head);
    job.heed(place, &answer);
    if answer.id.as_ref().is_some_and(|it| *it != job.head.id) {
        return Err((Failure::Unknown("answer to another request"), Completion::Failed));
    }
    match answer.run {
        Run::Refused => return Err((Failure::NotRun("target refused"), Completion::Refused)),
        Run::Misdirected => return Err((Failure::NotRun("another instance"), Completion::Failed)),
        Run::Ran if answer.id.is_none() || answer.encoded => {
            return Err((Failure::Unknown("answer to no request"), Completion::Failed));
        }
        Run::Ran => {}
    }
    if head.status.is_success() {
        return Ok((head, body));
    }
    match call::whole(body).await {
        Some(body) => Err((Failure::Answered(Box::new(head), body), Completion::Answered)),
        None => Err((Failure::Unknown("answer broke off"), Completion::Failed)),
    }
}
