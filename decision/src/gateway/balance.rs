//! Which target gets a request: the one whose first token is expected first.
//!
//! An entry counts what it has in progress on each target and adds what its peers told last. A
//! target whose streams are all silent is suspect: new work keeps off, and one trial after a
//! pause shows whether it answers again.

pub mod admission;
mod ask;
mod choose;
mod learn;
pub mod speed;
mod target;
mod track;

use std::collections::HashMap;
use std::sync::Arc;

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use slotmap::{SlotMap, new_key_type};

pub use ask::{Choice, Completion, Forecast, Requirements};
pub use target::{Load, Partition, Target};

use crate::gateway::demand::Tracker;
use crate::gateway::engine::Engine;
use crate::prelude::*;
use admission::Ranks;
use speed::Baseline;
use track::{Suspect, Track};

new_key_type! {
    /// A target that a [`Balancer`] knows.
    pub struct Key;
}

/// Part of the old value that a failure score keeps at each outcome.
const SCORE_KEEP: f64 = 0.8;

/// How targets are chosen.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The failure domain that this entry runs in.
    pub failure_domain: Arc<str>,
    /// The hash of this entry's name.
    pub entry_hash: u64,
    /// What a target in another failure domain costs more, in milliseconds.
    pub far_ms: f64,
    /// Targets that are compared for one request.
    pub compared: usize,
    /// Pause before the first trial of a suspect target. Doubles with each failed trial.
    pub trial: Duration,
    /// Longest pause before a trial.
    pub trial_limit: Duration,
    /// Silence that makes a target suspect, beyond what its load explains.
    pub silence: Duration,
    /// Silence that makes a target suspect that has not begun to write, beyond its load.
    pub first: Duration,
    /// How the room at targets is shared.
    pub admission: admission::Settings,
    /// Age of what peers tell, on average.
    pub lag: Duration,
    /// Seed of the random choices.
    pub seed: u64,
}

/// All targets of an entry.
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    pools: HashMap<Arc<str>, Pool>,
    tracks: SlotMap<Key, Track>,
    random: Pcg64Mcg,
    entries: Vec<u64>,
    demand: Tracker,
    /// Until when instances are left alone, by name and start. Outlives their replicas.
    rests: HashMap<(Arc<str>, u64), Time>,
}

#[derive(Debug, Default)]
struct Pool {
    engine: Engine,
    warmup_rate: f64,
    keys: Vec<Key>,
    /// Targets by model.
    served: HashMap<Arc<str>, usize>,
    /// What was learnt of each model.
    norms: HashMap<Arc<str>, Baseline>,
    /// The ranks that were asked for lately, by model.
    ranks: HashMap<Arc<str>, Ranks>,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            failure_domain: "".into(),
            entry_hash: 0,
            far_ms: 8.0,
            compared: 4,
            trial: Duration::from_millis(500),
            trial_limit: Duration::from_secs(2),
            silence: Duration::from_millis(30),
            first: Duration::from_millis(120),
            admission: admission::Settings::default(),
            lag: Duration::from_millis(40),
            seed: 0,
        }
    }
}

impl Balancer {
    /// No targets yet.
    pub fn new(settings: Settings) -> Balancer {
        Balancer {
            random: Pcg64Mcg::seed_from_u64(settings.seed),
            pools: HashMap::new(),
            tracks: SlotMap::with_key(),
            entries: Vec::new(),
            demand: Tracker::default(),
            rests: HashMap::new(),
            settings,
        }
    }

    /// Takes the names of all entries, which share the limits of cold targets.
    pub fn set_entries<'a>(&mut self, names: impl IntoIterator<Item = &'a str>) {
        self.entries = names.into_iter().map(hash).collect();
    }

    /// Replaces the targets of `service`; each comes with the time for which it is still cold.
    pub fn set_targets(
        &mut self,
        now: Time,
        service: &Arc<str>,
        engine: Option<&Engine>,
        warmup_rate: f64,
        targets: impl IntoIterator<Item = (Target, Duration)>,
    ) {
        self.rests.retain(|_, until| *until > now);
        let mut pool = self.pools.remove(service).unwrap_or_default();
        pool.engine = engine.cloned().unwrap_or_default();
        let models = &pool.engine.models;
        pool.norms.retain(|name, _| models.iter().any(|it| it.name == *name));
        pool.ranks.retain(|name, _| models.iter().any(|it| it.name == *name));
        pool.warmup_rate = warmup_rate;
        let mut known: HashMap<(Arc<str>, (u64, u64)), Key> = HashMap::new();
        for key in pool.keys.drain(..) {
            let Some(track) = self.tracks.get_mut(key) else { continue };
            track.listed = false;
            known.insert((track.target.id.clone(), track.target.incarnation), key);
        }
        pool.served.clear();
        for (target, cold) in targets {
            if let Some(model) = &target.model {
                *pool.served.entry(model.clone()).or_default() += 1;
            }
            let cold_until = now + cold;
            let key = known.remove(&(target.id.clone(), target.incarnation));
            let key = match key.and_then(|key| Some((key, self.tracks.get_mut(key)?))) {
                Some((key, track)) => {
                    track.target = target;
                    track.listed = true;
                    track.cold_until = track.cold_until.max(cold_until);
                    key
                }
                None => {
                    let start = (target.id.clone(), target.incarnation.0);
                    let rest_until = self.rests.get(&start).copied();
                    let track = Track::new(now, service.clone(), target, cold_until);
                    self.tracks.insert(Track { rest_until, ..track })
                }
            };
            pool.keys.push(key);
        }
        for key in known.into_values() {
            self.drop_idle(key);
        }
        self.pools.insert(service.clone(), pool);
    }

    /// Drops the targets of services other than `services`.
    pub fn retain_services(&mut self, services: &[Arc<str>]) {
        let gone = self.pools.extract_if(|name, _| !services.contains(name));
        let keys: Vec<Key> = gone.flat_map(|(_, pool)| pool.keys).collect();
        for key in keys {
            if let Some(track) = self.tracks.get_mut(key) {
                track.listed = false;
            }
            self.drop_idle(key);
        }
    }

    fn drop_idle(&mut self, key: Key) {
        let idle = self.tracks.get(key).is_some_and(|it| !it.listed && it.own.running == 0);
        if idle {
            self.tracks.remove(key);
        }
    }

    /// The target called `key`, also after it left the list while it has work.
    pub fn target(&self, key: Key) -> Option<&Target> {
        self.tracks.get(key).map(|it| &it.target)
    }

    /// Whether the target is still listed.
    pub fn is_listed(&self, key: Key) -> bool {
        self.tracks.get(key).is_some_and(|it| it.listed)
    }

    /// Whether `service` has a target that isn't suspect.
    pub fn has_healthy_target(&self, service: &str) -> bool {
        let keys = self.pools.get(service).map(|it| it.keys.as_slice()).unwrap_or_default();
        keys.iter().any(|it| self.tracks.get(*it).is_some_and(|it| it.suspect.is_none()))
    }

    /// Notes that the target has read `prompt` tokens: its first token for a request came.
    pub fn finish_prefill(&mut self, key: Key, prompt: u64) {
        if let Some(track) = self.tracks.get_mut(key) {
            track.own.prefill = track.own.prefill.saturating_sub(small(prompt));
        }
    }

    /// Leaves a target alone until then, since it asked for that.
    pub fn pause(&mut self, key: Key, until: Time) {
        let Some(track) = self.tracks.get_mut(key) else { return };
        track.rest_until = track.rest_until.max(Some(until));
        let start = (track.target.id.clone(), track.target.incarnation.0);
        self.rests.insert(start, until);
    }

    /// Notes a sign of life of the target.
    pub fn record_activity(&mut self, now: Time, key: Key) {
        if let Some(track) = self.tracks.get_mut(key) {
            track.heard = now;
            track.writing = true;
            track.suspect = None;
        }
    }

    /// Notes the end of an attempt. `prompt` is what [`Balancer::finish_prefill`] was not told of.
    pub fn finish_attempt(&mut self, now: Time, key: Key, prompt: u64, end: Completion) {
        let trial = self.settings.trial;
        let Some(track) = self.tracks.get_mut(key) else { return };
        track.own.running = track.own.running.saturating_sub(1);
        track.own.prefill = track.own.prefill.saturating_sub(small(prompt));
        let sample = match end {
            Completion::Answered => 0.0,
            Completion::Refused => 0.5,
            Completion::Failed => 1.0,
            Completion::Cancelled => track.failures,
        };
        track.failures = track.failures * SCORE_KEEP + sample * (1.0 - SCORE_KEEP);
        if end == Completion::Answered {
            track.suspect = None;
        }
        let replica = track.target.model.is_some();
        if replica
            && matches!(end, Completion::Failed | Completion::Refused)
            && track.suspect.is_none()
        {
            track.suspect = Some(Suspect { trial_at: now + trial, pause: trial });
        }
        self.drop_idle(key);
    }

    /// Until when the target may stay silent before it is suspect.
    ///
    /// While it writes, an event comes with each pass. Before its first token, it reads the
    /// prompts of all that wait, and the first event takes a whole pass after that.
    pub fn silence_deadline(&self, now: Time, key: Key) -> Time {
        let Some(track) = self.tracks.get(key) else { return now };
        let Some(pool) = self.pools.get(&track.service) else { return now };
        let load = track.load(now);
        let passes = if track.writing { 1.0 } else { 2.0 };
        let excess = f64::from(load.running.saturating_sub(track.target.slots));
        let norm = pool.norm_of(track.target.model.as_ref());
        let turns = excess * norm.length() / f64::from(track.target.slots.max(1));
        let pass = track.pass_ms(now, &pool.engine, &norm, load.running) * (passes + turns);
        let pace = track.target.time_factor * track.slowness(now);
        let tokens = u64::from(load.prefill) + self.unseen(now, pool, &norm, track);
        let tokens = if track.writing { tokens.min(pool.engine.pass_tokens()) } else { tokens };
        let prefill = pool.engine.prefill_ms(pace, tokens);
        let slack = match track.writing {
            true => self.settings.silence,
            false => self.settings.first + Duration::from_secs_f64(norm.start_ms() / 1_000.0),
        };
        let heard = track.heard.max(track.peer_heard);
        heard + slack + Duration::from_secs_f64((pass + prefill) / 1_000.0)
    }

    /// Prompt tokens that others may have sent to a target without this entry having heard of it,
    /// and that halt its streams meanwhile: twice the deviation more than is usual.
    fn unseen(&self, now: Time, pool: &Pool, norm: &Baseline, track: &Track) -> u64 {
        let Some(model) = &track.target.model else { return 0 };
        let targets = pool.served.get(model).copied().unwrap_or(1).max(1) as f64;
        let rate = self.demand.total_of(now, tag(model)).requests / targets;
        let arrivals = rate * self.settings.lag.as_secs_f64();
        // Prompts vary by about as much as they are long.
        let most = arrivals + 2.0 * (2.0 * arrivals).sqrt();
        (most * norm.prompt()) as u64
    }

    /// Makes a target suspect that was silent for too long. Returns whether it is suspect.
    pub fn check_silence(&mut self, now: Time, key: Key) -> bool {
        if now < self.silence_deadline(now, key) {
            return false;
        }
        self.mark_suspect(now, key);
        true
    }

    /// Makes a target suspect.
    pub fn mark_suspect(&mut self, now: Time, key: Key) {
        let trial = self.settings.trial;
        let Some(track) = self.tracks.get_mut(key) else { return };
        track.suspect.get_or_insert(Suspect { trial_at: now + trial, pause: trial });
    }

    /// The targets that are suspect.
    pub fn suspects(&self) -> impl Iterator<Item = &Target> {
        let suspects = self.tracks.values().filter(|it| it.listed && it.suspect.is_some());
        suspects.map(|it| &it.target)
    }

    /// The listed targets.
    pub fn targets(&self) -> impl Iterator<Item = (&Target, Load)> {
        self.tracks.values().filter(|it| it.listed).map(|it| (&it.target, it.own))
    }

    /// Takes what the peer `from` has in progress on `part` of the targets. Those that it doesn't
    /// name have nothing.
    pub fn set_peer_loads(
        &mut self,
        now: Time,
        from: u64,
        part: Partition,
        loads: &HashMap<u32, Load>,
    ) {
        let tracks = self.tracks.values_mut();
        for track in tracks.filter(|it| it.listed && part.contains(it.tag)) {
            match loads.get(&track.tag) {
                Some(load) => {
                    let quiet = Duration::from_millis(u64::from(load.quiet_ms));
                    track.peer_heard = track.peer_heard.max(now.back(quiet));
                    track.peers.insert(from, (now, *load));
                    track.told_slowness.told(now, load.slowness);
                }
                None => drop(track.peers.remove(&from)),
            }
        }
    }

    /// What this entry has in progress, by the tag of the target.
    pub fn own_loads(&self, now: Time) -> HashMap<u32, Load> {
        let busy = self.tracks.values().filter(|it| it.own.running > 0);
        let load = |it: &Track| {
            let silent = if it.writing { now.since(it.heard) } else { Duration::MAX };
            let quiet_ms = u32::try_from(silent.as_millis()).unwrap_or(u32::MAX);
            (it.tag, Load { quiet_ms, slowness: it.own_slowness.tenths(now), ..it.own })
        };
        busy.map(load).collect()
    }
}

impl Pool {
    /// What was learnt of the model that a request asks for, and how many more urgent ranks are
    /// asked for there.
    fn norm(
        &mut self,
        now: Time,
        ask: &Requirements,
        settings: &admission::Settings,
    ) -> (Baseline, u32) {
        let Some(model) = &ask.model else { return (Baseline::default(), 0) };
        if !self.engine.models.iter().any(|it| it.name == *model) {
            return (Baseline::default(), 0);
        }
        let ranks = self.ranks.entry(model.clone()).or_default();
        ranks.record(now, ask.rank);
        (self.norm_of(Some(model)), self.ranks[model].more_urgent(now, ask.rank, settings))
    }

    fn norm_of(&self, model: Option<&Arc<str>>) -> Baseline {
        model.and_then(|it| self.norms.get(it)).copied().unwrap_or_default()
    }
}

/// The hash of a name.
pub fn hash(id: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(id.as_bytes())
}

/// The tag by which peers name a target: the lower half of its hash.
pub fn tag(id: &str) -> u32 {
    hash(id) as u32
}

fn small(tokens: u64) -> u32 {
    u32::try_from(tokens).unwrap_or(u32::MAX)
}
