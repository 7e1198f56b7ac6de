//! Decides until when an entry may act on the generation that it holds.
//!
//! An entry keeps one number, `confirmed_at`: the latest local time at which it knows that no
//! generation higher than its own was confirmed by a majority of the entries. It is current for
//! [`Settings::window`] from then on. A generation is in force when a majority has confirmed it and
//! the window has passed since, so that whoever still holds an older one is no longer current.
//!
//! Evidence bears the time at which the question was sent, never the time of the answer.
//! `docs/decisions/0010-freshness.md` gives the proof and its assumptions.

mod tally;

use std::collections::VecDeque;

use crate::head::{Generation, Head, Incarnation};
use crate::prelude::*;
use crate::roster::View;

/// Most generations that wait to be in force at once.
const MAX_WAITING: usize = 64;

/// The spans of the rule. They must be the same for all entries.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long an entry acts on evidence.
    pub window: Duration,
    /// What the clocks of two processes may differ by within a window.
    pub margin: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { window: Duration::from_secs(3), margin: Duration::from_millis(300) }
    }
}

/// The newest statement from a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Statement {
    /// The process has applied at least this generation.
    pub held: Generation,
    /// At this time or later, it held no higher generation than `held`.
    pub at: Option<Time>,
}

/// The entry is not current, so that it takes no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("this entry is not current: its newest confirmation of generation {held} is too old")]
pub struct Stale {
    /// The generation that the entry holds.
    pub held: Generation,
}

/// The right to begin one piece of new work until a deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// The generation that the work was decided by.
    pub generation: Generation,
    /// The work may begin before this time.
    pub deadline: Time,
}

impl Permit {
    /// Checks the deadline. This must be the last step before bytes leave.
    ///
    /// # Errors
    ///
    /// Returns [`Stale`] from the deadline on.
    pub fn check(self, now: Time) -> Result<(), Stale> {
        if now < self.deadline { Ok(()) } else { Err(Stale { held: self.generation }) }
    }
}

/// What one process knows of the generation that it holds.
#[derive(Clone, Debug)]
pub struct State {
    settings: Settings,
    incarnation: Incarnation,
    held: Generation,
    known: Generation,
    in_force: Generation,
    view: View,
    statements: Vec<Statement>,
    confirmed_at: Option<Time>,
    waiting: VecDeque<(Generation, Time)>,
    retired: bool,
}

impl State {
    /// A process that holds the empty head of generation 0 and has no evidence.
    pub fn new(settings: Settings, incarnation: Incarnation) -> State {
        State {
            settings,
            incarnation,
            held: Generation::default(),
            known: Generation::default(),
            in_force: Generation::default(),
            view: View::default(),
            statements: Vec::new(),
            confirmed_at: None,
            waiting: VecDeque::new(),
            retired: false,
        }
    }

    /// Records that `head` has been applied. Returns whether it is newer than the one held.
    ///
    /// What is known of processes that both rosters list is kept.
    pub fn apply(&mut self, head: &Head) -> bool {
        if head.generation <= self.held {
            return false;
        }
        let view = View::new(head);
        let mut statements = vec![Statement::default(); view.len()];
        for (position, statement) in (0_u16..).zip(&self.statements) {
            if let Some(there) = self.view.translate(position, &view) {
                statements[usize::from(there)] = *statement;
            }
        }
        self.view = view;
        self.statements = statements;
        self.held = head.generation;
        self.known = self.known.max(self.held);
        true
    }

    /// A store read that was sent at `sent` found the head at `generation`.
    pub fn read(&mut self, sent: Time, generation: Generation) {
        self.known = self.known.max(generation);
        if generation <= self.held {
            self.confirm(sent);
        }
    }

    /// A peer that holds `held` stated the age of its own confirmation, asked at `sent`.
    pub fn vouched(&mut self, sent: Time, held: Generation, age: Duration) {
        self.known = self.known.max(held);
        if held <= self.held
            && let Some(at) = before(sent, age)
        {
            self.confirm(at);
        }
    }

    /// The process listed at `position` held `held` at `at` or later.
    pub fn heard(&mut self, position: u16, held: Generation, at: Option<Time>) {
        if Some(position) == self.position() {
            return;
        }
        if let Some(statement) = self.statements.get_mut(usize::from(position)) {
            statement.held = statement.held.max(held);
            statement.at = statement.at.max(at);
        }
    }

    /// Notes a generation that exists and one that is in force.
    pub fn told(&mut self, known: Generation, in_force: Generation) {
        self.known = self.known.max(known);
        self.in_force = self.in_force.max(in_force);
    }

    /// Draws the conclusions from what was heard. To be called after each exchange.
    pub fn settle(&mut self, now: Time) {
        if let Some(at) = self.majority_at(now) {
            self.confirm(at);
        }
        let confirmed = self.majority_holds();
        let newest = self.waiting.back().map_or(self.in_force, |(generation, _)| *generation);
        if confirmed > newest.max(self.in_force) {
            if self.waiting.len() == MAX_WAITING {
                self.waiting.pop_back();
            }
            self.waiting.push_back((confirmed, now));
        }
        let wait = self.settings.window + self.settings.margin;
        while let Some(&(generation, since)) = self.waiting.front()
            && now >= since + wait
        {
            self.in_force = self.in_force.max(generation);
            self.waiting.pop_front();
        }
    }

    /// Ends all work by this state for good. To be called before the peers' address is released.
    pub fn retire(&mut self) {
        self.retired = true;
        self.confirmed_at = None;
    }

    /// The time before which new work may begin; the start of the process if there is none.
    pub fn deadline(&self) -> Time {
        match self.confirmed_at {
            Some(at) if !self.retired => at + self.settings.window,
            _ => Time::ZERO,
        }
    }

    /// Whether new work may begin.
    pub fn is_current(&self, now: Time) -> bool {
        now < self.deadline()
    }

    /// The right to begin one piece of new work.
    ///
    /// # Errors
    ///
    /// Returns [`Stale`] if the entry is not current.
    pub fn permit(&self, now: Time) -> Result<Permit, Stale> {
        let permit = Permit { generation: self.held, deadline: self.deadline() };
        permit.check(now).map(|()| permit)
    }

    /// The time since the last confirmation.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.confirmed_at.filter(|_| !self.retired).map(|at| now.since(at))
    }

    /// The generation that this process has applied.
    pub fn held(&self) -> Generation {
        self.held
    }

    /// The highest generation known to exist.
    pub fn known(&self) -> Generation {
        self.known
    }

    /// The highest generation known to be in force.
    pub fn in_force(&self) -> Generation {
        self.in_force
    }

    /// The roster of the generation held.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The newest statements, by position.
    pub fn statements(&self) -> &[Statement] {
        &self.statements
    }

    /// This process.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// This process's position, if the roster held lists its incarnation.
    pub fn position(&self) -> Option<u16> {
        self.view.position(self.incarnation).filter(|_| !self.retired)
    }

    /// The spans of the rule.
    pub fn settings(&self) -> Settings {
        self.settings
    }

    fn confirm(&mut self, at: Time) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }
}

/// The time `age` before `sent`, or nothing if that was before the process started.
pub(crate) fn before(sent: Time, age: Duration) -> Option<Time> {
    (age <= sent.since(Time::ZERO)).then(|| sent.back(age))
}
