//! What a request asks of the targets, what it gets, and how that ends.

use std::sync::Arc;

use super::Key;
use crate::prelude::*;

/// What a request asks for.
#[derive(Clone, Debug, Default)]
pub struct Requirements {
    /// The model, if the request names one.
    pub model: Option<Arc<str>>,
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// Time until its first token is late.
    pub objective: Duration,
    /// Longest pause between two events of a stream that is on time, if it has streams.
    pub max_event_gap: Option<Duration>,
    /// Its rank; 0 is the most urgent.
    pub rank: u8,
    /// Targets that it was sent to already.
    pub excluded: Vec<Key>,
    /// A number from 0 to 1 that the request keeps. Where only some can be taken, those below the
    /// part that can are.
    pub draw: f64,
    /// Whether it is placed also where others have to wait, since it has begun elsewhere.
    pub is_resumed: bool,
}

/// What becomes of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// It is sent to this target.
    Send(Key, Forecast),
    /// All targets are busy; one is free after about this time.
    Busy(Duration),
    /// There is no target that could run it.
    NoTarget,
}

/// What was expected of an attempt when it was placed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Forecast {
    /// Milliseconds to the first token that the target's load explains.
    pub load_ms: f64,
    /// Milliseconds to the first token in all.
    pub first_token_ms: f64,
    /// How many times slower than others of its model the target is taken to be.
    pub slowness: f64,
    /// Requests in progress there over all entries, this one included.
    pub running: u32,
    /// Whether the target is one to learn from: neither full, nor slower than others.
    pub is_typical: bool,
}

/// How an attempt on a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// It answered, with whatever status.
    Answered,
    /// It refused and did not run the request.
    Refused,
    /// It broke off, was silent, or couldn't be reached.
    Failed,
    /// The caller left.
    Cancelled,
}
