//! What a request asks of the targets, what it gets, and how that ends.

use std::sync::Arc;

use super::Key;
use crate::prelude::*;

/// What a request asks for.
#[derive(Clone, Debug, Default)]
pub struct Ask {
    /// The model, if the request names one.
    pub model: Option<Arc<str>>,
    /// Tokens of its prompt.
    pub prompt: u64,
    /// Time until its first token is late.
    pub objective: Duration,
    /// Longest pause between two events of a stream that is on time, if it has streams.
    pub pause: Option<Duration>,
    /// Targets that it was sent to already.
    pub avoid: Vec<Key>,
    /// The most urgent of requests are placed also where others have to wait.
    pub urgent: bool,
}

/// What becomes of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// It is sent to this target.
    Send(Key),
    /// All targets are busy; one is free after about this time.
    Busy(Duration),
    /// There is no target that could run it.
    None,
}

/// How an attempt on a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It answered, with whatever status.
    Answered,
    /// It refused and did not run the request.
    Refused,
    /// It broke off, was silent, or couldn't be reached.
    Failed,
    /// The caller left.
    Left,
}
