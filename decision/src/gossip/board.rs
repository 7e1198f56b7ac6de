//! Digests that other parts publish to all entries.
//!
//! Each topic and origin has one newest digest. An answer carries those that were carried least
//! often, so that its size stays the same however many there are. Each answer earns some bytes for
//! digests; while these don't suffice for the next one, answers carry none.

use std::collections::BTreeMap;

use super::message::{MAX_SECTION_BYTES, MAX_SECTIONS};
use super::{Blob, Section, millis_up};
use crate::freshness::before;
use crate::prelude::*;

/// Bytes that a section takes besides its body, at most.
const SECTION_OVERHEAD: usize = 24;

/// How often an entry passes one digest on.
const MAX_CARRIED: u32 = 12;

/// Most bytes that answers earn for later ones, enough for the largest digest.
const MAX_EARNED: usize = MAX_SECTION_BYTES + SECTION_OVERHEAD;

/// Most topics.
pub const MAX_TOPICS: u8 = 16;

/// Why a digest is not published.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The digest is too large.
    #[error("a digest of {0} bytes is larger than {MAX_SECTION_BYTES} bytes")]
    Large(usize),
    /// There is no such topic.
    #[error("topic {0} is not below {MAX_TOPICS}")]
    Topic(u8),
}

/// One digest as this entry holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Digest {
    /// Grows with each digest of this topic and origin.
    pub version: u64,
    /// The digest was published at this time or later.
    pub at: Time,
    /// What was published.
    pub body: Vec<u8>,
    carried: u32,
    turn: u64,
}

/// The newest digest of each topic and origin.
#[derive(Clone, Debug, Default)]
pub struct Board {
    digests: BTreeMap<(u8, u16), Digest>,
    turn: u64,
    /// Bytes that answers earned and did not use.
    earned: usize,
}

impl Board {
    /// The newest digests of a topic, with their origins' positions.
    pub fn topic(&self, topic: u8) -> impl Iterator<Item = (u16, &Digest)> {
        let range = (topic, u16::MIN)..=(topic, u16::MAX);
        self.digests.range(range).map(|((_, origin), digest)| (*origin, digest))
    }

    pub(super) fn publish(
        &mut self,
        now: Time,
        topic: u8,
        origin: u16,
        body: Vec<u8>,
    ) -> Result<(), Error> {
        if topic >= MAX_TOPICS {
            return Err(Error::Topic(topic));
        }
        if body.len() > MAX_SECTION_BYTES {
            return Err(Error::Large(body.len()));
        }
        let old = self.digests.get(&(topic, origin));
        let (version, turn) = old.map_or((1, 0), |old| (old.version + 1, old.turn));
        self.digests.insert((topic, origin), Digest { version, at: now, body, carried: 0, turn });
        Ok(())
    }

    /// Earns `bytes` for the digests of this answer and the next ones.
    pub(super) fn earn(&mut self, bytes: usize) {
        self.earned = (self.earned + bytes).min(MAX_EARNED);
    }

    /// Picks the sections that an answer carries by what was earned, within `budget` bytes unless
    /// a single one is larger.
    ///
    /// Those that were carried least often go first, and of these the ones left out longest.
    pub(super) fn pick(&mut self, now: Time, budget: usize) -> Vec<Section> {
        self.turn += 1;
        let turn = self.turn;
        let mut order: Vec<(u32, u64, (u8, u16))> = self
            .digests
            .iter()
            .filter(|(_, digest)| digest.carried < MAX_CARRIED)
            .map(|(key, digest)| (digest.carried, digest.turn, *key))
            .collect();
        order.sort_unstable();
        let mut left = budget;
        let mut sections = Vec::new();
        for (_, _, key) in order {
            let Some(digest) = self.digests.get_mut(&key) else {
                continue;
            };
            let size = digest.body.len() + SECTION_OVERHEAD;
            let fits = size <= left || sections.is_empty();
            if sections.len() == MAX_SECTIONS || !fits || size > self.earned {
                break;
            }
            left = left.saturating_sub(size);
            self.earned -= size;
            digest.carried += 1;
            digest.turn = turn;
            sections.push(digest.section(key, now));
        }
        sections
    }

    /// Takes over newer digests, asked for at `sent`. Those of `own` are never taken from others.
    pub(super) fn take(
        &mut self,
        sent: Time,
        sections: &[Section],
        own: Option<u16>,
        members: usize,
    ) {
        for section in sections.iter().take(MAX_SECTIONS) {
            let valid = section.topic < MAX_TOPICS
                && usize::from(section.origin) < members
                && section.body.0.len() <= MAX_SECTION_BYTES
                && Some(section.origin) != own;
            let key = (section.topic, section.origin);
            let newer = self.digests.get(&key).is_none_or(|old| section.version > old.version);
            let age = Duration::from_millis(section.age_ms.into());
            if let (true, true, Some(at)) = (valid, newer, before(sent, age)) {
                let (version, body) = (section.version, section.body.0.clone());
                let turn = self.digests.get(&key).map_or(0, |old| old.turn);
                self.digests.insert(key, Digest { version, at, body, carried: 0, turn });
            }
        }
    }

    /// Renumbers the origins after a change of the roster and drops those that are gone.
    pub(super) fn renumber(&mut self, position: impl Fn(u16) -> Option<u16>) {
        let digests = std::mem::take(&mut self.digests);
        self.digests = digests
            .into_iter()
            .filter_map(|((topic, origin), digest)| Some(((topic, position(origin)?), digest)))
            .collect();
    }
}

impl Digest {
    fn section(&self, (topic, origin): (u8, u16), now: Time) -> Section {
        Section {
            topic,
            origin,
            version: self.version,
            age_ms: millis_up(now.since(self.at)),
            body: Blob(self.body.clone()),
        }
    }
}
