//! What the cases share: the record, plain replicas and an entry as a process.

use std::fs;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Request, Response, ask, serve};
use crate::store::Store;

/// What was sent, answered and run, with the seconds since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn new(path: &Path) -> std::io::Result<Record> {
        let file = Arc::new(Mutex::new(fs::File::create(path)?));
        Ok(Record { started: Instant::now(), file })
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn note(&self, what: &str) {
        let line = format!("{:9.3} {what}\n", self.now());
        drop(self.file.lock().expect("no panic under the lock").write_all(line.as_bytes()));
    }
}

/// One arrival of a request at a replica.
#[derive(Clone)]
pub struct Arrival {
    pub at: f64,
    pub replica: String,
    pub request: String,
}

/// A replica of a plain service. It works on each request for some milliseconds.
pub struct Replica {
    pub id: String,
    address: SocketAddr,
    serving: Arc<AtomicBool>,
}

impl Replica {
    pub fn start(
        id: &str,
        record: &Record,
        arrivals: &Arc<Mutex<Vec<Arrival>>>,
    ) -> std::io::Result<Replica> {
        let serving = Arc::new(AtomicBool::new(true));
        let (own, record, arrivals) = (id.to_owned(), record.clone(), arrivals.clone());
        let is_serving = serving.clone();
        let address = serve(move |request: Request| {
            if !is_serving.load(Ordering::SeqCst) {
                return None;
            }
            let Some(number) = request.header("X-Rhubarblatch-Request-Id").map(str::to_owned)
            else {
                return Some(Response::new(404, ""));
            };
            if request.header("X-Rhubarblatch-Expect-Replica").is_some_and(|it| it != own) {
                return Some(Response::new(421, "").with("X-Rhubarblatch-Replica", &own));
            }
            let at = record.now();
            record.note(&format!("run {number} at {own}"));
            let arrival = Arrival { at, replica: own.clone(), request: number.clone() };
            arrivals.lock().expect("no panic under the lock").push(arrival);
            thread::sleep(Duration::from_millis(10));
            let response = Response::new(200, format!("{own} ran {number}"));
            let response = response.with("X-Rhubarblatch-Request-Id", &number);
            Some(response.with("X-Rhubarblatch-Replica-Stamp", "3e1b.07"))
        })?;
        Ok(Replica { id: id.to_owned(), address, serving })
    }

    /// Registers the replica in the store.
    pub fn register(&self, store: &Store, service: &str) {
        let spec = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\
             \"slots\":16,\"phase\":\"ready\",\"warmup_left_ms\":0,\"seq\":1,\
             \"born\":1764979200000}}",
            self.address
        );
        store.put("servers", &self.id, &spec);
    }

    /// Ends the replica.
    pub fn end(&self) {
        self.serving.store(false, Ordering::SeqCst);
    }
}

/// Returns a loopback port that is free now.
pub fn free_port() -> std::io::Result<u16> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?.port())
}

/// An entry as a process, with the settings of `deploy/settings.json` filled in for loopback.
pub struct Entry {
    child: Child,
    pub callers: SocketAddr,
    ready: SocketAddr,
    program: PathBuf,
    folder: PathBuf,
}

impl Entry {
    pub fn start(program: &Path, folder: &Path, store: SocketAddr) -> std::io::Result<Entry> {
        let [callers, ready, peers, metrics] =
            [free_port()?, free_port()?, free_port()?, free_port()?];
        let settings = format!(
            "{{\"instance\":\"entry-1\",\"failure_domain\":\"a\",\"listen\":{{\
             \"callers\":\"127.0.0.1:{callers}\",\"ready\":\"127.0.0.1:{ready}\",\
             \"peers\":\"127.0.0.1:{peers}\",\"metrics\":\"127.0.0.1:{metrics}\"}},\
             \"store\":\"{store}\",\"cores\":0.25,\"memory_mb\":260,\"first_start\":true,\
             \"bounds\":{{\"seed_lag_s\":3,\"reuse_after_s\":2,\"contact_ms\":3000,\
             \"ack_ms\":4000,\"catchup_s\":4,\"drain_ms\":2000,\"grace_s\":8,\
             \"loss_slack_ms\":200,\"config_ms\":2000,\"rollback_slack_ms\":250,\
             \"max_skew_ms\":5000,\"strict_revoke\":true,\"revoke_ms\":5000,\
             \"retry_ratio\":0.2,\"retry_window_s\":10,\"retry_slack\":136,\
             \"warmup_excess\":1.5,\"warmup_slack\":5,\"evacuate_ms\":5000,\"recovery_s\":12,\
             \"pass_ms\":120,\"retry_after_s\":0,\"stall_ms\":6000,\"fencing\":true,\
             \"ceiling_window_s\":5,\"ceiling_overage\":1.1}}}}"
        );
        fs::write(folder.join("settings.json"), settings)?;
        let child = spawn(program, folder)?;
        Ok(Entry {
            child,
            callers: SocketAddr::from(([127, 0, 0, 1], callers)),
            ready: SocketAddr::from(([127, 0, 0, 1], ready)),
            program: program.to_owned(),
            folder: folder.to_owned(),
        })
    }

    /// Waits until the entry says that it is ready.
    pub fn wait_until_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(20);
        while Instant::now() < end {
            let time = Duration::from_secs(1);
            let answer = ask(self.ready, "GET", "/v1/readyz", &[host()], b"", time);
            if answer.is_ok_and(|it| it.status == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Kills the process, and starts it again with the same settings after `down`.
    pub fn restart(&mut self, down: Duration) -> std::io::Result<()> {
        self.kill();
        thread::sleep(down);
        let path = self.folder.join("settings.json");
        let settings = fs::read_to_string(&path)?;
        fs::write(path, settings.replace("\"first_start\":true", "\"first_start\":false"))?;
        self.child = spawn(&self.program, &self.folder)?;
        Ok(())
    }

    fn kill(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The host of a request that no route depends on.
pub fn host() -> (&'static str, String) {
    ("Host", "127.0.0.1".to_owned())
}

fn spawn(program: &Path, folder: &Path) -> std::io::Result<Child> {
    let log = fs::OpenOptions::new().create(true).append(true).open(folder.join("entry.log"))?;
    Command::new(program)
        .env("RHUBARBLATCH_SETTINGS", folder.join("settings.json"))
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}
