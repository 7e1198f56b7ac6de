//! DRAIN: replicas leave after the entry was cut off from the store for some seconds.

use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::ask;
use crate::link::Link;
use crate::store::Store;
use crate::world::{Arrival, Entry, Record, Replica};

/// Bounds of the site: `contact_ms` and `drain_ms`, in seconds.
const CONTACT: f64 = 3.0;
const DRAIN: f64 = 2.0;

/// Lengths of the cuts, in milliseconds. The site file names up to 5.5 s. They differ, as the entry
/// tries to reach the store, and drops replicas, at intervals of its own.
const CUTS: [u64; 8] = [3_500, 3_870, 4_240, 4_610, 4_980, 5_350, 4_055, 4_425];

/// Time from the end of a cut to the removal of a replica's entry.
const LEAVES_AFTER: Duration = Duration::from_millis(300);

/// Time for which a replica goes on serving once its entry was removed.
const SERVES_ON: Duration = Duration::from_millis(5_000);

const CONFIG: &str = "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"hostname\":\"fees.example\",\
    \"path_prefix\":\"/fees/\",\"type\":\"unsafe\",\"timeout_ms\":800,\"goal_ms\":150,\
    \"priority\":2,\"service\":\"fees\",\"attempts\":1,\"public\":true,\"affinity\":false,\
    \"resumable\":false}],\"services\":[{\"name\":\"fees\",\"health_path\":\"/healthz\",\
    \"max_conns\":110,\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":0.0,\"warmup_per_s\":0.0}],\
    \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
    \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[]}";

/// A replica that left, when its leaving was acknowledged, and when the cut before it ended.
struct Leaving {
    replica: String,
    acked: f64,
    healed: f64,
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
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    let stays = Replica::start("i-stays", &record, &arrivals)?;
    stays.register(&store, "fees");
    let mut next = Replica::start("i-0", &record, &arrivals)?;
    next.register(&store, "fees");
    let link = Link::new(address)?;
    let entry = Entry::start(program, folder, link.address)?;
    if !entry.wait_until_ready() {
        return Err(std::io::Error::other("the entry is not ready"));
    }
    let done = Arc::new(AtomicBool::new(false));
    let answered = Arc::new(AtomicUsize::new(0));
    let callers: Vec<_> = (0..2)
        .map(|caller| {
            let (done, answered, record) = (done.clone(), answered.clone(), record.clone());
            let address = entry.callers;
            thread::spawn(move || call(caller, address, &done, &answered, &record))
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let mut leavings = Vec::new();
    for (round, cut) in CUTS.into_iter().enumerate() {
        if has_trouble {
            record.note("the entry is cut off from the store");
            link.cut();
        }
        thread::sleep(Duration::from_millis(cut));
        if has_trouble {
            link.heal();
        }
        let healed = record.now();
        record.note("the entry has its way to the store");
        thread::sleep(LEAVES_AFTER);
        let leaves = std::mem::replace(
            &mut next,
            Replica::start(&format!("i-{}", round + 1), &record, &arrivals)?,
        );
        store.remove("servers", &leaves.id);
        let acked = record.now();
        record.note(&format!("{} is gone: acked by the store", leaves.id));
        leavings.push(Leaving { replica: leaves.id.clone(), acked, healed });
        thread::sleep(SERVES_ON);
        leaves.end();
        record.note(&format!("{} ends", leaves.id));
        next.register(&store, "fees");
        thread::sleep(Duration::from_millis(1_000));
    }
    done.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|it| drop(it.join()));
    drop(entry);
    let answered = answered.load(Ordering::SeqCst);
    if answered < 500 {
        return Err(std::io::Error::other(format!("only {answered} requests were answered")));
    }
    Ok(judge(&leavings, &arrivals.lock().expect("no panic under the lock"), &record))
}

/// Counts the arrivals later than `drain_ms` after the ack, while the entry was in touch.
fn judge(leavings: &[Leaving], arrivals: &[Arrival], record: &Record) -> usize {
    let mut broken = 0;
    for Leaving { replica, acked, healed } in leavings {
        let is_late = |it: &&Arrival| {
            it.replica == *replica && it.at > acked + DRAIN && it.at > healed + CONTACT + 0.05
        };
        let late: Vec<_> = arrivals.iter().filter(is_late).collect();
        let Some(last) = late.last() else { continue };
        broken += late.len();
        record.note(&format!(
            "DRAIN: {} requests reached {replica} later than 2000 ms after it was gone, the last, \
             {}, {:.0} ms after, and {:.0} ms after the cut",
            late.len(),
            last.request,
            (last.at - acked) * 1_000.0,
            (last.at - healed) * 1_000.0
        ));
    }
    broken
}

/// Sends one request after the other, each on a channel of its own.
fn call(
    caller: usize,
    entry: std::net::SocketAddr,
    done: &AtomicBool,
    answered: &AtomicUsize,
    record: &Record,
) {
    let mut number = 0;
    while !done.load(Ordering::SeqCst) {
        number += 1;
        let id = format!("{caller}-{number}");
        let headers = [
            ("Host", "fees.example".to_owned()),
            ("X-Rhubarblatch-Request-Id", id.clone()),
            ("X-Rhubarblatch-Deadline-Ms", "1500".to_owned()),
            ("Connection", "close".to_owned()),
        ];
        let time = Duration::from_millis(1_500);
        record.note(&format!("send {id}"));
        match ask(entry, "POST", "/fees/pay", &headers, b"fee", time) {
            Ok(answer) => {
                answered.fetch_add(1, Ordering::SeqCst);
                record.note(&format!("answer {id}: {}", answer.status));
            }
            Err(error) => record.note(&format!("no answer {id}: {error}")),
        }
        thread::sleep(Duration::from_millis(10));
    }
}
