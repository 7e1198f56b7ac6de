//! The longest pause that a target's streams have shown of late.

use crate::prelude::*;

/// Time for which a pause counts.
const RETENTION: Duration = Duration::from_secs(10);

/// The longest of the recent pauses.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pause {
    length: Duration,
    seen_at: Time,
}

impl Pause {
    /// Records a pause that has ended.
    pub(super) fn record(&mut self, now: Time, length: Duration) {
        if length >= self.get(now) {
            *self = Pause { length, seen_at: now };
        }
    }

    /// Returns the longest pause that still counts; zero if there is none.
    pub(super) fn get(&self, now: Time) -> Duration {
        if now.since(self.seen_at) < RETENTION { self.length } else { Duration::ZERO }
    }
}
