//! Decides which objects stay in force after the store was restored from an older copy.
//!
//! What the copy lacks was in force before, and its writers write it again: the operator its
//! configuration and the failure domains that are out of service, the instances and entries their
//! registrations. Until then, or until a time limit, the known state is held in place of the older
//! one, so that an entry doesn't act on a state that it knows to be outdated.
//!
//! | object | which state is newer | what is held |
//! | --- | --- | --- |
//! | configuration | higher version | the known one, against a lower version or none |
//! | instance | later start, then higher sequence | the known one, or that it was removed |
//! | failure domain out of service | none | that it is out |
//! | entry | none | that it is registered |

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::prelude::*;

/// Position of a state of one object in the order in which its writer wrote them, in every era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Stamp {
    /// Start of the writer, if the writer counts its writes anew after each start.
    pub incarnation: u64,
    /// Count of the writes since then.
    pub count: u64,
}

/// An object whose writer may state the order of its states.
pub trait Stamped {
    /// Returns the position of this state, or `None` if the writer doesn't state it.
    fn stamp(&self) -> Option<Stamp>;

    /// Returns whether the content of both states is the same, for states with the same stamp.
    fn is_same(&self, other: &Self) -> bool;
}

/// The objects of one kind that are held.
#[derive(Clone, Debug)]
pub struct Holds<T> {
    held: BTreeMap<Arc<str>, Hold<T>>,
    /// Objects that were removed lately, each with its last stamp.
    removed: BTreeMap<Arc<str>, Removal>,
}

/// A state that is held in place of the stored one.
#[derive(Clone, Debug)]
pub struct Hold<T> {
    /// The state in force; `None` if the object was removed.
    pub known: Option<T>,
    /// Stamp of the known state, or of the last one before the removal.
    pub stamp: Option<Stamp>,
    /// When the stored state comes into force.
    pub until: Time,
    stored: Option<T>,
}

#[derive(Clone, Copy, Debug)]
struct Removal {
    stamp: Stamp,
    at: Time,
}

/// A change of the state in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change<T> {
    /// The object is now in this state.
    Put(Arc<str>, T),
    /// The object doesn't exist any more.
    Gone(Arc<str>),
}

/// Time for which the stamp of a removed object is remembered; longer than a copy is old.
const REMOVAL_RETENTION: Duration = Duration::from_secs(60);

/// Most removed objects that are remembered.
const MAX_REMOVALS: usize = 4_096;

impl<T> Default for Holds<T> {
    fn default() -> Holds<T> {
        Holds { held: BTreeMap::new(), removed: BTreeMap::new() }
    }
}

impl<T: Stamped + Clone> Holds<T> {
    /// Returns the objects that are held, by name.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &Hold<T>)> {
        self.held.iter()
    }

    /// Returns the hold of an object, if it is held.
    pub fn get(&self, name: &str) -> Option<&Hold<T>> {
        self.held.get(name)
    }

    /// Returns the number of objects that are held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Returns whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Compares the first list of a new era with the objects `known` that were in force. Holds what
    /// the list shows in an older state, or not at all, until `until`. Returns what changes.
    pub fn restore(
        &mut self,
        until: Time,
        known: BTreeMap<Arc<str>, T>,
        listed: impl IntoIterator<Item = (Arc<str>, T)>,
    ) -> Vec<Change<T>> {
        let before = std::mem::take(&mut self.held);
        let mut known = known;
        let mut changes = Vec::new();
        for (name, stored) in listed {
            let known = known.remove(&name);
            let stamp = match &known {
                Some(known) => known.stamp(),
                None => before.get(&name).and_then(|it| it.stamp).max(self.removal(&name)),
            };
            match compare(stored.stamp(), stamp) {
                Age::NewerOrUnknown => changes.push(Change::Put(name, stored)),
                // An unchanged object isn't put again.
                Age::Same if known.as_ref().is_some_and(|it| it.is_same(&stored)) => {}
                // A state with the same stamp may be of any age; what was removed is not brought
                // back by its last state.
                Age::Same | Age::Older => {
                    self.insert(name, Hold { known, stamp, until, stored: Some(stored) });
                }
            }
        }
        for (name, known) in known {
            let stamp = known.stamp();
            self.insert(name, Hold { known: Some(known), stamp, until, stored: None });
        }
        changes
    }

    /// Filters a stored change: returns whether it takes effect. An older state than the held one
    /// does not; any other ends the hold.
    pub fn put(&mut self, name: &Arc<str>, stored: &T) -> bool {
        self.removed.remove(name);
        let Some(hold) = self.held.get_mut(name) else { return true };
        if compare(stored.stamp(), hold.stamp) == Age::Older {
            hold.stored = Some(stored.clone());
            return false;
        }
        self.held.remove(name);
        true
    }

    /// Filters a stored removal of an object that was last in the state `stored`: returns whether
    /// it takes effect. It ends a hold.
    pub fn remove(&mut self, now: Time, name: &Arc<str>, stored: Option<&T>) -> bool {
        let hold = self.held.remove(name);
        let stamp = hold.as_ref().and_then(|it| it.stamp).max(stored.and_then(T::stamp));
        self.note_removal(now, name, stamp);
        hold.is_none_or(|it| it.known.is_some())
    }

    /// Holds what a peer knows better than the store, until `until`: `known`, or the removal of an
    /// object that had `stamp`. `stored` is the state in the store. Returns whether it takes
    /// effect.
    pub fn adopt(
        &mut self,
        name: &Arc<str>,
        until: Time,
        (known, stamp): (Option<T>, Option<Stamp>),
        stored: Option<&T>,
    ) -> bool {
        let is_newer = match (&known, stored) {
            (_, Some(stored)) => match compare(stored.stamp(), stamp) {
                Age::Older => true,
                Age::Same => known.is_none(),
                Age::NewerOrUnknown => false,
            },
            (Some(_), None) => true,
            (None, None) => false,
        };
        if !is_newer || self.held.get(name).is_some_and(|it| it.stamp >= stamp) {
            return false;
        }
        self.insert(name.clone(), Hold { known, stamp, until, stored: stored.cloned() });
        true
    }

    /// Ends the holds whose time is over. Returns what changes: the stored states come into force.
    pub fn expire(&mut self, now: Time) -> Vec<Change<T>> {
        let expired: Vec<_> = self.held.extract_if(.., |_, it| it.until <= now).collect();
        let mut changes = Vec::new();
        for (name, hold) in expired {
            match (hold.stored, hold.known) {
                (Some(stored), _) => changes.push(Change::Put(name, stored)),
                (None, Some(_)) => {
                    self.note_removal(now, &name, hold.stamp);
                    changes.push(Change::Gone(name));
                }
                (None, None) => {}
            }
        }
        changes
    }

    /// Remembers the stamp of an object that was removed.
    fn note_removal(&mut self, now: Time, name: &Arc<str>, stamp: Option<Stamp>) {
        let Some(stamp) = stamp else { return };
        self.removed.retain(|_, it| now.since(it.at) < REMOVAL_RETENTION);
        if self.removed.len() < MAX_REMOVALS {
            self.removed.insert(name.clone(), Removal { stamp, at: now });
        }
    }

    fn insert(&mut self, name: Arc<str>, hold: Hold<T>) {
        self.held.insert(name, hold);
    }

    fn removal(&self, name: &str) -> Option<Stamp> {
        self.removed.get(name).map(|it| it.stamp)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Age {
    Older,
    Same,
    NewerOrUnknown,
}

/// Compares the stamps of a stored state and of the known one.
fn compare(stored: Option<Stamp>, known: Option<Stamp>) -> Age {
    match (stored, known) {
        (Some(stored), Some(known)) if stored < known => Age::Older,
        (Some(stored), Some(known)) if stored == known => Age::Same,
        _ => Age::NewerOrUnknown,
    }
}
