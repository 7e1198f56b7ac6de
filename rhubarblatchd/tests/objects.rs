//! Reads of fabric domains' objects take few calls of the store, also when all entries read all.

#![cfg(test)]

use std::sync::Arc;
use std::time::Duration;

use decision::fabric::{Fabric, Layout};
use decision::name::Name;
use rhubarblatchd::Uptime;
use rhubarblatchd::control::objects::Objects;
use store::count::Call;
use store::memory::Memory;
use store::{Kind, Store, Version};
use tokio::time;

const ENTRIES: u64 = 360;
const DOMAINS: u64 = 75;

/// Reads that the store takes, in calls per second.
const READS_PER_S: u64 = 2_000;

/// Reads of the head, which `decision/tests/watcher.rs` bounds, and of the list of instances.
const OTHER_READS_PER_S: u64 = 920 + ENTRIES;

fn fabric(domain: u64) -> Name {
    Name::new(format!("fabric-{domain}")).unwrap()
}

async fn store() -> Memory {
    let store = Memory::default();
    for domain in 0..DOMAINS {
        let value = Fabric { layout: Layout(domain), ..Fabric::default() };
        store.put(Kind::Fabric, fabric(domain).as_str(), Version::ABSENT, &value).await.unwrap();
    }
    store
}

fn entry(store: &Memory, seed: u64) -> Arc<Objects<Memory>> {
    let objects = Arc::new(Objects::new(store.clone(), Uptime::start(), seed));
    let running = objects.clone();
    tokio::spawn(async move { running.run().await });
    objects
}

fn calls(store: &Memory) -> u64 {
    Call::ALL.into_iter().map(|call| store.counter().total(call)).sum()
}

#[tokio::test(start_paused = true)]
async fn each_read_gets_its_own_object() {
    let store = store().await;
    let entry = entry(&store, 1);
    let reads = (0..=DOMAINS).map(|domain| {
        let entry = entry.clone();
        tokio::spawn(async move { entry.read(&fabric(domain)).await })
    });
    for (domain, read) in reads.collect::<Vec<_>>().into_iter().enumerate() {
        let found = read.await.unwrap().unwrap();
        let domain = domain as u64;
        let expected = if domain == DOMAINS { 0 } else { domain };
        assert_eq!(found.object.fabric.layout, Layout(expected));
        assert_eq!(found.object.version == 0, domain == DOMAINS);
    }
}

/// All entries read all fabric domains once a second: from the start, in an outage and after it.
#[tokio::test(start_paused = true)]
async fn a_fleet_that_reads_everything_leaves_the_store_to_other_work() {
    let store = store().await;
    for seed in 0..ENTRIES {
        let entry = entry(&store, seed);
        tokio::spawn(async move {
            loop {
                for domain in 0..DOMAINS {
                    let entry = entry.clone();
                    tokio::spawn(async move { drop(entry.read(&fabric(domain)).await) });
                }
                time::sleep(Duration::from_secs(1)).await;
            }
        });
    }
    let mut seen = Vec::new();
    for second in 0..20 {
        store.set_down((5..12).contains(&second));
        let before = calls(&store);
        time::sleep(Duration::from_secs(1)).await;
        seen.push(calls(&store) - before);
    }
    let bound = READS_PER_S - OTHER_READS_PER_S;
    assert!(seen.iter().all(|calls| *calls <= bound), "{seen:?}");
}
