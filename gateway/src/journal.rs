//! One line of JSON for each decision, on standard output.
//!
//! Lines are gathered and handed to a thread of their own, which alone waits for the output. When
//! it can't keep up, lines are dropped and counted; requests never wait for it.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use decision::clock::Time;
use serde::Serialize;

use crate::clock::Clock;
use crate::port::Kind;

/// Bytes that are gathered before they are handed on.
const BATCH_BYTES: usize = 8 << 10;

/// Time after which what was gathered is handed on.
const BATCH_TIME: Duration = Duration::from_millis(100);

/// Batches that may wait for the output.
const BATCHES: usize = 16;

/// Most lines in a second; further ones are dropped and counted.
const LINES_PER_SECOND: u32 = 400;

/// A decision, or a change of what this entry believes.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub(crate) enum Event<'a> {
    /// The process has started.
    Started { instance: &'a str, failure_domain: &'a str, version: &'a str },
    /// The process was asked to stop.
    Stopping { open: usize },
    /// The settings were read again.
    Reloaded { changed: bool, error: &'a str },
    /// The store, or one kind of object in it, can't be read.
    Lost { dependency: &'a str, kind: Kind, reason: &'a str },
    /// It can be read again.
    Regained { dependency: &'a str, kind: Kind, after_ms: u64 },
    /// Something older than what is known was told, and not taken.
    Outdated { kind: Kind, told: u64, known: u64 },
    /// A configuration is in force here.
    Configured { version: u64, routes: usize, workspaces: usize },
    /// The set of replicas that may get work has changed.
    Replicas { service: &'a str, model: &'a str, serving: usize, instances: usize },
    /// A request was refused and has not run.
    Refused {
        request: &'a str,
        route: &'a str,
        status: u16,
        reason: &'a str,
        config: u64,
        config_age_ms: u64,
        waited_ms: u64,
    },
    /// What callers want of a model, in replicas, and how many there are.
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
        /// When the first token is expected, from now.
        expected_ms: u64,
        /// How many times slower than others of its model the target is taken to be.
        slowness: f64,
        /// Requests that all entries have in progress there, this one included.
        running: u32,
    },
    /// An attempt failed.
    Failed { request: &'a str, target: &'a str, reason: &'a str, ran: &'a str, after_ms: u64 },
    /// A stream goes on at another target.
    Resumed { request: &'a str, target: &'a str, last_event: &'a str, after_ms: u64 },
    /// A request has its final answer.
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
    /// A target says that it leaves.
    Leaving { target: &'a str },
    /// A target wants to be left alone for a while.
    Resting { target: &'a str, rest_ms: u64 },
    /// Something that a target said of itself can't be read. It is not heeded.
    Unheeded { target: &'a str, what: &'a str, reason: &'a str },
    /// A target is suspect: its streams are silent, or it fails.
    Suspect { target: &'a str, silent_ms: u64 },
    /// An instance can't be reached.
    Unreachable { instance: &'a str, reason: &'a str },
    /// The lease on the replicas was won.
    Won { fence: u64 },
    /// The lease on the replicas was lost or given up.
    Yielded { fence: u64, reason: &'a str },
    /// An order was given to an instance.
    Ordered {
        instance: &'a str,
        order: &'a str,
        group: &'a str,
        fence: u64,
        list_age_ms: u64,
        result: &'a str,
    },
    /// A replica has come a step further, as its owner sees it.
    Replica {
        service: &'a str,
        model: &'a str,
        group: &'a str,
        step: &'a str,
        instance: &'a str,
        reason: &'a str,
        fence: u64,
    },
    /// A datagram can't be read. Not all of them are noted.
    Garbled { from: SocketAddr, reason: &'a str },
    /// Objects of other writers can't be read.
    Unreadable { kind: Kind, count: usize },
    /// Lines were dropped since the last such line.
    Dropped { lines: u64 },
}

/// Writes events.
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
    dropped: u64,
    lost: u64,
    second: u64,
    lines: u32,
}

#[derive(Serialize)]
struct Line<'a> {
    at_ms: u64,
    #[serde(flatten)]
    event: &'a Event<'a>,
}

impl Journal {
    /// Writes to `sink` from a thread of its own.
    pub(crate) fn new(clock: Clock, sink: impl Write + Send + 'static) -> Journal {
        let (batches, receiver) = sync_channel(BATCHES);
        std::thread::spawn(move || write(&receiver, sink));
        Journal { shared: Arc::new(Shared { clock, batches, state: Mutex::default() }) }
    }

    /// Hands on what was gathered, again and again.
    pub(crate) async fn run(self) {
        loop {
            tokio::time::sleep(BATCH_TIME).await;
            self.flush();
        }
    }

    /// Notes an event.
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
            self.shared.hand_on(&mut state);
        }
    }

    /// Hands on what was gathered.
    pub(crate) fn flush(&self) {
        let mut state = self.shared.state();
        let lines = std::mem::take(&mut state.dropped);
        if lines > 0 {
            state.push(self.shared.clock.now(), &Event::Dropped { lines });
        }
        self.shared.hand_on(&mut state);
    }

    /// Lines that were lost since the start.
    pub(crate) fn lost(&self) -> u64 {
        self.shared.state().lost
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn hand_on(&self, state: &mut State) {
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
    fn may_write(&mut self, now: Time) -> bool {
        let second = now.as_micros() / 1_000_000;
        if second != self.second {
            self.second = second;
            self.lines = 0;
        }
        self.lines += 1;
        self.lines <= LINES_PER_SECOND
    }

    fn push(&mut self, now: Time, event: &Event<'_>) {
        let length = self.batch.len();
        let line = Line { at_ms: now.as_micros() / 1_000, event };
        match serde_json::to_writer(&mut self.batch, &line) {
            Ok(()) => self.batch.push(b'\n'),
            Err(_) => {
                // Half a line must not spoil the next one; the loss is counted.
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
            // Without an output there is nobody to tell; senders count the loss.
            return;
        }
    }
}
