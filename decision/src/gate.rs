//! Holds back a failure domain that returned until its first requests show that it answers.
//!
//! A few requests probe it. The number doubles while few enough of them fail; too many errors
//! stop all of them for a while. The gate ends once the number is large.

use crate::prelude::*;
use crate::ramp::Sign;

/// How a failure domain that returned is probed.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Requests of this entry in prefill there at first.
    pub first: u32,
    /// The number at which the gate ends.
    pub last: u32,
    /// Largest part of the probes that may fail, in hundredths.
    pub error_percent: u32,
    /// Time without new requests after too many errors.
    pub hold: Duration,
    /// Longest such time. Each further one doubles.
    pub max_hold: Duration,
    /// Time after which a gate ends to which no request came that may be repeated.
    pub patience: Duration,
}

/// The state of one failure domain that returned, at this entry.
#[derive(Clone, Debug)]
pub struct Gate {
    began: Time,
    /// When the present number was set. What was sent before does not count.
    since: Time,
    window: u32,
    pending: u32,
    good: u32,
    bad: u32,
    hold: Duration,
    held_until: Time,
    probed: bool,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            first: 1,
            last: 64,
            error_percent: 10,
            hold: Duration::from_secs(1),
            max_hold: Duration::from_secs(30),
            patience: Duration::from_secs(60),
        }
    }
}

impl Gate {
    /// The gate of a failure domain that returned at `now`.
    pub fn new(now: Time, settings: &Settings) -> Gate {
        Gate {
            began: now,
            since: now,
            window: settings.first,
            pending: 0,
            good: 0,
            bad: 0,
            hold: Duration::ZERO,
            held_until: now,
            probed: false,
        }
    }

    /// Whether one more request that may be repeated goes there.
    pub fn admits(&self, now: Time) -> bool {
        self.held_until <= now && self.pending < self.window
    }

    /// Whether the failure domain has shown that it answers, or nothing can show it.
    pub fn is_over(&self, now: Time, settings: &Settings) -> bool {
        let forgotten = !self.probed && now.since(self.began) >= settings.patience;
        self.window >= settings.last || forgotten
    }

    /// Counts a request that goes there.
    pub fn send(&mut self) {
        self.pending += 1;
        self.probed = true;
    }

    /// Counts a request sent at `sent` whose first token came or that ended before.
    pub fn settle(&mut self, sent: Time) {
        if sent >= self.began {
            self.pending = self.pending.saturating_sub(1);
        }
    }

    /// Counts how a request went that was sent at `sent`.
    pub fn record(&mut self, now: Time, sent: Time, sign: Sign, settings: &Settings) {
        if sent < self.since {
            return;
        }
        match sign {
            Sign::Good | Sign::Slow => self.good += 1,
            Sign::Bad => self.bad += 1,
        }
        let all = (self.good + self.bad).max(self.window);
        if self.bad * 100 > all * settings.error_percent {
            self.close(now, settings);
        } else if self.good + self.bad >= self.window {
            self.window *= 2;
            self.restart(now);
        }
    }

    fn close(&mut self, now: Time, settings: &Settings) {
        self.hold = (self.hold * 2).clamp(settings.hold, settings.max_hold);
        self.held_until = now + self.hold;
        self.window = settings.first;
        self.restart(self.held_until);
    }

    fn restart(&mut self, since: Time) {
        self.since = since;
        self.good = 0;
        self.bad = 0;
    }
}
