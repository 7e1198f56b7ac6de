//! What a request needs of a target, the choice made for it, and how the attempt ended.

use std::sync::Arc;

use super::Key;
use crate::prelude::*;

/// What a request needs of a target.
#[derive(Clone, Debug, Default)]
pub struct Requirements {
    /// Model that the request names, if any.
    pub model: Option<Arc<str>>,
    /// Tokens of its prompt; 0 if the service has no cost model.
    pub prompt_tokens: u64,
    /// Time left until its first token is late.
    pub objective: Duration,
    /// Longest gap between two events of a stream that is on time; absent without such a bound.
    pub max_event_gap: Option<Duration>,
    /// Time from the request to the first event of an answer that is on time.
    pub first_event_limit: Duration,
    /// Rank of the request; 0 is the most urgent.
    pub rank: u8,
    /// Targets that must not be chosen, since the request was sent to them before.
    pub excluded: Vec<Key>,
    /// Random number from 0 to 1 that stays the same for the whole request. If only a share of the
    /// requests can be admitted, those with a number below that share are.
    pub draw: f64,
    /// Whether the answer has begun at another target. Such a request is placed even where others
    /// have to wait.
    pub is_resumed: bool,
}

impl Requirements {
    /// Returns how long the request's caller can wait for events.
    pub fn patience(&self) -> Patience {
        Patience { first_event: self.first_event_limit, event_gap: self.max_event_gap }
    }
}

/// How long a caller can wait for the events of an answer that is on time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Patience {
    /// Time to the first event.
    pub first_event: Duration,
    /// Longest gap between two events; absent without such a bound.
    pub event_gap: Option<Duration>,
}

/// Result of choosing a target for a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// The request is counted at this target and is to be sent there.
    Send(Key, Forecast),
    /// All suitable targets are busy; one is free after about this time.
    Busy(Duration),
    /// No target could run the request.
    NoTarget,
}

/// What was expected of an attempt when its target was chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Forecast {
    /// Part of the time to the first token that the target's load explains, in milliseconds.
    pub load_ms: f64,
    /// Time to the first token, in milliseconds.
    pub first_token_ms: f64,
    /// Estimated factor on the duration of the target's passes, relative to others of its model.
    pub slowness: f64,
    /// Requests of all entries in progress at the target, this one included.
    pub running: u32,
    /// Whether the target is neither full nor slower than others, so that the attempt is
    /// representative of its model.
    pub is_typical: bool,
}

/// How an attempt on a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// The target answered, with any status.
    Answered,
    /// The target refused the request and did not run it.
    Refused,
    /// The target broke off or was silent.
    Failed,
    /// No connection to the target was made.
    Unreached,
    /// The caller left before the attempt ended.
    Cancelled,
}
