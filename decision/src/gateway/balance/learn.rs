//! What an entry learns of targets and of what is asked for.

use super::speed::Baseline;
use super::{Balancer, Forecast, Key, Requirements, tag};
use crate::gateway::demand::{Demands, Tracker};
use crate::prelude::*;

impl Balancer {
    /// Learns from a first token that came `took` after it was sent for.
    pub fn record_first_token(&mut self, key: Key, forecast: &Forecast, took: Duration) {
        let Some(norm) = self.norm_mut(key).filter(|_| forecast.is_typical) else { return };
        norm.started(forecast.load_ms, took.as_secs_f64() * 1_000.0);
    }

    /// Learns from the pause between two events of a stream.
    pub fn record_pass(&mut self, now: Time, key: Key, took: Duration) {
        let Some(track) = self.tracks.get_mut(key) else { return };
        let Some(pool) = self.pools.get_mut(&track.service) else { return };
        let Some(model) = &track.target.model else { return };
        let expected = pool.engine.pass_ms(track.target.time_factor, track.load(now).running);
        let norm = pool.norms.entry(model.clone()).or_default();
        track.own_slowness.passed(now, norm, expected, took.as_secs_f64() * 1_000.0);
    }

    /// Counts a request of a caller, wherever it will be placed, if at all.
    pub fn record_request(&mut self, now: Time, service: &str, ask: &Requirements) {
        let Some(pool) = self.pools.get_mut(service) else { return };
        let Some(model) = ask.model.as_ref().and_then(|it| pool.engine.model(it)) else { return };
        let name = model.name.clone();
        let norm = pool.norms.entry(name.clone()).or_default();
        norm.asked(ask.prompt_tokens);
        let norm = *norm;
        let Some(model) = pool.engine.model(&name) else { return };
        let work = pool.engine.work_ms(model.time_factor, ask.prompt_tokens, norm.length());
        let work = Duration::try_from_secs_f64(work / 1_000.0).unwrap_or_default();
        self.demand.record_request(now, tag(&model.name), work);
    }

    /// Counts a request for `model` that was refused or late.
    pub fn record_miss(&mut self, now: Time, service: &str, model: &str) {
        let known = self.pools.get(service).is_some_and(|it| it.engine.model(model).is_some());
        if known {
            self.demand.record_miss(now, tag(model));
        }
    }

    /// What is asked for at all entries.
    pub fn demand(&self) -> &Tracker {
        &self.demand
    }

    /// Takes what the peer `from` says is asked for elsewhere.
    pub fn set_peer_demand(&mut self, now: Time, from: u64, demands: Demands) {
        self.demand.record_peer(now, from, demands);
    }

    /// Says how old what peers tell is, on average.
    pub fn set_peer_lag(&mut self, lag: Duration) {
        self.settings.lag = lag;
    }

    /// Learns from an answer that ended after so many passes.
    pub fn record_answer(&mut self, key: Key, passes: u32) {
        if let Some(norm) = self.norm_mut(key) {
            norm.ended(passes);
        }
    }

    fn norm_mut(&mut self, key: Key) -> Option<&mut Baseline> {
        let track = self.tracks.get(key)?;
        let model = track.target.model.clone()?;
        let pool = self.pools.get_mut(&track.service)?;
        Some(pool.norms.entry(model).or_default())
    }
}
