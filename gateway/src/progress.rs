//! Open connections of callers, and how far the request of each one is.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use decision::clock::Time;
use serde::Serialize;

/// How far the request of a connection is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Stage {
    /// No request was read on the connection.
    #[default]
    Idle,
    /// The body of the request is being read.
    Reading,
    /// The request waits for its first target.
    Waiting,
    /// Earlier attempts ended without an answer, and the request waits for another target.
    Between,
    /// The request was sent to a target, which has not answered.
    Sent,
    /// The events of a stream, or the pieces of an answer that isn't kept, are being passed on.
    Streaming,
    /// The answer is complete, and the caller may not have been sent its last bytes.
    Answered,
}

/// Identifies an open connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Key(u64);

/// The last request of a connection.
#[derive(Clone, Debug, Default)]
pub(crate) struct Progress {
    /// Identifier of the request.
    pub(crate) request: Arc<str>,
    /// Name of its route.
    pub(crate) route: Arc<str>,
    /// Target that it was sent to last. Empty if there was none.
    pub(crate) target: Arc<str>,
    /// How far it is.
    pub(crate) stage: Stage,
    /// Whether a target may have run it in an attempt that has ended.
    pub(crate) may_have_run: bool,
    /// When its head was read.
    pub(crate) arrived: Time,
}

/// Number of connections by the stage of their requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct Census {
    idle: usize,
    reading: usize,
    waiting: usize,
    between: usize,
    sent: usize,
    streaming: usize,
    answered: usize,
}

/// The open connections of one entry.
#[derive(Debug, Default)]
pub(crate) struct Connections {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    next: u64,
    open: BTreeMap<Key, Progress>,
}

impl Connections {
    /// Adds a connection without a request.
    pub(crate) fn open(&self) -> Key {
        let mut state = self.state();
        let key = Key(state.next);
        state.next += 1;
        state.open.insert(key, Progress::default());
        key
    }

    /// Removes a connection.
    pub(crate) fn close(&self, key: Key) {
        self.state().open.remove(&key);
    }

    /// Returns the number of open connections.
    pub(crate) fn len(&self) -> usize {
        self.state().open.len()
    }

    /// Records that a request has come on a connection.
    pub(crate) fn begin(&self, key: Key, progress: Progress) {
        self.change(key, |it| *it = progress);
    }

    /// Returns how far the request of a connection is, if that is open.
    pub(crate) fn get(&self, key: Key) -> Option<Progress> {
        self.state().open.get(&key).cloned()
    }

    /// Records that the request of a connection waits for a target, and what became of the attempts
    /// before.
    pub(crate) fn record_wait(&self, key: Key, stage: Stage, may_have_run: bool) {
        self.change(key, |it| {
            it.stage = stage;
            it.may_have_run = may_have_run;
        });
    }

    /// Records how far the request of a connection is.
    pub(crate) fn set_stage(&self, key: Key, stage: Stage) {
        self.change(key, |it| it.stage = stage);
    }

    /// Records that the request of a connection is sent to `target`.
    pub(crate) fn record_sent(&self, key: Key, target: &Arc<str>) {
        self.change(key, |it| {
            it.target = target.clone();
            it.stage = Stage::Sent;
        });
    }

    /// Returns the requests that have no complete answer, or one that may not have left.
    pub(crate) fn unfinished(&self) -> Vec<Progress> {
        let state = self.state();
        state.open.values().filter(|it| it.stage != Stage::Idle).cloned().collect()
    }

    /// Counts the connections by the stage of their requests.
    pub(crate) fn census(&self) -> Census {
        let mut census = Census::default();
        for progress in self.state().open.values() {
            *census.count(progress.stage) += 1;
        }
        census
    }

    fn change(&self, key: Key, change: impl FnOnce(&mut Progress)) {
        if let Some(progress) = self.state().open.get_mut(&key) {
            change(progress);
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Census {
    fn count(&mut self, stage: Stage) -> &mut usize {
        match stage {
            Stage::Idle => &mut self.idle,
            Stage::Reading => &mut self.reading,
            Stage::Waiting => &mut self.waiting,
            Stage::Between => &mut self.between,
            Stage::Sent => &mut self.sent,
            Stage::Streaming => &mut self.streaming,
            Stage::Answered => &mut self.answered,
        }
    }
}
