//! Puts changes of the configuration into the platform's store.
//!
//! Bodies are written first, each under its hash. One conditional update of the head then makes
//! the whole change take effect. A writer that stops in between leaves bodies that no head
//! names, and the sweep of a later change removes them.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use decision::backoff::Backoff;
use decision::check;
use decision::declaration::{Declaration, Id, Set};
use decision::head::{Fate, Generation, Hash, Head, item_key};
use decision::roster;
use serde::Deserialize;
use store::object::Object;
use store::{Error, Kind, Reading, Store, Version};

use crate::change::{Applied, Change, Configuration, Difference, Edit};
use crate::entry::Forget;
use crate::refusal::Refusal;
use crate::writer::sweep::Sweep;

mod sweep;

/// Missing bodies above which all bodies are read in one call.
const MAX_SINGLE_READS: usize = 16;

/// How changes are written.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Attempts of a change that meets other changes or lost answers. At least 1.
    pub attempts: u32,
    /// Longest wait before the second attempt, in milliseconds.
    pub backoff_ms: u64,
    /// Generations from one sweep of old bodies to the next. At least 1.
    pub sweep_every: u64,
    /// Most bodies that one sweep deletes.
    pub sweep_bodies: usize,
}

/// Puts changes into the store. Its clones share the bodies that they read.
#[derive(Clone, Debug)]
pub struct Writer<S> {
    store: S,
    settings: Settings,
    known: Arc<Mutex<BTreeMap<Hash, Declaration>>>,
}

/// The head as it was read, or an empty one that does not exist yet.
struct Current {
    version: Version,
    head: Head,
}

/// What is left to do of a change after comparison with the head.
struct Pending {
    edits: Vec<Edit>,
    next: Set,
}

/// How the update of the head went.
enum Moved {
    /// It took effect.
    Done,
    /// Another writer came first.
    Lost,
    /// The answer was lost, and the head has moved since.
    Unknown(Doubt),
}

/// An update of the head whose answer was lost.
struct Doubt {
    generation: Generation,
    error: Error,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { attempts: 8, backoff_ms: 50, sweep_every: 16, sweep_bodies: 64 }
    }
}

impl<S: Store> Writer<S> {
    /// A writer to `store`.
    pub fn new(store: S, settings: Settings) -> Writer<S> {
        Writer { store, settings, known: Arc::default() }
    }

    /// Reads the configuration.
    ///
    /// # Errors
    ///
    /// [`Refusal::Unavailable`] if the store cannot be read.
    pub async fn configuration(&self) -> Result<Configuration, Refusal> {
        let current = self.current().await?;
        let declarations = self.set(&current.head).await?.into_values().collect();
        Ok(Configuration { generation: current.head.generation, declarations })
    }

    /// Stores `change` as a whole.
    ///
    /// # Errors
    ///
    /// Any refusal; only [`Refusal::Unknown`] leaves open whether the change is stored.
    pub async fn change(&self, change: &Change) -> Result<Applied, Refusal> {
        change.check().map_err(|error| Refusal::Malformed { reason: error.to_string() })?;
        let mut doubt: Option<Doubt> = None;
        for attempt in 0..self.settings.attempts.max(1) {
            self.wait(attempt, change.nonce).await;
            let read = self.current().await;
            let current = read.map_err(|refusal| doubt.as_ref().map_or(refusal, Doubt::refusal))?;
            if let Some(generation) = written(&current.head, change.base, change.nonce) {
                let changed = change.edits.iter().map(|edit| edit.id.clone()).collect();
                return Ok(Applied { generation, changed });
            }
            if let Some(doubt) = doubt.take() {
                doubt.settle(&current.head, change.nonce)?;
            }
            match self.attempt(change, &current).await? {
                Ok(applied) => return Ok(applied),
                Err(Moved::Unknown(reason)) => doubt = Some(reason),
                Err(Moved::Lost | Moved::Done) => (),
            }
        }
        let attempts = self.settings.attempts;
        Err(doubt.as_ref().map_or(Refusal::Contended { attempts }, Doubt::refusal))
    }

    /// Takes the entries of `forget` off the head, where `in_force` is known to be in force.
    ///
    /// # Errors
    ///
    /// Any refusal; only [`Refusal::Unknown`] leaves open whether the change is stored.
    pub async fn forget(&self, forget: &Forget, in_force: Generation) -> Result<Applied, Refusal> {
        let names = forget.names();
        let mut doubt: Option<Doubt> = None;
        for attempt in 0..self.settings.attempts.max(1) {
            self.wait(attempt, forget.nonce).await;
            let read = self.current().await;
            let Current { version, head } =
                read.map_err(|refusal| doubt.as_ref().map_or(refusal, Doubt::refusal))?;
            if let Some(generation) = written(&head, forget.base, forget.nonce) {
                return Ok(Applied { generation, changed: Vec::new() });
            }
            if let Some(doubt) = doubt.take() {
                doubt.settle(&head, forget.nonce)?;
            }
            let replaced = forget.replaced(&head);
            if !replaced.is_empty() {
                return Err(Refusal::Replaced { generation: head.generation, names: replaced });
            }
            let Ok(next) = roster::forget(&head, &names, in_force, forget.nonce) else {
                return Ok(Applied { generation: head.generation, changed: Vec::new() });
            };
            match self.move_head(version, &next).await? {
                Moved::Done => {
                    return Ok(Applied { generation: next.generation, changed: Vec::new() });
                }
                Moved::Unknown(reason) => doubt = Some(reason),
                Moved::Lost => (),
            }
        }
        let attempts = self.settings.attempts;
        Err(doubt.as_ref().map_or(Refusal::Contended { attempts }, Doubt::refusal))
    }

    /// Tries once against the head `current`. The inner error says that another attempt may do.
    async fn attempt(
        &self,
        change: &Change,
        current: &Current,
    ) -> Result<Result<Applied, Moved>, Refusal> {
        let pending = self.pending(change, &current.head).await?;
        let changed: Vec<Id> = pending.edits.iter().map(|edit| edit.id.clone()).collect();
        if changed.is_empty() {
            return Ok(Ok(Applied { generation: current.head.generation, changed }));
        }
        let mut next = current.head.successor(change.nonce);
        for edit in &pending.edits {
            self.edit(&mut next, edit).await?;
        }
        let sweep = match next.generation.0.is_multiple_of(self.settings.sweep_every.max(1)) {
            true => Sweep::begin(&self.store).await,
            false => Sweep::default(),
        };
        let moved = self.move_head(current.version, &next).await?;
        let Moved::Done = moved else { return Ok(Err(moved)) };
        sweep.finish(&self.store, &next, self.settings.sweep_bodies).await;
        self.remember(&next, pending.next);
        Ok(Ok(Applied { generation: next.generation, changed }))
    }

    /// Compares the change with `head` and checks what would come of it.
    async fn pending(&self, change: &Change, head: &Head) -> Result<Pending, Refusal> {
        if head.log.len() >= decision::head::LOG_LENGTH
            && head.log.keys().next().is_some_and(|first| first.0 > change.base.0 + 1)
        {
            return Err(Refusal::Stale { base: change.base, generation: head.generation });
        }
        let previous = self.set(head).await?;
        let mut next = previous.clone();
        let (mut edits, mut differences) = (Vec::new(), Vec::new());
        for edit in &change.edits {
            let theirs = previous.get(&edit.id);
            if theirs == edit.declaration.as_ref() {
                continue;
            }
            if head.items.get(&item_key(&edit.id)) != edit.expected.as_ref() {
                let (theirs, yours) = (theirs.cloned(), edit.declaration.clone());
                differences.push(Difference { id: edit.id.clone(), theirs, yours });
            }
            place(&mut next, edit);
            edits.push(edit.clone());
        }
        if !differences.is_empty() {
            return Err(Refusal::Conflict { generation: head.generation, differences });
        }
        let errors = check::errors(&previous, &next);
        match errors.is_empty() {
            true => Ok(Pending { edits, next }),
            false => Err(Refusal::Invalid { errors }),
        }
    }

    /// Writes the body of `edit`, if it has one, and puts its hash into `next`.
    async fn edit(&self, next: &mut Head, edit: &Edit) -> Result<(), Refusal> {
        let key = item_key(&edit.id);
        let Some(declaration) = &edit.declaration else {
            next.items.remove(&key);
            return Ok(());
        };
        let hash = hash_of(declaration)?;
        self.write_body(&hash, declaration).await?;
        next.items.insert(key, hash);
        Ok(())
    }

    /// Writes a body, or writes it anew if it exists.
    ///
    /// The new version keeps a sweep that saw the old one from deleting it.
    async fn write_body(&self, hash: &Hash, body: &Declaration) -> Result<(), Refusal> {
        let mut version = Version::ABSENT;
        let mut last = None;
        for attempt in 0..self.settings.attempts.max(1) {
            match self.store.put(Kind::Declaration, hash.as_str(), version, body).await {
                Ok(_) => return Ok(()),
                Err(Error::Conflict { version: now, .. }) => version = now,
                Err(error @ Error::Unknown { .. }) => {
                    last = Some(error);
                    self.wait(attempt + 1, 0).await;
                }
                Err(error) => return Err(unavailable(&error)),
            }
        }
        let reason = last.map(|error| error.to_string()).unwrap_or_default();
        Err(Refusal::Unavailable { reason })
    }

    async fn move_head(&self, version: Version, next: &Head) -> Result<Moved, Refusal> {
        let mut unknown = None;
        let attempts = self.settings.attempts.max(1);
        for attempt in 0..attempts {
            let put = self.store.put(Kind::Configuration, Kind::HEAD, version, next).await;
            match put {
                Ok(_) => return Ok(Moved::Done),
                // The next attempt tells from the head's log whose write came first.
                Err(Error::Conflict { .. }) => {
                    return Ok(unknown.map_or(Moved::Lost, Moved::Unknown));
                }
                Err(error @ Error::Unknown { .. }) => {
                    unknown = Some(Doubt { generation: next.generation, error });
                }
                Err(error) if unknown.is_none() => return Err(unavailable(&error)),
                Err(_) => (),
            }
            self.wait(attempt + 1, next.nonce).await;
        }
        Err(unknown.as_ref().map_or(Refusal::Contended { attempts }, Doubt::refusal))
    }

    async fn current(&self) -> Result<Current, Refusal> {
        let read = self.store.get::<Head>(Kind::Configuration, Kind::HEAD).await;
        match read.map_err(|error| unavailable(&error))? {
            Some(Object { version, value, .. }) => Ok(Current { version, head: value }),
            None => Ok(Current { version: Version::ABSENT, head: Head::default() }),
        }
    }

    /// The declarations that `head` names.
    async fn set(&self, head: &Head) -> Result<Set, Refusal> {
        let known = self.known.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let mut found = BTreeMap::new();
        let mut missing = Vec::new();
        for hash in head.items.values() {
            match known.get(hash) {
                Some(declaration) => drop(found.insert(hash.clone(), declaration.clone())),
                None => missing.push(hash),
            }
        }
        if missing.len() > MAX_SINGLE_READS {
            self.read_all(&mut found).await?;
        } else {
            for hash in missing {
                self.read_one(hash, &mut found).await?;
            }
        }
        let declaration = |hash: &Hash| match found.get(hash) {
            Some(declaration) => Ok((declaration.id(), declaration.clone())),
            None => Err(Refusal::Unavailable { reason: format!("body {hash} is missing") }),
        };
        let set: Set = head.items.values().map(declaration).collect::<Result<_, _>>()?;
        self.remember(head, set.clone());
        Ok(set)
    }

    async fn read_all(&self, found: &mut BTreeMap<Hash, Declaration>) -> Result<(), Refusal> {
        let list = self.store.list::<Reading<serde_json::Value>>(Kind::Declaration).await;
        for object in list.map_err(|error| unavailable(&error))?.objects {
            let value = object.value.readable(Kind::Declaration, &object.name);
            let Some(value) = value else { continue };
            if let Ok(declaration) = Declaration::deserialize(&value) {
                found.insert(Hash::of_value(&value), declaration);
            }
        }
        Ok(())
    }

    async fn read_one(
        &self,
        hash: &Hash,
        found: &mut BTreeMap<Hash, Declaration>,
    ) -> Result<(), Refusal> {
        let read = self.store.get::<serde_json::Value>(Kind::Declaration, hash.as_str()).await;
        let Some(object) = read.map_err(|error| unavailable(&error))? else { return Ok(()) };
        if let Ok(declaration) = Declaration::deserialize(&object.value) {
            found.insert(Hash::of_value(&object.value), declaration);
        }
        Ok(())
    }

    /// Keeps the bodies of `head` only.
    fn remember(&self, head: &Head, set: Set) {
        let hash = |(id, declaration): (Id, Declaration)| {
            head.items.get(&item_key(&id)).map(|hash| (hash.clone(), declaration))
        };
        let bodies = set.into_iter().filter_map(hash).collect();
        *self.known.lock().unwrap_or_else(PoisonError::into_inner) = bodies;
    }

    async fn wait(&self, failures: u32, seed: u64) {
        if failures > 0 {
            let first = Duration::from_millis(self.settings.backoff_ms);
            let backoff = Backoff { first, limit: first * 16 };
            tokio::time::sleep(backoff.delay(failures, seed)).await;
        }
    }
}

impl Doubt {
    /// Fails if `head`, read later, does not tell that the update was lost.
    fn settle(&self, head: &Head, nonce: u64) -> Result<(), Refusal> {
        match head.fate(self.generation, nonce) {
            Fate::Lost => Ok(()),
            Fate::Applied | Fate::Forgotten => Err(self.refusal()),
        }
    }

    fn refusal(&self) -> Refusal {
        Refusal::Unknown { generation: self.generation, reason: self.error.to_string() }
    }
}

/// The generation under which the head's log holds the change.
fn written(head: &Head, base: Generation, nonce: u64) -> Option<Generation> {
    let later = head.log.range(Generation(base.0 + 1)..).map(|(generation, _)| *generation);
    later.into_iter().find(|it| head.fate(*it, nonce) == Fate::Applied)
}

fn place(set: &mut Set, edit: &Edit) {
    match &edit.declaration {
        Some(declaration) => drop(set.insert(edit.id.clone(), declaration.clone())),
        None => drop(set.remove(&edit.id)),
    }
}

fn hash_of(declaration: &Declaration) -> Result<Hash, Refusal> {
    Hash::of(declaration).map_err(|error| Refusal::Malformed { reason: error.to_string() })
}

fn unavailable(error: &Error) -> Refusal {
    Refusal::Unavailable { reason: error.to_string() }
}
