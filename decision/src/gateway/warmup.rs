//! Keeps a cold target within the requests a second that it bears, over all entries together.

use std::collections::VecDeque;

use crate::prelude::*;

/// The span in which requests are counted.
const SPAN: Duration = Duration::from_secs(1);

/// Counts the requests that one entry sent to one target within the last second.
#[derive(Clone, Debug, Default)]
pub struct Limiter {
    sent: VecDeque<Time>,
}

impl Limiter {
    /// Whether one more request may be sent, if all entries together may send `rate` a second.
    pub fn has_room(&mut self, now: Time, rate: f64, entries: usize) -> bool {
        while self.sent.front().is_some_and(|it| now.since(*it) > SPAN) {
            self.sent.pop_front();
        }
        let own = (rate / entries.max(1) as f64).floor().max(1.0);
        (self.sent.len() as f64) < own
    }

    /// Counts a request that is sent now.
    pub fn sent(&mut self, now: Time) {
        while self.sent.front().is_some_and(|it| now.since(*it) > SPAN) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }
}
