//! One crash of a target, and the parts that may have caused it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::gateway::prompt::Part;
use crate::prelude::*;

/// Most suspected parts of one crash.
const MAX_SUSPECTS: usize = 256;

/// What is known of a part that may have caused a crash.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// Position of the part in its prompts; the last one, if they differ.
    pub position: u8,
    /// Whether a request with the part met its first crash. One that is sent on from crash to crash
    /// counts once.
    pub is_first: bool,
}

impl Suspicion {
    /// Returns what two reports together say.
    fn merge(self, other: Suspicion) -> Suspicion {
        Suspicion {
            position: self.position.max(other.position),
            is_first: self.is_first | other.is_first,
        }
    }
}

/// A crash of one start of a target.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    /// When the target crashed.
    pub(super) at: Time,
    /// When this entry learned of it.
    pub(super) known_at: Time,
    /// Parts that may have caused it.
    pub(super) suspects: BTreeMap<Part, Suspicion>,
    /// Whether a part that was quarantined since is among them, so that the others count no more.
    pub(super) is_explained: bool,
    /// Version of the evidence in which it got its last suspect.
    pub(super) version: u64,
}

/// When a suspected or quarantined part was survived.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clearance {
    pub(super) survived_at: Time,
    /// Since when peers are told of it.
    pub(super) noted_at: Time,
    /// Version of the evidence that it came with.
    pub(super) version: u64,
}

impl Crash {
    pub(super) fn new(at: Time, known_at: Time) -> Crash {
        Crash { at, known_at, suspects: BTreeMap::new(), is_explained: false, version: 0 }
    }

    /// Adds a part, unless there are too many: one that crashes replicas stands in the next crash
    /// too. Returns whether that is new.
    pub(super) fn insert(&mut self, part: Part, suspicion: Suspicion) -> bool {
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&part) {
            return false;
        }
        let known = self.suspects.insert(part, suspicion);
        let merged = known.map_or(suspicion, |it| it.merge(suspicion));
        self.suspects.insert(part, merged);
        known != Some(merged)
    }

    /// Drops all suspects but the quarantined ones, if there are any.
    pub(super) fn explain(&mut self, is_quarantined: impl Fn(Part) -> bool) {
        if self.suspects.keys().any(|it| is_quarantined(*it)) {
            self.suspects.retain(|it, _| is_quarantined(*it));
            self.is_explained = true;
        }
    }
}
