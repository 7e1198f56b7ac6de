//! Points in time on one process's monotonic clock.

use std::ops::{Add, Sub};
use std::time::Duration;

/// A point in time, in microseconds since the process started.
///
/// Times of different processes are never compared. Only elapsed durations leave a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(u64);

impl Time {
    /// The start of the process.
    pub const ZERO: Time = Time(0);

    /// The point that lies `micros` microseconds after the start.
    pub const fn from_micros(micros: u64) -> Time {
        Time(micros)
    }

    /// The point that lies `millis` milliseconds after the start.
    pub const fn from_millis(millis: u64) -> Time {
        Time(millis * 1_000)
    }

    /// Microseconds since the start.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The time elapsed since `earlier`, or zero if `earlier` lies in the future.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// The point `span` before this one, or the start of the process if that comes later.
    pub fn back(self, span: Duration) -> Time {
        Time(self.0.saturating_sub(micros(span)))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, span: Duration) -> Time {
        Time(self.0.saturating_add(micros(span)))
    }
}

impl Sub for Time {
    type Output = Duration;

    fn sub(self, earlier: Time) -> Duration {
        self.since(earlier)
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
