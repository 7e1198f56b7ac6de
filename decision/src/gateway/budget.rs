//! Retry budget of a service. Each entry keeps to its own part, so that the budget holds for all
//! entries together.

mod share;

use std::collections::VecDeque;

pub use share::Share;

use crate::prelude::*;

/// Number of buckets that a window is divided into.
const BUCKETS: u32 = 20;

/// Fraction of the retries that requests earn. The rest is a margin for requests and retries that
/// the rule counts at other times than the entries do.
const EARNED_FRACTION: f64 = 0.9;

/// Limits on retries.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Retries allowed per request within a window.
    pub ratio: f64,
    /// Length of the sliding window.
    pub window: Duration,
    /// Retries allowed within a window on top of those that `ratio` allows, over all entries
    /// together.
    pub slack: f64,
}

/// Counts the requests and retries of one service at one entry.
#[derive(Clone, Debug)]
pub struct Budget {
    settings: Settings,
    buckets: VecDeque<Bucket>,
}

/// What a budget allows at one moment, and why.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// Callers' requests within the window.
    pub requests: u32,
    /// Retries within the window.
    pub retries: u32,
    /// Largest number of retries that this entry may send within the window.
    pub allowed: f64,
}

impl Usage {
    /// Returns whether one more retry may be sent.
    pub fn has_room(&self) -> bool {
        self.room() >= 1.0
    }

    /// Returns the number of retries that may still be sent.
    fn room(&self) -> f64 {
        self.allowed - f64::from(self.retries)
    }
}

/// Counts of one part of the window.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: Time,
    requests: u32,
    retries: u32,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { ratio: 0.2, window: Duration::from_secs(10), slack: 100.0 }
    }
}

impl Budget {
    /// Returns a budget with an empty window.
    pub fn new(settings: Settings) -> Budget {
        Budget { settings, buckets: VecDeque::new() }
    }

    /// Puts new limits in force. What is counted stays.
    pub fn set_settings(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Returns whether a window that begins within the last one holds anything counted here.
    pub fn is_in_use(&self, now: Time) -> bool {
        let oldest = now.back(self.settings.window + self.bucket_length());
        self.buckets.back().is_some_and(|it| it.start >= oldest)
    }

    /// Counts a caller's request.
    pub fn record_request(&mut self, now: Time) {
        self.current_bucket(now).requests += 1;
    }

    /// Returns what this entry has used and may use, in the window that leaves least room. `share`
    /// is its part of the slack, from 0 to 1.
    pub fn usage(&mut self, now: Time, share: f64) -> Usage {
        self.current_bucket(now);
        // Windows that begin before this start of the entry count too: its earlier start may have
        // used the requests before it.
        let ages = (0..=BUCKETS).map(|it| self.bucket_length() * it);
        let usages = ages.map(|it| self.usage_of(now, it, share));
        let tightest = usages.min_by(|a, b| a.room().total_cmp(&b.room()));
        tightest.unwrap_or(Usage { requests: 0, retries: 0, allowed: 0.0 })
    }

    /// Returns what this entry has used and may use in the window that began `age` ago. Until half
    /// of it is over, the requests of half a window before it earn retries too: a choice by time
    /// alone, as the sum over entries that each take their better window exceeds both.
    fn usage_of(&self, now: Time, age: Duration, share: f64) -> Usage {
        let Settings { ratio, window, slack } = self.settings;
        let half = window / 2;
        let start = now.back(age);
        let requests = match age < half {
            true => self.requests(now, start.back(half), now + (half - age)),
            false => self.requests(now, start, now + (window - age)),
        };
        let bucket_length = self.bucket_length();
        let since = self.buckets.iter().filter(|it| it.start + bucket_length > start);
        let retries = since.map(|it| it.retries).sum();
        let allowed = ratio * EARNED_FRACTION * f64::from(requests) + slack * share;
        Usage { requests, retries, allowed }
    }

    /// Returns the requests of the buckets that lie between `from` and `to`.
    fn requests(&self, now: Time, from: Time, to: Time) -> u32 {
        let bucket_length = self.bucket_length();
        let end = |it: &Bucket| (it.start + bucket_length).min(now);
        let is_within = |it: &&Bucket| it.start >= from && end(it) <= to;
        self.buckets.iter().filter(is_within).map(|it| it.requests).sum()
    }

    /// Counts a retry that is going to be sent.
    pub fn record_retry(&mut self, now: Time) {
        self.current_bucket(now).retries += 1;
    }

    /// Takes back a retry counted at `recorded_at`, which is not sent after all.
    pub fn cancel_retry(&mut self, recorded_at: Time) {
        let bucket = self.buckets.iter_mut().rfind(|it| it.start <= recorded_at);
        if let Some(bucket) = bucket {
            bucket.retries = bucket.retries.saturating_sub(1);
        }
    }

    /// Returns the bucket that `now` falls into, and drops buckets that no window needs any more.
    fn current_bucket(&mut self, now: Time) -> &mut Bucket {
        let bucket_length = self.bucket_length();
        let oldest = now.back(self.settings.window * 3 / 2 + bucket_length);
        while self.buckets.front().is_some_and(|it| it.start < oldest) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|it| now.since(it.start) >= bucket_length) {
            self.buckets.push_back(Bucket { start: now, requests: 0, retries: 0 });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    fn bucket_length(&self) -> Duration {
        self.settings.window / BUCKETS
    }
}
