//! What callers are told when a request is not served.

use std::time::Duration;

use caller::Refusal;
use caller::refusal::Kind;
use decision::claim::Permit;
use decision::claimant;
use decision::clock::Time;
use decision::outcome::Outcome;
use decision::refusal;
use decision::stream::Failure;

/// When a caller may come back for the answer of a request that is in progress.
const IN_PROGRESS_RETRY: Duration = Duration::from_secs(1);

/// When a caller may come back after the store gave no answer.
const STORE_RETRY: Duration = Duration::from_secs(2);

/// When a caller may come back, by then to another entry behind the balancer.
const OTHER_ENTRY_RETRY: Duration = Duration::from_secs(1);

/// The refusal that the router decided on.
pub(crate) fn of_router(refusal: &refusal::Refusal) -> Refusal {
    let kind = match refusal {
        refusal::Refusal::UnknownService(_) => Kind::UnknownService,
        refusal::Refusal::Oversized { .. } => Kind::TooLarge,
        refusal::Refusal::Expired(_) | refusal::Refusal::TooLate { .. } => Kind::Deadline,
        refusal::Refusal::MissingKey(_) => Kind::KeyRequired,
        refusal::Refusal::QueueFull { .. } => Kind::Overloaded,
        refusal::Refusal::Draining => Kind::Leaving,
        refusal::Refusal::NoTarget { .. } | refusal::Refusal::NoSlot(_) => Kind::NoTarget,
        refusal::Refusal::Exhausted { .. } => Kind::Exhausted,
        refusal::Refusal::Uncertain(_) => Kind::Lost,
    };
    let answer = Refusal::not_run(kind, refusal.to_string()).with_outcome(refusal.outcome());
    match refusal.retry_after() {
        // At once, but not at this entry.
        Some(Duration::ZERO) => answer.with_retry_after(OTHER_ENTRY_RETRY),
        Some(after) => answer.with_retry_after(after),
        None => answer,
    }
}

/// The refusal of a request whose key was not granted.
pub(crate) fn of_claimant(reason: claimant::Reason) -> Refusal {
    let kind = match reason {
        claimant::Reason::Reused => Kind::KeyReused,
        claimant::Reason::InProgress => Kind::InProgress,
        claimant::Reason::Abandoned => Kind::Lost,
        claimant::Reason::Full | claimant::Reason::Store(_) | claimant::Reason::Late => {
            Kind::StoreUnavailable
        }
    };
    let refusal = Refusal::not_run(kind, reason.to_string()).with_outcome(reason.outcome());
    match kind {
        Kind::InProgress => refusal.with_retry_after(IN_PROGRESS_RETRY),
        Kind::StoreUnavailable => refusal.with_retry_after(STORE_RETRY),
        _ => refusal,
    }
}

/// What remains of the claim's permit, for a peer that is to dispatch the request.
///
/// # Errors
///
/// Refuses a request whose permit has ended: nobody may dispatch it any more.
pub(crate) fn remaining(claim: Option<Permit>, now: Time) -> Result<Option<Duration>, Refusal> {
    match claim {
        Some(permit) if !permit.is_open(now) => Err(of_claimant(claimant::Reason::Late)),
        _ => Ok(claim.map(|it| it.left(now))),
    }
}

/// The refusal of an entry that takes no new work for now, with `message` as its reason.
pub(crate) fn of_entry(kind: Kind, message: &str) -> Refusal {
    Refusal::not_run(kind, message).with_retry_after(OTHER_ENTRY_RETRY)
}

/// The end of a request that outlasts its entry. A target may have run it.
pub(crate) fn of_end() -> Refusal {
    Refusal::not_run(Kind::Lost, "the entry ended before the request did")
        .with_outcome(Outcome::Unknown)
}

/// The end of a stream that is not whole.
pub(crate) fn of_stream(failure: Failure, outcome: Outcome) -> Refusal {
    let kind = match failure {
        Failure::Broken | Failure::Contradiction => Kind::Broken,
        Failure::Stalled => Kind::Stalled,
        Failure::Deadline => Kind::Deadline,
    };
    Refusal::not_run(kind, failure.to_string()).with_outcome(outcome)
}
