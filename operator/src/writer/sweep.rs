//! Removes bodies that no head names any more.

use std::collections::BTreeSet;

use decision::head::Head;
use store::{Kind, Store, Version};

/// Bodies as they were before an update of the head.
///
/// A concurrent writer whose body the sweep saw has not moved the head yet. The update of the
/// head between [`Sweep::begin`] and [`Sweep::finish`] makes that writer's own update fail, and
/// it then writes its bodies again, under new versions.
#[derive(Default)]
pub(super) struct Sweep {
    bodies: Vec<(String, Version)>,
}

impl Sweep {
    /// Notes the bodies and their versions. Finds none if the store cannot be read.
    pub(super) async fn begin(store: &impl Store) -> Sweep {
        let list = store.list::<serde::de::IgnoredAny>(Kind::Declaration).await;
        let objects = list.map(|list| list.objects).unwrap_or_default();
        let bodies = objects.into_iter().map(|object| (object.name, object.version)).collect();
        Sweep { bodies }
    }

    /// Deletes up to `limit` bodies that `head`, which has just been stored, does not name.
    ///
    /// A failed deletion is left to the next sweep.
    pub(super) async fn finish(self, store: &impl Store, head: &Head, limit: usize) {
        let named: BTreeSet<&str> = head.items.values().map(|hash| hash.as_str()).collect();
        let unnamed = self.bodies.iter().filter(|(name, _)| !named.contains(name.as_str()));
        for (name, version) in unnamed.take(limit) {
            let deleted = store.delete(Kind::Declaration, name, *version).await;
            if deleted.is_err_and(|error| error.is_transient()) {
                return;
            }
        }
    }
}
