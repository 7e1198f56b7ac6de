//! How long a target may stay silent before it becomes suspect.

use std::sync::Arc;

use super::speed::Baseline;
use super::state::State;
use super::{Balancer, Key, Patience, Pool, tag};
use crate::gateway::engine::Engine;
use crate::prelude::*;

/// What a target was configured to need, and observed to need, when an attempt began there. The
/// attempt bears the silence that they explain, whatever the configuration says later.
#[derive(Clone, Debug)]
pub struct Terms {
    engine: Arc<Engine>,
    baseline: Baseline,
    slots: u32,
    time_factor: f64,
    patience: Patience,
}

impl Terms {
    fn new(pool: &Pool, state: &State, patience: Patience) -> Terms {
        Terms {
            engine: pool.engine.clone(),
            baseline: pool.baseline_of(state.target.model.as_ref()),
            slots: state.target.slots,
            time_factor: state.target.time_factor,
            patience,
        }
    }

    /// Returns whether both stem from the same configuration.
    fn is_configured_as(&self, other: &Terms) -> bool {
        Arc::ptr_eq(&self.engine, &other.engine)
            && self.slots == other.slots
            && self.time_factor == other.time_factor
    }
}

impl Balancer {
    /// Returns the terms of an attempt that begins at a target now.
    pub fn terms(&self, key: Key, patience: Patience) -> Option<Terms> {
        let state = self.states.get(key)?;
        let pool = self.pools.get(&state.service)?;
        Some(Terms::new(pool, state, patience))
    }

    /// Returns until when the target may stay silent before it becomes suspect, for an attempt with
    /// these terms; `None` if nothing is known of it, so that no silence is too long.
    ///
    /// If the configuration has changed since the attempt began, the later time of the two counts.
    pub fn silence_deadline(&self, now: Time, key: Key, terms: &Terms) -> Option<Time> {
        let state = self.states.get(key)?;
        let pool = self.pools.get(&state.service)?;
        let present = Terms::new(pool, state, terms.patience);
        let mut silence = self.max_silence(now, pool, state, &present)?;
        if !terms.is_configured_as(&present) {
            silence = silence.max(self.max_silence(now, pool, state, terms)?);
        }
        Some(state.last_active_at.max(state.peer_active_at) + silence)
    }

    /// Returns how long a target may stay silent; `None` if nothing bounds it.
    fn max_silence(
        &self,
        now: Time,
        pool: &Pool,
        state: &State,
        terms: &Terms,
    ) -> Option<Duration> {
        match state.target.model {
            Some(_) => Some(self.max_replica_silence(now, pool, state, terms)),
            None => self.max_plain_silence(now, state, terms.patience),
        }
    }

    /// Returns how long a plain target may stay silent. No cost model predicts its pauses, so it has
    /// as long as its callers are served on time, and as long as it has paused before.
    fn max_plain_silence(&self, now: Time, state: &State, patience: Patience) -> Option<Duration> {
        if !state.is_streaming {
            return Some(patience.first_event + self.settings.first_token_slack);
        }
        let shown = state.longest_pause.get(now);
        Some(patience.event_gap?.max(shown) + self.settings.silence_slack)
    }

    /// Returns how long a replica may stay silent.
    ///
    /// While it streams, an event comes with each pass. Before its first token, it does the prefill
    /// of all waiting prompts, and the first event takes a whole pass after that.
    fn max_replica_silence(
        &self,
        now: Time,
        pool: &Pool,
        state: &State,
        terms: &Terms,
    ) -> Duration {
        let Terms { engine, baseline, slots, time_factor, .. } = terms;
        let load = state.load(now);
        let passes = if state.is_streaming { 1.0 } else { 2.0 };
        let waiting = f64::from(load.running.saturating_sub(*slots));
        let slot_wait_passes = waiting * baseline.answer_passes() / f64::from((*slots).max(1));
        let time_factor = time_factor * state.slowness(now);
        let pass_ms = engine.pass_ms(time_factor, load.running) * baseline.pass_factor();
        let tokens = u64::from(load.prefill) + self.unreported_tokens(now, pool, baseline, state);
        let tokens = if state.is_streaming { tokens.min(engine.pass_tokens()) } else { tokens };
        let prefill_ms = engine.prefill_ms(time_factor, tokens);
        let slack = match state.is_streaming {
            true => self.settings.silence_slack,
            false => {
                let overhead = Duration::from_secs_f64(baseline.overhead_ms() / 1_000.0);
                self.settings.first_token_slack + overhead
            }
        };
        let work_ms = pass_ms * (passes + slot_wait_passes) + prefill_ms;
        slack + Duration::from_secs_f64(work_ms / 1_000.0)
    }

    /// Returns an upper estimate of the prompt tokens that other entries sent to a target within
    /// the reporting lag. Their prefill stalls the target's streams. The estimate is the mean plus
    /// twice the standard deviation.
    fn unreported_tokens(&self, now: Time, pool: &Pool, baseline: &Baseline, state: &State) -> u64 {
        let Some(model) = &state.target.model else { return 0 };
        let targets = pool.target_counts.get(model).copied().unwrap_or(1).max(1) as f64;
        let requests_per_second = self.demand.total_of(now, tag(model)).requests / targets;
        let arrivals = requests_per_second * self.settings.peer_lag.as_secs_f64();
        // The standard deviation of prompt lengths is about their mean.
        let max_arrivals = arrivals + 2.0 * (2.0 * arrivals).sqrt();
        (max_arrivals * baseline.prompt_tokens()) as u64
    }

    /// Marks a target suspect if it has been silent past its deadline. Returns whether it has.
    pub fn check_silence(&mut self, now: Time, key: Key, terms: &Terms) -> bool {
        if self.silence_deadline(now, key, terms).is_none_or(|it| now < it) {
            return false;
        }
        self.mark_suspect(now, key);
        true
    }
}
