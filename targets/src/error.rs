//! Why a call to a target failed, and how far it came.

use std::net::SocketAddr;

use decision::outcome::Progress;
use decision::response::Violation;
use http::StatusCode;

/// Why a call to a target failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The request could not be built.
    #[error("cannot build the request for target {address}: {source}")]
    Request {
        /// The target.
        address: SocketAddr,
        /// What was wrong.
        source: http::Error,
    },
    /// The request could not be written as JSON.
    #[error("cannot write the request for target {address} as JSON: {source}")]
    Json {
        /// The target.
        address: SocketAddr,
        /// What was wrong.
        source: serde_json::Error,
    },
    /// No connection could be had, or it closed before a byte of the request left.
    #[error("no byte was sent to target {address}: {source}")]
    Unsent {
        /// The target.
        address: SocketAddr,
        /// What went wrong.
        source: hyper_util::client::legacy::Error,
    },
    /// The gate was closed when the request's bytes were about to leave.
    #[error("the request for target {address} was withheld: the permission to send it had ended")]
    Withheld {
        /// The target.
        address: SocketAddr,
    },
    /// The target said that it did not run the request.
    #[error("target {address} did not run the request: {reason}")]
    Declined {
        /// The target.
        address: SocketAddr,
        /// What the target gave as its reason.
        reason: Reason,
    },
    /// The request was sent and no answer came.
    #[error("target {address} got the request and its answer was lost: {source}")]
    Lost {
        /// The target.
        address: SocketAddr,
        /// What went wrong.
        source: hyper_util::client::legacy::Error,
    },
    /// The head of the answer breaks the protocol.
    #[error("the answer of target {address} is malformed: {source}")]
    Malformed {
        /// The target.
        address: SocketAddr,
        /// What was wrong.
        source: Violation,
    },
    /// The answer broke off.
    #[error("the answer of target {address} broke off: {source}")]
    Broken {
        /// The target.
        address: SocketAddr,
        /// What went wrong.
        source: std::io::Error,
    },
    /// The target answered with a status that its protocol does not have here.
    #[error("target {address} answered with status {status}")]
    Status {
        /// The target.
        address: SocketAddr,
        /// The status.
        status: StatusCode,
    },
    /// The target does not know the attempt that was to be resumed.
    #[error("target {address} does not know the attempt")]
    Missing {
        /// The target.
        address: SocketAddr,
    },
    /// A line of the stream is not a frame.
    #[error("target {address} sent a line that is not a frame: {source}")]
    Frame {
        /// The target.
        address: SocketAddr,
        /// What was wrong.
        source: serde_json::Error,
    },
    /// A line of the stream or a body was longer than allowed.
    #[error("target {address} sent more than {limit} bytes in one line or body")]
    Long {
        /// The target.
        address: SocketAddr,
        /// The limit, in bytes.
        limit: usize,
    },
}

/// Why a target did not run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Reason {
    /// The engine serves no replica, or another one or epoch.
    #[error("not ready")]
    NotReady,
    /// The target bears no more requests.
    #[error("overloaded")]
    Overloaded,
    /// Another reason.
    #[error("refused")]
    Other,
}

impl Error {
    /// How far the request came. Anything that is not certain counts as sent.
    pub const fn progress(&self) -> Progress {
        match self {
            Error::Request { .. }
            | Error::Json { .. }
            | Error::Unsent { .. }
            | Error::Withheld { .. } => Progress::Unsent,
            Error::Declined { .. } => Progress::Declined,
            Error::Lost { .. }
            | Error::Malformed { .. }
            | Error::Broken { .. }
            | Error::Status { .. }
            | Error::Missing { .. }
            | Error::Frame { .. }
            | Error::Long { .. } => Progress::Sent,
        }
    }
}
