//! RECOVER: the three replicas of a service crash one after the other, and the service stays
//! refused after they are back.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::store::Store;
use crate::streams::{Pace, Replica};
use crate::world::{Entry, Record};

/// Events of a stream, and the time between two of them.
const EVENTS: usize = 90;
const PACE: Pace = Pace { events: EVENTS, pause: Duration::from_millis(15) };

/// Time from the first events of the streams to the first crash, and between two crashes.
const FIRST_CRASH: Duration = Duration::from_millis(300);
const CRASH_GAP: Duration = Duration::from_millis(300);

/// Time for which a replica is down: `for_s` of `srv_crash` in the site file.
const DOWN: Duration = Duration::from_millis(4_500);

/// Time for which the process of the entry is down at the final fault: up to 1.5 s in the site file.
const ENTRY_DOWN: Duration = Duration::from_millis(1_000);

/// `recovery_s` of the site.
const RECOVERY: Duration = Duration::from_secs(12);

const REPLICAS: usize = 3;

/// Requests at work as the first replica crashes.
const AT_WORK: usize = 6;

const CONFIG: &str = "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"hostname\":\"help.example\",\
    \"path_prefix\":\"/help/\",\"type\":\"stream\",\"timeout_ms\":8000,\"goal_ms\":400,\
    \"priority\":1,\"service\":\"help\",\"attempts\":2,\"public\":true,\"affinity\":true,\
    \"resumable\":true,\"itl_target_ms\":250}],\"services\":[{\"name\":\"help\",\
    \"health_path\":\"/healthz\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false,\
    \"warmup_s\":0.0,\"warmup_per_s\":0.0}],\"limits\":{\"max_header_bytes\":16384,\
    \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\
    \"tenants\":[]}";

/// Counts of requests and of whole answers.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    sent: usize,
    served: usize,
}

/// Sends one request and reads its answer. Each has a part of its own after the one that all share.
fn ask(entry: SocketAddr, id: &str, number: usize, record: &Record) -> bool {
    record.note(&format!("send {id}"));
    let answer = answer_of(entry, id, number);
    match &answer {
        Ok((status, is_whole)) => {
            let how = if *is_whole { "whole" } else { "not whole" };
            record.note(&format!("answer {id}: {status}, {how}"));
        }
        Err(error) => record.note(&format!("no answer {id}: {error}")),
    }
    answer.is_ok_and(|(status, is_whole)| status == 200 && is_whole)
}

fn answer_of(entry: SocketAddr, id: &str, number: usize) -> std::io::Result<(u16, bool)> {
    let mut stream = TcpStream::connect_timeout(&entry, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(8)))?;
    let head = format!(
        "GET /help/2f HTTP/1.1\r\nHost: help.example\r\nX-Rhubarblatch-Request-Id: {id}\r\n\
         X-Rhubarblatch-Model: m0\r\nX-Rhubarblatch-Token-Count: 1460,180\r\n\
         X-Rhubarblatch-Prompt-Prefix: 5c1e07a2:40,{number:08x}:1420\r\n\
         X-Rhubarblatch-Deadline-Ms: 8000\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let mut bytes = Vec::new();
    // A reset after the answer is told by its missing end.
    drop(stream.read_to_end(&mut bytes));
    let text = String::from_utf8_lossy(&bytes);
    let status = text.split(' ').nth(1).and_then(|it| it.parse().ok());
    let status = status.ok_or_else(|| std::io::Error::other("no answer"))?;
    let is_whole = text.contains(&format!("id: {EVENTS}\n")) && text.ends_with("0\r\n\r\n");
    Ok((status, is_whole))
}

/// Sends requests for some time, one after the other by each of three consumers.
fn consume(entry: SocketAddr, name: &str, time: Duration, record: &Record) -> Count {
    let end = std::time::Instant::now() + time;
    let consumers: Vec<_> = (0..3)
        .map(|consumer| {
            let (name, record) = (name.to_owned(), record.clone());
            thread::spawn(move || {
                let mut count = Count::default();
                while std::time::Instant::now() < end {
                    let number = count.sent * 16 + consumer + name.len() * 4_096;
                    count.sent += 1;
                    let id = format!("{name}-{consumer}-{}", count.sent);
                    count.served += usize::from(ask(entry, &id, number, &record));
                    thread::sleep(Duration::from_millis(200));
                }
                count
            })
        })
        .collect();
    let mut total = Count::default();
    for count in consumers.into_iter().flat_map(thread::JoinHandle::join) {
        total.sent += count.sent;
        total.served += count.served;
    }
    total
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
    let mut replicas = Vec::new();
    for number in 0..REPLICAS {
        let replica = Replica::start(&format!("i-{number}"), PACE, &record)?;
        replica.register(&store, 1_764_979_200_000 + number as u64);
        replicas.push(replica);
    }
    let mut entry = Entry::start(program, folder, address)?;
    if !entry.wait_until_ready() {
        return Err(std::io::Error::other("the entry is not ready"));
    }
    let mut before = consume(entry.callers, "before", Duration::from_secs(20), &record);
    record.note(&format!("before the crashes: {before:?}"));
    thread::sleep(Duration::from_secs(1));
    let last = crashes(&entry, &store, &mut replicas, &record, has_trouble)?;
    before.sent += last.sent;
    before.served += last.served;
    let back = consume(entry.callers, "back", Duration::from_secs(6), &record);
    record.note(&format!("after the replicas are back: {back:?}"));
    before.sent += back.sent;
    before.served += back.served;
    record.note("the final fault: the process of the entry is killed");
    entry.restart(ENTRY_DOWN)?;
    record.note("the entry is back");
    thread::sleep(RECOVERY);
    let after = consume(entry.callers, "after", Duration::from_secs(15), &record);
    record.note(&format!(
        "before the final fault: {before:?}; later than 12 s after the entry is back: {after:?}"
    ));
    if before.served * 4 < before.sent || after.sent < 10 {
        return Err(std::io::Error::other("less than a quarter was served before"));
    }
    Ok(if after.served * 4 < after.sent { after.sent - after.served } else { 0 })
}

/// Lets some requests begin, and the replicas crash in turn. They start again
/// under other names once they were down for 4.5 s.
fn crashes(
    entry: &Entry,
    store: &Store,
    replicas: &mut Vec<Replica>,
    record: &Record,
    has_trouble: bool,
) -> std::io::Result<Count> {
    let asked: Vec<_> = (0..AT_WORK)
        .map(|number| {
            let (address, record) = (entry.callers, record.clone());
            thread::spawn(move || {
                ask(address, &format!("last-{number}"), 900_000 + number, &record)
            })
        })
        .collect();
    thread::sleep(FIRST_CRASH);
    let running: Vec<usize> = replicas.iter().map(|it| it.running.load(Ordering::SeqCst)).collect();
    record.note(&format!("requests at the replicas: {running:?}"));
    if has_trouble {
        let mut restarts = Vec::new();
        let fresh: Arc<Mutex<Vec<Replica>>> = Arc::default();
        for replica in replicas.drain(..) {
            record.note(&format!("{} crashes", replica.id));
            replica.crash();
            let (store, record, fresh) = (store.clone(), record.clone(), fresh.clone());
            restarts.push(thread::spawn(move || -> std::io::Result<()> {
                thread::sleep(DOWN);
                store.remove("servers", &replica.id);
                let again = Replica::start(&format!("{}-again", replica.id), PACE, &record)?;
                again.register(&store, 1_764_979_300_000);
                record.note(&format!("{} is back as {}", replica.id, again.id));
                fresh.lock().expect("no panic under the lock").push(again);
                Ok(())
            }));
            thread::sleep(CRASH_GAP);
        }
        for restart in restarts {
            restart.join().map_err(|_| std::io::Error::other("a replica didn't restart"))??;
        }
        replicas.append(&mut fresh.lock().expect("no panic under the lock"));
    }
    let served = asked.into_iter().filter_map(|it| it.join().ok()).filter(|it| *it).count();
    Ok(Count { sent: AT_WORK, served })
}
