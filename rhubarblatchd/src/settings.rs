//! The daemon's settings: one JSON file, checked before anything starts.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use decision::name::Name;
use listener::MIN_HEAD_BYTES;
use serde::{Deserialize, Serialize};

/// Shortest accepted time span, in milliseconds. Smaller numbers are most likely seconds.
pub const MIN_SPAN_MS: u64 = 10;

/// Longest accepted time span, in milliseconds.
pub const MAX_SPAN_MS: u64 = 3_600_000;

/// Everything that an entry is told about itself.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The entry's name, unique among the entries.
    pub name: Name,
    /// The failure domain that the entry runs in.
    pub failure_domain: Name,
    /// The addresses of its three listeners.
    pub listen: Listen,
    /// The platform's store.
    pub platform: Platform,
    /// The secrets that operators and peers present.
    pub tokens: Tokens,
    /// How often it acts and how long its knowledge lasts.
    #[serde(default)]
    pub timing: Timing,
    /// The bounds of its listeners.
    #[serde(default)]
    pub limits: Limits,
    /// What it logs.
    #[serde(default)]
    pub log: Log,
    /// Where it sends traces and metrics.
    #[serde(default)]
    pub telemetry: Telemetry,
}

/// The addresses of the three listeners, by IP number. Port 0 takes any free port.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For other entries.
    pub peers: SocketAddr,
}

/// The platform's store.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The object API's address.
    pub address: SocketAddr,
    /// The secret it demands, if any.
    #[serde(default)]
    pub token: Option<Secret>,
    /// Longest wait for an answer, in milliseconds.
    #[serde(default = "default_platform_timeout")]
    pub timeout_ms: u64,
}

/// The secrets that operators and peers present.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tokens {
    /// What operators present.
    pub operators: Secret,
    /// What entries present to each other.
    pub peers: Secret,
}

/// Where a secret is kept. The secret itself is never part of the settings.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Secret {
    /// In the first line of a file.
    File(PathBuf),
    /// In an environment variable.
    Env(String),
}

/// How often an entry acts and how long its knowledge lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Timing {
    /// Time between two exchanges with peers, in milliseconds.
    pub exchange_ms: u64,
    /// Time between two reads of the store's head, in milliseconds.
    pub read_ms: u64,
    /// How long an entry may act on what it knows, in milliseconds.
    pub freshness_ms: u64,
    /// Added to waits for others' `freshness_ms`, for clocks that run unevenly, in milliseconds.
    pub margin_ms: u64,
    /// Time between two probes of an instance, in milliseconds.
    pub probe_ms: u64,
    /// How long a fabric domain's lease lasts, in milliseconds.
    pub lease_ms: u64,
    /// Longest wait for requests in progress when the entry stops, in milliseconds.
    pub stop_ms: u64,
}

/// The bounds of the listeners. Those outside `operators` and `peers` are for callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Connections of callers at one time.
    pub connections: usize,
    /// Largest header of a request, in bytes.
    pub header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest wait for a request's header, also on an idle connection, in milliseconds.
    pub header_ms: u64,
    /// Bounds of the operators' connections.
    pub operators: Connections,
    /// Bounds of the peers' connections.
    pub peers: Connections,
}

/// The bounds of one listener's connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Connections {
    /// Connections at one time.
    pub connections: usize,
    /// Largest header of a request, in bytes.
    pub header_bytes: usize,
    /// Longest wait for a request's header, also on an idle connection, in milliseconds.
    pub header_ms: u64,
}

/// What the daemon logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// The least severe level that is logged.
    pub level: Level,
    /// The form of each line.
    pub format: Format,
}

/// The least severe level that is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Level {
    /// Failures that need a person.
    Error,
    /// Failures that the system handles.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Single events, for development.
    Debug,
}

/// The form of each log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Format {
    /// Plain text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Where traces and metrics are sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Telemetry {
    /// The OTLP endpoint, such as `http://10.0.0.9:4318`. Nothing is sent unless it is set.
    pub otlp: Option<String>,
}

/// Why settings are refused.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("{file}: {source}")]
    Read {
        /// The settings file.
        file: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// The file is not JSON of the right shape.
    #[error("{file}: field \"{field}\": {source}")]
    Shape {
        /// The settings file.
        file: String,
        /// The path of the field, such as `timing.read_ms`.
        field: String,
        /// What is wrong.
        source: serde_json::Error,
    },
    /// Values are out of range or contradict each other.
    #[error("{}", join(.0))]
    Values(Vec<Problem>),
    /// A secret cannot be read.
    #[error("field \"{field}\": no secret in {place}")]
    Secret {
        /// The path of the field.
        field: &'static str,
        /// The file or the environment variable.
        place: String,
    },
}

/// One value that is out of range or contradicts another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The settings file.
    pub file: String,
    /// The path of the field.
    pub field: String,
    /// What is wrong, with the value.
    pub reason: Reason,
}

/// What is wrong with a value.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Reason {
    /// A time span is so short that it was most likely meant in seconds.
    #[error("{0} ms is too short; the unit is milliseconds, did you mean {m}?", m = .0 * 1_000)]
    Seconds(u64),
    /// A time span is out of range.
    #[error("{0} ms is not between {MIN_SPAN_MS} and {MAX_SPAN_MS}")]
    Span(u64),
    /// Two listeners share an address.
    #[error("{0} is also the address of \"{1}\"")]
    Clash(SocketAddr, &'static str),
    /// A time span must be shorter than another one.
    #[error("{0} ms must be less than \"{1}\", which is {2} ms")]
    Order(u64, &'static str, u64),
    /// A count or a size is below its least value.
    #[error("{0} is too small; at least {1} is needed")]
    Small(usize, usize),
}

impl Settings {
    /// Reads and checks the settings in `file`.
    ///
    /// # Errors
    ///
    /// Names the file, the field and the value of whatever is wrong.
    pub fn read(file: &Path) -> Result<Settings, Error> {
        let name = file.display().to_string();
        let text = std::fs::read_to_string(file);
        let text = text.map_err(|source| Error::Read { file: name.clone(), source })?;
        let settings = Settings::parse(&name, &text)?;
        settings.check(&name)?;
        Ok(settings)
    }

    /// Reads settings from `text`. `file` names it in errors.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Shape`] for text that is not JSON of the right shape.
    pub fn parse(file: &str, text: &str) -> Result<Settings, Error> {
        let mut json = serde_json::Deserializer::from_str(text);
        serde_path_to_error::deserialize(&mut json).map_err(|error| Error::Shape {
            file: file.to_owned(),
            field: error.path().to_string(),
            source: error.into_inner(),
        })
    }

    /// Checks the values against their ranges and against each other.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Values`] with everything that is wrong.
    pub fn check(&self, file: &str) -> Result<(), Error> {
        let mut problems = Vec::new();
        let mut add = |field: &str, reason| {
            let field = field.to_owned();
            problems.push(Problem { file: file.to_owned(), field, reason });
        };
        for (field, span) in self.spans() {
            match span {
                0..MIN_SPAN_MS => add(field, Reason::Seconds(span)),
                MIN_SPAN_MS..=MAX_SPAN_MS => {}
                _ => add(field, Reason::Span(span)),
            }
        }
        for (field, span, other, limit) in self.orders() {
            if span >= limit {
                add(field, Reason::Order(span, other, limit));
            }
        }
        for (field, count, least) in self.counts() {
            if count < least {
                add(field, Reason::Small(count, least));
            }
        }
        let mut seen = BTreeMap::new();
        for (field, address) in self.listen.all() {
            if address.port() == 0 {
                continue;
            }
            if let Some(other) = seen.insert(address, field) {
                add(field, Reason::Clash(address, other));
            }
        }
        if problems.is_empty() { Ok(()) } else { Err(Error::Values(problems)) }
    }

    fn spans(&self) -> [(&'static str, u64); 11] {
        let timing = &self.timing;
        [
            ("platform.timeout_ms", self.platform.timeout_ms),
            ("timing.exchange_ms", timing.exchange_ms),
            ("timing.read_ms", timing.read_ms),
            ("timing.freshness_ms", timing.freshness_ms),
            ("timing.margin_ms", timing.margin_ms),
            ("timing.probe_ms", timing.probe_ms),
            ("timing.lease_ms", timing.lease_ms),
            ("timing.stop_ms", timing.stop_ms),
            ("limits.header_ms", self.limits.header_ms),
            ("limits.operators.header_ms", self.limits.operators.header_ms),
            ("limits.peers.header_ms", self.limits.peers.header_ms),
        ]
    }

    fn orders(&self) -> [(&'static str, u64, &'static str, u64); 3] {
        let Timing { exchange_ms, read_ms, freshness_ms, margin_ms, lease_ms, .. } = self.timing;
        [
            ("timing.exchange_ms", exchange_ms, "timing.freshness_ms", freshness_ms),
            ("timing.read_ms", read_ms, "timing.freshness_ms", freshness_ms),
            ("timing.margin_ms", margin_ms, "timing.lease_ms", lease_ms),
        ]
    }

    /// Counts and sizes with their least values.
    fn counts(&self) -> [(&'static str, usize, usize); 7] {
        let Limits { operators, peers, .. } = self.limits;
        [
            ("limits.connections", self.limits.connections, 1),
            ("limits.header_bytes", self.limits.header_bytes, MIN_HEAD_BYTES),
            ("limits.body_bytes", self.limits.body_bytes, 1),
            ("limits.operators.connections", operators.connections, 1),
            ("limits.operators.header_bytes", operators.header_bytes, MIN_HEAD_BYTES),
            ("limits.peers.connections", peers.connections, 1),
            ("limits.peers.header_bytes", peers.header_bytes, MIN_HEAD_BYTES),
        ]
    }
}

impl Listen {
    fn all(&self) -> [(&'static str, SocketAddr); 3] {
        [
            ("listen.callers", self.callers),
            ("listen.operators", self.operators),
            ("listen.peers", self.peers),
        ]
    }
}

impl Secret {
    /// Reads the secret of the field `field`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Secret`] if there is none or it is empty. The error never holds the secret.
    pub fn read(&self, field: &'static str) -> Result<String, Error> {
        let (found, place) = match self {
            Secret::File(path) => {
                (std::fs::read_to_string(path).ok(), format!("file {}", path.display()))
            }
            Secret::Env(name) => (std::env::var(name).ok(), format!("environment variable {name}")),
        };
        let first = found.as_deref().and_then(|text| text.lines().next()).map(str::trim);
        match first {
            Some(secret) if !secret.is_empty() => Ok(secret.to_owned()),
            _ => Err(Error::Secret { field, place }),
        }
    }
}

impl Timing {
    /// How long an entry may act on what it knows.
    pub fn freshness(&self) -> Duration {
        Duration::from_millis(self.freshness_ms)
    }

    /// Added to waits for others.
    pub fn margin(&self) -> Duration {
        Duration::from_millis(self.margin_ms)
    }
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            exchange_ms: 250,
            read_ms: 1_000,
            freshness_ms: 3_000,
            margin_ms: 300,
            probe_ms: 500,
            lease_ms: 10_000,
            stop_ms: 600_000,
        }
    }
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            connections: 4_096,
            header_bytes: 16_384,
            body_bytes: 1_048_576,
            header_ms: 10_000,
            operators: Connections::default(),
            peers: Connections::default(),
        }
    }
}

impl Connections {
    /// The bounds as the listeners take them.
    pub(crate) fn limits(&self) -> listener::Limits {
        listener::Limits {
            connections: self.connections,
            head_bytes: self.header_bytes,
            head_timeout: Duration::from_millis(self.header_ms),
            ..listener::Limits::default()
        }
    }
}

impl Default for Connections {
    fn default() -> Connections {
        Connections { connections: 1_024, header_bytes: 16_384, header_ms: 60_000 }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: field \"{}\": {}", self.file, self.field, self.reason)
    }
}

fn join(problems: &[Problem]) -> String {
    let lines: Vec<String> = problems.iter().map(Problem::to_string).collect();
    lines.join("\n")
}

fn default_platform_timeout() -> u64 {
    1_000
}
