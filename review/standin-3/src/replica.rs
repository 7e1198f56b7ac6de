//! Stand-in of a plain replica: one request at a time on a channel, with its identity in every answer.

use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{call, read_request, write_answer};
use crate::record::Record;
use crate::store::Store;

/// A request that began to run at a replica.
#[derive(Clone)]
pub struct Run {
    pub request: String,
    pub arrived: Instant,
    /// When its answer was written; absent if the replica ended before.
    pub ended: Option<Instant>,
}

pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    zone: String,
    /// Requests that it says it runs at once.
    slots: u32,
    work: Duration,
    born: u128,
    record: Arc<Record>,
    /// Requests in one second above which it crashes, and until when.
    endurance: (usize, Instant),
    has_exited: AtomicBool,
    runs: Mutex<Vec<Run>>,
    channels: Mutex<Vec<TcpStream>>,
}

impl Replica {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        work: Duration,
        record: &Arc<Record>,
    ) -> Arc<Replica> {
        Replica::start_with(id, (service, zone), work, 6, (usize::MAX, Duration::ZERO), record)
    }

    /// Starts a replica with `slots` that crashes if more requests than `endurance` reach it in one
    /// second while it is cold, for the time that comes with it.
    pub fn start_with(
        id: &str,
        (service, zone): (&str, &str),
        work: Duration,
        slots: u32,
        (endurance, cold): (usize, Duration),
        record: &Arc<Record>,
    ) -> Arc<Replica> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let replica = Arc::new(Replica {
            id: id.into(),
            address,
            service: service.into(),
            zone: zone.into(),
            slots,
            work,
            born: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .expect("a time after 1970")
                .as_millis(),
            record: record.clone(),
            endurance: (endurance, Instant::now() + cold),
            has_exited: AtomicBool::new(false),
            runs: Mutex::default(),
            channels: Mutex::default(),
        });
        let server = replica.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if server.has_exited() {
                    return;
                }
                if let Ok(channel) = stream.try_clone() {
                    server.channels.lock().expect("no panic while it was held").push(channel);
                }
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        replica
    }

    /// What the replica writes to the store about itself.
    pub fn spec(&self, phase: &str, seq: u64) -> String {
        self.spec_with(phase, seq, 0)
    }

    /// What the replica writes as it starts and is cold for `warmup_ms`.
    pub fn cold_spec(&self, warmup_ms: u64) -> String {
        self.spec_with("ready", 1, warmup_ms)
    }

    fn spec_with(&self, phase: &str, seq: u64, warmup_ms: u64) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"phase\":\"{phase}\",\"warmup_left_ms\":{warmup_ms},\"seq\":{seq},\"born\":{}}}",
            self.service, self.address, self.zone, self.slots, self.born
        )
    }

    /// Registers the replica as ready.
    pub fn register(&self, store: &Store) {
        store.put("servers", &self.id, &self.spec("ready", 1));
        self.record.note(format!("{}: the store has acknowledged that it is ready", self.id));
    }

    /// Reports that the replica drains. Returns when the store acknowledged that.
    pub fn drain(&self, store: &Store) -> Instant {
        let acked = store.put("servers", &self.id, &self.spec("draining", 2));
        self.record.note(format!("{}: the store has acknowledged that it drains", self.id));
        acked
    }

    /// Ends the replica: its listener and all its channels are closed, whatever it runs.
    pub fn exit(&self) {
        self.has_exited.store(true, Ordering::SeqCst);
        let _woken = TcpStream::connect(self.address);
        let channels = self.channels.lock().expect("no panic while it was held");
        channels.iter().for_each(|it| drop(it.shutdown(Shutdown::Both)));
        self.record.note(format!("{}: exits", self.id));
    }

    pub fn has_exited(&self) -> bool {
        self.has_exited.load(Ordering::SeqCst)
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("no panic while it was held").clone()
    }

    fn serve(&self, stream: TcpStream) {
        let _result = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            if self.has_exited() {
                return;
            }
            let id = request.header("X-Rhubarblatch-Request-Id").unwrap_or_default().to_owned();
            let expected = request.header("X-Rhubarblatch-Expect-Replica");
            let own = [("X-Rhubarblatch-Replica", self.id.as_str())];
            let written = if expected.is_some_and(|it| it != self.id) {
                write_answer(&mut writer, 421, &own, b"")
            } else if request.word(1) == "/healthz" {
                write_answer(&mut writer, 200, &own, b"")
            } else if request.word(1) == "/v1/report" {
                let body = format!("{{\"models\":[],\"seq\":0,\"born\":{}}}", self.born);
                write_answer(
                    &mut writer,
                    200,
                    &[("Content-Type", "application/json")],
                    body.as_bytes(),
                )
            } else if id.is_empty() {
                write_answer(&mut writer, 400, &[("X-Rhubarblatch-Not-Run", "1")], b"")
            } else {
                let index = self.begin(&id);
                thread::sleep(self.work);
                if self.has_exited() {
                    return;
                }
                self.runs.lock().expect("no panic while it was held")[index].ended =
                    Some(Instant::now());
                let stamp = format!("{}.{id}", self.id);
                let headers = [
                    ("X-Rhubarblatch-Request-Id", id.as_str()),
                    ("X-Rhubarblatch-Replica-Stamp", stamp.as_str()),
                ];
                write_answer(&mut writer, 200, &headers, format!("done {id}").as_bytes())
            };
            if written.is_err() {
                return;
            }
        }
    }

    fn begin(&self, request: &str) -> usize {
        self.record.note(format!("{}: begins to run {request}", self.id));
        let mut runs = self.runs.lock().expect("no panic while it was held");
        let now = Instant::now();
        runs.push(Run { request: request.into(), arrived: now, ended: None });
        let index = runs.len() - 1;
        let recent = runs.iter().rev().take_while(|it| now - it.arrived < Duration::from_secs(1));
        let (endurance, until) = self.endurance;
        let is_overrun = now < until && recent.count() > endurance;
        drop(runs);
        if is_overrun && !self.has_exited() {
            self.record.note(format!("{}: crashes", self.id));
            self.exit();
        }
        index
    }
}

/// One attempt of a caller.
#[derive(Clone)]
pub struct Attempt {
    pub request: String,
    pub sent: Instant,
    /// Status of the answer; 0 if the channel ended without a whole one.
    pub status: u16,
}

/// Sends one request on a new channel.
pub fn attempt(
    entry: SocketAddr,
    (method, path): (&str, &str),
    request: &str,
    deadline_ms: u64,
    record: &Record,
) -> Attempt {
    let deadline = deadline_ms.to_string();
    let headers = [
        ("Host", "shop.example"),
        ("X-Rhubarblatch-Request-Id", request),
        ("X-Rhubarblatch-Deadline-Ms", deadline.as_str()),
    ];
    let sent = Instant::now();
    record.note(format!("caller: sends {request} to {entry}"));
    let limit = Duration::from_millis(deadline_ms);
    let answer = call(entry, method, path, &headers, b"x", limit);
    let (status, why) = match &answer {
        Ok(answer) => (answer.status(), String::new()),
        Err(error) => (0, format!(" ({error})")),
    };
    record.note(format!("caller: {request} ends with {status}{why}"));
    Attempt { request: request.into(), sent, status }
}
