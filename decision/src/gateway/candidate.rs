//! Decides which entry takes over the replicas when they have no owner, and after which delay.
//!
//! Correctness doesn't depend on the order of the candidates, since the store grants the lease to
//! only one of them. By the order, the candidate that knows most usually wins without a race.

use crate::gateway::exchange::Rank;
use crate::prelude::*;

/// Delays by which candidates let each other go first.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time without an owner after which the first candidate takes over.
    pub base_delay: Duration,
    /// Additional delay of a candidate for each one that comes before it.
    pub delay_per_rank: Duration,
    /// Additional delay of an entry that, together with the peers that it hears from, is less than
    /// half of all entries.
    pub minority_delay: Duration,
}

/// An entry that may own the replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the entry.
    pub name: String,
    /// CPU limit in thousandths of a core. Owning replicas takes much computation.
    pub millicores: u32,
    /// Whether the entry reaches the store.
    pub has_store: bool,
    /// Whether the entry has watched the instances for long enough to know those that are alive but
    /// missing from the list.
    pub has_history: bool,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            base_delay: Duration::from_millis(250),
            delay_per_rank: Duration::from_millis(700),
            minority_delay: Duration::from_secs(4),
        }
    }
}

/// Returns the time without an owner after which `own` takes over, or `None` if it doesn't reach
/// the store.
///
/// `peers` are the other candidates that are alive, `alive_count` is the number of peers that are
/// alive, and `entry_count` is the number of all entries, this one included.
pub fn takeover_delay(
    settings: &Settings,
    own: &Candidate,
    peers: &[Candidate],
    alive_count: usize,
    entry_count: usize,
) -> Option<Duration> {
    if !own.has_store {
        return None;
    }
    let ahead = peers.iter().filter(|it| it.has_store && it.rank() < own.rank()).count();
    let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
    let is_minority = (alive_count + 1) * 2 < entry_count;
    let extra = if is_minority { settings.minority_delay } else { Duration::ZERO };
    Some(settings.base_delay + settings.delay_per_rank.saturating_mul(ahead) + extra)
}

/// Returns whether a candidate leaves the replicas to the holder of the lease for one more delay.
///
/// `fence` is the fencing token of the lease as it was just read, `known` the one that was read
/// before. A holder that is alive and has acquired the lease since then is about to give orders,
/// although it hasn't been heard from yet. If it isn't heard from by the end of the delay, it
/// has given up.
pub fn defers_to_holder(fence: u64, known: Option<u64>, is_holder_alive: bool) -> bool {
    is_holder_alive && known != Some(fence)
}

impl Candidate {
    /// Returns the sort key of the order in which candidates take over.
    pub fn rank(&self) -> (bool, Rank<'_>) {
        (!self.has_history, Rank::new(&self.name, self.millicores))
    }
}
