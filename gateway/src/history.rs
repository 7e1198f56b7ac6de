//! The latest removals of objects, for peers that lag behind.
//!
//! What was created or replaced is told by the objects themselves, each with the revision of its
//! last change. So only removals are kept, for all kinds together up to a bound in bytes. A peer
//! that lags behind what is kept lists the kind anew.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use crate::memory::{Limiter, Reservation};
use crate::port::Kind;

/// Divisor of the bytes for buffers that gives the largest size of all removals together.
const MAX_BYTES_DIVISOR: usize = 64;

/// Bytes of a removal in addition to its name.
const REMOVAL_BYTES: usize = size_of::<Removal>() + 2 * size_of::<usize>();

/// Removals of all kinds.
#[derive(Debug, Default)]
pub(crate) struct History {
    limiter: Limiter,
    /// Bytes that are reserved for the removals.
    bytes: usize,
    /// Removals, oldest first. Those of a kind have increasing revisions.
    removals: VecDeque<Removal>,
    /// Revisions after which all removals are kept.
    complete_since: HashMap<Kind, u64>,
}

#[derive(Debug)]
struct Removal {
    kind: Kind,
    name: Arc<str>,
    /// Revision at which the object no longer exists.
    revision: u64,
    bytes: usize,
    _reservation: Reservation,
}

impl History {
    /// Returns a history without removals, which are charged to `limiter`.
    pub(crate) fn new(limiter: Limiter) -> History {
        History { limiter, ..History::default() }
    }

    /// Returns the oldest revision after which all removals of `kind` are kept.
    pub(crate) fn complete_since(&self, kind: Kind) -> u64 {
        self.complete_since.get(&kind).copied().unwrap_or_default()
    }

    /// Forgets the removals of `kind`, which was listed at `revision`.
    pub(crate) fn restart(&mut self, kind: Kind, revision: u64) {
        self.removals.retain(|it| it.kind != kind);
        self.bytes = self.removals.iter().map(|it| it.bytes).sum();
        self.complete_since.insert(kind, revision);
    }

    /// Records that the object `name` no longer exists at `revision`. The oldest removals make
    /// room for it.
    pub(crate) fn record(&mut self, kind: Kind, name: &Arc<str>, revision: u64) {
        let bytes = REMOVAL_BYTES + name.len();
        let max_bytes = self.limiter.max_bytes() / MAX_BYTES_DIVISOR;
        while self.bytes + bytes > max_bytes && self.forget_oldest() {}
        let is_within = self.bytes + bytes <= max_bytes;
        let reservation = is_within.then(|| self.limiter.reserve(bytes)).flatten();
        let Some(reservation) = reservation else {
            // Peers that know the object have to list the kind, and learn of all removals then.
            return self.restart(kind, revision);
        };
        self.bytes += bytes;
        let name = name.clone();
        self.removals.push_back(Removal { kind, name, revision, bytes, _reservation: reservation });
    }

    /// Returns the names of the objects of `kind` that were removed after the revision `since`.
    pub(crate) fn removed(&self, kind: Kind, since: u64) -> impl Iterator<Item = &Arc<str>> {
        let removals = self.removals.iter().filter(move |it| it.kind == kind);
        removals.filter(move |it| it.revision > since).map(|it| &it.name)
    }

    /// Forgets the oldest removal. Returns whether there was one.
    fn forget_oldest(&mut self) -> bool {
        let Some(oldest) = self.removals.pop_front() else { return false };
        self.bytes -= oldest.bytes;
        self.complete_since.insert(oldest.kind, oldest.revision);
        true
    }
}
