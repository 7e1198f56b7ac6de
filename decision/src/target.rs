//! Targets as routing sees them: replicas that may serve, and plain services.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// The fencing number of a fabric domain's owner. Grows with each change of owner.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch(pub u64);

/// Identifies one run of a target's process. A restarted process has another one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Process(pub u64);

/// A target that may take requests of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The replica's or the plain target's name, unique within the service.
    pub name: Name,
    /// The service whose requests it takes.
    pub service: Name,
    /// The failure domain it runs in.
    pub failure_domain: Name,
    /// Where its requests go: for a replica, its instance of rank 0.
    pub address: SocketAddr,
    /// The process behind the address. Zero for a plain target that reports none.
    pub process: Process,
    /// The epoch under which a replica was loaded. Zero for a plain target.
    pub epoch: Epoch,
    /// Whether the target itself says that it is cold.
    pub temperature: Temperature,
    /// Whether it takes new work or only ends what it has.
    pub phase: Phase,
}

/// Whether a target bears its full load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Temperature {
    /// Bears only its cold limit.
    #[default]
    Cold,
    /// Bears its full limit.
    Warm,
}

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Takes new work.
    #[default]
    Serving,
    /// Takes no new work and ends what is in progress.
    Draining,
}
