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

/// What a peer tells of one kind.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct News {
    /// The kind.
    pub kind: Kind,
    /// All objects, if the asker's revision is unknown or too old.
    pub list: Option<Vec<Item>>,
    /// What has changed since the asker's revision.
    pub changes: Changes,
}

impl Mirror {
    /// Takes a whole list.
    pub fn list(&mut self, kind: Kind, revision: u64, known: Time, items: &[Item]) {
        let objects = self.kinds.entry(kind).or_default();
        objects.items = items.iter().map(|it| (it.name.clone(), it.clone())).collect();
        objects.history.clear();
        objects.revision = revision;
        objects.known = objects.known.max(Some(known));
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

    /// Forgets a kind, so that it is listed anew. What was read of it stays in force meanwhile.
    pub fn forget(&mut self, kind: Kind) {
        self.kinds.remove(&kind);
    }

    /// The revision up to which all changes of `kind` are known.
    pub fn revision(&self, kind: Kind) -> Option<u64> {
        let objects = self.kinds.get(&kind)?;
        objects.known.map(|_| objects.revision)
    }

    /// When `kind` was last known to be up to date.
    pub fn known(&self, kind: Kind) -> Option<Time> {
        self.kinds.get(&kind)?.known
    }

    /// Whether there is something of `kind` that a peer which has `since` doesn't know.
    pub fn has_news(&self, kind: Kind, since: Option<u64>) -> bool {
        let Some(objects) = self.kinds.get(&kind).filter(|it| it.known.is_some()) else {
            return false;
        };
        let last = objects.history.back().map_or(0, |(_, it)| it.revision);
        since.is_none_or(|it| it < last || it < objects.oldest())
    }

    /// What to tell of `kind` to a peer that has `since`, if this entry knows it itself.
    pub fn news(&self, kind: Kind, since: Option<u64>) -> Option<News> {
        let objects = self.kinds.get(&kind).filter(|it| it.known.is_some())?;
        let revision = objects.revision;
        let Some(since) = since.filter(|it| *it >= objects.oldest()) else {
            let list = objects.items.values().cloned().collect();
            let changes = Changes { revision, ..Changes::default() };
            return Some(News { kind, list: Some(list), changes });
        };
        let mut changes = Changes { revision: revision.max(since), ..Changes::default() };
        let later = objects.history.iter().filter(|(_, it)| it.revision > since);
        later.for_each(|(_, it)| changes.follow(it));
        Some(News { kind, list: None, changes })
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
