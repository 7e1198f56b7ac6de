//! The time as decisions see it: the runtime's clock, and the time for which the instance was
//! suspended, which that clock leaves out.

use decision::clock::Time;
use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Counts from the start of the process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
    suspended: i64,
}

impl Clock {
    /// Starts to count.
    pub(crate) fn start() -> Clock {
        Clock { start: Instant::now(), suspended: suspended() }
    }

    /// The time now.
    pub(crate) fn now(&self) -> Time {
        let since = u64::try_from((suspended() - self.suspended).max(0)).unwrap_or_default();
        let running = self.start.elapsed().as_micros();
        Time::from_micros(u64::try_from(running).unwrap_or(u64::MAX).saturating_add(since))
    }

    /// The runtime's instant at `time`, as long as the instance isn't suspended before then.
    pub(crate) fn instant(&self, time: Time) -> Instant {
        Instant::now() + time.since(self.now())
    }
}

/// Microseconds for which the instance was suspended since it started.
fn suspended() -> i64 {
    let boot = clock_gettime(ClockId::Boottime);
    let steady = clock_gettime(ClockId::Monotonic);
    (boot.tv_sec - steady.tv_sec) * 1_000_000 + (boot.tv_nsec - steady.tv_nsec) / 1_000
}
