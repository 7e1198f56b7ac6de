//! Who takes over the replicas when nobody owns them, and after which pause.
//!
//! Nothing depends on the order of the candidates: the store lets one of them win. It makes the
//! one win that knows most, as a rule without a race.

use crate::gateway::exchange::Rank;
use crate::prelude::*;

/// How long candidates wait for each other.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time without an owner after which the first candidate takes over.
    pub base_delay: Duration,
    /// Time by which each further candidate waits longer.
    pub delay_per_rank: Duration,
    /// Time by which an entry waits longer that hears less than half of the others.
    pub minority_delay: Duration,
}

/// An entry that may own the replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its name.
    pub name: String,
    /// Thousandths of a core that it may use. An owner has much to do.
    pub millicores: u32,
    /// Whether it reaches the store.
    pub has_store: bool,
    /// Whether it has watched the instances for long enough to know those that are cut off from
    /// the list.
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

/// Time without an owner after which `own` takes over, given the other living candidates that come
/// first. `alive` of the other `entries` live. None if it can't.
pub fn takeover_delay(
    settings: &Settings,
    own: &Candidate,
    others: &[Candidate],
    alive: usize,
    entries: usize,
) -> Option<Duration> {
    if !own.has_store {
        return None;
    }
    let before = others.iter().filter(|it| it.has_store && it.rank() < own.rank()).count();
    let before = u32::try_from(before).unwrap_or(u32::MAX);
    let minority = (alive + 1) * 2 < entries;
    let longer = if minority { settings.minority_delay } else { Duration::ZERO };
    Some(settings.base_delay + settings.delay_per_rank.saturating_mul(before) + longer)
}

/// Whether a candidate leaves the replicas to the holder of the lease that it has just read, for
/// one more pause. `known` is the fencing token of the lease when it read it before.
///
/// A holder that lives and has won since then is about to give orders, though it wasn't heard yet.
/// One that still isn't heard after the pause has given up.
pub fn defers_to_holder(fence: u64, known: Option<u64>, holder_lives: bool) -> bool {
    holder_lives && known != Some(fence)
}

impl Candidate {
    /// Candidates take over in this order.
    pub fn rank(&self) -> (bool, Rank<'_>) {
        (!self.has_history, Rank::new(&self.name, self.millicores))
    }
}
