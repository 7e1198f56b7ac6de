//! The answer to one watch of the replicas is lost, and with it that a replica drains.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::entry::{Entry, Folder};
use crate::record::Record;
use crate::replica::{attempt, Attempt, Replica};
use crate::store::Store;
use crate::Outcome;

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"pay","hostname":"shop.example","path_prefix":"/pay/","type":"unsafe","timeout_ms":3000,"goal_ms":300,"priority":1,"service":"app","attempts":1,"public":true}],"services":[{"name":"app","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false,"warmup_s":0.0,"warmup_per_s":0.0}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":10000},"tenants":[]}"#;

/// Bounds of the settings.
const CONTACT: Duration = Duration::from_millis(3_000);
const DRAIN: Duration = Duration::from_millis(2_000);

/// Time for which the replica serves on after `DRAIN`: "at times many seconds".
const LINGER: Duration = Duration::from_millis(3_600);

/// Time that a replica works on a request.
const WORK: Duration = Duration::from_millis(400);

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Outcome {
    let folder = Folder::new();
    let store = Store::start(record.clone());
    store.put("config", "main", CONFIG);
    let replicas: Vec<Arc<Replica>> = ["i-a", "i-b", "i-c"]
        .iter()
        .map(|id| Replica::start(id, "app", "zone-1", WORK, record))
        .collect();
    replicas.iter().for_each(|it| it.register(&store));
    let entries: Vec<Entry> = ["entry-1", "entry-2"]
        .iter()
        .map(|name| Entry::start(name, "zone-1", store.address, &folder.0))
        .collect();
    if !entries.iter().all(|it| it.wait_until_ready(Duration::from_secs(20))) {
        return Outcome::NotRun("an entry is not ready".into());
    }
    thread::sleep(CONTACT + Duration::from_secs(2));

    // Callers send ten requests a second to each entry until the end.
    let is_over = Arc::new(AtomicBool::new(false));
    let attempts: Arc<Mutex<Vec<Attempt>>> = Arc::default();
    let callers: Vec<_> = (0..20)
        .map(|caller| {
            let entry = entries[caller % entries.len()].callers;
            let (is_over, attempts, record) = (is_over.clone(), attempts.clone(), record.clone());
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(50 * caller as u64));
                for count in 0.. {
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("r{caller:02}-{count:03}");
                    let began = Instant::now();
                    let made = attempt(entry, ("POST", "/pay/1"), &id, 2_500, &record);
                    attempts.lock().expect("no panic while it was held").push(made);
                    thread::sleep(Duration::from_secs(1).saturating_sub(began.elapsed()));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));

    // A replica is replaced: the new one starts first, then the old one drains and leaves.
    let new = Replica::start("i-d", "app", "zone-1", WORK, record);
    new.register(&store);
    thread::sleep(Duration::from_millis(600));
    let old = &replicas[0];
    if has_trouble {
        store.lose_answer("servers", &old.id);
    }
    let acked = old.drain(&store);
    thread::sleep(DRAIN + LINGER);
    old.exit();
    store.remove("servers", &old.id);
    thread::sleep(Duration::from_secs(3));
    is_over.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|it| drop(it.join()));

    let lost_at = store.lost_at();
    if has_trouble && lost_at.is_none() {
        return Outcome::NotRun("no answer was lost".into());
    }
    // The machines are in touch again `contact_ms` after the disturbance.
    let in_touch = lost_at.map_or(acked, |it| it + CONTACT);
    let from = in_touch.max(acked + DRAIN);
    let attempts = attempts.lock().expect("no panic while it was held").clone();
    let late: Vec<_> = old
        .runs()
        .into_iter()
        .filter(|it| it.arrived > from)
        .filter_map(|run| {
            let attempt = attempts.iter().find(|it| it.request == run.request)?;
            (attempt.sent > in_touch).then_some((run, attempt))
        })
        .collect();
    for (run, attempt) in &late {
        record.note(format!(
            "late: {} reached {} at {:.3} s, {:.3} s after the ack; it was sent at {:.3} s and ended with {}",
            run.request,
            old.id,
            record.seconds(run.arrived),
            run.arrived.duration_since(acked).as_secs_f64(),
            record.seconds(attempt.sent),
            attempt.status,
        ));
    }
    let cut = late.iter().filter(|(run, _)| run.ended.is_none()).count();
    let text = format!(
        "acked at {:.3} s, in touch from {:.3} s; {} requests reached {} later than drain_ms, and {cut} of \
         them were cut off as it left; {} attempts in all",
        record.seconds(acked),
        record.seconds(in_touch),
        late.len(),
        old.id,
        attempts.len()
    );
    println!("{text}");
    record.note(text);
    match late.is_empty() {
        true => Outcome::Held,
        false => Outcome::Broken,
    }
}
