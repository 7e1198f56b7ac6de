//! The platform's store: objects with versions, conditional writes and watches, kept in memory.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::{Method, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time;

use crate::web::{self, Body, Call};

/// Largest value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

const MAX_WAIT: Duration = Duration::from_secs(60);

/// A store that lives as long as its clones.
#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    revision: watch::Sender<u64>,
}

/// What the store can be told to do wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Answers nothing: each connection is closed.
    pub down: bool,
    /// Waits this long before each call, in milliseconds.
    pub slow_ms: u64,
    /// Closes the connection after this many further writes took effect.
    pub lose_answers: u32,
}

/// Calls answered so far, by kind of call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Single objects read.
    pub gets: u64,
    /// Lists read.
    pub lists: u64,
    /// Writes and deletions that took effect.
    pub writes: u64,
    /// Writes and deletions refused because of the version.
    pub conflicts: u64,
    /// Watches begun.
    pub watches: u64,
}

#[derive(Default)]
struct State {
    objects: BTreeMap<(String, String), Object>,
    revision: u64,
    fault: Fault,
    counts: Counts,
}

struct Object {
    version: u64,
    value: Option<Value>,
}

impl Store {
    /// An empty store.
    pub fn new() -> Store {
        Store { state: Arc::default(), revision: watch::Sender::new(0) }
    }

    /// Serves the object API on `listener` for ever.
    pub async fn serve(self, listener: TcpListener) {
        web::serve(listener, move |call| {
            let store = self.clone();
            async move { store.answer(call).await }
        })
        .await;
    }

    /// Makes the store misbehave from now on.
    pub fn set_fault(&self, fault: Fault) {
        self.lock().fault = fault;
    }

    /// Calls answered so far.
    pub fn counts(&self) -> Counts {
        self.lock().counts
    }

    async fn answer(&self, call: Call) -> Option<Response<Body>> {
        let parts = call.parts();
        match (&call.method, parts.as_slice()) {
            (&Method::POST, ["control"]) => {
                let fault = call.json()?;
                self.set_fault(fault);
                return Some(web::empty(StatusCode::OK));
            }
            (&Method::GET, ["counts"]) => return Some(web::json(StatusCode::OK, &self.counts())),
            _ => {}
        }
        let fault = self.lock().fault;
        if fault.down {
            return None;
        }
        time::sleep(Duration::from_millis(fault.slow_ms)).await;
        match (&call.method, parts.as_slice()) {
            (&Method::GET, ["objects", kind, name]) => Some(self.get(kind, name)),
            (&Method::GET, ["objects", kind]) => Some(self.list(kind, 0)),
            (&Method::PUT, ["objects", kind, name]) => {
                let Some(value) = call.json::<Value>() else {
                    return Some(web::empty(StatusCode::BAD_REQUEST));
                };
                if call.body.len() > MAX_VALUE_BYTES {
                    return Some(web::empty(StatusCode::PAYLOAD_TOO_LARGE));
                }
                self.write(kind, name, call.number("version")?, Some(value))
            }
            (&Method::DELETE, ["objects", kind, name]) => {
                self.write(kind, name, call.number("version")?, None)
            }
            (&Method::GET, ["watch", kind]) => {
                let after = call.number("revision").unwrap_or_default();
                let wait = Duration::from_millis(call.number("wait_ms").unwrap_or_default());
                self.watch(kind, after, wait.min(MAX_WAIT)).await
            }
            _ => Some(web::empty(StatusCode::NOT_FOUND)),
        }
    }

    fn get(&self, kind: &str, name: &str) -> Response<Body> {
        let mut state = self.lock();
        state.counts.gets += 1;
        match state.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some(Object { version, value: Some(value) }) => web::json(
                StatusCode::OK,
                &json!({ "name": name, "version": version, "value": value }),
            ),
            _ => web::empty(StatusCode::NOT_FOUND),
        }
    }

    fn list(&self, kind: &str, after: u64) -> Response<Body> {
        let mut state = self.lock();
        state.counts.lists += 1;
        let objects = state.changed(kind, after);
        let present = objects.into_iter().filter(|object| !object["value"].is_null());
        let present: Vec<_> = present.collect();
        web::json(StatusCode::OK, &json!({ "revision": state.revision, "objects": present }))
    }

    fn write(
        &self,
        kind: &str,
        name: &str,
        version: u64,
        value: Option<Value>,
    ) -> Option<Response<Body>> {
        let mut state = self.lock();
        let key = (kind.to_owned(), name.to_owned());
        let held = state.objects.get(&key).filter(|object| object.value.is_some());
        let current = held.map_or(0, |object| object.version);
        if current != version {
            state.counts.conflicts += 1;
            return Some(web::json(StatusCode::CONFLICT, &json!({ "version": current })));
        }
        state.revision += 1;
        state.counts.writes += 1;
        let revision = state.revision;
        state.objects.insert(key, Object { version: revision, value });
        self.revision.send_replace(revision);
        if state.fault.lose_answers > 0 {
            state.fault.lose_answers -= 1;
            return None;
        }
        Some(web::json(StatusCode::OK, &json!({ "version": revision })))
    }

    async fn watch(&self, kind: &str, after: u64, wait: Duration) -> Option<Response<Body>> {
        self.lock().counts.watches += 1;
        let mut revision = self.revision.subscribe();
        let deadline = time::Instant::now() + wait;
        loop {
            let (changed, seen) = {
                let state = self.lock();
                if state.fault.down {
                    return None;
                }
                (state.changed(kind, after), state.revision)
            };
            let expired = time::Instant::now() >= deadline;
            if !changed.is_empty() || expired {
                let body = json!({ "revision": seen, "objects": changed });
                return Some(web::json(StatusCode::OK, &body));
            }
            // An expired wait is seen at the top of the loop.
            drop(time::timeout_at(deadline, revision.changed()).await);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for Store {
    fn default() -> Store {
        Store::new()
    }
}

impl State {
    fn changed(&self, kind: &str, after: u64) -> Vec<Value> {
        let of_kind = self.objects.iter().filter(|((it, _), _)| it == kind);
        let changed = of_kind.filter(|(_, object)| object.version > after);
        changed
            .map(|((_, name), object)| {
                json!({ "name": name, "version": object.version, "value": object.value })
            })
            .collect()
    }
}
