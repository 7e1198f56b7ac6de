//! What a check finds: errors that refuse a configuration, and hints that do not.

use std::fmt::Display;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::declaration::Kind;
use crate::name::Name;

/// A rule that a configuration breaks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum Error {
    /// A service names a profile that is not declared.
    #[error("service \"{service}\": profile \"{profile}\" is not declared{}", near(nearest))]
    UnknownProfile {
        /// The service.
        service: Name,
        /// The profile it names.
        profile: Name,
        /// A declared profile with a similar name.
        nearest: Option<Name>,
    },
    /// A profile is removed that services still name.
    #[error("profile \"{profile}\" cannot be removed: {} still use it", list(services))]
    ProfileInUse {
        /// The profile.
        profile: Name,
        /// The services that name it.
        services: Vec<Name>,
    },
    /// A plain target names a failure domain that is not declared.
    #[error(
        "service \"{service}\": target \"{target}\" runs in failure domain \
         \"{failure_domain}\", which is not declared{}",
        near(nearest)
    )]
    UnknownDomain {
        /// The service.
        service: Name,
        /// The target.
        target: Name,
        /// The failure domain it names.
        failure_domain: Name,
        /// A declared failure domain with a similar name.
        nearest: Option<Name>,
    },
    /// A failure domain is removed that plain targets still name.
    #[error(
        "failure domain \"{failure_domain}\" cannot be removed: targets of {} run in it",
        list(services)
    )]
    DomainInUse {
        /// The failure domain.
        failure_domain: Name,
        /// The services whose targets name it.
        services: Vec<Name>,
    },
    /// A number is outside its range.
    #[error("{kind} \"{name}\": {field} is {value}, but must be {min} to {max}")]
    Range {
        /// The declaration's kind.
        kind: Kind,
        /// The declaration's name.
        name: Name,
        /// The field.
        field: String,
        /// Its value.
        value: u64,
        /// The smallest allowed value.
        min: u64,
        /// The largest allowed value.
        max: u64,
    },
    /// A number is larger than another one of the same declaration allows.
    #[error("{kind} \"{name}\": {field} is {value}, but must not exceed {other}, which is {limit}")]
    Above {
        /// The declaration's kind.
        kind: Kind,
        /// The declaration's name.
        name: Name,
        /// The field.
        field: String,
        /// Its value.
        value: u64,
        /// The field that bounds it.
        other: String,
        /// That field's value.
        limit: u64,
    },
    /// A profile demands more remaining replicas than a service can keep.
    #[error(
        "service \"{service}\": profile \"{profile}\" demands that {floor} replicas remain after \
         the loss of a failure domain, but only {remaining} can remain"
    )]
    Floor {
        /// The service.
        service: Name,
        /// Its profile.
        profile: Name,
        /// The profile's floor.
        floor: u32,
        /// The replicas or plain targets that remain at most.
        remaining: u32,
    },
    /// A plain service has no target.
    #[error("service \"{service}\" declares no target")]
    NoTarget {
        /// The service.
        service: Name,
    },
    /// A plain service has two targets of one name.
    #[error("service \"{service}\" declares target \"{target}\" twice")]
    TargetTwice {
        /// The service.
        service: Name,
        /// The target.
        target: Name,
    },
    /// A plain service has two targets at one address.
    #[error("service \"{service}\" declares address {address} for two targets")]
    AddressTwice {
        /// The service.
        service: Name,
        /// The address.
        address: SocketAddr,
    },
    /// There are more declarations than one configuration holds.
    #[error("{items} declarations are more than the {limit} that one configuration holds")]
    Large {
        /// The number of declarations.
        items: usize,
        /// The largest allowed number.
        limit: usize,
    },
}

/// A value that is allowed and probably not meant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum Hint {
    /// A number of milliseconds looks like a number of seconds.
    #[error(
        "{kind} \"{name}\": {field} is {value} milliseconds; \
         if {value} seconds are meant, write {}",
        value.saturating_mul(1_000)
    )]
    Seconds {
        /// The declaration's kind.
        kind: Kind,
        /// The declaration's name.
        name: Name,
        /// The field.
        field: String,
        /// Its value.
        value: u64,
    },
}

fn near(nearest: &Option<Name>) -> String {
    nearest.as_ref().map(|name| format!("; did you mean \"{name}\"?")).unwrap_or_default()
}

fn list(names: &[impl Display]) -> String {
    names.iter().map(|name| format!("\"{name}\"")).collect::<Vec<_>>().join(", ")
}
