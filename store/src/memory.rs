//! A store in this process's memory, for tests and measurements.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::sync::Notify;

use crate::client::VALUE_BYTES;
use crate::count::{Call, Counter};
use crate::error::{Cause, Error};
use crate::kind::Kind;
use crate::object::{Change, Changes, List, Object, Version};
use crate::store::Store;

/// A store in memory. Its clones share the objects, the counters and the faults.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    cells: Mutex<Cells>,
    changed: Notify,
    counter: Counter,
    down: AtomicBool,
    lost_answers: AtomicU64,
}

#[derive(Debug, Default)]
struct Cells {
    revision: u64,
    objects: BTreeMap<(Kind, String), Cell>,
}

/// An object, or what is left of a deleted one: its value is none.
#[derive(Clone, Debug)]
struct Cell {
    version: Version,
    value: Option<Value>,
}

impl Memory {
    /// Makes the store unavailable or available again.
    pub fn set_down(&self, down: bool) {
        self.shared.down.store(down, Ordering::SeqCst);
        self.shared.changed.notify_waiters();
    }

    /// Loses the answers to the next `writes` writes; the writes take effect.
    pub fn lose_answers(&self, writes: u64) {
        self.shared.lost_answers.store(writes, Ordering::SeqCst);
    }

    /// The counters of calls, over all clones.
    pub fn counter(&self) -> &Counter {
        &self.shared.counter
    }

    fn cells(&self) -> MutexGuard<'_, Cells> {
        self.shared.cells.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn check_up(&self) -> Result<(), Error> {
        if self.shared.down.load(Ordering::SeqCst) {
            return Err(Error::Unavailable { address: ADDRESS.to_owned(), cause: down() });
        }
        Ok(())
    }

    /// Writes `value`, or deletes if it is none.
    fn write(
        &self,
        kind: Kind,
        name: &str,
        expected: Version,
        value: Option<Value>,
    ) -> Result<Version, Error> {
        self.check_up()?;
        let mut cells = self.cells();
        let key = (kind, name.to_owned());
        let live = cells.objects.get(&key).filter(|it| it.value.is_some());
        let version = live.map_or(Version::ABSENT, |it| it.version);
        if value.is_none() && version == Version::ABSENT {
            return Err(Error::Absent { kind, name: name.to_owned() });
        }
        if version != expected {
            return Err(Error::Conflict { kind, name: name.to_owned(), version });
        }
        cells.revision += 1;
        let version = Version(cells.revision);
        cells.objects.insert(key, Cell { version, value });
        drop(cells);
        self.shared.changed.notify_waiters();
        self.answer(version)
    }

    fn answer(&self, version: Version) -> Result<Version, Error> {
        let take = |left: u64| left.checked_sub(1);
        let lost = &self.shared.lost_answers;
        if lost.fetch_update(Ordering::SeqCst, Ordering::SeqCst, take).is_ok() {
            return Err(Error::Unknown { address: ADDRESS.to_owned(), cause: down() });
        }
        Ok(version)
    }

    fn try_get<T: DeserializeOwned>(
        &self,
        kind: Kind,
        name: &str,
    ) -> Result<Option<Object<T>>, Error> {
        self.check_up()?;
        let cell = self.cells().objects.get(&(kind, name.to_owned())).cloned();
        let Some(Cell { version, value: Some(value) }) = cell else { return Ok(None) };
        Ok(Some(Object { name: name.to_owned(), version, value: read(kind, value)? }))
    }

    fn try_list<T: DeserializeOwned>(&self, kind: Kind) -> Result<List<T>, Error> {
        self.check_up()?;
        let Changes { revision, objects } = self.after::<T>(kind, Version::ABSENT)?;
        let live = |Change { name, version, value }: Change<T>| {
            value.map(|value| Object { name, version, value })
        };
        Ok(List { revision, objects: objects.into_iter().filter_map(live).collect() })
    }

    fn after<T: DeserializeOwned>(
        &self,
        kind: Kind,
        revision: Version,
    ) -> Result<Changes<T>, Error> {
        let cells = self.cells();
        let mut objects = Vec::new();
        for ((_, name), cell) in cells.objects.iter().filter(|((it, _), _)| *it == kind) {
            if cell.version > revision {
                let value = cell.value.clone().map(|value| read(kind, value)).transpose()?;
                objects.push(Change { name: name.clone(), version: cell.version, value });
            }
        }
        Ok(Changes { revision: Version(cells.revision), objects })
    }

    async fn try_watch<T: DeserializeOwned>(
        &self,
        kind: Kind,
        revision: Version,
        wait: Duration,
    ) -> Result<Changes<T>, Error> {
        let end = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.shared.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            self.check_up()?;
            let changes = self.after(kind, revision)?;
            if !changes.objects.is_empty() {
                return Ok(changes);
            }
            if tokio::time::timeout_at(end, changed).await.is_err() {
                return Ok(changes);
            }
        }
    }
}

impl Store for Memory {
    async fn get<T: DeserializeOwned + Send>(
        &self,
        kind: Kind,
        name: &str,
    ) -> Result<Option<Object<T>>, Error> {
        let result = self.try_get(kind, name);
        self.shared.counter.record(Call::Get, &result);
        result
    }

    async fn list<T: DeserializeOwned + Send>(&self, kind: Kind) -> Result<List<T>, Error> {
        let result = self.try_list(kind);
        self.shared.counter.record(Call::List, &result);
        result
    }

    async fn put<T: Serialize + Sync>(
        &self,
        kind: Kind,
        name: &str,
        version: Version,
        value: &T,
    ) -> Result<Version, Error> {
        let value = serde_json::to_value(value);
        let value = value.map_err(|source| Error::Value { kind, name: name.to_owned(), source })?;
        let bytes = value.to_string().len();
        let result = match bytes > VALUE_BYTES {
            true => Err(Error::Large { kind, name: name.to_owned(), bytes }),
            false => self.write(kind, name, version, Some(value)),
        };
        self.shared.counter.record(Call::Put, &result);
        result
    }

    async fn delete(&self, kind: Kind, name: &str, version: Version) -> Result<Version, Error> {
        let result = self.write(kind, name, version, None);
        self.shared.counter.record(Call::Delete, &result);
        result
    }

    async fn watch<T: DeserializeOwned + Send>(
        &self,
        kind: Kind,
        revision: Version,
        wait: Duration,
    ) -> Result<Changes<T>, Error> {
        let result = self.try_watch(kind, revision, wait).await;
        self.shared.counter.record(Call::Watch, &result);
        result
    }
}

const ADDRESS: &str = "memory";

fn down() -> Cause {
    Cause::Status(http::StatusCode::SERVICE_UNAVAILABLE)
}

fn read<T: DeserializeOwned>(kind: Kind, value: Value) -> Result<T, Error> {
    serde_json::from_value(value).map_err(|source| Error::Body { call: kind.to_string(), source })
}
