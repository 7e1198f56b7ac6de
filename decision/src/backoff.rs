//! Waits between attempts, spread so that many processes do not try at once.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Waits that double from attempt to attempt up to a limit, each drawn from an even spread
/// between half that value and the whole ("equal jitter").
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// The longest wait before the second attempt.
    pub first: Duration,
    /// The longest wait before any attempt.
    pub limit: Duration,
}

impl Default for Backoff {
    fn default() -> Backoff {
        Backoff { first: Duration::from_millis(100), limit: Duration::from_secs(5) }
    }
}

impl Backoff {
    /// The wait after `failures` failures in a row; at least one.
    ///
    /// `seed` differs between processes, so that their waits differ.
    pub fn delay(&self, failures: u32, seed: u64) -> Duration {
        let longest = self.longest(failures);
        let draw = xxh3_64_with_seed(&failures.to_le_bytes(), seed);
        (longest + longest.mul_f64(draw as f64 / u64::MAX as f64)) / 2
    }

    /// The longest wait after `failures` failures in a row.
    pub fn longest(&self, failures: u32) -> Duration {
        let doublings = failures.saturating_sub(1).min(31);
        self.first.saturating_mul(1 << doublings).min(self.limit)
    }
}
