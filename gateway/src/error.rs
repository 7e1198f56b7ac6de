//! Errors of the gateway.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use decision::response::Violation;

/// Why the gateway can't start or keep running.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings file can't be read.
    #[error("cannot read settings file {path}: {error}")]
    Read {
        /// Path of the settings file.
        path: PathBuf,
        /// Error of the operating system.
        error: io::Error,
    },
    /// The settings file isn't valid JSON or doesn't match [`Settings`](crate::settings::Settings).
    #[error("settings file {path}: {error}")]
    Parse {
        /// Path of the settings file.
        path: PathBuf,
        /// Error of the parser, with line and column.
        error: serde_json::Error,
    },
    /// A setting has an invalid value.
    #[error("setting `{field}`: {reason}")]
    Setting {
        /// Path of the field, such as `bounds.grace_s`.
        field: &'static str,
        /// Which rule the value breaks.
        reason: String,
    },
    /// A socket can't be bound.
    #[error("cannot listen on {address}: {error}")]
    Listen {
        /// Address of the socket.
        address: SocketAddr,
        /// Error of the operating system.
        error: io::Error,
    },
    /// A signal handler can't be installed.
    #[error("cannot install a signal handler: {0}")]
    Signal(io::Error),
}

/// Why a call to a target or the store failed without a response.
#[derive(Debug, thiserror::Error)]
pub enum Call {
    /// No connection was made in time; nothing was sent.
    #[error("cannot connect: {0}")]
    Connect(io::Error),
    /// The connection closed before anything was sent.
    #[error("connection closed before the request was sent")]
    Unsent,
    /// The connection broke after the request was sent, at least in part.
    #[error("connection broke: {0}")]
    Broken(hyper::Error),
    /// No response arrived in time.
    #[error("no answer in time")]
    Timeout,
    /// The response began in time, but did not end.
    #[error("answer did not end in time")]
    Slow,
    /// The head of the response breaks the protocol.
    #[error("malformed response: {0}")]
    Malformed(#[from] Violation),
    /// The response exceeds its size limit.
    #[error("response exceeds its size limit")]
    Large,
}
