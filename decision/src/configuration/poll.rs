//! When an entry calls the store for the head.

use crate::backoff::Backoff;
use crate::configuration::watcher::Role;
use crate::prelude::*;

/// The spans between calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cadence {
    /// How long a watch waits at the store.
    pub wait: Duration,
    /// Shortest time from one call to the next, however fast the store answers.
    pub floor: Duration,
    /// Shortest silence of the peers after which a listener reads the store itself.
    pub silence: Duration,
    /// Longest time from one call of a listener to the next, however much it hears from peers.
    pub idle: Duration,
    /// Waits after calls that failed.
    pub backoff: Backoff,
}

impl Default for Cadence {
    fn default() -> Cadence {
        Cadence {
            wait: Duration::from_secs(1),
            floor: Duration::from_millis(50),
            silence: Duration::from_millis(2_000),
            idle: Duration::from_secs(20),
            backoff: Backoff { first: Duration::from_secs(1), ..Backoff::default() },
        }
    }
}

/// Decides when the next call is due.
#[derive(Clone, Debug)]
pub struct Poll {
    cadence: Cadence,
    seed: u64,
    failures: u32,
    /// The first time at which a call may be made again.
    ready_at: Time,
    /// When the entry last had evidence of the store's state, by itself or through peers.
    evidence_at: Option<Time>,
    /// When the last call that the store answered was sent.
    called_at: Time,
}

impl Poll {
    /// A schedule that calls at once. `seed` differs between entries.
    pub fn new(cadence: Cadence, seed: u64) -> Poll {
        let (ready_at, called_at) = (Time::ZERO, Time::ZERO);
        Poll { cadence, seed, failures: 0, ready_at, evidence_at: None, called_at }
    }

    /// Records that the store's state at `at` is known, from a peer.
    pub fn heard(&mut self, at: Time) {
        self.evidence_at = self.evidence_at.max(Some(at));
    }

    /// Records an answer of the store to a call that was sent at `sent`.
    pub fn succeeded(&mut self, sent: Time) {
        self.failures = 0;
        self.ready_at = sent + self.cadence.floor;
        self.called_at = sent;
        self.heard(sent);
    }

    /// Records a call that failed.
    pub fn failed(&mut self, now: Time) {
        self.failures = self.failures.saturating_add(1);
        self.ready_at = now + self.cadence.backoff.delay(self.failures, self.seed);
    }

    /// When the next call is due. It may lie in the past.
    ///
    /// A listener waits for one silence to two, so that not all listeners call at once when the
    /// watchers fall silent, and calls now and then even if they don't.
    pub fn due(&self, role: Role) -> Time {
        match (role, self.evidence_at) {
            (Role::Watcher, _) | (_, None) => self.ready_at,
            (Role::Listener, Some(at)) => {
                let patience = self.spread(self.cadence.silence * 2, at);
                let idle = self.spread(self.cadence.idle, self.called_at);
                self.ready_at.max((at + patience).min(self.called_at + idle))
            }
        }
    }

    /// A span between half of `longest` and the whole, which differs between entries.
    fn spread(&self, longest: Duration, since: Time) -> Duration {
        let draw = Backoff { first: longest, limit: longest };
        draw.delay(1, self.seed ^ since.as_micros())
    }

    /// How long the next watch waits at the store: nothing for the first call and after failures.
    pub fn wait(&self, role: Role) -> Duration {
        match role {
            Role::Watcher if self.failures == 0 && self.evidence_at.is_some() => self.cadence.wait,
            _ => Duration::ZERO,
        }
    }
}
