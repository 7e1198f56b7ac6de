//! The view of all fabric domains that plans are made on.

use std::collections::BTreeMap;

use crate::evidence::Evidence;
use crate::fabric::{Replica, State};
use crate::lifecycle::Listed;
use crate::placement::{Domain, Health, Present};
use crate::prelude::*;

/// Bounds of a survey.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time without evidence after which a replica counts as lost.
    pub lost_after: Duration,
    /// Time without word from a fabric domain after which its instances count as dead.
    pub dark_after: Duration,
}

/// Every fabric domain of `listed`, in order, as `evidence` shows it at `now`.
///
/// A fabric domain whose instances are all leaving has room for nothing.
pub fn survey(
    now: Time,
    evidence: &Evidence,
    listed: &BTreeMap<Name, BTreeMap<Name, Listed>>,
    settings: Settings,
) -> Vec<Domain> {
    let domains = listed.iter().map(|(name, instances)| {
        let alive = evidence.alive(name, now.back(settings.dark_after)).unwrap_or_default();
        let mut domain = Domain {
            name: name.clone(),
            failure_domain: failure_domain(instances),
            instances: u32::from(alive),
            replicas: Vec::new(),
        };
        for (replica, served, seen) in evidence.replicas(now, name) {
            let stays = replica
                .members
                .iter()
                .all(|it| instances.get(&it.instance).is_none_or(|it| it.stays));
            let health = match stays {
                true => health(replica, served, now.since(seen), settings),
                false => Health::Leaving,
            };
            let service = replica.service.clone();
            let instances = u32::try_from(replica.members.len()).unwrap_or(u32::MAX);
            let model = replica.model.clone();
            domain.replicas.push(Present { service, model, instances, health });
        }
        share_survivors(&mut domain);
        domain
    });
    domains.collect()
}

fn failure_domain(instances: &BTreeMap<Name, Listed>) -> Name {
    instances.values().next().map(|it| it.failure_domain.clone()).unwrap_or_default()
}

fn health(replica: &Replica, served: bool, silence: Duration, settings: Settings) -> Health {
    match replica.state {
        State::Draining | State::Released => Health::Leaving,
        State::Claimed => Health::Starting { loading: false },
        State::Loading => Health::Starting { loading: true },
        State::Cold | State::Warm if served || silence < settings.lost_after => Health::Serving,
        State::Cold | State::Warm => Health::Lost { alive: 0 },
    }
}

/// Gives lost replicas the instances that answer beyond those of the others.
fn share_survivors(domain: &mut Domain) {
    let whole = domain.replicas.iter().filter(|it| !matches!(it.health, Health::Lost { .. }));
    let used: u32 = whole.map(|it| it.instances).sum();
    let mut rest = domain.instances.saturating_sub(used);
    for present in &mut domain.replicas {
        if let Health::Lost { alive } = &mut present.health {
            *alive = rest.min(present.instances.saturating_sub(1));
            rest -= *alive;
        }
    }
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { lost_after: Duration::from_secs(10), dark_after: Duration::from_secs(10) }
    }
}
