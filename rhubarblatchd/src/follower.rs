//! Follows the head: watches the store or hears from peers, fetches what is missing, applies.

use std::collections::BTreeSet;
use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use decision::clock::Time;
use decision::configuration::{
    self, Action, Cadence, Configuration, Delta, History, Poll, Source, State, role,
};
use decision::head::{Generation, Hash, Head, Incarnation, item_key};
use decision::name::Name;
use serde_json::Value;
use store::object::{Changes, Object};
use store::{Error, Kind, Reading, Store, Version};
use tokio::sync::Notify;
use tokio::time;

use crate::uptime::Uptime;

/// Missing bodies above which all bodies are read in one call.
const MAX_SINGLE_READS: usize = 8;

/// A newer head, as a peer sends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Newer {
    /// The whole head.
    Whole(Head),
    /// The difference from the head that the asker holds.
    Difference(Delta),
}

/// Other entries, as sources of heads and bodies.
pub trait Peers: Send + Sync + 'static {
    /// Asks a peer for a head newer than generation `held`. None if it has none or fails.
    fn head(
        &self,
        peer: Incarnation,
        held: Generation,
    ) -> impl Future<Output = Option<Newer>> + Send;

    /// Asks a peer for bodies. Those that it does not have are left out.
    fn bodies(
        &self,
        peer: Incarnation,
        hashes: Vec<Hash>,
    ) -> impl Future<Output = Vec<Value>> + Send;
}

/// What the rest of the entry does with what is found.
pub trait Sink: Send + Sync + 'static {
    /// Takes notice that a read of the store that was sent at `sent` found `generation`.
    fn read(&self, sent: Time, generation: Generation);

    /// Acts on `configuration` from now on. The generation always grows.
    fn apply(&self, configuration: &Arc<Configuration>);

    /// The entries of the roster that were not heard of lately.
    fn silent(&self) -> BTreeSet<Name>;
}

/// How the head is followed.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The entry's name in the roster.
    pub name: Name,
    /// Spreads the entry's calls; differs between entries.
    pub seed: u64,
    /// Entries in each failure domain that watch the store for all.
    pub watchers: usize,
    /// When the store is called.
    pub cadence: Cadence,
    /// How heads and bodies are fetched.
    pub fetch: configuration::Settings,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            name: Name::default(),
            seed: 0,
            watchers: 2,
            cadence: Cadence::default(),
            fetch: configuration::Settings::default(),
        }
    }
}

/// Follows the head on behalf of one entry.
pub struct Follower<S, P, K> {
    settings: Settings,
    clock: Uptime,
    store: S,
    peers: P,
    sink: K,
    cells: Mutex<Cells>,
    changed: Notify,
}

struct Cells {
    state: State,
    poll: Poll,
    history: History,
}

/// What a call of the store found: the version to watch from, and the head if there is one.
type Found = Result<(Version, Option<Head>), Error>;

impl<S: Store, P: Peers, K: Sink> Follower<S, P, K> {
    /// Follows the head in `store`.
    pub fn new(settings: Settings, clock: Uptime, store: S, peers: P, sink: K) -> Self {
        let cells = Cells {
            state: State::new(settings.fetch, settings.seed),
            poll: Poll::new(settings.cadence, settings.seed),
            history: History::default(),
        };
        let (cells, changed) = (Mutex::new(cells), Notify::new());
        Follower { settings, clock, store, peers, sink, cells, changed }
    }

    /// What is done with what is found.
    pub fn sink(&self) -> &K {
        &self.sink
    }

    /// The configuration that the entry acts on.
    pub fn applied(&self) -> Arc<Configuration> {
        Arc::clone(self.cells().state.applied())
    }

    /// The highest generation that is known to exist.
    pub fn known(&self) -> Generation {
        self.cells().state.known()
    }

    /// Bodies that are wanted and not here.
    pub fn missing(&self) -> usize {
        self.cells().state.missing()
    }

    /// Takes notice that `source` has `generation`.
    pub fn heard(&self, source: Source, generation: Generation) {
        let mut cells = self.cells();
        if generation > cells.state.known() {
            cells.state.heard(source, generation);
            self.changed.notify_one();
        }
    }

    /// Takes notice that what peers told was the store's state at `at`.
    pub fn vouched(&self, at: Time) {
        self.cells().poll.heard(at);
    }

    /// Takes over a head that this entry has just written to the store.
    pub fn written(&self, head: Head) {
        self.cells().state.head(Source::Store, head);
        self.changed.notify_one();
    }

    /// What to send a peer that holds generation `held`. None if there is nothing newer.
    pub fn newer(&self, held: Generation) -> Option<Newer> {
        let mut cells = self.cells();
        let applied = Arc::clone(cells.state.applied());
        if applied.generation() <= held {
            return None;
        }
        match cells.history.delta(held, &applied.head) {
            Ok(Some(delta)) => Some(Newer::Difference(delta)),
            _ => Some(Newer::Whole(applied.head.clone())),
        }
    }

    /// Those of the bodies that this entry acts on.
    pub fn bodies(&self, hashes: &[Hash]) -> Vec<Value> {
        let applied = self.applied();
        let declarations = applied.set.values().filter(|declaration| {
            let hash = applied.head.items.get(&item_key(&declaration.id()));
            hash.is_some_and(|hash| hashes.contains(hash))
        });
        declarations.filter_map(|it| serde_json::to_value(it).ok()).collect()
    }

    /// Follows for ever. To be dropped when the entry stops.
    pub async fn run(&self) {
        tokio::join!(self.watch(), self.fetch());
    }

    /// Reads and watches the head in the store, as often as the entry's role asks for.
    async fn watch(&self) {
        let mut version = None;
        loop {
            let (due, wait) = self.next_call();
            if due > self.now() {
                time::sleep_until(self.clock.instant(due)).await;
                continue;
            }
            let sent = self.now();
            let found = match version {
                Some(version) if !wait.is_zero() => self.wait_for_change(version, wait).await,
                _ => self.read_head().await,
            };
            version = self.note(sent, found).or(version);
        }
    }

    fn next_call(&self) -> (Time, Duration) {
        let applied = self.applied();
        let Settings { name, watchers, .. } = &self.settings;
        let silent = self.sink.silent();
        let role = role(&applied.head.roster, name, *watchers, |it| !silent.contains(it));
        let cells = self.cells();
        (cells.poll.due(role), cells.poll.wait(role))
    }

    async fn read_head(&self) -> Found {
        let object = self.store.get::<Head>(Kind::Configuration, Kind::HEAD).await?;
        let Some(Object { version, value, .. }) = object else {
            return Ok((Version::ABSENT, None));
        };
        Ok((version, Some(value)))
    }

    async fn wait_for_change(&self, version: Version, wait: Duration) -> Found {
        let Changes { objects, .. } =
            self.store.watch::<Head>(Kind::Configuration, version, wait).await?;
        let head = objects.into_iter().find(|object| object.name == Kind::HEAD);
        Ok(head.map_or((version, None), |object| (object.version, object.value)))
    }

    /// Takes over what a call found. Returns the version to watch from.
    fn note(&self, sent: Time, found: Found) -> Option<Version> {
        let mut cells = self.cells();
        let (version, head) = match found {
            Ok(found) => found,
            Err(error) => {
                cells.poll.failed(self.now());
                log::debug!("head not read: {error}");
                return None;
            }
        };
        cells.poll.succeeded(sent);
        if let Some(head) = head {
            cells.state.head(Source::Store, head);
        }
        let generation = cells.state.known();
        drop(cells);
        self.sink.read(sent, generation);
        self.changed.notify_one();
        Some(version)
    }

    /// Fetches what the state asks for and applies what is whole.
    async fn fetch(&self) {
        loop {
            match self.step() {
                Some(Action::Apply(configuration)) => {
                    self.sink.apply(&configuration);
                    log::info!("acts on configuration {}", configuration.generation());
                }
                Some(Action::Head(source)) => self.fetch_head(source).await,
                Some(Action::Bodies(source, hashes)) => self.fetch_bodies(source, hashes).await,
                None => self.rest().await,
            }
        }
    }

    /// Asks the state what to do, and keeps the history of what it applies.
    fn step(&self) -> Option<Action> {
        let mut cells = self.cells();
        let previous = Arc::clone(cells.state.applied());
        let action = cells.state.poll(self.now());
        if let Some(Action::Apply(configuration)) = &action {
            cells.history.record(&previous.head, &configuration.head);
        }
        action
    }

    async fn rest(&self) {
        let wake = self.cells().state.wake();
        let changed = self.changed.notified();
        match wake {
            None => changed.await,
            // Whether it is woken or late, the state is asked again.
            Some(wake) => {
                drop(time::timeout_at(self.clock.instant(wake), changed).await);
            }
        }
    }

    async fn fetch_head(&self, source: Source) {
        let held = self.applied().generation();
        let found = match source {
            Source::Peer(peer) => self.peers.head(peer, held).await,
            Source::Store => {
                let sent = self.now();
                let read = self.read_head().await;
                self.note(sent, read);
                None
            }
        };
        let mut cells = self.cells();
        match found {
            Some(Newer::Whole(head)) => drop(cells.state.head(source, head)),
            Some(Newer::Difference(delta)) => {
                if let Err(mismatch) = cells.state.delta(source, &delta) {
                    log::warn!("{mismatch}");
                }
            }
            None => (),
        }
        cells.state.fetched(self.now());
    }

    async fn fetch_bodies(&self, source: Source, hashes: Vec<Hash>) {
        let bodies = match source {
            Source::Peer(peer) => self.peers.bodies(peer, hashes).await,
            Source::Store => self.read_bodies(&hashes).await,
        };
        let mut cells = self.cells();
        for body in &bodies {
            cells.state.body(&Hash::of_value(body), body);
        }
        cells.state.fetched(self.now());
    }

    async fn read_bodies(&self, hashes: &[Hash]) -> Vec<Value> {
        if hashes.len() > MAX_SINGLE_READS {
            let list = self.store.list::<Reading<Value>>(Kind::Declaration).await;
            let objects = list.map(|list| list.objects).unwrap_or_default();
            let value = |it: Object<Reading<Value>>| it.value.readable(Kind::Declaration, &it.name);
            return objects.into_iter().filter_map(value).collect();
        }
        let mut bodies = Vec::new();
        for hash in hashes {
            match self.store.get::<Value>(Kind::Declaration, hash.as_str()).await {
                Ok(object) => bodies.extend(object.map(|object| object.value)),
                Err(error) => {
                    log::debug!("body {hash} not read: {error}");
                    break;
                }
            }
        }
        bodies
    }

    fn now(&self) -> Time {
        self.clock.now()
    }

    fn cells(&self) -> MutexGuard<'_, Cells> {
        self.cells.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
