//! One target, and what an entry has in progress on it.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A target as the list shows it.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Identifier of the instance that requests go to.
    pub id: Arc<str>,
    /// Identifies this start of it, and its replica's epoch.
    pub incarnation: (u64, u64),
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// The model that it serves, if it is a replica.
    pub model: Option<Arc<str>>,
    /// Factor on its times.
    pub time_factor: f64,
    /// Identifiers of all its instances.
    pub members: Vec<Arc<str>>,
}

/// The load of one target at one entry, as it is told to peers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests in progress.
    pub running: u32,
    /// Prompt tokens of those that have no token yet.
    pub prefill: u32,
    /// Milliseconds since its last event.
    pub quiet_ms: u32,
    /// Tenths of the time that its passes take against others of its model, 0 if not known.
    pub slowness: u8,
}

/// Part of the targets, by their tags.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Partition {
    /// Which one, from 0 on.
    pub index: u8,
    /// How many there are.
    pub count: u8,
}

impl Default for Partition {
    /// All of them.
    fn default() -> Partition {
        Partition { index: 0, count: 1 }
    }
}

impl Partition {
    /// Whether the target with this tag belongs to it.
    pub fn contains(self, tag: u32) -> bool {
        tag % u32::from(self.count.max(1)) == u32::from(self.index)
    }
}
