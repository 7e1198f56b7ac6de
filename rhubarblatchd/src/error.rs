//! Why the daemon cannot start or run.

use std::io;
use std::net::SocketAddr;

use crate::{parts, settings, telemetry};

/// Why the daemon cannot start or run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings are refused.
    #[error(transparent)]
    Settings(#[from] settings::Error),
    /// Metrics or traces cannot be set up.
    #[error(transparent)]
    Telemetry(#[from] telemetry::Error),
    /// The store's address cannot be used.
    #[error("field \"platform\": {0}")]
    Platform(#[from] store::Error),
    /// The peers' token cannot be used.
    #[error("field \"tokens.peers\": {0}")]
    Token(#[from] peer::token::Error),
    /// A listener's address cannot be used.
    #[error("field \"listen.{listener}\": cannot listen on {address}: {source}")]
    Listen {
        /// Which listener.
        listener: &'static str,
        /// The address as set.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The process has a logger already.
    #[error("cannot log: {0}")]
    Logger(#[from] log::SetLoggerError),
    /// A part of the entry ended while it was to run.
    #[error(transparent)]
    Part(#[from] parts::Ended),
    /// The process's signals cannot be watched.
    #[error("cannot watch signals: {0}")]
    Signal(io::Error),
}

impl Error {
    /// Whether the fault lies in the settings.
    pub fn is_usage(&self) -> bool {
        matches!(self, Error::Settings(_) | Error::Listen { .. } | Error::Token(_))
    }
}
