//! Settings of one entry, JSON.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;

use crate::error::Error;

/// The settings of one entry. Unknown fields are ignored.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Settings {
    /// Name of this entry.
    pub instance: String,
    /// The failure domain that it runs in.
    pub failure_domain: String,
    /// Where it listens.
    pub listen: Listen,
    /// Where the platform's store is.
    pub store: SocketAddr,
    /// Whether the whole system starts for the first time.
    #[serde(default)]
    pub first_start: bool,
    /// Cores that it may use, fractions too. Entries with more of them take on work for others.
    #[serde(default = "one")]
    pub cores: f64,
    /// Memory that it may use, in MB. A part of it is held for callers and targets.
    #[serde(default = "memory")]
    pub memory_mb: f64,
    /// Bounds that the operators state.
    #[serde(default)]
    pub bounds: Bounds,
}

/// Where an entry listens.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For the question whether it is ready.
    pub ready: SocketAddr,
    /// For its peers, UDP.
    pub peers: SocketAddr,
    /// For counters. None are served without it.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
}

/// Bounds that the operators state. Times in milliseconds unless the name says otherwise.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default)]
pub struct Bounds {
    /// A configuration is in force everywhere after this time.
    pub config_ms: u64,
    /// A target that leaves gets nothing after this time.
    pub drain_ms: u64,
    /// A failure domain that is out gets nothing after this time.
    pub evacuate_ms: u64,
    /// A key that was taken away is refused after this time.
    pub revoke_ms: u64,
    /// A stopping entry has this many seconds.
    pub grace_s: f64,
    /// Repeats allowed for each request.
    pub retry_ratio: f64,
    /// Window of the repeats, in seconds.
    pub retry_window_s: f64,
    /// Repeats allowed besides, over all entries.
    pub retry_slack: f64,
    /// Factor on a cold target's rate that is still borne.
    pub warmup_excess: f64,
    /// Requests that a cold target bears besides.
    pub warmup_slack: f64,
    /// Time for which work of a broken replica stands still.
    pub stall_ms: u64,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            config_ms: 2_000,
            drain_ms: 2_000,
            evacuate_ms: 5_000,
            revoke_ms: 5_000,
            grace_s: 8.0,
            retry_ratio: 0.2,
            retry_window_s: 10.0,
            retry_slack: 50.0,
            warmup_excess: 1.0,
            warmup_slack: 0.0,
            stall_ms: 6_000,
        }
    }
}

fn memory() -> f64 {
    256.0
}

fn one() -> f64 {
    1.0
}

impl Settings {
    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    ///
    /// Names the file, and the field with the value that can't be used.
    pub fn read(path: &Path) -> Result<Settings, Error> {
        let named = |error| Error::Read { path: path.to_owned(), error };
        let text = fs::read_to_string(path).map_err(named)?;
        let parsed = serde_json::from_str(&text);
        let settings: Settings =
            parsed.map_err(|error| Error::Parse { path: path.to_owned(), error })?;
        settings.check()?;
        Ok(settings)
    }

    /// Thousandths of a core that it may use.
    pub fn millicores(&self) -> u32 {
        // What is no whole number of them makes no difference.
        (self.cores * 1_000.0) as u32
    }

    /// Bytes of memory that it may use.
    pub fn memory_bytes(&self) -> usize {
        (self.memory_mb * 1e6) as usize
    }

    fn check(&self) -> Result<(), Error> {
        let bounds = &self.bounds;
        let positive = [
            ("bounds.config_ms", bounds.config_ms as f64),
            ("bounds.drain_ms", bounds.drain_ms as f64),
            ("bounds.evacuate_ms", bounds.evacuate_ms as f64),
            ("bounds.revoke_ms", bounds.revoke_ms as f64),
            ("bounds.grace_s", bounds.grace_s),
            ("bounds.retry_window_s", bounds.retry_window_s),
            ("cores", self.cores),
            ("memory_mb", self.memory_mb),
        ];
        for (field, value) in positive {
            if !value.is_finite() || value <= 0.0 {
                return Err(Error::Setting { field, reason: format!("{value} is not above 0") });
            }
        }
        if self.instance.is_empty() {
            let reason = "must not be empty".to_owned();
            return Err(Error::Setting { field: "instance", reason });
        }
        Ok(())
    }
}

impl Bounds {
    /// Age of the configuration up to which requests with a key are taken.
    pub fn max_config_age_for_keys(&self) -> Duration {
        Duration::from_millis(self.revoke_ms) * 9 / 10
    }

    /// Age of the configuration up to which a request may be told that its route doesn't exist.
    pub fn max_config_age_for_not_found(&self) -> Duration {
        Duration::from_millis(self.config_ms.max(self.revoke_ms))
    }

    /// Time for which a watch of the configuration waits. With the age that a peer's knowledge may
    /// have, and the time of a question to it, a change comes within its bound whatever fails.
    pub fn config_watch_timeout(&self) -> Duration {
        Duration::from_millis(self.config_ms) * 2 / 5
    }

    /// The same where one entry reads the store for all failure domains, so that what it tells
    /// passes through two others.
    pub fn cluster_config_watch_timeout(&self) -> Duration {
        Duration::from_millis(self.config_ms) / 5
    }

    /// Time for which a question to the reader of all failure domains waits.
    pub fn cluster_relay_timeout(&self) -> Duration {
        Duration::from_millis(self.config_ms) / 8
    }

    /// Time for which a question to a peer waits.
    pub fn relay_timeout(&self) -> Duration {
        Duration::from_millis(self.config_ms) / 4
    }

    /// Age of a peer's knowledge from which on the store is asked instead.
    pub fn max_relay_age(&self) -> Duration {
        Duration::from_millis(self.config_ms) / 2
    }

    /// Age of the configuration up to which an entry is ready.
    pub fn max_config_age_for_ready(&self) -> Duration {
        Duration::from_millis(self.revoke_ms) * 7 / 10
    }
}
