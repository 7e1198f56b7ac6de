//! Requests as the router sees them, and what it decides about them.

use std::sync::Arc;

use crate::outcome::Outcome;
use crate::prelude::*;
use crate::refusal::Refusal;
use crate::target::Target;

slotmap::new_key_type! {
    /// Identifies a request that the router holds.
    pub struct Ticket;
}

/// What the router needs to know of a request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// The service asked for.
    pub service: Name,
    /// The customer that asks.
    pub workspace: Name,
    /// The body's size, in bytes.
    pub bytes: usize,
    /// Prompt tokens, estimated. Zero for a plain call.
    pub prompt_tokens: u32,
    /// Tokens to generate at most. Zero for a plain call.
    pub output_tokens: u32,
    /// When the last byte must have reached the caller. The profile's deadline bounds it.
    pub deadline: Option<Time>,
    /// Whether the caller sent an idempotency key.
    pub key: Key,
    /// Hashes of the prompt's leading blocks, each over all blocks up to it.
    pub prefix: Vec<u64>,
    /// How the request reached this entry.
    pub hop: Hop,
    /// What was tried before the request reached this entry.
    pub past: Past,
}

/// What was tried of a request before.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Past {
    /// Attempts made. They count against the bound on attempts.
    pub attempts: u32,
    /// The failure domain of the last failed attempt. Others go first.
    pub avoid: Option<Name>,
}

/// Whether the caller sent an idempotency key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Key {
    /// No key.
    #[default]
    Absent,
    /// A key.
    Present,
}

/// How a request reached this entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Hop {
    /// From its caller.
    #[default]
    First,
    /// From a peer, which has no free slot. Never forwarded again.
    Forwarded(Wait),
}

/// Whether a forwarded request may wait in the queue of the entry that it was forwarded to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wait {
    /// Refused as `no_slot` unless a slot is free.
    Never,
    /// Queued like the entry's own requests.
    Queue,
}

/// Whether requests may be forwarded to peers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Forwarding {
    /// A request without a slot here goes to a peer that has one.
    #[default]
    On,
    /// A request waits here, or is refused at once if this entry holds no slot at all.
    Off,
}

/// A request leaves for a target.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// The request.
    pub ticket: Ticket,
    /// Where it goes.
    pub target: Arc<Target>,
    /// Attempts made before this one.
    pub attempt: u32,
}

/// A request leaves for a peer that holds slots of the right target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Forward {
    /// The request.
    pub ticket: Ticket,
    /// The peer.
    pub peer: Name,
    /// Whether it may wait in the peer's queue.
    pub wait: Wait,
    /// What was tried here, for the peer to go on from.
    pub past: Past,
}

/// What becomes of a request on arrival.
#[derive(Clone, Debug)]
pub enum Admission {
    /// Send it to a target now.
    Dispatch(Dispatch),
    /// Send it to a peer now.
    Forward(Forward),
    /// It waits. `Router::next` says what becomes of it.
    Queued(Ticket),
    /// It is refused. The answer goes out at once.
    Refused(Refusal),
}

/// What becomes of a request that waited.
#[derive(Clone, Debug)]
pub enum Event {
    /// Send it to a target now.
    Dispatch(Dispatch),
    /// Send it to a peer now.
    Forward(Forward),
    /// It is refused. The answer goes out at once and the ticket is void.
    Refused(Ticket, Refusal),
}

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the request left: the connection could not be made.
    Unsent,
    /// The target or peer itself said that nothing was run.
    NotRun,
    /// The target answered with an error after it may have run the request.
    Error,
    /// The connection broke or went silent after bytes had left.
    Broken,
    /// The forwarded request found no free slot at the peer.
    Busy,
}

/// What becomes of a request whose attempt failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It is tried again. `Router::next` says when and where.
    Retry,
    /// It is refused. The answer goes out at once and the ticket is void.
    Refused(Refusal),
}

impl Failure {
    /// Whether it is certain that nothing was run.
    pub fn certainly_not_run(self) -> bool {
        matches!(self, Failure::Unsent | Failure::NotRun | Failure::Busy)
    }

    /// The outcome that this failure leaves open.
    pub fn outcome(self) -> Outcome {
        if self.certainly_not_run() { Outcome::NotRun } else { Outcome::Unknown }
    }
}

impl Request {
    /// The request's weight in fair queueing, in tokens. At least 1.
    pub fn cost(&self) -> u64 {
        let tokens = u64::from(self.prompt_tokens) + u64::from(self.output_tokens);
        tokens.max(1)
    }
}
