//! Verdicts on replicas, and how they travel between entries.

use serde::{Deserialize, Serialize};

use crate::fabric::Layout;
use crate::prelude::*;
use crate::target::Temperature;

/// What is known of one replica at one time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No evidence.
    Unknown,
    /// Every member was seen in place at `at` or later.
    Whole {
        /// A time at or before the oldest observation used.
        at: Time,
        /// Whether it bears its full load.
        temperature: Temperature,
    },
    /// A member was seen out of place at `at` or later.
    Broken {
        /// A time at or before the observation.
        at: Time,
    },
}

/// What an entry knows of one fabric domain, merged over all probers: one byte per replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The fabric domain.
    pub fabric: Name,
    /// The layout that the verdicts are about.
    pub layout: Layout,
    /// Instances of the fabric domain that answer and stay.
    pub alive: u16,
    /// The age of that count in units of 16 ms, rounded up; 255: none.
    pub age: u8,
    /// A verdict per replica of the layout, in order of their names.
    #[serde(with = "bytes")]
    pub verdicts: Vec<u8>,
}

/// The unit of a verdict's age. The largest age lies above the age limit with its slack.
const AGE_UNIT: Duration = Duration::from_millis(52);
const AGE_MAX: u8 = 0x3f;
const KIND_COLD: u8 = 0x40;
const KIND_WARM: u8 = 0x80;
const KIND_BROKEN: u8 = 0xc0;

/// Bytes that a digest takes besides its name and verdicts, at most.
const OVERHEAD: usize = 20;

impl Digest {
    /// Bytes that the digest takes in an answer, at most.
    pub fn size(&self) -> usize {
        OVERHEAD + self.fabric.as_str().len() + self.verdicts.len()
    }
}

impl Verdict {
    /// The verdict if evidence counts only up to `confirmed`.
    pub(crate) fn no_later_than(self, confirmed: Time) -> Verdict {
        match self {
            Verdict::Whole { at, temperature } => {
                Verdict::Whole { at: at.min(confirmed), temperature }
            }
            other => other,
        }
    }

    /// The verdict as one byte: its kind and its age at `now`. Ages are rounded up.
    pub fn encode(self, now: Time) -> u8 {
        let (kind, at) = match self {
            Verdict::Unknown => return 0,
            Verdict::Whole { at, temperature: Temperature::Cold } => (KIND_COLD, at),
            Verdict::Whole { at, temperature: Temperature::Warm } => (KIND_WARM, at),
            Verdict::Broken { at } => (KIND_BROKEN, at),
        };
        let units = now.since(at).as_millis().div_ceil(AGE_UNIT.as_millis());
        match u8::try_from(units) {
            Ok(units) if units <= AGE_MAX => kind | units,
            _ => 0,
        }
    }

    /// The verdict of a byte that another entry encoded at `sampled` or later on this clock.
    pub fn decode(byte: u8, sampled: Time) -> Verdict {
        let at = sampled.back(AGE_UNIT * u32::from(byte & AGE_MAX));
        match byte & !AGE_MAX {
            KIND_COLD => Verdict::Whole { at, temperature: Temperature::Cold },
            KIND_WARM => Verdict::Whole { at, temperature: Temperature::Warm },
            KIND_BROKEN => Verdict::Broken { at },
            _ => Verdict::Unknown,
        }
    }
}

mod bytes {
    //! Verdicts as a byte string rather than a list of numbers.

    use serde::de::{Deserializer, Error, SeqAccess, Visitor};
    use serde::ser::Serializer;
    use std::fmt;

    const MAX: usize = 4_096;

    struct Bytes;

    impl<'de> Visitor<'de> for Bytes {
        type Value = Vec<u8>;

        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            write!(f, "at most {MAX} bytes")
        }

        fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Vec<u8>, E> {
            match bytes.len() {
                0..=MAX => Ok(bytes.to_vec()),
                more => Err(E::invalid_length(more, &self)),
            }
        }

        fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Vec<u8>, A::Error> {
            let mut bytes = Vec::new();
            while let Some(byte) = seq.next_element()? {
                if bytes.len() == MAX {
                    return Err(A::Error::invalid_length(MAX + 1, &self));
                }
                bytes.push(byte);
            }
            Ok(bytes)
        }
    }

    pub(super) fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(bytes)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(de: D) -> Result<Vec<u8>, D::Error> {
        de.deserialize_bytes(Bytes)
    }
}
