//! Orders to instances.

use std::net::SocketAddr;
use std::sync::Arc;

/// An order to one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Become a member of a replica.
    Join {
        /// Name of the replica.
        group: Arc<str>,
        /// Its epoch.
        epoch: u64,
        /// The model that it serves.
        model: Arc<str>,
        /// All members, the head first.
        members: Vec<Arc<str>>,
    },
    /// To a head: serve.
    Open {
        /// Name of the replica.
        group: Arc<str>,
        /// Its epoch.
        epoch: u64,
    },
    /// To a head: stop serving.
    Close {
        /// Name of the replica.
        group: Arc<str>,
        /// Its epoch.
        epoch: u64,
        /// What becomes of the requests that it runs.
        mode: Close,
    },
    /// Leave a replica.
    Leave {
        /// Name of the replica.
        group: Arc<str>,
        /// Its epoch.
        epoch: u64,
    },
    /// Load a model's weights onto the host.
    Stage {
        /// The model.
        model: Arc<str>,
    },
}

impl Order {
    pub(super) fn leave((group, epoch): &(Arc<str>, u64)) -> Order {
        Order::Leave { group: group.clone(), epoch: *epoch }
    }
}

/// What becomes of the requests of a head that stops serving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Close {
    /// They end by themselves.
    Wait,
    /// They are cut off.
    Cut,
}

/// An order and the instance that it is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Action {
    /// The instance.
    pub id: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// What it shall do.
    pub order: Order,
}
