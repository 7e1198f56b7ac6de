//! LOST: streams are taken from a sound replica whose events come each 60 ms, and are cut as the
//! other replica has crashed.

use std::collections::{HashSet, VecDeque};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::store::Store;
use crate::streams::{Pace, Replica};
use crate::world::{Entry, Record};

/// A stream has an event each 60 ms, where the route allows pauses of 250 ms.
const PACE: Pace = Pace { events: 20, pause: Duration::from_millis(60) };

/// Time for which a replica is down: `for_s` of `srv_crash` in the site file is up to 8 s.
const DOWN: Duration = Duration::from_millis(8_000);

/// Time after which the entry of a silent replica is removed: three intervals of `heartbeat_ms`.
const EXPIRY: Duration = Duration::from_millis(3_600);

/// How often a replica crashes.
const TIMES: u64 = 7;

/// Channels that the consumer keeps and uses in turn. None is idle for long.
const CHANNELS: usize = 5;

/// Start of the first replicas.
const BORN: u64 = 1_764_979_200_000;

const CONFIG: &str = "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"hostname\":\"help.example\",\
    \"path_prefix\":\"/help/\",\"type\":\"stream\",\"timeout_ms\":8000,\"goal_ms\":400,\
    \"priority\":1,\"service\":\"help\",\"attempts\":2,\"public\":true,\"affinity\":true,\
    \"resumable\":true,\"itl_target_ms\":250}],\"services\":[{\"name\":\"help\",\
    \"health_path\":\"/healthz\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false,\
    \"warmup_s\":0.0,\"warmup_per_s\":0.0}],\"limits\":{\"max_header_bytes\":16384,\
    \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\
    \"tenants\":[]}";

/// What became of the requests.
#[derive(Clone, Debug, Default)]
struct Count {
    whole: usize,
    refused: usize,
    /// Streams on a kept channel that began and ended without their last event.
    cut: Vec<String>,
    other: usize,
}

pub fn play(
    program: &Path,
    folder: &Path,
    record: &Path,
    has_trouble: bool,
) -> std::io::Result<usize> {
    let record = Record::new(record)?;
    let (store, address) = Store::start()?;
    store.put("config", "main", CONFIG);
    let sound = Replica::start("i-sound", PACE, &record)?;
    sound.register(&store, BORN);
    let mut other = Replica::start("i-0", PACE, &record)?;
    other.register(&store, BORN);
    let mut others = vec![other.ran.clone()];
    let entry = Entry::start(program, folder, address)?;
    if !entry.wait_until_ready() {
        return Err(std::io::Error::other("the entry is not ready"));
    }
    thread::sleep(Duration::from_secs(4));
    let done = Arc::new(AtomicBool::new(false));
    let count: Arc<Mutex<Count>> = Arc::default();
    let is_down = Arc::new(AtomicBool::new(false));
    let consumer = {
        let (done, is_down, count, record) =
            (done.clone(), is_down.clone(), count.clone(), record.clone());
        let address = entry.callers;
        thread::spawn(move || consume(address, &done, &is_down, &count, &record))
    };
    thread::sleep(Duration::from_secs(8));
    for time in 1..=TIMES {
        if has_trouble {
            record.note(&format!("{} crashes", other.id));
            other.crash();
            is_down.store(true, Ordering::SeqCst);
            thread::sleep(EXPIRY);
            store.remove("servers", &other.id);
            record.note(&format!("the entry of {} has expired", other.id));
            is_down.store(false, Ordering::SeqCst);
            thread::sleep(DOWN - EXPIRY);
            other = Replica::start(&format!("i-{time}"), PACE, &record)?;
            other.register(&store, BORN + time);
            others.push(other.ran.clone());
            record.note(&format!("{} has started", other.id));
        } else {
            thread::sleep(DOWN);
        }
        thread::sleep(Duration::from_secs(4));
    }
    done.store(true, Ordering::SeqCst);
    drop(consumer.join());
    let count = count.lock().expect("no panic under the lock").clone();
    record.note(&format!("{count:?}"));
    if count.whole < 10 {
        return Err(std::io::Error::other("too few requests were answered"));
    }
    // Only those count that the sound replica was at work on, and that no other began to run.
    let sound = sound.ran.lock().expect("no panic under the lock").clone();
    let others = others.iter().map(|it| it.lock().expect("no panic under the lock").clone());
    let others: HashSet<String> = others.flatten().collect();
    let lost = count.cut.iter().filter(|it| sound.contains(*it) && !others.contains(*it)).count();
    record.note(&format!("LOST: {lost} streams of the sound replica were cut"));
    // LOST allows three.
    Ok(if lost > 3 { lost } else { 0 })
}

/// A channel that the consumer keeps for several requests.
struct Channel {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
    /// Whether a request on it was answered.
    is_kept: bool,
}

impl Channel {
    fn open(entry: SocketAddr) -> std::io::Result<Channel> {
        let stream = TcpStream::connect(entry)?;
        stream.set_read_timeout(Some(Duration::from_secs(8)))?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Channel { stream, reader, is_kept: false })
    }
}

/// Sends one request after the other, on kept channels in turn. New ones are opened while no replica
/// is down, so that those cut are channels that have been kept.
fn consume(
    entry: SocketAddr,
    done: &AtomicBool,
    is_down: &AtomicBool,
    count: &Mutex<Count>,
    record: &Record,
) {
    let mut channels: VecDeque<Channel> = VecDeque::new();
    let mut number = 0;
    while !done.load(Ordering::SeqCst) {
        let is_new =
            channels.is_empty() || (channels.len() < CHANNELS && !is_down.load(Ordering::SeqCst));
        let channel = if is_new { Channel::open(entry).ok() } else { channels.pop_front() };
        let Some(mut channel) = channel else { continue };
        number += 1;
        let id = format!("{number}");
        record.note(&format!("send {id} on a {} channel", if is_new { "new" } else { "kept" }));
        let answer = ask(&mut channel.stream, &mut channel.reader, &id);
        record.note(&format!("answer {id}: status and whether it is whole: {answer:?}"));
        let mut count = count.lock().expect("no panic under the lock");
        match answer {
            Some((200, true)) => count.whole += 1,
            Some((200, false)) if channel.is_kept => count.cut.push(id),
            Some((503, _)) => count.refused += 1,
            _ => count.other += 1,
        }
        drop(count);
        if matches!(answer, Some((200, true))) {
            channel.is_kept = true;
            channels.push_back(channel);
        }
        thread::sleep(Duration::from_millis(30));
    }
}

/// Returns the status of an answer, and whether it came with its last event and its end.
fn ask(stream: &mut TcpStream, reader: &mut BufReader<TcpStream>, id: &str) -> Option<(u16, bool)> {
    let head = format!(
        "GET /help/2f HTTP/1.1\r\nHost: help.example\r\nX-Rhubarblatch-Request-Id: {id}\r\n\
         X-Rhubarblatch-Deadline-Ms: 8000\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).ok()?;
    let mut first = String::new();
    reader.read_line(&mut first).ok().filter(|it| *it > 0)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|it| *it > 0)?;
        if line.trim_end().is_empty() {
            break;
        }
    }
    if status != 200 {
        return Some((status, false));
    }
    let mut body = String::new();
    loop {
        let mut line = String::new();
        let Some(size) = reader.read_line(&mut line).ok().filter(|it| *it > 0) else {
            return Some((status, false));
        };
        let _ = size;
        let Ok(size) = usize::from_str_radix(line.trim_end(), 16) else {
            return Some((status, false));
        };
        let mut chunk = vec![0; size + 2];
        if reader.read_exact(&mut chunk).is_err() {
            return Some((status, false));
        }
        if size == 0 {
            return Some((status, body.contains(&format!("id: {}\n", PACE.events))));
        }
        body.push_str(&String::from_utf8_lossy(&chunk[..size]));
    }
}
