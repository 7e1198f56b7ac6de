//! What differs between two heads, small enough to send for each change.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::head::{Generation, Hash, Head, Member};
use crate::name::Name;

/// Changes that a history remembers.
const MAX_STEPS: usize = 64;

/// Turns the head of generation `base` into a newer one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The generation that the delta applies to.
    pub base: Generation,
    /// The hash of the newer head.
    pub digest: Hash,
    generation: Generation,
    nonce: u64,
    roster_generation: Generation,
    items: BTreeMap<String, Option<Hash>>,
    members: BTreeMap<Name, Option<Member>>,
    previous: Option<BTreeMap<Name, SocketAddr>>,
    log: BTreeMap<Generation, u64>,
}

/// The result of a delta does not have the digest that it should have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the change from generation {base} to {generation} does not fit the head that is held")]
pub struct Mismatch {
    /// The generation that the delta applies to.
    pub base: Generation,
    /// The generation of the newer head.
    pub generation: Generation,
}

/// What changed in which generation, for the heads that an entry held lately.
#[derive(Clone, Debug, Default)]
pub struct History {
    steps: VecDeque<Step>,
    /// The digest of the last head recorded, once it was needed.
    digest: Option<Hash>,
}

/// The names of what changed between two generations, the first one not included.
#[derive(Clone, Debug)]
struct Step {
    after: Generation,
    to: Generation,
    items: BTreeSet<String>,
    members: BTreeSet<Name>,
}

impl Delta {
    /// The generation of the newer head.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// The hashes of the items that the delta adds or changes.
    pub fn hashes(&self) -> impl Iterator<Item = &Hash> {
        self.items.values().flatten()
    }

    /// The newer head, made from the head `held`.
    ///
    /// # Errors
    ///
    /// [`Mismatch`] if `held` is of another generation or the digest differs.
    pub fn apply(&self, held: &Head) -> Result<Head, Mismatch> {
        let mismatch = Mismatch { base: self.base, generation: self.generation };
        if held.generation != self.base {
            return Err(mismatch);
        }
        let mut next = held.clone();
        next.generation = self.generation;
        next.nonce = self.nonce;
        next.roster_generation = self.roster_generation;
        next.log = self.log.clone();
        merge(&mut next.items, &self.items);
        merge(&mut next.roster, &self.members);
        if let Some(previous) = &self.previous {
            next.previous = previous.clone();
        }
        match next.digest().is_ok_and(|digest| digest == self.digest) {
            true => Ok(next),
            false => Err(mismatch),
        }
    }
}

impl History {
    /// Records that `next` has replaced `previous`.
    pub fn record(&mut self, previous: &Head, next: &Head) {
        let is_connected = self.steps.back().is_none_or(|step| step.to == previous.generation);
        self.digest = None;
        if !is_connected {
            self.steps.clear();
        }
        if self.steps.len() == MAX_STEPS {
            self.steps.pop_front();
        }
        self.steps.push_back(Step {
            after: previous.generation,
            to: next.generation,
            items: changed(&previous.items, &next.items),
            members: changed(&previous.roster, &next.roster),
        });
    }

    /// The delta from generation `base` to `head`, the last head recorded.
    ///
    /// None if `base` is not older than `head` or older than the history reaches: the whole head
    /// is to be sent then.
    ///
    /// # Errors
    ///
    /// Fails only if the head cannot be serialised as JSON.
    pub fn delta(
        &mut self,
        base: Generation,
        head: &Head,
    ) -> Result<Option<Delta>, serde_json::Error> {
        let reaches = self.steps.front().is_some_and(|step| step.after <= base);
        let ends = self.steps.back().is_some_and(|step| step.to == head.generation);
        if !reaches || !ends || base >= head.generation {
            return Ok(None);
        }
        let digest = match &self.digest {
            Some(digest) => digest.clone(),
            None => self.digest.insert(head.digest()?).clone(),
        };
        let steps = self.steps.iter().filter(|step| step.to > base);
        let (mut items, mut members) = (BTreeMap::new(), BTreeMap::new());
        for step in steps {
            items.extend(step.items.iter().map(|it| (it.clone(), head.items.get(it).cloned())));
            members
                .extend(step.members.iter().map(|it| (it.clone(), head.roster.get(it).cloned())));
        }
        let previous = (head.roster_generation > base).then(|| head.previous.clone());
        Ok(Some(Delta {
            base,
            digest,
            generation: head.generation,
            nonce: head.nonce,
            roster_generation: head.roster_generation,
            items,
            members,
            previous,
            log: head.log.clone(),
        }))
    }
}

impl Head {
    /// The hash of the whole head.
    ///
    /// # Errors
    ///
    /// Fails only if the head cannot be serialised as JSON.
    pub fn digest(&self) -> Result<Hash, serde_json::Error> {
        Ok(Hash::of_bytes(&serde_json::to_vec(self)?))
    }
}

fn changed<K: Ord + Clone, V: PartialEq>(
    previous: &BTreeMap<K, V>,
    next: &BTreeMap<K, V>,
) -> BTreeSet<K> {
    let removed = previous.keys().filter(|key| !next.contains_key(key));
    let written = next.iter().filter(|(key, value)| previous.get(key) != Some(value));
    removed.chain(written.map(|(key, _)| key)).cloned().collect()
}

fn merge<K: Ord + Clone, V: Clone>(values: &mut BTreeMap<K, V>, changes: &BTreeMap<K, Option<V>>) {
    for (key, change) in changes {
        match change {
            Some(value) => drop(values.insert(key.clone(), value.clone())),
            None => drop(values.remove(key)),
        }
    }
}
