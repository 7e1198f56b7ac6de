//! Attempts to open a stream at a target, or to continue it there.

use std::pin::Pin;

use decision::gateway::balance::Completion;
use decision::gateway::continuation::{Head, Rejection};
use decision::prelude::*;
use http::response;
use tokio::time::sleep_until;

use crate::content::{self, Content};
use crate::event::Reader;
use crate::exchange::{self, Exchange};
use crate::pool::Reply;
use crate::port::{Outgoing, Platform};
use crate::reason::Reason;
use crate::refusal::Denial;
use crate::request::Job;
use crate::silence;
use crate::slot::Slot;
use crate::takeover::{Race, Sign, race};

/// Number of targets that may fail to run the request before it is given up.
const MAX_REFUSALS: usize = 4;

/// The response of a target whose stream is being read.
pub(super) struct Upstream<P> {
    pub(super) slot: Slot<P>,
    pub(super) head: response::Parts,
    pub(super) body: Reply,
    /// What its head shows about its body.
    pub(super) shown: Head,
}

/// Why no target opens the stream.
pub(super) enum OpenError {
    /// No target is available.
    Denied(Denial),
    /// An attempt failed after which no other may follow. Holds the reason.
    Failed(Reason),
    /// A target responded with a status that is no success, which the caller gets.
    Answered(Box<response::Parts>, Content),
}

impl OpenError {
    /// Returns the outcome to log for a stream that can't go on.
    pub(super) fn outcome(&self) -> &'static str {
        match self {
            OpenError::Answered(..) => "failed elsewhere",
            OpenError::Denied(Denial::RetryBudgetSpent) => "budget spent",
            OpenError::Denied(Denial::Quarantined) => "quarantined",
            OpenError::Denied(_) => "no target left",
            OpenError::Failed(reason) => reason.name(),
        }
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
    /// The target was silent or failed, and none has taken over.
    NoTakeover(OpenError),
}

impl From<exchange::Failure> for Failure {
    fn from(failure: exchange::Failure) -> Failure {
        match failure {
            exchange::Failure::NotRun(reason) => Failure::NotRun(reason),
            exchange::Failure::Unknown(reason) => Failure::Unknown(reason),
        }
    }
}

/// What the response of a target is, up to the body of a stream. A failure comes with how the attempt
/// ended for the target.
type Opened = Result<(response::Parts, Reply, Head), (Failure, Completion)>;

/// Sends the request to targets until one opens the stream, or continues that of `reader`. A target
/// that is silent is kept until another one has taken over.
pub(super) async fn open<P: Platform>(
    job: &mut Job<P>,
    reader: &Reader,
) -> Result<Upstream<P>, OpenError> {
    let mut refusals = 0;
    loop {
        let slot = acquire_slot(job, reader).await?;
        match attempt(job, slot, reader).await {
            Ok(upstream) => return Ok(upstream),
            Err(failure) => check_failure(job, failure, &mut refusals)?,
        }
    }
}

/// Does the same as [`open`] for a request that another target has, which is silent. A target that is
/// silent too is left.
pub(super) async fn open_elsewhere<P: Platform>(
    job: &mut Job<P>,
    reader: &Reader,
) -> Result<Upstream<P>, OpenError> {
    let mut refusals = 0;
    loop {
        let slot = acquire_slot(job, reader).await?;
        match attempt_takeover(job, slot, reader).await {
            Ok(upstream) => return Ok(upstream),
            Err(failure) => check_failure(job, failure, &mut refusals)?,
        }
    }
}

async fn acquire_slot<P: Platform>(
    job: &mut Job<P>,
    reader: &Reader,
) -> Result<Slot<P>, OpenError> {
    let is_resumed = reader.continuation.last_id().is_some();
    job.acquire_slot(is_resumed).await.map_err(OpenError::Denied)
}

/// Decides whether another attempt may follow a failed one. `refusals` counts the targets that did
/// not run the request.
fn check_failure<P: Platform>(
    job: &Job<P>,
    failure: Failure,
    refusals: &mut usize,
) -> Result<(), OpenError> {
    match failure {
        Failure::NotRun(_) => {
            *refusals += 1;
            match *refusals >= MAX_REFUSALS {
                true => Err(OpenError::Denied(Denial::NoTarget)),
                false => Ok(()),
            }
        }
        Failure::Answered(head, body) => Err(OpenError::Answered(head, body)),
        Failure::NoTakeover(error) => Err(error),
        Failure::Silent => Ok(()),
        Failure::Unknown(_) if job.route.is_idempotent() && job.may_retry() => Ok(()),
        Failure::Unknown(reason) => Err(OpenError::Failed(reason)),
    }
}

/// Records that an attempt begins now. Returns its exchange, its request and the time.
fn begin<P: Platform>(
    job: &mut Job<P>,
    slot: &Slot<P>,
    reader: &Reader,
) -> (Exchange<P>, Outgoing, Time) {
    let request = job.outgoing(slot, reader.continuation.last_id().cloned());
    job.record_sent(slot);
    (Exchange::new(job), request, job.shared.now())
}

/// Makes one attempt to open the stream, and logs its failure. If the target is silent, another one
/// may take over.
async fn attempt<P: Platform>(
    job: &mut Job<P>,
    slot: Slot<P>,
    reader: &Reader,
) -> Result<Upstream<P>, Failure> {
    let (context, request, begun) = begin(job, &slot, reader);
    let result = {
        let exchange = exchange(&context, &slot, reader, request);
        tokio::pin!(exchange);
        let mut earliest_check = Time::ZERO;
        loop {
            let result = follow(job, &slot, exchange.as_mut(), (begun, earliest_check)).await;
            if let Some(result) = result {
                break Ok(result);
            }
            let other = open_elsewhere(job, reader);
            match race(exchange.as_mut(), other, |it| sign(&context, it)).await {
                Race::Kept(result) => {
                    job.record_kept(&slot, "it has responded");
                    break Ok(result);
                }
                Race::TakenOver(failure, upstream) => break Err((failure, Ok(upstream))),
                // The failure of a target is an answer for the caller.
                Race::Lost(failure @ Err((Failure::Answered(..), _)), _) => break Ok(failure),
                Race::Lost(failure, error) => break Err((Some(failure), Err(error))),
                Race::Alone(error @ OpenError::Answered(..)) => break Err((None, Err(error))),
                Race::Alone(error) => {
                    job.record_kept(&slot, error.outcome());
                    earliest_check = silence::next_doubt(job);
                }
            }
        }
    };
    match result {
        Ok(result) => finish(job, slot, result),
        Err((failure, next)) => {
            let silent = Err((Failure::Silent, Completion::Failed));
            let _logged = finish(job, slot, failure.unwrap_or(silent));
            next.map_err(Failure::NoTakeover)
        }
    }
}

/// Makes one attempt to take the stream over, and logs its failure.
async fn attempt_takeover<P: Platform>(
    job: &mut Job<P>,
    slot: Slot<P>,
    reader: &Reader,
) -> Result<Upstream<P>, Failure> {
    let (context, request, begun) = begin(job, &slot, reader);
    let result = {
        let exchange = exchange(&context, &slot, reader, request);
        tokio::pin!(exchange);
        follow(job, &slot, exchange, (begun, Time::ZERO)).await
    };
    finish(job, slot, result.unwrap_or(Err((Failure::Silent, Completion::Failed))))
}

/// Returns the result of an attempt that began at `begun`, or `None` once its target is silent and
/// another one may take over. The silence is not checked before `earliest_check`.
async fn follow<P: Platform>(
    job: &mut Job<P>,
    slot: &Slot<P>,
    mut exchange: Pin<&mut impl Future<Output = Opened>>,
    (begun, mut earliest_check): (Time, Time),
) -> Option<Opened> {
    loop {
        let check = silence::next_check(job, slot, begun).max(earliest_check);
        tokio::select! {
            biased;
            result = &mut exchange => return Some(result),
            () = sleep_until(job.shared.clock.instant(check)) => {}
        }
        let now = job.shared.now();
        if now >= job.deadline {
            let failure = Failure::Unknown(Reason::NoResponse);
            return Some(Err((failure, Completion::Failed)));
        }
        let grace = silence::late_timer_grace(now, check);
        if let Some(until) = grace.filter(|_| earliest_check <= begun) {
            earliest_check = until;
            continue;
        }
        if job.route.is_idempotent() && silence::check_before_response(job, slot) {
            if job.begin_takeover(slot.key) {
                return None;
            }
            earliest_check = silence::next_doubt(job);
        }
    }
}

/// Tells what the response of a silent target means for the attempt there.
fn sign<P>(context: &Exchange<P>, result: &Opened) -> Sign {
    match result {
        Ok(_) => Sign::GoesOn(context.shared.clock.instant(context.shared.now())),
        Err(_) => Sign::Failed,
    }
}

/// Releases the slot of an attempt that failed, and logs why.
fn finish<P: Platform>(
    job: &mut Job<P>,
    slot: Slot<P>,
    result: Opened,
) -> Result<Upstream<P>, Failure> {
    job.record_arrival(
        slot.key,
        match &result {
            Err((Failure::NotRun(reason), _)) => Some(*reason),
            _ => None,
        },
    );
    match result {
        Ok((head, body, shown)) => Ok(Upstream { slot, head, body, shown }),
        Err((failure, completion)) => {
            match &failure {
                Failure::NotRun(reason) => job.record_failure(&slot, *reason, "no"),
                Failure::Silent => job.record_failure(&slot, Reason::Silent, "unknown"),
                Failure::Unknown(reason) => job.record_failure(&slot, *reason, "unknown"),
                Failure::Answered(..) | Failure::NoTakeover(_) => {}
            }
            slot.finish(completion);
            Err(failure)
        }
    }
}

/// Sends `request` and reads the header of the response.
async fn exchange<P: Platform>(
    context: &Exchange<P>,
    slot: &Slot<P>,
    reader: &Reader,
    request: Outgoing,
) -> Opened {
    let sent = context.send(slot, request).await;
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
    match content::read(&context.shared.buffer_limiter, body).await {
        Some(content) => Err((Failure::Answered(Box::new(head), content), Completion::Answered)),
        None => Err((Failure::Unknown(Reason::ResponseBrokeOff), Completion::Failed)),
    }
}
