//! A request that the router holds.

use crate::outcome::Outcome;
use crate::pool::{Prompt, Spill, TargetKey, Want};
use crate::prelude::*;
use crate::request::{Request, Wait};
use crate::target::Process;

/// A request that the router holds.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) request: Request,
    pub(crate) prompt: Prompt,
    pub(crate) priority: u8,
    pub(crate) weight: u32,
    pub(crate) deadline: Time,
    pub(crate) state: State,
    pub(crate) timer: Option<Time>,
    /// When the request is given up, if it left the queue to ask a peer for a slot.
    pub(crate) give_up: Option<Time>,
    pub(crate) attempts: u32,
    /// What is known of all attempts so far.
    pub(crate) outcome: Outcome,
    /// Failure domain of the last failed attempt.
    pub(crate) avoid: Option<Name>,
}

/// Where a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    /// In its service's queue.
    Queued,
    /// Waiting for the time of its next attempt.
    Backoff,
    /// On a target.
    Running(Attempt),
    /// At a peer.
    Forwarded(Wait),
}

/// An attempt in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Attempt {
    pub(crate) target: TargetKey,
    pub(crate) process: Process,
    pub(crate) sent: Time,
    pub(crate) progress: Progress,
}

/// An attempt that broke and may still be in progress on its target.
#[derive(Debug)]
pub(crate) struct Remnant {
    pub(crate) service: Name,
    pub(crate) target: TargetKey,
    pub(crate) process: Process,
    pub(crate) since: Time,
    pub(crate) until: Time,
}

/// Whether the first token has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    Prefill,
    Decode,
}

impl Job {
    /// What the request needs of a target.
    pub(crate) fn want(&self, spill: Spill) -> Want<'_> {
        Want {
            prompt: self.prompt,
            prefix: &self.request.prefix,
            avoid: self.avoid.as_ref(),
            spill,
        }
    }
}
