//! A store that interleaves its callers, fails calls and loses answers as a schedule says.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use decision::head::Head;
use serde::Serialize;
use serde::de::DeserializeOwned;
use store::error::Cause;
use store::memory::Memory;
use store::object::{Changes, List, Object};
use store::{Error, Kind, Store, Version};

/// What happens to one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// Other callers run so many times before it.
    Pass(u8),
    /// The store is unavailable.
    Refuse,
    /// The call takes effect and its answer is lost.
    Lose,
}

/// A store whose calls follow a schedule and then all pass.
#[derive(Clone, Debug)]
pub(crate) struct Scheduled {
    pub(crate) inner: Memory,
    steps: Arc<Vec<Step>>,
    next: Arc<AtomicUsize>,
    heads: Arc<Mutex<Vec<Head>>>,
}

impl Scheduled {
    pub(crate) fn new(steps: Vec<Step>) -> Scheduled {
        let (inner, steps) = (Memory::default(), Arc::new(steps));
        Scheduled { inner, steps, next: Arc::default(), heads: Arc::default() }
    }

    /// All heads that were stored, in order.
    pub(crate) fn heads(&self) -> Vec<Head> {
        self.heads.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    async fn step(&self) -> Result<Step, Error> {
        let step = self.steps.get(self.next.fetch_add(1, Ordering::SeqCst)).copied();
        let step = step.unwrap_or(Step::Pass(0));
        match step {
            Step::Pass(turns) => {
                for _ in 0..turns {
                    tokio::task::yield_now().await;
                }
            }
            Step::Refuse => {
                return Err(Error::Unavailable { address: String::new(), cause: cause() });
            }
            Step::Lose => (),
        }
        Ok(step)
    }
}

impl Store for Scheduled {
    async fn get<T: DeserializeOwned + Send>(
        &self,
        kind: Kind,
        name: &str,
    ) -> Result<Option<Object<T>>, Error> {
        self.step().await?;
        self.inner.get(kind, name).await
    }

    async fn list<T: DeserializeOwned + Send>(&self, kind: Kind) -> Result<List<T>, Error> {
        self.step().await?;
        self.inner.list(kind).await
    }

    async fn put<T: Serialize + Sync>(
        &self,
        kind: Kind,
        name: &str,
        version: Version,
        value: &T,
    ) -> Result<Version, Error> {
        let step = self.step().await?;
        let version = self.inner.put(kind, name, version, value).await?;
        if kind == Kind::Configuration {
            let head = serde_json::to_value(value).and_then(serde_json::from_value);
            let head =
                head.map_err(|source| Error::Value { kind, name: name.to_owned(), source })?;
            self.heads.lock().unwrap_or_else(PoisonError::into_inner).push(head);
        }
        answer(step, version)
    }

    async fn delete(&self, kind: Kind, name: &str, version: Version) -> Result<Version, Error> {
        let step = self.step().await?;
        answer(step, self.inner.delete(kind, name, version).await?)
    }

    async fn watch<T: DeserializeOwned + Send>(
        &self,
        kind: Kind,
        revision: Version,
        wait: Duration,
    ) -> Result<Changes<T>, Error> {
        self.step().await?;
        self.inner.watch(kind, revision, wait).await
    }
}

fn answer(step: Step, version: Version) -> Result<Version, Error> {
    match step {
        Step::Lose => Err(Error::Unknown { address: String::new(), cause: cause() }),
        Step::Pass(_) | Step::Refuse => Ok(version),
    }
}

fn cause() -> Cause {
    Cause::Timeout(1_000)
}
