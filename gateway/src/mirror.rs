//! A copy of the store's objects, which peers can read in place of the store.
//!
//! Every list and every change passes through the mirror before anything else uses it. The objects
//! of a kind are complete up to one version, so only what came later is new, whether the store or
//! a peer reports it, and however late it arrives.
//!
//! After the store was restored from an older copy, each kind is listed anew. What the list shows
//! in an older state than the known one is held (see [`decision::gateway::hold`]): peers read the
//! stored objects here, and this entry acts on the objects in force.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use decision::gateway::era::{Era, Observation, Tracker, Version};
use decision::gateway::hold::{self, Holds, Stamp, Stamped};
use decision::prelude::*;
use serde::{Deserialize, Serialize};

use crate::history::History;
use crate::memory::Limiter;
use crate::port::{Changes, Item, Kind, Object};

/// The objects of all kinds as far as this entry knows them.
#[derive(Debug, Default)]
pub struct Mirror {
    eras: Tracker,
    kinds: HashMap<Kind, Objects>,
    history: History,
}

/// The objects of one kind.
#[derive(Debug, Default)]
struct Objects {
    /// Stored objects by name.
    items: BTreeMap<Arc<str>, Item>,
    /// Objects that are in force in another state than the stored one.
    holds: Holds<Item>,
    /// The version up to which all changes are in `items`. Never decreases.
    version: Version,
    /// Whether the store no longer has the changes after `version`.
    needs_list: bool,
    /// When the objects were last known to be up to date; `None` before the first list.
    confirmed_at: Option<Time>,
    /// Revision of the last change that is known.
    changed_at: u64,
}

/// What one entry sends another about one kind of objects.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Update {
    /// The kind of the objects.
    pub kind: Kind,
    /// All objects, if the receiver has none or its revision is older than the kept removals.
    pub list: Option<Vec<Item>>,
    /// The changes since the receiver's revision. With a list, only its revision.
    pub changes: Changes,
}

/// An object that is in force in another state than the store's.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Held {
    /// The kind of the object.
    pub kind: Kind,
    /// The name of the object.
    pub name: Arc<str>,
    /// The state in force; `None` if the object was removed.
    pub known: Option<Item>,
    /// Incarnation and count of the stamp of that state, or of the last one before the removal.
    pub stamp: Option<(u64, u64)>,
    /// Time for which it is still held, in milliseconds.
    pub left_ms: u64,
}

/// A list or changes that don't follow on what the mirror holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("version {received} does not follow on the known version {known}")]
pub struct Outdated {
    /// The version of the list or of the last change.
    pub received: Version,
    /// The version up to which the mirror is complete.
    pub known: Version,
}

impl Held {
    /// Sets the sequence of an instance, which isn't encoded with it, from the stamp.
    pub(crate) fn restore_sequence(&mut self) {
        if let Some(Object::Instance(instance)) = self.known.as_mut().map(|it| &mut it.object) {
            instance.sequence = self.stamp.map(|(_, count)| count);
        }
    }
}

impl Stamped for Item {
    fn stamp(&self) -> Option<Stamp> {
        match &self.object {
            Object::Config(config) => Some(Stamp { incarnation: 0, count: config.version }),
            Object::Instance(instance) => {
                let count = instance.sequence?;
                Some(Stamp { incarnation: instance.incarnation, count })
            }
            Object::Evacuation
            | Object::Entry(_)
            | Object::Lease(_)
            | Object::Quarantine
            | Object::Unreadable => None,
        }
    }

    fn is_same(&self, other: &Item) -> bool {
        match (&self.object, &other.object) {
            (Object::Instance(one), Object::Instance(other)) => one == other,
            _ => true,
        }
    }
}

impl Mirror {
    /// Returns a mirror without objects, whose history is charged to `limiter`.
    pub fn new(limiter: Limiter) -> Mirror {
        Mirror { history: History::new(limiter), ..Mirror::default() }
    }

    /// Returns the known era of the store.
    pub fn era(&self) -> Era {
        self.eras.known()
    }

    /// Decides on the era that a response of the store states. After a new era, all kinds have to
    /// be listed again; the known objects stay in force until then.
    pub fn observe_era(&mut self, stated: Option<Era>) -> Observation {
        self.eras.observe(stated)
    }

    /// Decides on the era that a peer states, as [`Mirror::observe_era`] does.
    pub fn observe_peer_era(&mut self, era: Era) -> Observation {
        self.eras.observe_peer(era)
    }

    /// Decides whether a list of `kind` at the revision `listed` shows that the store was restored,
    /// though it states no era. `known` is what [`Mirror::version`] was before the request.
    pub fn observe_revision(&mut self, known: Version, listed: u64) -> Option<Observation> {
        if known.era != self.era() {
            return None;
        }
        self.eras.observe_revision(known.revision, listed)
    }

    /// Returns the version up to which the objects of `kind` are known.
    pub fn version(&self, kind: Kind) -> Version {
        self.kinds.get(&kind).map(|it| it.version).unwrap_or_default()
    }

    /// Replaces the objects of `kind` by the list `items`, which was up to date at `confirmed_at`.
    /// Returns the differences in force. An object that the mirror has at a later revision of the
    /// same era than the list stays. After a new era, the state of an object that is known to be
    /// newer is held until `hold_until`.
    ///
    /// # Errors
    ///
    /// If the list is older than what the mirror holds. Nothing is changed then.
    pub fn apply_list(
        &mut self,
        kind: Kind,
        version: Version,
        confirmed_at: Time,
        items: &[Item],
        hold_until: Time,
    ) -> Result<Changes, Outdated> {
        let objects = self.kinds.entry(kind).or_default();
        objects.check_age(version)?;
        let is_restored = objects.version.era < version.era && objects.confirmed_at.is_some();
        let new_changes = match is_restored {
            true => objects.restore(version, items, hold_until),
            false => {
                let stored_changes = objects.list_changes(version.revision, items);
                objects.apply(version.era, confirmed_at, &stored_changes)
            }
        };
        objects.changed_at = items.iter().map(|it| it.revision).max().unwrap_or_default();
        self.history.restart(kind, version.revision);
        objects.needs_list = false;
        objects.confirmed_at = objects.confirmed_at.max(Some(confirmed_at));
        Ok(new_changes)
    }

    /// Applies changes that follow on a revision of `era` which the mirror had, and which were
    /// complete at `confirmed_at`. Returns those that are new and in force. Changes of a kind that
    /// was never listed are ignored.
    ///
    /// # Errors
    ///
    /// If they end before the version that the mirror holds, or are of a later era. Nothing is
    /// changed then.
    pub fn apply_changes(
        &mut self,
        kind: Kind,
        era: Era,
        confirmed_at: Time,
        changes: &Changes,
    ) -> Result<Changes, Outdated> {
        let objects = self.kinds.entry(kind).or_default();
        // Changes alone don't make a complete list.
        let Some(before) = objects.confirmed_at else { return Ok(Changes::default()) };
        let version = Version { era, revision: changes.revision };
        objects.check_age(version)?;
        if era != objects.version.era {
            return Err(Outdated { received: version, known: objects.version });
        }
        objects.confirmed_at = Some(before.max(confirmed_at));
        let stored_changes = objects.new_changes(changes);
        let since = objects.version.revision;
        let new_changes = objects.apply(era, confirmed_at, &stored_changes);
        if !changes.is_empty() {
            objects.changed_at = objects.changed_at.max(changes.revision);
        }
        if since < changes.revision {
            // A peer may know an object that was created and removed after `since`.
            let gone = changes.gone.iter().filter(|it| !objects.items.contains_key(*it));
            gone.for_each(|it| self.history.record(kind, it, changes.revision));
        }
        Ok(new_changes)
    }

    /// Holds what a peer knows better than the store, until `hold_until` at most. Returns what is
    /// new.
    pub fn adopt(&mut self, now: Time, held: Held, hold_until: Time) -> Changes {
        let Held { kind, name, known, stamp, left_ms } = held;
        let objects = self.kinds.entry(kind).or_default();
        let until = (now + Duration::from_millis(left_ms)).min(hold_until);
        let stamp = stamp.map(|(incarnation, count)| Stamp { incarnation, count });
        let stored = objects.items.get(&name);
        let mut changes = Changes { revision: objects.version.revision, ..Changes::default() };
        if objects.holds.adopt(&name, until, (known.clone(), stamp), stored) {
            match known {
                Some(known) => changes.put.push(known),
                None => changes.gone.push(name),
            }
        }
        changes
    }

    /// Ends the holds whose time is over. Returns what changes, by kind.
    pub fn expire_holds(&mut self, now: Time) -> Vec<(Kind, Changes)> {
        let kinds = self.kinds.iter_mut().filter(|(_, it)| !it.holds.is_empty());
        let changes = kinds.map(|(kind, objects)| {
            let expired = objects.holds.expire(now);
            (*kind, in_force(objects.version.revision, expired))
        });
        changes.filter(|(_, it)| !it.is_empty()).collect()
    }

    /// Returns the number of objects of `kind` that are held.
    pub fn held_count(&self, kind: Kind) -> usize {
        self.kinds.get(&kind).map_or(0, |it| it.holds.len())
    }

    /// Returns what an entry that starts can't learn from the store in the era `era`: the objects
    /// that are held, or everything in force if this entry knows only an earlier era.
    pub fn held(&self, now: Time, era: Era, hold: Duration) -> Vec<Held> {
        let is_behind = self.era() < era;
        let kinds = self.kinds.iter();
        kinds
            .flat_map(|(kind, objects)| match is_behind {
                true => objects.all_held(*kind, hold),
                false => objects.held(*kind, now),
            })
            .collect()
    }

    /// Notes that the store no longer has the changes after the known revision of `kind`, so that
    /// the kind has to be listed again. The known objects stay in force until then.
    pub fn require_list(&mut self, kind: Kind) {
        self.kinds.entry(kind).or_default().needs_list = true;
    }

    /// Returns the objects of `kind` that are in force.
    pub fn items(&self, kind: Kind) -> impl Iterator<Item = &Item> {
        self.kinds.get(&kind).into_iter().flat_map(Objects::in_force)
    }

    /// Returns the stored object `name` of `kind`, whether it is in force or not.
    pub fn stored(&self, kind: Kind, name: &str) -> Option<&Item> {
        self.kinds.get(&kind)?.items.get(name)
    }

    /// Returns the names of the stored objects of `kind` that follow `after`, `max` at most.
    pub fn names_after(&self, kind: Kind, after: Option<&str>, max: usize) -> Vec<Arc<str>> {
        let items = self.kinds.get(&kind).into_iter().flat_map(|it| it.items.keys());
        let names = items.filter(|it| after.is_none_or(|after| ***it > *after));
        names.take(max).cloned().collect()
    }

    /// Returns the version to watch `kind` from; `None` if it has to be listed first.
    pub fn watch_version(&self, kind: Kind) -> Option<Version> {
        let objects = self.kinds.get(&kind).filter(|it| !it.needs_list)?;
        objects.confirmed_at.map(|_| objects.version).filter(|it| it.era == self.era())
    }

    /// Returns when `kind` was last known to be up to date; `None` before its first list.
    pub fn confirmed_at(&self, kind: Kind) -> Option<Time> {
        self.kinds.get(&kind)?.confirmed_at
    }

    /// Returns whether a peer with the version `since` lacks something of `kind`.
    pub fn has_update(&self, kind: Kind, since: Option<Version>) -> bool {
        let Some(objects) = self.listed(kind) else { return false };
        let Some(since) = since else { return true };
        if since.era != objects.version.era {
            return since < objects.version;
        }
        // A later page of a list may show changes after the known version.
        let changed_at = objects.changed_at.min(objects.version.revision);
        since.revision < changed_at || since.revision < self.history.complete_since(kind)
    }

    /// Returns what a peer with the version `since` lacks of `kind`; `None` if this entry has no
    /// list of the kind in the known era.
    pub fn update_since(&self, kind: Kind, since: Option<Version>) -> Option<Update> {
        let objects = self.listed(kind)?;
        let Version { era, revision } = objects.version;
        let complete_since = self.history.complete_since(kind);
        let since = since.filter(|it| it.era == era && it.revision >= complete_since);
        let Some(Version { revision: since, .. }) = since else {
            let list = objects.items.values().cloned().collect();
            let changes = Changes { revision, ..Changes::default() };
            return Some(Update { kind, list: Some(list), changes });
        };
        let put = objects.items.values().filter(|it| it.revision > since).cloned().collect();
        let removed = self.history.removed(kind, since);
        let gone: BTreeSet<_> = removed.filter(|it| !objects.items.contains_key(*it)).collect();
        let gone = gone.into_iter().cloned().collect();
        let changes = Changes { put, gone, revision: revision.max(since) };
        Some(Update { kind, list: None, changes })
    }

    /// Returns the objects of `kind` if they were listed in the known era.
    fn listed(&self, kind: Kind) -> Option<&Objects> {
        let objects = self.kinds.get(&kind).filter(|it| it.confirmed_at.is_some())?;
        Some(objects).filter(|it| it.version.era == self.era())
    }
}

impl Objects {
    /// Checks that a list or changes up to `version` are not older than the known objects.
    fn check_age(&self, version: Version) -> Result<(), Outdated> {
        match version < self.version {
            true => Err(Outdated { received: version, known: self.version }),
            false => Ok(()),
        }
    }

    /// Returns the objects in force.
    fn in_force(&self) -> impl Iterator<Item = &Item> {
        let stored = self.items.values().filter(|it| self.holds.get(&it.name).is_none());
        stored.chain(self.holds.iter().filter_map(|(_, it)| it.known.as_ref()))
    }

    /// Starts anew from the first list of a later era, and returns what changes in force.
    fn restore(&mut self, version: Version, items: &[Item], hold_until: Time) -> Changes {
        let known = self.in_force().map(|it| (it.name.clone(), it.clone())).collect();
        let listed = || items.iter().map(|it| (it.name.clone(), it.clone()));
        let changes = self.holds.restore(hold_until, known, listed());
        self.items = listed().collect();
        self.version = version;
        in_force(version.revision, changes)
    }

    /// Returns the held objects of this kind.
    fn held(&self, kind: Kind, now: Time) -> Vec<Held> {
        let held = self.holds.iter().map(|(name, hold)| Held {
            kind,
            name: name.clone(),
            known: hold.known.clone(),
            stamp: hold.stamp.map(|it| (it.incarnation, it.count)),
            left_ms: u64::try_from(hold.until.since(now).as_millis()).unwrap_or(u64::MAX),
        });
        held.collect()
    }

    /// Returns all objects in force as held ones.
    fn all_held(&self, kind: Kind, hold: Duration) -> Vec<Held> {
        let held = self.in_force().map(|item| Held {
            kind,
            name: item.name.clone(),
            known: Some(item.clone()),
            stamp: item.stamp().map(|it| (it.incarnation, it.count)),
            left_ms: u64::try_from(hold.as_millis()).unwrap_or(u64::MAX),
        });
        held.collect()
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
        let known = |it: &Item| self.revision_of(&it.name).unwrap_or(self.version.revision);
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

    /// Applies stored changes that are new, and returns those that take effect.
    fn apply(&mut self, era: Era, now: Time, stored_changes: &Changes) -> Changes {
        let Objects { items, holds, .. } = self;
        let mut in_force = stored_changes.clone();
        in_force.put.retain(|it| holds.put(&it.name, it));
        in_force.gone.retain(|it| holds.remove(now, it, items.get(it)));
        let put = stored_changes.put.iter().map(|it| (it.name.clone(), it.clone()));
        items.extend(put);
        stored_changes.gone.iter().for_each(|it| drop(items.remove(it)));
        self.version = Version { era, revision: stored_changes.revision };
        in_force
    }
}

/// Returns changes of the objects in force as changes at `revision`.
fn in_force(revision: u64, changes: Vec<hold::Change<Item>>) -> Changes {
    let mut result = Changes { revision, ..Changes::default() };
    for change in changes {
        match change {
            hold::Change::Put(_, item) => result.put.push(item),
            hold::Change::Gone(name) => result.gone.push(name),
        }
    }
    result
}

impl Changes {
    /// Returns whether there are no changes.
    pub fn is_empty(&self) -> bool {
        self.put.is_empty() && self.gone.is_empty()
    }
}
