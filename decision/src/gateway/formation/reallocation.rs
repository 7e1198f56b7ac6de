//! Moves instances from the model with the lowest missed ratio to the one with the highest. The
//! missed ratio is the fraction of a model's requests that are refused or late.
//!
//! A move ends replicas in one fabric domain. Their instances, together with the free ones, become
//! replicas of the other model. The streams of an ended replica run to their end first. The weights
//! of the other model are staged on the hosts while the replicas still serve.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::change::{Reason, Step};
use super::order::{Action, Order};
use super::view::{Instances, has_weights};
use super::{Formation, Key, Replica, Status};
use crate::gateway::demand::Demand;
use crate::gateway::engine::{Engine, Model};
use crate::gateway::fleet::Instance;
use crate::prelude::*;

/// Instances of a service per move that may be in progress at the same time.
const INSTANCES_PER_MOVE: usize = 64;

/// A move of instances to another model.
#[derive(Clone, Debug)]
struct Move {
    /// The replicas to end.
    keys: Vec<Key>,
    /// The model that gets the instances.
    model: Arc<str>,
    /// Members of these replicas whose hosts need the weights of `model` first.
    unstaged: Vec<Arc<str>>,
    /// The higher pressure of the two models after the move. The pressure is the ratio of the
    /// replicas that a model needs to those that it has.
    pressure: f64,
}

/// The model to which a move has been worthwhile, and since when.
#[derive(Clone, Debug, Default)]
pub(super) struct Proposal {
    model: Option<Arc<str>>,
    since: Time,
}

impl Proposal {
    /// Records the model to which a move is worthwhile now, if any. Returns for how long it has
    /// been the same.
    fn update(&mut self, now: Time, model: Option<&Arc<str>>) -> Duration {
        if self.model.as_ref() != model {
            *self = Proposal { model: model.cloned(), since: now };
        }
        now.since(self.since)
    }
}

/// A model that gets instances, and the model that gives them.
#[derive(Clone, Copy)]
struct Pair<'a> {
    recipient: &'a Model,
    donor: &'a Model,
}

impl Formation {
    /// Records the demand of the callers, by model.
    pub fn record_demand(
        &mut self,
        now: Time,
        demands: impl IntoIterator<Item = (Arc<str>, Demand)>,
    ) {
        self.allotment.observe(now, demands);
    }

    /// Returns the number of replicas of a model that the demand calls for, and the number that
    /// there are.
    pub fn replica_counts(&self, model: &str) -> (f64, usize) {
        (
            self.allotment.wanted_replicas(model),
            self.replicas_by_model().get(model).copied().unwrap_or_default(),
        )
    }

    /// Whether the demand calls for more replicas of a model than there are.
    pub(super) fn has_unmet_demand(
        &self,
        model: &Model,
        counts: &HashMap<Arc<str>, usize>,
    ) -> bool {
        let count = counts.get(&model.name).copied().unwrap_or_default();
        self.allotment.wanted_replicas(&model.name) > count as f64
    }

    /// Begins the best move once it has been worthwhile for long enough, or the loads that it needs
    /// first.
    pub(super) fn reallocate(
        &mut self,
        now: Time,
        engine: &Engine,
        all: &Instances<'_>,
        free: &BTreeMap<Arc<str>, Vec<&Instance>>,
        actions: &mut Vec<Action>,
    ) {
        let is_allowed =
            !self.are_loads_exempt && self.allotment.is_known(now) && self.has_move_capacity(all);
        let best = if is_allowed { self.best_move(engine, all, free) } else { None };
        let waited = self.proposal.update(now, best.as_ref().map(|it| &it.model));
        let Some(best) = best else { return };
        let settings = *self.allotment.settings();
        if best.unstaged.is_empty() {
            if waited >= settings.sustain_time {
                self.begin_move(now, &best);
            }
        } else if waited >= settings.sustain_time_with_loads {
            let model = engine.model(&best.model);
            model
                .into_iter()
                .for_each(|it| self.stage_for_move(now, all, it, &best.unstaged, actions));
        }
    }

    /// Begins the end of the replicas whose instances are moved.
    fn begin_move(&mut self, now: Time, chosen: &Move) {
        for key in &chosen.keys {
            let Some(replica) = self.replicas.get_mut(key) else { continue };
            replica.preempt(now);
            let model = replica.model.clone();
            self.record_change(key, &model, Step::Ending(Reason::Reallocated.into()));
        }
    }

    /// Loads the weights of `model` onto the hosts of instances that still serve another model, as
    /// far as the load rate allows.
    fn stage_for_move(
        &mut self,
        now: Time,
        all: &Instances<'_>,
        model: &Model,
        instances: &[Arc<str>],
        actions: &mut Vec<Action>,
    ) {
        for id in instances {
            if self.loading.contains_key(id) {
                continue;
            }
            if !self.may_load(now, 1) {
                return;
            }
            self.load_times.push_back(now);
            self.loading.insert(id.clone(), (now + model.load_time, model.name.clone()));
            self.send(now, all, id, Order::Stage { model: model.name.clone() }, actions);
        }
    }

    /// Whether one more move may begin besides those in progress.
    fn has_move_capacity(&self, all: &Instances<'_>) -> bool {
        let is_moving = |it: &&Replica| it.is_preempted || it.status == Status::Forming;
        let max_moves = (all.known.len() / INSTANCES_PER_MOVE).max(1);
        self.replicas.values().filter(is_moving).count() < max_moves
    }

    /// Returns the model with the highest missed ratio and that with the lowest, if they
    /// differ enough.
    fn pair<'a>(&self, engine: &'a Engine) -> Option<Pair<'a>> {
        let missed = |it: &&Model| self.allotment.missed_ratio(&it.name);
        let by_missed = |a: &&Model, b: &&Model| missed(a).total_cmp(&missed(b));
        let worst = engine.models.iter().max_by(by_missed)?;
        let best = engine.models.iter().min_by(by_missed)?;
        let is_enough = missed(&worst) - missed(&best) >= self.allotment.settings().min_missed_gap;
        is_enough.then_some(Pair { recipient: worst, donor: best })
    }

    /// Returns the worthwhile move that needs the fewest loads, if any, and of several the one with
    /// the lowest pressure after it.
    fn best_move(
        &self,
        engine: &Engine,
        all: &Instances<'_>,
        free: &BTreeMap<Arc<str>, Vec<&Instance>>,
    ) -> Option<Move> {
        let pair = self.pair(engine)?;
        let mut fabric_domains: Vec<&Arc<str>> =
            self.replicas.values().filter_map(|it| it.fabric_domain.as_ref()).collect();
        fabric_domains.sort();
        fabric_domains.dedup();
        let moves = fabric_domains.into_iter().filter_map(|it| {
            let spares = free.get(it).map(Vec::as_slice).unwrap_or_default();
            self.best_move_in(it, pair, all, spares)
        });
        let rank = |it: &Move| (it.unstaged.len(), it.pressure);
        moves.min_by(|a, b| rank(a).partial_cmp(&rank(b)).unwrap_or(std::cmp::Ordering::Equal))
    }

    /// Returns the move in one fabric domain that ends the fewest replicas, if it is worthwhile: it
    /// must lower the higher pressure of the two models enough and leave the donor a replica.
    fn best_move_in(
        &self,
        fabric_domain: &Arc<str>,
        Pair { recipient, donor }: Pair<'_>,
        all: &Instances<'_>,
        spares: &[&Instance],
    ) -> Option<Move> {
        let counts = self.replicas_by_model();
        let count = |it: &Model| counts.get(&it.name).copied().unwrap_or_default();
        let donors = self.replicas.within(fabric_domain).filter(|(_, it)| it.model == donor.name);
        let donors: Vec<(&Key, &Replica)> =
            donors.filter(|(_, it)| it.status == Status::Complete).collect();
        // Reserved instances stay free to replace lost members.
        let usable_count = spares.len().saturating_sub(self.settings.reserved_spares);
        let end_count =
            (1..=donors.len()).find(|it| it * donor.size + usable_count >= recipient.size)?;
        let gained = (end_count * donor.size + usable_count) / recipient.size;
        let remaining = count(donor).checked_sub(end_count).filter(|it| *it > 0)?;
        let pressure = |it: &Model, count| self.allotment.pressure(&it.name, count);
        let before = pressure(recipient, count(recipient)).max(pressure(donor, count(donor)));
        let after = pressure(recipient, count(recipient) + gained).max(pressure(donor, remaining));
        if after > before * self.allotment.settings().max_pressure_ratio {
            return None;
        }
        let ended = &donors[..end_count];
        let is_staged =
            |id: &&Arc<str>| all.find_listed(id).is_some_and(|it| has_weights(it, &recipient.name));
        let members = ended.iter().flat_map(|(_, it)| it.members.iter());
        let (staged, unstaged): (Vec<_>, Vec<_>) = members.partition(is_staged);
        let ready = spares.iter().filter(|it| has_weights(it, &recipient.name)).count();
        let ready = staged.len() + ready.saturating_sub(self.settings.reserved_spares);
        let missing = (gained * recipient.size).saturating_sub(ready);
        Some(Move {
            keys: ended.iter().map(|(key, _)| (*key).clone()).collect(),
            model: recipient.name.clone(),
            unstaged: unstaged.into_iter().take(missing).cloned().collect(),
            pressure: after,
        })
    }
}
