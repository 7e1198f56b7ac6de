//! The exchange between entries: what it says, whom it asks and what is learned from it.
//!
//! Only the asker learns anything whose age matters. It knows when it sent its question, and
//! whatever the answer reports was true at that moment less the reported age, or later. Facts that
//! only grow, such as the generation a process holds, also travel with the question.

pub mod board;
pub mod message;
mod partner;
mod vector;

use std::net::SocketAddr;

use crate::evidence;
use crate::freshness::{self, State};
use crate::head::{Generation, Head, Incarnation, Member};
use crate::prelude::*;

use partner::Order;

pub use board::Board;
pub use message::{Answer, Ask, Blob, Question, Reply, Section};

/// The unit in which ages of statements travel.
pub const AGE_UNIT: Duration = Duration::from_millis(16);

/// How the exchange runs.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The time between two questions of one entry.
    pub interval: Duration,
    /// Silence after which a member is asked only now and then.
    pub silence: Duration,
    /// One question in this many goes to a silent member, if there is one.
    pub probe_every: u64,
    /// Bytes of digests that one answer carries, unless a single one is larger.
    pub section_bytes: usize,
    /// Bytes of ages, evidence and digests that an answer has on average.
    pub answer_bytes: usize,
    /// Bytes of digests that an answer has on average, however large the rest is.
    pub least_section_bytes: usize,
    /// The freshness rule's spans.
    pub freshness: freshness::Settings,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            interval: Duration::from_millis(250),
            silence: Duration::from_secs(4),
            probe_every: 8,
            section_bytes: 256,
            answer_bytes: 512,
            least_section_bytes: 32,
            freshness: freshness::Settings::default(),
        }
    }
}

/// The member to ask next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Partner {
    /// The process that the roster lists.
    pub incarnation: Incarnation,
    /// Where it listens.
    pub address: SocketAddr,
}

/// A generation to fetch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fetch {
    /// The highest generation known.
    pub generation: Generation,
    /// The peer that holds a newer generation; without one, the store is to be asked.
    pub source: Option<Partner>,
}

impl Partner {
    fn new(member: &Member) -> Partner {
        Partner { incarnation: member.incarnation, address: member.peer }
    }
}

/// One entry's part in the exchange.
#[derive(Clone, Debug)]
pub struct Node {
    settings: Settings,
    state: State,
    board: Board,
    order: Order,
    source: Option<Partner>,
    heard_at: Vec<Time>,
}

impl Node {
    /// A process that has just started. `seed` decides whom it asks.
    pub fn new(settings: Settings, incarnation: Incarnation, seed: u64) -> Node {
        Node {
            settings,
            state: State::new(settings.freshness, incarnation),
            board: Board::default(),
            order: Order::new(seed),
            source: None,
            heard_at: Vec::new(),
        }
    }

    /// What the freshness rule says.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// The digests of other parts.
    pub fn board(&self) -> &Board {
        &self.board
    }

    /// Records that `head` has been applied. Returns whether it is newer than the one held.
    pub fn apply(&mut self, now: Time, head: &Head) -> bool {
        let before = self.state.view().clone();
        if !self.state.apply(head) {
            return false;
        }
        self.source = None;
        let after = self.state.view();
        if before.fingerprint() != after.fingerprint() {
            let mut heard_at = vec![now; after.len()];
            for (position, heard) in (0_u16..).zip(&self.heard_at) {
                if let Some(there) = before.translate(position, after) {
                    heard_at[usize::from(there)] = *heard;
                }
            }
            self.heard_at = heard_at;
            self.order.renew(after);
            self.board.renumber(|origin| before.translate(origin, after));
        }
        true
    }

    /// A store read that was sent at `sent` found the head at `generation`.
    pub fn read(&mut self, sent: Time, generation: Generation) {
        self.state.read(sent, generation);
    }

    /// Publishes a digest for all entries. Does nothing while this process is not listed.
    ///
    /// # Errors
    ///
    /// Returns [`board::Error`] if the digest is too large.
    pub fn publish(&mut self, now: Time, topic: u8, body: Vec<u8>) -> Result<(), board::Error> {
        match self.state.position() {
            Some(origin) => self.board.publish(now, topic, origin, body),
            None => Ok(()),
        }
    }

    /// The question to ask now.
    pub fn question(&self) -> Question {
        Question {
            roster: self.state.view().fingerprint(),
            sender: self.state.position(),
            held: self.state.held(),
            known: self.state.known(),
            in_force: self.state.in_force(),
            wants_digests: false,
        }
    }

    /// Answers a question without evidence.
    pub fn reply(&mut self, now: Time, question: &Question) -> Reply {
        self.reply_with(now, question, evidence::View::default())
    }

    /// Answers a question and tells of the replicas by `view`.
    pub fn reply_with(&mut self, now: Time, question: &Question, view: evidence::View) -> Reply {
        self.state.told(question.known, question.in_force);
        let same = question.roster == self.state.view().fingerprint();
        if let (true, Some(sender)) = (same, question.sender) {
            self.state.heard(sender, question.held, None);
            self.state.settle(now);
            self.note_source(Some(sender), question.held);
        }
        let mut reply = Reply {
            roster: self.state.view().fingerprint(),
            incarnation: self.state.incarnation(),
            held: self.state.held(),
            known: self.state.known(),
            in_force: self.state.in_force(),
            age_ms: self.state.age(now).map(millis_up),
            view,
            ..Reply::default()
        };
        if same {
            vector::write(&self.state, now, &mut reply);
            let others = reply.ages.0.len() + reply.holds.0.len() + reply.view.size();
            let left = self.settings.answer_bytes.saturating_sub(others);
            self.board.earn(left.max(self.settings.least_section_bytes));
            reply.sections = self.board.pick(now, self.settings.section_bytes);
        }
        reply
    }

    /// Learns from the answer to a question that was sent at `sent`.
    ///
    /// Positions that the answer does not describe in this roster are left alone.
    pub fn learn(&mut self, now: Time, sent: Time, reply: &Reply) {
        self.state.told(reply.known, reply.in_force);
        let position = self.state.view().position(reply.incarnation);
        if let Some(position) = position {
            self.state.heard(position, reply.held, Some(sent));
        }
        self.note_source(position, reply.held);
        if let Some(age) = reply.age_ms {
            self.state.vouched(sent, reply.held, Duration::from_millis(age.into()));
        }
        if reply.roster == self.state.view().fingerprint() {
            vector::read(&mut self.state, sent, reply);
            self.board.take(sent, &reply.sections, self.state.position(), self.state.view().len());
        }
        self.note_heard();
        self.state.settle(now);
    }

    /// The fetch to make now, if a generation is known that is not held.
    pub fn wants(&self) -> Option<Fetch> {
        let generation = self.state.known();
        (generation > self.state.held()).then_some(Fetch { generation, source: self.source })
    }

    /// Ends this process's part for good, before the peers' address is released.
    pub fn retire(&mut self) {
        self.state.retire();
    }

    /// Members that have been silent for at least `span`, by position.
    ///
    /// A member not heard yet counts from the time at which this process listed it.
    pub fn silent(&self, now: Time, span: Duration) -> Vec<u16> {
        let own = self.state.position();
        (0_u16..)
            .zip(&self.heard_at)
            .filter(|(position, at)| Some(*position) != own && now.since(**at) >= span)
            .map(|(position, _)| position)
            .collect()
    }

    /// How long each member has been silent, by position. Zero for this process.
    pub fn silences(&self, now: Time) -> impl Iterator<Item = (u16, Duration)> {
        let own = self.state.position();
        (0_u16..).zip(&self.heard_at).map(move |(position, at)| {
            let silence = now.since(*at);
            (position, if Some(position) == own { Duration::ZERO } else { silence })
        })
    }

    fn note_source(&mut self, position: Option<u16>, held: Generation) {
        if held > self.state.held()
            && let Some((_, member)) = position.and_then(|it| self.state.view().member(it))
        {
            self.source = Some(Partner::new(member));
        }
    }

    fn note_heard(&mut self) {
        for (heard, statement) in self.heard_at.iter_mut().zip(self.state.statements()) {
            *heard = statement.at.map_or(*heard, |at| at.max(*heard));
        }
    }
}

pub(crate) fn millis_up(span: Duration) -> u32 {
    u32::try_from(span.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX)
}
