//! An entry that is cut off from the store keeps its share of a cold replica while a new entry takes one.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::entry::{Entry, Folder};
use crate::link::Link;
use crate::record::Record;
use crate::replica::{attempt, Replica};
use crate::store::Store;
use crate::Outcome;

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"look","hostname":"shop.example","path_prefix":"/look/","type":"unsafe","timeout_ms":2000,"goal_ms":300,"priority":1,"service":"app","attempts":1,"public":true}],"services":[{"name":"app","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":36.0}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":10000},"tenants":[]}"#;

/// `warmup_s` of the service: the replica is cold for so long after its start.
const WARMUP: Duration = Duration::from_secs(3);

/// `warmup_per_s` x `warmup_excess` + `warmup_slack`: 36 x 1.5 + 5.
const BOUND: usize = 59;

/// Requests in one second above which a cold replica crashes: twice `warmup_per_s`.
const ENDURANCE: usize = 72;

/// Time that a replica works on a request.
const WORK: Duration = Duration::from_millis(60);

/// Length of the cut. The site file of hab-riga names up to 5.5 s.
const CUT: Duration = Duration::from_millis(5_000);

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Outcome {
    let folder = Folder::new();
    let store = Store::start(record.clone());
    let link = Link::start(store.address);
    store.put("config", "main", CONFIG);
    // A replica that serves, so that the entry becomes ready.
    let former = Replica::start("i-a", "app", "zone-1", WORK, record);
    former.register(&store);
    let first = Entry::start("entry-1", "zone-1", link.address, true, &folder.0);
    if !first.wait_until_ready(Duration::from_secs(20)) {
        return Outcome::NotRun("the first entry is not ready".into());
    }
    thread::sleep(Duration::from_secs(4));
    let is_over = Arc::new(AtomicBool::new(false));
    let mut callers = start_callers("a", first.callers, &is_over, record);
    thread::sleep(Duration::from_secs(1));

    // The replica goes. Another one starts, and is cold.
    former.drain(&store);
    thread::sleep(Duration::from_millis(2_500));
    former.exit();
    store.remove("servers", &former.id);
    thread::sleep(Duration::from_secs(1));
    let cold = Replica::start_with("i-b", ("app", "zone-1"), WORK, 26, (ENDURANCE, WARMUP), record);
    let warmup_ms = u64::try_from(WARMUP.as_millis()).unwrap_or_default();
    let began = store.put("servers", &cold.id, &cold.cold_spec(warmup_ms));
    record.note("i-b: the store has acknowledged that it is ready, and cold for 3 s");
    thread::sleep(Duration::from_millis(150));
    if has_trouble {
        link.cut();
        record.note("entry-1 is cut off from the store");
    }
    // A machine is added.
    let second = Entry::start("entry-2", "zone-1", store.address, false, &folder.0);
    callers.extend(start_callers("b", second.callers, &is_over, record));
    thread::sleep(CUT);
    link.heal();
    record.note("the path of entry-1 to the store is whole");
    is_over.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|it| drop(it.join()));

    let runs = cold.runs();
    let cut = runs.iter().filter(|it| it.ended.is_none()).count();
    let mut arrivals: Vec<(Instant, String)> =
        runs.into_iter().map(|it| (it.arrived, it.request)).collect();
    arrivals.retain(|(at, _)| *at < began + WARMUP);
    arrivals.sort();
    let mut most = (0, 0, began);
    for (first, (from, _)) in arrivals.iter().enumerate() {
        let within: Vec<_> = arrivals[first..]
            .iter()
            .take_while(|it| it.0 - *from < Duration::from_secs(1))
            .collect();
        let of_second = within.iter().filter(|it| it.1.starts_with('b')).count();
        if within.len() > most.0 {
            most = (within.len(), of_second, *from);
        }
    }
    let text = format!(
        "cold from {:.3} s for 3 s; at most {} requests in one second, from {:.3} s, {} of them by entry-2; the bound is {BOUND}; {cut} requests were cut off as it crashed",
        record.seconds(began),
        most.0,
        record.seconds(most.2),
        most.1
    );
    record.say(text);
    match most.0 > BOUND {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}

/// Lets callers send about 150 requests a second to an entry, as soon as it takes channels.
fn start_callers(
    name: &'static str,
    entry: SocketAddr,
    is_over: &Arc<AtomicBool>,
    record: &Arc<Record>,
) -> Vec<JoinHandle<()>> {
    let caller = |caller: usize| {
        let (is_over, record) = (is_over.clone(), record.clone());
        thread::spawn(move || {
            for count in 0.. {
                if is_over.load(Ordering::SeqCst) {
                    return;
                }
                let id = format!("{name}{caller}-{count:04}");
                attempt(entry, ("POST", "/look/1"), &id, 900, &record);
                thread::sleep(Duration::from_millis(40));
            }
        })
    };
    (0..8).map(caller).collect()
}
