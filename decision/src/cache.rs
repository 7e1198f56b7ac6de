//! Which targets to ask for their cache events, when, and what their answers change.
//!
//! The events are hints: a wrong one costs a prefill, never an answer. So a target that does not
//! answer is asked ever less often, and whatever is in doubt is forgotten.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;

use crate::backoff::Backoff;
use crate::prefix;
use crate::prelude::*;
use crate::target::Process;

/// Bounds of asking for cache events.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Shortest time between two questions to one target.
    pub interval: Duration,
    /// Shortest time between two questions of this entry.
    pub spacing: Duration,
    /// Questions without an answer at one time.
    pub open: usize,
    /// Time after which a question without an answer counts as lost.
    pub timeout: Duration,
    /// Waits after failures in a row.
    pub backoff: Backoff,
    /// Spreads the questions of different entries.
    pub seed: u64,
}

/// A target whose cache events are wanted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source {
    /// The service.
    pub service: Name,
    /// The target.
    pub target: Name,
    /// Its instance of rank 0.
    pub address: SocketAddr,
    /// The process behind the address.
    pub process: Process,
}

/// A question to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Question {
    /// The target to ask.
    pub source: Source,
    /// The number of the last event known.
    pub after: u64,
}

/// What a target answers.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Answer {
    /// The number to ask with next.
    pub next: u64,
    /// Whether events up to `next` are missing.
    pub gap: bool,
    /// The events, in order.
    pub events: Vec<Event>,
}

/// One event of a target's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct Event {
    /// Its number. Grows by one with each event of a process.
    pub seq: u64,
    /// What became of the block.
    pub op: Op,
    /// The block, as [`prefix::blocks`] gives it.
    pub block: u64,
}

/// What became of a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Op {
    /// It is cached.
    Add,
    /// It is no longer cached.
    Drop,
}

/// An answer whose numbers contradict each other or the question.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the numbers of the cache events are out of order")]
pub struct Garbled;

/// Asks the targets of one entry in turn.
#[derive(Clone, Debug)]
pub struct Poller {
    settings: Settings,
    cursors: BTreeMap<(Name, Name), Cursor>,
    next: Time,
}

#[derive(Clone, Debug)]
struct Cursor {
    source: Source,
    after: u64,
    due: Time,
    asked: Option<Time>,
    failures: u32,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            interval: Duration::from_secs(1),
            spacing: Duration::from_millis(125),
            open: 8,
            timeout: Duration::from_secs(1),
            backoff: Backoff { first: Duration::from_secs(2), limit: Duration::from_secs(60) },
            seed: 0,
        }
    }
}

impl Poller {
    /// A poller without targets.
    pub fn new(settings: Settings) -> Poller {
        Poller { settings, cursors: BTreeMap::new(), next: Time::ZERO }
    }

    /// Sets the targets to ask. A target with a new process or address is asked from its start.
    pub fn watch(&mut self, now: Time, sources: impl IntoIterator<Item = Source>) {
        let mut before = std::mem::take(&mut self.cursors);
        for source in sources {
            let key = (source.service.clone(), source.target.clone());
            let known = before.remove(&key).filter(|it| it.source == source);
            let fresh = Cursor { source, after: 0, due: now, asked: None, failures: 0 };
            self.cursors.insert(key, known.unwrap_or(fresh));
        }
    }

    /// The question to send now, if one is due: the one that has waited longest.
    pub fn due(&mut self, now: Time) -> Option<Question> {
        let timeout = self.settings.timeout;
        for cursor in self.cursors.values_mut() {
            if cursor.asked.is_some_and(|at| at + timeout <= now) {
                cursor.fail(now, &self.settings);
            }
        }
        let open = self.cursors.values().filter(|it| it.asked.is_some()).count();
        if now < self.next || open >= self.settings.open {
            return None;
        }
        let idle = self.cursors.values_mut().filter(|it| it.asked.is_none() && it.due <= now);
        let cursor = idle.min_by_key(|it| it.due)?;
        cursor.asked = Some(now);
        self.next = now + self.settings.spacing;
        Some(Question { source: cursor.source.clone(), after: cursor.after })
    }

    /// Takes in an answer. Returns the changes of the index.
    ///
    /// # Errors
    ///
    /// A garbled answer counts as a failure; what was known of the cache is forgotten.
    pub fn answered(
        &mut self,
        now: Time,
        question: &Question,
        answer: &Answer,
    ) -> Result<Vec<prefix::Event>, Garbled> {
        let settings = self.settings;
        let Some(cursor) = self.cursor(question) else { return Ok(Vec::new()) };
        if !answer.is_sound(question.after) {
            cursor.after = 0;
            cursor.fail(now, &settings);
            return Err(Garbled);
        }
        let restarted = answer.next < question.after;
        cursor.after = if restarted { 0 } else { answer.next };
        cursor.rest(now, settings.interval, &settings);
        cursor.failures = 0;
        let gap = (answer.gap || restarted).then_some(prefix::Event::Gap);
        let events = answer.events.iter().map(|it| match it.op {
            Op::Add => prefix::Event::Add(it.block),
            Op::Drop => prefix::Event::Drop(it.block),
        });
        Ok(gap.into_iter().chain(events).collect())
    }

    /// Takes in that a question failed.
    pub fn failed(&mut self, now: Time, question: &Question) {
        let settings = self.settings;
        if let Some(cursor) = self.cursor(question) {
            cursor.fail(now, &settings);
        }
    }

    /// The cursor that waits for the answer to `question`.
    fn cursor(&mut self, question: &Question) -> Option<&mut Cursor> {
        let key = (question.source.service.clone(), question.source.target.clone());
        let cursor = self.cursors.get_mut(&key)?;
        let open = cursor.asked.is_some() && cursor.after == question.after;
        (open && cursor.source == question.source).then_some(cursor)
    }
}

impl Cursor {
    fn fail(&mut self, now: Time, settings: &Settings) {
        self.failures = self.failures.saturating_add(1);
        self.rest(now, settings.backoff.longest(self.failures), settings);
    }

    /// Waits at least `span` and up to a quarter longer.
    fn rest(&mut self, now: Time, span: Duration, settings: &Settings) {
        let draw = Backoff { first: span / 2, limit: span / 2 };
        let jitter = draw.delay(1, settings.seed ^ now.as_micros()) - span / 4;
        self.due = now + span + jitter;
        self.asked = None;
    }
}

impl Answer {
    /// Whether the numbers grow from `after` to `next`.
    fn is_sound(&self, after: u64) -> bool {
        let numbers = self.events.iter().map(|it| it.seq);
        let grow = numbers.clone().zip(numbers.clone().skip(1)).all(|(one, two)| one < two);
        let within = numbers.into_iter().all(|it| after < it && it <= self.next);
        grow && within
    }
}
