//! A stand-in of the platform's store, as PROTOCOL.md describes it: objects by kind and name,
//! revisions, watches, conditional writes. It is in order at all times.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http::{Request, Response, serve};
use crate::json;

#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

#[derive(Default)]
struct State {
    objects: BTreeMap<(String, String), Object>,
    history: Vec<Event>,
    revision: u64,
}

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
}

struct Event {
    revision: u64,
    kind: String,
    tombstone: bool,
    object: String,
}

fn encode(name: &str, object: &Object) -> String {
    let Object { revision, created, spec } = object;
    format!(
        "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":{created},\
         \"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: &str) -> Object {
        self.revision += 1;
        let revision = self.revision;
        let key = (kind.to_owned(), name.to_owned());
        let created = self.objects.get(&key).map_or(revision, |it| it.created);
        let object = Object { revision, created, spec: spec.to_owned() };
        let text = encode(name, &object);
        self.objects.insert(key, object.clone());
        self.history.push(Event {
            revision,
            kind: kind.to_owned(),
            tombstone: false,
            object: text,
        });
        object
    }

    fn remove(&mut self, kind: &str, name: &str) {
        let key = (kind.to_owned(), name.to_owned());
        let Some(mut object) = self.objects.remove(&key) else { return };
        self.revision += 1;
        object.revision = self.revision;
        self.history.push(Event {
            revision: self.revision,
            kind: kind.to_owned(),
            tombstone: true,
            object: encode(name, &object),
        });
    }

    fn events(&self, kind: &str, after: u64) -> Vec<String> {
        let events = self.history.iter().filter(|it| it.kind == kind && it.revision > after);
        let text =
            |it: &Event| format!("{{\"tombstone\":{},\"object\":{}}}", it.tombstone, it.object);
        events.map(text).collect()
    }
}

impl Store {
    pub fn start() -> std::io::Result<(Store, SocketAddr)> {
        let store = Store::default();
        store.state().revision = 10;
        let served = store.clone();
        let address = serve(move |request| Some(served.answer(&request)))?;
        Ok((store, address))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().expect("no panic under the lock")
    }

    /// Writes an object for the operator or a replica. The return is the ack.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.state().put(kind, name, spec);
        self.shared.1.notify_all();
    }

    /// Removes an object. The return is the ack.
    pub fn remove(&self, kind: &str, name: &str) {
        self.state().remove(kind, name);
        self.shared.1.notify_all();
    }

    fn answer(&self, request: &Request) -> Response {
        let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
        let Some(rest) = path.strip_prefix("/v1/objects/") else {
            return Response::new(404, "{}");
        };
        let (kind, name) = match rest.split_once('/') {
            Some((kind, name)) => (kind, Some(name)),
            None => (rest, None),
        };
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|it| it.split_once('='));
            pairs.into_iter().find(|(it, _)| *it == name).map(|(_, value)| value.to_owned())
        };
        let number = |name: &str| parameter(name).and_then(|it| it.parse::<u64>().ok());
        let response = match (request.method.as_str(), name) {
            ("GET", Some(name)) => self.get(kind, name),
            ("GET", None) => match number("watch") {
                Some(after) => self.watch(kind, after, number("wait_ms").unwrap_or(0)),
                None => self.list(kind),
            },
            ("POST" | "PUT", _) => self.write(kind, name, &String::from_utf8_lossy(&request.body)),
            ("DELETE", Some(name)) => self.delete(kind, name, number("revision")),
            _ => Response::new(400, "{}"),
        };
        response.with("Content-Type", "application/json")
    }

    fn get(&self, kind: &str, name: &str) -> Response {
        let key = (kind.to_owned(), name.to_owned());
        match self.state().objects.get(&key) {
            Some(object) => Response::new(200, encode(name, object)),
            None => Response::new(404, "{}"),
        }
    }

    fn list(&self, kind: &str) -> Response {
        let state = self.state();
        let objects = state.objects.iter().filter(|((it, _), _)| it == kind);
        let items: Vec<String> = objects.map(|((_, name), it)| encode(name, it)).collect();
        let body = format!(
            "{{\"items\":[{}],\"more\":false,\"current_rev\":{}}}",
            items.join(","),
            state.revision
        );
        Response::new(200, body)
    }

    fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> Response {
        let end = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.state();
        loop {
            let events = state.events(kind, after);
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"events\":[{}],\"current_rev\":{}}}",
                    events.join(","),
                    state.revision
                );
                return Response::new(200, body);
            }
            let waited = self.shared.1.wait_timeout(state, left);
            state = waited.expect("no panic under the lock").0;
        }
    }

    fn write(&self, kind: &str, name: Option<&str>, body: &str) -> Response {
        let meta = json::field(body, "meta").unwrap_or_default();
        let spec = json::field(body, "spec").unwrap_or_else(|| "null".to_owned());
        let own = json::text_field(&meta, "name").unwrap_or_default();
        let expected: Option<u64> = json::field(&meta, "revision").and_then(|it| it.parse().ok());
        let is_new = name.is_none();
        let name = name.map_or(own, str::to_owned);
        let mut state = self.state();
        let held = state.objects.get(&(kind.to_owned(), name.clone())).cloned();
        let response = match held {
            Some(held) if is_new || expected.is_some_and(|it| it != held.revision) => {
                Response::new(409, encode(&name, &held))
            }
            None if !is_new => Response::new(404, "{}"),
            Some(held) if held.spec == spec => Response::new(200, encode(&name, &held)),
            _ => {
                let object = state.put(kind, &name, &spec);
                Response::new(200, encode(&name, &object))
            }
        };
        drop(state);
        self.shared.1.notify_all();
        response
    }

    fn delete(&self, kind: &str, name: &str, expected: Option<u64>) -> Response {
        let mut state = self.state();
        let held = state.objects.get(&(kind.to_owned(), name.to_owned())).cloned();
        let response = match held {
            None => Response::new(404, "{}"),
            Some(held) if expected.is_some_and(|it| it != held.revision) => {
                Response::new(409, encode(name, &held))
            }
            Some(held) => {
                state.remove(kind, name);
                Response::new(200, encode(name, &held))
            }
        };
        drop(state);
        self.shared.1.notify_all();
        response
    }
}
