//! A target of requests, and the load that an entry has in progress there.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// An instance that requests can be sent to: the head of a replica, or a plain target.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Identifier of the instance that requests go to.
    pub id: Arc<str>,
    /// Identifies the start of the instance, then the epoch of its replica (0 without a replica).
    /// A target with another incarnation is a new one.
    pub incarnation: (u64, u64),
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Failure domain of the instance.
    pub failure_domain: Arc<str>,
    /// Largest number of requests that it runs at once.
    pub slots: u32,
    /// Model that it serves; absent if it is a plain target.
    pub model: Option<Arc<str>>,
    /// Factor on the times that the cost model of its service states.
    pub time_factor: f64,
    /// Identifiers of all instances of the replica; only its own for a plain target.
    pub members: Vec<Arc<str>>,
}

/// Load of one entry on one target, as it is reported to peers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests in progress.
    pub running: u32,
    /// Prompt tokens of the requests that have no token yet.
    pub prefill: u32,
    /// Milliseconds since the target's last event; `u32::MAX` if none has come.
    pub quiet_ms: u32,
    /// Duration of the target's passes in tenths of that of others of its model; 0 if not known.
    pub slowness: u8,
}

/// One of several disjoint parts of the targets, by their tags.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Partition {
    /// Index of the part, from 0.
    pub index: u8,
    /// Number of parts.
    pub count: u8,
}

impl Default for Partition {
    /// Returns the partition that contains all targets.
    fn default() -> Partition {
        Partition { index: 0, count: 1 }
    }
}

impl Partition {
    /// Returns whether the target with this tag belongs to the partition.
    pub fn contains(self, tag: u32) -> bool {
        tag % u32::from(self.count.max(1)) == u32::from(self.index)
    }
}
