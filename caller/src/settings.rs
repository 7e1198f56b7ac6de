//! Limits of the listener for callers.

use std::time::Duration;

use ::listener::Limits;
use serde::{Deserialize, Serialize};

/// Limits of the listener for callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Most connections at a time. More wait in the kernel's backlog. At least 1.
    pub connections: usize,
    /// Largest head of a request, in bytes. At least 8,192.
    pub head_bytes: usize,
    /// Most headers of a request.
    pub headers: usize,
    /// Largest body of a request, in bytes. A service's profile may allow less.
    pub body_bytes: usize,
    /// Longest wait for the head of a request, also on an idle connection, in milliseconds.
    pub head_ms: u64,
    /// Longest wait for the body of a request, in milliseconds.
    pub body_ms: u64,
    /// Longest deadline that a caller may ask for, in milliseconds.
    pub deadline_ms: u64,
}

impl Settings {
    pub(crate) const fn limits(&self) -> Limits {
        Limits {
            connections: self.connections,
            head_bytes: self.head_bytes,
            headers: self.headers,
            head_timeout: Duration::from_millis(self.head_ms),
        }
    }

    pub(crate) const fn body_timeout(&self) -> Duration {
        Duration::from_millis(self.body_ms)
    }
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            connections: 4_096,
            head_bytes: 16_384,
            headers: 64,
            body_bytes: 1_048_576,
            head_ms: 10_000,
            body_ms: 10_000,
            deadline_ms: 3_600_000,
        }
    }
}
