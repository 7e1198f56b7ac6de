//! Log of decisions, with one line of JSON for each event.
//!
//! Lines are collected in batches and passed to a writer thread, the only one that waits for the
//! output. When the output can't keep up, lines are dropped and counted; requests never wait for
//! it.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use decision::clock::Time;
use decision::gateway::era::Era;
use decision::gateway::prompt::Part;
use serde::{Serialize, Serializer};

use crate::clock::Clock;
use crate::port::Kind;
use crate::progress::{Census, Stage};

/// Size at which a batch is passed to the writer thread.
const BATCH_BYTES: usize = 8 << 10;

/// Interval at which a batch is passed to the writer thread also if it is smaller.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Largest number of batches that wait for the writer thread.
const MAX_QUEUED_BATCHES: usize = 16;

/// Largest number of lines in a second; further ones are dropped and counted.
const MAX_LINES_PER_SECOND: u32 = 400;

/// An event of the log: a decision, or a change of this entry's state.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub(crate) enum Event<'a> {
    /// The process has started.
    Started { instance: &'a str, failure_domain: &'a str, version: &'a str, first_start: bool },
    /// The process was asked to stop.
    Stopping { open: usize },
    /// The process ends: how long after it was asked to, and how far the requests are on the
    /// connections that are still open.
    Stopped {
        after_ms: u64,
        open: usize,
        #[serde(flatten)]
        census: Census,
    },
    /// The end of the process cuts off a request, or the rest of its answer.
    Cut { request: &'a str, route: &'a str, target: &'a str, stage: Stage, total_ms: u64 },
    /// The settings were read again.
    Reloaded { changed: bool, error: &'a str },
    /// The store, or one kind of its objects, can't be read.
    Lost { dependency: &'a str, kind: Kind, reason: &'a str },
    /// The store, or one kind of its objects, can be read again.
    Regained { dependency: &'a str, kind: Kind, after_ms: u64 },
    /// The store answered, but the answer can't be taken; the kind is read another way next.
    Rereading { kind: Kind, way: &'a str, reason: &'a str },
    /// A list or change older than the known one was received and ignored.
    Outdated { kind: Kind, era: Era, told: u64, known_era: Era, known: u64 },
    /// The store was restored from an older copy and states a new era.
    Restored { from: Era, to: Era, source: &'a str },
    /// The store doesn't state its era, or not readably; its responses count as of the known era.
    EraMissing { era: Era, reason: &'a str },
    /// Objects of a kind are held, since the restored store has older states of them or none.
    Held {
        kind: Kind,
        era: Era,
        revision: u64,
        known_era: Era,
        known_revision: u64,
        objects: usize,
        hold_ms: u64,
    },
    /// The store has lost this entry's registration, which is written again.
    Unregistered { era: Era },
    /// The registration of an entry that was not heard for long is removed from the store.
    Lapsed { entry: &'a str, result: &'a str },
    /// At its start, this entry asked peers what they hold: how many were asked and answered, and
    /// how many objects this entry holds since.
    Informed { asked: usize, peers: usize, objects: usize },
    /// The time limit of held objects has passed; the stored states come into force.
    HoldExpired { kind: Kind, objects: usize },
    /// A configuration came into force at this entry.
    Configured { version: u64, era: Era, routes: usize, workspaces: usize },
    /// The number of targets that may get requests has changed.
    Replicas { service: &'a str, model: &'a str, serving: usize, instances: usize },
    /// A request was refused and has not run.
    Refused {
        request: &'a str,
        route: &'a str,
        status: u16,
        reason: &'a str,
        era: Era,
        config: u64,
        config_age_ms: u64,
        waited_ms: u64,
    },
    /// Demand for a model, the replicas wanted for it, and the existing ones.
    Allotted {
        service: &'a str,
        model: &'a str,
        requests: f64,
        work: f64,
        missed: f64,
        wanted: f64,
        replicas: usize,
    },
    /// A request was sent to a target.
    Sent {
        request: &'a str,
        route: &'a str,
        target: &'a str,
        attempt: u32,
        config: u64,
        config_age_ms: u64,
        waited_ms: u64,
        /// Time until the first token is expected.
        expected_ms: u64,
        /// Estimated slowness of the target relative to others of its model, as a factor.
        slowness: f64,
        /// Requests in progress at the target from all entries, this one included.
        running: u32,
    },
    /// An attempt failed.
    Failed {
        request: &'a str,
        target: &'a str,
        reason: &'a str,
        ran: &'a str,
        after_ms: u64,
        /// Time since the first event from the target; absent if there was none.
        #[serde(skip_serializing_if = "Option::is_none")]
        writing_ms: Option<u64>,
        /// Parts of the prompt that other requests may share.
        #[serde(skip_serializing_if = "Parts::is_empty")]
        prompt: Parts<'a>,
    },
    /// More of an answer came than may be kept. The rest is passed on as its caller reads it.
    PassedOn { request: &'a str, target: &'a str, kept_bytes: usize, after_ms: u64 },
    /// Whether a request may be sent once more, by this entry's share of the retry budget.
    Retry {
        request: &'a str,
        service: &'a str,
        granted: bool,
        /// Callers' requests to the service within the window of the budget.
        requests: u32,
        /// Retries to the service within the window, without this one.
        retries: u32,
        allowed: f64,
        /// Entries that the slack of the budget is divided among.
        entries: usize,
        /// Whether this entry has a share of the slack now.
        has_share: bool,
    },
    /// A request stays at a target that was silent, as no other one has taken over.
    Kept { request: &'a str, target: &'a str, reason: &'a str, after_ms: u64 },
    /// A stream continues at another target.
    Resumed { request: &'a str, target: &'a str, last_event: &'a str, after_ms: u64 },
    /// A request got its final response.
    Ended {
        request: &'a str,
        route: &'a str,
        target: &'a str,
        status: u16,
        outcome: &'a str,
        first_ms: u64,
        pause_ms: u64,
        total_ms: u64,
    },
    /// A target announced that it is leaving.
    Leaving { target: &'a str },
    /// A target asked for a pause without requests.
    Resting { target: &'a str, rest_ms: u64 },
    /// A header by which a target describes its state can't be parsed and is ignored.
    Unheeded { target: &'a str, what: &'a str, reason: &'a str },
    /// A target that lost requests was checked: whether it crashed, and how many parts of their
    /// prompts are suspected then.
    Checked { target: &'a str, crashed: bool, suspects: usize },
    /// A part of prompts is not sent to replicas any more: by whose word, and by how many crashes if
    /// by this entry's own.
    Quarantined { part: String, model: u32, source: &'a str, crashes: usize },
    /// A part of prompts may be sent to replicas again.
    Released { part: String, model: u32, reason: &'a str },
    /// A request was withheld from replicas, since a part of its prompt crashes them.
    Withheld { request: &'a str, part: String, model: u32 },
    /// A target became suspect: its streams are silent, or it fails requests.
    Suspect { target: &'a str, silent_ms: u64 },
    /// An instance can't be reached.
    Unreachable { instance: &'a str, reason: &'a str },
    /// The lease on the replicas was won.
    Won { fence: u64, era: Era },
    /// The lease on the replicas was lost or given up.
    Yielded { fence: u64, reason: &'a str },
    /// An order was given to an instance.
    Ordered {
        instance: &'a str,
        order: &'a str,
        group: &'a str,
        fence: u64,
        era: Era,
        list_age_ms: u64,
        result: &'a str,
    },
    /// The owner recorded a step in the life cycle of a replica.
    Replica {
        service: &'a str,
        model: &'a str,
        group: &'a str,
        step: &'a str,
        instance: &'a str,
        reason: &'a str,
        fence: u64,
    },
    /// A datagram can't be parsed. Only some of them are logged.
    Garbled { from: SocketAddr, reason: &'a str },
    /// Objects of the store can't be parsed.
    Unreadable { kind: Kind, count: usize },
    /// Lines were dropped since the last such line.
    Dropped { lines: u64 },
}

/// Parts of a prompt, which are written as their identifiers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Parts<'a>(pub(crate) &'a [Part]);

impl Parts<'_> {
    fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl Serialize for Parts<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(self.0.iter().map(Part::to_string))
    }
}

/// Writes events to the log; clones share the same batch.
#[derive(Clone, Debug)]
pub(crate) struct Journal {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    clock: Clock,
    batches: SyncSender<Vec<u8>>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    batch: Vec<u8>,
    /// Lines dropped since the last [`Event::Dropped`].
    dropped: u64,
    /// Lines dropped since the start.
    lost: u64,
    /// The second that `lines` counts.
    second: u64,
    /// Lines in the current second.
    lines: u32,
}

#[derive(Serialize)]
struct Line<'a> {
    at_ms: u64,
    #[serde(flatten)]
    event: &'a Event<'a>,
}

impl Journal {
    /// Returns a log that writes to `sink` from a thread of its own.
    pub(crate) fn new(clock: Clock, sink: impl Write + Send + 'static) -> Journal {
        let (batches, receiver) = sync_channel(MAX_QUEUED_BATCHES);
        std::thread::spawn(move || write(&receiver, sink));
        Journal { shared: Arc::new(Shared { clock, batches, state: Mutex::default() }) }
    }

    /// Passes batches to the writer thread at intervals, without end.
    pub(crate) async fn run(self) {
        loop {
            tokio::time::sleep(BATCH_INTERVAL).await;
            self.flush();
        }
    }

    /// Writes an event, or counts it as lost if there are too many in this second.
    pub(crate) fn note(&self, event: &Event<'_>) {
        let now = self.shared.clock.now();
        let mut state = self.shared.state();
        if !state.may_write(now) {
            state.dropped += 1;
            state.lost += 1;
            return;
        }
        state.push(now, event);
        if state.batch.len() >= BATCH_BYTES {
            self.shared.send_batch(&mut state);
        }
    }

    /// Passes the current batch to the writer thread, with the number of dropped lines if there are
    /// any.
    pub(crate) fn flush(&self) {
        let mut state = self.shared.state();
        let lines = std::mem::take(&mut state.dropped);
        if lines > 0 {
            state.push(self.shared.clock.now(), &Event::Dropped { lines });
        }
        self.shared.send_batch(&mut state);
    }

    /// Returns the number of lines lost since the start.
    pub(crate) fn lost_lines(&self) -> u64 {
        self.shared.state().lost
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes the current batch to the writer thread, or counts its lines as lost.
    fn send_batch(&self, state: &mut State) {
        if state.batch.is_empty() {
            return;
        }
        match self.batches.try_send(std::mem::take(&mut state.batch)) {
            Ok(()) => {}
            Err(TrySendError::Full(batch) | TrySendError::Disconnected(batch)) => {
                let lines = batch.iter().filter(|it| **it == b'\n').count() as u64;
                state.dropped += lines;
                state.lost += lines;
            }
        }
    }
}

impl State {
    /// Counts a line and returns whether the limit of this second allows it.
    fn may_write(&mut self, now: Time) -> bool {
        let second = now.as_micros() / 1_000_000;
        if second != self.second {
            self.second = second;
            self.lines = 0;
        }
        self.lines += 1;
        self.lines <= MAX_LINES_PER_SECOND
    }

    /// Appends an event to the batch.
    fn push(&mut self, now: Time, event: &Event<'_>) {
        let length = self.batch.len();
        let line = Line { at_ms: now.as_micros() / 1_000, event };
        match serde_json::to_writer(&mut self.batch, &line) {
            Ok(()) => self.batch.push(b'\n'),
            Err(_) => {
                // Removes the incomplete line, so that the next one stays readable.
                self.batch.truncate(length);
                self.dropped += 1;
                self.lost += 1;
            }
        }
    }
}

fn write(batches: &Receiver<Vec<u8>>, mut sink: impl Write) {
    while let Ok(batch) = batches.recv() {
        if sink.write_all(&batch).and_then(|()| sink.flush()).is_err() {
            // The output is gone, and there is nowhere to report it; senders count the lost lines.
            return;
        }
    }
}
