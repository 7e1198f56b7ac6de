//! Observations of targets and of demand that later choices use.

use super::speed::Baseline;
use super::{Balancer, Forecast, Key, Requirements, tag};
use crate::gateway::demand::{Demands, Tracker};
use crate::prelude::*;

impl Balancer {
    /// Records that the first token of an attempt came `elapsed` after the request was sent.
    /// Ignored if the forecast isn't typical.
    pub fn record_first_token(&mut self, key: Key, forecast: &Forecast, elapsed: Duration) {
        let Some(baseline) = self.baseline_mut(key).filter(|_| forecast.is_typical) else { return };
        baseline.record_first_token(forecast.load_ms, elapsed.as_secs_f64() * 1_000.0);
    }

    /// Records the time between two events of a stream from a target.
    pub fn record_pass(&mut self, now: Time, key: Key, elapsed: Duration) {
        let Some(state) = self.states.get_mut(key) else { return };
        state.longest_pause.record(now, elapsed);
        let Some(pool) = self.pools.get_mut(&state.service) else { return };
        let Some(model) = &state.target.model else { return };
        let expected_ms = pool.engine.pass_ms(state.target.time_factor, state.load(now).running);
        let baseline = pool.baselines.entry(model.clone()).or_default();
        state.own_slowness.record_pass(now, baseline, expected_ms, elapsed.as_secs_f64() * 1_000.0);
    }

    /// Counts a caller's request in the demand for its model, whether or not it is placed later.
    /// Ignores a request for a model that `service` doesn't have.
    pub fn record_request(&mut self, now: Time, service: &str, requirements: &Requirements) {
        let Some(pool) = self.pools.get_mut(service) else { return };
        let Some(model) = requirements.model.as_ref().and_then(|it| pool.engine.model(it)) else {
            return;
        };
        let name = model.name.clone();
        let baseline = pool.baselines.entry(name.clone()).or_default();
        baseline.record_prompt(requirements.prompt_tokens);
        let baseline = *baseline;
        let Some(model) = pool.engine.model(&name) else { return };
        let work_ms = pool.engine.work_ms(
            model.time_factor,
            requirements.prompt_tokens,
            baseline.answer_passes(),
        );
        let work = Duration::try_from_secs_f64(work_ms / 1_000.0).unwrap_or_default();
        self.demand.record_request(now, tag(&model.name), work);
    }

    /// Counts a request for `model` that was refused or late. Ignores a model that `service`
    /// doesn't have.
    pub fn record_miss(&mut self, now: Time, service: &str, model: &str) {
        let is_known = self.pools.get(service).is_some_and(|it| it.engine.model(model).is_some());
        if is_known {
            self.demand.record_miss(now, tag(model));
        }
    }

    /// Returns the demand per model, at this entry and at its peers.
    pub fn demand(&self) -> &Tracker {
        &self.demand
    }

    /// Sets the demand that the peer with the hash `from` reports; replaces its previous report.
    pub fn set_peer_demand(&mut self, now: Time, from: u64, demands: Demands) {
        self.demand.record_peer(now, from, demands);
    }

    /// Sets the mean age of what peers report.
    pub fn set_peer_lag(&mut self, lag: Duration) {
        self.settings.peer_lag = lag;
    }

    /// Records an answer of a target that was complete after `passes` passes.
    pub fn record_answer(&mut self, key: Key, passes: u32) {
        if let Some(baseline) = self.baseline_mut(key) {
            baseline.record_answer(passes);
        }
    }

    /// Returns the baseline of the target's model, if the target is a replica.
    fn baseline_mut(&mut self, key: Key) -> Option<&mut Baseline> {
        let state = self.states.get(key)?;
        let model = state.target.model.clone()?;
        let pool = self.pools.get_mut(&state.service)?;
        Some(pool.baselines.entry(model).or_default())
    }
}
