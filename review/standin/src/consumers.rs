//! Consumers: they send requests through the platform and note what they get.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::entry::Fleet;
use crate::http::{Outcome, call};
use crate::record::Record;
use crate::replicas::MODELS;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Stream(usize),
    Unsafe,
    Safe,
}

/// A request, with all its attempts.
#[derive(Clone, Debug)]
pub struct Sent {
    pub kind: Kind,
    pub served: bool,
    pub tries: Vec<Attempt>,
}

/// One attempt of a request.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    /// The entry that it was sent to.
    pub entry: String,
    pub at: Instant,
    pub ended: Instant,
    pub outcome: Outcome,
}

pub struct Consumers {
    fleet: Arc<Fleet>,
    record: Arc<Record>,
    pub sent: Mutex<Vec<Sent>>,
    stop: AtomicBool,
    number: AtomicU64,
}

impl Consumers {
    pub fn new(fleet: Arc<Fleet>, record: Arc<Record>) -> Arc<Consumers> {
        Arc::new(Consumers {
            fleet,
            record,
            sent: Mutex::default(),
            stop: AtomicBool::new(false),
            number: AtomicU64::new(1),
        })
    }

    /// Sends requests from the zones in turn, one each `gap`, until [`Consumers::stop`]: of 66, 59
    /// streams, 5 that may run once and 2 that may be repeated, as at the site `hab-riga`.
    pub fn run(self: &Arc<Self>, zones: &'static [&'static str], gap: Duration) {
        self.run_kinds(zones, gap, |turn| match turn * 29 % 66 {
            0..=4 => Kind::Unsafe,
            5 | 6 => Kind::Safe,
            other => Kind::Stream(usize::from(other % 3 == 0)),
        });
    }

    fn run_kinds(
        self: &Arc<Self>,
        zones: &'static [&'static str],
        gap: Duration,
        kind: fn(usize) -> Kind,
    ) {
        let consumers = self.clone();
        thread::spawn(move || {
            let mut next = Instant::now();
            for turn in 0_usize.. {
                if consumers.stop.load(Ordering::Relaxed) {
                    return;
                }
                thread::sleep(next.saturating_duration_since(Instant::now()));
                next += gap;
                let kind = kind(turn);
                let consumers = consumers.clone();
                let zone = zones[turn % zones.len()];
                thread::spawn(move || consumers.send(zone, kind));
            }
        });
    }

    pub fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    fn send(&self, zone: &str, kind: Kind) {
        let at = Instant::now();
        let (limit, path) = match kind {
            Kind::Stream(_) => (Duration::from_millis(8_000), "/lohu930/2f"),
            Kind::Unsafe => (Duration::from_millis(1_500), "/puxa403/2f"),
            Kind::Safe => (Duration::from_millis(1_500), "/cufi504/2f"),
        };
        let deadline = at + limit;
        let mut tries = Vec::new();
        let mut served = false;
        for _ in 0..2 {
            let number = self.number.fetch_add(1, Ordering::Relaxed);
            let id = format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
            let eligible = self.fleet.eligible(zone);
            if eligible.is_empty() {
                break;
            }
            let entry = eligible[number as usize * 7 % eligible.len()].clone();
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let method = if kind == Kind::Safe { "GET" } else { "POST" };
            let mut head = format!(
                "{method} {path} HTTP/1.1\r\nhost: ficu95.example\r\nx-rhubarblatch-request-id: {id}\r\nx-rhubarblatch-deadline-ms: {}\r\nx-rhubarblatch-credential: n2ctnfzs989anu6wsjnb\r\nconnection: close\r\n",
                left.as_millis()
            );
            if let Kind::Stream(model) = kind {
                head += &format!(
                    "x-rhubarblatch-model: {}\r\nx-rhubarblatch-token-count: 1460,150\r\nx-rhubarblatch-prompt-prefix: 5c1e07a2:40,{id}:1420\r\n",
                    MODELS[model].0
                );
            }
            let body: &[u8] = if kind == Kind::Safe { b"" } else { b"words" };
            let sent_at = Instant::now();
            let outcome = call(entry.callers, &head, body, deadline);
            let shown = match &outcome {
                Outcome::Whole(status, body) => format!("{status} ({} bytes)", body.len()),
                other => format!("{other:?}"),
            };
            self.record.note(format!("consumer {id} {kind:?} at {} gets {shown}", entry.name));
            served = matches!(&outcome, Outcome::Whole(200, _));
            let may_repeat = match &outcome {
                Outcome::Whole(429 | 503 | 408 | 421, _) | Outcome::Unreachable => true,
                Outcome::Whole(..) => false,
                Outcome::Cut(_) | Outcome::Nothing => kind != Kind::Unsafe,
            };
            let (at, ended) = (sent_at, Instant::now());
            tries.push(Attempt { id, entry: entry.name.clone(), at, ended, outcome });
            if served || !may_repeat {
                break;
            }
            thread::sleep(Duration::from_millis(150).min(left / 3));
        }
        let sent = Sent { kind, served, tries };
        self.sent.lock().expect("no panic under the lock").push(sent);
    }
}
