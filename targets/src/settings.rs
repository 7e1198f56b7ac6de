//! Limits of the calls to targets.

use std::time::Duration;

/// Limits of the calls to targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Longest time to open a connection.
    pub connect_timeout: Duration,
    /// How long an idle connection is kept.
    pub idle_timeout: Duration,
    /// Idle connections kept for each target.
    pub idle_connections: usize,
    /// Largest head of an answer, in bytes, and the most that a connection reads at once. At least
    /// 8,192.
    pub head_bytes: usize,
    /// Longest line of a stream, in bytes.
    pub line_bytes: usize,
    /// Largest body of a plain answer, in bytes.
    pub body_bytes: usize,
    /// Largest body read from an answer that reports a failure, in bytes.
    pub error_bytes: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            connect_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(30),
            idle_connections: 64,
            head_bytes: 16_384,
            line_bytes: 65_536,
            body_bytes: 1_048_576,
            error_bytes: 16_384,
        }
    }
}
