//! Entries follow the head through outages of the store, by way of each other.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use decision::clock::Time;
use decision::configuration::{Configuration, Source};
use decision::declaration::{Declaration, Id, Kind, Workspace};
use decision::head::{Generation, Hash, Incarnation};
use decision::name::Name;
use operator::change::{Change, Edit};
use operator::writer::{self, Writer};
use rhubarblatchd::Uptime;
use rhubarblatchd::follower::{Follower, Newer, Peers, Settings, Sink};
use serde_json::Value;
use store::memory::Memory;
use store::{Store, Version};
use tokio::time;

type Entry = Follower<Memory, Others, Log>;

/// The longest time until a change is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(8);

/// The other entries; those of them that can be reached.
#[derive(Clone, Default)]
struct Others {
    entries: Arc<OnceLock<Vec<Arc<Entry>>>>,
}

/// What an entry applied, in order.
#[derive(Default)]
struct Log {
    applied: Mutex<Vec<Generation>>,
}

impl Sink for Log {
    fn read(&self, _: Time, _: Generation) {}

    fn apply(&self, configuration: &Arc<Configuration>) {
        let mut applied = self.applied.lock().unwrap_or_else(|e| e.into_inner());
        applied.push(configuration.generation());
    }

    fn silent(&self) -> BTreeSet<Name> {
        BTreeSet::new()
    }
}

impl Others {
    fn get(&self, peer: Incarnation) -> Option<&Arc<Entry>> {
        self.entries.get()?.get(peer.0 as usize)
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

/// Two entries that are not in the roster, so that each watches the store for itself.
#[cfg(test)]
fn entries(store: &Memory) -> Vec<Arc<Entry>> {
    let (clock, others) = (Uptime::start(), Others::default());
    let entry = |seed| {
        let settings = Settings { seed, ..Settings::default() };
        let follower =
            Follower::new(settings, clock, store.clone(), others.clone(), Log::default());
        Arc::new(follower)
    };
    let entries: Vec<_> = (0..2).map(entry).collect();
    others.entries.set(entries.clone()).map_err(|_| "set twice").unwrap();
    entries
}

#[cfg(test)]
fn run(entry: &Arc<Entry>) {
    let entry = Arc::clone(entry);
    tokio::spawn(async move { entry.run().await });
}

fn writer(store: &Memory) -> Writer<Memory> {
    Writer::new(store.clone(), writer::Settings { sweep_every: 1, ..writer::Settings::default() })
}

#[cfg(test)]
async fn apply(writer: &Writer<Memory>, from: u32, to: u32) -> Generation {
    let name = Name::new("w").unwrap();
    let declared = |weight| {
        let name = name.clone();
        (weight > 0).then_some(Declaration::Workspace(Workspace { name, weight }))
    };
    let expected = declared(from).map(|it| Hash::of(&it).unwrap());
    let id = Id { kind: Kind::Workspace, name: name.clone() };
    let edits = vec![Edit { id, expected, declaration: declared(to) }];
    let base = Generation(from.into());
    let change = Change { base, nonce: u64::from(to) + 1, edits };
    writer.change(&change).await.unwrap().generation
}

#[tokio::test(start_paused = true)]
async fn a_change_is_applied_while_the_watch_waits() {
    let store = Memory::default();
    let entries = entries(&store);
    run(&entries[0]);
    let writer = writer(&store);
    for weight in 0..5 {
        let generation = apply(&writer, weight, weight + 1).await;
        time::sleep(Duration::from_secs(2)).await;
        assert_eq!(entries[0].applied().generation(), generation);
    }
    let applied = entries[0].sink().applied.lock().unwrap().clone();
    assert_eq!(applied, (1..=5).map(Generation).collect::<Vec<_>>());
}

/// Guards against changes of which one odd object makes that of the head unreadable.
#[tokio::test(start_paused = true)]
async fn a_change_is_applied_beside_an_odd_object() {
    let store = Memory::default();
    let entries = entries(&store);
    run(&entries[0]);
    let writer = writer(&store);
    apply(&writer, 0, 1).await;
    time::sleep(Duration::from_secs(2)).await;
    let kind = store::Kind::Configuration;
    store.put(kind, "odd", Version::ABSENT, &7).await.unwrap();
    let generation = apply(&writer, 1, 2).await;
    time::sleep(Duration::from_secs(2)).await;
    assert_eq!(entries[0].applied().generation(), generation);
}

#[tokio::test(start_paused = true)]
async fn an_entry_that_starts_during_an_outage_learns_from_a_peer() {
    let store = Memory::default();
    let entries = entries(&store);
    run(&entries[0]);
    let writer = writer(&store);
    apply(&writer, 0, 1).await;
    time::sleep(Duration::from_secs(2)).await;
    store.set_down(true);
    run(&entries[1]);
    time::sleep(Duration::from_secs(20)).await;
    assert_eq!(entries[1].applied().generation(), Generation(0));
    entries[1].heard(Source::Peer(Incarnation(0)), entries[0].applied().generation());
    time::sleep(Duration::from_secs(1)).await;
    assert_eq!(entries[1].applied(), entries[0].applied());
}

#[tokio::test(start_paused = true)]
async fn changes_missed_in_an_outage_are_applied_after_it() {
    let store = Memory::default();
    let entries = entries(&store);
    entries.iter().for_each(run);
    let writer = writer(&store);
    apply(&writer, 0, 1).await;
    time::sleep(Duration::from_secs(2)).await;
    store.set_down(true);
    time::sleep(Duration::from_secs(3_600)).await;
    store.set_down(false);
    let generation = apply(&writer, 1, 2).await;
    time::sleep(IN_FORCE).await;
    for entry in &entries {
        assert_eq!(entry.applied().generation(), generation);
    }
}

#[tokio::test(start_paused = true)]
async fn a_head_whose_body_is_gone_gives_way_to_the_next_one() {
    let store = Memory::default();
    let entries = entries(&store);
    let writer = writer(&store);
    apply(&writer, 0, 1).await;
    let bodies = store.list::<Value>(store::Kind::Declaration).await.unwrap().objects;
    let (name, version): (&str, Version) = (&bodies[0].name, bodies[0].version);
    store.delete(store::Kind::Declaration, name, version).await.unwrap();
    run(&entries[0]);
    time::sleep(Duration::from_secs(60)).await;
    assert_eq!(entries[0].applied().generation(), Generation(0));
    assert_eq!(entries[0].known(), Generation(1));
    let generation = apply(&writer, 1, 2).await;
    time::sleep(IN_FORCE).await;
    assert_eq!(entries[0].applied().generation(), generation);
}

#[tokio::test(start_paused = true)]
async fn a_peer_gets_the_difference_or_the_whole_head() {
    let store = Memory::default();
    let entries = entries(&store);
    run(&entries[0]);
    let writer = writer(&store);
    for weight in 0..70 {
        apply(&writer, weight, weight + 1).await;
        time::sleep(Duration::from_secs(1)).await;
    }
    assert_eq!(entries[0].newer(Generation(70)), None);
    assert!(matches!(entries[0].newer(Generation(69)), Some(Newer::Difference(_))));
    assert!(matches!(entries[0].newer(Generation(1)), Some(Newer::Whole(_))));
}
