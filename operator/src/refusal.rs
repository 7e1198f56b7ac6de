//! Why an entry refused an operator's call.

use decision::check;
use decision::head::Generation;
use decision::name::Name;
use http::StatusCode;
use serde::{Deserialize, Serialize};

use crate::change::Difference;
use crate::entry::Entry;

/// Why an entry refused an operator's call. Unless it is [`Refusal::Unknown`], nothing changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum Refusal {
    /// The call has no bearer token, or a wrong one.
    #[error("the bearer token is missing or wrong")]
    Unauthorized,
    /// The body cannot be read.
    #[error("the body cannot be read: {reason}")]
    Malformed {
        /// The parser's message.
        reason: String,
    },
    /// The body is larger than the listener's settings allow, or has no length.
    #[error("the body must have a length of at most {limit} bytes")]
    Large {
        /// The largest allowed body, in bytes.
        limit: u64,
    },
    /// There is no such path or object.
    #[error("\"{path}\" does not exist")]
    Absent {
        /// The path or the object's kind and name.
        path: String,
    },
    /// Too many calls are in progress.
    #[error("{limit} calls are in progress already; try again")]
    Busy {
        /// The most calls that may be in progress.
        limit: usize,
    },
    /// The changed configuration would break rules.
    #[error("the configuration would break {} rules", errors.len())]
    Invalid {
        /// The rules and where they are broken.
        errors: Vec<check::Error>,
    },
    /// Another operator changed the same declarations first.
    #[error("another operator changed {} of the declarations first", differences.len())]
    Conflict {
        /// The generation that is stored now.
        generation: Generation,
        /// The declarations in question.
        differences: Vec<Difference>,
    },
    /// The change was made against a generation too old to tell whether it took effect already.
    #[error(
        "the change was made against generation {base}, and {generation} is stored: read again"
    )]
    Stale {
        /// The generation that the change was made against.
        base: Generation,
        /// The generation that is stored now.
        generation: Generation,
    },
    /// Other changes came first each time, although of other declarations.
    #[error("{attempts} attempts met changes by others; try again")]
    Contended {
        /// The attempts made.
        attempts: u32,
    },
    /// Entries that are to be forgotten were heard lately.
    #[error("{} heard less than {least_ms} ms ago and may still run", heard(entries))]
    Heard {
        /// The entries.
        entries: Vec<Entry>,
        /// The least silence of an entry that is lost, in milliseconds.
        least_ms: u64,
    },
    /// Other processes joined under the names of entries that are to be forgotten.
    #[error("other processes joined in the meantime as {}", list(names))]
    Replaced {
        /// The generation that is stored now.
        generation: Generation,
        /// The entries.
        names: Vec<Name>,
    },
    /// The platform's store cannot be used.
    #[error("nothing was changed: {reason}")]
    Unavailable {
        /// The store's error.
        reason: String,
    },
    /// The change may have taken effect, as generation `generation`, now or later.
    #[error("whether generation {generation} was stored is unknown: {reason}")]
    Unknown {
        /// The generation that the change would have.
        generation: Generation,
        /// The store's error.
        reason: String,
    },
}

impl Refusal {
    /// The status code of the answer that carries the refusal.
    pub const fn status(&self) -> StatusCode {
        match self {
            Refusal::Unauthorized => StatusCode::UNAUTHORIZED,
            Refusal::Malformed { .. } => StatusCode::BAD_REQUEST,
            Refusal::Large { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::Absent { .. } => StatusCode::NOT_FOUND,
            Refusal::Invalid { .. } | Refusal::Heard { .. } => StatusCode::UNPROCESSABLE_ENTITY,
            Refusal::Conflict { .. } | Refusal::Stale { .. } | Refusal::Replaced { .. } => {
                StatusCode::CONFLICT
            }
            Refusal::Busy { .. } | Refusal::Contended { .. } | Refusal::Unavailable { .. } => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Refusal::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

fn heard(entries: &[Entry]) -> String {
    let one = |it: &Entry| format!("{} ({} ms)", it.name, it.silent_ms.unwrap_or_default());
    entries.iter().map(one).collect::<Vec<_>>().join(", ")
}

fn list(names: &[Name]) -> String {
    names.iter().map(Name::as_str).collect::<Vec<_>>().join(", ")
}
