//! Identifiers of requests and of the attempts to answer them.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Identifies a caller's request over all entries. Drawn at random, below 2^53.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Request(u64);

/// Counts the attempts of one request, from 1.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Number(pub u32);

/// Identifies one attempt: what a target must repeat in every frame of its answer.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Attempt {
    /// The request.
    pub request: Request,
    /// The attempt's number within the request.
    #[serde(rename = "attempt")]
    pub number: Number,
}

impl Request {
    /// The request identified by the low 53 bits of `bits`.
    pub const fn new(bits: u64) -> Request {
        Request(bits & ((1 << 53) - 1))
    }

    /// The identifier as a number below 2^53.
    pub const fn as_u64(self) -> u64 {
        self.0
    }
}

impl Attempt {
    /// The first attempt of `request`.
    pub const fn first(request: Request) -> Attempt {
        Attempt { request, number: Number(1) }
    }

    /// The attempt that follows this one.
    pub const fn next(self) -> Attempt {
        Attempt { request: self.request, number: Number(self.number.0.saturating_add(1)) }
    }
}

impl fmt::Display for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.request, self.number.0)
    }
}
