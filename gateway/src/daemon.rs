//! One entry: its listeners, its loops, and how it stops.

use std::net::SocketAddr;
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
use crate::port::{Entry, Kind, Platform, When, Write};
use crate::settings::Settings;
use crate::state::{Counts, Shared};
use crate::{follow, intake, owner, peers, ready, relay};

/// Time for which a stopping entry still takes new connections: the platform asks once a second
/// whether it is ready, and sends none after two misses.
const LINGER: Duration = Duration::from_millis(2_600);

/// Part of the grace that is left when the process ends at the latest.
const GRACE_MARGIN: Duration = Duration::from_millis(500);

/// Pause between two looks whether requests are open.
const LOOK: Duration = Duration::from_millis(50);

/// Pause between two rounds of upkeep.
const UPKEEP: Duration = Duration::from_millis(500);

/// Pause between two attempts to list itself.
const REGISTER: Duration = Duration::from_millis(400);

/// Longest time for a call to the store.
const STORE: Duration = Duration::from_secs(1);

/// Longest answer of the store to a write, in bytes.
const MAX_ANSWER: usize = 64 << 10;

/// Runs one entry until it is asked to stop.
///
/// # Errors
///
/// If a listener can't be opened or signals can't be heard.
pub async fn run<P: Platform>(platform: P, settings: Settings) -> Result<(), Error> {
    let clock = Clock::start();
    let journal = Journal::new(clock, std::io::stdout());
    let listen = settings.listen;
    let mut terminate = signal(SignalKind::terminate()).map_err(Error::Signal)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(Error::Signal)?;
    let callers = bind(listen.callers).await?;
    let questions = bind(listen.ready).await?;
    let relay = bind(listen.peers).await?;
    let socket = UdpSocket::bind(listen.peers).await;
    let address = listen.peers;
    let socket = socket.map_err(|error| Error::Listen { address, error })?;
    let shared = Arc::new(Shared::new(platform, settings, clock, journal.clone()));
    let life = life(&shared.settings.instance);
    shared.journal.note(&Event::Started {
        instance: &shared.settings.instance,
        failure_domain: &shared.settings.failure_domain,
        version: env!("CARGO_PKG_VERSION"),
    });
    let (stop, stopped) = watch::channel(false);
    let mut tasks = JoinSet::new();
    tasks.spawn(journal.run());
    tasks.spawn(follow::run(shared.clone()));
    tasks.spawn(intake::serve(shared.clone(), callers, stopped));
    tasks.spawn(ready::serve(shared.clone(), questions));
    tasks.spawn(peers::run(shared.clone(), socket, life));
    tasks.spawn(relay::serve(shared.clone(), relay));
    tasks.spawn(owner::run(shared.clone(), life));
    tasks.spawn(register(shared.clone()));
    tasks.spawn(upkeep(shared.clone()));
    if let Some(metrics) = listen.metrics {
        tasks.spawn(ready::serve(shared.clone(), bind(metrics).await?));
    }
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => shared.journal.note(&Event::Reloaded { changed: false }),
        }
    }
    finish(&shared, &stop).await;
    shared.journal.flush();
    // Lets the thread that writes the journal take the last lines.
    sleep(LOOK).await;
    Ok(())
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|error| Error::Listen { address, error })
}

/// Identifies this start of the process.
fn life(instance: &str) -> u64 {
    use rand::RngExt as _;
    hash(instance) ^ rand::rng().random::<u64>()
}

/// Ends what is in progress and takes nothing new.
async fn finish<P: Platform>(shared: &Shared<P>, stop: &watch::Sender<bool>) {
    let open = shared.open.load(Ordering::Relaxed);
    shared.stopping.store(true, Ordering::Relaxed);
    shared.changed.notify_waiters();
    shared.journal.note(&Event::Stopping { open });
    let grace = Duration::from_secs_f64(shared.settings.bounds.grace_s);
    let latest = Instant::now() + grace.saturating_sub(GRACE_MARGIN);
    sleep(LINGER.min(grace / 2)).await;
    stop.send_replace(true);
    loop {
        sleep(LOOK).await;
        let open = shared.open.load(Ordering::Relaxed);
        if open == 0 || Instant::now() >= latest {
            return;
        }
    }
}

/// Lists this entry in the store, so that peers find it.
async fn register<P: Platform>(shared: Arc<Shared<P>>) {
    let store = shared.settings.store;
    let name = shared.settings.instance.as_str();
    let settings = &shared.settings;
    let failure_domain = settings.failure_domain.clone();
    let entry = Entry { address: settings.listen.peers, failure_domain };
    let Ok(value) = serde_json::to_value(&entry) else { return };
    let mut when = When::Absent;
    loop {
        let write = Write { kind: Kind::Entries, name, when, value: value.clone() };
        let put = shared.platform.put(store, &write);
        match shared.store.call(store, put, STORE, MAX_ANSWER).await {
            Ok(answer) if answer.status().is_success() => return,
            Ok(answer) if owner::exists(answer.status()) => {
                when = When::Always;
                continue;
            }
            Ok(_) => when = When::Absent,
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
        let now = shared.now();
        let lapsed = shared.knowledge().fleet.expire(now);
        if lapsed {
            shared.refresh();
        }
        shared.report(&mut told);
        let addresses: std::collections::HashSet<SocketAddr> =
            shared.knowledge().fleet.iter().map(|it| it.address).collect();
        shared.targets.retain(|it| addresses.contains(&it));
    }
}
