//! Which entries watch the store for all.

use xxhash_rust::xxh3::xxh3_64;

use crate::head::Roster;
use crate::name::Name;

/// How an entry hears of new heads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    /// It watches the store.
    Watcher,
    /// It hears from peers, and reads the store only when they fall silent.
    Listener,
}

/// The role of entry `name`: each failure domain of the roster has `watchers` watchers.
///
/// Rendezvous hashing picks them among the entries that `is_live` does not hold for silent, so
/// that the loss of one moves few of them and entries with the same view come to the same answer.
/// An entry that the roster does not list watches for itself.
pub fn role(
    roster: &Roster,
    name: &Name,
    watchers: usize,
    is_live: impl Fn(&Name) -> bool,
) -> Role {
    let Some(own) = roster.get(name) else { return Role::Watcher };
    let domain = &own.failure_domain;
    let weight = |it: &Name| (xxh3_64(it.as_str().as_bytes()), it.clone());
    let own_weight = weight(name);
    let neighbours = roster.iter().filter(|(_, member)| member.failure_domain == *domain);
    let heavier = neighbours.filter(|(it, _)| weight(it) > own_weight && is_live(it));
    let heavier = heavier.take(watchers).count();
    if heavier < watchers { Role::Watcher } else { Role::Listener }
}
