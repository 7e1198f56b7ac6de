//! The state machine that adopts heads.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::Deserialize;
use serde_json::Value;

use crate::backoff::Backoff;
use crate::check;
use crate::configuration::delta::{Delta, Mismatch};
use crate::configuration::{Action, Configuration, Source, Verdict};
use crate::declaration::{Declaration, Set};
use crate::head::{Generation, Hash, Head, item_key};
use crate::prelude::*;

/// How heads and bodies are fetched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Waits after fetches that failed.
    pub backoff: Backoff,
    /// How long an answer is waited for before the fetch counts as failed.
    pub timeout: Duration,
    /// Most bodies of one fetch.
    pub bodies: usize,
}

/// What an entry holds and what it lacks of newer configurations.
#[derive(Clone, Debug)]
pub struct State {
    settings: Settings,
    seed: u64,
    applied: Arc<Configuration>,
    known: Generation,
    source: Source,
    pending: Option<Pending>,
    /// When the fetch in progress counts as failed.
    fetching: Option<Time>,
    /// Whether anything of use arrived since that fetch began.
    progress: bool,
    failures: u32,
    ready_at: Time,
}

/// A newer head, and its bodies as far as they are here.
#[derive(Clone, Debug)]
struct Pending {
    head: Head,
    bodies: BTreeMap<Hash, Declaration>,
    missing: BTreeSet<Hash>,
}

impl Default for Settings {
    fn default() -> Settings {
        let backoff = Backoff::default();
        Settings { backoff, timeout: Duration::from_secs(2), bodies: 64 }
    }
}

impl State {
    /// A state that holds the empty configuration of generation 0. `seed` differs between
    /// entries.
    pub fn new(settings: Settings, seed: u64) -> State {
        State {
            settings,
            seed,
            applied: Arc::default(),
            known: Generation::default(),
            source: Source::Store,
            pending: None,
            fetching: None,
            progress: false,
            failures: 0,
            ready_at: Time::ZERO,
        }
    }

    /// The configuration to act on.
    pub fn applied(&self) -> &Arc<Configuration> {
        &self.applied
    }

    /// The highest generation that is known to exist.
    pub fn known(&self) -> Generation {
        self.known
    }

    /// Whether a newer generation exists than the one acted on.
    pub fn is_behind(&self) -> bool {
        self.known > self.applied.generation()
    }

    /// Bodies that are wanted and not here.
    pub fn missing(&self) -> usize {
        self.pending.as_ref().map_or(0, |pending| pending.missing.len())
    }

    /// Notes that `source` has generation `generation`.
    pub fn heard(&mut self, source: Source, generation: Generation) {
        if generation > self.known {
            self.known = generation;
            self.source = source;
            self.retry_now();
        }
    }

    /// Takes a head that `source` sent.
    pub fn head(&mut self, source: Source, head: Head) -> Verdict {
        let held = self.pending.as_ref().map(|pending| pending.head.generation);
        if head.generation <= held.unwrap_or_default().max(self.applied.generation()) {
            return Verdict::Stale;
        }
        if head.items.len() > check::MAX_ITEMS {
            return Verdict::Corrupt;
        }
        self.heard(source, head.generation);
        self.source = source;
        self.begin(head);
        self.progress = true;
        Verdict::Taken
    }

    /// Takes the difference that `source` sent from the head acted on to a newer one.
    ///
    /// # Errors
    ///
    /// [`Mismatch`] if it does not fit: the whole head is to be asked for.
    pub fn delta(&mut self, source: Source, delta: &Delta) -> Result<Verdict, Mismatch> {
        if delta.generation() <= self.applied.generation() {
            return Ok(Verdict::Stale);
        }
        let head = delta.apply(&self.applied.head)?;
        Ok(self.head(source, head))
    }

    /// Takes the body that was asked for as `hash`.
    pub fn body(&mut self, hash: &Hash, body: &Value) -> Verdict {
        let Some(pending) = &mut self.pending else { return Verdict::Stale };
        if !pending.missing.contains(hash) {
            return Verdict::Stale;
        }
        if Hash::of_value(body) != *hash {
            return Verdict::Corrupt;
        }
        let Ok(declaration) = Declaration::deserialize(body) else { return Verdict::Corrupt };
        pending.missing.remove(hash);
        pending.bodies.insert(hash.clone(), declaration);
        self.progress = true;
        Verdict::Taken
    }

    /// Ends the fetch in progress, whose answers have been passed on. A fetch that brought nothing
    /// of use counts as failed.
    pub fn fetched(&mut self, now: Time) {
        match self.progress {
            true => self.fetching = None,
            false => self.failed(now),
        }
    }

    /// Ends the fetch in progress, which failed.
    pub fn failed(&mut self, now: Time) {
        self.fetching = None;
        self.fail(now);
    }

    /// What to do now. At most one fetch is in progress.
    pub fn poll(&mut self, now: Time) -> Option<Action> {
        if self.fetching.is_some_and(|deadline| now >= deadline) {
            self.failed(now);
        }
        if self.is_complete() {
            return self.change_over(now).map(Action::Apply);
        }
        if !self.is_behind() || self.fetching.is_some() || now < self.ready_at {
            return None;
        }
        self.fetching = Some(now + self.settings.timeout);
        self.progress = false;
        Some(self.fetch())
    }

    /// When [`State::poll`] has something to do, if nothing arrives before.
    pub fn wake(&self) -> Option<Time> {
        match self.fetching {
            _ if !self.is_behind() => None,
            Some(deadline) => Some(deadline),
            None => Some(self.ready_at),
        }
    }

    /// The next fetch. Failures turn from the source of the head to the store, and then to a
    /// newer head, since the bodies of an old one may be gone.
    fn fetch(&self) -> Action {
        let source = if self.failures.is_multiple_of(2) { self.source } else { Source::Store };
        match &self.pending {
            Some(pending) if self.failures % 3 < 2 => {
                let hashes = pending.missing.iter().take(self.settings.bodies).cloned();
                Action::Bodies(source, hashes.collect())
            }
            _ => Action::Head(source),
        }
    }

    fn begin(&mut self, head: Head) {
        let old = self.pending.take();
        let mut known: BTreeMap<Hash, Declaration> = old.map(|it| it.bodies).unwrap_or_default();
        for declaration in self.applied.set.values() {
            if let Some(hash) = self.applied.head.items.get(&item_key(&declaration.id())) {
                known.insert(hash.clone(), declaration.clone());
            }
        }
        let named: BTreeSet<Hash> = head.items.values().cloned().collect();
        known.retain(|hash, _| named.contains(hash));
        let missing = named.into_iter().filter(|hash| !known.contains_key(hash)).collect();
        self.pending = Some(Pending { head, bodies: known, missing });
    }

    fn is_complete(&self) -> bool {
        self.pending.as_ref().is_some_and(|pending| pending.missing.is_empty())
    }

    /// Replaces the configuration acted on by the pending one, unless that is inconsistent.
    fn change_over(&mut self, now: Time) -> Option<Arc<Configuration>> {
        let Pending { head, bodies, .. } = self.pending.take()?;
        let Some(set) = assemble(&head, &bodies) else {
            self.fail(now);
            return None;
        };
        self.applied = Arc::new(Configuration { head, set });
        self.retry_now();
        Some(Arc::clone(&self.applied))
    }

    fn retry_now(&mut self) {
        self.failures = 0;
        self.ready_at = Time::ZERO;
    }

    fn fail(&mut self, now: Time) {
        self.failures = self.failures.saturating_add(1);
        self.ready_at = now + self.settings.backoff.delay(self.failures, self.seed);
    }
}

/// The declarations that `head` names. None if a body is not what its item says.
fn assemble(head: &Head, bodies: &BTreeMap<Hash, Declaration>) -> Option<Set> {
    let mut set = Set::new();
    for (key, hash) in &head.items {
        let declaration = bodies.get(hash)?;
        let id = declaration.id();
        if item_key(&id) != *key {
            return None;
        }
        set.insert(id, declaration.clone());
    }
    Some(set)
}
