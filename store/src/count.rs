//! Counters of calls, for the metrics of the process that makes them.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::error::Error;

/// A kind of call of the object API.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Call {
    /// Reads one object.
    Get,
    /// Reads all objects of a kind.
    List,
    /// Writes one object.
    Put,
    /// Deletes one object.
    Delete,
    /// Waits for changes.
    Watch,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Outcome {
    /// The store did what was asked.
    Done,
    /// Another writer came first.
    Conflict,
    /// The store was unavailable; nothing was written.
    Unavailable,
    /// The answer to a write was lost.
    Unknown,
    /// The call was refused or its answer could not be read.
    Failed,
}

/// Counters of calls by kind of call and outcome. They only grow.
#[derive(Debug, Default)]
pub struct Counter {
    cells: [[AtomicU64; Outcome::ALL.len()]; Call::ALL.len()],
}

/// One counter's value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Count {
    /// The kind of call.
    pub call: Call,
    /// How the calls ended.
    pub outcome: Outcome,
    /// Calls since the process started.
    pub calls: u64,
}

impl Call {
    /// All kinds of call.
    pub const ALL: [Call; 5] = [Call::Get, Call::List, Call::Put, Call::Delete, Call::Watch];

    /// The call's name in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Call::Get => "get",
            Call::List => "list",
            Call::Put => "put",
            Call::Delete => "delete",
            Call::Watch => "watch",
        }
    }
}

impl Outcome {
    /// All outcomes.
    pub const ALL: [Outcome; 5] =
        [Outcome::Done, Outcome::Conflict, Outcome::Unavailable, Outcome::Unknown, Outcome::Failed];

    /// The outcome's name in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Outcome::Done => "done",
            Outcome::Conflict => "conflict",
            Outcome::Unavailable => "unavailable",
            Outcome::Unknown => "unknown",
            Outcome::Failed => "failed",
        }
    }

    fn of<T>(result: &Result<T, Error>) -> Outcome {
        match result {
            Ok(_) => Outcome::Done,
            Err(Error::Conflict { .. }) => Outcome::Conflict,
            Err(Error::Unavailable { .. }) => Outcome::Unavailable,
            Err(Error::Unknown { .. }) => Outcome::Unknown,
            Err(_) => Outcome::Failed,
        }
    }
}

impl Counter {
    /// Counts one call and its outcome.
    pub fn record<T>(&self, call: Call, result: &Result<T, Error>) {
        let cell = &self.cells[call as usize][Outcome::of(result) as usize];
        cell.fetch_add(1, Ordering::Relaxed);
    }

    /// The value of every counter.
    pub fn snapshot(&self) -> impl Iterator<Item = Count> + '_ {
        Call::ALL.into_iter().flat_map(move |call| {
            Outcome::ALL.into_iter().map(move |outcome| {
                let calls = self.cells[call as usize][outcome as usize].load(Ordering::Relaxed);
                Count { call, outcome, calls }
            })
        })
    }

    /// Calls of one kind, whatever their outcome.
    pub fn total(&self, call: Call) -> u64 {
        self.snapshot().filter(|count| count.call == call).map(|count| count.calls).sum()
    }
}

impl fmt::Display for Call {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}
