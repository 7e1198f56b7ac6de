//! Checks of a configuration across its declarations, all errors at once.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;

pub use crate::check::error::{Error, Hint};
use crate::declaration::{Backend, Declaration, Id, Kind, Plain, Profile, Service, Set};
use crate::name::Name;

mod error;

/// Most declarations in one configuration.
pub const MAX_ITEMS: usize = 4_096;
/// Most plain targets of one service.
pub const MAX_TARGETS: usize = 1_024;

const PRIORITY: RangeInclusive<u64> = 0..=9;
const DEADLINE_MS: RangeInclusive<u64> = 1..=3_600_000;
const QUEUE: RangeInclusive<u64> = 0..=100_000;
const BODY_BYTES: RangeInclusive<u64> = 1..=1_048_576;
const LIMIT: RangeInclusive<u64> = 1..=65_536;
const PREFILL_TOKENS: RangeInclusive<u64> = 1..=16_777_216;
const SPREAD: RangeInclusive<u64> = 0..=1;
const REPLICAS: RangeInclusive<u64> = 1..=1_024;
const INSTANCES: RangeInclusive<u64> = 1..=32;
const WEIGHT: RangeInclusive<u64> = 1..=1_000;
/// Milliseconds below which a deadline was probably meant in seconds.
const LOW_DEADLINE_MS: u64 = 500;
/// Milliseconds below which a stall limit was probably meant in seconds.
const LOW_STALL_MS: u64 = 100;

/// What a declaration is checked against, and the errors so far.
struct Check<'a> {
    next: &'a Set,
    errors: Vec<Error>,
}

/// The rules that `next` breaks, where `previous` is what it replaces.
///
/// An empty list means that `next` may be applied.
pub fn errors(previous: &Set, next: &Set) -> Vec<Error> {
    let mut check = Check { next, errors: Vec::new() };
    if next.len() > MAX_ITEMS {
        check.errors.push(Error::Large { items: next.len(), limit: MAX_ITEMS });
    }
    for declaration in next.values() {
        check.declaration(declaration);
    }
    check.removals(previous);
    check.errors
}

/// The values of `set` that are allowed and probably not meant.
pub fn hints(set: &Set) -> Vec<Hint> {
    let mut hints = Vec::new();
    for declaration in set.values() {
        if let Declaration::Profile(profile) = declaration {
            let fields = [
                ("deadline_ms", profile.deadline_ms, LOW_DEADLINE_MS),
                ("stall_ms", profile.stall_ms, LOW_STALL_MS),
            ];
            for (field, value, low) in fields {
                if value < low {
                    let Id { kind, name } = declaration.id();
                    hints.push(Hint::Seconds { kind, name, field: field.to_owned(), value });
                }
            }
        }
    }
    hints
}

impl Check<'_> {
    fn declaration(&mut self, declaration: &Declaration) {
        match declaration {
            Declaration::Profile(it) => self.profile(it, &declaration.id()),
            Declaration::Service(it) => self.service(it, &declaration.id()),
            Declaration::Workspace(it) => {
                self.range(&declaration.id(), "weight", it.weight, WEIGHT);
            }
            Declaration::FailureDomain(_) | Declaration::Instance(_) => (),
        }
    }

    fn profile(&mut self, profile: &Profile, id: &Id) {
        self.range(id, "priority", profile.priority, PRIORITY);
        self.range(id, "deadline_ms", profile.deadline_ms, DEADLINE_MS);
        self.range(id, "stall_ms", profile.stall_ms, DEADLINE_MS);
        self.range(id, "queue", profile.queue, QUEUE);
        self.range(id, "body_bytes", profile.body_bytes, BODY_BYTES);
        self.range(id, "cold_limit", profile.cold_limit, LIMIT);
        self.range(id, "warm_limit", profile.warm_limit, LIMIT);
        self.range(id, "prefill_tokens", profile.prefill_tokens, PREFILL_TOKENS);
        self.range(id, "spread", profile.spread, SPREAD);
        self.above(id, ("cold_limit", profile.cold_limit), ("warm_limit", profile.warm_limit));
        self.above(id, ("stall_ms", profile.stall_ms), ("deadline_ms", profile.deadline_ms));
    }

    fn service(&mut self, service: &Service, id: &Id) {
        self.profile_of(service);
        match &service.backend {
            Backend::Model { replicas, instances, .. } => {
                self.range(id, "replicas", *replicas, REPLICAS);
                self.range(id, "instances", *instances, INSTANCES);
            }
            Backend::Plain { targets } => self.targets(service, targets, id),
        }
    }

    fn profile_of(&mut self, service: &Service) {
        let id = Id { kind: Kind::Profile, name: service.profile.clone() };
        let Some(Declaration::Profile(profile)) = self.next.get(&id) else {
            let nearest = self.nearest(Kind::Profile, &service.profile);
            let (service, profile) = (service.name.clone(), service.profile.clone());
            self.errors.push(Error::UnknownProfile { service, profile, nearest });
            return;
        };
        let remaining = match &service.backend {
            Backend::Model { replicas, .. } => self.remaining(*replicas),
            Backend::Plain { targets } => outside_largest_domain(targets),
        };
        if profile.spread > 0 && profile.floor > remaining {
            let (service, profile, floor) =
                (service.name.clone(), profile.name.clone(), profile.floor);
            self.errors.push(Error::Floor { service, profile, floor, remaining });
        }
    }

    /// Replicas that remain of evenly spread `replicas` after the loss of a failure domain.
    fn remaining(&self, replicas: u32) -> u32 {
        let domains = self.next.keys().filter(|id| id.kind == Kind::FailureDomain).count();
        let domains = u32::try_from(domains).unwrap_or(u32::MAX);
        let lost = if domains == 0 { 1 } else { replicas.div_ceil(domains) };
        replicas.saturating_sub(lost)
    }

    fn targets(&mut self, service: &Service, targets: &[Plain], id: &Id) {
        let name = &service.name;
        if targets.is_empty() {
            self.errors.push(Error::NoTarget { service: name.clone() });
        }
        if targets.len() > MAX_TARGETS {
            self.range(id, "targets", targets.len() as u64, 1..=MAX_TARGETS as u64);
        }
        let (mut names, mut addresses) = (BTreeSet::new(), BTreeSet::new());
        for target in targets {
            if !names.insert(&target.name) {
                let (service, target) = (name.clone(), target.name.clone());
                self.errors.push(Error::TargetTwice { service, target });
            }
            if !addresses.insert(target.address) {
                let (service, address) = (name.clone(), target.address);
                self.errors.push(Error::AddressTwice { service, address });
            }
            self.domain_of(service, target);
        }
    }

    fn domain_of(&mut self, service: &Service, target: &Plain) {
        let id = Id { kind: Kind::FailureDomain, name: target.failure_domain.clone() };
        if self.next.contains_key(&id) {
            return;
        }
        let nearest = self.nearest(Kind::FailureDomain, &id.name);
        self.errors.push(Error::UnknownDomain {
            service: service.name.clone(),
            target: target.name.clone(),
            failure_domain: id.name,
            nearest,
        });
    }

    /// Adds an error for each removed declaration that `next` still refers to.
    fn removals(&mut self, previous: &Set) {
        let removed = previous.keys().filter(|id| !self.next.contains_key(id));
        let mut errors = Vec::new();
        for Id { kind, name } in removed {
            let services = self.services_that_use(*kind, name);
            let name = name.clone();
            match kind {
                _ if services.is_empty() => (),
                Kind::Profile => errors.push(Error::ProfileInUse { profile: name, services }),
                Kind::FailureDomain => {
                    errors.push(Error::DomainInUse { failure_domain: name, services });
                }
                Kind::Service | Kind::Workspace | Kind::Instance => (),
            }
        }
        self.errors.retain(|error| !is_explained(error, &errors));
        self.errors.append(&mut errors);
    }

    fn services_that_use(&self, kind: Kind, name: &Name) -> Vec<Name> {
        let uses = |service: &Service| match (kind, &service.backend) {
            (Kind::Profile, _) => service.profile == *name,
            (Kind::FailureDomain, Backend::Plain { targets }) => {
                targets.iter().any(|target| target.failure_domain == *name)
            }
            _ => false,
        };
        let services = self.next.values().filter_map(|declaration| match declaration {
            Declaration::Service(service) => Some(service),
            _ => None,
        });
        services.filter(|service| uses(service)).map(|service| service.name.clone()).collect()
    }

    fn range(&mut self, id: &Id, field: &str, value: impl Into<u64>, range: RangeInclusive<u64>) {
        let value = value.into();
        if range.contains(&value) {
            return;
        }
        let (min, max) = range.into_inner();
        let Id { kind, name } = id.clone();
        self.errors.push(Error::Range { kind, name, field: field.to_owned(), value, min, max });
    }

    fn above<T: Into<u64>>(&mut self, id: &Id, (field, value): (&str, T), other: (&str, T)) {
        let (value, limit) = (value.into(), other.1.into());
        if value <= limit {
            return;
        }
        let Id { kind, name } = id.clone();
        let (field, other) = (field.to_owned(), other.0.to_owned());
        self.errors.push(Error::Above { kind, name, field, value, other, limit });
    }

    /// The declared name of `kind` that differs least from `name`, if it differs little.
    fn nearest(&self, kind: Kind, name: &Name) -> Option<Name> {
        let names = self.next.keys().filter(|id| id.kind == kind).map(|id| &id.name);
        let scored = names.map(|it| (distance(it.as_str(), name.as_str()), it));
        let limit = name.as_str().len() / 3 + 1;
        scored.filter(|(score, _)| *score <= limit).min().map(|(_, it)| it.clone())
    }
}

/// Whether the removal errors already say what `error` says.
fn is_explained(error: &Error, removals: &[Error]) -> bool {
    removals.iter().any(|removal| match (error, removal) {
        (Error::UnknownProfile { profile, .. }, Error::ProfileInUse { profile: removed, .. }) => {
            profile == removed
        }
        (
            Error::UnknownDomain { failure_domain, .. },
            Error::DomainInUse { failure_domain: removed, .. },
        ) => failure_domain == removed,
        _ => false,
    })
}

fn outside_largest_domain(targets: &[Plain]) -> u32 {
    let mut sizes: BTreeMap<&Name, usize> = BTreeMap::new();
    for target in targets {
        *sizes.entry(&target.failure_domain).or_default() += 1;
    }
    let largest = sizes.values().max().copied().unwrap_or(0);
    u32::try_from(targets.len() - largest).unwrap_or(u32::MAX)
}

/// The Levenshtein distance of two names.
fn distance(left: &str, right: &str) -> usize {
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (i, a) in left.bytes().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, b) in right.bytes().enumerate() {
            let substituted = diagonal + usize::from(a != b);
            diagonal = row[j + 1];
            row[j + 1] = substituted.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[right.len()]
}
