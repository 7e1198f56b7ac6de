//! Limits the rate of requests to a cold target over all entries together.

use std::collections::VecDeque;

use crate::prelude::*;

/// Window in which requests are counted.
pub const WINDOW: Duration = Duration::from_secs(1);

/// Fraction of the rate that is used. The rest is a margin for entries that have just joined and
/// that not all others know yet.
const USED_FRACTION: f64 = 0.9;

/// Counts the requests that one entry sent to one target within the window.
#[derive(Clone, Debug, Default)]
pub struct Limiter {
    /// Times of the requests within the window, the oldest first.
    sent: VecDeque<Time>,
}

/// Returns the requests per second that `entry` may send to `target` if all `entries` together may
/// send `rate`.
///
/// The remainder of the division goes to those entries whose hash with the target is highest. So
/// where there are more entries than requests, a few entries may send one each, and different ones
/// for each target. An entry that `entries` lacks gets nothing, as the others share the whole rate.
pub fn share(rate: f64, target: u64, entry: u64, entries: &[u64]) -> u32 {
    if !entries.contains(&entry) {
        return 0;
    }
    let entry_count = u32::try_from(entries.len()).unwrap_or(u32::MAX).max(1);
    let rate = (rate * USED_FRACTION) as u32;
    let score = |candidate: u64| {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&target.to_le_bytes());
        bytes[8..].copy_from_slice(&candidate.to_le_bytes());
        (xxhash_rust::xxh3::xxh3_64(&bytes), candidate)
    };
    let ahead = entries.iter().filter(|it| score(**it) > score(entry)).count();
    let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
    rate / entry_count + u32::from(ahead < rate % entry_count)
}

impl Limiter {
    /// Returns whether one more request may be sent, if this entry may send `share` per second.
    pub fn has_room(&mut self, now: Time, share: u32) -> bool {
        self.prune(now);
        self.sent.len() < share as usize
    }

    /// Counts a request that is sent at `now`.
    pub fn record_sent(&mut self, now: Time) {
        self.prune(now);
        self.sent.push_back(now);
    }

    /// Drops requests that are older than the window.
    fn prune(&mut self, now: Time) {
        while self.sent.front().is_some_and(|it| now.since(*it) > WINDOW) {
            self.sent.pop_front();
        }
    }
}
