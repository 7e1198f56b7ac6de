//! The instances of one service as a plan sees them.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::gateway::engine::Model;
use crate::gateway::fleet::{Instance, Presence};

/// The instances of the service, by identifier.
#[derive(Debug, Default)]
pub(super) struct Instances<'a> {
    pub(super) known: BTreeMap<&'a str, (&'a Instance, Presence)>,
    /// Those of them whose entries are gone since a moment ago.
    departed: Vec<&'a Instance>,
}

impl<'a> Instances<'a> {
    pub(super) fn new(
        instances: impl IntoIterator<Item = (&'a Instance, Presence)>,
    ) -> Instances<'a> {
        let known: BTreeMap<_, _> = instances.into_iter().map(|it| (&*it.0.id, it)).collect();
        let departed = known.values().filter(|(_, it)| *it == Presence::Departed);
        let departed = departed.map(|(it, _)| *it).collect();
        Instances { known, departed }
    }

    /// The instance called `id`, also if its entry is gone.
    pub(super) fn recall(&self, id: &str) -> Option<&'a Instance> {
        self.known.get(id).map(|(it, _)| *it)
    }

    /// The instance called `id`, if it is listed.
    pub(super) fn get(&self, id: &str) -> Option<&'a Instance> {
        let (instance, presence) = self.known.get(id)?;
        (*presence == Presence::Listed).then_some(*instance)
    }

    /// The instances of a fabric domain whose entries are gone since a moment ago.
    pub(super) fn departed(&self, fabric: &Arc<str>) -> impl Iterator<Item = &'a Instance> {
        let departed = self.departed.iter().copied();
        departed.filter(move |it| it.fabric_domain.as_ref() == Some(fabric))
    }

    /// All that are listed.
    pub(super) fn listed(&self) -> impl Iterator<Item = &'a Instance> {
        self.known.values().filter(|(_, it)| *it == Presence::Listed).map(|(it, _)| *it)
    }
}

/// How many of `spares` have the weights of `model`.
pub(super) fn staged(spares: &[&Instance], model: &Model) -> usize {
    spares.iter().filter(|it| has(it, &model.name)).count()
}

/// Whether an instance joins a replica of `model` without a load: it has served it since its start,
/// or the weights are on its host.
pub(super) fn has(instance: &Instance, model: &str) -> bool {
    instance.model.as_deref() == Some(model) || instance.staged.iter().any(|it| &**it == model)
}
