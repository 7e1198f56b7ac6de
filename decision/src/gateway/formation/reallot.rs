//! Moves instances from a model whose callers are well off to one whose callers are not.
//!
//! A move ends replicas of one fabric domain, whose instances, beside those that are free, become
//! replicas of the other model. Their streams end by themselves before. The weights of the other
//! model are brought to the hosts while the replicas still serve.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::change::{Reason, Step};
use super::order::{Action, Order};
use super::view::{Instances, has};
use super::{Formation, Group, Key, Stage};
use crate::gateway::demand::Demand;
use crate::gateway::engine::{Engine, Model};
use crate::gateway::fleet::Instance;
use crate::prelude::*;

/// Instances of a service for each move that is under way at the same time.
const PER_MOVE: usize = 64;

/// A move that would be worth it.
#[derive(Clone, Debug)]
struct Move {
    /// The replicas that end.
    keys: Vec<Key>,
    model: Arc<str>,
    /// Their members whose hosts lack the weights.
    lacking: Vec<Arc<str>>,
    /// The higher pressure of the two models after it.
    pressure: f64,
}

/// Since when moves have been worth it, to which model.
#[derive(Clone, Debug, Default)]
pub(super) struct Case {
    model: Option<Arc<str>>,
    since: Time,
}

impl Case {
    /// Notes the model that instances had better be moved to, if any. Returns for how long.
    fn argue(&mut self, now: Time, model: Option<&Arc<str>>) -> Duration {
        if self.model.as_ref() != model {
            *self = Case { model: model.cloned(), since: now };
        }
        now.since(self.since)
    }
}

/// A model that is given instances, and one that gives them.
#[derive(Clone, Copy)]
struct Pair<'a> {
    missed: &'a Model,
    donor: &'a Model,
}

impl Formation {
    /// Takes what callers ask for of each model.
    pub fn record_demand(
        &mut self,
        now: Time,
        demands: impl IntoIterator<Item = (Arc<str>, Demand)>,
    ) {
        self.allotment.observe(now, demands);
    }

    /// How many replicas of a model are wanted, and how many there are.
    pub fn replica_counts(&self, model: &str) -> (f64, usize) {
        (
            self.allotment.wanted_replicas(model),
            self.counts().get(model).copied().unwrap_or_default(),
        )
    }

    /// Whether callers are known to want more replicas of a model than there are.
    pub(super) fn is_in_want(&self, model: &Model, counts: &HashMap<Arc<str>, usize>) -> bool {
        let count = counts.get(&model.name).copied().unwrap_or_default();
        self.allotment.wanted_replicas(&model.name) > count as f64
    }

    /// Begins a move that has been worth it for a while, or the loads that it needs.
    pub(super) fn reallot(
        &mut self,
        now: Time,
        engine: &Engine,
        all: &Instances<'_>,
        free: &BTreeMap<Arc<str>, Vec<&Instance>>,
        actions: &mut Vec<Action>,
    ) {
        let may =
            !self.are_loads_exempt && self.allotment.is_known(now) && self.has_moves_left(all);
        let best = if may { self.best_move(engine, all, free) } else { None };
        let long = self.case.argue(now, best.as_ref().map(|it| &it.model));
        let Some(best) = best else { return };
        let settings = *self.allotment.settings();
        if best.lacking.is_empty() {
            if long >= settings.sustain_time {
                self.begin_move(now, &best);
            }
        } else if long >= settings.sustain_time_with_loads {
            let model = engine.model(&best.model);
            model.into_iter().for_each(|it| self.bring(now, all, it, &best.lacking, actions));
        }
    }

    fn begin_move(&mut self, now: Time, it: &Move) {
        for key in &it.keys {
            let Some(group) = self.groups.get_mut(key) else { continue };
            group.give_way(now);
            let model = group.model.clone();
            self.note(key, &model, Step::Ending(Reason::Reallotted.into()));
        }
    }

    /// Loads the weights of `model` onto the hosts of instances that serve another one.
    fn bring(
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
            self.loads.push_back(now);
            self.loading.insert(id.clone(), (now + model.load_time, model.name.clone()));
            self.send(now, all, id, Order::Stage { model: model.name.clone() }, actions);
        }
    }

    /// Whether one more move may begin beside those that are under way.
    fn has_moves_left(&self, all: &Instances<'_>) -> bool {
        let moved = |it: &&Group| it.unwanted || it.stage == Stage::Forming;
        let most = (all.known.len() / PER_MOVE).max(1);
        self.groups.values().filter(moved).count() < most
    }

    /// The model whose callers miss most, and the one whose callers miss least, if they differ
    /// enough.
    fn pair<'a>(&self, engine: &'a Engine) -> Option<Pair<'a>> {
        let missed = |it: &&Model| self.allotment.missed_ratio(&it.name);
        let by_missed = |a: &&Model, b: &&Model| missed(a).total_cmp(&missed(b));
        let worst = engine.models.iter().max_by(by_missed)?;
        let best = engine.models.iter().min_by(by_missed)?;
        let worse = missed(&worst) - missed(&best) >= self.allotment.settings().min_missed_gap;
        worse.then_some(Pair { missed: worst, donor: best })
    }

    /// The move after which the pressure is lowest, if it is worth while. What needs the fewest
    /// loads goes first.
    fn best_move(
        &self,
        engine: &Engine,
        all: &Instances<'_>,
        free: &BTreeMap<Arc<str>, Vec<&Instance>>,
    ) -> Option<Move> {
        let pair = self.pair(engine)?;
        let mut fabrics: Vec<&Arc<str>> =
            self.groups.values().filter_map(|it| it.fabric.as_ref()).collect();
        fabrics.sort();
        fabrics.dedup();
        let moves = fabrics.into_iter().filter_map(|it| {
            let spares = free.get(it).map(Vec::as_slice).unwrap_or_default();
            self.move_in(it, pair, all, spares)
        });
        let rank = |it: &Move| (it.lacking.len(), it.pressure);
        moves.min_by(|a, b| rank(a).partial_cmp(&rank(b)).unwrap_or(std::cmp::Ordering::Equal))
    }

    /// The move in one fabric domain that ends the fewest replicas, if it is worth while.
    fn move_in(
        &self,
        fabric: &Arc<str>,
        Pair { missed, donor }: Pair<'_>,
        all: &Instances<'_>,
        spares: &[&Instance],
    ) -> Option<Move> {
        let counts = self.counts();
        let count = |it: &Model| counts.get(&it.name).copied().unwrap_or_default();
        let donors = self.groups.within(fabric).filter(|(_, it)| it.model == donor.name);
        let donors: Vec<(&Key, &Group)> =
            donors.filter(|(_, it)| it.stage == Stage::Whole).collect();
        // What stays free to heal others is not counted on.
        let usable = spares.len().saturating_sub(self.settings.reserved_spares);
        let ends = (1..=donors.len()).find(|it| it * donor.size + usable >= missed.size)?;
        let gained = (ends * donor.size + usable) / missed.size;
        let remain = count(donor).checked_sub(ends).filter(|it| *it > 0)?;
        let pressure = |it: &Model, count| self.allotment.pressure(&it.name, count);
        let before = pressure(missed, count(missed)).max(pressure(donor, count(donor)));
        let after = pressure(missed, count(missed) + gained).max(pressure(donor, remain));
        if after > before * self.allotment.settings().max_pressure_ratio {
            return None;
        }
        let ended = &donors[..ends];
        let has_weights = |id: &&Arc<str>| all.get(id).is_some_and(|it| has(it, &missed.name));
        let members = ended.iter().flat_map(|(_, it)| it.members.iter());
        let (there, lacking): (Vec<_>, Vec<_>) = members.partition(has_weights);
        let ready = spares.iter().filter(|it| has(it, &missed.name)).count();
        let ready = there.len() + ready.saturating_sub(self.settings.reserved_spares);
        let missing = (gained * missed.size).saturating_sub(ready);
        Some(Move {
            keys: ended.iter().map(|(key, _)| (*key).clone()).collect(),
            model: missed.name.clone(),
            lacking: lacking.into_iter().take(missing).cloned().collect(),
            pressure: after,
        })
    }
}
