//! Stand-in of the platform's store: objects by kind and name, one revision counter, lists and watches.
//!
//! It is sound, but that it can lose the answer to one watch: that channel then returns nothing further.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{read_request, write_answer, Message};
use crate::json::Json;
use crate::record::Record;

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: Json,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Changes: revision, kind, object as JSON, and whether it is gone.
    events: Vec<(u64, String, String, bool)>,
    /// A watch of this kind that would answer with this name loses its answer, once.
    lose: Option<(String, String)>,
    /// When an answer was lost.
    lost_at: Option<Instant>,
}

pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    record: Arc<Record>,
}

/// What to send: a status and a body; `None` loses the answer.
type Answer = Option<(u16, String)>;

impl Store {
    pub fn start(record: Arc<Record>) -> Arc<Store> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = State { revision: 100, ..State::default() };
        let store =
            Arc::new(Store { address, state: Mutex::new(state), changed: Condvar::new(), record });
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        store
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic while it was held")
    }

    /// Writes an object, as the operator and the replicas do. Returns when it was acknowledged.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> Instant {
        let spec = Json::parse(spec).expect("valid JSON");
        let mut state = self.state();
        state.write(kind, name, spec);
        drop(state);
        self.changed.notify_all();
        Instant::now()
    }

    /// Removes an object. Returns when that was acknowledged.
    pub fn remove(&self, kind: &str, name: &str) -> Instant {
        let mut state = self.state();
        state.delete(kind, name);
        drop(state);
        self.changed.notify_all();
        Instant::now()
    }

    /// Loses the answer to the next watch of `kind` that tells of `name`.
    pub fn lose_answer(&self, kind: &str, name: &str) {
        self.state().lose = Some((kind.into(), name.into()));
    }

    pub fn lost_at(&self) -> Option<Instant> {
        self.state().lost_at
    }

    fn serve(&self, stream: TcpStream) {
        let _result = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            let Some((status, body)) = self.answer(&request) else {
                // The channel stays open and returns nothing further.
                while let Ok(Some(_)) = read_request(&mut reader) {}
                return;
            };
            let headers = [("Content-Type", "application/json")];
            if write_answer(&mut writer, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Answer {
        let target = request.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|it| it.split_once('=')).collect();
        let mut parts = path.trim_start_matches("/v1/objects/").split('/');
        let kind = parts.next().unwrap_or_default();
        let name = parts.next().map(decode);
        if !path.starts_with("/v1/objects/") || kind.is_empty() {
            return Some((404, "{}".into()));
        }
        match (request.word(0), name.clone()) {
            ("GET", None) if query.contains_key("watch") => self.watch(kind, &query),
            ("GET", None) => Some(self.list(kind, query.get("after").map(|it| decode(it)))),
            ("GET", Some(name)) => Some(match self.state().object(kind, &name) {
                Some(object) => (200, object),
                None => (404, "{}".into()),
            }),
            ("POST", None) | ("PUT", Some(_)) => Some(self.change(kind, name.as_deref(), request)),
            ("DELETE", Some(name)) => {
                Some(self.delete(kind, &name, query.get("revision").copied()))
            }
            _ => Some((404, "{}".into())),
        }
    }

    fn list(&self, kind: &str, after: Option<String>) -> (u16, String) {
        let state = self.state();
        let names = state.objects.keys().filter(|(it, _)| it == kind).map(|(_, name)| name);
        let names = names.filter(|it| after.as_ref().is_none_or(|after| *it > after));
        let items: Vec<String> = names.filter_map(|it| state.object(kind, it)).collect();
        let body = format!(
            "{{\"items\":[{}],\"more\":false,\"current_rev\":{}}}",
            items.join(","),
            state.revision
        );
        (200, body)
    }

    fn watch(&self, kind: &str, query: &BTreeMap<&str, &str>) -> Answer {
        let since: u64 = query["watch"].parse().unwrap_or(0);
        let wait = query.get("wait_ms").and_then(|it| it.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state();
        loop {
            let news: Vec<_> =
                state.events.iter().filter(|it| it.0 > since && it.1 == kind).cloned().collect();
            let left = until.saturating_duration_since(Instant::now());
            if news.is_empty() && !left.is_zero() {
                let waited = self.changed.wait_timeout(state, left);
                state = waited.expect("no panic while it was held").0;
                continue;
            }
            let is_lost = state.lose.as_ref().is_some_and(|(lost, name)| {
                let name = format!("\"name\":\"{name}\"");
                lost == kind && news.iter().any(|it| it.2.contains(&name))
            });
            if is_lost {
                state.lose = None;
                state.lost_at = Some(Instant::now());
                self.record.note(format!("store: loses the answer to a watch of {kind}"));
                return None;
            }
            let events: Vec<String> = news
                .iter()
                .map(|it| format!("{{\"tombstone\":{},\"object\":{}}}", it.3, it.2))
                .collect();
            let body =
                format!("{{\"events\":[{}],\"current_rev\":{}}}", events.join(","), state.revision);
            return Some((200, body));
        }
    }

    fn change(&self, kind: &str, name: Option<&str>, request: &Message) -> (u16, String) {
        let Some(body) = Json::parse(&String::from_utf8_lossy(&request.body)) else {
            return (400, "{}".into());
        };
        let meta = body.get("meta").cloned().unwrap_or(Json::Null);
        let is_new = name.is_none();
        let Some(name) = name.or_else(|| meta.get("name").and_then(Json::text)) else {
            return (400, "{}".into());
        };
        let mut state = self.state();
        let known = state.objects.get(&(kind.to_owned(), name.to_owned())).map(|it| it.revision);
        let expected = meta.get("revision").and_then(Json::number);
        match known {
            Some(_) if is_new => return (409, state.object(kind, name).unwrap_or_default()),
            Some(known) if expected.is_some_and(|it| it != known) => {
                return (409, state.object(kind, name).unwrap_or_default());
            }
            None if !is_new => return (404, "{}".into()),
            _ => {}
        }
        state.write(kind, name, body.get("spec").cloned().unwrap_or(Json::Null));
        let object = state.object(kind, name).unwrap_or_default();
        drop(state);
        self.changed.notify_all();
        (200, object)
    }

    fn delete(&self, kind: &str, name: &str, expected: Option<&str>) -> (u16, String) {
        let mut state = self.state();
        let Some(known) = state.objects.get(&(kind.to_owned(), name.to_owned())) else {
            return (404, "{}".into());
        };
        if expected.is_some_and(|it| it != known.revision.to_string()) {
            return (409, state.object(kind, name).unwrap_or_default());
        }
        state.delete(kind, name);
        drop(state);
        self.changed.notify_all();
        (200, "{}".into())
    }
}

impl State {
    fn object(&self, kind: &str, name: &str) -> Option<String> {
        let object = self.objects.get(&(kind.to_owned(), name.to_owned()))?;
        Some(encode(name, object))
    }

    fn write(&mut self, kind: &str, name: &str, spec: Json) {
        let key = (kind.to_owned(), name.to_owned());
        // A write that changes nothing does not increase the revision.
        if self.objects.get(&key).is_some_and(|it| it.spec == spec) {
            return;
        }
        self.revision += 1;
        let created = self.objects.get(&key).map_or(self.revision, |it| it.created);
        let object = Object { revision: self.revision, created, spec };
        self.events.push((self.revision, kind.into(), encode(name, &object), false));
        self.objects.insert(key, object);
    }

    fn delete(&mut self, kind: &str, name: &str) {
        let Some(mut object) = self.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return;
        };
        self.revision += 1;
        object.revision = self.revision;
        self.events.push((self.revision, kind.into(), encode(name, &object), true));
    }
}

fn encode(name: &str, object: &Object) -> String {
    let Object { revision, created, spec } = object;
    format!(
        "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":{created},\
         \"finalizers\":[],\"deleting\":false}},\"spec\":{},\"status\":null}}",
        spec.write()
    )
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        let code = tail.get(..2).and_then(|it| std::str::from_utf8(it).ok());
        let code = code.and_then(|it| u8::from_str_radix(it, 16).ok());
        match (first, code) {
            (b'%', Some(code)) => {
                bytes.push(code);
                rest = &tail[2..];
            }
            _ => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
