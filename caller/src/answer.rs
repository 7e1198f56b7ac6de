//! Answers of plain calls.

use bytes::Bytes;
use http::StatusCode;

/// The whole answer to a plain call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The target's status.
    pub status: StatusCode,
    /// The body's type, if the target gave one.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
    /// Whether the answer was recorded earlier, for the same idempotency key.
    pub source: Source,
}

/// Where an answer comes from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Source {
    /// From a target, for this request.
    #[default]
    Target,
    /// From the record of an earlier request with the same idempotency key.
    Record,
}
