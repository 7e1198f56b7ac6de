//! State of one target at an entry, and the estimate for a request that would be sent to it.

use std::collections::HashMap;
use std::sync::Arc;

use super::admission::Prospect;
use super::pause::Pause;
use super::speed::{self, Baseline, Slowness};
use super::{Load, Requirements, Settings, Target, hash, tag};
use crate::gateway::engine::Engine;
use crate::gateway::warmup::Limiter;
use crate::prelude::*;

/// Events of running streams over which a target spreads the prefill of the waiting prompts.
const PREFILL_EVENTS: f64 = 2.5;

/// Milliseconds added to the cost of a target with all slots taken, in proportion to its use. The
/// only term that depends on the load of plain targets, whose service has no cost model.
const UTILIZATION_PENALTY_MS: f64 = 30.0;

/// Multiple of its cost that is added to the cost of a target that fails every request.
const FAILURE_PENALTY: f64 = 20.0;

/// Time after which the load that a peer reported is ignored, since the peer may be gone.
const PEER_LOAD_TTL: Duration = Duration::from_secs(2);

/// A target, its load, and whether and when it may be used.
#[derive(Debug)]
pub(super) struct State {
    pub(super) target: Target,
    /// Hash of the target's identifier.
    pub(super) hash: u64,
    /// Identifies the target in messages between entries.
    pub(super) tag: u32,
    pub(super) service: Arc<str>,
    /// False once the target has left the list. It is kept until this entry's work there ends.
    pub(super) is_listed: bool,
    /// Whether another start or replica of the instance is listed in place of this one.
    pub(super) has_successor: bool,
    /// End of the warm-up, during which the rate of requests is limited.
    pub(super) cold_until: Time,
    /// Until when the target asked not to be sent requests.
    pub(super) paused_until: Option<Time>,
    /// Load that this entry has in progress there.
    pub(super) own_load: Load,
    /// Last reported load of each peer, by the hash of the peer's name, with the time of the
    /// report.
    pub(super) peer_loads: HashMap<u64, (Time, Load)>,
    pub(super) cold_limiter: Limiter,
    /// Moving average of failed attempts, from 0 to 1.
    pub(super) failure_score: f64,
    /// When this entry last received data from the target, or sent it work while it was idle.
    pub(super) last_active_at: Time,
    /// When a peer last received data from the target.
    pub(super) peer_active_at: Time,
    /// Whether an event has come since this entry last sent it work while it was idle.
    pub(super) is_streaming: bool,
    /// Whether the last attempt to connect to the target succeeded, or none was made.
    pub(super) is_reachable: bool,
    /// Longest pause between two events of a stream that went on.
    pub(super) longest_pause: Pause,
    /// Present while the target is suspect.
    pub(super) suspicion: Option<Suspicion>,
    /// Slowness that this entry observed.
    pub(super) own_slowness: Slowness,
    /// Slowness that peers reported.
    pub(super) reported_slowness: Slowness,
}

/// Schedule of the trial requests to a suspect target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Suspicion {
    /// When the next trial request may be sent.
    pub(super) trial_at: Time,
    /// Delay before that trial. Doubles with each trial, up to a limit.
    pub(super) delay: Duration,
}

/// Expected result of sending one request to a target.
pub(super) struct Estimate {
    /// Part of the time to the first token that the load explains, in milliseconds.
    pub(super) load_ms: f64,
    /// Time to the first token, in milliseconds.
    pub(super) first_token_ms: f64,
    /// `first_token_ms` with penalties for use, distance and failures. The target with the lowest
    /// cost is preferred.
    pub(super) cost: f64,
    /// Requests in progress, this one included.
    pub(super) running: u32,
    /// Estimated factor on the duration of its passes, relative to others of its model.
    pub(super) slowness: f64,
    /// Whether the target is neither full nor slower than others.
    pub(super) is_typical: bool,
    /// Time that an answer of average length takes from its first token on, in milliseconds.
    pub(super) decode_ms: f64,
    /// Whether its passes take longer than the longest gap between events that the request allows.
    pub(super) is_slow: bool,
    /// Time until a slot is free, in milliseconds; at least one pass.
    pub(super) slot_wait_ms: f64,
    /// Whether prefill of the prompt would stall the streams of others for longer than that gap.
    pub(super) is_stalling: bool,
}

impl Estimate {
    /// Returns the values that admission depends on, for a request whose first token is due in
    /// `remaining_ms`.
    pub(super) fn prospect(&self, slots: u32, remaining_ms: f64) -> Prospect {
        let Estimate { first_token_ms, running, is_slow, is_stalling, .. } = *self;
        Prospect { first_token_ms, remaining_ms, running, slots, is_slow, is_stalling }
    }
}

impl State {
    pub(super) fn new(now: Time, service: Arc<str>, target: Target, cold_until: Time) -> State {
        State {
            hash: hash(&target.id),
            tag: tag(&target.id),
            target,
            service,
            is_listed: true,
            has_successor: false,
            cold_until,
            paused_until: None,
            own_load: Load::default(),
            peer_loads: HashMap::new(),
            cold_limiter: Limiter::default(),
            failure_score: 0.0,
            last_active_at: now,
            peer_active_at: Time::ZERO,
            is_streaming: false,
            is_reachable: true,
            longest_pause: Pause::default(),
            suspicion: None,
            own_slowness: Slowness::default(),
            reported_slowness: Slowness::default(),
        }
    }

    /// Returns whether the target runs the model that the request names, if it names one.
    pub(super) fn serves(&self, requirements: &Requirements) -> bool {
        requirements.model.is_none() || requirements.model == self.target.model
    }

    /// Returns whether the target isn't suspect, or is due for a trial request.
    pub(super) fn may_try(&self, now: Time) -> bool {
        self.suspicion.is_none_or(|it| it.trial_at <= now)
    }

    /// Returns whether the target may be sent a request that another one has: it could be reached last,
    /// and isn't suspect or is due for a trial.
    pub(super) fn may_take_over(&self, now: Time) -> bool {
        self.is_reachable && self.may_try(now)
    }

    /// Returns whether the target asked not to be sent requests now.
    pub(super) fn is_paused(&self, now: Time) -> bool {
        self.paused_until.is_some_and(|it| it > now)
    }

    /// Returns the load of all entries. Its `quiet_ms` and `slowness` are this entry's.
    pub(super) fn load(&self, now: Time) -> Load {
        let mut total = self.own_load;
        let peers = self.peer_loads.values().filter(|(at, _)| now.since(*at) < PEER_LOAD_TTL);
        for (_, load) in peers {
            total.running += load.running;
            total.prefill = total.prefill.saturating_add(load.prefill);
        }
        total
    }

    /// Returns how many times longer its passes take than those of others of its model.
    pub(super) fn slowness(&self, now: Time) -> f64 {
        speed::combined_factor(now, &self.own_slowness, &self.reported_slowness)
    }

    /// Returns the duration of a pass while `running` requests run, in milliseconds.
    pub(super) fn pass_ms(
        &self,
        now: Time,
        engine: &Engine,
        baseline: &Baseline,
        running: u32,
    ) -> f64 {
        engine.pass_ms(self.target.time_factor, running)
            * baseline.pass_factor()
            * self.slowness(now)
    }

    /// Returns what is expected of the target for a request with these requirements.
    pub(super) fn estimate(
        &self,
        now: Time,
        (engine, baseline): (&Engine, &Baseline),
        settings: &Settings,
        requirements: &Requirements,
    ) -> Estimate {
        let load = self.load(now);
        let running = load.running + 1;
        let slots = self.target.slots.max(1);
        let slowness = self.slowness(now);
        let pass_ms = self.pass_ms(now, engine, baseline, running);
        let time_factor = self.target.time_factor * slowness;
        let prefill_ms =
            engine.prefill_ms(time_factor, u64::from(load.prefill) + requirements.prompt_tokens);
        let waiting = running.saturating_sub(slots);
        let slot_turnover_ms = pass_ms * baseline.answer_passes() / f64::from(slots);
        let slot_wait_ms = slot_turnover_ms * f64::from(waiting);
        let load_ms = pass_ms * 1.5 + prefill_ms + slot_wait_ms;
        let first_token_ms = load_ms + baseline.overhead_ms() * slowness;
        let remote_ms = match self.target.failure_domain == settings.failure_domain {
            true => 0.0,
            false => settings.remote_penalty_ms,
        };
        let utilization_ms = f64::from(load.running) / f64::from(slots) * UTILIZATION_PENALTY_MS;
        let cost = (first_token_ms + utilization_ms + remote_ms)
            * (1.0 + FAILURE_PENALTY * self.failure_score.powi(2));
        let stall_ms = (pass_ms + prefill_ms) / PREFILL_EVENTS;
        let max_gap_ms =
            requirements.max_event_gap.map_or(f64::INFINITY, |it| it.as_secs_f64() * 1_000.0);
        let is_stalling = load.prefill > 0 && stall_ms > max_gap_ms;
        Estimate {
            load_ms,
            first_token_ms,
            cost,
            running,
            slowness,
            is_typical: waiting == 0 && slowness == 1.0,
            decode_ms: pass_ms * baseline.answer_passes(),
            is_slow: pass_ms > max_gap_ms,
            slot_wait_ms: slot_wait_ms.max(pass_ms),
            is_stalling,
        }
    }
}
