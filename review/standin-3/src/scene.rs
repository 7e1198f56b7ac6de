//! A small deployment: a store, three replicas of one service, two entries, and callers.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::entry::{Entry, Folder};
use crate::record::Record;
use crate::replica::{attempt, Attempt, Replica, Run};
use crate::store::Store;

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"pay","hostname":"shop.example","path_prefix":"/pay/","type":"unsafe","timeout_ms":3000,"goal_ms":300,"priority":1,"service":"app","attempts":1,"public":true}],"services":[{"name":"app","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false,"warmup_s":0.0,"warmup_per_s":0.0}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":10000},"tenants":[]}"#;

/// `contact_ms` of the settings.
pub const CONTACT: Duration = Duration::from_millis(3_000);

/// Time that a replica works on a request.
const WORK: Duration = Duration::from_millis(400);

pub struct Scene {
    pub store: Arc<Store>,
    pub replicas: Vec<Arc<Replica>>,
    entries: Vec<Entry>,
    record: Arc<Record>,
    is_over: Arc<AtomicBool>,
    attempts: Arc<Mutex<Vec<Attempt>>>,
    callers: Vec<JoinHandle<()>>,
    // Removed after the entries have ended.
    _folder: Folder,
}

impl Scene {
    /// Starts the deployment, with replicas in `zones`, and waits until its machines are in touch.
    pub fn start(record: &Arc<Record>, zones: [&str; 3]) -> Result<Scene, String> {
        let folder = Folder::new();
        let store = Store::start(record.clone());
        store.put("config", "main", CONFIG);
        let replicas = ["i-a", "i-b", "i-c"].into_iter().zip(zones);
        let replicas: Vec<_> = replicas.map(|(id, zone)| start_replica(id, zone, record)).collect();
        replicas.iter().for_each(|it| it.register(&store));
        let names = ["entry-1", "entry-2"];
        let path: &Path = &folder.0;
        let entries: Vec<Entry> = names
            .iter()
            .map(|name| Entry::start(name, "zone-1", store.address, true, path))
            .collect();
        if !entries.iter().all(|it| it.wait_until_ready(Duration::from_secs(20))) {
            return Err("an entry is not ready".into());
        }
        thread::sleep(CONTACT + Duration::from_secs(2));
        Ok(Scene {
            store,
            replicas,
            entries,
            record: record.clone(),
            is_over: Arc::default(),
            attempts: Arc::default(),
            callers: Vec::new(),
            _folder: folder,
        })
    }

    /// Lets callers send ten requests a second to each entry.
    pub fn start_callers(&mut self) {
        for caller in 0..20 {
            let entry = self.entries[caller % self.entries.len()].callers;
            let (is_over, attempts) = (self.is_over.clone(), self.attempts.clone());
            let record = self.record.clone();
            self.callers.push(thread::spawn(move || {
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
            }));
        }
    }

    /// Ends the callers. Returns their attempts.
    pub fn end_callers(&mut self) -> Vec<Attempt> {
        self.is_over.store(true, Ordering::SeqCst);
        self.callers.drain(..).for_each(|it| drop(it.join()));
        self.attempts.lock().expect("no panic while it was held").clone()
    }
}

/// Starts a replica of the service, which isn't registered yet.
pub fn start_replica(id: &str, zone: &str, record: &Arc<Record>) -> Arc<Replica> {
    Replica::start(id, "app", zone, WORK, record)
}

/// Returns the runs of `replica` that reached it after `from`, sent by a caller after `in_touch`, and
/// notes them. `acked` is when it was acknowledged that it should get none.
pub fn late_runs(
    record: &Record,
    replica: &Replica,
    attempts: &[Attempt],
    (acked, in_touch, from): (Instant, Instant, Instant),
) -> Vec<Run> {
    let late = replica.runs().into_iter().filter(|it| it.arrived > from);
    let mut runs = Vec::new();
    for run in late {
        let Some(attempt) = attempts.iter().find(|it| it.request == run.request) else { continue };
        if attempt.sent <= in_touch {
            continue;
        }
        record.note(format!(
            "late: {} reached {} at {:.3} s, {:.3} s after the ack; it was sent at {:.3} s and ended with {}",
            run.request,
            replica.id,
            record.seconds(run.arrived),
            run.arrived.duration_since(acked).as_secs_f64(),
            record.seconds(attempt.sent),
            attempt.status,
        ));
        runs.push(run);
    }
    runs
}
