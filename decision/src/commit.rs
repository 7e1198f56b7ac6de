//! Group commit: carries many changes of one shard of claims in one conditional update.
//!
//! The update alone makes claims safe; any entry may write any shard. One writer for each shard
//! only saves writes.

use std::collections::{BTreeMap, VecDeque};

use crate::claim::{Change, Record, Shard, State, TICK, Verdict};
use crate::prelude::*;

/// Bounds of a writer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Shortest time between two writes of a shard.
    pub pace: Duration,
    /// Pause after a failure of the store.
    pub backoff: Duration,
    /// Longest time that a change waits for its verdict.
    pub patience: Duration,
    /// Most changes that wait.
    pub queue: usize,
    /// How long an unused copy of the shard is kept.
    pub keep: Duration,
}

/// Identifies a change that was handed to a writer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// What the writer asks its shell to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Task {
    /// Read the shard's object, then call [`Writer::read`].
    Read,
    /// Write the shard's object if its version is `version`, then call [`Writer::written`].
    Write {
        /// The version expected. Zero: absent.
        version: u64,
        /// The value.
        shard: Shard,
    },
    /// Tell the submitter of the change what it came to.
    Reply {
        /// The change.
        ticket: Ticket,
        /// What it came to.
        result: Result<Verdict, Error>,
    },
}

/// Why a change got no verdict. A claim without a verdict is never dispatched.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Too many changes wait.
    #[error("too many changes of this shard of claims wait")]
    Busy,
    /// The store gave no usable answer in time.
    #[error("the store did not answer in time")]
    Store,
}

/// How a call of the store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The object has another version: nothing was written.
    Conflict,
    /// The call certainly had no effect.
    Unavailable,
    /// The call may have had its effect, or may still have it.
    Unknown,
}

/// Writes one shard of claims.
#[derive(Debug)]
pub struct Writer {
    settings: Settings,
    phase: Phase,
    known: Option<Copy>,
    waiting: VecDeque<Item>,
    replies: VecDeque<Task>,
    next_ticket: u64,
    not_before: Time,
    asked: Time,
    tick: Option<(u32, Time)>,
    seen: BTreeMap<u64, Time>,
}

#[derive(Debug)]
enum Phase {
    Idle,
    Reading,
    Writing { shard: Shard, batch: Vec<(Item, Verdict)> },
}

#[derive(Debug)]
struct Copy {
    version: u64,
    shard: Shard,
    asked: Time,
    used: Time,
}

#[derive(Debug)]
struct Item {
    ticket: Ticket,
    change: Change,
    submitted: Time,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            pace: Duration::from_millis(200),
            backoff: Duration::from_millis(100),
            patience: Duration::from_secs(2),
            queue: 4_096,
            keep: Duration::from_secs(60),
        }
    }
}

impl Writer {
    /// A writer that knows nothing of its shard yet.
    pub fn new(settings: Settings) -> Writer {
        Writer {
            settings,
            phase: Phase::Idle,
            known: None,
            waiting: VecDeque::new(),
            replies: VecDeque::new(),
            next_ticket: 0,
            not_before: Time::ZERO,
            asked: Time::ZERO,
            tick: None,
            seen: BTreeMap::new(),
        }
    }

    /// Hands over a change. Its verdict comes as a [`Task::Reply`].
    ///
    /// # Errors
    ///
    /// [`Error::Busy`] if too many changes wait; the change is then not kept.
    pub fn submit(&mut self, now: Time, change: Change) -> Result<Ticket, Error> {
        if self.waiting.len() >= self.settings.queue {
            return Err(Error::Busy);
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.waiting.push_back(Item { ticket, change, submitted: now });
        Ok(ticket)
    }

    /// The next thing to do at `now`, if any. To be called until it returns none.
    pub fn poll(&mut self, now: Time) -> Option<Task> {
        self.give_up(now);
        if let Some(reply) = self.replies.pop_front() {
            return Some(reply);
        }
        if !matches!(self.phase, Phase::Idle) {
            return None;
        }
        if self.waiting.is_empty() {
            self.forget(now);
            return None;
        }
        if now < self.not_before {
            return None;
        }
        let Some(known) = self.known.take() else {
            return Some(self.ask(now));
        };
        self.commit(now, known)
    }

    /// When [`Writer::poll`] is worth calling again without another event.
    pub fn wake(&self) -> Option<Time> {
        let Some(oldest) = self.waiting.iter().map(|item| item.submitted).min() else {
            return self.known.as_ref().map(|copy| copy.used + self.settings.keep);
        };
        let patience = oldest + self.settings.patience;
        match self.phase {
            Phase::Idle => Some(patience.min(self.not_before)),
            Phase::Reading | Phase::Writing { .. } => Some(patience),
        }
    }

    /// Takes the object as read, absent or present, or the failure to read it.
    pub fn read(&mut self, now: Time, result: Result<Option<(u64, Shard)>, Failure>) {
        self.phase = Phase::Idle;
        match result {
            Ok(object) => {
                let (version, shard) = object.unwrap_or_default();
                self.learn(now, version, shard);
            }
            Err(_) => self.not_before = now + self.settings.backoff,
        }
    }

    /// Takes the new version of the object, or the failure to write it.
    pub fn written(&mut self, now: Time, result: Result<u64, Failure>) {
        let Phase::Writing { shard, batch } = std::mem::replace(&mut self.phase, Phase::Idle)
        else {
            return;
        };
        match result {
            Ok(version) => {
                self.not_before = now + self.settings.pace;
                self.learn(now, version, shard);
                for (item, verdict) in batch {
                    self.reply(item.ticket, Ok(verdict));
                }
            }
            Err(failure) => {
                if failure != Failure::Conflict {
                    self.not_before = now + self.settings.backoff;
                }
                for (item, _) in batch.into_iter().rev() {
                    self.waiting.push_front(item);
                }
            }
        }
    }

    /// Applies every waiting change to the known shard and asks for one write of them all.
    fn commit(&mut self, now: Time, known: Copy) -> Option<Task> {
        let mut shard = known.shard.clone();
        if self.tick.is_some_and(|(_, since)| now.since(since) >= TICK) {
            shard.advance();
        }
        let items: Vec<Item> = self.waiting.drain(..).collect();
        let mut batch = Vec::with_capacity(items.len());
        for item in items {
            let observed = |nonce| self.seen.get(&nonce).map_or(Duration::ZERO, |it| now - *it);
            let verdict = shard.apply(&item.change, observed);
            batch.push((item, verdict));
        }
        if shard == known.shard {
            // Without a write nothing proves that the copy is not older than the change.
            if batch.iter().any(|(item, _)| item.submitted > known.asked) {
                self.waiting = batch.into_iter().map(|(item, _)| item).collect();
                return Some(self.ask(now));
            }
            self.known = Some(Copy { used: now, ..known });
            for (item, verdict) in batch {
                self.reply(item.ticket, Ok(verdict));
            }
            return self.replies.pop_front();
        }
        self.asked = now;
        self.phase = Phase::Writing { shard: shard.clone(), batch };
        Some(Task::Write { version: known.version, shard })
    }

    fn ask(&mut self, now: Time) -> Task {
        self.asked = now;
        self.phase = Phase::Reading;
        Task::Read
    }

    /// Keeps the shard as it stands in the store and notes what is new in it.
    fn learn(&mut self, now: Time, version: u64, shard: Shard) {
        if self.tick.is_none_or(|(tick, _)| tick != shard.tick) {
            self.tick = Some((shard.tick, now));
        }
        let open = |record: &&Record| record.state == State::Claimed;
        let nonces = shard.records.values().filter(open).map(|record| record.nonce);
        let seen = nonces.map(|it| (it, self.seen.get(&it).copied().unwrap_or(now))).collect();
        self.seen = seen;
        self.known = Some(Copy { version, shard, asked: self.asked, used: now });
    }

    fn give_up(&mut self, now: Time) {
        let patience = self.settings.patience;
        while let Some(item) = self.waiting.pop_front_if(|item| now - item.submitted >= patience) {
            self.reply(item.ticket, Err(Error::Store));
        }
    }

    fn forget(&mut self, now: Time) {
        let keep = self.settings.keep;
        self.known = self.known.take().filter(|copy| now.since(copy.used) < keep);
    }

    fn reply(&mut self, ticket: Ticket, result: Result<Verdict, Error>) {
        self.replies.push_back(Task::Reply { ticket, result });
    }
}
