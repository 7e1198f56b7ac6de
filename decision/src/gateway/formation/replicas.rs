//! The known replicas, indexed by key and by fabric domain.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use super::Key;
use super::replica::Replica;

/// The known replicas of one service.
#[derive(Debug, Default)]
pub(super) struct Replicas {
    by_key: BTreeMap<Key, Replica>,
    by_fabric_domain: HashMap<Arc<str>, BTreeSet<Key>>,
}

impl Replicas {
    pub(super) fn insert(&mut self, key: Key, replica: Replica) {
        if let Some(fabric_domain) = &replica.fabric_domain {
            self.by_fabric_domain.entry(fabric_domain.clone()).or_default().insert(key.clone());
        }
        self.by_key.insert(key, replica);
    }

    pub(super) fn remove(&mut self, key: &Key) -> Option<Replica> {
        let replica = self.by_key.remove(key)?;
        if let Some(keys) =
            replica.fabric_domain.as_ref().and_then(|it| self.by_fabric_domain.get_mut(it))
        {
            keys.remove(key);
        }
        Some(replica)
    }

    pub(super) fn get_mut(&mut self, key: &Key) -> Option<&mut Replica> {
        self.by_key.get_mut(key)
    }

    pub(super) fn keys(&self) -> impl Iterator<Item = &Key> {
        self.by_key.keys()
    }

    pub(super) fn values(&self) -> impl Iterator<Item = &Replica> {
        self.by_key.values()
    }

    /// Returns the replicas in a fabric domain, in the order of their keys.
    pub(super) fn within(&self, fabric_domain: &str) -> impl Iterator<Item = (&Key, &Replica)> {
        let keys = self.by_fabric_domain.get(fabric_domain).into_iter().flatten();
        keys.filter_map(|key| Some((key, self.by_key.get(key)?)))
    }
}
