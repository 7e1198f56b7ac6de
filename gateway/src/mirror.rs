//! A copy of the store's objects, which peers can read in place of the store.
//!
//! Every list and every change passes through the mirror before anything else uses it. The objects
//! of a kind are complete up to one revision, so only what came later is new, whether the store or
//! a peer reports it, and however late it arrives.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::sync::Arc;

use decision::prelude::*;
use serde::{Deserialize, Serialize};

use crate::port::{Changes, Item, Kind};

/// Most changes of one kind that are kept for peers that lag behind.
const MAX_HISTORY_CHANGES: usize = 256;

/// The objects of all kinds as far as this entry knows them.
#[derive(Debug, Default)]
pub struct Mirror {
    kinds: HashMap<Kind, Objects>,
}

/// The objects of one kind.
#[derive(Debug, Default)]
struct Objects {
    /// Objects by name.
    items: BTreeMap<Arc<str>, Item>,
    /// The revision up to which all changes are in `items`. Never decreases.
    revision: u64,
    /// Whether the store no longer has the changes after `revision`.
    needs_list: bool,
    /// When the objects were last known to be up to date; `None` before the first list.
    confirmed_at: Option<Time>,
    /// The latest changes, oldest first, each with the revision that it follows on.
    history: VecDeque<(u64, Changes)>,
}

/// What one entry sends another about one kind of objects.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Update {
    /// The kind of the objects.
    pub kind: Kind,
    /// All objects, if the receiver has none or its revision is older than the kept changes.
    pub list: Option<Vec<Item>>,
    /// The changes since the receiver's revision. With a list, only its revision.
    pub changes: Changes,
}

/// A list or changes that are older than what the mirror holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("revision {received} is older than the known revision {known}")]
pub struct Outdated {
    /// The revision of the list or of the last change.
    pub received: u64,
    /// The revision up to which the mirror is complete.
    pub known: u64,
}

impl Mirror {
    /// Replaces the objects of `kind` by the list `items`, which was up to date at `confirmed_at`.
    /// Returns the differences. An object that the mirror has at a later revision than the list
    /// stays.
    ///
    /// # Errors
    ///
    /// If the list is older than what the mirror holds. Nothing is changed then.
    pub fn apply_list(
        &mut self,
        kind: Kind,
        revision: u64,
        confirmed_at: Time,
        items: &[Item],
    ) -> Result<Changes, Outdated> {
        let objects = self.kinds.entry(kind).or_default();
        objects.check_age(revision)?;
        let new_changes = objects.list_changes(revision, items);
        objects.apply(&new_changes);
        objects.history.clear();
        objects.needs_list = false;
        objects.confirmed_at = objects.confirmed_at.max(Some(confirmed_at));
        Ok(new_changes)
    }

    /// Applies changes that follow on a revision which the mirror had, and which were complete at
    /// `confirmed_at`. Returns those that are new. Changes of a kind that was never listed are
    /// ignored.
    ///
    /// # Errors
    ///
    /// If they end before the revision that the mirror holds. Nothing is changed then.
    pub fn apply_changes(
        &mut self,
        kind: Kind,
        confirmed_at: Time,
        changes: &Changes,
    ) -> Result<Changes, Outdated> {
        let objects = self.kinds.entry(kind).or_default();
        // Changes alone don't make a complete list.
        let Some(before) = objects.confirmed_at else { return Ok(Changes::default()) };
        objects.check_age(changes.revision)?;
        objects.confirmed_at = Some(before.max(confirmed_at));
        let new_changes = objects.new_changes(changes);
        let since = objects.revision;
        objects.apply(&new_changes);
        if !changes.is_empty() && since < changes.revision {
            objects.history.push_back((since, changes.clone()));
        }
        if objects.history.len() > MAX_HISTORY_CHANGES {
            objects.history.pop_front();
        }
        Ok(new_changes)
    }

    /// Notes that the store no longer has the changes after the known revision of `kind`, so that
    /// the kind has to be listed again. The known objects stay in force until then.
    pub fn require_list(&mut self, kind: Kind) {
        self.kinds.entry(kind).or_default().needs_list = true;
    }

    /// Returns the known objects of `kind`.
    pub fn items(&self, kind: Kind) -> impl Iterator<Item = &Item> {
        self.kinds.get(&kind).into_iter().flat_map(|it| it.items.values())
    }

    /// Returns the revision to watch `kind` from; `None` if it has to be listed first.
    pub fn watch_revision(&self, kind: Kind) -> Option<u64> {
        let objects = self.kinds.get(&kind).filter(|it| !it.needs_list)?;
        objects.confirmed_at.map(|_| objects.revision)
    }

    /// Returns when `kind` was last known to be up to date; `None` before its first list.
    pub fn confirmed_at(&self, kind: Kind) -> Option<Time> {
        self.kinds.get(&kind)?.confirmed_at
    }

    /// Returns whether a peer with revision `since` lacks something of `kind`.
    pub fn has_update(&self, kind: Kind, since: Option<u64>) -> bool {
        let Some(objects) = self.kinds.get(&kind).filter(|it| it.confirmed_at.is_some()) else {
            return false;
        };
        let last = objects.history.back().map_or(0, |(_, it)| it.revision);
        since.is_none_or(|it| it < last || it < objects.oldest_revision())
    }

    /// Returns what a peer with revision `since` lacks of `kind`; `None` if this entry has no list
    /// of the kind.
    pub fn update_since(&self, kind: Kind, since: Option<u64>) -> Option<Update> {
        let objects = self.kinds.get(&kind).filter(|it| it.confirmed_at.is_some())?;
        let revision = objects.revision;
        let Some(since) = since.filter(|it| *it >= objects.oldest_revision()) else {
            let list = objects.items.values().cloned().collect();
            let changes = Changes { revision, ..Changes::default() };
            return Some(Update { kind, list: Some(list), changes });
        };
        let mut changes = Changes { revision: revision.max(since), ..Changes::default() };
        let later = objects.history.iter().filter(|(_, it)| it.revision > since);
        later.for_each(|(_, it)| changes.merge(it));
        Some(Update { kind, list: None, changes })
    }
}

impl Objects {
    /// Checks that a list or changes up to `revision` are not older than the known objects.
    fn check_age(&self, revision: u64) -> Result<(), Outdated> {
        match revision < self.revision {
            true => Err(Outdated { received: revision, known: self.revision }),
            false => Ok(()),
        }
    }

    /// Returns what differs in a list that is not older than the known objects.
    fn list_changes(&self, revision: u64, items: &[Item]) -> Changes {
        let listed: HashSet<&str> = items.iter().map(|it| &*it.name).collect();
        let put = items
            .iter()
            .filter(|it| self.revision_of(&it.name).is_none_or(|known| known < it.revision));
        let gone = self.items.keys().filter(|it| !listed.contains(&***it));
        let gone = gone.filter(|it| self.is_removed(it, revision));
        Changes { put: put.cloned().collect(), gone: gone.cloned().collect(), revision }
    }

    /// Returns what is new in changes that don't end before the known revision. An object that
    /// isn't known didn't exist at that revision, so an older put doesn't bring it back.
    fn new_changes(&self, received: &Changes) -> Changes {
        let known = |it: &Item| self.revision_of(&it.name).unwrap_or(self.revision);
        let put = received.put.iter().filter(|it| known(it) < it.revision);
        let gone = received.gone.iter().filter(|it| self.is_removed(it, received.revision));
        Changes {
            put: put.cloned().collect(),
            gone: gone.cloned().collect(),
            revision: received.revision,
        }
    }

    /// Returns the revision of the object `name`, if it is known.
    fn revision_of(&self, name: &str) -> Option<u64> {
        self.items.get(name).map(|it| it.revision)
    }

    /// Returns whether the known object `name` is removed by a deletion up to `revision`. A later
    /// page of a list may have shown a newer object of the same name, which stays.
    fn is_removed(&self, name: &str, revision: u64) -> bool {
        self.revision_of(name).is_some_and(|known| known <= revision)
    }

    /// Applies changes that are new.
    fn apply(&mut self, new_changes: &Changes) {
        self.revision = new_changes.revision;
        let items = new_changes.put.iter().map(|it| (it.name.clone(), it.clone()));
        self.items.extend(items);
        new_changes.gone.iter().for_each(|it| drop(self.items.remove(it)));
    }

    /// Returns the oldest revision after which all changes are kept.
    fn oldest_revision(&self) -> u64 {
        self.history.front().map_or(self.revision, |(before, _)| *before)
    }
}

impl Changes {
    /// Returns whether there are no changes.
    pub fn is_empty(&self) -> bool {
        self.put.is_empty() && self.gone.is_empty()
    }

    /// Merges `later` changes into these.
    fn merge(&mut self, later: &Changes) {
        let is_replaced = |name: &Arc<str>| {
            later.gone.contains(name) || later.put.iter().any(|it| it.name == *name)
        };
        self.put.retain(|it| !is_replaced(&it.name));
        self.gone.retain(|it| !is_replaced(it));
        self.put.extend(later.put.iter().cloned());
        self.gone.extend(later.gone.iter().cloned());
    }
}
