//! The messages between entries, one per datagram.
//!
//! They are MessagePack. Structs are written as arrays, so the order of the fields is part of the
//! format; variants are written by name.

use std::collections::HashMap;
use std::fmt;

use decision::gateway::balance::{Load, Partition};
use decision::gateway::demand::Demands;
use serde::de::{Error, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Version of the format. Messages of other versions are dropped.
pub(super) const VERSION: u8 = 3;

/// Most loads in one message. Further ones go into further parts.
pub(super) const MAX_LOADS: usize = 128;

/// Most entries of a failure domain that its hub names to the others of it, besides owners. The
/// rest are only counted, so that a hub's traffic grows with the number of entries, not with its
/// square.
pub(super) const MAX_FIRST: usize = 12;

/// Most entries that are named in one message. Further ones go into further messages.
pub(super) const MAX_NAMED: usize = 20;

/// Size of one load, in bytes.
const LOAD: usize = 10;

/// Prefill tokens per unit of the format.
const TOKENS: u32 = 16;

/// Milliseconds of quiet time per unit of the format.
const QUIET_MS: u32 = 10;

/// A message.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum Message {
    /// An entry's own state.
    Word(Word),
    /// The totals of a failure domain, from its hub to the other hubs.
    Sum(Sum),
    /// The totals of all other entries, from a hub to one that subscribed to it.
    Rest(Rest),
    /// The living entries, from a hub to those that subscribed to it.
    Roll(Roll),
}

/// An entry's own state, sent in each round.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Word {
    pub(super) who: Who,
    pub(super) failure_domain: String,
    /// Whether the sender subscribes to the receiver as its hub.
    pub(super) asks: bool,
    pub(super) news: News,
    /// Demand at the sender, by model.
    pub(super) demands: Demands,
    pub(super) loads: Loads,
}

/// The totals of a failure domain, from its hub to the other hubs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Sum {
    pub(super) from: String,
    pub(super) failure_domain: String,
    /// Living entries of the failure domain, the hub included.
    pub(super) alive: u32,
    /// The entries among them that would take over the replicas first, and the hub.
    pub(super) first: Vec<Who>,
    pub(super) news: News,
    /// Demand in the failure domain, by model.
    pub(super) demands: Demands,
    pub(super) loads: Loads,
}

/// The totals of all entries but the receiver.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Rest {
    pub(super) from: String,
    pub(super) news: News,
    /// Demand at all other entries, by model.
    pub(super) demands: Demands,
    pub(super) loads: Loads,
}

/// The living entries, in one or more messages.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Roll {
    pub(super) from: String,
    /// Entries of the hub's failure domain: the first by rank, and owners.
    pub(super) near: Vec<Who>,
    /// Living entries of the hub's failure domain, without the hub.
    pub(super) near_alive: u32,
    /// Living entries of the other failure domains.
    pub(super) far_alive: u32,
    /// The entries among those that would take over the replicas first, and the hubs, each with its
    /// failure domain.
    pub(super) far: Vec<(String, Who)>,
}

/// What other entries need to know about one entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Who {
    pub(super) name: String,
    /// Identifies this start of its process.
    pub(super) life: u64,
    pub(super) millicores: u32,
    /// The fencing token under which it owns the replicas, if it does.
    pub(super) owner: Option<u64>,
    /// Whether it reaches the store.
    pub(super) store: bool,
    /// Whether it has watched the instances for long enough to know those that left the list.
    pub(super) seasoned: bool,
    /// Whether its process is stopping.
    pub(super) leaving: bool,
}

/// State that every entry passes on, so that it reaches the whole cluster.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct News {
    /// The highest fencing token under which an entry owns the replicas.
    pub(super) owner: Option<u64>,
    /// Whether a caller's request was seen at any entry.
    pub(super) seen: bool,
    /// Suspect targets, by tag.
    pub(super) suspects: Vec<u32>,
    /// Instances that announced that they leave, each with the start that announced it.
    pub(super) leaving: Vec<(String, u64)>,
}

/// Requests in progress, by the tag of the target. Packed as bytes of fixed size per load.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Loads {
    pub(super) part: Partition,
    pub(super) items: Vec<(u32, Load)>,
}

impl Loads {
    /// Splits `loads` into as many parts as the bound of a message requires.
    pub(super) fn parts(loads: &HashMap<u32, Load>) -> Vec<Loads> {
        // Tags are hashes, so the parts are about equally large. A quarter of the room is left for
        // the difference.
        let count = match loads.len() <= MAX_LOADS {
            true => 1,
            false => loads.len().div_ceil(MAX_LOADS * 3 / 4),
        };
        let count = u8::try_from(count).unwrap_or(u8::MAX);
        let part = |index| {
            let part = Partition { index, count };
            let items = loads.iter().filter(|(tag, _)| part.contains(**tag));
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
        Ok(Loads { part: Partition { index, count }, items: items.iter().map(load).collect() })
    }
}
