//! How many replicas each model should have, by what callers ask for and what they get.
//!
//! The configuration's shares hold until callers were heard for a while. From then on, a model
//! wants as many replicas as its work keeps busy, and some more for what varies: the square root
//! of that, as in staffing by the square-root rule. Whether callers of a model really are in want
//! is seen by the requests that are refused or late.

use std::collections::HashMap;
use std::sync::Arc;

use crate::gateway::demand::Demand;
use crate::gateway::engine::{Engine, Model};
use crate::prelude::*;

/// How demand is followed.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time over which a higher demand is believed.
    pub rise_time: Duration,
    /// Time over which a lower one is believed. Longer, since a move takes longer than a lull.
    pub fall_time: Duration,
    /// Time for which demand is heard before it counts.
    pub min_observation: Duration,
    /// Replicas for what varies, by the square root of those that are busy.
    pub staffing_factor: f64,
    /// Least part of all work that a model is given.
    pub min_work_share: f64,
    /// Part of a model's requests that are missed, by which it must be worse off than another one
    /// to be given of its instances.
    pub min_missed_gap: f64,
    /// What the higher pressure of the two must fall to by that, as a part of itself.
    pub max_pressure_ratio: f64,
    /// Time for which a move must have been worth it, if the weights for it are there.
    pub sustain_time: Duration,
    /// The same if they have to be loaded first.
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

/// The demand that is believed, by model.
#[derive(Clone, Debug, Default)]
pub struct Allotment {
    settings: Settings,
    models: HashMap<Arc<str>, Demand>,
    /// When any work was heard of first, and when last.
    since: Option<Time>,
    last: Time,
}

impl Allotment {
    /// Nothing heard yet.
    pub fn new(settings: Settings) -> Allotment {
        Allotment { settings, ..Allotment::default() }
    }

    /// How demand is followed.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Takes what is asked for of each model now.
    pub fn observe(&mut self, now: Time, demands: impl IntoIterator<Item = (Arc<str>, Demand)>) {
        let first = self.since.is_none();
        let passed = now.since(self.last).as_secs_f64();
        let part = |span: Duration| match first {
            true => 1.0,
            false => 1.0 - (-passed / span.as_secs_f64()).exp(),
        };
        self.last = now;
        for (model, demand) in demands {
            let heard = demand.clamped();
            if heard.work > 0.0 {
                self.since.get_or_insert(now);
            }
            let Settings { rise_time: rise, fall_time: fall, .. } = self.settings;
            let known = self.models.entry(model).or_insert(heard);
            let span = if heard.work > known.work { rise } else { fall };
            known.work += (heard.work - known.work) * part(span);
            known.requests += (heard.requests - known.requests) * part(rise);
            known.missed += (heard.missed - known.missed) * part(rise);
        }
    }

    /// Whether demand was heard for long enough to count.
    pub fn is_known(&self, now: Time) -> bool {
        self.since.is_some_and(|it| now.since(it) >= self.settings.min_observation)
    }

    /// How many replicas of a model its callers want.
    pub fn wanted_replicas(&self, model: &str) -> f64 {
        let all: f64 = self.models.values().map(|it| it.work).sum();
        let work = self.models.get(model).map(|it| it.work).unwrap_or_default();
        let work = work.max(all * self.settings.min_work_share);
        work + self.settings.staffing_factor * work.sqrt()
    }

    /// What a model's callers want, as a part of what it has.
    pub fn pressure(&self, model: &str, replicas: usize) -> f64 {
        self.wanted_replicas(model) / (replicas as f64).max(f64::MIN_POSITIVE)
    }

    /// The part of a model's requests that are refused or late.
    pub fn missed_ratio(&self, model: &str) -> f64 {
        let known = self.models.get(model).copied().unwrap_or_default();
        (known.missed / known.requests.max(1.0)).min(1.0)
    }

    /// The engine, with the shares that callers want.
    pub fn apply(&self, now: Time, engine: &Engine) -> Engine {
        let mut engine = engine.clone();
        let wanted = |it: &Model| self.wanted_replicas(&it.name) * it.size as f64;
        let all: f64 = engine.models.iter().map(wanted).sum();
        if self.is_known(now) && all > 0.0 {
            engine.models.iter_mut().for_each(|it| it.share = wanted(it) / all);
        }
        engine
    }
}
