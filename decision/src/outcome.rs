//! What is known of whether a request ran, and what may therefore be done with it.

use serde::{Deserialize, Serialize};

use crate::declaration::Repeat;

/// What a caller is told about whether its request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No target ran it, and none will.
    NotRun,
    /// A target may have run it, or may still.
    Unknown,
    /// A target ran it.
    Ran,
}

/// How far an attempt came before it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Progress {
    /// No byte left for the target.
    Unsent,
    /// The target said that it did not run the request.
    Declined,
    /// Bytes left, and no trustworthy answer came.
    Sent,
    /// The target answered, and the answer is not whole.
    Answered,
}

/// What to do after an attempt has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Next {
    /// Another attempt is safe.
    Retry,
    /// No further attempt: tell the caller this outcome.
    Report(Outcome),
}

/// The outcome of one request over all of its attempts so far.
///
/// Starts as [`Outcome::NotRun`] and never goes back: one attempt that may have run makes the
/// whole request unknown, whatever later attempts say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ledger {
    repeat: Repeat,
    outcome: Outcome,
}

impl Outcome {
    /// The outcome as it stands in refusals.
    pub const fn as_str(self) -> &'static str {
        match self {
            Outcome::NotRun => "not_run",
            Outcome::Unknown => "unknown",
            Outcome::Ran => "ran",
        }
    }
}

impl Progress {
    /// The outcome that this progress of a single attempt proves.
    pub const fn outcome(self) -> Outcome {
        match self {
            Progress::Unsent | Progress::Declined => Outcome::NotRun,
            Progress::Sent => Outcome::Unknown,
            Progress::Answered => Outcome::Ran,
        }
    }
}

impl Ledger {
    /// The ledger of a request that has not been dispatched.
    pub const fn new(repeat: Repeat) -> Ledger {
        Ledger { repeat, outcome: Outcome::NotRun }
    }

    /// What is known so far.
    pub const fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// Takes note of how far an attempt came and says whether another one is safe.
    ///
    /// Whether another attempt is worth its cost is for the retry budget to say.
    pub fn record(&mut self, progress: Progress) -> Next {
        self.outcome = self.outcome.max(progress.outcome());
        match (self.repeat, self.outcome) {
            (Repeat::Idempotent, _) | (_, Outcome::NotRun) => Next::Retry,
            (Repeat::Once | Repeat::OnceWithKey, outcome) => Next::Report(outcome),
        }
    }
}
