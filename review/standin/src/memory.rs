//! A large configuration is changed in quick succession, and the platform kills each process that
//! exceeds its memory, as it says.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::config::{ZONES, config, seconds, until};
use crate::consumers::{Attempt, Consumers};
use crate::entry::{Entry, Fleet, RIGA};
use crate::http::Outcome;
use crate::record::Record;
use crate::replicas::{PLAIN_SERVICE, World};
use crate::store::Store;

/// `ram_mb` of the machines of `hab-riga`.
const RAM: u64 = 260 << 20;

/// Largest `spec` that is written. The pages bound an object at 1,048,576 bytes.
const CONFIG_BYTES: usize = 1_020_000;

/// The configuration of `version` with more routes, up to [`CONFIG_BYTES`].
fn large(version: u64) -> String {
    let small = config(version);
    let (head, tail) = small.split_once("],\"services\"").expect("routes before services");
    let mut out = head.to_owned();
    for number in 0_u64.. {
        let name = number.wrapping_mul(0x9e37_79b9) % 1_000_000_007;
        let route = format!(
            ",{{\"name\":\"r-{name:x}\",\"hostname\":\"ficu95.example\",\"path_prefix\":\"/i{name:x}/\",\"type\":\"safe\",\"timeout_ms\":{},\"goal_ms\":150,\"priority\":2,\"service\":\"{PLAIN_SERVICE}\",\"attempts\":2,\"public\":false}}",
            800 + version % 100
        );
        if out.len() + route.len() + tail.len() > CONFIG_BYTES {
            break;
        }
        out += &route;
    }
    out + "],\"services\"" + tail
}

/// Changes of a storm: one each 0.33 s for 4 s, and the pause after it.
const STORM: u32 = 12;
const PAUSE: Duration = Duration::from_secs(1);

pub fn play(folder: &Path, has_trouble: bool) -> bool {
    let record = Arc::new(Record::new(&folder.join("record.txt")));
    let work = std::env::temp_dir().join(format!("review-memory-{}", std::process::id()));
    std::fs::create_dir_all(&work).expect("a temporary folder");
    let (store, address) = Store::start();
    store.put("config", "main", &large(3));
    let world = World::start(store.clone(), record.clone());
    ZONES.iter().for_each(|it| drop(world.add(None, it)));
    for place in 0..22 {
        world.add(Some(place / 11), ZONES[place % 3]);
    }
    let fleet = Arc::new(Fleet::default());
    for zone in ZONES {
        let name = format!("edge-{zone}-1");
        fleet.add(Arc::new(Entry::new(&work, &name, zone, address, RIGA, record.clone())));
    }
    fleet.all().iter().for_each(|it| it.start(true));
    fleet.watch();
    let is_up = || world.serving() >= 4 && fleet.all().iter().all(|it| it.ask());
    if !until(seconds(30.0), is_up) {
        record.say("the system doesn't start: the case can't run");
        fleet.end();
        std::process::exit(2);
    }
    world.end_warm_start();
    record.say(format!("the config has {} bytes, traffic starts", large(3).len()));
    let is_over = Arc::new(AtomicBool::new(false));
    let consumers = Consumers::new(fleet.clone(), record.clone());
    consumers.run(&ZONES, Duration::from_millis(50));
    // The platform: a process that exceeds its memory is killed, and started again.
    let mut watchers = Vec::new();
    for entry in fleet.all() {
        let (record, is_over) = (record.clone(), is_over.clone());
        watchers.push(thread::spawn(move || watch(&entry, &record, &is_over)));
    }
    sleep(seconds(6.0));
    let begun = Instant::now();
    let mut changes = 0;
    while begun.elapsed() < seconds(80.0) {
        for _ in 0..STORM {
            sleep(Duration::from_millis(330));
            if has_trouble {
                changes += 1;
                store.put("config", "main", &large(3 + 3 * changes));
            }
        }
        sleep(PAUSE);
        let used: Vec<u64> = fleet.all().iter().map(|it| it.memory() >> 20).collect();
        record.say(format!("after {changes} changes the processes use {used:?} MB"));
    }
    is_over.store(true, Ordering::Relaxed);
    let kills: Vec<u32> = watchers.into_iter().map(|it| it.join().unwrap_or(0)).collect();
    consumers.stop();
    sleep(seconds(8.5));
    fleet.end();
    drop(std::fs::remove_dir_all(&work));
    judge(&record, &consumers, &world, begun, &kills)
}

/// Watches the memory of a process until `is_over`, and kills it as the platform does. Returns how
/// often the process ended.
fn watch(entry: &Entry, record: &Record, is_over: &AtomicBool) -> u32 {
    let (mut kills, mut most) = (0, 0);
    while !is_over.load(Ordering::Relaxed) {
        sleep(Duration::from_millis(50));
        let memory = entry.memory();
        most = most.max(memory);
        if memory > RAM {
            record.say(format!("{} uses {} MB of 260 and is killed", entry.name, memory >> 20));
            entry.kill();
        } else if !entry.has_ended() {
            continue;
        }
        kills += 1;
        sleep(seconds(0.5));
        entry.start(false);
    }
    record.say(format!("{}: ended {kills} times, used {} MB at most", entry.name, most >> 20));
    kills
}

/// LOST: a process has read a whole request and passed it on to a replica, and its channel ends
/// without a complete answer, while a config that may be in force is younger than `config_ms` + 1 s.
/// Counted only if that is over three times as often as at other times.
fn judge(
    record: &Record,
    consumers: &Consumers,
    world: &World,
    begun: Instant,
    kills: &[u32],
) -> bool {
    let runs = world.runs();
    let sent = consumers.sent.lock().expect("no panic under the lock");
    let (mut beside, mut other) = (0, 0);
    for Attempt { id, entry, outcome, ended, .. } in sent.iter().flat_map(|it| &it.tries) {
        let is_cut = matches!(outcome, Outcome::Nothing | Outcome::Cut(_));
        if !is_cut || !runs.contains_key(id) {
            continue;
        }
        if *ended >= begun {
            beside += 1
        } else {
            other += 1
        }
        let at = record.seconds(*ended);
        record.note(format!(
            "LOST: {id} was passed on by {entry}, its channel ended at {at:.3}: {outcome:?}"
        ));
    }
    let served = sent.iter().filter(|it| it.served).count();
    record.say(format!("{served} of {} requests were served", sent.len()));
    record.say(format!(
        "{beside} that had been passed on were cut beside configs, {other} at other times"
    ));
    record.say(format!("the processes ended {kills:?} times, with no disturbance"));
    let is_broken = beside > 0 && other == 0;
    record.say(if is_broken { "LOST was broken" } else { "LOST held" });
    is_broken
}
