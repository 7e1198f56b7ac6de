//! Errors of the gateway.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why the gateway can't start or go on.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings file can't be read.
    #[error("cannot read settings file {path}: {error}")]
    Read {
        /// The file.
        path: PathBuf,
        /// Why not.
        error: io::Error,
    },
    /// The settings file holds something else than settings.
    #[error("settings file {path}: {error}")]
    Parse {
        /// The file.
        path: PathBuf,
        /// What is wrong, with line and column.
        error: serde_json::Error,
    },
    /// A setting has a value that can't be used.
    #[error("setting `{field}`: {reason}")]
    Setting {
        /// The field's name.
        field: &'static str,
        /// What is wrong with its value.
        reason: String,
    },
    /// A listener can't be opened.
    #[error("cannot listen on {address}: {error}")]
    Listen {
        /// Where.
        address: SocketAddr,
        /// Why not.
        error: io::Error,
    },
    /// A signal can't be listened to.
    #[error("cannot listen to signals: {0}")]
    Signal(io::Error),
}

/// Why a call to a target or the store brought no answer.
#[derive(Debug, thiserror::Error)]
pub enum Call {
    /// No connection within the time for it; nothing was sent.
    #[error("cannot connect: {0}")]
    Connect(io::Error),
    /// The connection was gone before anything was sent.
    #[error("connection closed before the request was sent")]
    Unsent,
    /// The connection broke after the request was sent, at least in part.
    #[error("connection broke: {0}")]
    Broken(hyper::Error),
    /// No answer in time.
    #[error("no answer in time")]
    Timeout,
    /// The answer is larger than allowed.
    #[error("answer is too large")]
    Large,
}
