//! The messages between entries, one per datagram.
//!
//! They are MessagePack. Structs are written as arrays, so the order of the fields is part of the
//! format; variants are written by name.

use std::collections::HashMap;
use std::fmt;

use decision::gateway::balance::{Load, Partition};
use decision::gateway::demand::Demands;
use decision::gateway::quarantine::Evidence;
use serde::de::{Error, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Version of the format. Messages of other versions are dropped.
pub(super) const VERSION: u8 = 3;

/// Most loads in one message. Further ones go into further partitions.
pub(super) const MAX_LOADS_PER_MESSAGE: usize = 128;

/// Most entries of a failure domain that its hub names to the others of it, besides owners. The
/// rest are only counted, so that a hub's traffic grows with the number of entries, not with its
/// square.
pub(super) const MAX_NAMED_PER_DOMAIN: usize = 12;

/// Most entries that are named in one message. Further ones go into further messages.
pub(super) const MAX_NAMED_PER_MESSAGE: usize = 20;

/// Most parts of prompts in one message. Further ones go into further messages.
pub(super) const MAX_PARTS_PER_MESSAGE: usize = 60;

/// Size of one load, in bytes.
const LOAD_BYTES: usize = 10;

/// Prefill tokens per unit of the format.
const PREFILL_UNIT_TOKENS: u32 = 16;

/// Milliseconds of quiet time per unit of the format.
const QUIET_UNIT_MS: u32 = 10;

/// A message. Its variants have the names of the format.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum Message {
    /// An entry's own state.
    Word(Heartbeat),
    /// The totals of a failure domain, from its hub to the other hubs.
    Sum(DomainTotal),
    /// The totals of all other entries, from a hub to one that subscribed to it.
    Rest(OthersTotal),
    /// The living entries, from a hub to those that subscribed to it.
    Roll(Membership),
    /// Crashes of targets, and the parts of prompts that may have caused them.
    Crashes(Evidence),
}

/// An entry's own state, sent in each round.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Heartbeat {
    #[serde(rename = "who")]
    pub(super) status: Status,
    pub(super) failure_domain: String,
    /// Whether the sender subscribes to the receiver as its hub.
    #[serde(rename = "asks")]
    pub(super) is_subscribing: bool,
    #[serde(rename = "news")]
    pub(super) cluster: ClusterState,
    /// Demand at the sender, by model.
    pub(super) demands: Demands,
    pub(super) loads: Loads,
}

/// The totals of a failure domain, from its hub to the other hubs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct DomainTotal {
    pub(super) from: String,
    pub(super) failure_domain: String,
    /// Living entries of the failure domain, the hub included.
    pub(super) alive: u32,
    /// The entries among them that would take over the replicas first, and the hub.
    #[serde(rename = "first")]
    pub(super) candidates: Vec<Status>,
    #[serde(rename = "news")]
    pub(super) cluster: ClusterState,
    /// Demand in the failure domain, by model.
    pub(super) demands: Demands,
    pub(super) loads: Loads,
}

/// The totals of all entries but the receiver.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct OthersTotal {
    pub(super) from: String,
    #[serde(rename = "news")]
    pub(super) cluster: ClusterState,
    /// Demand at all other entries, by model.
    pub(super) demands: Demands,
    pub(super) loads: Loads,
}

/// The living entries, in one or more messages.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Membership {
    pub(super) from: String,
    /// Entries of the hub's failure domain: the first by rank, and owners.
    #[serde(rename = "near")]
    pub(super) domain: Vec<Status>,
    /// Living entries of the hub's failure domain, without the hub.
    #[serde(rename = "near_alive")]
    pub(super) domain_alive: u32,
    /// Living entries of the other failure domains.
    #[serde(rename = "far_alive")]
    pub(super) others_alive: u32,
    /// The entries among those that would take over the replicas first, and the hubs, each with its
    /// failure domain.
    #[serde(rename = "far")]
    pub(super) others: Vec<(String, Status)>,
}

/// What other entries need to know about one entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Status {
    pub(super) name: String,
    /// Identifies this start of its process.
    #[serde(rename = "life")]
    pub(super) incarnation: u64,
    pub(super) millicores: u32,
    /// The fencing token under which it owns the replicas, if it does.
    #[serde(rename = "owner")]
    pub(super) owner_fence: Option<u64>,
    /// Whether it reaches the store.
    #[serde(rename = "store")]
    pub(super) has_store: bool,
    /// Whether it has watched the instances for long enough to know those that left the list.
    #[serde(rename = "seasoned")]
    pub(super) has_history: bool,
    /// Whether its process is stopping.
    #[serde(rename = "leaving")]
    pub(super) is_leaving: bool,
}

/// State that every entry passes on, so that it reaches the whole cluster.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ClusterState {
    /// The highest fencing token under which an entry owns the replicas.
    #[serde(rename = "owner")]
    pub(super) owner_fence: Option<u64>,
    /// Whether a caller's request was seen at any entry.
    #[serde(rename = "seen")]
    pub(super) has_seen_request: bool,
    /// Suspect targets, by tag.
    pub(super) suspects: Vec<u32>,
    /// Instances that announced that they leave, each with the start that announced it.
    pub(super) leaving: Vec<(String, u64)>,
}

/// Requests in progress, by the tag of the target. Packed as bytes of fixed size per load.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Loads {
    pub(super) partition: Partition,
    pub(super) items: Vec<(u32, Load)>,
}

impl Loads {
    /// Splits `loads` into as many partitions as the bound of a message requires.
    pub(super) fn partitions(loads: &HashMap<u32, Load>) -> Vec<Loads> {
        // Tags are hashes, so the partitions are about equally large. A quarter of the room is left for
        // the difference.
        let count = match loads.len() <= MAX_LOADS_PER_MESSAGE {
            true => 1,
            false => loads.len().div_ceil(MAX_LOADS_PER_MESSAGE * 3 / 4),
        };
        let count = u8::try_from(count).unwrap_or(u8::MAX);
        let loads_of = |index| {
            let partition = Partition { index, count };
            let items = loads.iter().filter(|(tag, _)| partition.contains(**tag));
            Loads { partition, items: items.map(|(tag, load)| (*tag, *load)).collect() }
        };
        (0..count).map(loads_of).collect()
    }
}

impl Serialize for Loads {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut bytes = Vec::with_capacity(2 + self.items.len() * LOAD_BYTES);
        bytes.extend([self.partition.index, self.partition.count]);
        for (tag, load) in &self.items {
            let running = u16::try_from(load.running).unwrap_or(u16::MAX);
            let prefill =
                u16::try_from(load.prefill.div_ceil(PREFILL_UNIT_TOKENS)).unwrap_or(u16::MAX);
            let quiet = u8::try_from(load.quiet_ms / QUIET_UNIT_MS).unwrap_or(u8::MAX);
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
        deserializer.deserialize_bytes(LoadsVisitor)
    }
}

struct LoadsVisitor;

impl Visitor<'_> for LoadsVisitor {
    type Value = Loads;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "the index and count of a partition, and loads of {LOAD_BYTES} bytes each"
        )
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Loads, E> {
        let invalid_length = || E::invalid_length(bytes.len(), &self);
        let (&[index, count], items) = bytes.split_first_chunk().ok_or_else(invalid_length)?;
        let (items, rest) = items.as_chunks::<LOAD_BYTES>();
        if index >= count || !rest.is_empty() {
            return Err(invalid_length());
        }
        let load = |&[
            tag_0,
            tag_1,
            tag_2,
            tag_3,
            running_low,
            running_high,
            prefill_low,
            prefill_high,
            quiet,
            slowness,
        ]: &[u8; LOAD_BYTES]| {
            let load = Load {
                running: u32::from(u16::from_le_bytes([running_low, running_high])),
                prefill: u32::from(u16::from_le_bytes([prefill_low, prefill_high]))
                    * PREFILL_UNIT_TOKENS,
                quiet_ms: match quiet {
                    u8::MAX => u32::MAX,
                    quiet => u32::from(quiet) * QUIET_UNIT_MS,
                },
                slowness,
            };
            (u32::from_le_bytes([tag_0, tag_1, tag_2, tag_3]), load)
        };
        Ok(Loads { partition: Partition { index, count }, items: items.iter().map(load).collect() })
    }
}
