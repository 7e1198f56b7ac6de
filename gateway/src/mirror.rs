//! What an entry read from the store, kept so that its peers can read it here.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

use decision::prelude::*;
use serde::{Deserialize, Serialize};

use crate::port::{Changes, Item, Kind};

/// Changes of one kind that are kept for peers that lag behind.
const HISTORY: usize = 256;

/// The objects of all kinds as this entry knows them.
#[derive(Debug, Default)]
pub struct Mirror {
    kinds: HashMap<Kind, Objects>,
}

#[derive(Debug, Default)]
struct Objects {
    items: BTreeMap<Arc<str>, Item>,
    revision: u64,
    known: Option<Time>,
    /// Changes, each with the revision before it.
    history: VecDeque<(u64, Changes)>,
}

/// What a peer asks for.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Question {
    /// The kind of objects.
    pub kind: Kind,
    /// The revision that the peer has, if any.
    pub since: Option<u64>,
    /// Longest time to wait for a change, in milliseconds.
    pub wait_ms: u32,
}

/// What a peer is told.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Answer {
    /// All objects, if the peer's revision is unknown or too old.
    pub list: Option<Vec<Item>>,
    /// What has changed since the peer's revision.
    pub changes: Changes,
    /// Age of this knowledge, in milliseconds.
    pub age_ms: u32,
    /// How long the question was held, in milliseconds.
    pub held_ms: u32,
}

impl Mirror {
    /// Takes a whole list.
    pub fn list(&mut self, kind: Kind, revision: u64, known: Time, items: &[Item]) {
        let objects = self.kinds.entry(kind).or_default();
        objects.items = items.iter().map(|it| (it.name.clone(), it.clone())).collect();
        objects.history.clear();
        objects.revision = revision;
        objects.known = Some(known);
    }

    /// Takes changes that follow on what is known.
    pub fn change(&mut self, kind: Kind, known: Time, changes: &Changes) {
        let objects = self.kinds.entry(kind).or_default();
        let before = objects.revision;
        objects.known = objects.known.max(Some(known));
        if changes.revision <= before {
            return;
        }
        objects.revision = changes.revision;
        if changes.is_empty() {
            return;
        }
        for item in &changes.put {
            objects.items.insert(item.name.clone(), item.clone());
        }
        changes.gone.iter().for_each(|it| drop(objects.items.remove(it)));
        objects.history.push_back((before, changes.clone()));
        if objects.history.len() > HISTORY {
            objects.history.pop_front();
        }
    }

    /// Whether there is something that a peer which has `since` doesn't know.
    pub fn has_news(&self, kind: Kind, since: Option<u64>) -> bool {
        let Some(objects) = self.kinds.get(&kind).filter(|it| it.known.is_some()) else {
            return false;
        };
        let last = objects.history.back().map_or(0, |(_, it)| it.revision);
        since.is_none_or(|it| it < last || it < objects.oldest())
    }

    /// What to tell a peer that has `since`, or nothing if this entry knows nothing itself.
    pub fn answer(&self, now: Time, kind: Kind, since: Option<u64>) -> Option<Answer> {
        let objects = self.kinds.get(&kind)?;
        let age = now.since(objects.known?);
        let age_ms = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        let revision = objects.revision;
        let Some(since) = since.filter(|it| *it >= objects.oldest()) else {
            let list = objects.items.values().cloned().collect();
            let changes = Changes { revision, ..Changes::default() };
            return Some(Answer { list: Some(list), changes, age_ms, held_ms: 0 });
        };
        let mut changes = Changes { revision: revision.max(since), ..Changes::default() };
        let news = objects.history.iter().filter(|(_, it)| it.revision > since);
        for (_, change) in news {
            changes.follow(change);
        }
        Some(Answer { list: None, changes, age_ms, held_ms: 0 })
    }
}

impl Objects {
    /// The oldest revision from which on all changes are kept.
    fn oldest(&self) -> u64 {
        self.history.front().map_or(self.revision, |(before, _)| *before)
    }
}

impl Changes {
    /// Whether nothing has changed.
    pub fn is_empty(&self) -> bool {
        self.put.is_empty() && self.gone.is_empty()
    }

    /// Takes what came after.
    fn follow(&mut self, later: &Changes) {
        let changed = |name: &Arc<str>| {
            later.gone.contains(name) || later.put.iter().any(|it| it.name == *name)
        };
        self.put.retain(|it| !changed(&it.name));
        self.gone.retain(|it| !changed(it));
        self.put.extend(later.put.iter().cloned());
        self.gone.extend(later.gone.iter().cloned());
    }
}
