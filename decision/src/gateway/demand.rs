//! What callers ask for of each model, counted by each entry and added up over all of them.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Time over which arrivals are averaged: long enough for a steady figure, short enough that a
/// burst shows before its callers have given up.
const SPAN: Duration = Duration::from_millis(1_500);

/// Time after which the word of a peer is void, since the peer may be gone.
const AGE: Duration = Duration::from_secs(2);

/// Most models that are counted apart.
pub const MAX_MODELS: usize = 32;

/// Most peers whose words are kept.
const MAX_PEERS: usize = 4_096;

/// Most that one word is believed: requests a second, and replicas' worth of work.
const MOST: Demand = Demand { requests: 1e6, work: 1e5, missed: 1e6 };

/// What is asked for of one model.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Requests a second.
    pub requests: f64,
    /// Replicas that are busy with it, if all their slots are taken.
    pub work: f64,
    /// Requests a second that were refused or late.
    pub missed: f64,
}

impl Demand {
    /// Both together.
    pub fn plus(self, other: Demand) -> Demand {
        Demand {
            requests: self.requests + other.requests,
            work: self.work + other.work,
            missed: self.missed + other.missed,
        }
    }

    /// What remains without `other`.
    pub fn minus(self, other: Demand) -> Demand {
        Demand {
            requests: (self.requests - other.requests).max(0.0),
            work: (self.work - other.work).max(0.0),
            missed: (self.missed - other.missed).max(0.0),
        }
    }

    fn times(self, factor: f64) -> Demand {
        Demand {
            requests: self.requests * factor,
            work: self.work * factor,
            missed: self.missed * factor,
        }
    }

    /// What can be believed of it.
    pub(crate) fn clamped(self) -> Demand {
        let sane =
            |value: f64, most: f64| if value.is_finite() { value.clamp(0.0, most) } else { 0.0 };
        Demand {
            requests: sane(self.requests, MOST.requests),
            work: sane(self.work, MOST.work),
            missed: sane(self.missed, MOST.missed),
        }
    }
}

/// Demand by the tag of a model.
pub type Demands = HashMap<u32, Demand>;

/// Adds `more` to `sum`.
pub fn add(sum: &mut Demands, more: &Demands) {
    for (model, demand) in more {
        if sum.len() < MAX_MODELS || sum.contains_key(model) {
            let all = sum.entry(*model).or_default();
            *all = all.plus(demand.clamped());
        }
    }
}

/// What remains of `all` without `part`.
pub fn subtract(all: &Demands, part: &Demands) -> Demands {
    let part = |model| part.get(model).copied().unwrap_or_default();
    all.iter().map(|(model, it)| (*model, it.minus(part(model)))).collect()
}

/// The arrivals of one model at this entry.
#[derive(Clone, Copy, Debug, Default)]
struct Meter {
    /// Requests and work within the span, fading.
    sum: Demand,
    at: Time,
}

impl Meter {
    fn faded(&self, now: Time) -> Demand {
        let part = (-now.since(self.at).as_secs_f64() / SPAN.as_secs_f64()).exp();
        self.sum.times(part)
    }

    fn add(&mut self, now: Time, more: Demand) {
        self.sum = self.faded(now).plus(more);
        self.at = now;
    }

    fn rate(&self, now: Time) -> Demand {
        self.faded(now).times(1.0 / SPAN.as_secs_f64())
    }
}

/// What this entry counts and what it was told.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    own: HashMap<u32, Meter>,
    told: HashMap<u64, (Time, Demands)>,
}

impl Tracker {
    /// Counts a request for `model` that keeps a replica busy for `work`, if it were alone there.
    pub fn record_request(&mut self, now: Time, model: u32, work: Duration) {
        let more = Demand { requests: 1.0, work: work.as_secs_f64(), ..Demand::default() };
        self.count(now, model, more);
    }

    /// Counts a request for `model` that was refused or late.
    pub fn record_miss(&mut self, now: Time, model: u32) {
        self.count(now, model, Demand { missed: 1.0, ..Demand::default() });
    }

    fn count(&mut self, now: Time, model: u32, more: Demand) {
        if self.own.len() < MAX_MODELS || self.own.contains_key(&model) {
            self.own.entry(model).or_default().add(now, more);
        }
    }

    /// Takes what the peer `from` says is asked for elsewhere.
    pub fn record_peer(&mut self, now: Time, from: u64, demands: Demands) {
        self.told.retain(|_, (at, _)| now.since(*at) < AGE);
        if self.told.len() < MAX_PEERS || self.told.contains_key(&from) {
            self.told.insert(from, (now, demands));
        }
    }

    /// What is asked for at this entry.
    pub fn local(&self, now: Time) -> Demands {
        self.own.iter().map(|(model, it)| (*model, it.rate(now))).collect()
    }

    /// What is asked for at all entries, as far as this one knows.
    pub fn total(&self, now: Time) -> Demands {
        let mut sum = self.local(now);
        let told = self.told.values().filter(|(at, _)| now.since(*at) < AGE);
        told.for_each(|(_, it)| add(&mut sum, it));
        sum
    }

    /// What is asked for of one model at all entries.
    pub fn total_of(&self, now: Time, model: u32) -> Demand {
        let own = self.own.get(&model).map(|it| it.rate(now)).unwrap_or_default();
        let told = self.told.values().filter(|(at, _)| now.since(*at) < AGE);
        let told = told.filter_map(|(_, it)| it.get(&model));
        told.fold(own, |sum, it| sum.plus(it.clamped()))
    }
}
