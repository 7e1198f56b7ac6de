//! Splits the limits of targets over the entries without messages.
//!
//! A target's limit is a number of slots, numbered from zero. Rendezvous hashing over the roster
//! gives each slot to one entry, so the slots of all entries together never exceed the limit. The
//! slots of a lower limit are the first slots of a higher one.

use xxhash_rust::xxh3::xxh3_64;

use crate::head::Generation;
use crate::prelude::*;

/// What this entry knows of the roster.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// This entry.
    pub own: Name,
    /// The generation that last changed the set of entries.
    pub generation: Generation,
    /// The entries that take part.
    pub members: Vec<Name>,
    /// The entries before the last change of the set.
    pub previous: Vec<Name>,
    /// Whether every entry knows this generation or has stopped taking work.
    pub force: Force,
    /// Whether an earlier process of this entry's name may have requests in progress.
    pub start: Start,
}

/// Whether a roster is in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Force {
    /// Some entry may still act on the roster before.
    #[default]
    Pending,
    /// No entry acts on an earlier roster.
    InForce,
}

/// How this entry's process came up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Start {
    /// No process of this name served before.
    #[default]
    First,
    /// A process of this name served before and ended without draining.
    Restart,
}

/// The entries of one roster generation, hashed once.
#[derive(Clone, Debug, Default)]
pub struct Ring {
    members: Vec<(Name, u64)>,
}

impl Ring {
    /// Hashes the names of `members`.
    pub fn new(members: &[Name]) -> Ring {
        let hashed = |name: &Name| (name.clone(), hash(name));
        Ring { members: members.iter().map(hashed).collect() }
    }

    /// The entry that holds `slot` of the target with the hash `target`.
    pub fn owner(&self, target: u64, slot: u32) -> Option<&Name> {
        let seed = mix(target ^ mix(u64::from(slot) + 1));
        let (name, _) = self.members.iter().max_by_key(|(_, member)| mix(member ^ seed))?;
        Some(name)
    }

    /// Whether `name` takes part.
    pub fn contains(&self, name: &Name) -> bool {
        self.members.iter().any(|(member, _)| member == name)
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no entry takes part.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }
}

/// The hash of a name, equal at every entry.
pub fn hash(name: &Name) -> u64 {
    xxh3_64(name.as_str().as_bytes())
}

/// Spreads the bits of `value` (the finaliser of SplitMix64).
pub(crate) fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
