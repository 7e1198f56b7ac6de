//! The platform's store: objects by kind and name, watches, conditional writes.

use std::collections::{BTreeMap, VecDeque};
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Request, read_request, respond};
use crate::json::Json;

/// Time that a response takes.
const DELAY: Duration = Duration::from_millis(4);

/// Time for which changes are kept.
const HISTORY: Duration = Duration::from_secs(20);

/// Objects in one part of a list.
const PAGE: usize = 500;

type Key = (String, String);

struct Change {
    revision: u64,
    at: Instant,
    kind: String,
    tombstone: bool,
    object: Arc<str>,
}

#[derive(Default)]
struct State {
    revision: u64,
    /// Revision, time of creation and `spec` of each object.
    objects: BTreeMap<Key, (u64, u64, Arc<str>)>,
    history: VecDeque<Change>,
    forgotten: u64,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

fn object(name: &str, revision: u64, created: u64, spec: &str) -> Arc<str> {
    let meta = format!(
        "{{\"name\":\"{name}\",\"revision\":{revision},\"created\":{created},\"finalizers\":[],\"deleting\":false}}"
    );
    format!("{{\"meta\":{meta},\"spec\":{spec},\"status\":null}}").into()
}

impl State {
    fn note(&mut self, kind: &str, tombstone: bool, object: Arc<str>) {
        let now = Instant::now();
        let revision = self.revision;
        self.history.push_back(Change {
            revision,
            at: now,
            kind: kind.to_owned(),
            tombstone,
            object,
        });
        while self.history.front().is_some_and(|it| now - it.at > HISTORY) {
            self.forgotten = self.history.pop_front().map_or(0, |it| it.revision);
        }
    }

    fn put(&mut self, kind: &str, name: &str, spec: &str) {
        let key = (kind.to_owned(), name.to_owned());
        let before = self.objects.get(&key);
        if before.is_some_and(|it| &*it.2 == spec) {
            return;
        }
        let created = before.map_or(self.revision + 1, |it| it.1);
        self.revision += 1;
        let (revision, spec) = (self.revision, Arc::from(spec));
        self.note(kind, false, object(name, revision, created, &spec));
        self.objects.insert(key, (revision, created, spec));
    }

    fn remove(&mut self, kind: &str, name: &str) {
        let key = (kind.to_owned(), name.to_owned());
        if let Some((_, created, spec)) = self.objects.remove(&key) {
            self.revision += 1;
            let object = object(name, self.revision, created, &spec);
            self.note(kind, true, object);
        }
    }
}

impl Store {
    pub fn start() -> (Arc<Store>, SocketAddr) {
        let store = Arc::new(Store::default());
        store.state().revision = 7;
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        (store, address)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic under the lock")
    }

    /// Writes an object as the operator or a replica does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.state().put(kind, name, spec);
        self.changed.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        self.state().remove(kind, name);
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        drop(stream.set_nodelay(true));
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        while let Ok(request) = read_request(&mut reader) {
            thread::sleep(DELAY);
            let (status, body) = self.answer(&request);
            let headers = [("content-type", "application/json")];
            if respond(&mut stream, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let path = request.path.strip_prefix("/v1/objects/").unwrap_or_default();
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        match (request.method.as_str(), name) {
            ("GET", "") => match request.parameter("watch").and_then(|it| it.parse().ok()) {
                Some(since) => {
                    let wait = request.parameter("wait_ms").and_then(|it| it.parse().ok());
                    self.watch(kind, since, Duration::from_millis(wait.unwrap_or(0)))
                }
                None => self.list(kind, request.parameter("after").unwrap_or_default()),
            },
            ("GET", name) => {
                let key = (kind.to_owned(), name.to_owned());
                match self.state().objects.get(&key) {
                    Some((revision, created, spec)) => {
                        (200, object(name, *revision, *created, spec).to_string())
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            _ => self.write(request, kind, name),
        }
    }

    fn list(&self, kind: &str, after: &str) -> (u16, String) {
        let state = self.state();
        let from = (kind.to_owned(), after.to_owned());
        let mut items = Vec::new();
        let mut more = false;
        for ((_, name), (revision, created, spec)) in state
            .objects
            .range(from..)
            .take_while(|it| it.0.0 == kind)
            .filter(|it| it.0.1 != after || after.is_empty())
        {
            if items.len() == PAGE {
                more = true;
                break;
            }
            items.push(object(name, *revision, *created, spec));
        }
        let body = format!(
            "{{\"items\":[{}],\"more\":{more},\"current_rev\":{}}}",
            items.join(","),
            state.revision
        );
        (200, body)
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> (u16, String) {
        let end = Instant::now() + wait;
        let mut state = self.state();
        loop {
            if since < state.forgotten {
                return (410, "{}".to_owned());
            }
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|it| it.kind == kind && it.revision > since)
                .map(|it| format!("{{\"tombstone\":{},\"object\":{}}}", it.tombstone, it.object))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                let revision = state.revision;
                return (200, format!("{{\"events\":[{events}],\"current_rev\":{revision}}}"));
            }
            state = self.changed.wait_timeout(state, left).expect("no panic under the lock").0;
        }
    }

    fn write(&self, request: &Request, kind: &str, name: &str) -> (u16, String) {
        let body = std::str::from_utf8(&request.body).ok().and_then(Json::parse);
        let body = body.unwrap_or(Json::Null);
        let meta = body.get("meta");
        let name = if name.is_empty() { meta.get("name").text().unwrap_or_default() } else { name };
        let key = (kind.to_owned(), name.to_owned());
        let mut state = self.state();
        let stored = state.objects.get(&key).cloned();
        let shown = |it: &(u64, u64, Arc<str>)| object(name, it.0, it.1, &it.2).to_string();
        let condition = meta.get("revision").number();
        let condition = condition.or(request.parameter("revision").and_then(|it| it.parse().ok()));
        match (request.method.as_str(), &stored) {
            ("POST", Some(stored)) => return (409, shown(stored)),
            ("PUT" | "DELETE", None) => return (404, "{}".to_owned()),
            ("PUT" | "DELETE", Some(stored)) if condition.is_some_and(|it| it != stored.0) => {
                return (409, shown(stored));
            }
            _ => {}
        }
        if request.method == "DELETE" {
            state.remove(kind, name);
        } else {
            state.put(kind, name, &body.get("spec").write());
        }
        let after = state.objects.get(&key).map_or("{}".to_owned(), shown);
        drop(state);
        self.changed.notify_all();
        (200, after)
    }
}
