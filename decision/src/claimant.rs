//! One request with an idempotency key, from its claim to its recorded end.

use crate::claim::{Action, Answer, Change, Digest, Key, Permit, Standing, Verdict};
use crate::commit;
use crate::head::Incarnation;
use crate::outcome::Outcome;
use crate::prelude::*;

/// A request that claims its key, and dispatches only if the claim is granted.
#[derive(Clone, Debug)]
pub struct Claimant {
    key: Key,
    request: Digest,
    owner: Incarnation,
    nonce: u64,
    permit: Permit,
    phase: Phase,
}

/// What a claimant does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Dispatch the request. Ask [`Claimant::may_send`] when the bytes are about to leave.
    Dispatch,
    /// The key's request ran: repeat its answer, if it was kept.
    Repeat(Option<Answer>),
    /// Refuse.
    Refuse(Reason),
}

/// Why a claimant does not dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Reason {
    /// The key was claimed for another request.
    #[error("the idempotency key was used with another request")]
    Reused,
    /// The key's request is in progress.
    #[error("a request with this idempotency key is in progress")]
    InProgress,
    /// The claimant is gone, and whether its request ran is unknown.
    #[error("the entry that ran this idempotency key is gone and recorded no end")]
    Abandoned,
    /// The claims are full.
    #[error("the claims of idempotency keys are full")]
    Full,
    /// The store gave no usable answer.
    #[error("the idempotency key could not be claimed: {0}")]
    Store(commit::Error),
    /// The claim was granted too late to be used.
    #[error("the idempotency key was claimed too late to dispatch the request")]
    Late,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Claiming,
    Granted,
    Ended,
}

impl Claimant {
    /// A claimant that has sent nothing yet.
    ///
    /// `owner` is the entry's own process, `nonce` a random number below 2^53.
    pub fn new(now: Time, key: Key, request: Digest, owner: Incarnation, nonce: u64) -> Claimant {
        let permit = Permit::new(now);
        Claimant { key, request, owner, nonce, permit, phase: Phase::Claiming }
    }

    /// The claim. May be handed to any writers, any number of times.
    pub fn change(&self) -> Change {
        let action = Action::Claim { request: self.request.clone(), owner: self.owner };
        self.with(action)
    }

    /// Takes the first answer to the claim. Later ones are to be dropped.
    pub fn answered(
        &mut self,
        now: Time,
        result: Result<Verdict, commit::Error>,
        lives: impl Fn(Incarnation) -> bool,
    ) -> Step {
        let step = match result {
            Ok(Verdict::Granted) if self.phase != Phase::Claiming => Step::Refuse(Reason::Late),
            Ok(Verdict::Granted) if self.permit.is_open(now) => Step::Dispatch,
            Ok(Verdict::Granted) => Step::Refuse(Reason::Late),
            Ok(Verdict::Taken { owner, observed }) => {
                Step::Refuse(match Standing::judge(observed, lives(owner)) {
                    Standing::InProgress => Reason::InProgress,
                    Standing::Abandoned => Reason::Abandoned,
                })
            }
            Ok(Verdict::Done { answer }) => Step::Repeat(answer),
            Ok(Verdict::Reused) => Step::Refuse(Reason::Reused),
            Ok(Verdict::Full) => Step::Refuse(Reason::Full),
            Ok(Verdict::Stored | Verdict::Gone) => {
                Step::Refuse(Reason::Store(commit::Error::Store))
            }
            Err(error) => Step::Refuse(Reason::Store(error)),
        };
        self.phase = if step == Step::Dispatch { Phase::Granted } else { Phase::Ended };
        step
    }

    /// Whether bytes of the request may leave at `now`.
    pub fn may_send(&self, now: Time) -> bool {
        self.phase == Phase::Granted && self.permit.is_open(now)
    }

    /// The permission to send, for the check that comes last before bytes leave.
    pub const fn permit(&self) -> Permit {
        self.permit
    }

    /// Ends the request; returns the change to be recorded, if any.
    ///
    /// An unknown outcome changes nothing: the claim stands and the request never runs again.
    pub fn ended(&mut self, outcome: Outcome, answer: Option<Answer>) -> Option<Change> {
        self.phase = Phase::Ended;
        match outcome {
            Outcome::NotRun => Some(self.with(Action::Release)),
            Outcome::Ran => Some(self.with(Action::Finish { answer })),
            Outcome::Unknown => None,
        }
    }

    fn with(&self, action: Action) -> Change {
        Change { key: self.key.clone(), nonce: self.nonce, action }
    }
}

impl Reason {
    /// What is known of the run of the key's request.
    pub const fn outcome(self) -> Outcome {
        match self {
            Reason::InProgress | Reason::Abandoned => Outcome::Unknown,
            Reason::Reused | Reason::Full | Reason::Store(_) | Reason::Late => Outcome::NotRun,
        }
    }
}
