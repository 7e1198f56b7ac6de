//! The operator's configuration, decoded.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::gateway::engine::Engine;
use crate::prelude::*;

/// The configuration of all entries.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Config {
    /// Version; grows with each change, not always by one.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Limits on what callers may send.
    pub limits: Limits,
    /// Workspaces and their keys. Without any, requests need no key.
    pub workspaces: Vec<Workspace>,
}

/// A route: where requests to one host and path prefix go, and how they are handled.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host that the route applies to.
    pub host: Arc<str>,
    /// Path prefix that the route applies to; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Which requests may be retried.
    pub kind: Kind,
    /// Longest time that a request may wait for its answer.
    pub timeout: Duration,
    /// Target latency: time within which an answer is of full use to the caller.
    pub objective: Duration,
    /// Priority class; 0 is the most urgent.
    pub priority: u8,
    /// Services among which requests are split, and their weights.
    pub split: Vec<(Arc<str>, u32)>,
    /// Largest number of targets that one request may be sent to, the first one included.
    pub max_attempts: u32,
    /// Whether requests are accepted without a key.
    pub is_public: bool,
    /// Whether an interrupted stream may be resumed at another replica.
    pub is_resumable: bool,
    /// Longest gap between two events of a stream that counts as on time; no limit if absent.
    #[serde(rename = "pause")]
    pub max_event_gap: Option<Duration>,
}

/// Which requests of a route may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// A request may run more than once.
    Safe,
    /// A request may run at most once.
    Unsafe,
    /// The answer is a stream of events; the request may run at most once unless the route is
    /// resumable.
    Stream,
}

/// A service: a set of interchangeable targets.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: Arc<str>,
    /// Requests per second that a cold target can handle.
    pub warmup_rate: f64,
    /// Time after its start for which a target is cold.
    pub warmup: Duration,
    /// Cost model of the engine, if the targets are replicas of models.
    pub engine: Option<Engine>,
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Time within which a request head must have arrived.
    pub head_timeout: Duration,
    /// Longest time for which a connection may stay idle.
    pub idle_timeout: Duration,
}

/// A workspace and its API keys.
#[derive(Clone, Serialize, Deserialize)]
pub struct Workspace {
    /// Name, as it is forwarded to targets.
    pub name: Arc<str>,
    /// Keys that are currently valid.
    pub keys: Vec<Arc<str>>,
    /// Priority class that overrides the route's; 0 is the most urgent.
    pub priority: Option<u8>,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            head_bytes: 16_384,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

impl std::fmt::Debug for Workspace {
    /// Formats the workspace without its keys, which are secret.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Workspace").field("name", &self.name).finish_non_exhaustive()
    }
}

impl Route {
    /// Returns whether a request may be retried although it may already have run.
    pub fn is_idempotent(&self) -> bool {
        match self.kind {
            Kind::Safe => true,
            Kind::Unsafe => false,
            Kind::Stream => self.is_resumable,
        }
    }
}
