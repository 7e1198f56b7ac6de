//! What this entry knows of one target, and what it expects of it for a request.

use std::collections::HashMap;
use std::sync::Arc;

use super::admission::Prospect;
use super::speed::{self, Baseline, Slowness};
use super::{Load, Requirements, Settings, Target, hash, tag};
use crate::gateway::engine::Engine;
use crate::gateway::warmup::Limiter;
use crate::prelude::*;

/// Part of the prompts that wait at a target that is read between two events of its streams.
const HALT_PART: f64 = 2.5;

/// Milliseconds that a full plain target adds to a request.
const PLAIN_MS: f64 = 30.0;

/// Cost of a target that fails every request, as a multiple of one that fails none.
const FAILURE_FACTOR: f64 = 20.0;

/// Time after which a peer's word about its load is void, since the peer may be gone.
const PEER_AGE: Duration = Duration::from_secs(2);

#[derive(Debug)]
pub(super) struct Track {
    pub(super) target: Target,
    /// The hash of its name, and the tag by which peers name it.
    pub(super) hash: u64,
    pub(super) tag: u32,
    pub(super) service: Arc<str>,
    pub(super) listed: bool,
    pub(super) cold_until: Time,
    /// Until when it wants to be left alone.
    pub(super) rest_until: Option<Time>,
    pub(super) own: Load,
    pub(super) peers: HashMap<u64, (Time, Load)>,
    pub(super) limiter: Limiter,
    pub(super) failures: f64,
    pub(super) heard: Time,
    /// When a peer heard of it last.
    pub(super) peer_heard: Time,
    /// Whether an event has come since it last had nothing to do.
    pub(super) writing: bool,
    pub(super) suspect: Option<Suspect>,
    /// How slow it is, as this entry and as others observe it.
    pub(super) own_slowness: Slowness,
    pub(super) told_slowness: Slowness,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Suspect {
    pub(super) trial_at: Time,
    pub(super) pause: Duration,
}

/// What is expected of a target for one request.
pub(super) struct Estimate {
    /// Milliseconds to the first token that the load explains, and in all.
    pub(super) load_ms: f64,
    pub(super) first_ms: f64,
    /// The same, made worse by distance and failures.
    pub(super) cost: f64,
    /// Requests in progress, this one included.
    pub(super) running: u32,
    /// How many times slower than others of its model it is taken to be.
    pub(super) slowness: f64,
    /// Whether it is neither full nor slower than others.
    pub(super) is_typical: bool,
    /// Milliseconds that a request of usual length takes from its first token on.
    pub(super) whole_ms: f64,
    /// Whether its passes are longer than the pauses of a stream that is on time.
    pub(super) slow: bool,
    /// Milliseconds until a slot is free.
    pub(super) slot_ms: f64,
    /// Whether reading its prompt would halt the streams of others for too long.
    pub(super) halting: bool,
}

impl Estimate {
    /// What the target would do with a request whose first token has `left_ms`.
    pub(super) fn prospect(&self, slots: u32, left_ms: f64) -> Prospect {
        let Estimate { first_ms, running, slow, halting, .. } = *self;
        Prospect { first_ms, left_ms, running, slots, slow, halting }
    }
}

impl Track {
    pub(super) fn new(now: Time, service: Arc<str>, target: Target, cold_until: Time) -> Track {
        Track {
            hash: hash(&target.id),
            tag: tag(&target.id),
            target,
            service,
            listed: true,
            cold_until,
            rest_until: None,
            own: Load::default(),
            peers: HashMap::new(),
            limiter: Limiter::default(),
            failures: 0.0,
            heard: now,
            peer_heard: Time::ZERO,
            writing: false,
            suspect: None,
            own_slowness: Slowness::default(),
            told_slowness: Slowness::default(),
        }
    }

    pub(super) fn serves(&self, ask: &Requirements) -> bool {
        ask.model.is_none() || ask.model == self.target.model
    }

    pub(super) fn may_try(&self, now: Time) -> bool {
        self.suspect.is_none_or(|it| it.trial_at <= now)
    }

    /// What all entries have in progress.
    pub(super) fn load(&self, now: Time) -> Load {
        let mut sum = self.own;
        let peers = self.peers.values().filter(|(at, _)| now.since(*at) < PEER_AGE);
        for (_, load) in peers {
            sum.running += load.running;
            sum.prefill = sum.prefill.saturating_add(load.prefill);
        }
        sum
    }

    /// How many times longer its passes take than those of others of its model.
    pub(super) fn slowness(&self, now: Time) -> f64 {
        speed::factor(now, &self.own_slowness, &self.told_slowness)
    }

    /// Milliseconds of one of its passes while `running` requests run.
    pub(super) fn pass_ms(&self, now: Time, engine: &Engine, norm: &Baseline, running: u32) -> f64 {
        engine.pass_ms(self.target.time_factor, running) * norm.stretch() * self.slowness(now)
    }

    pub(super) fn estimate(
        &self,
        now: Time,
        (engine, norm): (&Engine, &Baseline),
        settings: &Settings,
        ask: &Requirements,
    ) -> Estimate {
        let load = self.load(now);
        let running = load.running + 1;
        let slots = self.target.slots.max(1);
        let slowness = self.slowness(now);
        let pass = self.pass_ms(now, engine, norm, running);
        let pace = self.target.time_factor * slowness;
        let prefill = engine.prefill_ms(pace, u64::from(load.prefill) + ask.prompt_tokens);
        let excess = running.saturating_sub(slots);
        let turn = pass * norm.length() / f64::from(slots);
        let slot_ms = turn * f64::from(excess);
        let load_ms = pass * 1.5 + prefill + slot_ms;
        let first_ms = load_ms + norm.start_ms() * slowness;
        let far = match self.target.failure_domain == settings.failure_domain {
            true => 0.0,
            false => settings.far_ms,
        };
        let plain = f64::from(load.running) / f64::from(slots) * PLAIN_MS;
        let cost = (first_ms + plain + far) * (1.0 + FAILURE_FACTOR * self.failures.powi(2));
        let halt = (pass + prefill) / HALT_PART;
        let pause = ask.max_event_gap.map_or(f64::INFINITY, |it| it.as_secs_f64() * 1_000.0);
        let halting = load.prefill > 0 && halt > pause;
        Estimate {
            load_ms,
            first_ms,
            cost,
            running,
            slowness,
            is_typical: excess == 0 && slowness == 1.0,
            whole_ms: pass * norm.length(),
            slow: pass > pause,
            slot_ms: slot_ms.max(pass),
            halting,
        }
    }
}
