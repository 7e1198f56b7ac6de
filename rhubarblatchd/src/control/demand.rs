//! What the configuration asks of placement and routing.

use decision::declaration::{Backend, Declaration, Id, Kind, Set};
use decision::evidence::Out;
use decision::name::Name;
use decision::placement::Demand;
use decision::target::{Epoch, Phase, Process, Target, Temperature};

/// What each service with replicas asks for, by name.
pub(super) fn demands(set: &Set) -> Vec<Demand> {
    let mut demands = Vec::new();
    for declaration in set.values() {
        let Declaration::Service(service) = declaration else { continue };
        let Backend::Model { model, replicas, instances } = &service.backend else { continue };
        demands.push(Demand {
            service: service.name.clone(),
            model: model.clone(),
            instances: *instances,
            replicas: *replicas,
            floor: floor(set, &service.profile),
        });
    }
    demands.sort_by(|a, b| a.service.cmp(&b.service));
    demands
}

fn floor(set: &Set, profile: &Name) -> u32 {
    let id = Id { kind: Kind::Profile, name: profile.clone() };
    match set.get(&id) {
        Some(Declaration::Profile(profile)) if profile.spread > 0 => profile.floor,
        _ => 0,
    }
}

/// The declared targets of plain services.
pub(super) fn plain(set: &Set, out: &Out) -> Vec<Target> {
    let mut found = Vec::new();
    for declaration in set.values() {
        let Declaration::Service(service) = declaration else { continue };
        let Backend::Plain { targets } = &service.backend else { continue };
        found.extend(targets.iter().map(|target| Target {
            name: target.name.clone(),
            service: service.name.clone(),
            failure_domain: target.failure_domain.clone(),
            address: target.address,
            process: Process::default(),
            epoch: Epoch::default(),
            temperature: Temperature::Warm,
            phase: match out.failure_domains.contains(&target.failure_domain) {
                true => Phase::Draining,
                false => Phase::Serving,
            },
        }));
    }
    found
}
