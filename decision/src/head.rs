//! The head: the one object that names the configuration and the roster of a generation.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::declaration::{Declaration, Id};
use crate::name::Name;

/// Generations whose nonce a head remembers.
pub const LOG_LENGTH: usize = 32;

/// What a head tells of a write whose answer was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// The write took effect.
    Applied,
    /// Another write took its place: it did not and will not take effect.
    Lost,
    /// The head does not reach back to that write.
    Forgotten,
}

/// Counts the changes of the head. The store's conditional update makes it unique.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Generation(pub u64);

/// Identifies one run of an entry's process. Drawn at random at each start.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

/// The SHA-256 hash of a declaration's JSON text with sorted keys, in lower-case hexadecimal.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Hash(String);

/// An entry that takes part in serving.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The process that last joined under this name.
    pub incarnation: Incarnation,
    /// Where its peers reach it.
    pub peer: SocketAddr,
    /// The failure domain it runs in.
    pub failure_domain: Name,
}

/// The entries by name.
pub type Roster = BTreeMap<Name, Member>;

/// The configuration and the roster of one generation.
///
/// Both live in one object, so that a change of either is one conditional update and every
/// entry sees all changes in one order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// One more than the generation of the head that this one replaced.
    pub generation: Generation,
    /// Drawn at random by the writer, to recognise its own write when the answer was lost.
    pub nonce: u64,
    /// The entries that take part.
    pub roster: Roster,
    /// The entries' names and peer addresses before the last change of the set of entries.
    ///
    /// Until the generation that changed the set is in force, a generation needs a majority of
    /// both sets. Only then may the set change again.
    pub previous: BTreeMap<Name, SocketAddr>,
    /// The generation that last changed the set of entries.
    pub roster_generation: Generation,
    /// The configuration: what is declared, by the hash of its body.
    pub items: BTreeMap<String, Hash>,
    /// The nonces of the last [`LOG_LENGTH`] generations, this one included.
    #[serde(default)]
    pub log: BTreeMap<Generation, u64>,
}

impl Head {
    /// A copy with the next generation, under the writer's `nonce`.
    pub fn successor(&self, nonce: u64) -> Head {
        let generation = Generation(self.generation.0 + 1);
        let mut log = self.log.clone();
        log.insert(generation, nonce);
        while log.len() > LOG_LENGTH {
            log.pop_first();
        }
        Head { generation, nonce, log, ..self.clone() }
    }

    /// What this head tells of the write of `generation` under `nonce`.
    ///
    /// It must have been read after the write was sent, from the store, at a version other than
    /// the one that the write was conditional on.
    pub fn fate(&self, generation: Generation, nonce: u64) -> Fate {
        let written = match self.generation == generation {
            true => Some(self.nonce),
            false => self.log.get(&generation).copied(),
        };
        match written {
            Some(written) if written == nonce => Fate::Applied,
            Some(_) => Fate::Lost,
            None => Fate::Forgotten,
        }
    }
}

impl Hash {
    /// The hash of `declaration`.
    ///
    /// # Errors
    ///
    /// Fails only if the declaration cannot be serialised as JSON.
    pub fn of(declaration: &Declaration) -> Result<Hash, serde_json::Error> {
        Ok(Hash::of_value(&serde_json::to_value(declaration)?))
    }

    /// The hash of a body as read from the store. Does not depend on the order of its fields.
    pub fn of_value(body: &serde_json::Value) -> Hash {
        Hash::of_bytes(body.to_string().as_bytes())
    }

    /// The hash of JSON text with sorted keys and no spaces.
    pub fn of_bytes(body: &[u8]) -> Hash {
        let digest = Sha256::digest(body);
        Hash(digest.iter().map(|byte| format!("{byte:02x}")).collect())
    }

    /// The hash as hexadecimal text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// The key of `id` in [`Head::items`], as `kind/name`.
pub fn item_key(id: &Id) -> String {
    format!("{}/{}", id.kind, id.name)
}

impl fmt::Display for Generation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Display for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}
