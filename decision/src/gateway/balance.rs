//! Load balancing: chooses the target of a request, by the lowest expected time to its first token.
//!
//! An entry counts its own load on each target and adds the loads that its peers reported last. A
//! target whose streams are all silent for too long is suspect: it gets no requests except for
//! single trial requests after a delay, which show whether it answers again.

pub mod admission;
mod choose;
mod observe;
mod pause;
mod requirements;
mod silence;
pub mod speed;
mod state;
mod target;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use slotmap::{SlotMap, new_key_type};

pub use requirements::{Choice, Completion, Forecast, Patience, Requirements};
pub use silence::Terms;
pub use target::{Load, Partition, Target};

use crate::gateway::demand::Tracker;
use crate::gateway::engine::Engine;
use crate::prelude::*;
use admission::Ranks;
use speed::Baseline;
use state::{State, Suspicion};

new_key_type! {
    /// Identifies one start of a target in a [`Balancer`].
    pub struct Key;
}

/// Weight of the old value when the outcome of an attempt updates a failure score.
const FAILURE_SCORE_DECAY: f64 = 0.8;

/// Settings of a [`Balancer`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// Failure domain that this entry runs in.
    pub failure_domain: Arc<str>,
    /// Hash of this entry's name.
    pub entry_hash: u64,
    /// Milliseconds added to the cost of a target in another failure domain.
    pub remote_penalty_ms: f64,
    /// Largest number of targets to compare for one request.
    pub sample_size: usize,
    /// Delay before the first trial request to a suspect target. Doubles with each trial.
    pub trial_delay: Duration,
    /// Longest delay before a trial request.
    pub max_trial_delay: Duration,
    /// Silence beyond what the load explains that makes a target suspect while it streams.
    pub silence_slack: Duration,
    /// Silence beyond what the load explains that makes a target suspect before its first event.
    pub first_token_slack: Duration,
    /// Until when an earlier start of this entry may have sent requests that count for
    /// [`crate::gateway::warmup::WINDOW`]. None go to cold targets before.
    pub earlier_start_until: Time,
    /// Settings of admission.
    pub admission: admission::Settings,
    /// Mean age of what peers report.
    pub peer_lag: Duration,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// All targets that an entry can send requests to, with their loads and what was observed of them.
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    /// Targets by service.
    pools: HashMap<Arc<str>, Pool>,
    states: SlotMap<Key, State>,
    rng: Pcg64Mcg,
    /// Hashes of the names of all entries.
    entry_hashes: Vec<u64>,
    demand: Tracker,
    /// Until when instances asked not to be sent requests, by identifier and start. Kept also when
    /// their replicas end.
    pauses: HashMap<(Arc<str>, u64), Time>,
}

/// Targets of one service.
#[derive(Debug, Default)]
struct Pool {
    engine: Arc<Engine>,
    /// Requests per second that a cold target may be sent by all entries together.
    warmup_rate: f64,
    /// Listed targets.
    keys: Vec<Key>,
    /// Targets that left the list while this entry had work in progress there.
    unlisted: Vec<Key>,
    /// Number of targets by model.
    target_counts: HashMap<Arc<str>, usize>,
    /// Observed averages by model.
    baselines: HashMap<Arc<str>, Baseline>,
    /// Ranks that were requested recently, by model.
    ranks: HashMap<Arc<str>, Ranks>,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            failure_domain: "".into(),
            entry_hash: 0,
            remote_penalty_ms: 8.0,
            sample_size: 4,
            trial_delay: Duration::from_millis(500),
            max_trial_delay: Duration::from_secs(2),
            silence_slack: Duration::from_millis(30),
            first_token_slack: Duration::from_millis(120),
            earlier_start_until: Time::ZERO,
            admission: admission::Settings::default(),
            peer_lag: Duration::from_millis(40),
            seed: 0,
        }
    }
}

impl Balancer {
    /// Creates a balancer without targets.
    pub fn new(settings: Settings) -> Balancer {
        Balancer {
            rng: Pcg64Mcg::seed_from_u64(settings.seed),
            pools: HashMap::new(),
            states: SlotMap::with_key(),
            entry_hashes: Vec::new(),
            demand: Tracker::default(),
            pauses: HashMap::new(),
            settings,
        }
    }

    /// Sets the names of all entries, which share the rate limits of cold targets.
    pub fn set_entries<'a>(&mut self, names: impl IntoIterator<Item = &'a str>) {
        self.entry_hashes = names.into_iter().map(hash).collect();
    }

    /// Replaces the targets of `service`; each comes with the time for which it is still cold,
    /// that is, warming up.
    /// `warmup_rate` bounds the requests per second that all entries together send to a cold
    /// target. What is known of a target is kept while its identifier and incarnation stay.
    pub fn set_targets(
        &mut self,
        now: Time,
        service: &Arc<str>,
        engine: Option<&Engine>,
        warmup_rate: f64,
        targets: impl IntoIterator<Item = (Target, Duration)>,
    ) {
        self.pauses.retain(|_, until| *until > now);
        let mut pool = self.pools.remove(service).unwrap_or_default();
        pool.set_engine(engine.cloned().unwrap_or_default());
        let models = &pool.engine.models;
        pool.baselines.retain(|name, _| models.iter().any(|it| it.name == *name));
        pool.ranks.retain(|name, _| models.iter().any(|it| it.name == *name));
        pool.warmup_rate = warmup_rate;
        let mut previous: HashMap<(Arc<str>, (u64, u64)), Key> = HashMap::new();
        for key in pool.keys.drain(..).chain(pool.unlisted.drain(..)) {
            let Some(state) = self.states.get(key) else { continue };
            previous.insert((state.target.id.clone(), state.target.incarnation), key);
        }
        pool.target_counts.clear();
        for (target, cold_time) in targets {
            if let Some(model) = &target.model {
                *pool.target_counts.entry(model.clone()).or_default() += 1;
            }
            let cold_until = now + cold_time;
            let key = previous.remove(&(target.id.clone(), target.incarnation));
            let key = match key.and_then(|key| Some((key, self.states.get_mut(key)?))) {
                Some((key, state)) => {
                    state.target = target;
                    state.is_listed = true;
                    state.cold_until = state.cold_until.max(cold_until);
                    key
                }
                None => {
                    let start = (target.id.clone(), target.incarnation.0);
                    let paused_until = self.pauses.get(&start).copied();
                    let state = State::new(now, service.clone(), target, cold_until);
                    self.states.insert(State { paused_until, ..state })
                }
            };
            pool.keys.push(key);
        }
        pool.unlisted = self.unlist(previous.into_values());
        self.record_successors(&pool);
        self.pools.insert(service.clone(), pool);
    }

    /// Unlists the targets of services other than `services`, and forgets each of those services
    /// once this entry has no work in progress there.
    pub fn retain_services(&mut self, services: &[Arc<str>]) {
        let dropped = self.pools.extract_if(|name, _| !services.contains(name));
        let dropped: Vec<(Arc<str>, Pool)> = dropped.collect();
        for (name, mut pool) in dropped {
            let keys = pool.keys.drain(..).chain(pool.unlisted.drain(..));
            pool.unlisted = self.unlist(keys);
            if !pool.unlisted.is_empty() {
                self.pools.insert(name, pool);
            }
        }
    }

    /// Removes targets from the list. Returns those where this entry has work in progress.
    fn unlist(&mut self, keys: impl IntoIterator<Item = Key>) -> Vec<Key> {
        let mut used = Vec::new();
        for key in keys {
            if let Some(state) = self.states.get_mut(key) {
                state.is_listed = false;
            }
            self.remove_if_unused(key);
            used.extend(self.states.contains_key(key).then_some(key));
        }
        used
    }

    /// Records which unlisted targets have a successor in the list.
    fn record_successors(&mut self, pool: &Pool) {
        let listed = pool.keys.iter().filter_map(|it| self.states.get(*it));
        let listed: HashSet<u32> = listed.map(|it| it.tag).collect();
        for key in &pool.unlisted {
            if let Some(state) = self.states.get_mut(*key) {
                state.has_successor = listed.contains(&state.tag);
            }
        }
    }

    /// Removes a target that has left the list once this entry has no work in progress there.
    fn remove_if_unused(&mut self, key: Key) {
        let is_unused =
            self.states.get(key).is_some_and(|it| !it.is_listed && it.own_load.running == 0);
        if is_unused {
            self.states.remove(key);
        }
    }

    /// Returns the target with this key. A target that left the list is known until this entry's
    /// work there ends.
    pub fn target(&self, key: Key) -> Option<&Target> {
        self.states.get(key).map(|it| &it.target)
    }

    /// Returns whether the target is listed.
    pub fn is_listed(&self, key: Key) -> bool {
        self.states.get(key).is_some_and(|it| it.is_listed)
    }

    /// Returns whether `service` has a target that isn't suspect.
    pub fn has_healthy_target(&self, service: &str) -> bool {
        let keys = self.pools.get(service).map(|it| it.keys.as_slice()).unwrap_or_default();
        keys.iter().any(|it| self.states.get(*it).is_some_and(|it| it.suspicion.is_none()))
    }

    /// Subtracts `prompt_tokens` from the waiting prompts of the target, since the first token of
    /// that request has come.
    pub fn finish_prefill(&mut self, key: Key, prompt_tokens: u64) {
        if let Some(state) = self.states.get_mut(key) {
            state.own_load.prefill =
                state.own_load.prefill.saturating_sub(saturating_u32(prompt_tokens));
        }
    }

    /// Sends no requests to a target before `until`, as the target asked.
    pub fn pause(&mut self, key: Key, until: Time) {
        let Some(state) = self.states.get_mut(key) else { return };
        state.paused_until = state.paused_until.max(Some(until));
        let start = (state.target.id.clone(), state.target.incarnation.0);
        self.pauses.insert(start, until);
    }

    /// Records that the target sent data, so that it is no longer suspect.
    pub fn record_activity(&mut self, now: Time, key: Key) {
        if let Some(state) = self.states.get_mut(key) {
            state.last_active_at = now;
            state.is_streaming = true;
            state.is_reachable = true;
            state.suspicion = None;
        }
    }

    /// Records the end of an attempt. `prompt_tokens` is the prompt if no first token came, and
    /// [`Balancer::finish_prefill`] has not subtracted it; else 0.
    pub fn finish_attempt(
        &mut self,
        now: Time,
        key: Key,
        prompt_tokens: u64,
        completion: Completion,
    ) {
        let delay = self.settings.trial_delay;
        let Some(state) = self.states.get_mut(key) else { return };
        state.own_load.running = state.own_load.running.saturating_sub(1);
        state.own_load.prefill =
            state.own_load.prefill.saturating_sub(saturating_u32(prompt_tokens));
        let sample = match completion {
            Completion::Answered => 0.0,
            Completion::Refused => 0.5,
            Completion::Failed | Completion::Unreached => 1.0,
            Completion::Cancelled => state.failure_score,
        };
        state.failure_score =
            state.failure_score * FAILURE_SCORE_DECAY + sample * (1.0 - FAILURE_SCORE_DECAY);
        match completion {
            Completion::Answered => {
                state.suspicion = None;
                state.is_reachable = true;
            }
            Completion::Refused => state.is_reachable = true,
            Completion::Unreached => state.is_reachable = false,
            Completion::Failed | Completion::Cancelled => {}
        }
        let is_replica = state.target.model.is_some();
        let has_failed = !matches!(completion, Completion::Answered | Completion::Cancelled);
        if is_replica && has_failed && state.suspicion.is_none() {
            state.suspicion = Some(Suspicion { trial_at: now + delay, delay });
        }
        self.remove_if_unused(key);
    }

    /// Marks a target suspect and schedules the first trial request, unless it is suspect already.
    pub fn mark_suspect(&mut self, now: Time, key: Key) {
        let delay = self.settings.trial_delay;
        let Some(state) = self.states.get_mut(key) else { return };
        state.suspicion.get_or_insert(Suspicion { trial_at: now + delay, delay });
    }

    /// Returns the listed targets that are suspect.
    pub fn suspects(&self) -> impl Iterator<Item = &Target> {
        let suspects = self.states.values().filter(|it| it.is_listed && it.suspicion.is_some());
        suspects.map(|it| &it.target)
    }

    /// Returns the listed targets with this entry's load on each.
    pub fn targets(&self) -> impl Iterator<Item = (&Target, Load)> {
        self.states.values().filter(|it| it.is_listed).map(|it| (&it.target, it.own_load))
    }

    /// Sets the loads of the peer with the hash `from` on the targets of `partition`, by tag. On
    /// targets without a load in `loads`, the peer has none. They also tell of a target that has
    /// left the list, unless another start of it is listed.
    pub fn set_peer_loads(
        &mut self,
        now: Time,
        from: u64,
        partition: Partition,
        loads: &HashMap<u32, Load>,
    ) {
        let states = self.states.values_mut();
        let is_meant = |it: &State| it.is_listed || !it.has_successor;
        for state in states.filter(|it| is_meant(it) && partition.contains(it.tag)) {
            match loads.get(&state.tag) {
                Some(load) => {
                    let silence = Duration::from_millis(u64::from(load.quiet_ms));
                    state.peer_active_at = state.peer_active_at.max(now.back(silence));
                    state.peer_loads.insert(from, (now, *load));
                    state.reported_slowness.set_reported(now, load.slowness);
                }
                None => drop(state.peer_loads.remove(&from)),
            }
        }
    }

    /// Returns this entry's loads by the tag of the target. Targets without requests in progress
    /// are left out.
    pub fn own_loads(&self, now: Time) -> HashMap<u32, Load> {
        let busy = self.states.values().filter(|it| it.own_load.running > 0);
        let load = |it: &State| {
            let silence =
                if it.is_streaming { now.since(it.last_active_at) } else { Duration::MAX };
            let quiet_ms = u32::try_from(silence.as_millis()).unwrap_or(u32::MAX);
            (it.tag, Load { quiet_ms, slowness: it.own_slowness.tenths(now), ..it.own_load })
        };
        busy.map(load).collect()
    }
}

impl Pool {
    /// Replaces the engine if it differs.
    fn set_engine(&mut self, engine: Engine) {
        if *self.engine != engine {
            self.engine = Arc::new(engine);
        }
    }

    /// Records the rank of a request. Returns the baseline of its model, and how many more urgent
    /// ranks were recently requested for that model.
    fn record_rank(
        &mut self,
        now: Time,
        requirements: &Requirements,
        settings: &admission::Settings,
    ) -> (Baseline, u32) {
        let Some(model) = &requirements.model else { return (Baseline::default(), 0) };
        if !self.engine.models.iter().any(|it| it.name == *model) {
            return (Baseline::default(), 0);
        }
        let ranks = self.ranks.entry(model.clone()).or_default();
        ranks.record(now, requirements.rank);
        (
            self.baseline_of(Some(model)),
            self.ranks[model].more_urgent(now, requirements.rank, settings),
        )
    }

    /// Returns what was observed of `model`, or the default if there are no observations.
    fn baseline_of(&self, model: Option<&Arc<str>>) -> Baseline {
        model.and_then(|it| self.baselines.get(it)).copied().unwrap_or_default()
    }
}

/// Returns the hash of a name, the same at all entries.
pub fn hash(id: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(id.as_bytes())
}

/// Returns the tag by which entries identify a target or a model to each other: the lower half of
/// the hash of its name.
pub fn tag(id: &str) -> u32 {
    hash(id) as u32
}

fn saturating_u32(tokens: u64) -> u32 {
    u32::try_from(tokens).unwrap_or(u32::MAX)
}
