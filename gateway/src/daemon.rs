//! The process of one entry: starts its listeners and tasks, reloads its settings, and stops it.

use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use decision::backoff::Backoff;
use decision::gateway::balance::hash;
use decision::gateway::grace::{self, Grace};
use decision::prelude::*;
use http::StatusCode;
use serde_json::Value;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until};

use crate::clock::Clock;
use crate::error::Error;
use crate::journal::{Event, Journal};
use crate::port::{self, Condition, Entry, Kind, Object, Platform};
use crate::request::millis;
use crate::settings::{Listen, Settings};
use crate::state::{Counts, Shared};
use crate::{apply, follow, intake, lapse, owner, peers, quarantine, ready, relay, wait};

/// Interval at which a stopping entry checks whether connections are open.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Largest number of requests that are logged one by one as cut off by the end of the process. All
/// of them are counted in the line before.
const MAX_CUT_LINES: usize = 200;

/// Interval at which the settings file is checked for changes.
const RELOAD_INTERVAL: Duration = Duration::from_secs(1);

/// Interval of the maintenance task.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);

/// Longest delay before the first new attempt of an entry to register itself.
const REGISTER_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Longest delay between two attempts of an entry to register itself.
const MAX_REGISTER_RETRY_DELAY: Duration = Duration::from_millis(1_600);

/// Interval at which an entry checks whether it is still registered.
const REGISTER_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time without its registration after which an entry writes it again. The list of entries may be
/// as old as the registration itself.
const LOST_REGISTRATION_DELAY: Duration = Duration::from_millis(700);

/// Timeout of a write to the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);

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
            first_start: settings.first_start,
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
        tasks.spawn(lapse::run(shared.clone()));
        tasks.spawn(wait::run(shared.clone()));
        tasks.spawn(quarantine::run(shared.clone()));
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
        // A process keeps the name and the addresses by which its peers know it.
        let settings = settings.map(|it| Settings {
            listen: before.listen,
            instance: before.instance.clone(),
            failure_domain: before.failure_domain.clone(),
            ..it
        });
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

    /// Stops the entry: becomes unready, stops accepting connections after a delay, waits for open
    /// ones, and answers what is left shortly before the end of the grace period.
    pub async fn stop(self) {
        let shared = &self.shared;
        let begun = shared.now();
        let length = Duration::from_secs_f64(shared.settings().bounds.grace_s);
        let grace = Grace::new(begun, length, grace::Settings::default());
        shared.stop.begin(grace);
        shared.fleet_changed.notify_waiters();
        shared.journal.note(&Event::Stopping { open: shared.connections.len() });
        sleep_until(shared.clock.instant(grace.accepts_until())).await;
        self.stop.send_replace(true);
        wait_for_connections(shared, grace.closes_at()).await;
        shared.stop.close();
        wait_for_connections(shared, grace.ends_at()).await;
        report_end(shared, begun);
        shared.journal.flush();
        // Gives the writer thread of the log time for the last lines.
        sleep(STOP_CHECK_INTERVAL).await;
    }
}

/// Waits until no connection of a caller is open, until `end` at most.
async fn wait_for_connections<P>(shared: &Shared<P>, end: Time) {
    loop {
        let now = shared.now();
        if shared.connections.len() == 0 || now >= end {
            return;
        }
        sleep(STOP_CHECK_INTERVAL.min(end.since(now))).await;
    }
}

/// Logs the end of a process that was asked to stop at `begun`, and the requests that it cuts off.
fn report_end<P>(shared: &Shared<P>, begun: Time) {
    let census = shared.connections.census();
    let open = shared.connections.len();
    let now = shared.now();
    shared.journal.note(&Event::Stopped { after_ms: millis(now.since(begun)), open, census });
    for progress in shared.connections.unfinished().iter().take(MAX_CUT_LINES) {
        shared.journal.note(&Event::Cut {
            request: &progress.request,
            route: &progress.route,
            target: &progress.target,
            stage: progress.stage,
            total_ms: millis(now.since(progress.arrived)),
        });
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

/// Keeps this entry registered in the store, so that peers find it. A restored store may have lost
/// the registration, and other settings may contradict it; it is then written again.
async fn register<P: Platform>(shared: Arc<Shared<P>>) {
    loop {
        let settings = shared.settings();
        let name = settings.instance.as_str();
        let Ok(value) = serde_json::to_value(registration(&settings)) else { return };
        write_registration(&shared, name, &value).await;
        wait_until_lost(&shared, name).await;
        shared.journal.note(&Event::Unregistered { era: shared.era() });
    }
}

/// Returns what an entry with these settings registers.
fn registration(settings: &Settings) -> Entry {
    Entry {
        address: settings.listen.peers,
        failure_domain: settings.failure_domain.clone(),
        millicores: settings.millicores(),
    }
}

/// Writes the registration. Retries until that succeeds.
async fn write_registration<P: Platform>(shared: &Shared<P>, name: &str, value: &Value) {
    let store = shared.settings().store;
    let backoff = Backoff { first: REGISTER_RETRY_DELAY, limit: MAX_REGISTER_RETRY_DELAY };
    let mut condition = Condition::Absent;
    let mut failures = 0;
    loop {
        let write = port::Write { kind: Kind::Entries, name, condition, value: value.clone() };
        let put = shared.platform.put(store, &write);
        match follow::send_to_store(shared, put, STORE_TIMEOUT).await {
            Ok(reply) if reply.status.is_success() => return,
            Ok(reply) if is_taken(&reply.status, condition) => {
                condition = Condition::Exists;
                continue;
            }
            Ok(reply) => {
                condition = Condition::Absent;
                report_registration(shared, failures, &follow::Error::Status(reply.status));
            }
            Err(error) => report_registration(shared, failures, &error),
        }
        failures += 1;
        sleep(backoff.delay(failures, hash(name))).await;
    }
}

/// Returns whether a write failed as the object exists, so that it has to be replaced.
fn is_taken(status: &StatusCode, condition: Condition) -> bool {
    *status == StatusCode::CONFLICT && condition == Condition::Absent
}

/// Logs why this entry can't register itself, after the first failed attempt.
fn report_registration<P>(shared: &Shared<P>, failures: u32, error: &follow::Error) {
    if failures > 0 {
        return;
    }
    let reason = error.to_string();
    let event = Event::Lost { dependency: "store", kind: Kind::Entries, reason: &reason };
    shared.journal.note(&event);
}

/// Waits until the list of entries lacks this one or shows it with other values, for as long as a
/// reader may lag behind.
async fn wait_until_lost<P: Platform>(shared: &Shared<P>, name: &str) {
    let mut lost_since = None;
    loop {
        sleep(REGISTER_CHECK_INTERVAL).await;
        let is_stored = match shared.mirror().stored(Kind::Entries, name).map(|it| &it.object) {
            Some(Object::Entry(stored)) => *stored == registration(&shared.settings()),
            _ => false,
        };
        if is_stored || !shared.is_store_up() {
            lost_since = None;
            continue;
        }
        let since = *lost_since.get_or_insert(shared.now());
        if shared.now().since(since) >= LOST_REGISTRATION_DELAY {
            return;
        }
    }
}

/// Periodically ends holds whose time is over, drops expired targets and connections to unknown ones, and logs changed numbers
/// of replicas.
async fn maintain<P: Platform>(shared: Arc<Shared<P>>) {
    let mut reported = Counts::new();
    loop {
        sleep(maintenance_delay(&shared)).await;
        shared.expire_targets();
        apply::expire_holds(&shared);
        shared.report_replica_counts(&mut reported);
        let addresses: std::collections::HashSet<SocketAddr> =
            shared.knowledge().fleet.iter().map(|it| it.address).collect();
        shared.targets.retain(|it| addresses.contains(&it));
    }
}

/// Returns the time until the next maintenance: an interval, or less if an instance expires before.
fn maintenance_delay<P>(shared: &Shared<P>) -> Duration {
    let expiry = shared.knowledge().fleet.next_expiry();
    let remaining = expiry.map(|it| it.since(shared.now()));
    remaining.map_or(MAINTENANCE_INTERVAL, |it| it.min(MAINTENANCE_INTERVAL))
}
