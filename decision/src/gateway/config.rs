//! The configuration as the operator wrote it, decoded.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::gateway::engine::Engine;
use crate::prelude::*;

/// A whole configuration.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Config {
    /// Grows with each change, in uneven steps.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// What a caller may send.
    pub limits: Limits,
    /// Workspaces and their keys. Without any, requests need no key.
    pub workspaces: Vec<Workspace>,
}

/// Where requests of one host and path prefix go.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host that it serves.
    pub host: Arc<str>,
    /// Beginning of the path, from slash to slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time that a request may be kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is of full use.
    pub objective: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services and their weights.
    pub split: Vec<(Arc<str>, u32)>,
    /// Most targets that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Whether a stream may go on at another replica.
    pub is_resumable: bool,
    /// Longest pause between events of a stream that is on time.
    #[serde(rename = "pause")]
    pub max_event_gap: Option<Duration>,
}

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// May run more than once.
    Safe,
    /// May run at most once.
    Unsafe,
    /// A stream of events; may run at most once unless it is resumable.
    Stream,
}

/// A service: targets that answer alike.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: Arc<str>,
    /// Requests a second that a cold target bears.
    pub warmup_rate: f64,
    /// Time for which a target is cold after its start.
    pub warmup: Duration,
    /// The engine, if its targets are replicas of models.
    pub engine: Option<Engine>,
}

/// What a caller may send.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time for the head of a request.
    pub head_timeout: Duration,
    /// Longest time for which a connection may stay idle.
    pub idle_timeout: Duration,
}

/// A workspace and its keys.
#[derive(Clone, Serialize, Deserialize)]
pub struct Workspace {
    /// Name that targets are told.
    pub name: Arc<str>,
    /// Keys that are in force.
    pub keys: Vec<Arc<str>>,
    /// Rank that goes before the route's.
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
    /// Leaves the keys out.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Workspace").field("name", &self.name).finish_non_exhaustive()
    }
}

impl Route {
    /// Whether a request may be sent again although it may have run.
    pub fn is_idempotent(&self) -> bool {
        match self.kind {
            Kind::Safe => true,
            Kind::Unsafe => false,
            Kind::Stream => self.is_resumable,
        }
    }
}
