//! Which slots of a target this entry may use while the roster changes.
//!
//! A slot that another entry held under the roster before stays idle here until that entry says
//! that it has settled, until the target is seen without any request, or until the longest
//! attempt has passed since the new roster came in force. An entry that loses a slot for which it
//! was still waiting has not settled before that wait ends, so a wait is never lost on the way.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::head::Generation;
use crate::prelude::*;
use crate::share::{Force, Ring, Start, View};

/// Earlier rosters that are remembered.
const MAX_PAST: usize = 64;

/// A slot that rendezvous hashing gives to this entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Slot {
    /// The slot's number.
    pub index: u32,
    /// Entries that may still have a request on it. Empty: the slot may be used.
    pub holders: Vec<Holder>,
}

/// An entry that may still have a request on a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The entry.
    pub member: Name,
    /// The generation under which it lost the slot.
    pub generation: Generation,
    /// When its last attempt has ended for certain, or `None` while it may start another.
    pub until: Option<Time>,
}

/// What an entry says of its own requests: how far it has given up earlier rosters' slots.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// The roster generation that the entry uses.
    pub generation: Generation,
    /// Hashes of the targets on which it has more requests than slots, or waits for a slot.
    pub over: Vec<u64>,
}

/// What a newer view of the roster means for the slots held so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// They are kept where the hash still gives them to this entry.
    Kept,
    /// This entry missed a roster in between: none is kept.
    Void,
}

/// Gives out the slots of targets under the current roster.
#[derive(Debug)]
pub struct Handover {
    view: View,
    ring: Ring,
    past: VecDeque<Past>,
    marks: HashMap<Name, Mark>,
    bound: Duration,
    learned: Time,
    forced: Option<Time>,
    own_until: Option<Time>,
}

/// An earlier roster, whose slots may still be in use.
#[derive(Debug)]
struct Past {
    ring: Ring,
    /// The generation that replaced it.
    generation: Generation,
    until: Option<Time>,
}

impl Handover {
    /// A handover without a roster. `bound` is the longest time that an attempt can last.
    pub fn new(bound: Duration) -> Handover {
        Handover {
            view: View::default(),
            ring: Ring::default(),
            past: VecDeque::new(),
            marks: HashMap::new(),
            bound,
            learned: Time::ZERO,
            forced: None,
            own_until: None,
        }
    }

    /// Takes a longer bound of attempts. A shorter one is ignored, as attempts made under the
    /// longer one may still run.
    pub fn lengthen(&mut self, bound: Duration) {
        self.bound = self.bound.max(bound);
    }

    /// Takes a newer view of the roster. An older one is ignored.
    pub fn update(&mut self, now: Time, view: View) -> Change {
        if view.generation < self.view.generation {
            return Change::Kept;
        }
        let change = self.change(&view);
        if self.ring.is_empty() || view.generation > self.view.generation {
            self.replace(now, &view);
        }
        if view.force == Force::InForce {
            self.forced.get_or_insert(now);
            self.close(now);
        }
        if change == Change::Void || self.past.len() > MAX_PAST {
            self.own_until = Some(now + self.bound);
            self.past.truncate(MAX_PAST);
        }
        self.marks.retain(|name, _| view.members.contains(name) || view.previous.contains(name));
        self.view = view;
        change
    }

    /// Takes the mark of another entry.
    pub fn mark(&mut self, from: &Name, mark: Mark) {
        let known = self.ring.contains(from) || self.view.previous.contains(from);
        let old = self.marks.get(from).is_some_and(|old| old.generation > mark.generation);
        if known && !old && *from != self.view.own {
            self.marks.insert(from.clone(), mark);
        }
    }

    /// Whether this entry may send marks: its name has no earlier process's requests left.
    pub fn may_mark(&self, now: Time) -> bool {
        self.own_until.is_none_or(|until| until <= now)
    }

    /// The slots below `limit` of the target with the hash `target`, keeping the state of `old`.
    pub fn assign(&self, target: u64, limit: u32, old: &[Slot]) -> Vec<Slot> {
        let mine = |slot: &u32| self.ring.owner(target, *slot) == Some(&self.view.own);
        let make = |index: u32| {
            let kept = old.iter().find(|slot| slot.index == index);
            kept.cloned().unwrap_or_else(|| Slot { index, holders: self.holders(target, index) })
        };
        (0..limit).filter(mine).map(make).collect()
    }

    /// Frees the slots whose earlier holders are done.
    pub fn release(&self, now: Time, target: u64, slots: &mut [Slot]) {
        for holders in slots.iter_mut().map(|slot| &mut slot.holders) {
            holders.iter_mut().for_each(|it| it.until = it.until.or(self.until(it.generation)));
            holders.retain(|it| !self.done(now, target, it));
        }
    }

    /// The entry that holds `slot` of the target with the hash `target`.
    pub fn owner(&self, target: u64, slot: u32) -> Option<&Name> {
        self.ring.owner(target, slot)
    }

    /// The view in use.
    pub fn view(&self) -> &View {
        &self.view
    }

    fn replace(&mut self, now: Time, view: &View) {
        self.past.retain(|it| it.until.is_none_or(|until| until > now));
        self.close(now);
        let (ring, generation, until) = (Ring::new(&view.previous), view.generation, None);
        self.past.push_front(Past { ring, generation, until });
        self.ring = Ring::new(&view.members);
        self.learned = now;
        self.forced = None;
    }

    /// Notes that no entry starts anything more under the earlier rosters.
    fn close(&mut self, now: Time) {
        let until = now + self.bound;
        self.past.iter_mut().for_each(|it| it.until = it.until.or(Some(until)));
    }

    fn change(&self, view: &View) -> Change {
        let first = self.ring.is_empty();
        let restarted = view.start == Start::Restart || view.previous.contains(&view.own);
        let newer = view.generation > self.view.generation;
        let missed = newer && !same(&view.previous, &self.view.members);
        match if first { restarted } else { missed } {
            true => Change::Void,
            false => Change::Kept,
        }
    }

    fn holders(&self, target: u64, slot: u32) -> Vec<Holder> {
        let own = &self.view.own;
        let mut holders: Vec<Holder> = Vec::new();
        for past in &self.past {
            let owner = past.ring.owner(target, slot).filter(|it| *it != own);
            let Some(member) = owner.cloned() else { continue };
            if holders.iter().all(|it| it.member != member) {
                holders.push(Holder { member, generation: past.generation, until: past.until });
            }
        }
        if let Some(until) = self.own_until {
            let (member, generation) = (own.clone(), self.view.generation);
            holders.push(Holder { member, generation, until: Some(until) });
        }
        holders
    }

    fn until(&self, generation: Generation) -> Option<Time> {
        match generation < self.view.generation {
            true => Some(self.learned + self.bound),
            false => self.forced.map(|it| it + self.bound),
        }
    }

    fn done(&self, now: Time, target: u64, holder: &Holder) -> bool {
        let settled =
            |mark: &Mark| mark.generation >= holder.generation && !mark.over.contains(&target);
        let past = holder.until.is_some_and(|until| until <= now);
        past || self.marks.get(&holder.member).is_some_and(settled)
    }
}

impl Slot {
    /// Whether the slot may be used.
    pub fn is_ready(&self) -> bool {
        self.holders.is_empty()
    }

    /// Drops the holders that could start nothing new when the target was seen without requests.
    pub fn clear(&mut self, seen: Time, bound: Duration) {
        self.holders.retain(|holder| holder.until.is_none_or(|until| until >= seen + bound));
    }
}

fn same(one: &[Name], other: &[Name]) -> bool {
    one.len() == other.len() && one.iter().all(|it| other.contains(it))
}
