//! Decides what a stopping entry still passes on, and when it answers what is left.

use std::collections::HashMap;
use std::sync::Arc;

use crate::prelude::*;

/// Time for which the longest times of requests are kept at least. After twice that they are gone.
const WINDOW: Duration = Duration::from_secs(60);

/// Largest number of routes whose times are kept.
const MAX_ROUTES: usize = 1_024;

/// How the grace period is divided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Time for which new connections are accepted, at most half of the grace period: the platform
    /// checks the readiness once a second, and sends none after two failed checks.
    pub accepting: Duration,
    /// Time before the end of the process at which what is left is answered.
    pub answering: Duration,
    /// Time before the end of the grace period at which the process ends at the latest: it may have
    /// noticed the signal late, and writes its last log lines.
    pub margin: Duration,
    /// Factor by which a request may take longer than any like it lately.
    pub headroom: f64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            accepting: Duration::from_millis(2_600),
            answering: Duration::from_millis(250),
            margin: Duration::from_millis(250),
            headroom: 1.25,
        }
    }
}

/// The grace period of an entry that was asked to stop.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Grace {
    settings: Settings,
    accepts_until: Time,
    closes_at: Time,
    ends_at: Time,
}

impl Grace {
    /// Returns the grace period of `length` that began at `begun`.
    pub fn new(begun: Time, length: Duration, settings: Settings) -> Grace {
        let ends_at = begun + length.saturating_sub(settings.margin);
        Grace {
            settings,
            accepts_until: begun + settings.accepting.min(length / 2),
            closes_at: ends_at.back(settings.answering).max(begun),
            ends_at,
        }
    }

    /// Returns when the entry stops accepting connections.
    pub fn accepts_until(&self) -> Time {
        self.accepts_until
    }

    /// Returns when all requests that have no answer by then get one.
    pub fn closes_at(&self) -> Time {
        self.closes_at
    }

    /// Returns when the process ends at the latest.
    pub fn ends_at(&self) -> Time {
        self.ends_at
    }

    /// Returns whether a request that times out at `limit` may be passed on: it ends in time by its
    /// limit, or by what such requests take at most, if that is known. What is unknown is passed on
    /// while callers can't know that the entry stops.
    pub fn admits(&self, now: Time, limit: Time, longest: Option<Duration>) -> bool {
        if limit <= self.closes_at {
            return true;
        }
        match longest {
            Some(longest) => now + longest.mul_f64(self.settings.headroom) <= self.closes_at,
            None => now <= self.accepts_until,
        }
    }
}

/// What one request took at its targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sample {
    /// Time until its first event, or its answer if that comes as a whole.
    pub first: Duration,
    /// Time from the first event to the last one.
    pub writing: Duration,
    /// Number of tokens that it asked for.
    pub tokens: u64,
}

/// The longest that requests took lately, by route.
#[derive(Clone, Debug, Default)]
pub struct Longest {
    routes: HashMap<Arc<str>, Windows>,
}

/// The longest times in the current window and the one before.
#[derive(Clone, Copy, Debug)]
struct Windows {
    since: Time,
    current: Option<Times>,
    previous: Option<Times>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Times {
    first: Duration,
    /// Time for each token that was asked for.
    token: Duration,
}

impl Longest {
    /// Records a request of `route` that ended at `now`. The times of a further route are not kept
    /// if there are too many.
    pub fn record(&mut self, now: Time, route: &Arc<str>, sample: Sample) {
        if !self.routes.contains_key(route) && self.routes.len() >= MAX_ROUTES {
            self.routes.retain(|_, it| now.since(it.since) < WINDOW * 2);
            if self.routes.len() >= MAX_ROUTES {
                return;
            }
        }
        let windows = self.routes.entry(route.clone()).or_insert(Windows::new(now));
        windows.advance(now);
        let times = Times { first: sample.first, token: sample.writing / divisor(sample.tokens) };
        windows.current = Some(windows.current.unwrap_or_default().max(times));
    }

    /// Returns the longest that a request of `route` for `tokens` is expected to take, if there were
    /// any lately.
    pub fn expected(&self, now: Time, route: &str, tokens: u64) -> Option<Duration> {
        let mut windows = *self.routes.get(route)?;
        windows.advance(now);
        let known = [windows.current, windows.previous].into_iter().flatten();
        let times = known.reduce(Times::max)?;
        Some(times.first.saturating_add(times.token.saturating_mul(divisor(tokens))))
    }
}

impl Windows {
    fn new(since: Time) -> Windows {
        Windows { since, current: None, previous: None }
    }

    /// Begins a new window if the current one is over.
    fn advance(&mut self, now: Time) {
        let age = now.since(self.since);
        if age >= WINDOW * 2 {
            *self = Windows::new(now);
        } else if age >= WINDOW {
            *self = Windows { since: now, current: None, previous: self.current };
        }
    }
}

impl Times {
    fn max(self, other: Times) -> Times {
        Times { first: self.first.max(other.first), token: self.token.max(other.token) }
    }
}

/// Returns a number of tokens as a divisor: at least one.
fn divisor(tokens: u64) -> u32 {
    u32::try_from(tokens).unwrap_or(u32::MAX).max(1)
}
