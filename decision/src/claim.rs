//! Claims of idempotency keys: at most one request runs for each key within the window.
//!
//! A claim is a record in the object of the key's shard. The store's conditional update decides
//! who made it; whoever finds another's record never runs the request. Records are told apart by
//! a nonce, so that a claimant recognises its own after an answer of the store was lost.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::head::Incarnation;
use crate::prelude::*;

/// Shards of the claims. Constant: with another count, keys would move and could run again.
pub const SHARDS: u32 = 64;

/// Periods that a record outlasts at least before it is dropped.
pub const WINDOW_TICKS: u32 = 24;

/// Shortest time between two ticks of a shard.
pub const TICK: Duration = Duration::from_secs(3_600);

/// How long after its start a claimant may dispatch what it claimed.
pub const DISPATCH_LEASE: Duration = Duration::from_secs(60);

/// How long a record is watched before its claimant counts as unable to dispatch any more.
pub const ABANDON_AFTER: Duration = Duration::from_secs(120);

/// Largest answer that is kept for repeats, in bytes of its JSON text.
pub const ANSWER_BYTES: usize = 1_024;

/// Bytes of JSON that a record takes besides its answer.
pub const RECORD_BYTES: usize = 256;

/// Bytes of JSON that the names of an answer's fields and its status take.
const ANSWER_FIELDS_BYTES: usize = 64;

/// Bytes of JSON that a shard may take, below the store's limit for a value.
pub const SHARD_BYTES: usize = 900_000;

/// Bytes of JSON above which a shard gives up the answers that it keeps.
const ANSWERS_DROPPED_AT: usize = SHARD_BYTES / 2;

/// The first 128 bits of a SHA-256 hash, in lower-case hexadecimal.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(String);

/// Identifies an idempotency key within its workspace and service.
pub type Key = Digest;

/// Everything that the claims of one shard of keys hold: the value of one object of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    /// Counts periods of at least [`TICK`]. Replaces a clock, which entries do not share.
    pub tick: u32,
    /// The records by key.
    pub records: BTreeMap<Key, Record>,
}

/// One claimed key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The digest of the request that claimed the key.
    pub request: Digest,
    /// The process that claimed it.
    pub owner: Incarnation,
    /// Drawn at random by the claimant.
    pub nonce: u64,
    /// The shard's tick when the record was made.
    pub tick: u32,
    /// What became of the request.
    #[serde(default, skip_serializing_if = "State::is_claimed")]
    pub state: State,
}

/// What became of a request whose key is claimed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Its claimant may dispatch it, has dispatched it, or is gone.
    #[default]
    Claimed,
    /// It ran.
    Done {
        /// Its answer, if it was kept.
        answer: Option<Answer>,
    },
}

/// An answer that is kept for repeats.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The body's type.
    pub content_type: Option<String>,
    /// The body.
    pub body: String,
}

/// A change of one record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The key.
    pub key: Key,
    /// The nonce of the claim.
    pub nonce: u64,
    /// What changes.
    pub action: Action,
}

/// What changes in a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Claims the key, if nobody has.
    Claim {
        /// The digest of the request.
        request: Digest,
        /// The claimant's process.
        owner: Incarnation,
    },
    /// Records that the request ran.
    Finish {
        /// The answer, if it is to be kept.
        answer: Option<Answer>,
    },
    /// Gives the key back. The claimant has not dispatched the request and never will.
    Release,
}

/// What a change came to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The claim stands: its claimant alone may dispatch, within [`DISPATCH_LEASE`].
    Granted,
    /// Another claim stands, and its request has no recorded end.
    Taken {
        /// The process that holds the claim.
        owner: Incarnation,
        /// How long the record has been known to stand.
        observed: Duration,
    },
    /// The request of an earlier claim ran.
    Done {
        /// Its answer, if it was kept.
        answer: Option<Answer>,
    },
    /// The key was claimed for another request.
    Reused,
    /// The shard bears no more records.
    Full,
    /// A finished or released claim is on record.
    Stored,
    /// The claim to be finished is no longer on record.
    Gone,
}

/// What a repeat of a claimed request is told while no end is on record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// The claimant lives, or may still dispatch.
    InProgress,
    /// The claimant is gone and dispatches nothing any more. Whether the request ran is unknown.
    Abandoned,
}

/// The permission to dispatch what was claimed. Ends by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    until: Time,
}

impl Digest {
    /// The digest of `parts`, which are kept apart by their lengths.
    pub fn of(parts: &[&[u8]]) -> Digest {
        let mut hash = Sha256::new();
        for part in parts {
            hash.update(part.len().to_le_bytes());
            hash.update(part);
        }
        let bytes = hash.finalize();
        Digest(bytes.iter().take(16).map(|byte| format!("{byte:02x}")).collect())
    }

    /// The digest of an idempotency key in the scope of its workspace and service.
    pub fn of_key(workspace: &Name, service: &Name, key: &str) -> Key {
        Digest::of(&[workspace.as_str().as_bytes(), service.as_str().as_bytes(), key.as_bytes()])
    }

    /// The shard that holds the key.
    pub fn shard(&self) -> u32 {
        let head = self.0.get(..8).and_then(|it| u32::from_str_radix(it, 16).ok());
        head.unwrap_or(0) % SHARDS
    }
}

impl State {
    fn is_claimed(&self) -> bool {
        *self == State::Claimed
    }
}

impl Answer {
    /// Whether the answer is small enough to be kept.
    pub fn is_small(&self) -> bool {
        self.bytes() <= ANSWER_BYTES
    }

    /// An upper bound of the answer's size as JSON, in bytes.
    fn bytes(&self) -> usize {
        let content_type = self.content_type.as_deref().map_or(0, json_bytes);
        ANSWER_FIELDS_BYTES + content_type + json_bytes(&self.body)
    }
}

impl Shard {
    /// Applies `change`. `observed` tells how long a record has been known to stand.
    ///
    /// Applying a change twice comes to the same, so that a change whose write has an unknown
    /// result is simply tried again.
    pub fn apply(&mut self, change: &Change, observed: impl Fn(u64) -> Duration) -> Verdict {
        match &change.action {
            Action::Claim { request, owner } => {
                self.claim(&change.key, change.nonce, request, *owner, observed)
            }
            Action::Finish { answer } => self.finish(&change.key, change.nonce, answer.as_ref()),
            Action::Release => self.release(&change.key, change.nonce),
        }
    }

    /// Begins the next period and drops the records that have outlasted the window.
    pub fn advance(&mut self) {
        self.tick = self.tick.saturating_add(1);
        let tick = self.tick;
        self.records.retain(|_, record| record.tick.saturating_add(WINDOW_TICKS) >= tick);
    }

    /// An upper bound of the shard's size as JSON, in bytes.
    pub fn bytes(&self) -> usize {
        self.records.values().map(Record::bytes).sum()
    }

    fn claim(
        &mut self,
        key: &Key,
        nonce: u64,
        request: &Digest,
        owner: Incarnation,
        observed: impl Fn(u64) -> Duration,
    ) -> Verdict {
        if let Some(record) = self.records.get(key) {
            return record.judge(nonce, request, observed);
        }
        if self.bytes() + RECORD_BYTES > ANSWERS_DROPPED_AT {
            self.drop_answers();
        }
        if self.bytes() + RECORD_BYTES > SHARD_BYTES {
            return Verdict::Full;
        }
        let request = request.clone();
        let record = Record { request, owner, nonce, tick: self.tick, state: State::Claimed };
        self.records.insert(key.clone(), record);
        Verdict::Granted
    }

    fn finish(&mut self, key: &Key, nonce: u64, answer: Option<&Answer>) -> Verdict {
        let bytes = self.bytes();
        match self.records.get_mut(key) {
            Some(record) if record.nonce == nonce => {
                if record.state.is_claimed() {
                    let kept = answer.filter(|it| it.is_small());
                    let kept = kept.filter(|it| bytes + it.bytes() <= ANSWERS_DROPPED_AT);
                    record.state = State::Done { answer: kept.cloned() };
                }
                Verdict::Stored
            }
            _ => Verdict::Gone,
        }
    }

    fn release(&mut self, key: &Key, nonce: u64) -> Verdict {
        let own = |record: &Record| record.nonce == nonce && record.state.is_claimed();
        if self.records.get(key).is_some_and(own) {
            self.records.remove(key);
        }
        Verdict::Stored
    }

    fn drop_answers(&mut self) {
        for record in self.records.values_mut() {
            if let State::Done { answer } = &mut record.state {
                *answer = None;
            }
        }
    }
}

impl Record {
    /// What a claim with `nonce` and `request` comes to when this record stands.
    fn judge(&self, nonce: u64, request: &Digest, observed: impl Fn(u64) -> Duration) -> Verdict {
        if self.request != *request {
            return Verdict::Reused;
        }
        match &self.state {
            State::Claimed if self.nonce == nonce => Verdict::Granted,
            State::Claimed => Verdict::Taken { owner: self.owner, observed: observed(self.nonce) },
            State::Done { answer } => Verdict::Done { answer: answer.clone() },
        }
    }

    fn bytes(&self) -> usize {
        match &self.state {
            State::Done { answer: Some(answer) } => RECORD_BYTES + answer.bytes(),
            State::Done { answer: None } | State::Claimed => RECORD_BYTES,
        }
    }
}

impl Standing {
    /// Judges a claim that has been known to stand for `observed`.
    ///
    /// A claimant dispatches only within [`DISPATCH_LEASE`] of its start, which lies before the
    /// record; so a record known for [`ABANDON_AFTER`] is dispatched by nobody any more.
    pub fn judge(observed: Duration, owner_lives: bool) -> Standing {
        if owner_lives || observed < ABANDON_AFTER {
            Standing::InProgress
        } else {
            Standing::Abandoned
        }
    }
}

impl Permit {
    /// The permit of a claimant that began to claim at `started`, before its claim was sent.
    pub fn new(started: Time) -> Permit {
        Permit { until: started + DISPATCH_LEASE }
    }

    /// The permit of a claim that a peer made, of which `left` remains on arrival at `now`.
    ///
    /// Entries share no clock, so what remains travels. It must be rounded down.
    pub fn received(now: Time, left: Duration) -> Permit {
        Permit { until: now + left.min(DISPATCH_LEASE) }
    }

    /// What remains of the permit.
    pub fn left(self, now: Time) -> Duration {
        self.until.since(now)
    }

    /// Whether bytes may leave at `now`.
    pub fn is_open(&self, now: Time) -> bool {
        now < self.until
    }
}

/// The size of `text` as a JSON string without its quotes, in bytes.
fn json_bytes(text: &str) -> usize {
    let bytes = text.bytes().map(|byte| match byte {
        b'"' | b'\\' => 2,
        0..0x20 => 6,
        _ => 1,
    });
    bytes.sum()
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}
