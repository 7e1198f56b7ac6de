//! Decides to which era of the store a response belongs.
//!
//! A store that is restored from an older copy loses its latest writes and assigns their revisions
//! again. It then starts a new era, which it states in its responses. Revisions of different eras
//! can't be compared, so every state of an object has a [`Version`].

use std::fmt;

use serde::{Deserialize, Serialize};

/// Number of times that the store was restored, as the store states it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Era(pub u64);

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Fencing tokens that are reserved for each era.
const FENCES_PER_ERA: u64 = 1 << 16;

/// Latest era with fencing tokens of its own; the tokens of an owner have 32 bits.
const MAX_FENCED_ERA: u64 = (u32::MAX as u64) / FENCES_PER_ERA;

impl Era {
    /// Returns the lowest fencing token of this era. It is higher than all tokens of earlier eras,
    /// which the restored store may have forgotten.
    ///
    /// Returns `None` beyond era 65,535, where tokens follow on the known ones only.
    pub fn first_fence(self) -> Option<u64> {
        (self.0 <= MAX_FENCED_ERA).then(|| self.0 * FENCES_PER_ERA)
    }
}

/// A state of the store's objects: the revisions of a later era are all later.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version {
    /// Era in which the revision was assigned.
    pub era: Era,
    /// Revision of the store.
    pub revision: u64,
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.revision)
    }
}

/// The era that an entry knows.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tracker {
    known: Era,
    /// Whether the store states its era. One that doesn't has era 0 until its revision goes back.
    is_stated: bool,
    /// A later era that the last response stated. It is known once the next response states it too.
    claimed: Option<Era>,
}

/// How a response of the store relates to the known era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// It belongs to the known era.
    Current(Era),
    /// It is the second in a row to state a later era, which is now the known one.
    Restored {
        /// The era that was known before.
        from: Era,
        /// The era that is known now.
        to: Era,
    },
    /// It is the first to state a later era, and can't be used. A single wrong response must not
    /// make this entry reject all others.
    Unconfirmed(Era),
    /// It states an earlier era, and can't be used.
    Outdated(Era),
}

impl Tracker {
    /// Returns the known era.
    pub fn known(&self) -> Era {
        self.known
    }

    /// Decides on a response that states `stated`; `None` if it states no readable era, and then
    /// counts as one of the known era.
    pub fn observe(&mut self, stated: Option<Era>) -> Observation {
        let Some(era) = stated else { return Observation::Current(self.known) };
        if !self.is_stated {
            self.is_stated = true;
            // Nothing of the store was read before its first response.
            self.known = self.known.max(era);
        }
        let claimed = self.claimed.take();
        match era.cmp(&self.known) {
            std::cmp::Ordering::Equal => Observation::Current(era),
            std::cmp::Ordering::Less => Observation::Outdated(era),
            std::cmp::Ordering::Greater if claimed == Some(era) => self.advance(era),
            std::cmp::Ordering::Greater => {
                self.claimed = Some(era);
                Observation::Unconfirmed(era)
            }
        }
    }

    /// Decides on the era that a peer knows. A peer knows an era only after two responses, so a
    /// later one is taken at once.
    pub fn observe_peer(&mut self, era: Era) -> Observation {
        match era.cmp(&self.known) {
            std::cmp::Ordering::Equal => Observation::Current(era),
            std::cmp::Ordering::Less => Observation::Outdated(era),
            std::cmp::Ordering::Greater => {
                self.is_stated = true;
                self.advance(era)
            }
        }
    }

    /// Records that a list which was requested when `known` was already the revision of the store
    /// has the revision `listed`. In a store that states no era, a lower revision shows that it was
    /// restored. Returns the change of the era, if there is one.
    pub fn observe_revision(&mut self, known: u64, listed: u64) -> Option<Observation> {
        let is_restored = !self.is_stated && listed < known;
        is_restored.then(|| self.advance(Era(self.known.0.saturating_add(1))))
    }

    fn advance(&mut self, to: Era) -> Observation {
        self.claimed = None;
        Observation::Restored { from: std::mem::replace(&mut self.known, to), to }
    }
}
