//! Rendezvous hashing: picks entries for a piece of work without messages.
//!
//! Every entry computes the same ranking from the same roster. When an entry leaves, only its own
//! work moves.

use std::collections::BTreeSet;

use xxhash_rust::xxh3::xxh3_64;

use crate::head::Roster;
use crate::name::Name;

/// The entries of `roster`, best first, for the work named `key`.
pub fn ranking<'a>(roster: &'a Roster, key: &str) -> Vec<&'a Name> {
    let mut scored: Vec<_> = roster.keys().map(|entry| (score(entry, key), entry)).collect();
    scored.sort_unstable_by(|a, b| b.cmp(a));
    scored.into_iter().map(|(_, entry)| entry).collect()
}

/// The place of `entry` in the ranking for `key`, from 0, or the roster's length if absent.
pub fn rank(roster: &Roster, key: &str, entry: &Name) -> usize {
    if !roster.contains_key(entry) {
        return roster.len();
    }
    let own = (score(entry, key), entry);
    roster.keys().filter(|it| (score(it, key), *it) > own).count()
}

/// Up to `count` entries for `key`, each from another failure domain as far as there are any.
pub fn spread<'a>(roster: &'a Roster, key: &str, count: usize) -> Vec<&'a Name> {
    let ranking = ranking(roster, key);
    let mut used = BTreeSet::new();
    let (first, rest): (Vec<_>, Vec<_>) = ranking
        .into_iter()
        .partition(|it| roster.get(*it).is_some_and(|it| used.insert(&it.failure_domain)));
    first.into_iter().chain(rest).take(count).collect()
}

fn score(entry: &Name, key: &str) -> u64 {
    let mut text = Vec::with_capacity(entry.as_str().len() + key.len() + 1);
    text.extend_from_slice(entry.as_str().as_bytes());
    text.push(0);
    text.extend_from_slice(key.as_bytes());
    xxh3_64(&text)
}
