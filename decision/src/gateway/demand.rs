//! Demand for each model, counted by each entry and added up over all entries.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Time constant of the moving average of arrivals: long enough for a steady value, short enough
/// that a burst shows before its callers give up.
const AVERAGING_TIME: Duration = Duration::from_millis(1_500);

/// Time after which a peer's report is ignored, since the peer may be gone.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest number of models whose demand is counted; requests for further models aren't.
pub const MAX_MODELS: usize = 32;

/// Largest number of peers whose reports are kept.
const MAX_PEERS: usize = 4_096;

/// Upper bounds for the values of one report; larger ones are reduced to them.
const MAX_DEMAND: Demand = Demand { requests: 1e6, work: 1e5, missed: 1e6 };

/// Demand for one model.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Requests per second.
    pub requests: f64,
    /// Work, as the number of fully used replicas that it keeps busy.
    pub work: f64,
    /// Requests per second that were refused or late.
    pub missed: f64,
}

impl Demand {
    /// Returns the sum of this demand and `other`.
    pub fn plus(self, other: Demand) -> Demand {
        Demand {
            requests: self.requests + other.requests,
            work: self.work + other.work,
            missed: self.missed + other.missed,
        }
    }

    /// Returns this demand less `other`, with negative values raised to 0.
    pub fn minus(self, other: Demand) -> Demand {
        Demand {
            requests: (self.requests - other.requests).max(0.0),
            work: (self.work - other.work).max(0.0),
            missed: (self.missed - other.missed).max(0.0),
        }
    }

    /// Returns the demand multiplied by `factor`.
    fn times(self, factor: f64) -> Demand {
        Demand {
            requests: self.requests * factor,
            work: self.work * factor,
            missed: self.missed * factor,
        }
    }

    /// Returns the demand with each value limited to its plausible range, and 0 for one that isn't
    /// finite.
    pub(crate) fn clamped(self) -> Demand {
        let bounded =
            |value: f64, max: f64| if value.is_finite() { value.clamp(0.0, max) } else { 0.0 };
        Demand {
            requests: bounded(self.requests, MAX_DEMAND.requests),
            work: bounded(self.work, MAX_DEMAND.work),
            missed: bounded(self.missed, MAX_DEMAND.missed),
        }
    }
}

/// Demand for each model, by the model's tag.
pub type Demands = HashMap<u32, Demand>;

/// Adds `added` to `sum`, for up to [`MAX_MODELS`] models.
pub fn add(sum: &mut Demands, added: &Demands) {
    for (model, demand) in added {
        if sum.len() < MAX_MODELS || sum.contains_key(model) {
            let total = sum.entry(*model).or_default();
            *total = total.plus(demand.clamped());
        }
    }
}

/// Returns `total` without `part`, for the models in `total`.
pub fn subtract(total: &Demands, part: &Demands) -> Demands {
    let part = |model| part.get(model).copied().unwrap_or_default();
    total.iter().map(|(model, it)| (*model, it.minus(part(model)))).collect()
}

/// Moving average of the requests for one model at this entry.
#[derive(Clone, Copy, Debug, Default)]
struct Meter {
    /// Counts that decay exponentially with [`AVERAGING_TIME`], as of `updated`.
    sum: Demand,
    updated: Time,
}

impl Meter {
    /// Returns the counts, decayed until `now`.
    fn decayed(&self, now: Time) -> Demand {
        let decay = (-now.since(self.updated).as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp();
        self.sum.times(decay)
    }

    /// Adds `added` at `now`.
    fn add(&mut self, now: Time, added: Demand) {
        self.sum = self.decayed(now).plus(added);
        self.updated = now;
    }

    /// Returns the average rates per second.
    fn rate(&self, now: Time) -> Demand {
        self.decayed(now).times(1.0 / AVERAGING_TIME.as_secs_f64())
    }
}

/// Tracks the demand that this entry counts and that its peers report.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    /// Averages of this entry, by the tag of the model.
    meters: HashMap<u32, Meter>,
    /// Latest report of each peer, and when it came.
    peers: HashMap<u64, (Time, Demands)>,
}

impl Tracker {
    /// Counts a request for `model`. `work` is the time for which it would keep a whole replica
    /// busy.
    pub fn record_request(&mut self, now: Time, model: u32, work: Duration) {
        let added = Demand { requests: 1.0, work: work.as_secs_f64(), ..Demand::default() };
        self.count(now, model, added);
    }

    /// Counts a request for `model` that was refused or late.
    pub fn record_miss(&mut self, now: Time, model: u32) {
        self.count(now, model, Demand { missed: 1.0, ..Demand::default() });
    }

    /// Adds to the average of `model`, unless too many models are counted already.
    fn count(&mut self, now: Time, model: u32, added: Demand) {
        if self.meters.len() < MAX_MODELS || self.meters.contains_key(&model) {
            self.meters.entry(model).or_default().add(now, added);
        }
    }

    /// Replaces the demand that the peer `from` reports.
    pub fn record_peer(&mut self, now: Time, from: u64, demands: Demands) {
        self.peers.retain(|_, (at, _)| now.since(*at) < PEER_TIMEOUT);
        if self.peers.len() < MAX_PEERS || self.peers.contains_key(&from) {
            self.peers.insert(from, (now, demands));
        }
    }

    /// Returns the demand at this entry.
    pub fn local(&self, now: Time) -> Demands {
        self.meters.iter().map(|(model, it)| (*model, it.rate(now))).collect()
    }

    /// Returns the demand at all entries, as far as this one knows it.
    pub fn total(&self, now: Time) -> Demands {
        let mut sum = self.local(now);
        let reported = self.peers.values().filter(|(at, _)| now.since(*at) < PEER_TIMEOUT);
        reported.for_each(|(_, it)| add(&mut sum, it));
        sum
    }

    /// Returns the demand for one model at all entries, as far as this one knows it.
    pub fn total_of(&self, now: Time, model: u32) -> Demand {
        let own = self.meters.get(&model).map(|it| it.rate(now)).unwrap_or_default();
        let reported = self.peers.values().filter(|(at, _)| now.since(*at) < PEER_TIMEOUT);
        let reported = reported.filter_map(|(_, it)| it.get(&model));
        reported.fold(own, |sum, it| sum.plus(it.clamped()))
    }
}
