//! What a model engine says about itself.

use serde::{Deserialize, Serialize};

use crate::name::Name;
use crate::target::{Epoch, Process};

/// The answer of one engine to a probe.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The instance that the engine runs on.
    pub instance: Name,
    /// The run of the engine's process.
    pub process: Process,
    /// The epoch of the order that it last carried out.
    #[serde(default)]
    pub epoch: Epoch,
    /// The replica that it belongs to, if any.
    #[serde(default)]
    pub replica: Option<Name>,
    /// Its rank within the replica, from 0.
    #[serde(default)]
    pub rank: u32,
    /// Instances of the replica.
    #[serde(default)]
    pub size: u32,
    /// The model that is loaded or being loaded.
    #[serde(default)]
    pub model: Option<Name>,
    /// How far it got.
    pub state: State,
    /// Whether it bears only its cold limit.
    #[serde(default)]
    pub cold: bool,
    /// Requests in progress. Lags.
    #[serde(default)]
    pub running: u32,
    /// Prompt tokens whose prefill is in progress. Lags.
    #[serde(default)]
    pub prefill_tokens: u64,
}

/// How far an engine got with its last order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// No model is loaded.
    #[default]
    Idle,
    /// A model is being loaded.
    Loading,
    /// The model answers requests.
    Ready,
}
