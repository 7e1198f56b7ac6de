//! Reads of the fabric domains' objects, gathered so that many of them take one call.
//!
//! An entry that has just started, or that hears nothing from its peers, reads every fabric
//! domain's object. With a call for each, a fleet that restarts would call the store far more
//! often than it bears.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use decision::backoff::Backoff;
use decision::clock::Time;
use decision::fabric::Fabric;
use decision::name::Name;
use decision::owner::Object;
use store::{Kind, Reading, Store};
use tokio::sync::{Notify, oneshot};
use tokio::time::{self, Instant};

use crate::uptime::Uptime;

/// Time between two lists, and between two reads that are made singly and at once.
const SPAN: Duration = Duration::from_secs(1);

/// The first list waits for up to this long, so that entries that start together spread.
const START: Duration = Duration::from_secs(2);

/// Waits after failed lists.
const BACKOFF: Backoff = Backoff { first: Duration::from_secs(2), limit: Duration::from_secs(5) };

/// An object as the store held it.
#[derive(Clone, Debug)]
pub struct Found {
    /// When the call was sent.
    pub sent: Time,
    /// The object, or an empty one if there is none.
    pub object: Object,
}

/// Reads the objects of fabric domains. [`Objects::run`] answers what is gathered.
pub struct Objects<S> {
    store: S,
    uptime: Uptime,
    seed: u64,
    cells: Mutex<Cells>,
    wanted: Notify,
}

struct Cells {
    /// When a read may next be made singly. None until the first list.
    single: Option<Instant>,
    /// The newest read of each fabric domain that waits for a list.
    waiting: BTreeMap<Name, oneshot::Sender<Found>>,
}

impl<S: Store> Objects<S> {
    /// Reads from `store`. `seed` differs between entries.
    pub fn new(store: S, uptime: Uptime, seed: u64) -> Objects<S> {
        let cells = Cells { single: None, waiting: BTreeMap::new() };
        Objects { store, uptime, seed, cells: Mutex::new(cells), wanted: Notify::new() }
    }

    /// Reads the object of `fabric`. None if the store did not answer, or if a newer read of the
    /// same object took this one's place.
    pub async fn read(&self, fabric: &Name) -> Option<Found> {
        if self.cells().take_single() {
            return self.single(fabric).await;
        }
        let (sender, found) = oneshot::channel();
        self.cells().waiting.insert(fabric.clone(), sender);
        self.wanted.notify_one();
        found.await.ok()
    }

    /// Answers gathered reads, for ever.
    pub async fn run(&self) {
        let mut failures = 0;
        // Drawn from the whole span, as the delay is from its upper half.
        let start = Backoff { first: START * 2, limit: START * 2 };
        time::sleep(start.delay(1, self.seed).saturating_sub(START)).await;
        loop {
            self.wanted.notified().await;
            failures = if self.list().await { 0 } else { failures + 1 };
            self.cells().single = Some(Instant::now());
            let pause = if failures == 0 { SPAN } else { BACKOFF.delay(failures, self.seed) };
            time::sleep(pause).await;
        }
    }

    async fn single(&self, fabric: &Name) -> Option<Found> {
        let sent = self.uptime.now();
        let found = self.store.get::<Fabric>(Kind::Fabric, fabric.as_str()).await.ok()?;
        let object = found.map(|it| Object { version: it.version.0, fabric: it.value });
        Some(Found { sent, object: object.unwrap_or_default() })
    }

    /// Reads all objects for the reads that wait. Returns whether the store answered.
    async fn list(&self) -> bool {
        let waiting = std::mem::take(&mut self.cells().waiting);
        let sent = self.uptime.now();
        let Ok(list) = self.store.list::<Reading<Fabric>>(Kind::Fabric).await else { return false };
        let objects = list.objects.into_iter();
        let mut objects: BTreeMap<_, _> = objects.map(|it| (it.name.clone(), it)).collect();
        for (fabric, sender) in waiting {
            let object = match objects.remove(fabric.as_str()) {
                Some(it) => it.value.0.map(|fabric| Object { version: it.version.0, fabric }),
                None => Ok(Object::default()),
            };
            match object {
                // A driver that has ended waits for nothing.
                Ok(object) => drop(sender.send(Found { sent, object })),
                Err(error) => log::debug!("the object of {fabric} cannot be read: {error}"),
            }
        }
        true
    }

    fn cells(&self) -> MutexGuard<'_, Cells> {
        self.cells.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Cells {
    /// Whether a read may be made singly now.
    fn take_single(&mut self) -> bool {
        let now = Instant::now();
        let free = self.single.is_some_and(|at| now >= at);
        if free {
            self.single = Some(now + SPAN);
        }
        free
    }
}
