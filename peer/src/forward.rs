//! A request that one entry passes on to a peer. Its body is opaque here.

use bytes::Bytes;
use http::HeaderValue;

/// Most times that a request may be passed on.
pub const MAX_HOPS: u8 = 1;

/// The header that counts how often a request was passed on.
pub const HOPS_HEADER: &str = "x-hops";

/// The header that carries the trace across hops.
pub const TRACE_HEADER: &str = "traceparent";

/// A request that is passed on.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// How often it has been passed on, this time included. 1 to [`MAX_HOPS`].
    pub hops: u8,
    /// The `traceparent` of the hop before.
    pub trace: Option<HeaderValue>,
    /// What the peer is to carry out.
    pub body: Bytes,
}
