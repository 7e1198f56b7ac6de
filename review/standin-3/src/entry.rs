//! Starts the program of the deploy file as processes of their own.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::call;

/// Bounds of a small deployment, as in the users' settings.
pub const BOUNDS: &str =
    "{\"seed_lag_s\":3,\"reuse_after_s\":2,\"contact_ms\":3000,\"ack_ms\":4000,\
    \"catchup_s\":4,\"drain_ms\":2000,\"grace_s\":8,\"loss_slack_ms\":200,\"config_ms\":2000,\
    \"rollback_slack_ms\":250,\"max_skew_ms\":5000,\"strict_revoke\":true,\"revoke_ms\":5000,\
    \"retry_ratio\":0.2,\"retry_window_s\":10,\"retry_slack\":136,\"warmup_excess\":1.5,\
    \"warmup_slack\":5,\"evacuate_ms\":5000,\"recovery_s\":12,\"pass_ms\":120,\"retry_after_s\":0,\
    \"stall_ms\":6000,\"fencing\":true,\"ceiling_window_s\":5,\"ceiling_overage\":1.1}";

pub struct Entry {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    process: Child,
}

impl Entry {
    /// Starts an entry with its settings in `folder`, where its log goes too. `first_start` is set when
    /// the whole system starts for the first time.
    pub fn start(
        name: &str,
        zone: &str,
        store: SocketAddr,
        first_start: bool,
        folder: &Path,
    ) -> Entry {
        let [callers, ready, peers, metrics] = [(); 4].map(|()| free_address());
        let settings = format!(
            "{{\"instance\":\"{name}\",\"failure_domain\":\"{zone}\",\"listen\":{{\"callers\":\"{callers}\",\
             \"ready\":\"{ready}\",\"peers\":\"{peers}\",\"metrics\":\"{metrics}\"}},\"store\":\"{store}\",\
             \"cores\":0.25,\"memory_mb\":260,\"first_start\":{first_start},\"bounds\":{BOUNDS}}}"
        );
        let path = folder.join(format!("{name}.json"));
        fs::write(&path, settings).expect("a writable folder");
        let log = File::create(folder.join(format!("{name}.log"))).expect("a writable folder");
        let process = Command::new("target/release/rhubarblatch-entry")
            .env("RHUBARBLATCH_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .spawn()
            .expect("target/release/rhubarblatch-entry, from the build of the deploy file");
        Entry { callers, ready, process }
    }

    /// Waits until the entry is ready. Returns whether it is in time.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let answer = call(
                self.ready,
                "GET",
                "/v1/readyz",
                &[("Host", "ready")],
                b"",
                Duration::from_secs(1),
            );
            if answer.is_ok_and(|it| it.status() == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ended = self.process.kill();
        let _reaped = self.process.wait();
    }
}

/// A temporary folder that is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        let path = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a writable temporary folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _removed = fs::remove_dir_all(&self.0);
        }
    }
}

/// Returns a loopback address that is free for TCP and UDP. Its port lies below those that the system
/// gives to outgoing channels, one of which could take it before the entry does.
fn free_address() -> SocketAddr {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    loop {
        let count = COUNT.fetch_add(1, Ordering::Relaxed);
        let port = 12_000 + (std::process::id() * 61 + count) % 18_000;
        let address = SocketAddr::from(([127, 0, 0, 1], u16::try_from(port).unwrap_or(12_000)));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}
