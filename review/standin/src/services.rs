//! A config moves a route to another service and no longer lists the first one, while replicas of
//! that still work on requests.

use std::collections::HashMap;
use std::path::Path;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::config::{ZONES, config, seconds, until};
use crate::consumers::{Consumers, Kind};
use crate::entry::{Entry, Fleet, RIGA};
use crate::http::Outcome;
use crate::json::Json;
use crate::record::Record;
use crate::replicas::{ENGINE_SERVICE, World};
use crate::store::Store;

/// The service that takes the place of [`ENGINE_SERVICE`].
const NEXT_SERVICE: &str = "vamo32c";

/// The config of `version`. Its streams go to `target`; `services` are those of the engine that it
/// lists.
fn config_with(version: u64, target: &str, services: &[&str]) -> String {
    let config = Json::parse(&config(version)).expect("a config");
    let rename = |object: &Json, field: &str, to: &str| {
        let Json::Object(fields) = object else { return object.clone() };
        let fields = fields.iter().map(|(name, value)| match name == field {
            true => (name.clone(), Json::Text(to.to_owned())),
            false => (name.clone(), value.clone()),
        });
        Json::Object(fields.collect())
    };
    let routes = config.get("routes").list().iter().map(|route| {
        match route.get("service").text() == Some(ENGINE_SERVICE) {
            true => rename(route, "service", target),
            false => route.clone(),
        }
    });
    let listed = config.get("services").list().iter().flat_map(|service| {
        match service.get("name").text() == Some(ENGINE_SERVICE) {
            true => services.iter().map(|it| rename(service, "name", it)).collect(),
            false => vec![service.clone()],
        }
    });
    let (routes, listed) = (Json::List(routes.collect()), Json::List(listed.collect()));
    let Json::Object(fields) = &config else { return String::new() };
    let fields = fields.iter().map(|(name, value)| match name.as_str() {
        "routes" => (name.clone(), routes.clone()),
        "services" => (name.clone(), listed.clone()),
        _ => (name.clone(), value.clone()),
    });
    Json::Object(fields.collect()).write()
}

pub fn play(folder: &Path, has_trouble: bool) -> bool {
    let record = Arc::new(Record::new(&folder.join("record.txt")));
    let work = std::env::temp_dir().join(format!("review-services-{}", std::process::id()));
    std::fs::create_dir_all(&work).expect("a temporary folder");
    let (store, address) = Store::start();
    store.put("config", "main", &config_with(3, ENGINE_SERVICE, &[ENGINE_SERVICE, NEXT_SERVICE]));
    let world = World::start(store.clone(), record.clone());
    for zone in ZONES {
        world.add(None, zone);
    }
    for place in 0..11 {
        world.add_to(ENGINE_SERVICE, Some(0), ZONES[place % 3]);
        world.add_to(NEXT_SERVICE, Some(1), ZONES[place % 3]);
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
    record.say(format!("{} groups serve, traffic starts", world.serving()));
    let consumers = Consumers::new(fleet.clone(), record.clone());
    consumers.run(&ZONES, Duration::from_millis(50));
    let begun = Instant::now();
    sleep(seconds(12.0));
    let changed = Instant::now();
    if has_trouble {
        let kept = std::env::var("KEPT").is_ok();
        let services: &[&str] =
            if kept { &[ENGINE_SERVICE, NEXT_SERVICE] } else { &[NEXT_SERVICE] };
        store.put("config", "main", &config_with(6, NEXT_SERVICE, services));
        record.say(format!("a config moves the streams to {NEXT_SERVICE} and lists {services:?}"));
    }
    sleep(seconds(12.0));
    consumers.stop();
    sleep(seconds(8.5));
    let result = judge(&record, &consumers, &world, begun, changed);
    fleet.end();
    if std::env::var("KEEP").is_err() {
        drop(std::fs::remove_dir_all(&work));
    }
    result
}

/// LOST: a request that was passed on to a replica, and whose channel ends without a complete
/// answer, from the sending of the config until `config_ms` + 1 s after its ack. Counted only if
/// that is over three times as often as at other times, and not for a request that has used seven
/// tenths of its time. The replicas of this case never break off.
fn judge(
    record: &Record,
    consumers: &Consumers,
    world: &World,
    begun: Instant,
    changed: Instant,
) -> bool {
    let runs = world.runs();
    let sent = consumers.sent.lock().expect("no panic under the lock");
    let (mut beside, mut other, mut running) = (0, 0, 0);
    let mut statuses: HashMap<String, usize> = HashMap::new();
    for request in sent.iter() {
        let limit = if matches!(request.kind, Kind::Stream(_)) { 8.0 } else { 0.8 };
        for attempt in &request.tries {
            let (id, entry, outcome) = (&attempt.id, &attempt.entry, &attempt.outcome);
            let shown = match outcome {
                Outcome::Whole(status, _) => status.to_string(),
                other => format!("{other:?}"),
            };
            *statuses.entry(shown.clone()).or_default() += 1;
            if attempt.at < changed && attempt.ended > changed && runs.contains_key(id) {
                running += 1;
            }
            let is_cut = matches!(outcome, Outcome::Cut(_) | Outcome::Nothing)
                || matches!(outcome, Outcome::Whole(502 | 504, _));
            let used = (attempt.ended - attempt.at).as_secs_f64() / limit;
            if !is_cut || used >= 0.7 || !runs.contains_key(id) {
                continue;
            }
            let is_beside = attempt.ended >= changed && attempt.ended <= changed + seconds(3.0);
            if is_beside {
                beside += 1
            } else {
                other += 1
            }
            let after = record.seconds(attempt.ended) - record.seconds(changed);
            record.note(format!(
                "LOST: {id} was passed on by {entry}, and gets {shown} {after:.3} s after the config"
            ));
        }
    }
    let mut statuses: Vec<_> = statuses.into_iter().collect();
    statuses.sort();
    record.say(format!("answers: {statuses:?}"));
    record.say(format!("{running} requests were at work when the config was acknowledged"));
    record.say(format!(
        "{beside} of those passed on were cut beside the config (3 s), {other} at other times ({:.0} s)",
        record.seconds(changed) - record.seconds(begun) + 9.0
    ));
    let often = beside as f64 / 3.0 > 3.0 * other as f64 / 21.0;
    let is_broken = beside > 0 && often;
    record.say(if is_broken { "LOST was broken" } else { "LOST held" });
    is_broken
}
