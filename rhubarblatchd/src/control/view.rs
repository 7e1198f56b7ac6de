//! What operators are told of replicas.

use std::collections::BTreeMap;

use decision::declaration::State;
use decision::evidence::Reason;
use decision::name::Name;
use decision::placement::Lack;
use decision::target::Phase;
use operator::status::{Fact, FailureDomain};

use super::{Control, instances};

impl Control {
    /// What keeps a replica from taking new work. None if there is no such replica.
    pub fn explain(&self, replica: &Name) -> Option<Vec<Reason>> {
        self.evidence().explain(self.node.now(), replica)
    }

    /// What services ask for and do not get, by the last plan.
    pub fn lacks(&self) -> Vec<Lack> {
        self.plan.load().lacks.clone()
    }

    /// The fabric domains whose lease this entry holds.
    pub fn holds(&self) -> Vec<Name> {
        let roles = self.roles();
        let held = roles.iter().filter(|(_, role)| role.holds);
        held.map(|(name, _)| name.clone()).collect()
    }

    /// What is known of a replica or of a service's lacks. None if there is nothing of that name.
    pub fn facts(&self, kind: &str, name: &str) -> Option<Vec<Fact>> {
        let name = Name::new(name).ok()?;
        let fact = |text: String| Fact { about: format!("{kind}/{name}"), text, age_ms: None };
        match kind {
            "replica" => {
                let reasons = self.explain(&name)?;
                let facts = reasons.iter().map(|it| fact(it.to_string()));
                let serves = reasons.is_empty().then(|| fact("it takes new work".to_owned()));
                Some(facts.chain(serves).collect())
            }
            "service" => {
                let lacks = self.lacks();
                let own = lacks.iter().filter(|it| *it.service() == name);
                Some(own.map(|it| fact(it.to_string())).collect())
            }
            _ => None,
        }
    }

    /// The failure domains, with the replicas of each.
    pub fn failure_domains(&self) -> Vec<FailureDomain> {
        let out = instances::out(&self.node.configuration.load().set);
        let mut domains: BTreeMap<Name, FailureDomain> = BTreeMap::new();
        for target in self.evidence().targets(self.node.now()) {
            let name = target.failure_domain;
            let state = if out.failure_domains.contains(&name) { State::Out } else { State::In };
            let domain = domains.entry(name.clone()).or_default();
            (domain.name, domain.state) = (name, state);
            match target.phase {
                Phase::Serving => domain.serving += 1,
                Phase::Draining => domain.draining += 1,
            }
        }
        for name in out.failure_domains {
            let domain = domains.entry(name.clone()).or_default();
            (domain.name, domain.state) = (name, State::Out);
        }
        domains.into_values().collect()
    }
}
