//! What an entry read from the store, kept so that its peers can read it here.
//!
//! Whatever is told passes through here first. What is known of a kind is complete up to its
//! revision, so that only what came later is news, whoever tells it and however late.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
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
    /// All changes up to it are in `items`. Never goes back.
    revision: u64,
    /// The store no longer tells what came after `revision`.
    cut: bool,
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

/// What was told is older than what is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("told of revision {told}, known up to {known}")]
pub struct Outdated {
    /// The revision up to which was told.
    pub told: u64,
    /// The revision up to which all changes are known.
    pub known: u64,
}

impl Mirror {
    /// Takes a whole list. Returns what is new in it.
    ///
    /// # Errors
    ///
    /// If it is older than what is known. Nothing of it is taken.
    pub fn list(
        &mut self,
        kind: Kind,
        revision: u64,
        known: Time,
        items: &[Item],
    ) -> Result<Changes, Outdated> {
        let objects = self.kinds.entry(kind).or_default();
        objects.check(revision)?;
        let news = objects.difference(revision, items);
        objects.take(&news);
        objects.history.clear();
        objects.cut = false;
        objects.known = objects.known.max(Some(known));
        Ok(news)
    }

    /// Takes changes that follow on something that was known. Returns what is new in them.
    ///
    /// # Errors
    ///
    /// If they end before what is known. Nothing of them is taken.
    pub fn change(
        &mut self,
        kind: Kind,
        known: Time,
        changes: &Changes,
    ) -> Result<Changes, Outdated> {
        let objects = self.kinds.entry(kind).or_default();
        // Changes of what was never listed are no list.
        let Some(before) = objects.known else { return Ok(Changes::default()) };
        objects.check(changes.revision)?;
        objects.known = Some(before.max(known));
        let news = objects.news(changes);
        let since = objects.revision;
        objects.take(&news);
        if !changes.is_empty() && since < changes.revision {
            objects.history.push_back((since, changes.clone()));
        }
        if objects.history.len() > HISTORY {
            objects.history.pop_front();
        }
        Ok(news)
    }

    /// Notes that the store no longer tells what came after what is known of a kind, so that it
    /// is listed anew. What is known stays in force meanwhile.
    pub fn cut(&mut self, kind: Kind) {
        self.kinds.entry(kind).or_default().cut = true;
    }

    /// The objects of `kind` that are known.
    pub fn items(&self, kind: Kind) -> impl Iterator<Item = &Item> {
        self.kinds.get(&kind).into_iter().flat_map(|it| it.items.values())
    }

    /// The revision to watch `kind` from, unless it has to be listed.
    pub fn revision(&self, kind: Kind) -> Option<u64> {
        let objects = self.kinds.get(&kind).filter(|it| !it.cut)?;
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
    /// Whether something told up to `revision` is not older than what is known.
    fn check(&self, revision: u64) -> Result<(), Outdated> {
        match revision < self.revision {
            true => Err(Outdated { told: revision, known: self.revision }),
            false => Ok(()),
        }
    }

    /// What is new in a list that is not older than what is known.
    fn difference(&self, revision: u64, items: &[Item]) -> Changes {
        let listed: HashSet<&str> = items.iter().map(|it| &*it.name).collect();
        let put =
            items.iter().filter(|it| self.get(&it.name).is_none_or(|known| known < it.revision));
        let gone = self.items.keys().filter(|it| !listed.contains(&***it));
        let gone = gone.filter(|it| self.is_gone(it, revision));
        Changes { put: put.cloned().collect(), gone: gone.cloned().collect(), revision }
    }

    /// What is new in changes that don't end before what is known. An object that isn't known
    /// was gone at its revision.
    fn news(&self, told: &Changes) -> Changes {
        let known = |it: &Item| self.get(&it.name).unwrap_or(self.revision);
        let put = told.put.iter().filter(|it| known(it) < it.revision);
        let gone = told.gone.iter().filter(|it| self.is_gone(it, told.revision));
        Changes {
            put: put.cloned().collect(),
            gone: gone.cloned().collect(),
            revision: told.revision,
        }
    }

    /// The revision of the object called `name`, if it is known.
    fn get(&self, name: &str) -> Option<u64> {
        self.items.get(name).map(|it| it.revision)
    }

    /// Whether an object that was gone at `revision` is known still. Later parts of a list may
    /// have shown a later one.
    fn is_gone(&self, name: &str, revision: u64) -> bool {
        self.get(name).is_some_and(|known| known <= revision)
    }

    fn take(&mut self, news: &Changes) {
        self.revision = news.revision;
        let items = news.put.iter().map(|it| (it.name.clone(), it.clone()));
        self.items.extend(items);
        news.gone.iter().for_each(|it| drop(self.items.remove(it)));
    }

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
