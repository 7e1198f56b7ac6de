//! The process's monotonic clock, as decisions see it.

use decision::clock::Time;
use tokio::time::Instant;

/// Turns the runtime's clock into points in time for decisions.
#[derive(Clone, Copy, Debug)]
pub struct Uptime {
    start: Instant,
}

impl Uptime {
    /// A clock that starts now.
    pub fn start() -> Uptime {
        Uptime { start: Instant::now() }
    }

    /// The time since the start.
    pub fn now(&self) -> Time {
        Time::ZERO + self.start.elapsed()
    }

    /// The runtime's instant of `time`.
    pub fn instant(&self, time: Time) -> Instant {
        self.start + time.since(Time::ZERO)
    }
}
