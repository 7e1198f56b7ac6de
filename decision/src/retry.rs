//! Whether and when a failed request is tried again.

use crate::declaration::Repeat;
use crate::outcome::Outcome;
use crate::prelude::*;

/// Bounds on retries.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Retries allowed for each success, in thousandths.
    pub per_mille: u32,
    /// Retries that may be saved up.
    pub reserve: u32,
    /// Attempts of one request, the first one included.
    pub attempts: u32,
    /// Upper bound of the first delay.
    pub base: Duration,
    /// Upper bound of any delay.
    pub cap: Duration,
}

/// Retries that a service may still make: a part of its successes.
#[derive(Clone, Debug)]
pub struct Budget {
    milli: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            per_mille: 100,
            reserve: 100,
            attempts: 3,
            base: Duration::from_millis(50),
            cap: Duration::from_secs(2),
        }
    }
}

impl Settings {
    /// The delay before attempt number `attempt` (1 is the first retry). `random` is uniform.
    pub fn delay(&self, attempt: u32, random: u64) -> Duration {
        let doubled = self.base.saturating_mul(1 << attempt.saturating_sub(1).min(16));
        let bound = doubled.min(self.cap);
        let part = (random >> 32) as u32;
        bound.mul_f64(f64::from(part) / f64::from(u32::MAX))
    }
}

impl Budget {
    /// A budget that starts with its reserve.
    pub fn new(settings: &Settings) -> Budget {
        Budget { milli: u64::from(settings.reserve) * 1_000 }
    }

    /// Counts a success.
    pub fn earn(&mut self, settings: &Settings) {
        let most = u64::from(settings.reserve) * 1_000;
        self.milli = (self.milli + u64::from(settings.per_mille)).min(most);
    }

    /// Takes one retry, if there is one left.
    pub fn spend(&mut self) -> bool {
        let enough = self.milli >= 1_000;
        if enough {
            self.milli -= 1_000;
        }
        enough
    }
}

/// Whether a request may be sent again, given what is known of all its attempts so far.
pub fn may_repeat(repeat: Repeat, outcome: Outcome) -> bool {
    repeat == Repeat::Idempotent || outcome == Outcome::NotRun
}
