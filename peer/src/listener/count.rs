//! Counts of what a listener served and refused.

use std::sync::atomic::{AtomicU64, Ordering};

use super::Refusal;
use crate::wire;

/// What is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Counter {
    /// Exchanges answered.
    Exchanged,
    /// Claims answered or refused by the handler.
    Claimed,
    /// Passed-on requests given to the handler.
    Forwarded,
    /// Calls without the token.
    Unauthorized,
    /// Calls to no known path.
    Unknown,
    /// Bodies larger than the limit.
    Oversized,
    /// Bodies that did not arrive whole and in time.
    Incomplete,
    /// Frames of an unknown version.
    Version,
    /// Frames that could not be read.
    Garbled,
    /// Requests passed on too often.
    Hops,
    /// Calls over the limit of requests in progress, or refused by the handler.
    Busy,
}

impl Counter {
    /// All counters.
    pub const ALL: [Counter; 11] = [
        Counter::Exchanged,
        Counter::Claimed,
        Counter::Forwarded,
        Counter::Unauthorized,
        Counter::Unknown,
        Counter::Oversized,
        Counter::Incomplete,
        Counter::Version,
        Counter::Garbled,
        Counter::Hops,
        Counter::Busy,
    ];

    /// The counter's name, as a metric's attribute.
    pub const fn as_str(self) -> &'static str {
        match self {
            Counter::Exchanged => "exchanged",
            Counter::Claimed => "claimed",
            Counter::Forwarded => "forwarded",
            Counter::Unauthorized => "unauthorized",
            Counter::Unknown => "unknown",
            Counter::Oversized => "oversized",
            Counter::Incomplete => "incomplete",
            Counter::Version => "version",
            Counter::Garbled => "garbled",
            Counter::Hops => "hops",
            Counter::Busy => "busy",
        }
    }
}

/// The counts of one listener.
#[derive(Debug, Default)]
pub struct Count([AtomicU64; Counter::ALL.len()]);

impl Count {
    /// How often `counter` was counted.
    pub fn get(&self, counter: Counter) -> u64 {
        self.0[counter as usize].load(Ordering::Relaxed)
    }

    pub(crate) fn add(&self, counter: Counter) {
        self.0[counter as usize].fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn refused(&self, refusal: &Refusal) {
        self.add(match refusal {
            Refusal::Unauthorized => Counter::Unauthorized,
            Refusal::Unknown(_) => Counter::Unknown,
            Refusal::Oversized(_) => Counter::Oversized,
            Refusal::Incomplete => Counter::Incomplete,
            Refusal::Wire(wire::Error::Version(_)) => Counter::Version,
            Refusal::Wire(_) => Counter::Garbled,
            Refusal::Hops => Counter::Hops,
            Refusal::Busy(_) | Refusal::Unavailable => Counter::Busy,
        });
    }
}
