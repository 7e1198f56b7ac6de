//! Plays requests, replicas that crash, and entries that tell each other of it.

use std::collections::{BTreeMap, BTreeSet};

use decision::gateway::prompt::Part;
use decision::gateway::quarantine::Quarantine;
use decision::prelude::*;
use rand::RngExt as _;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;

/// Replicas, in failure domains of this many.
const REPLICAS: u32 = 24;
const DOMAIN: u32 = 4;

/// Step of the play, and time after which peers know what an entry knows, in milliseconds.
const STEP: u64 = 20;
const EXCHANGE: u64 = 100;

/// Time for which a replica is down, and from the begin of an answer to the crash.
const DOWN: u64 = 3_000;
const FUSE: u64 = 120;

/// Time after the fifth crash from which requests with the fatal part are late.
const CONTACT: u64 = 3_000;

/// Length of the play, and when requests with the fatal part begin to come.
const END: u64 = 40_000;
const ONSET: u64 = 8_000;

const FATAL: Part = Part { model: 7, id: u64::MAX };

/// Parts that sound requests share, the first ones more often.
const SOUND_PARTS: f64 = 300.0;

struct Running {
    entry: usize,
    replica: u32,
    prompt: Vec<Part>,
    /// Whether it was lost in a crash before.
    was_lost: bool,
    begins_at: u64,
    ends_at: u64,
}

/// What came of a play.
#[derive(Debug)]
pub(super) struct Outcome {
    /// Sound parts that were quarantined at its end.
    pub(super) sound: Vec<Part>,
    /// Requests with the fatal part that were sent too late.
    pub(super) late: usize,
}

pub(super) struct Play {
    random: Pcg64Mcg,
    entries: Vec<Quarantine>,
    rate: f64,
    running: Vec<Running>,
    /// When each replica is back, and how often it has crashed.
    replicas: BTreeMap<u32, (u64, u32)>,
    fatal_crashes: Vec<u64>,
    late: usize,
}

fn time(millis: u64) -> Time {
    Time::from_millis(1_000_000 + millis)
}

impl Play {
    pub(super) fn new(seed: u64, entries: usize, rate: f64) -> Play {
        Play {
            random: Pcg64Mcg::seed_from_u64(seed),
            entries: (0..entries).map(|_| Quarantine::default()).collect(),
            rate,
            running: Vec::new(),
            replicas: (0..REPLICAS).map(|it| (it, (0, 0))).collect(),
            fatal_crashes: Vec::new(),
            late: 0,
        }
    }

    pub(super) fn run(mut self) -> Outcome {
        let mut told = vec![0; self.entries.len()];
        for now in (0..END).step_by(STEP as usize) {
            self.begin_requests(now);
            self.crash_by_chance(now);
            self.crash_by_part(now);
            self.end_requests(now);
            if now % EXCHANGE == 0 {
                self.exchange(now, &mut told);
            }
            for entry in &mut self.entries {
                entry.judge(time(now));
                entry.expire(time(now));
            }
        }
        let verdicts = self.entries.iter().flat_map(|it| it.verdicts().map(|it| it.part));
        let sound: BTreeSet<Part> = verdicts.filter(|it| *it != FATAL).collect();
        Outcome { sound: sound.into_iter().collect(), late: self.late }
    }

    fn begin_requests(&mut self, now: u64) {
        let mean = self.rate * STEP as f64 / 1_000.0;
        let count = mean as u64 + u64::from(self.random.random_bool(mean.fract()));
        for _ in 0..count {
            let prompt = vec![self.sound_part()];
            self.send(now, prompt);
        }
        if now >= ONSET && self.random.random_bool(0.12) {
            let prompt = vec![self.sound_part(), FATAL];
            self.send(now, prompt);
        }
    }

    /// A part of sound requests; half of all requests have one of the first ten.
    fn sound_part(&mut self) -> Part {
        let place: f64 = self.random.random_range(0.0..1.0);
        Part { model: 7, id: (SOUND_PARTS.powf(place)) as u64 }
    }

    fn send(&mut self, now: u64, prompt: Vec<Part>) {
        let entry = self.random.random_range(0..self.entries.len());
        self.send_from(now, entry, prompt, false);
    }

    fn send_from(&mut self, now: u64, entry: usize, prompt: Vec<Part>, was_lost: bool) {
        let replica = self.random.random_range(0..REPLICAS);
        let is_up = self.replicas.get(&replica).is_some_and(|(back_at, _)| *back_at <= now);
        if !is_up || self.entries[entry].find(&prompt).is_some() {
            return;
        }
        let bound = self.fatal_crashes.get(4).map(|it| it + CONTACT);
        if prompt.contains(&FATAL) && bound.is_some_and(|it| now > it) {
            self.late += 1;
        }
        let begins_at = now + self.random.random_range(50..400);
        let ends_at = begins_at + self.random.random_range(200..2_500);
        self.running.push(Running { entry, replica, prompt, was_lost, begins_at, ends_at });
    }

    /// One replica crashes every 4 s, and a whole failure domain every 10 s.
    fn crash_by_chance(&mut self, now: u64) {
        if self.random.random_bool(STEP as f64 / 4_000.0) {
            let replica = self.random.random_range(0..REPLICAS);
            self.crash(now, replica);
        }
        if self.random.random_bool(STEP as f64 / 10_000.0) {
            let domain = self.random.random_range(0..REPLICAS / DOMAIN);
            (domain * DOMAIN..(domain + 1) * DOMAIN).for_each(|it| self.crash(now, it));
        }
    }

    fn crash_by_part(&mut self, now: u64) {
        let is_due = |it: &&Running| it.prompt.contains(&FATAL) && it.begins_at + FUSE <= now;
        let due: BTreeSet<u32> = self.running.iter().filter(is_due).map(|it| it.replica).collect();
        for replica in due {
            self.fatal_crashes.push(now);
            self.crash(now, replica);
        }
    }

    /// Ends a replica. Half of what it ran is sent once more.
    fn crash(&mut self, now: u64, replica: u32) {
        let Some((back_at, crashes)) = self.replicas.get_mut(&replica) else { return };
        if *back_at > now {
            return;
        }
        *back_at = now + DOWN;
        *crashes += 1;
        let target = replica + *crashes * 1_000;
        let survival_time = decision::gateway::quarantine::Settings::default().survival_time;
        let survival_time = u64::try_from(survival_time.as_millis()).unwrap_or(u64::MAX);
        let (lost, kept): (Vec<Running>, Vec<Running>) =
            self.running.drain(..).partition(|it| it.replica == replica);
        self.running = kept;
        for it in &lost {
            if it.begins_at + survival_time > now {
                self.entries[it.entry].record_loss(time(now), target, &it.prompt, !it.was_lost);
            }
        }
        for entry in &mut self.entries {
            entry.record_check(time(now), target, true);
        }
        for it in lost {
            if self.random.random_bool(0.5) {
                self.send_from(now, it.entry, it.prompt, true);
            }
        }
    }

    fn end_requests(&mut self, now: u64) {
        let (ended, running): (Vec<Running>, Vec<Running>) =
            self.running.drain(..).partition(|it| it.ends_at <= now);
        self.running = running;
        for it in ended {
            self.entries[it.entry].record_survival(time(now), &it.prompt);
        }
    }

    /// Tells each entry what is new at the others since the last exchange.
    fn exchange(&mut self, now: u64, told: &mut [u64]) {
        let mut news = Vec::new();
        for (entry, told) in self.entries.iter().zip(told) {
            let version = std::mem::replace(told, entry.version());
            news.extend((version != entry.version()).then(|| entry.evidence(time(now), version)));
        }
        for entry in &mut self.entries {
            news.iter().for_each(|it| drop(entry.merge(time(now), it)));
        }
    }
}
