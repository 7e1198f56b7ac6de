//! The entries of the roster, and those that are lost for good.

use std::collections::BTreeMap;

use decision::head::{Generation, Head, Incarnation};
use decision::name::Name;
use serde::{Deserialize, Serialize};

/// The entries that count towards a majority, as the answering entry holds them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entries {
    /// The generation that names them.
    pub generation: Generation,
    /// The entries, ordered by name.
    pub entries: Vec<Entry>,
}

/// An entry that counts towards a majority.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its name.
    pub name: Name,
    /// The process that is listed. None if only the previous set names the entry.
    pub incarnation: Option<Incarnation>,
    /// How long the answering entry has not heard it, in milliseconds. Zero for itself.
    pub silent_ms: Option<u64>,
}

/// An operator's word that the processes of entries have ended and will not come back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Forget {
    /// The generation that the operator saw.
    pub base: Generation,
    /// Identifies the change: sent again, it takes effect once. Drawn at random, below 2^53.
    pub nonce: u64,
    /// The entries, each with the process that the operator saw listed.
    pub entries: BTreeMap<Name, Option<Incarnation>>,
    /// Whether entries that were heard lately are forgotten as well.
    pub force: bool,
}

impl Forget {
    /// The names of the entries.
    pub fn names(&self) -> Vec<Name> {
        self.entries.keys().cloned().collect()
    }

    /// The entries under whose names another process is listed than the operator saw.
    pub fn replaced(&self, head: &Head) -> Vec<Name> {
        let listed = |name| head.roster.get(name).map(|member| member.incarnation);
        let other = self
            .entries
            .iter()
            .filter(|(name, seen)| listed(name).is_some_and(|process| Some(process) != **seen));
        other.map(|(name, _)| name.clone()).collect()
    }
}
