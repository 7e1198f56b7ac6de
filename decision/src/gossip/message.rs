//! The messages of the exchange.

use std::fmt;

use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::configuration::Delta;
use crate::evidence;
use crate::head::{Generation, Hash, Head, Incarnation};
use crate::roster::Joiner;

/// Most sections that one answer carries.
pub const MAX_SECTIONS: usize = 64;

/// Largest body of one section, in bytes.
pub const MAX_SECTION_BYTES: usize = 1_024;

/// Most bodies of declarations that one question may ask for.
pub const MAX_BODIES: usize = 64;

/// What one entry asks of another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ask {
    /// The regular exchange.
    Beat(Question),
    /// The head, if its generation is higher than the one named.
    Head(Generation),
    /// The bodies of declarations, by hash. At most [`MAX_BODIES`].
    Bodies(Vec<Hash>),
    /// To be listed with others in one change of the roster.
    Join(Joiner),
}

/// The answer to an [`Ask`] of the same name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The regular exchange.
    Beat(Reply),
    /// The head, or nothing if the peer holds no higher generation.
    Head(Option<Head>),
    /// What differs between the head that the asker holds and a newer one; also answers
    /// [`Ask::Head`].
    Delta(Delta),
    /// Those of the bodies that the peer has, as JSON.
    Bodies(Vec<Blob>),
    /// Whether the peer will list the asker, as far as it can.
    Join(bool),
}

/// The regular question. Its facts only ever grow, so that a late one does no harm.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// Identifies the roster that `sender` counts in.
    pub roster: u64,
    /// The asker's position in the roster, if it is listed there with its incarnation.
    pub sender: Option<u16>,
    /// The generation that the asker has applied.
    pub held: Generation,
    /// The highest generation that the asker knows of.
    pub known: Generation,
    /// The highest generation that the asker knows to be in force.
    pub in_force: Generation,
    /// Whether the asker could lately not read the ages of fabric domains and needs digests.
    pub wants_digests: bool,
}

/// The regular answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Identifies the roster that the positions in `ages` and `holds` count in.
    pub roster: u64,
    /// The answering process.
    pub incarnation: Incarnation,
    /// The generation that the peer has applied.
    pub held: Generation,
    /// The highest generation that the peer knows of.
    pub known: Generation,
    /// The highest generation that the peer knows to be in force.
    pub in_force: Generation,
    /// Milliseconds since the peer's confirmation, rounded up; nothing if it has none.
    pub age_ms: Option<u32>,
    /// The highest generation that `holds` counts down from.
    pub base: Generation,
    /// For each member, the age of the newest statement from it, in units of 16 ms; 255: none.
    pub ages: Blob,
    /// For each member, how far the generation it holds lies below `base`; 255: not known. Empty: 0.
    pub holds: Blob,
    /// Digests of other parts. At most [`MAX_SECTIONS`].
    pub sections: Vec<Section>,
    /// What the peer knows of the replicas of all fabric domains.
    pub view: evidence::View,
}

/// A digest that one entry publishes for another part of the system.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Section {
    /// Which part reads it.
    pub topic: u8,
    /// The publisher's position in the roster.
    pub origin: u16,
    /// Grows with each digest of this topic and origin; the newest one wins.
    pub version: u64,
    /// Milliseconds since the digest was published, rounded up.
    pub age_ms: u32,
    /// The digest. At most [`MAX_SECTION_BYTES`].
    pub body: Blob,
}

/// Bytes that are serialised as one string of bytes.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Blob(pub Vec<u8>);

impl fmt::Debug for Blob {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Blob({} bytes)", self.0.len())
    }
}

impl Serialize for Blob {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Blob {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Blob, D::Error> {
        deserializer.deserialize_byte_buf(BlobVisitor)
    }
}

struct BlobVisitor;

impl<'de> Visitor<'de> for BlobVisitor {
    type Value = Blob;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a string of bytes")
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Blob, E> {
        Ok(Blob(bytes.to_vec()))
    }

    fn visit_byte_buf<E: Error>(self, bytes: Vec<u8>) -> Result<Blob, E> {
        Ok(Blob(bytes))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Blob, A::Error> {
        let mut bytes = Vec::new();
        while let Some(byte) = seq.next_element()? {
            bytes.push(byte);
        }
        Ok(Blob(bytes))
    }
}
