//! One entry: its listeners, its loops, and how it stops.

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

/// Time for which a stopping entry still takes new connections: the platform asks once a second
/// whether it is ready, and sends none after two misses.
const LINGER: Duration = Duration::from_millis(2_600);

/// Part of the grace that is left when the process ends at the latest.
const GRACE_MARGIN: Duration = Duration::from_millis(500);

/// Pause between two looks whether requests are open.
const LOOK: Duration = Duration::from_millis(50);

/// Pause between two looks whether the settings have changed.
const RELOAD: Duration = Duration::from_secs(1);

/// Pause between two rounds of upkeep.
const UPKEEP: Duration = Duration::from_millis(500);

/// Pause between two attempts to list itself.
const REGISTER: Duration = Duration::from_millis(400);

/// Longest time for a call to the store.
const STORE: Duration = Duration::from_secs(1);

/// Longest answer of the store to a write, in bytes.
const MAX_ANSWER: usize = 64 << 10;

/// One entry that runs.
pub struct Daemon<P> {
    shared: Arc<Shared<P>>,
    addresses: Listen,
    stop: watch::Sender<bool>,
    // Ends its tasks when it is dropped.
    _tasks: JoinSet<()>,
}

/// Runs one entry with the settings at `path` until it is asked to stop.
///
/// # Errors
///
/// If the settings can't be used, a listener can't be opened, or signals can't be heard.
pub async fn run<P: Platform>(platform: P, path: &Path) -> Result<(), Error> {
    let mut terminate = signal(SignalKind::terminate()).map_err(Error::Signal)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(Error::Signal)?;
    let settings = Settings::read(path)?;
    let daemon = Daemon::start(platform, settings, std::io::stdout()).await?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => daemon.reload(path, Reload::Requested),
            () = sleep(RELOAD) => daemon.reload(path, Reload::Periodic),
        }
    }
    daemon.stop().await;
    Ok(())
}

/// Why settings are read again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reload {
    /// The process was told to.
    Requested,
    /// They may have changed without a word.
    Periodic,
}

impl<P: Platform> Daemon<P> {
    /// Starts an entry that writes its log to `log`.
    ///
    /// # Errors
    ///
    /// If a listener can't be opened.
    pub async fn start(
        platform: P,
        settings: Settings,
        log: impl Write + Send + 'static,
    ) -> Result<Daemon<P>, Error> {
        let clock = Clock::start();
        let journal = Journal::new(clock, log);
        let mut addresses = settings.listen;
        let callers = bind(&mut addresses.callers).await?;
        let questions = bind(&mut addresses.ready).await?;
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
        tasks.spawn(ready::serve(shared.clone(), questions));
        tasks.spawn(peers::run(shared.clone(), socket, incarnation));
        tasks.spawn(relay::serve(shared.clone(), relay));
        tasks.spawn(owner::run(shared.clone(), incarnation));
        tasks.spawn(register(shared.clone()));
        tasks.spawn(wait::run(shared.clone()));
        tasks.spawn(upkeep(shared.clone()));
        if let Some(metrics) = &mut addresses.metrics {
            tasks.spawn(ready::serve(shared.clone(), bind(metrics).await?));
        }
        Ok(Daemon { shared, addresses, stop, _tasks: tasks })
    }

    /// Where the entry listens.
    pub fn addresses(&self) -> Listen {
        self.addresses
    }

    /// Reads the settings at `path` again. Those in force stay if the new ones can't be used.
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

    /// Ends what is in progress and takes nothing new.
    pub async fn stop(self) {
        let shared = &self.shared;
        let open = shared.open_connections.load(Ordering::Relaxed);
        shared.stopping.store(true, Ordering::Relaxed);
        shared.fleet_changed.notify_waiters();
        shared.journal.note(&Event::Stopping { open });
        let grace = Duration::from_secs_f64(shared.settings().bounds.grace_s);
        let latest = Instant::now() + grace.saturating_sub(GRACE_MARGIN);
        sleep(LINGER.min(grace / 2)).await;
        self.stop.send_replace(true);
        loop {
            sleep(LOOK).await;
            if shared.open_connections.load(Ordering::Relaxed) == 0 || Instant::now() >= latest {
                break;
            }
        }
        shared.journal.flush();
        // Lets the thread that writes the journal take the last lines.
        sleep(LOOK).await;
    }
}

/// Opens a listener and notes the port that it got.
async fn bind(address: &mut SocketAddr) -> Result<TcpListener, Error> {
    let wanted = *address;
    let listen = |error| Error::Listen { address: wanted, error };
    let listener = TcpListener::bind(wanted).await.map_err(listen)?;
    *address = listener.local_addr().map_err(listen)?;
    Ok(listener)
}

/// Identifies this start of the process.
fn new_incarnation(instance: &str) -> u64 {
    use rand::RngExt as _;
    hash(instance) ^ rand::rng().random::<u64>()
}

/// Lists this entry in the store, so that peers find it.
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
        match shared.store.call(store, put, STORE, MAX_ANSWER).await {
            Ok(answer) if answer.status().is_success() => return,
            Ok(answer) if owner::already_exists(answer.status()) => {
                condition = Condition::Exists;
                continue;
            }
            Ok(_) => condition = Condition::Absent,
            Err(_) => {}
        }
        sleep(REGISTER).await;
    }
}

/// Drops what has lapsed.
async fn upkeep<P: Platform>(shared: Arc<Shared<P>>) {
    let mut told = Counts::new();
    loop {
        sleep(UPKEEP).await;
        shared.expire_instances();
        shared.report_replica_counts(&mut told);
        let addresses: std::collections::HashSet<SocketAddr> =
            shared.knowledge().fleet.iter().map(|it| it.address).collect();
        shared.targets.retain(|it| addresses.contains(&it));
    }
}
