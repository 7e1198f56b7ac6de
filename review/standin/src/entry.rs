//! The project's own program: one process for each entry, started with the command of the deploy
//! file.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Outcome, call};
use crate::record::Record;

/// `run` of the role in `deploy/system.toml`, from the root of the project.
const PROGRAM: &str = "target/release/rhubarblatch-entry";

/// Bounds of the sites `hab-riga` and `hab-riga-grown`, where they differ: `contact_ms`, `ack_ms`,
/// `catchup_s`, `drain_ms`, `config_ms`, `max_skew_ms`, `retry_slack`, `recovery_s` and `pass_ms`.
pub const RIGA: [u64; 9] = [3_000, 4_000, 4, 2_000, 2_000, 5_000, 136, 12, 120];
pub const GROWN: [u64; 9] = [4_000, 6_000, 6, 3_000, 3_000, 6_000, 342, 15, 200];

fn bounds(site: [u64; 9]) -> String {
    let [contact, ack, catchup, drain, config, skew, slack, recovery, pass] = site;
    format!(
        "{{\"seed_lag_s\":3,\"reuse_after_s\":2,\"contact_ms\":{contact},\"ack_ms\":{ack},\"catchup_s\":{catchup},\"drain_ms\":{drain},\"grace_s\":8,\"loss_slack_ms\":200,\"config_ms\":{config},\"rollback_slack_ms\":250,\"max_skew_ms\":{skew},\"strict_revoke\":true,\"revoke_ms\":5000,\"retry_ratio\":0.2,\"retry_window_s\":10,\"retry_slack\":{slack},\"warmup_excess\":1.5,\"warmup_slack\":5,\"evacuate_ms\":5000,\"recovery_s\":{recovery},\"pass_ms\":{pass},\"retry_after_s\":0,\"stall_ms\":6000,\"fencing\":true,\"ceiling_window_s\":5,\"ceiling_overage\":1.1}}"
    )
}

pub struct Entry {
    pub name: String,
    pub zone: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    /// Questions about its readiness in a row without a 200.
    misses: AtomicU32,
    record: Arc<Record>,
}

/// Ports that were tried so far.
static TRIED: AtomicU32 = AtomicU32::new(0);

/// A free address for TCP and UDP, below the ports that the system hands out by itself.
fn free() -> SocketAddr {
    loop {
        let start = std::process::id().wrapping_mul(7_919);
        let number = TRIED.fetch_add(1, Ordering::Relaxed);
        let port = 11_000 + start.wrapping_add(number) % 20_000;
        let address = SocketAddr::from(([127, 0, 0, 1], u16::try_from(port).unwrap_or(11_000)));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

impl Entry {
    pub fn new(
        folder: &Path,
        name: &str,
        zone: &str,
        store: SocketAddr,
        site: [u64; 9],
        record: Arc<Record>,
    ) -> Entry {
        let [callers, ready, peers] = [free(), free(), free()];
        let entry = Entry {
            name: name.to_owned(),
            zone: zone.to_owned(),
            callers,
            ready,
            settings: folder.join(format!("{name}.json")),
            log: folder.join(format!("{name}.log")),
            child: Mutex::new(None),
            misses: AtomicU32::new(2),
            record,
        };
        let text = format!(
            "{{\"instance\":\"{name}\",\"failure_domain\":\"{zone}\",\"listen\":{{\"callers\":\"{callers}\",\"ready\":\"{ready}\",\"peers\":\"{peers}\"}},\"store\":\"{store}\",\"cores\":0.25,\"memory_mb\":260,\"first_start\":FIRST,\"bounds\":{}}}",
            bounds(site)
        );
        fs::write(entry.settings.with_extension("template"), text)
            .expect("settings can be written");
        entry
    }

    /// Starts the process. `first` tells whether the whole system starts for the first time.
    pub fn start(&self, first: bool) {
        let text = fs::read_to_string(self.settings.with_extension("template"));
        let text = text.expect("the settings were written").replace("FIRST", &first.to_string());
        fs::write(&self.settings, text).expect("settings can be written");
        let log = File::options().create(true).append(true).open(&self.log).expect("a log");
        let child = Command::new(PROGRAM)
            .env("RHUBARBLATCH_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn();
        let child = child.unwrap_or_else(|error| {
            eprintln!("{PROGRAM} can't be started: {error}");
            std::process::exit(2);
        });
        self.record.note(format!("entry {} starts as process {}", self.name, child.id()));
        self.misses.store(2, Ordering::Relaxed);
        *self.child.lock().expect("no panic under the lock") = Some(child);
    }

    pub fn process(&self) -> Option<u32> {
        self.child.lock().expect("no panic under the lock").as_ref().map(Child::id)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: &str) {
        let Some(id) = self.process() else { return };
        self.record.note(format!("entry {} gets {signal}", self.name));
        drop(Command::new("kill").arg(format!("-{signal}")).arg(id.to_string()).status());
    }

    /// Kills the process, if it runs, and waits for its end.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().expect("no panic under the lock").take() {
            self.record.note(format!("entry {} is killed", self.name));
            drop(child.kill());
            drop(child.wait());
        }
    }

    /// Whether the process has ended by itself or by a signal. Forgets it then.
    pub fn has_ended(&self) -> bool {
        let mut child = self.child.lock().expect("no panic under the lock");
        let Some(running) = child.as_mut() else { return true };
        let has_ended = running.try_wait().is_ok_and(|it| it.is_some());
        if has_ended {
            self.record.note(format!("entry {} has ended", self.name));
            *child = None;
        }
        has_ended
    }

    /// Resident memory of the process, in bytes.
    pub fn memory(&self) -> u64 {
        let Some(id) = self.process() else { return 0 };
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|it| it.trim().split(' ').next()?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) * 1_024
    }

    /// Asks once whether it is ready.
    pub fn ask(&self) -> bool {
        if self.process().is_none() {
            return false;
        }
        let head =
            format!("GET /v1/readyz HTTP/1.1\r\nhost: {}\r\nconnection: close\r\n", self.ready);
        let outcome = call(self.ready, &head, b"", Instant::now() + Duration::from_millis(800));
        matches!(outcome, Outcome::Whole(200, _))
    }

    fn poll(&self) {
        match self.ask() {
            true => self.misses.store(0, Ordering::Relaxed),
            false => drop(self.misses.fetch_add(1, Ordering::Relaxed)),
        }
    }

    /// Whether the platform gives it new connections.
    pub fn is_in_rotation(&self) -> bool {
        self.misses.load(Ordering::Relaxed) < 2
    }

    /// Lines of its log that contain `word`.
    pub fn log_lines(&self, word: &str) -> Vec<String> {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        text.lines().filter(|it| it.contains(word)).map(str::to_owned).collect()
    }
}

/// The machines of the system, as the platform sees them.
#[derive(Default)]
pub struct Fleet {
    pub entries: Mutex<Vec<Arc<Entry>>>,
}

impl Fleet {
    /// Asks each entry once a second whether it is ready, as the platform does.
    pub fn watch(self: &Arc<Self>) {
        let fleet = self.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_secs(1));
                for entry in fleet.all() {
                    thread::spawn(move || entry.poll());
                }
            }
        });
    }

    pub fn all(&self) -> Vec<Arc<Entry>> {
        self.entries.lock().expect("no panic under the lock").clone()
    }

    pub fn add(&self, entry: Arc<Entry>) {
        self.entries.lock().expect("no panic under the lock").push(entry);
    }

    /// The entries of which one gets a new connection from `zone`: those in rotation, all if those
    /// are fewer than half, and those of other zones if there are none.
    pub fn eligible(&self, zone: &str) -> Vec<Arc<Entry>> {
        let all = self.all();
        let near: Vec<_> = all.iter().filter(|it| it.zone == zone).cloned().collect();
        let ready: Vec<_> = near.iter().filter(|it| it.is_in_rotation()).cloned().collect();
        if ready.is_empty() {
            let far: Vec<_> = all.iter().filter(|it| it.is_in_rotation()).cloned().collect();
            return if far.is_empty() { near } else { far };
        }
        if ready.len() * 2 < near.len() { near } else { ready }
    }

    /// Ends all processes.
    pub fn end(&self) {
        self.all().iter().for_each(|it| it.kill());
    }
}
