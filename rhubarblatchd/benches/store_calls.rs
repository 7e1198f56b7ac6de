//! Counts the calls of the store by fleets that follow the head, under a paused clock.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

use decision::clock::Time;
use decision::configuration::{Configuration, Source};
use decision::declaration::{Declaration, Workspace};
use decision::fabric::Fabric;
use decision::head::{Generation, Hash, Head, Incarnation, Member, item_key};
use decision::name::Name;
use decision::roster::{self, Joiner};
use operator::change::{Change, Edit};
use operator::writer::{self, Writer};
use rhubarblatchd::Uptime;
use rhubarblatchd::control::objects::Objects;
use rhubarblatchd::follower::{Follower, Newer, Peers, Settings, Sink};
use rhubarblatchd::membership::listing;
use serde_json::Value;
use store::count::Call;
use store::memory::Memory;
use store::{Kind, Store, Version};
use tokio::time::{self, Instant};

type Error = Box<dyn std::error::Error + Send + Sync>;
type Entry = Follower<Memory, Others, Evidence>;

const EXCHANGE: Duration = Duration::from_millis(250);
const START_S: u64 = 10;
const REST_S: u64 = 30;
const OUTAGE_S: u64 = 30;
const RECOVERY_S: u64 = 10;
const CHANGES: u64 = 4;
const FABRICS: u64 = 75;
const LATENCY: Duration = Duration::from_millis(3);

/// The other entries of the fleet, in the same process.
#[derive(Clone, Default)]
struct Others {
    fleet: Arc<OnceLock<BTreeMap<Incarnation, Arc<Entry>>>>,
}

/// When the entry last knew the store's state.
#[derive(Default)]
struct Evidence {
    at: Mutex<Time>,
}

impl Evidence {
    fn at(&self) -> Time {
        *self.at.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take(&self, at: Time) {
        let mut held = self.at.lock().unwrap_or_else(PoisonError::into_inner);
        *held = at.max(*held);
    }
}

impl Sink for Evidence {
    fn read(&self, sent: Time, _: Generation) {
        self.take(sent);
    }

    fn apply(&self, _: &Arc<Configuration>) {}

    fn silent(&self) -> BTreeSet<Name> {
        BTreeSet::new()
    }
}

impl Others {
    fn get(&self, peer: Incarnation) -> Option<&Arc<Entry>> {
        self.fleet.get()?.get(&peer)
    }
}

impl Peers for Others {
    async fn head(&self, peer: Incarnation, held: Generation) -> Option<Newer> {
        self.get(peer)?.newer(held)
    }

    async fn bodies(&self, peer: Incarnation, hashes: Vec<Hash>) -> Vec<Value> {
        self.get(peer).map(|peer| peer.bodies(&hashes)).unwrap_or_default()
    }
}

fn main() -> Result<(), Error> {
    println!("entries domains watchers  phase                      calls/s   most in 1 s  slowest");
    for (members, domains, items) in [(9, 3, 100), (360, 8, 800)] {
        for watchers in [2, usize::MAX] {
            let mut builder = tokio::runtime::Builder::new_current_thread();
            let runtime = builder.enable_time().start_paused(true).build()?;
            runtime.block_on(measure(members, domains, items, watchers))?;
        }
        let mut builder = tokio::runtime::Builder::new_current_thread();
        let runtime = builder.enable_time().start_paused(true).build()?;
        runtime.block_on(restart(members, domains, items))?;
    }
    Ok(())
}

/// All entries restart at once under their names and list themselves. Then the store is down
/// for ten minutes, after which all waits have reached their limits. Every entry also reads all fabric domains' objects once a second, as it does while
/// its peers tell it nothing.
async fn restart(members: u64, domains: u64, items: u64) -> Result<(), Error> {
    let store = Memory::default();
    seed(&store, members, domains, items).await?;
    for index in 0..FABRICS {
        let fabric = Fabric::default();
        store.put(Kind::Fabric, name("fabric", index)?.as_str(), Version::ABSENT, &fabric).await?;
    }
    let (clock, others) = (Uptime::start(), Others::default());
    let fleet: BTreeMap<Incarnation, Arc<Entry>> = (0..members)
        .map(|index| entry(index, 2, clock, &store, &others))
        .collect::<Result<_, Error>>()?;
    others.fleet.set(fleet.clone()).map_err(|_| "the fleet is set twice")?;
    for (position, entry) in fleet.values().enumerate() {
        tokio::spawn(run(Arc::clone(entry)));
        tokio::spawn(exchange(others.clone(), position, clock));
        tokio::spawn(join(Arc::clone(entry), position as u64, store.clone()));
        tokio::spawn(read_all(position as u64, clock, store.clone()));
    }
    print_seconds(&store, members, "restart").await;
    store.set_down(true);
    time::sleep(Duration::from_secs(600)).await;
    store.set_down(false);
    print_seconds(&store, members, "after an outage").await;
    Ok(())
}

/// Prints the calls of each second: reads with watches, and writes with conflicts.
async fn print_seconds(store: &Memory, members: u64, phase: &str) {
    let (mut reads, mut writes) = (Vec::new(), Vec::new());
    for _ in 0..RECOVERY_S {
        let before = (total(store), store.counter().total(Call::Put));
        time::sleep(Duration::from_secs(1)).await;
        let put = store.counter().total(Call::Put) - before.1;
        writes.push(put);
        reads.push(total(store) - before.0 - put);
    }
    println!("{members:>7}  {phase}: reads in each second {reads:?}, writes {writes:?}");
}

/// Lists the entry, as the daemon does, with a store that takes [`LATENCY`] for each call.
async fn join(entry: Arc<Entry>, index: u64, store: Memory) -> Result<(), Error> {
    let incarnation = Incarnation(1_000 + index);
    let peer = "127.0.0.1:1".parse()?;
    let mut draw = index;
    for failures in 0.. {
        draw = draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        time::sleep(listing::pause(failures, (draw >> 33) as f64 / f64::from(1_u32 << 31))).await;
        time::sleep(LATENCY).await;
        let Some(read) = store.get::<Head>(Kind::Configuration, Kind::HEAD).await? else {
            continue;
        };
        let failure_domain = read.value.roster[&name("entry", index)?].failure_domain.clone();
        let member = Member { incarnation, peer, failure_domain };
        let joiner = Joiner { name: name("entry", index)?, member };
        let next = roster::join(&read.value, &[joiner], read.value.generation, index)?;
        time::sleep(LATENCY * 2).await;
        if store.put(Kind::Configuration, Kind::HEAD, read.version, &next).await.is_ok() {
            entry.written(next);
            break;
        }
    }
    Ok(())
}

async fn read_all(seed: u64, clock: Uptime, store: Memory) -> Result<(), Error> {
    let objects = Arc::new(Objects::new(store, clock, seed));
    let running = objects.clone();
    tokio::spawn(async move { running.run().await });
    loop {
        for index in 0..FABRICS {
            let (objects, fabric) = (objects.clone(), name("fabric", index)?);
            tokio::spawn(async move { drop(objects.read(&fabric).await) });
        }
        time::sleep(Duration::from_secs(1)).await;
    }
}

async fn measure(members: u64, domains: u64, items: u64, watchers: usize) -> Result<(), Error> {
    let store = Memory::default();
    seed(&store, members, domains, items).await?;
    let clock = Uptime::start();
    let others = Others::default();
    let fleet: BTreeMap<Incarnation, Arc<Entry>> = (0..members)
        .map(|index| entry(index, watchers, clock, &store, &others))
        .collect::<Result<_, Error>>()?;
    others.fleet.set(fleet.clone()).map_err(|_| "the fleet is set twice")?;
    for (position, entry) in fleet.values().enumerate() {
        tokio::spawn(run(Arc::clone(entry)));
        tokio::spawn(exchange(others.clone(), position, clock));
    }
    let shown = if watchers == usize::MAX { "all".to_owned() } else { watchers.to_string() };
    let label = |phase: &str| format!("{members:>7} {domains:>7} {shown:>8}  {phase:<24}");

    let (rate, most) = count(&store, START_S).await;
    println!("{} {rate:>9.1} {most:>13}", label("start, 10 s"));
    let (rate, most) = count(&store, REST_S).await;
    println!("{} {rate:>9.1} {most:>13}", label("at rest, 30 s"));
    changes(&store, &fleet, &label("one change, calls in all")).await?;
    store.set_down(true);
    let (rate, most) = count(&store, OUTAGE_S).await;
    println!("{} {rate:>9.1} {most:>13}", label("outage, 30 s"));
    store.set_down(false);
    let (rate, most) = count(&store, RECOVERY_S).await;
    println!("{} {rate:>9.1} {most:>13}", label("after the outage, 10 s"));
    Ok(())
}

/// Makes changes one after the other, and prints the calls of one and the longest way to all.
async fn changes(
    store: &Memory,
    fleet: &BTreeMap<Incarnation, Arc<Entry>>,
    label: &str,
) -> Result<(), Error> {
    let writer = Writer::new(store.clone(), writer::Settings::default());
    writer.configuration().await?;
    let idle = total(store);
    time::sleep(Duration::from_secs(CHANGES * 10)).await;
    let idle = total(store) - idle;
    let (before, mut slowest) = (total(store), Duration::ZERO);
    for nonce in 1..=CHANGES {
        let start = Instant::now();
        let applied = writer.change(&change(nonce)?).await?;
        while fleet.values().any(|entry| entry.applied().generation() < applied.generation) {
            time::sleep(Duration::from_millis(10)).await;
        }
        slowest = slowest.max(start.elapsed());
        time::sleep_until(start + Duration::from_secs(10)).await;
    }
    let calls = (total(store) - before).saturating_sub(idle) as f64 / CHANGES as f64;
    println!("{label} {calls:>9.1} {:>13} {:>6} ms", "", slowest.as_millis());
    Ok(())
}

fn change(nonce: u64) -> Result<Change, Error> {
    let (previous, next) = (workspace(0, nonce as u32)?, workspace(0, nonce as u32 + 1)?);
    let expected = Some(Hash::of(&previous)?);
    let edit = Edit { id: next.id(), expected, declaration: Some(next) };
    Ok(Change { base: Generation(nonce), nonce, edits: vec![edit] })
}

/// Calls per second, and the most in any second.
async fn count(store: &Memory, seconds: u64) -> (f64, u64) {
    let (start, mut last, mut most) = (total(store), total(store), 0);
    for _ in 0..seconds {
        time::sleep(Duration::from_secs(1)).await;
        let now = total(store);
        most = most.max(now - last);
        last = now;
    }
    ((last - start) as f64 / seconds as f64, most)
}

fn total(store: &Memory) -> u64 {
    Call::ALL.into_iter().map(|call| store.counter().total(call)).sum()
}

async fn run(entry: Arc<Entry>) {
    entry.run().await;
}

/// Asks the other entries in turn, each entry with a step of its own.
async fn exchange(others: Others, position: usize, clock: Uptime) {
    let Some(fleet) = others.fleet.get() else { return };
    let entries: Vec<_> = fleet.iter().collect();
    let mut partner = position * 7 + 1;
    time::sleep(EXCHANGE * position as u32 / entries.len() as u32).await;
    loop {
        time::sleep(EXCHANGE).await;
        partner += 1 + position % 5;
        let (peer, other) = entries[partner % entries.len()];
        let at = other.sink().at();
        let (_, own) = entries[position];
        if clock.now().since(at) < Duration::from_secs(3) {
            own.sink().take(at);
            own.heard(Source::Peer(*peer), other.applied().generation());
            own.vouched(at);
        }
    }
}

fn entry(
    index: u64,
    watchers: usize,
    clock: Uptime,
    store: &Memory,
    others: &Others,
) -> Result<(Incarnation, Arc<Entry>), Error> {
    let settings =
        Settings { name: name("entry", index)?, seed: index, watchers, ..Settings::default() };
    let sink = Evidence::default();
    let entry = Follower::new(settings, clock, store.clone(), others.clone(), sink);
    Ok((Incarnation(index), Arc::new(entry)))
}

/// Stores a head of generation 1 that lists all entries, and its bodies.
async fn seed(store: &Memory, members: u64, domains: u64, items: u64) -> Result<(), Error> {
    let mut head = Head { generation: Generation(1), ..Head::default() };
    for index in 0..members {
        let peer = "127.0.0.1:1".parse()?;
        let failure_domain = name("domain", index % domains)?;
        let member = Member { incarnation: Incarnation(index), peer, failure_domain };
        head.roster.insert(name("entry", index)?, member);
    }
    for index in 0..items {
        let declaration = workspace(index, 1)?;
        let hash = Hash::of(&declaration)?;
        store.put(Kind::Declaration, hash.as_str(), Version::ABSENT, &declaration).await?;
        head.items.insert(item_key(&declaration.id()), hash);
    }
    store.put(Kind::Configuration, Kind::HEAD, Version::ABSENT, &head).await?;
    Ok(())
}

fn workspace(index: u64, weight: u32) -> Result<Declaration, Error> {
    Ok(Declaration::Workspace(Workspace { name: name("workspace", index)?, weight }))
}

fn name(prefix: &str, index: u64) -> Result<Name, Error> {
    Ok(Name::new(format!("{prefix}-{index}"))?)
}
