//! What entries say to each other, in one datagram each.

use std::collections::HashMap;
use std::fmt;

use decision::gateway::balance::{Load, Part};
use decision::gateway::demand::Demands;
use serde::de::{Error, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Version of the messages. Those of another one are not understood.
pub(super) const VERSION: u8 = 3;

/// Loads in one message. More of them come in parts.
pub(super) const MAX_LOADS: usize = 128;

/// Entries of one failure domain that are named to the others of it, besides owners. The rest of
/// them is counted, so that what a hub tells of them grows with their number, and not with its
/// square.
pub(super) const MAX_FIRST: usize = 12;

/// Entries that are named in one message. More of them come in several.
pub(super) const MAX_NAMED: usize = 20;

/// Bytes of one load.
const LOAD: usize = 10;

/// Tokens that are counted as one.
const TOKENS: u32 = 16;

/// Milliseconds that are counted as one.
const QUIET_MS: u32 = 10;

/// A message.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum Message {
    /// What an entry tells of itself.
    Word(Word),
    /// What a hub tells of its failure domain.
    Sum(Sum),
    /// What all others have in progress, by a hub.
    Rest(Rest),
    /// Who lives, by a hub.
    Roll(Roll),
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Word {
    pub(super) who: Who,
    pub(super) failure_domain: String,
    /// Whether the sender wants to be told what the others have in progress.
    pub(super) asks: bool,
    pub(super) news: News,
    /// What is asked for at the sender.
    pub(super) demands: Demands,
    pub(super) loads: Loads,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Sum {
    pub(super) from: String,
    pub(super) failure_domain: String,
    /// Entries of the failure domain that live.
    pub(super) alive: u32,
    /// The first of them to own the replicas.
    pub(super) first: Vec<Who>,
    pub(super) news: News,
    /// What is asked for in the failure domain.
    pub(super) demands: Demands,
    pub(super) loads: Loads,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Rest {
    pub(super) from: String,
    pub(super) news: News,
    /// What is asked for at all others.
    pub(super) demands: Demands,
    pub(super) loads: Loads,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Roll {
    pub(super) from: String,
    /// The entries of the hub's failure domain that come first, or that own the replicas.
    pub(super) near: Vec<Who>,
    /// How many of the hub's failure domain live beside the hub.
    pub(super) near_alive: u32,
    /// How many live in the other ones.
    pub(super) far_alive: u32,
    /// The first of those to own the replicas, each with its failure domain.
    pub(super) far: Vec<(String, Who)>,
}

/// An entry as others need to know it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Who {
    pub(super) name: String,
    /// Identifies this start of it.
    pub(super) life: u64,
    pub(super) millicores: u32,
    /// The fencing token under which it gives orders, if it does.
    pub(super) owner: Option<u64>,
    pub(super) store: bool,
    pub(super) seasoned: bool,
    pub(super) leaving: bool,
}

/// What spreads from one to all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct News {
    /// The highest fencing token under which someone gives orders.
    pub(super) owner: Option<u64>,
    /// Whether a caller's request was seen.
    pub(super) seen: bool,
    /// Suspect targets, by tag.
    pub(super) suspects: Vec<u32>,
    /// Instances that said they leave, each with the start that said so.
    pub(super) leaving: Vec<(String, u64)>,
}

/// What is in progress, by the tag of the target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Loads {
    pub(super) part: Part,
    pub(super) items: Vec<(u32, Load)>,
}

impl Loads {
    /// All `loads`, in as many parts as it takes.
    pub(super) fn parts(loads: &HashMap<u32, Load>) -> Vec<Loads> {
        // Tags fall into parts by chance, so that none is much larger than the others.
        let count = match loads.len() <= MAX_LOADS {
            true => 1,
            false => loads.len().div_ceil(MAX_LOADS * 3 / 4),
        };
        let count = u8::try_from(count).unwrap_or(u8::MAX);
        let part = |index| {
            let part = Part { index, count };
            let items = loads.iter().filter(|(tag, _)| part.holds(**tag));
            Loads { part, items: items.map(|(tag, load)| (*tag, *load)).collect() }
        };
        (0..count).map(part).collect()
    }
}

impl Serialize for Loads {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut bytes = Vec::with_capacity(2 + self.items.len() * LOAD);
        bytes.extend([self.part.index, self.part.count]);
        for (tag, load) in &self.items {
            let running = u16::try_from(load.running).unwrap_or(u16::MAX);
            let prefill = u16::try_from(load.prefill.div_ceil(TOKENS)).unwrap_or(u16::MAX);
            let quiet = u8::try_from(load.quiet_ms / QUIET_MS).unwrap_or(u8::MAX);
            bytes.extend(tag.to_le_bytes());
            bytes.extend(running.to_le_bytes());
            bytes.extend(prefill.to_le_bytes());
            bytes.extend([quiet, load.slowness]);
        }
        serializer.serialize_bytes(&bytes)
    }
}

impl<'de> Deserialize<'de> for Loads {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Loads, D::Error> {
        deserializer.deserialize_bytes(Bytes)
    }
}

struct Bytes;

impl Visitor<'_> for Bytes {
    type Value = Loads;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "a part and loads of {LOAD} bytes each")
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Loads, E> {
        let wrong = || E::invalid_length(bytes.len(), &self);
        let (&[index, count], items) = bytes.split_first_chunk().ok_or_else(wrong)?;
        let (items, rest) = items.as_chunks::<LOAD>();
        if index >= count || !rest.is_empty() {
            return Err(wrong());
        }
        let load = |&[a, b, c, d, running, more, prefill, above, quiet, slowness]: &[u8; LOAD]| {
            let load = Load {
                running: u32::from(u16::from_le_bytes([running, more])),
                prefill: u32::from(u16::from_le_bytes([prefill, above])) * TOKENS,
                quiet_ms: match quiet {
                    u8::MAX => u32::MAX,
                    quiet => u32::from(quiet) * QUIET_MS,
                },
                slowness,
            };
            (u32::from_le_bytes([a, b, c, d]), load)
        };
        Ok(Loads { part: Part { index, count }, items: items.iter().map(load).collect() })
    }
}
