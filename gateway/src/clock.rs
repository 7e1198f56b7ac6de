//! Monotonic clock for decisions: the runtime's clock plus the time for which the instance was
//! suspended, which that clock doesn't count.

use decision::clock::Time;
use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Time since the start of the process, suspensions of the instance included.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
    /// Microseconds of suspension before the start of the process.
    suspended_before: i64,
}

impl Clock {
    /// Starts the clock at zero.
    pub(crate) fn start() -> Clock {
        Clock { start: Instant::now(), suspended_before: suspended_micros() }
    }

    /// Returns the time since the start.
    pub(crate) fn now(&self) -> Time {
        let suspended =
            u64::try_from((suspended_micros() - self.suspended_before).max(0)).unwrap_or_default();
        let running = self.start.elapsed().as_micros();
        Time::from_micros(u64::try_from(running).unwrap_or(u64::MAX).saturating_add(suspended))
    }

    /// Converts `time` to the runtime's clock. Holds only if the instance isn't suspended before
    /// then.
    pub(crate) fn instant(&self, time: Time) -> Instant {
        Instant::now() + time.since(self.now())
    }
}

/// Returns the microseconds for which the instance was suspended since it booted.
fn suspended_micros() -> i64 {
    let boot = clock_gettime(ClockId::Boottime);
    let monotonic = clock_gettime(ClockId::Monotonic);
    (boot.tv_sec - monotonic.tv_sec) * 1_000_000 + (boot.tv_nsec - monotonic.tv_nsec) / 1_000
}
