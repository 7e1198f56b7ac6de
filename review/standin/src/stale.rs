//! A machine freezes while configs come in quick succession, and wakes again.

use std::io::{BufReader, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::config::{ZONES, config, seconds, until};
use crate::entry::{Entry, Fleet, GROWN};
use crate::http::read_response;
use crate::record::Record;
use crate::replicas::{PLAIN_SERVICE, World};
use crate::store::Store;

/// The service that the public route is moved to.
const NEXT_SERVICE: &str = "xabo77d";

/// Routes beside those in use: 110 and a `big_config` of 1,480, as at `hab-riga-grown`.
const IDLE_ROUTES: u64 = 110 + 1_480;

/// `config_ms` and `contact_ms` of the site `hab-riga-grown`, in seconds.
const CONFIG: f64 = 3.0;
const CONTACT: f64 = 4.0;

/// The config of `version`, whose public route goes to `target`.
fn large(version: u64, target: &str) -> String {
    let small = config(version);
    let next = format!(
        "{{\"name\":\"{NEXT_SERVICE}\",\"health_path\":\"/healthz\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":0.0,\"warmup_per_s\":0.0}}"
    );
    let (routes, rest) = small.split_once("],\"services\":[").expect("routes before services");
    let mut out = routes.to_owned();
    out += &format!(
        ",{{\"name\":\"r-p\",\"hostname\":\"ficu95.example\",\"path_prefix\":\"/pufi791/\",\"type\":\"safe\",\"timeout_ms\":800,\"goal_ms\":150,\"priority\":2,\"service\":\"{target}\",\"attempts\":2,\"public\":true}}"
    );
    for number in 0..IDLE_ROUTES {
        let name = number.wrapping_mul(0x9e37_79b9) % 1_000_000_007;
        out += &format!(
            ",{{\"name\":\"r-{name:x}\",\"hostname\":\"ficu95.example\",\"path_prefix\":\"/i{name:x}/\",\"type\":\"safe\",\"timeout_ms\":{},\"goal_ms\":150,\"priority\":2,\"service\":\"{PLAIN_SERVICE}\",\"attempts\":2,\"public\":false,\"affinity\":false}}",
            800 + version % 100
        );
    }
    out + "],\"services\":[" + &next + "," + rest
}

/// A request of the consumer, and what came of it.
struct Sent {
    id: String,
    at: Instant,
    status: u16,
    body: String,
}

/// What the consumer does.
#[derive(Default)]
struct Orders {
    is_idle: AtomicBool,
    is_over: AtomicBool,
}

/// A consumer that keeps its channel to an entry open, also while it is idle. Sends a request on the
/// public route now and then.
fn consume(address: SocketAddr, record: &Record, orders: &Orders) -> Vec<Sent> {
    let mut all = Vec::new();
    let mut channel: Option<BufReader<TcpStream>> = None;
    for number in 0_u64.. {
        if orders.is_over.load(Ordering::Relaxed) {
            break;
        }
        sleep(Duration::from_millis(200));
        if orders.is_idle.load(Ordering::Relaxed) {
            continue;
        }
        let id = format!("{:016x}", (number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let at = Instant::now();
        if channel.is_none() {
            record.note("the consumer opens a channel");
            let Ok(stream) = TcpStream::connect_timeout(&address, seconds(1.0)) else { continue };
            drop(stream.set_read_timeout(Some(seconds(9.0))));
            channel = Some(BufReader::new(stream));
        }
        let Some(reader) = channel.as_mut() else { continue };
        let head = format!(
            "GET /pufi791/2f HTTP/1.1\r\nhost: ficu95.example\r\nx-rhubarblatch-request-id: {id}\r\nx-rhubarblatch-deadline-ms: 1500\r\n\r\n"
        );
        let sent = reader.get_mut().write_all(head.as_bytes());
        match sent.and_then(|()| read_response(reader)) {
            Ok((status, body)) => {
                let body = String::from_utf8_lossy(&body).into_owned();
                record.note(format!("consumer {id} gets {status} {body}"));
                all.push(Sent { id, at, status, body });
            }
            Err(error) => {
                record.note(format!("consumer {id} gets no answer: {error}"));
                channel = None;
            }
        }
    }
    all
}

pub fn play(folder: &Path, has_trouble: bool) -> bool {
    let record = Arc::new(Record::new(&folder.join("record.txt")));
    let work = std::env::temp_dir().join(format!("review-stale-{}", std::process::id()));
    std::fs::create_dir_all(&work).expect("a temporary folder");
    let (store, address) = Store::start();
    store.put("config", "main", &large(3, PLAIN_SERVICE));
    let world = World::start(store.clone(), record.clone());
    let mut old = Vec::new();
    for zone in ZONES {
        old.push(world.add_to(PLAIN_SERVICE, None, zone));
        world.add_to(NEXT_SERVICE, None, zone);
    }
    let fleet = Arc::new(Fleet::default());
    for zone in ZONES {
        for number in 1..=3 {
            let name = format!("edge-{zone}-{number}");
            fleet.add(Arc::new(Entry::new(&work, &name, zone, address, GROWN, record.clone())));
        }
    }
    fleet.all().iter().for_each(|it| it.start(true));
    fleet.watch();
    if !until(seconds(20.0), || fleet.all().iter().all(|it| it.ask())) {
        record.say("the system doesn't start: the case can't run");
        fleet.end();
        std::process::exit(2);
    }
    let frozen = fleet.all()[0].clone();
    let orders = Arc::new(Orders::default());
    let (noted, followed, callers) = (record.clone(), orders.clone(), frozen.callers);
    let consumer = thread::spawn(move || consume(callers, &noted, &followed));
    sleep(seconds(5.0));
    // The channel is idle for some 10 s, less than four fifths of `idle_timeout_ms` of 15,000.
    orders.is_idle.store(true, Ordering::Relaxed);
    sleep(seconds(0.4));
    let version = large(6, NEXT_SERVICE);
    record.say(format!("traffic runs; the config has {} bytes", version.len()));
    if has_trouble {
        frozen.signal("STOP");
        record.say(format!("{} freezes", frozen.name));
    }
    sleep(seconds(0.3));
    store.put("config", "main", &version);
    let acknowledged = Instant::now();
    record.say(format!("config 6 moves the public route from {PLAIN_SERVICE} to {NEXT_SERVICE}"));
    // Two storms: a change each 0.08 s for 2 s.
    let mut version = 6;
    for _ in 0..2 {
        for _ in 0..24 {
            sleep(Duration::from_millis(80));
            version += 3;
            store.put("config", "main", &large(version, NEXT_SERVICE));
        }
        sleep(seconds(0.2));
    }
    record.say(format!("{} configs followed", (version - 6) / 3));
    sleep(seconds(4.9_f64 - acknowledged.elapsed().as_secs_f64().min(4.9)));
    let mut awake = acknowledged;
    if has_trouble {
        frozen.signal("CONT");
        awake = Instant::now();
        record.say(format!("{} wakes", frozen.name));
    }
    sleep(seconds(CONTACT));
    orders.is_idle.store(false, Ordering::Relaxed);
    sleep(seconds(27.0));
    orders.is_over.store(true, Ordering::Relaxed);
    let sent = consumer.join().unwrap_or_default();
    let bound = (acknowledged + seconds(CONFIG)).max(awake + seconds(CONTACT));
    let mut stale = Vec::new();
    for Sent { id, at, status, body } in &sent {
        let is_old = old.iter().any(|it| body.ends_with(it.as_str()));
        if *at > bound && *status == 200 && is_old {
            let late = record.seconds(*at) - record.seconds(acknowledged);
            let calm = record.seconds(*at) - record.seconds(awake);
            record.note(format!("CONFIG: {id}, sent {late:.2} s after the ack of config 6 and {calm:.2} s after the machine woke, is run by the old service ({body})"));
            stale.push(late);
        }
    }
    record.say(format!(
        "{} requests on the kept channel, {} of them run by the old service later than {CONFIG} s after the ack by a machine in touch, the last {:.1} s after it",
        sent.len(),
        stale.len(),
        stale.last().copied().unwrap_or(0.0)
    ));
    for line in frozen.log_lines("lost").iter().chain(&frozen.log_lines("regained")) {
        record.note(format!("log of {}: {line}", frozen.name));
    }
    fleet.end();
    if std::env::var("KEEP").is_err() {
        drop(std::fs::remove_dir_all(&work));
    }
    let is_broken = !stale.is_empty();
    record.say(if is_broken { "CONFIG was broken" } else { "CONFIG held" });
    is_broken
}
