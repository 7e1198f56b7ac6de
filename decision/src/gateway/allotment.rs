//! Estimates how many replicas each model needs, from the demand of its callers.
//!
//! The configured shares apply until demand has been observed for
//! [`Settings::min_observation`]. From then on, a model needs as many replicas as its work keeps
//! busy plus a margin for variation that is proportional to the square root of that number (the
//! square-root staffing rule). Whether the callers of a model are actually underserved shows in the
//! fraction of their requests that are refused or late.

use std::collections::HashMap;
use std::sync::Arc;

use crate::gateway::demand::Demand;
use crate::gateway::engine::{Engine, Model};
use crate::prelude::*;

/// Smoothing of demand, and the thresholds for moving instances between models.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time constant of the moving average while demand rises.
    pub rise_time: Duration,
    /// Time constant of the moving average while demand falls. Longer than `rise_time`, since
    /// moving instances takes longer than a short drop in demand lasts.
    pub fall_time: Duration,
    /// Time for which demand must have been observed before it replaces the configured shares.
    pub min_observation: Duration,
    /// Factor on the square root of the busy replicas; the product is the margin for variation.
    pub staffing_factor: f64,
    /// Smallest fraction of the total work that is assumed for any model, so that none is left
    /// without replicas.
    pub min_work_share: f64,
    /// Smallest difference between the missed ratios of two models at which instances move from the
    /// model with the lower ratio to the one with the higher ratio.
    pub min_missed_gap: f64,
    /// Largest ratio of the higher pressure of the two models after a move to the one before it at
    /// which the move is made.
    pub max_pressure_ratio: f64,
    /// Time for which a move must have met these conditions, if the weights that it needs are
    /// already staged.
    pub sustain_time: Duration,
    /// Time for which a move must have met these conditions, if weights have to be loaded first.
    pub sustain_time_with_loads: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            rise_time: Duration::from_millis(1_500),
            fall_time: Duration::from_secs(12),
            min_observation: Duration::from_millis(1_500),
            staffing_factor: 0.8,
            min_work_share: 0.05,
            min_missed_gap: 0.08,
            max_pressure_ratio: 0.95,
            sustain_time: Duration::from_millis(500),
            sustain_time_with_loads: Duration::from_secs(4),
        }
    }
}

/// Moving averages of the demand for each model.
#[derive(Clone, Debug, Default)]
pub struct Allotment {
    settings: Settings,
    /// Averages by the name of the model.
    models: HashMap<Arc<str>, Demand>,
    /// When work was first reported.
    first_seen: Option<Time>,
    /// When demand was last reported.
    updated: Time,
}

impl Allotment {
    /// Returns an estimate without observations.
    pub fn new(settings: Settings) -> Allotment {
        Allotment { settings, ..Allotment::default() }
    }

    /// Returns the smoothing and the thresholds.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Updates the averages with the current demand for each model.
    pub fn observe(&mut self, now: Time, demands: impl IntoIterator<Item = (Arc<str>, Demand)>) {
        let is_first = self.first_seen.is_none();
        let elapsed = now.since(self.updated).as_secs_f64();
        let weight = |time_constant: Duration| match is_first {
            true => 1.0,
            false => 1.0 - (-elapsed / time_constant.as_secs_f64()).exp(),
        };
        self.updated = now;
        for (model, demand) in demands {
            let current = demand.clamped();
            if current.work > 0.0 {
                self.first_seen.get_or_insert(now);
            }
            let Settings { rise_time, fall_time, .. } = self.settings;
            let average = self.models.entry(model).or_insert(current);
            let time_constant = if current.work > average.work { rise_time } else { fall_time };
            average.work += (current.work - average.work) * weight(time_constant);
            average.requests += (current.requests - average.requests) * weight(rise_time);
            average.missed += (current.missed - average.missed) * weight(rise_time);
        }
    }

    /// Returns whether demand has been observed for long enough to replace the configured shares.
    pub fn is_known(&self, now: Time) -> bool {
        self.first_seen.is_some_and(|it| now.since(it) >= self.settings.min_observation)
    }

    /// Returns how many replicas a model needs to serve its demand.
    pub fn wanted_replicas(&self, model: &str) -> f64 {
        let total: f64 = self.models.values().map(|it| it.work).sum();
        let work = self.models.get(model).map(|it| it.work).unwrap_or_default();
        let work = work.max(total * self.settings.min_work_share);
        work + self.settings.staffing_factor * work.sqrt()
    }

    /// Returns the ratio of the replicas that a model needs to the `replicas` that it has.
    pub fn pressure(&self, model: &str, replicas: usize) -> f64 {
        self.wanted_replicas(model) / (replicas as f64).max(f64::MIN_POSITIVE)
    }

    /// Returns the fraction of a model's requests that are refused or late, from 0 to 1.
    pub fn missed_ratio(&self, model: &str) -> f64 {
        let average = self.models.get(model).copied().unwrap_or_default();
        (average.missed / average.requests.max(1.0)).min(1.0)
    }

    /// Returns `engine` with shares that follow demand, or unchanged while demand isn't known yet.
    pub fn apply(&self, now: Time, engine: &Engine) -> Engine {
        let mut engine = engine.clone();
        let wanted = |it: &Model| self.wanted_replicas(&it.name) * it.size as f64;
        let total: f64 = engine.models.iter().map(wanted).sum();
        if self.is_known(now) && total > 0.0 {
            engine.models.iter_mut().for_each(|it| it.share = wanted(it) / total);
        }
        engine
    }
}
