//! Keeps a cold target within the requests a second that it bears, over all entries together.

use std::collections::VecDeque;

use crate::prelude::*;

/// The span in which requests are counted.
const SPAN: Duration = Duration::from_secs(1);

/// Part of the rate that is used. The rest covers entries that have just come and that not all
/// others know of.
const MARGIN: f64 = 0.9;

/// Counts the requests that one entry sent to one target within the last second.
#[derive(Clone, Debug, Default)]
pub struct Limiter {
    sent: VecDeque<Time>,
}

/// The requests a second that the entry `own` may send to `target`, if all of `entries` together
/// may send `rate`. Where there are more entries than requests, a few of them may send one each.
pub fn share(rate: f64, target: u64, own: u64, entries: &[u64]) -> u32 {
    let count = u32::try_from(entries.len()).unwrap_or(u32::MAX).max(1);
    let rate = (rate * MARGIN) as u32;
    let score = |entry: u64| {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&target.to_le_bytes());
        bytes[8..].copy_from_slice(&entry.to_le_bytes());
        (xxhash_rust::xxh3::xxh3_64(&bytes), entry)
    };
    let before = entries.iter().filter(|it| score(**it) > score(own)).count();
    let before = u32::try_from(before).unwrap_or(u32::MAX);
    rate / count + u32::from(before < rate % count)
}

impl Limiter {
    /// Whether one more request may be sent, if this entry may send `share` a second.
    pub fn has_room(&mut self, now: Time, share: u32) -> bool {
        self.forget(now);
        self.sent.len() < share as usize
    }

    /// Counts a request that is sent now.
    pub fn record_sent(&mut self, now: Time) {
        self.forget(now);
        self.sent.push_back(now);
    }

    fn forget(&mut self, now: Time) {
        while self.sent.front().is_some_and(|it| now.since(*it) > SPAN) {
            self.sent.pop_front();
        }
    }
}
