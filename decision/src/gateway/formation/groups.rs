//! The replicas that are known, also by fabric domain.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use super::Key;
use super::group::Group;

#[derive(Debug, Default)]
pub(super) struct Groups {
    all: BTreeMap<Key, Group>,
    fabrics: HashMap<Arc<str>, BTreeSet<Key>>,
}

impl Groups {
    pub(super) fn insert(&mut self, key: Key, group: Group) {
        if let Some(fabric) = &group.fabric {
            self.fabrics.entry(fabric.clone()).or_default().insert(key.clone());
        }
        self.all.insert(key, group);
    }

    pub(super) fn remove(&mut self, key: &Key) -> Option<Group> {
        let group = self.all.remove(key)?;
        if let Some(keys) = group.fabric.as_ref().and_then(|it| self.fabrics.get_mut(it)) {
            keys.remove(key);
        }
        Some(group)
    }

    pub(super) fn get_mut(&mut self, key: &Key) -> Option<&mut Group> {
        self.all.get_mut(key)
    }

    pub(super) fn keys(&self) -> impl Iterator<Item = &Key> {
        self.all.keys()
    }

    pub(super) fn values(&self) -> impl Iterator<Item = &Group> {
        self.all.values()
    }

    /// The replicas in a fabric domain, by key.
    pub(super) fn within(&self, fabric: &str) -> impl Iterator<Item = (&Key, &Group)> {
        let keys = self.fabrics.get(fabric).into_iter().flatten();
        keys.filter_map(|key| Some((key, self.all.get(key)?)))
    }
}
