//! The choice of a target: by the room that targets have, and what is expected of them.

use rand::RngExt as _;

use super::admission::{self, Capacity, Contention};
use super::speed::Baseline;
use super::track::{Estimate, Track};
use super::{Balancer, Choice, Forecast, Key, Pool, Requirements, Settings, small, tag};
use crate::gateway::warmup;
use crate::prelude::*;

/// Longest time after which a target is told to be free.
const LONGEST_MS: f64 = 5_000.0;

/// Time after which a cold target may have room again, in milliseconds.
const COLD_MS: f64 = 100.0;

/// Time after which a suspect target may be tried again, in milliseconds.
const SUSPECT_MS: f64 = 200.0;

/// A target that has room for a request.
#[derive(Clone, Copy)]
struct Open {
    key: Key,
    cost: f64,
    /// Places for requests like it, those included that end before peers hear of it.
    places: f64,
    forecast: Forecast,
}

impl Open {
    fn new(key: Key, estimate: &Estimate, places: f64, lag: Duration) -> Open {
        let ending = f64::from(estimate.running) * millis(lag);
        let places = places + ending / estimate.whole_ms.max(1.0);
        let Estimate { load_ms, first_ms, slowness, running, is_typical, cost, .. } = *estimate;
        Open {
            key,
            cost,
            places,
            forecast: Forecast { load_ms, first_token_ms: first_ms, slowness, running, is_typical },
        }
    }
}

/// What the targets have for one request.
struct Offers {
    in_time: Vec<Open>,
    late: Vec<Open>,
    /// Whether there is a target that could run it.
    some: bool,
    /// Milliseconds until one may be free.
    soonest: f64,
}

/// What is known of a request's model, and how many more urgent ranks are asked for.
struct Terms {
    norm: Baseline,
    above: u32,
}

impl Balancer {
    /// Picks a target for a request to `service` and counts it there.
    pub fn choose(&mut self, now: Time, service: &str, ask: &Requirements) -> Choice {
        let Some(pool) = self.pools.get_mut(service) else { return Choice::NoTarget };
        let (norm, above) = pool.norm(now, ask, &self.settings.admission);
        let offers = self.offers(now, service, ask, &Terms { norm, above });
        let Offers { in_time, late, some, soonest } = offers;
        let flow = self.flow(now, ask, in_time.len());
        let open = if in_time.is_empty() { late } else { in_time };
        let places = open.iter().map(|it| it.places).sum();
        let fits = ask.is_resumed || flow.admits(places, ask.draw);
        let best = if fits { self.best(open, &flow) } else { None };
        match best {
            Some(Open { key, forecast, .. }) => {
                self.begin(now, key, ask);
                Choice::Send(key, forecast)
            }
            None if some => {
                Choice::Busy(Duration::from_secs_f64(soonest.min(LONGEST_MS) / 1_000.0))
            }
            None => Choice::NoTarget,
        }
    }

    /// What all entries send before they hear of it.
    fn flow(&self, now: Time, ask: &Requirements, targets: usize) -> Contention {
        let demand = ask.model.as_ref().map(|it| self.demand.total_of(now, tag(it)));
        let requests = demand.unwrap_or_default().requests;
        Contention { arrivals: requests * self.settings.lag.as_secs_f64(), targets }
    }

    fn offers(&mut self, now: Time, service: &str, ask: &Requirements, terms: &Terms) -> Offers {
        let mut offers =
            Offers { in_time: Vec::new(), late: Vec::new(), some: false, soonest: f64::INFINITY };
        let Some(pool) = self.pools.get(service) else { return offers };
        for key in &pool.keys {
            let Some(track) = self.tracks.get_mut(*key) else { continue };
            if !track.serves(ask) || ask.excluded.contains(key) {
                continue;
            }
            offers.some = true;
            if let Some(pause) = pause_ms(now, track, pool, &self.settings, &self.entries) {
                offers.soonest = offers.soonest.min(pause);
                continue;
            }
            let lag = self.settings.lag;
            let estimate = track.estimate(now, (&pool.engine, &terms.norm), &self.settings, ask);
            match room(ask, &estimate, track.target.slots, terms.above, &self.settings) {
                Capacity::InTime(it) => offers.in_time.push(Open::new(*key, &estimate, it, lag)),
                Capacity::Late(it) => offers.late.push(Open::new(*key, &estimate, it, lag)),
                Capacity::None => offers.soonest = offers.soonest.min(estimate.slot_ms),
            }
        }
        offers
    }

    /// The cheapest of a few picked at random, so that entries don't all pick the same. Those with
    /// more room are picked more often.
    fn best(&mut self, mut open: Vec<Open>, flow: &Contention) -> Option<Open> {
        let compared = flow.sample_size(self.settings.compared).min(open.len());
        for place in 0..compared {
            let rest = &open[place..];
            let all: f64 = rest.iter().map(|it| it.places).sum();
            let mut draw = self.random.random::<f64>() * all;
            let drawn = rest.iter().position(|it| {
                draw -= it.places;
                draw < 0.0
            });
            open.swap(place, place + drawn.unwrap_or_default());
        }
        let sample = open.into_iter().take(compared);
        sample.min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    fn begin(&mut self, now: Time, key: Key, ask: &Requirements) {
        let trial_limit = self.settings.trial_limit;
        let Some(track) = self.tracks.get_mut(key) else { return };
        if track.own.running == 0 {
            track.heard = now;
            track.writing = false;
        }
        track.own.running += 1;
        track.own.prefill = track.own.prefill.saturating_add(small(ask.prompt_tokens));
        track.limiter.record_sent(now);
        if let Some(suspect) = &mut track.suspect {
            suspect.pause = (suspect.pause * 2).min(trial_limit);
            suspect.trial_at = now + suspect.pause;
        }
    }
}

/// Milliseconds for which a target must not be sent anything, if it mustn't now.
fn pause_ms(
    now: Time,
    track: &mut Track,
    pool: &Pool,
    settings: &Settings,
    entries: &[u64],
) -> Option<f64> {
    if let Some(until) = track.rest_until.filter(|it| *it > now) {
        return Some(millis(until.since(now)));
    }
    if track.cold_until > now {
        let share = warmup::share(pool.warmup_rate, track.hash, settings.entry_hash, entries);
        if !track.limiter.has_room(now, share) {
            return Some(COLD_MS);
        }
    }
    (!track.may_try(now)).then_some(SUSPECT_MS)
}

fn room(
    ask: &Requirements,
    estimate: &Estimate,
    slots: u32,
    above: u32,
    settings: &Settings,
) -> Capacity {
    if ask.is_resumed {
        return Capacity::InTime(1.0);
    }
    let terms = &settings.admission;
    let left = millis(ask.objective.saturating_sub(terms.way));
    admission::capacity(&estimate.prospect(slots, left), above, terms)
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
