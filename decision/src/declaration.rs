//! Declarations: what operators keep in version control and apply.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// One declared object. Serialised as JSON with a `kind` field.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Declaration {
    /// How a class of services is treated.
    Profile(Profile),
    /// A service that callers address by name.
    Service(Service),
    /// A customer whose requests share one fair part of each queue.
    Workspace(Workspace),
    /// A failure domain and whether it takes work.
    FailureDomain(FailureDomain),
    /// An instance that operators have an opinion on.
    Instance(Instance),
}

/// How a class of services is treated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Profile {
    /// The profile's name.
    pub name: Name,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// What becomes of a stream whose target fails in the middle.
    pub resume: Resume,
    /// Requests of a higher priority leave the queue first. 0 to 9.
    pub priority: u8,
    /// Longest time from admission to the last byte, in milliseconds. 1 to 3,600,000.
    pub deadline_ms: u64,
    /// Longest silence between two tokens before the target counts as stalled, in milliseconds.
    pub stall_ms: u64,
    /// Requests that may wait at one entry. 0 to 100,000.
    pub queue: u32,
    /// Largest request body, in bytes. 1 to 1,048,576.
    pub body_bytes: u32,
    /// Requests in progress that a cold target bears, over all entries together. At least 1.
    pub cold_limit: u32,
    /// Requests in progress that a warm target bears, over all entries together.
    pub warm_limit: u32,
    /// Prompt tokens whose prefill may be in progress on one target.
    pub prefill_tokens: u32,
    /// Failure domains whose loss must leave the service with `floor` replicas. 0 or 1.
    pub spread: u8,
    /// Replicas that must remain after the loss of one failure domain.
    pub floor: u32,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// The request is idempotent: it may be retried freely.
    #[default]
    Idempotent,
    /// The request runs at most once; a key is accepted and not demanded.
    Once,
    /// The request runs at most once and is refused without an idempotency key.
    OnceWithKey,
}

/// What becomes of a stream whose target fails in the middle.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Resume {
    /// The caller gets an explicit error.
    None,
    /// The stream is resumed on the same target by its offset.
    Target,
    /// The stream is resumed on the same target or continued elsewhere from the delivered tokens.
    #[default]
    Anywhere,
}

/// A service that callers address by name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The service's name, the first part of a caller's path.
    pub name: Name,
    /// The profile that describes its treatment.
    pub profile: Name,
    /// Where its requests go.
    pub backend: Backend,
}

/// Where a service's requests go.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case", deny_unknown_fields)]
pub enum Backend {
    /// Model replicas that the system places and heals.
    Model {
        /// The model that every instance of a replica loads.
        model: Name,
        /// Replicas wanted.
        replicas: u32,
        /// Instances of each replica, all in one fabric domain. 1 to 32.
        instances: u32,
    },
    /// Plain services that run elsewhere.
    Plain {
        /// The targets, each with its failure domain.
        targets: Vec<Plain>,
    },
}

/// One target of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plain {
    /// The target's name, unique within its service.
    pub name: Name,
    /// Its HTTP address, by IP number.
    pub address: SocketAddr,
    /// The failure domain it runs in.
    pub failure_domain: Name,
}

/// A customer whose requests share one fair part of each queue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// The workspace's name, as callers send it.
    pub name: Name,
    /// Its part relative to other workspaces. 1 to 1,000.
    pub weight: u32,
}

/// A failure domain and whether it takes work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FailureDomain {
    /// The failure domain's name.
    pub name: Name,
    /// Whether it takes new work.
    #[serde(default)]
    pub state: State,
}

/// An instance that operators have an opinion on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// The instance's name in the platform's list.
    pub name: Name,
    /// Whether it takes new work.
    #[serde(default)]
    pub state: State,
}

/// Whether a failure domain or an instance takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Takes new work.
    #[default]
    In,
    /// Takes no new work; what is in progress ends by itself.
    Out,
}

/// The kind and name that identify a declaration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// The declaration's kind, as in its `kind` field.
    pub kind: Kind,
    /// The declaration's name, unique within its kind.
    pub name: Name,
}

/// The kinds of declaration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// [`Profile`].
    Profile,
    /// [`Service`].
    Service,
    /// [`Workspace`].
    Workspace,
    /// [`FailureDomain`].
    FailureDomain,
    /// [`Instance`].
    Instance,
}

/// The whole configuration of one generation.
pub type Set = BTreeMap<Id, Declaration>;

impl Declaration {
    /// The kind and name that identify this declaration.
    pub fn id(&self) -> Id {
        let (kind, name) = match self {
            Declaration::Profile(it) => (Kind::Profile, &it.name),
            Declaration::Service(it) => (Kind::Service, &it.name),
            Declaration::Workspace(it) => (Kind::Workspace, &it.name),
            Declaration::FailureDomain(it) => (Kind::FailureDomain, &it.name),
            Declaration::Instance(it) => (Kind::Instance, &it.name),
        };
        Id { kind, name: name.clone() }
    }
}

impl Default for Profile {
    fn default() -> Profile {
        Profile {
            name: Name::default(),
            repeat: Repeat::default(),
            resume: Resume::default(),
            priority: 5,
            deadline_ms: 60_000,
            stall_ms: 5_000,
            queue: 256,
            body_bytes: 262_144,
            cold_limit: 2,
            warm_limit: 32,
            prefill_tokens: 16_384,
            spread: 0,
            floor: 0,
        }
    }
}

impl Kind {
    /// The kind's name, as in the `kind` field.
    pub const fn as_str(self) -> &'static str {
        match self {
            Kind::Profile => "profile",
            Kind::Service => "service",
            Kind::Workspace => "workspace",
            Kind::FailureDomain => "failure_domain",
            Kind::Instance => "instance",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}
