//! Replicas: engine hosts that form groups by orders, and plain replicas.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::io::{BufReader, ErrorKind, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Request, read_request, respond};
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

pub const ENGINE_SERVICE: &str = "huvo11a";
pub const PLAIN_SERVICE: &str = "wuno96b";

/// Models: name, members of a group, time to load, time to load from the host.
pub const MODELS: [(&str, usize, u64, u64); 2] =
    [("daka510000", 6, 16_000, 1_600), ("rada7437b5", 3, 12_000, 1_100)];

const AGAIN: Duration = Duration::from_millis(200);
const FORM: Duration = Duration::from_millis(300);
const STALL: Duration = Duration::from_millis(6_000);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const REPORT_LAG: Duration = Duration::from_millis(200);
const LISTING_DELAY: Duration = Duration::from_millis(15);
const LINGER: Duration = Duration::from_millis(3_500);

/// Time to the first event of a stream, between events, and their number.
const FIRST: Duration = Duration::from_millis(150);
const GAP: Duration = Duration::from_millis(40);
const EVENTS: usize = 25;

/// Work of a plain request.
const WORK: Duration = Duration::from_millis(30);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Joining,
    Ready,
    Open,
    Closing,
    Broken,
}

#[derive(Clone, Debug)]
pub struct Group {
    pub name: String,
    pub epoch: u64,
    pub model: String,
    pub members: Vec<String>,
    pub phase: Phase,
    until: Option<Instant>,
    stalled: Option<Instant>,
}

impl Group {
    fn is(&self, other: &Group) -> bool {
        self.name == other.name && self.epoch == other.epoch
    }

    fn serves(&self) -> bool {
        matches!(self.phase, Phase::Open | Phase::Closing)
    }
}

pub struct Host {
    id: String,
    service: String,
    domain: Option<usize>,
    zone: String,
    address: SocketAddr,
    born: u64,
    pub alive: bool,
    draining: Option<Instant>,
    pub group: Option<Group>,
    running: usize,
    seq: u64,
    fence: u64,
    epoch: u64,
    staged: Vec<String>,
    last: Option<String>,
    loading: Vec<(String, Instant)>,
    listed: String,
    pending: Option<(Instant, String)>,
    heard: Instant,
    beats: u64,
    lagged: VecDeque<(Instant, String)>,
}

#[derive(Default)]
struct Inner {
    hosts: BTreeMap<String, Host>,
    /// Members that were ready once.
    proven: HashSet<(String, String, u64, Vec<String>)>,
    runs: BTreeMap<String, usize>,
}

pub struct World {
    store: Arc<Store>,
    record: Arc<Record>,
    inner: Mutex<Inner>,
    count: AtomicU64,
    /// Whether loads take a tenth of their time, as they do before the first request.
    warm_start: Mutex<bool>,
}

fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as u64)
}

impl World {
    pub fn start(store: Arc<Store>, record: Arc<Record>) -> Arc<World> {
        let world = Arc::new(World {
            store,
            record,
            inner: Mutex::default(),
            count: AtomicU64::new(0),
            warm_start: Mutex::new(true),
        });
        let ticked = world.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                ticked.tick(Instant::now());
            }
        });
        world
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no panic under the lock")
    }

    /// Starts a replica, in the fabric domain `domain` if it can be a member of a group.
    pub fn add(self: &Arc<Self>, domain: Option<usize>, zone: &str) -> String {
        let service = if domain.is_some() { ENGINE_SERVICE } else { PLAIN_SERVICE };
        self.add_to(service, domain, zone)
    }

    /// Starts a replica of `service`.
    pub fn add_to(self: &Arc<Self>, service: &str, domain: Option<usize>, zone: &str) -> String {
        let number = self.count.fetch_add(1, Ordering::Relaxed);
        let id = format!("i-{:08x}", number.wrapping_mul(2_654_435_761) & 0xffff_ffff);
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let host = Host {
            id: id.clone(),
            service: service.to_owned(),
            domain,
            zone: zone.to_owned(),
            address,
            born: now_ms(),
            alive: true,
            draining: None,
            group: None,
            running: 0,
            seq: 0,
            fence: 0,
            epoch: 0,
            staged: Vec::new(),
            last: None,
            loading: Vec::new(),
            listed: String::new(),
            pending: None,
            heard: Instant::now(),
            beats: 0,
            lagged: VecDeque::new(),
        };
        self.inner().hosts.insert(id.clone(), host);
        self.record.note(format!("replica {id} starts at {address}"));
        self.listen(&id, listener);
        id
    }

    fn listen(self: &Arc<Self>, id: &str, listener: TcpListener) {
        let born = self.inner().hosts.get(id).map_or(0, |it| it.born);
        let (world, name) = (self.clone(), id.to_owned());
        listener.set_nonblocking(true).expect("a socket that doesn't block");
        thread::spawn(move || {
            while world.is_life(&name, born) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let (world, name) = (world.clone(), name.clone());
                        drop(stream.set_nonblocking(false));
                        thread::spawn(move || world.serve(&name, born, stream));
                    }
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {
                        thread::sleep(Duration::from_millis(2));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(20)),
                }
            }
        });
    }

    fn is_life(&self, id: &str, born: u64) -> bool {
        self.inner().hosts.get(id).is_some_and(|it| it.alive && it.born == born)
    }

    /// The first request comes: loads of weights take their whole time from now on.
    pub fn end_warm_start(&self) {
        *self.warm_start.lock().expect("no panic under the lock") = false;
    }

    fn is_alive(&self, id: &str) -> bool {
        self.inner().hosts.get(id).is_some_and(|it| it.alive)
    }

    /// Groups whose head serves and whose members are all there.
    pub fn serving(&self) -> usize {
        let inner = self.inner();
        let heads = inner.hosts.values().filter(|it| it.alive);
        heads
            .filter(|it| {
                it.group.as_ref().is_some_and(|group| {
                    group.phase == Phase::Open
                        && group.members.first() == Some(&it.id)
                        && group.stalled.is_none()
                })
            })
            .count()
    }

    /// How often each request ran.
    pub fn runs(&self) -> BTreeMap<String, usize> {
        self.inner().runs.clone()
    }

    fn serve(&self, id: &str, born: u64, mut stream: TcpStream) {
        drop(stream.set_nodelay(true));
        drop(stream.set_read_timeout(Some(Duration::from_secs(10))));
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        while let Ok(request) = read_request(&mut reader) {
            if !self.is_life(id, born) || !self.answer(id, &request, &mut stream) {
                return;
            }
        }
    }

    /// Answers a request. Returns whether the connection goes on.
    fn answer(&self, id: &str, request: &Request, stream: &mut TcpStream) -> bool {
        let expected = request.header("x-rhubarblatch-expect-replica");
        if expected.is_some_and(|it| it != id) {
            return respond(stream, 421, &[("X-Rhubarblatch-Replica", id)], b"").is_ok();
        }
        let json = [("content-type", "application/json")];
        match request.path.as_str() {
            "/v1/report" => {
                let report = self.inner().hosts.get(id).map(Host::lagged_report);
                respond(stream, 200, &json, report.unwrap_or_default().as_bytes()).is_ok()
            }
            "/v1/order" => {
                let body = std::str::from_utf8(&request.body).ok().and_then(Json::parse);
                let order = body.unwrap_or(Json::Null);
                let status = self.order(id, &order);
                respond(stream, status, &json, b"{}").is_ok()
            }
            "/healthz" => respond(stream, 200, &[("X-Rhubarblatch-Replica", id)], b"").is_ok(),
            _ if self.inner().hosts.get(id).is_some_and(|it| it.domain.is_some()) => {
                self.stream(id, request, stream)
            }
            _ => self.plain(id, request, stream),
        }
    }

    fn plain(&self, id: &str, request: &Request, stream: &mut TcpStream) -> bool {
        let Some(name) = request.header("x-rhubarblatch-request-id") else {
            return respond(stream, 400, &[("X-Rhubarblatch-Not-Run", "1")], b"").is_ok();
        };
        self.ran(id, name);
        thread::sleep(WORK);
        if !self.is_alive(id) {
            return false;
        }
        let headers =
            [("X-Rhubarblatch-Request-Id", name), ("X-Rhubarblatch-Replica-Stamp", "3e1b.07")];
        let body = format!("{name} by {id}");
        respond(stream, 200, &headers, body.as_bytes()).is_ok()
    }

    fn ran(&self, id: &str, name: &str) {
        self.record.note(format!("replica {id} runs {name}"));
        *self.inner().runs.entry(name.to_owned()).or_default() += 1;
    }

    fn stream(&self, id: &str, request: &Request, stream: &mut TcpStream) -> bool {
        let Some(name) = request.header("x-rhubarblatch-request-id") else {
            return respond(stream, 400, &[("X-Rhubarblatch-Not-Run", "1")], b"").is_ok();
        };
        let own = self.inner().hosts.get(id).and_then(|it| it.group.clone());
        let is_head = own.as_ref().is_some_and(|it| it.members.first().is_some_and(|it| it == id));
        let model = request.header("x-rhubarblatch-model").unwrap_or_default();
        let Some(group) = own.filter(|it| is_head && it.model == model) else {
            let headers = [("X-Rhubarblatch-Request-Id", name), ("At-Server", id)];
            return respond(stream, 421, &headers, b"").is_ok();
        };
        if group.phase != Phase::Open {
            let headers = [("X-Rhubarblatch-Request-Id", name), ("X-Rhubarblatch-Not-Run", "1")];
            return respond(stream, 503, &headers, b"").is_ok();
        }
        if let Some(host) = self.inner().hosts.get_mut(id) {
            host.running += 1;
        }
        let goes_on = self.events(id, name, request, &group, stream);
        if let Some(host) = self.inner().hosts.get_mut(id) {
            host.running = host.running.saturating_sub(1);
        }
        goes_on
    }

    fn events(
        &self,
        id: &str,
        name: &str,
        request: &Request,
        group: &Group,
        stream: &mut TcpStream,
    ) -> bool {
        if !self.wait(id, group, FIRST) {
            let headers = [("X-Rhubarblatch-Request-Id", name), ("X-Rhubarblatch-Not-Run", "1")];
            return respond(stream, 503, &headers, b"").is_ok();
        }
        self.judge_partial(id, name);
        self.ran(id, name);
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\nX-Rhubarblatch-Request-Id: {name}\r\nX-Rhubarblatch-Replica-Stamp: 3e1b.07\r\nX-Rhubarblatch-Weight-Versions: 1\r\n\r\n"
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        let from = request.header("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
        for event in from + 1..=EVENTS {
            if !self.wait(id, group, GAP) {
                return false;
            }
            let text = format!("id: {event}\ndata: word {event}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                self.record.note(format!(
                    "replica {id} finds the channel of {name} closed at event {event}"
                ));
                return false;
            }
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    }

    /// Works on a request for `time`. Returns false if the group ended meanwhile.
    fn wait(&self, id: &str, group: &Group, time: Duration) -> bool {
        let mut left = time;
        loop {
            let step = left.min(Duration::from_millis(20));
            thread::sleep(step);
            let inner = self.inner();
            let Some(host) = inner.hosts.get(id).filter(|it| it.alive) else { return false };
            let Some(own) = host.group.as_ref().filter(|it| it.is(group) && it.serves()) else {
                return false;
            };
            if own.stalled.is_none() {
                left = left.saturating_sub(step.max(Duration::from_millis(1)));
            }
            if left.is_zero() {
                return true;
            }
        }
    }

    /// PARTIAL: a request begins to run in a group without the size of its model, or with a member
    /// that was never ready under that name, epoch and list.
    fn judge_partial(&self, id: &str, request: &str) {
        let inner = self.inner();
        let Some(group) = inner.hosts.get(id).and_then(|it| it.group.as_ref()) else { return };
        let size = MODELS.iter().find(|it| it.0 == group.model).map_or(0, |it| it.1);
        let is_proven = |member: &String| {
            let Group { name, epoch, members, .. } = group;
            inner.proven.contains(&(member.clone(), name.clone(), *epoch, members.clone()))
        };
        if group.members.len() != size || !group.members.iter().all(is_proven) {
            self.record.broken("PARTIAL", format!("{id} runs {request} in {group:?}"));
        }
    }

    /// Carries an order out, and judges TWO: a replica takes a join of another group while the head
    /// of its group is open or closing, or stands still and isn't yet broken.
    fn order(&self, id: &str, order: &Json) -> u16 {
        let now = Instant::now();
        let is_quick = *self.warm_start.lock().expect("no panic under the lock");
        let mut inner = self.inner();
        let served = inner.hosts.get(id).and_then(|it| it.group.clone()).filter(|own| {
            let head = own.members.first().and_then(|it| inner.hosts.get(it));
            let head = head.filter(|it| it.alive).and_then(|it| it.group.as_ref());
            head.is_some_and(|it| it.is(own) && it.serves())
        });
        let Some(host) = inner.hosts.get_mut(id) else { return 503 };
        let status = host.order(now, order, is_quick);
        let is_join = order.get("op").text() == Some("join");
        drop(inner);
        self.record.note(format!("replica {id} order {status} {}", order.write()));
        if is_join
            && status == 202
            && let Some(served) = served
        {
            self.record.broken(
                "TWO",
                format!("{id} takes {} while this serves: {served:?}", order.write()),
            );
        }
        status
    }

    fn tick(&self, now: Instant) {
        let mut inner = self.inner();
        let ids: Vec<String> = inner.hosts.keys().cloned().collect();
        for id in ids {
            let intact = inner.hosts[&id].group.as_ref().is_none_or(|group| {
                group.members.iter().all(|it| {
                    let host = inner.hosts.get(it).filter(|it| it.alive);
                    host.and_then(|it| it.group.as_ref()).is_some_and(|it| it.is(group))
                })
            });
            let Some(host) = inner.hosts.get_mut(&id) else { continue };
            if !host.alive {
                let has_left = host.draining.is_some();
                if !host.listed.is_empty() && (has_left || now - host.heard > 3 * HEARTBEAT) {
                    host.listed.clear();
                    self.store.remove("servers", &id);
                }
                continue;
            }
            if host.draining.is_some_and(|it| now - it > LINGER) {
                host.alive = false;
                self.record.note(format!("replica {id} exits"));
                continue;
            }
            if host.grow(now, intact)
                && let Some(group) = host.group.clone()
            {
                let Group { name, epoch, members, .. } = group;
                inner.proven.insert((id.clone(), name, epoch, members));
            }
            let Some(host) = inner.hosts.get_mut(&id) else { continue };
            host.list(now, &self.store);
        }
    }
}

impl Host {
    fn order(&mut self, now: Instant, order: &Json, is_quick: bool) -> u16 {
        let fence = order.get("fence").number().unwrap_or(0);
        if fence < self.fence {
            return 412;
        }
        if order.get("expect").number().is_some_and(|it| it != self.seq) {
            return 409;
        }
        let status = match order.get("op").text().unwrap_or_default() {
            "join" => self.join(now, order, is_quick),
            "open" => self.open(now, order),
            "close" => self.close(order),
            "leave" => self.leave(order),
            "phase_kind" => self.stage(now, order, is_quick),
            _ => 400,
        };
        if status < 300 {
            self.fence = self.fence.max(fence);
        }
        self.seq += u64::from(status == 202);
        status
    }

    fn times(model: &str, is_quick: bool) -> (Duration, Duration) {
        let (load, warm) =
            MODELS.iter().find(|it| it.0 == model).map_or((1_000, 1_000), |it| (it.2, it.3));
        let load = if is_quick { load / 10 } else { load };
        (Duration::from_millis(load), Duration::from_millis(warm))
    }

    fn join(&mut self, now: Instant, order: &Json, is_quick: bool) -> u16 {
        let text = |it: &Json| it.text().unwrap_or_default().to_owned();
        let (name, model) = (text(order.get("group")), text(order.get("model")));
        let epoch = order.get("epoch").number().unwrap_or(0);
        let members: Vec<String> = order.get("members").list().iter().map(text).collect();
        if epoch < self.epoch {
            return 412;
        }
        if let Some(group) = self.group.as_ref().filter(|it| it.name == name && it.epoch == epoch) {
            return if group.members == members { 200 } else { 412 };
        }
        let (load, warm) = Host::times(&model, is_quick);
        let staging = self.loading.iter().find(|it| it.0 == model).map(|it| it.1);
        let until = if self.last.as_ref() == Some(&model) {
            now + AGAIN
        } else if self.staged.contains(&model) {
            now + warm
        } else {
            staging.map_or(now + load, |it| it + warm)
        };
        if !self.staged.contains(&model) && staging.is_none() && self.last.as_ref() != Some(&model)
        {
            self.loading.push((model.clone(), until));
        }
        self.epoch = epoch;
        self.group = Some(Group {
            name,
            epoch,
            model,
            members,
            phase: Phase::Joining,
            until: Some(until),
            stalled: None,
        });
        202
    }

    fn named(&mut self, order: &Json) -> Option<&mut Group> {
        let group = self.group.as_mut()?;
        let is_named = order.get("group").text() == Some(&group.name)
            && order.get("epoch").number() == Some(group.epoch);
        is_named.then_some(group)
    }

    fn open(&mut self, now: Instant, order: &Json) -> u16 {
        let id = self.id.clone();
        let Some(group) = self.named(order) else { return 409 };
        match (group.phase, group.until) {
            _ if group.members.first() != Some(&id) => 409,
            (Phase::Open, _) | (Phase::Ready, Some(_)) => 200,
            (Phase::Ready, None) => {
                group.until = Some(now + FORM);
                202
            }
            _ => 409,
        }
    }

    fn close(&mut self, order: &Json) -> u16 {
        let is_wait = order.get("mode").text() == Some("wait");
        let Some(group) = self.named(order) else { return 409 };
        match group.phase {
            Phase::Ready if group.until.is_none() => 200,
            Phase::Closing if is_wait => 200,
            Phase::Open | Phase::Closing => {
                group.phase = if is_wait { Phase::Closing } else { Phase::Ready };
                202
            }
            _ => 409,
        }
    }

    fn leave(&mut self, order: &Json) -> u16 {
        if self.named(order).is_none() {
            return 200;
        }
        self.group = None;
        202
    }

    fn stage(&mut self, now: Instant, order: &Json, is_quick: bool) -> u16 {
        let model = order.get("model").text().unwrap_or_default().to_owned();
        if self.staged.contains(&model) || self.loading.iter().any(|it| it.0 == model) {
            return 200;
        }
        let (load, _) = Host::times(&model, is_quick);
        self.loading.push((model, now + load));
        202
    }

    /// Lets time pass. Returns whether it became ready in its group.
    fn grow(&mut self, now: Instant, intact: bool) -> bool {
        let (done, rest) = self.loading.drain(..).partition(|it| it.1 <= now);
        self.loading = rest;
        let done: Vec<(String, Instant)> = done;
        self.staged.extend(done.into_iter().map(|it| it.0));
        let excess = self.staged.len().saturating_sub(1);
        self.staged.drain(..excess);
        let report = self.report();
        if self.lagged.back().is_none_or(|it| it.1 != report) {
            self.lagged.push_back((now, report));
        }
        while self.lagged.len() > 1 && now - self.lagged[1].0 >= REPORT_LAG {
            self.lagged.pop_front();
        }
        let running = self.running;
        let Some(group) = &mut self.group else { return false };
        if group.serves() && !intact {
            let since = *group.stalled.get_or_insert(now);
            if now - since >= STALL {
                group.phase = Phase::Broken;
            }
        } else {
            group.stalled = None;
        }
        if group.phase == Phase::Closing && running == 0 {
            group.phase = Phase::Ready;
        }
        if group.until.is_none_or(|it| it > now) {
            return false;
        }
        group.until = None;
        match group.phase {
            Phase::Joining => {
                group.phase = Phase::Ready;
                self.last = Some(group.model.clone());
                true
            }
            Phase::Ready => {
                group.phase = Phase::Open;
                false
            }
            _ => false,
        }
    }

    fn wire_group(&self) -> String {
        let Some(group) = &self.group else { return String::new() };
        let rank = group.members.iter().position(|it| *it == self.id).unwrap_or(0);
        let phase = format!("{:?}", group.phase).to_lowercase();
        format!(
            ",\"group\":{{\"name\":\"{}\",\"epoch\":{},\"rank\":{rank},\"phase\":\"{phase}\"}}",
            group.name, group.epoch
        )
    }

    fn models(&self) -> String {
        let models = self.last.iter();
        let models =
            models.map(|it| format!("{{\"name\":\"{it}\",\"version\":1,\"adapters\":[]}}"));
        models.collect::<Vec<_>>().join(",")
    }

    fn staged(&self) -> String {
        self.staged.iter().map(|it| format!("\"{it}\"")).collect::<Vec<_>>().join(",")
    }

    /// What it registers, without the count of its writes.
    fn listing(&self) -> String {
        let service = &self.service;
        let slots = if self.domain.is_some() { 26 } else { 6 };
        let phase = if self.draining.is_some() { "draining" } else { "ready" };
        let mut out = format!(
            "\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{slots},\"phase\":\"{phase}\",\"warmup_left_ms\":0,\"born\":{}",
            self.address, self.zone, self.born
        );
        if let Some(domain) = self.domain {
            out += &format!(
                ",\"phase_kind\":\"mixed\",\"domain\":{domain},\"models\":[{}],\"staged\":[{}]{}",
                self.models(),
                self.staged(),
                self.wire_group()
            );
        }
        out
    }

    fn report(&self) -> String {
        let busy = self.group.as_ref().is_some_and(|it| it.until.is_some());
        let busy = busy || !self.loading.is_empty();
        format!(
            "{{\"phase_kind\":\"mixed\",\"models\":[{}],\"busy\":{busy},\"seq\":{},\"queued\":0,\"running\":{},\"kv_used\":0,\"kv_total\":2470000,\"handles\":0,\"pace\":1.0,\"born\":{},\"domain\":{},\"staged\":[{}]{}}}",
            self.models(),
            self.seq,
            self.running,
            self.born,
            self.domain.unwrap_or(0),
            self.staged(),
            self.wire_group()
        )
    }

    fn lagged_report(&self) -> String {
        self.lagged.front().map_or_else(|| self.report(), |it| it.1.clone())
    }

    fn list(&mut self, now: Instant, store: &Store) {
        let listing = self.listing();
        if listing != self.listed && self.pending.is_none() {
            self.pending = Some((now + LISTING_DELAY, listing));
        }
        let is_due = self.pending.as_ref().is_some_and(|it| it.0 <= now);
        if is_due && let Some((_, listing)) = self.pending.take() {
            self.listed = listing;
            self.beat(now, store);
        } else if !self.listed.is_empty() && now - self.heard >= HEARTBEAT {
            self.beat(now, store);
        }
    }

    fn beat(&mut self, now: Instant, store: &Store) {
        self.heard = now;
        self.beats += 1;
        let spec = format!("{{{},\"seq\":{}}}", self.listed, self.beats);
        store.put("servers", &self.id, &spec);
    }
}
