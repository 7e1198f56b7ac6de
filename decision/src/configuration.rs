//! How an entry adopts the configuration: newer heads only, bodies by hash, all or nothing.
//!
//! [`State`] learns of generations from the store and from peers, fetches the head and the
//! bodies that it lacks, and changes over in one step when it has them all. Until then the entry
//! acts on what it had, and the freshness rule decides how long it may.

mod delta;
mod poll;
mod state;
mod watcher;

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::declaration::Set;
use crate::head::{Generation, Hash, Head, Incarnation};

pub use delta::{Delta, History, Mismatch};
pub use poll::{Cadence, Poll};
pub use state::{Settings, State};
pub use watcher::{Role, role};

/// Where a head or a body is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Source {
    /// The platform's store.
    Store,
    /// The entry of this incarnation.
    Peer(Incarnation),
}

/// What the caller of [`State::poll`] has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask for the head and pass the answer to [`State::head`] or [`State::delta`].
    Head(Source),
    /// Ask for these bodies and pass each to [`State::body`].
    Bodies(Source, Vec<Hash>),
    /// Act on this configuration from now on.
    Apply(Arc<Configuration>),
}

/// A configuration that an entry acts on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Configuration {
    /// The head that names it.
    pub head: Head,
    /// What is declared.
    pub set: Set,
}

/// What became of a head or a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is of use.
    Taken,
    /// It is no newer than what is held, or not wanted any more.
    Stale,
    /// It is not what its name says, or breaks a bound.
    Corrupt,
}

impl Configuration {
    /// The generation of the head.
    pub fn generation(&self) -> Generation {
        self.head.generation
    }
}
