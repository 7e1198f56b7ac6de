//! The process of one entry: starts its listeners and tasks, reloads its settings, and stops it.

use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use decision::gateway::balance::hash;
use decision::prelude::*;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::clock::Clock;
use crate::error::Error;
use crate::journal::{Event, Journal};
use crate::port::{self, Condition, Entry, Kind, Platform};
use crate::settings::{Listen, Settings};
use crate::state::{Counts, Shared};
use crate::{follow, intake, owner, peers, ready, relay, wait};

/// Time for which a stopping entry still accepts new connections: the platform checks its readiness
/// once a second, and sends it no more connections after two failed checks.
const STOP_ACCEPT_DELAY: Duration = Duration::from_millis(2_600);

/// Time before the end of the grace period at which the process ends at the latest.
const GRACE_MARGIN: Duration = Duration::from_millis(500);

/// Interval at which a stopping entry checks whether connections are open.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which the settings file is checked for changes.
const RELOAD_INTERVAL: Duration = Duration::from_secs(1);

/// Interval of the maintenance task.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);

/// Delay between two attempts of an entry to register itself.
const REGISTER_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Timeout of a write to the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest response of the store to a write, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 10;

/// A running entry.
pub struct Daemon<P> {
    shared: Arc<Shared<P>>,
    addresses: Listen,
    stop: watch::Sender<bool>,
    // Aborts the tasks when it is dropped.
    _tasks: JoinSet<()>,
}

/// Runs one entry with the settings file at `path` until SIGTERM. SIGHUP reloads the settings.
///
/// # Errors
///
/// If the settings are invalid, a socket can't be bound, or a signal handler can't be installed.
pub async fn run<P: Platform>(platform: P, path: &Path) -> Result<(), Error> {
    let mut terminate = signal(SignalKind::terminate()).map_err(Error::Signal)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(Error::Signal)?;
    let settings = Settings::read(path)?;
    let daemon = Daemon::start(platform, settings, std::io::stdout()).await?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => daemon.reload(path, Reload::Requested),
            () = sleep(RELOAD_INTERVAL) => daemon.reload(path, Reload::Periodic),
        }
    }
    daemon.stop().await;
    Ok(())
}

/// Why the settings are read again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reload {
    /// A signal requested it. The reload is logged also if nothing has changed.
    Requested,
    /// The file is read periodically. The reload is logged only if the settings have changed.
    Periodic,
}

impl<P: Platform> Daemon<P> {
    /// Starts an entry that writes its log to `log`.
    ///
    /// # Errors
    ///
    /// If a socket can't be bound.
    pub async fn start(
        platform: P,
        settings: Settings,
        log: impl Write + Send + 'static,
    ) -> Result<Daemon<P>, Error> {
        let clock = Clock::start();
        let journal = Journal::new(clock, log);
        let mut addresses = settings.listen;
        let callers = bind(&mut addresses.callers).await?;
        let readiness = bind(&mut addresses.ready).await?;
        let relay = bind(&mut addresses.peers).await?;
        let address = addresses.peers;
        let socket = UdpSocket::bind(address).await;
        let socket = socket.map_err(|error| Error::Listen { address, error })?;
        let settings = Settings { listen: addresses, ..settings };
        let shared = Arc::new(Shared::new(platform, settings, clock, journal.clone()));
        let settings = shared.settings();
        let incarnation = new_incarnation(&settings.instance);
        journal.note(&Event::Started {
            instance: &settings.instance,
            failure_domain: &settings.failure_domain,
            version: env!("CARGO_PKG_VERSION"),
        });
        let (stop, stopped) = watch::channel(false);
        let mut tasks = JoinSet::new();
        tasks.spawn(journal.run());
        tasks.spawn(follow::run(shared.clone()));
        tasks.spawn(intake::serve(shared.clone(), callers, stopped));
        tasks.spawn(ready::serve(shared.clone(), readiness));
        tasks.spawn(peers::run(shared.clone(), socket, incarnation));
        tasks.spawn(relay::serve(shared.clone(), relay));
        tasks.spawn(owner::run(shared.clone(), incarnation));
        tasks.spawn(register(shared.clone()));
        tasks.spawn(wait::run(shared.clone()));
        tasks.spawn(maintain(shared.clone()));
        if let Some(metrics) = &mut addresses.metrics {
            tasks.spawn(ready::serve(shared.clone(), bind(metrics).await?));
        }
        Ok(Daemon { shared, addresses, stop, _tasks: tasks })
    }

    /// Returns the addresses at which the entry listens, with the ports that it got.
    pub fn addresses(&self) -> Listen {
        self.addresses
    }

    /// Reads the settings file at `path` again. The settings in force stay if the new ones are
    /// invalid.
    pub fn reload(&self, path: &Path, reason: Reload) {
        let before = self.shared.settings();
        let settings = Settings::read(path);
        let settings = settings.map(|it| Settings { listen: before.listen, ..it });
        let error = settings.as_ref().err().map(ToString::to_string).unwrap_or_default();
        let changed = settings.as_ref().is_ok_and(|it| *it != *before);
        if changed || reason == Reload::Requested {
            self.shared.journal.note(&Event::Reloaded { changed, error: &error });
        }
        if let Ok(settings) = settings
            && changed
        {
            self.shared.reload(settings);
        }
    }

    /// Stops the entry: becomes unready, stops accepting connections after a delay, and waits for
    /// open ones until the grace period is nearly over.
    pub async fn stop(self) {
        let shared = &self.shared;
        let open = shared.open_connections.load(Ordering::Relaxed);
        shared.stopping.store(true, Ordering::Relaxed);
        shared.fleet_changed.notify_waiters();
        shared.journal.note(&Event::Stopping { open });
        let grace = Duration::from_secs_f64(shared.settings().bounds.grace_s);
        let deadline = Instant::now() + grace.saturating_sub(GRACE_MARGIN);
        sleep(STOP_ACCEPT_DELAY.min(grace / 2)).await;
        self.stop.send_replace(true);
        loop {
            sleep(STOP_CHECK_INTERVAL).await;
            if shared.open_connections.load(Ordering::Relaxed) == 0 || Instant::now() >= deadline {
                break;
            }
        }
        shared.journal.flush();
        // Gives the writer thread of the log time for the last lines.
        sleep(STOP_CHECK_INTERVAL).await;
    }
}

/// Opens a listener and sets the port of `address` to the one that it got.
async fn bind(address: &mut SocketAddr) -> Result<TcpListener, Error> {
    let requested = *address;
    let listen_error = |error| Error::Listen { address: requested, error };
    let listener = TcpListener::bind(requested).await.map_err(listen_error)?;
    *address = listener.local_addr().map_err(listen_error)?;
    Ok(listener)
}

/// Returns a random identifier of this start of the process.
fn new_incarnation(instance: &str) -> u64 {
    use rand::RngExt as _;
    hash(instance) ^ rand::rng().random::<u64>()
}

/// Registers this entry in the store, so that peers find it. Retries until that succeeds.
async fn register<P: Platform>(shared: Arc<Shared<P>>) {
    let settings = shared.settings();
    let (store, name) = (settings.store, settings.instance.as_str());
    let failure_domain = settings.failure_domain.clone();
    let millicores = settings.millicores();
    let entry = Entry { address: settings.listen.peers, failure_domain, millicores };
    let Ok(value) = serde_json::to_value(&entry) else { return };
    let mut condition = Condition::Absent;
    loop {
        let write = port::Write { kind: Kind::Entries, name, condition, value: value.clone() };
        let put = shared.platform.put(store, &write);
        match shared.store.call(store, put, STORE_TIMEOUT, MAX_RESPONSE_BYTES).await {
            Ok(answer) if answer.status().is_success() => return,
            Ok(answer) if owner::already_exists(answer.status()) => {
                condition = Condition::Exists;
                continue;
            }
            Ok(_) => condition = Condition::Absent,
            Err(_) => {}
        }
        sleep(REGISTER_RETRY_DELAY).await;
    }
}

/// Periodically drops expired instances and connections to unknown ones, and logs changed numbers
/// of replicas.
async fn maintain<P: Platform>(shared: Arc<Shared<P>>) {
    let mut reported = Counts::new();
    loop {
        sleep(MAINTENANCE_INTERVAL).await;
        shared.expire_instances();
        shared.report_replica_counts(&mut reported);
        let addresses: std::collections::HashSet<SocketAddr> =
            shared.knowledge().fleet.iter().map(|it| it.address).collect();
        shared.targets.retain(|it| addresses.contains(&it));
    }
}
