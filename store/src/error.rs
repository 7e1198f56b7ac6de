//! Why a call of the object API failed.

use crate::kind::Kind;
use crate::object::Version;

/// Why a call of the object API failed, by what its caller may conclude from it.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The object's version is not the expected one. Nothing was written.
    #[error("object {kind}/{name} is at version {version}, not at the expected one")]
    Conflict {
        /// The object's kind.
        kind: Kind,
        /// The object's name.
        name: String,
        /// The object's version now. [`Version::ABSENT`] if there is none.
        version: Version,
    },
    /// The object to delete does not exist. Nothing was written.
    #[error("object {kind}/{name} does not exist")]
    Absent {
        /// The object's kind.
        kind: Kind,
        /// The object's name.
        name: String,
    },
    /// The value is larger than the store takes. Nothing was written.
    #[error("the value of {kind}/{name} has {bytes} bytes, which is more than the store takes")]
    Large {
        /// The object's kind.
        kind: Kind,
        /// The object's name.
        name: String,
        /// The value's size as JSON, in bytes.
        bytes: usize,
    },
    /// The name cannot stand in a path. Nothing was sent.
    #[error("\"{0}\" cannot name an object: only a-z, 0-9, '-' and '.' may stand in it")]
    Name(String),
    /// The value cannot be written as JSON. Nothing was sent.
    #[error("the value of {kind}/{name} cannot be written as JSON: {source}")]
    Value {
        /// The object's kind.
        kind: Kind,
        /// The object's name.
        name: String,
        /// The reason.
        source: serde_json::Error,
    },
    /// The store cannot be reached or says that it is unavailable. Nothing was written.
    #[error("the platform's store at {address} is unavailable: {cause}")]
    Unavailable {
        /// The store's address.
        address: String,
        /// What was seen.
        cause: Cause,
    },
    /// The answer to a write was lost: the write may have taken effect, now or later.
    #[error("the outcome of the write at {address} is unknown: {cause}")]
    Unknown {
        /// The store's address.
        address: String,
        /// What was seen.
        cause: Cause,
    },
    /// The store answered a read with a body that does not fit the protocol.
    #[error("the platform's store answered {call} with a body that cannot be read: {source}")]
    Body {
        /// The call, as method and path.
        call: String,
        /// The reason.
        source: serde_json::Error,
    },
    /// The store refused the call, such as for a wrong token. Nothing was written.
    #[error("the platform's store refused {call} with status {status}")]
    Refused {
        /// The call, as method and path.
        call: String,
        /// The status code.
        status: http::StatusCode,
    },
    /// The settings hold an address that is no URI.
    #[error("\"{0}\" is not an address of the platform's store, such as http://10.0.0.1:7000")]
    Address(String),
}

/// What was seen of a call that got no usable answer.
#[derive(Debug, thiserror::Error)]
pub enum Cause {
    /// No connection could be made.
    #[error("no connection: {0}")]
    Connect(String),
    /// The connection broke.
    #[error("connection broken: {0}")]
    Broken(String),
    /// No answer came in time.
    #[error("no answer within {0} ms")]
    Timeout(u64),
    /// The answer has a status code that says nothing of the outcome.
    #[error("status {0}")]
    Status(http::StatusCode),
    /// The answer has more bytes than the settings allow, or broke off.
    #[error("answer not read: {0}")]
    Answer(String),
}

impl Error {
    /// Whether a later attempt of the same call may succeed without a change by the caller.
    ///
    /// A write with an unknown outcome may be repeated only against the same version.
    pub fn is_transient(&self) -> bool {
        matches!(self, Error::Unavailable { .. } | Error::Unknown { .. })
    }
}
