//! The known instances of one service, as a plan sees them.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::gateway::engine::Model;
use crate::gateway::fleet::{Instance, Presence};

/// The known instances of the service, by identifier.
#[derive(Debug, Default)]
pub(super) struct Instances<'a> {
    pub(super) known: BTreeMap<&'a str, (&'a Instance, Presence)>,
    /// Those that are no longer listed.
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

    /// Returns the instance `id`, whether it is listed or not.
    pub(super) fn find(&self, id: &str) -> Option<&'a Instance> {
        self.known.get(id).map(|(it, _)| *it)
    }

    /// Returns the instance `id` if it is listed.
    pub(super) fn find_listed(&self, id: &str) -> Option<&'a Instance> {
        let (instance, presence) = self.known.get(id)?;
        (*presence == Presence::Listed).then_some(*instance)
    }

    /// Returns the instances of a fabric domain that are no longer listed.
    pub(super) fn departed(&self, fabric_domain: &Arc<str>) -> impl Iterator<Item = &'a Instance> {
        let departed = self.departed.iter().copied();
        departed.filter(move |it| it.fabric_domain.as_ref() == Some(fabric_domain))
    }

    /// Returns all listed instances.
    pub(super) fn listed(&self) -> impl Iterator<Item = &'a Instance> {
        self.known.values().filter(|(_, it)| *it == Presence::Listed).map(|(it, _)| *it)
    }
}

/// Counts the `spares` that have the weights of `model`.
pub(super) fn count_staged(spares: &[&Instance], model: &Model) -> usize {
    spares.iter().filter(|it| has_weights(it, &model.name)).count()
}

/// Whether an instance can join a replica of `model` without a load from the weight store: it has
/// the model loaded, or the weights are on its host.
pub(super) fn has_weights(instance: &Instance, model: &str) -> bool {
    instance.model.as_deref() == Some(model) || instance.staged.iter().any(|it| &**it == model)
}
