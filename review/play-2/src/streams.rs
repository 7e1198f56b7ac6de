//! A replica of a service whose answers are streams of events.

use std::collections::HashSet;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::store::Store;
use crate::world::Record;

/// Events of a stream, and the time before each.
#[derive(Clone, Copy)]
pub struct Pace {
    pub events: usize,
    pub pause: Duration,
}

#[derive(Clone)]
struct Shared {
    alive: Arc<AtomicBool>,
    running: Arc<AtomicUsize>,
    ran: Arc<Mutex<HashSet<String>>>,
}

/// A replica that streams events. A crash ends its channels and closes its port.
pub struct Replica {
    pub id: String,
    address: SocketAddr,
    alive: Arc<AtomicBool>,
    /// Requests at work.
    pub running: Arc<AtomicUsize>,
    /// Requests that it began to run.
    pub ran: Arc<Mutex<HashSet<String>>>,
}

impl Replica {
    pub fn start(id: &str, pace: Pace, record: &Record) -> std::io::Result<Replica> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let alive = Arc::new(AtomicBool::new(true));
        let running = Arc::new(AtomicUsize::new(0));
        let ran: Arc<Mutex<HashSet<String>>> = Arc::default();
        let shared = Shared { alive: alive.clone(), running: running.clone(), ran: ran.clone() };
        let (own, record) = (id.to_owned(), record.clone());
        thread::spawn(move || {
            while shared.alive.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let (own, record) = (own.clone(), record.clone());
                let shared = shared.clone();
                thread::spawn(move || {
                    let ended = stream.try_clone();
                    drop(serve(stream, &own, pace, &record, &shared));
                    drop(ended.map(|it| it.shutdown(Shutdown::Both)));
                });
            }
        });
        Ok(Replica { id: id.to_owned(), address, alive, running, ran })
    }

    /// Registers the replica in the store.
    pub fn register(&self, store: &Store, born: u64) {
        let spec = format!(
            "{{\"service\":\"help\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\
             \"slots\":16,\"phase\":\"ready\",\"warmup_left_ms\":0,\"seq\":1,\"born\":{born}}}",
            self.address
        );
        store.put("servers", &self.id, &spec);
    }

    /// Ends its channels, and closes its port.
    pub fn crash(&self) {
        self.alive.store(false, Ordering::SeqCst);
    }
}

fn serve(
    stream: TcpStream,
    own: &str,
    pace: Pace,
    record: &Record,
    shared: &Shared,
) -> std::io::Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(20)))?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    loop {
        let Some(head) = read_head(&mut reader, &shared.alive) else { return Ok(()) };
        let value = |name: &str| {
            let lines = head.iter().filter_map(|it| it.split_once(':'));
            let mut found = lines.filter(|(it, _)| it.eq_ignore_ascii_case(name));
            found.next().map(|(_, it)| it.trim().to_owned())
        };
        let Some(id) = value("x-rhubarblatch-request-id") else {
            stream.write_all(b"HTTP/1.1 404 Answer\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        };
        if value("x-rhubarblatch-expect-replica").is_some_and(|it| it != own) {
            stream.write_all(b"HTTP/1.1 421 Answer\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        }
        let after: usize = value("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
        record.note(&format!("run {id} at {own} after event {after}"));
        shared.ran.lock().expect("no panic under the lock").insert(id.clone());
        shared.running.fetch_add(1, Ordering::SeqCst);
        let written = write_events(&mut stream, &id, after, pace, &shared.alive);
        shared.running.fetch_sub(1, Ordering::SeqCst);
        if !written? {
            record.note(&format!("run {id} at {own} is cut off by the crash"));
            return Ok(());
        }
    }
}

/// Returns the lines of a head without a body, or `None` at the end of the channel or a crash.
fn read_head(reader: &mut impl BufRead, alive: &AtomicBool) -> Option<Vec<String>> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        if !alive.load(Ordering::SeqCst) {
            return None;
        }
        let mut byte = [0];
        match reader.read(&mut byte) {
            Ok(0) => return None,
            Ok(_) => bytes.push(byte[0]),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return None,
        }
    }
    Some(String::from_utf8_lossy(&bytes).lines().map(str::to_owned).collect())
}

/// Returns false if the replica crashed in between.
fn write_events(
    stream: &mut TcpStream,
    id: &str,
    after: usize,
    pace: Pace,
    alive: &AtomicBool,
) -> std::io::Result<bool> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Rhubarblatch-Request-Id: {id}\r\n\
         X-Rhubarblatch-Replica-Stamp: 3e1b.07\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    for number in after + 1..=pace.events {
        thread::sleep(pace.pause);
        if !alive.load(Ordering::SeqCst) {
            return Ok(false);
        }
        let event = format!("id: {number}\ndata: piece {number}\n\n");
        stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
    }
    stream.write_all(b"0\r\n\r\n")?;
    Ok(true)
}
