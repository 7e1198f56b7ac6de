//! What an entry tells operators of itself and of the whole system.

use decision::declaration::State;
use decision::head::Generation;
use decision::name::Name;
use serde::{Deserialize, Serialize};

/// What one entry knows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Status {
    /// The entry that answers.
    pub entry: Name,
    /// The failure domain it runs in.
    pub failure_domain: Name,
    /// Whether its knowledge is recent enough to take new work.
    pub current: bool,
    /// The newest generation that it knows to be stored.
    pub generation: Generation,
    /// The newest generation that is in force at every entry.
    pub in_force: Generation,
    /// Entries that have confirmed `generation`.
    pub confirmed: Vec<Name>,
    /// Entries that have not confirmed `generation` yet.
    pub unconfirmed: Vec<Name>,
    /// The failure domains.
    pub failure_domains: Vec<FailureDomain>,
    /// The services.
    pub services: Vec<Service>,
}

/// A failure domain as the answering entry sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct FailureDomain {
    /// The failure domain's name.
    pub name: Name,
    /// Whether it is declared to take new work.
    pub state: State,
    /// Targets in it that take new work.
    pub serving: u32,
    /// Targets in it that only end what they have.
    pub draining: u32,
}

/// A service as the answering entry sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Service {
    /// The service's name.
    pub name: Name,
    /// Its profile.
    pub profile: Name,
    /// Replicas or plain targets declared.
    pub wanted: u32,
    /// Those that take new work.
    pub serving: u32,
    /// Those of them that are cold.
    pub cold: u32,
    /// Those that only end what they have.
    pub draining: u32,
    /// Requests that wait at this entry.
    pub queued: u32,
    /// Requests in progress through this entry.
    pub running: u32,
}

/// Why something is as it is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Explanation {
    /// What was asked for, as `kind/name`.
    pub subject: String,
    /// What is known of it, most important first.
    pub facts: Vec<Fact>,
}

/// One thing that is known.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Fact {
    /// What the fact is about, such as an instance or an entry.
    pub about: String,
    /// The fact.
    pub text: String,
    /// How long ago it was learnt, in milliseconds.
    pub age_ms: Option<u64>,
}

impl Status {
    /// Whether `generation` is in force at every entry.
    pub fn has_in_force(&self, generation: Generation) -> bool {
        self.in_force >= generation
    }

    /// Entries that take part.
    pub fn members(&self) -> usize {
        self.confirmed.len() + self.unconfirmed.len()
    }
}
