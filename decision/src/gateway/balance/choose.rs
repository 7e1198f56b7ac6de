//! The choice of a target, by capacity and expected cost.

use rand::RngExt as _;

use super::admission::{self, Capacity, Contention};
use super::speed::Baseline;
use super::state::{Estimate, State};
use super::{Balancer, Choice, Forecast, Key, Pool, Requirements, Settings, saturating_u32, tag};
use crate::gateway::warmup;
use crate::prelude::*;

/// Upper bound of the time in [`Choice::Busy`], in milliseconds.
const MAX_BUSY_MS: f64 = 5_000.0;

/// Time after which a cold target at its rate limit may have capacity again, in milliseconds.
const COLD_RETRY_MS: f64 = 100.0;

/// Time after which a suspect target may be due for a trial request, in milliseconds.
const SUSPECT_RETRY_MS: f64 = 200.0;

/// A target that has capacity for the request.
#[derive(Clone, Copy)]
struct Candidate {
    key: Key,
    cost: f64,
    /// Number of such requests that it could take, including in place of those that end within the
    /// reporting lag.
    free_slots: f64,
    forecast: Forecast,
}

impl Candidate {
    fn new(key: Key, estimate: &Estimate, free_slots: f64, lag: Duration) -> Candidate {
        let ended = f64::from(estimate.running) * millis(lag);
        let free_slots = free_slots + ended / estimate.decode_ms.max(1.0);
        let Estimate { load_ms, first_token_ms, slowness, running, is_typical, cost, .. } =
            *estimate;
        Candidate {
            key,
            cost,
            free_slots,
            forecast: Forecast { load_ms, first_token_ms, slowness, running, is_typical },
        }
    }
}

/// Targets that have capacity for one request.
struct Candidates {
    in_time: Vec<Candidate>,
    late: Vec<Candidate>,
    /// Whether any target could run the request, with or without capacity now.
    has_target: bool,
    /// Time until a target without capacity may have some, in milliseconds.
    soonest_ms: f64,
}

/// Values that the estimates of all targets for one request share.
struct Context {
    baseline: Baseline,
    /// More urgent ranks that were recently requested for the model.
    more_urgent: u32,
}

impl Balancer {
    /// Chooses a target for a request to `service` and adds the request to the target's load.
    pub fn choose(&mut self, now: Time, service: &str, requirements: &Requirements) -> Choice {
        let Some(pool) = self.pools.get_mut(service) else { return Choice::NoTarget };
        let (baseline, more_urgent) = pool.record_rank(now, requirements, &self.settings.admission);
        let candidates =
            self.candidates(now, service, requirements, &Context { baseline, more_urgent });
        let Candidates { in_time, late, has_target, soonest_ms } = candidates;
        let contention = self.contention(now, requirements, in_time.len());
        let eligible = if in_time.is_empty() { late } else { in_time };
        let free_slots = eligible.iter().map(|it| it.free_slots).sum();
        let is_admitted =
            requirements.is_resumed || contention.admits(free_slots, requirements.draw);
        let picked = if is_admitted { self.pick(eligible, &contention) } else { None };
        match picked {
            Some(Candidate { key, forecast, .. }) => {
                self.start_attempt(now, key, requirements);
                Choice::Send(key, forecast)
            }
            None if has_target => {
                Choice::Busy(Duration::from_secs_f64(soonest_ms.min(MAX_BUSY_MS) / 1_000.0))
            }
            None => Choice::NoTarget,
        }
    }

    /// Returns whether a request to `service` that is at the target `key` could go on at another one
    /// now. One that could not be reached last is none.
    pub fn has_alternative(
        &self,
        now: Time,
        service: &str,
        requirements: &Requirements,
        key: Key,
    ) -> bool {
        let Some(pool) = self.pools.get(service) else { return false };
        let others = pool.keys.iter().filter(|it| **it != key);
        let others = others.filter(|it| !requirements.excluded.contains(it));
        let is_usable =
            |it: &State| it.serves(requirements) && it.may_take_over(now) && !it.is_paused(now);
        others.filter_map(|it| self.states.get(*it)).any(is_usable)
    }

    /// Returns the requests of all entries that arrive within the reporting lag, for `targets`
    /// targets.
    fn contention(&self, now: Time, requirements: &Requirements, targets: usize) -> Contention {
        let demand = requirements.model.as_ref().map(|it| self.demand.total_of(now, tag(it)));
        let requests = demand.unwrap_or_default().requests;
        Contention { arrivals: requests * self.settings.peer_lag.as_secs_f64(), targets }
    }

    /// Returns the targets that have capacity for a request.
    fn candidates(
        &mut self,
        now: Time,
        service: &str,
        requirements: &Requirements,
        context: &Context,
    ) -> Candidates {
        let mut candidates = Candidates {
            in_time: Vec::new(),
            late: Vec::new(),
            has_target: false,
            soonest_ms: f64::INFINITY,
        };
        let Some(pool) = self.pools.get(service) else { return candidates };
        for key in &pool.keys {
            let Some(state) = self.states.get_mut(*key) else { continue };
            if !state.serves(requirements) || requirements.excluded.contains(key) {
                continue;
            }
            candidates.has_target = true;
            if let Some(wait_ms) = wait_ms(now, state, pool, &self.settings, &self.entry_hashes) {
                candidates.soonest_ms = candidates.soonest_ms.min(wait_ms);
                continue;
            }
            let lag = self.settings.peer_lag;
            let estimate = state.estimate(
                now,
                (&pool.engine, &context.baseline),
                &self.settings,
                requirements,
            );
            match capacity(
                requirements,
                &estimate,
                state.target.slots,
                context.more_urgent,
                &self.settings,
            ) {
                Capacity::InTime(it) => {
                    candidates.in_time.push(Candidate::new(*key, &estimate, it, lag))
                }
                Capacity::Late(it) => {
                    candidates.late.push(Candidate::new(*key, &estimate, it, lag))
                }
                Capacity::None => {
                    candidates.soonest_ms = candidates.soonest_ms.min(estimate.slot_wait_ms)
                }
            }
        }
        candidates
    }

    /// Returns the cheapest of a few random candidates, so that entries don't all pick the same
    /// one. Candidates with more free slots are drawn more often.
    fn pick(
        &mut self,
        mut candidates: Vec<Candidate>,
        contention: &Contention,
    ) -> Option<Candidate> {
        let sample_size = contention.sample_size(self.settings.sample_size).min(candidates.len());
        for index in 0..sample_size {
            let remaining = &candidates[index..];
            let total: f64 = remaining.iter().map(|it| it.free_slots).sum();
            let mut draw = self.rng.random::<f64>() * total;
            let drawn = remaining.iter().position(|it| {
                draw -= it.free_slots;
                draw < 0.0
            });
            candidates.swap(index, index + drawn.unwrap_or_default());
        }
        let sample = candidates.into_iter().take(sample_size);
        sample.min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    /// Adds a request to the load of its target. A request to a suspect target is its trial, and
    /// delays the next one.
    fn start_attempt(&mut self, now: Time, key: Key, requirements: &Requirements) {
        let max_trial_delay = self.settings.max_trial_delay;
        let Some(state) = self.states.get_mut(key) else { return };
        if state.own_load.running == 0 {
            state.last_active_at = now;
            state.is_streaming = false;
        }
        state.own_load.running += 1;
        state.own_load.prefill =
            state.own_load.prefill.saturating_add(saturating_u32(requirements.prompt_tokens));
        state.cold_limiter.record_sent(now);
        if let Some(suspicion) = &mut state.suspicion {
            suspicion.delay = (suspicion.delay * 2).min(max_trial_delay);
            suspicion.trial_at = now + suspicion.delay;
        }
    }
}

/// Returns for how many milliseconds the target must not be sent requests; `None` if it may be sent
/// one now.
fn wait_ms(
    now: Time,
    state: &mut State,
    pool: &Pool,
    settings: &Settings,
    entry_hashes: &[u64],
) -> Option<f64> {
    if let Some(until) = state.paused_until.filter(|it| *it > now) {
        return Some(millis(until.since(now)));
    }
    if state.cold_until > now {
        let share = warmup::share(pool.warmup_rate, state.hash, settings.entry_hash, entry_hashes);
        let has_history = now >= settings.earlier_start_until;
        if !(has_history && state.cold_limiter.has_room(now, share)) {
            return Some(COLD_RETRY_MS);
        }
    }
    (!state.may_try(now)).then_some(SUSPECT_RETRY_MS)
}

/// Returns the capacity of a target for a request. There is always some for a resumed request.
fn capacity(
    requirements: &Requirements,
    estimate: &Estimate,
    slots: u32,
    more_urgent: u32,
    settings: &Settings,
) -> Capacity {
    if requirements.is_resumed {
        return Capacity::InTime(1.0);
    }
    let settings = &settings.admission;
    let remaining_ms = millis(requirements.objective.saturating_sub(settings.network_time));
    admission::capacity(&estimate.prospect(slots, remaining_ms), more_urgent, settings)
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
