//! What is made of the instances that belong to no replica.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use super::change::{Reason, Step};
use super::order::{Action, Order, may_serve, replica, serves};
use super::view::{Instances, has, staged};
use super::weight::{FAR_AHEAD, cost, is_in_the_way, last_cost};
use super::{Formation, Group, Key, Stage};
use crate::gateway::engine::{Engine, Model};
use crate::gateway::fleet::{Instance, Member, Phase, Presence};
use crate::prelude::*;

impl Formation {
    /// The instances that belong to no replica, by fabric domain.
    pub(super) fn free<'a>(
        &mut self,
        now: Time,
        all: &Instances<'a>,
        actions: &mut Vec<Action>,
    ) -> BTreeMap<Arc<str>, Vec<&'a Instance>> {
        let groups = self.groups.values();
        let members = groups.flat_map(|it| it.members.iter().filter(|id| !it.gone.contains(*id)));
        let taken: HashSet<&str> = members.map(|it| &**it).collect();
        let mut strays = Vec::new();
        let mut free: BTreeMap<Arc<str>, Vec<&Instance>> = BTreeMap::new();
        for (instance, presence) in all.known.values() {
            let Some(fabric) = &instance.fabric_domain else { continue };
            let answers = *presence == Presence::Listed || self.is_vouched(instance);
            let alive =
                answers && !self.is_unreachable(now, instance) && !self.is_contested(instance);
            let usable = instance.phase == Phase::Ready && alive;
            if !usable || taken.contains(&*instance.id) {
                continue;
            }
            // What is left of a replica that isn't known leaves it before it is used again. One of
            // this owner's own is left as soon as another one is joined.
            let left = |it: &Member| self.left.contains_key(&(instance.id.clone(), it.key()));
            if let Some(member) = &instance.member
                && !left(member)
                && may_serve(member)
                && (member.epoch < self.first_epoch() || serves(member))
            {
                strays.push((instance.id.clone(), Order::leave(&member.key())));
                continue;
            }
            free.entry(fabric.clone()).or_default().push(instance);
        }
        for (id, order) in strays {
            self.send(now, all, &id, order, actions);
        }
        free
    }

    /// Forms replicas of free instances, of the model that is missed most.
    pub(super) fn form(
        &mut self,
        now: Time,
        engine: &Engine,
        all: &Instances<'_>,
        free: &mut BTreeMap<Arc<str>, Vec<&Instance>>,
        actions: &mut Vec<Action>,
    ) {
        loop {
            let counts = self.counts();
            let mut best: Option<(f64, &Model, Arc<str>)> = None;
            for (fabric, instances) in free.iter() {
                let room = instances.len().saturating_sub(self.reserve(engine, fabric));
                let fits = engine.models.iter().filter(|it| it.size <= room);
                for model in fits.filter(|it| self.is_formable(all, it, instances)) {
                    if is_in_the_way(engine, model, &counts, room) {
                        continue;
                    }
                    let cost = cost(model, &counts);
                    if best.as_ref().is_none_or(|(least, ..)| cost < *least) {
                        best = Some((cost, model, fabric.clone()));
                    }
                }
            }
            let Some((_, model, fabric)) = best else { return };
            let Some(instances) = free.get_mut(&fabric) else { return };
            self.take(now, model, instances, all, actions);
        }
    }

    /// Instances of a fabric domain that stay free to heal its replicas, once it has one of each
    /// model.
    pub(super) fn reserve(&self, engine: &Engine, fabric: &Arc<str>) -> usize {
        let here = |it: &Model| self.is_served(fabric, it);
        if engine.models.iter().all(here) { self.settings.reserved_spares } else { 0 }
    }

    /// Replicas by model.
    pub(super) fn counts(&self) -> HashMap<Arc<str>, usize> {
        let mut counts = HashMap::new();
        for group in self.groups.values().filter(|it| it.stage != Stage::Ending) {
            *counts.entry(group.model.clone()).or_default() += 1;
        }
        counts
    }

    /// Whether all weights for one replica are there. They are staged first, so that the instances
    /// stay usable meanwhile, unless loads are free.
    pub(super) fn is_formable(
        &self,
        all: &Instances<'_>,
        model: &Model,
        instances: &[&Instance],
    ) -> bool {
        let listed = |it: &&Instance| all.get(&it.id).is_some();
        if !instances.iter().any(|it| listed(it) && (self.are_loads_exempt || has(it, &model.name)))
        {
            return false;
        }
        staged(instances, model) >= model.size || self.are_loads_exempt
    }

    pub(super) fn take(
        &mut self,
        now: Time,
        model: &Model,
        instances: &mut Vec<&Instance>,
        all: &Instances<'_>,
        actions: &mut Vec<Action>,
    ) {
        instances.sort_by_key(|it| {
            let member = it.model.as_ref() == Some(&model.name);
            let preference = if member {
                0
            } else if has(it, &model.name) {
                1
            } else {
                2
            };
            (preference, all.get(&it.id).is_none(), it.warmup_left, it.id.clone())
        });
        let mut chosen: Vec<&Instance> = instances.drain(..model.size).collect();
        // Requests go to the head, which therefore has to be listed.
        chosen.sort_by_key(|it| all.get(&it.id).is_none());
        let epoch = self.next_epoch();
        let group = replica(epoch);
        for instance in chosen.iter().filter(|it| !has(it, &model.name)) {
            self.loads.push_back(now);
            self.loading.insert(instance.id.clone(), (now + model.load_time, model.name.clone()));
        }
        let formed = Group {
            model: model.name.clone(),
            fabric: chosen[0].fabric_domain.clone(),
            members: chosen.iter().map(|it| it.id.clone()).collect(),
            born: chosen.iter().map(|it| it.incarnation).collect(),
            since: now,
            ended: now,
            unwanted: false,
            adopted: false,
            ready: None,
            gone: HashSet::new(),
            stage: Stage::Forming,
        };
        let key = (group, epoch);
        for id in &formed.members {
            self.sent.remove(id);
            self.join(now, all, id, (&key, &formed), actions);
        }
        self.note(&key, &model.name, Step::Formed);
        self.groups.insert(key, formed);
    }

    /// Ends replicas of models that are far ahead, where their instances would complete one of the
    /// model that is missed most.
    pub(super) fn rebalance(
        &mut self,
        now: Time,
        engine: &Engine,
        all: &Instances<'_>,
        free: &BTreeMap<Arc<str>, Vec<&Instance>>,
    ) {
        let settled = self.groups.values().all(|it| it.stage == Stage::Whole);
        let counts = self.counts();
        let missed =
            engine.models.iter().min_by(|a, b| cost(a, &counts).total_cmp(&cost(b, &counts)));
        let Some(missed) = missed.filter(|_| settled && !self.are_loads_exempt) else { return };
        for (fabric, instances) in free {
            let calm = self.calm.get(fabric);
            let long = calm.is_some_and(|(_, it)| now.since(*it) >= self.settings.rebalance_delay);
            let wanted = !self.is_served(fabric, missed) && instances.len() < missed.size;
            if !long || !wanted || self.is_hasty(all, fabric) {
                continue;
            }
            let keys = self.in_the_way(engine, fabric, missed, free);
            for key in &keys {
                let Some(group) = self.groups.get_mut(key) else { continue };
                group.give_way(now);
                let model = group.model.clone();
                self.note(key, &model, Step::Ending(Reason::Rebalanced.into()));
            }
            if !keys.is_empty() {
                return;
            }
        }
    }

    /// The fewest replicas in `fabric` whose instances, beside those that are free, make one of
    /// `missed`: of models that stay ahead of it, or that have room in another fabric domain.
    fn in_the_way(
        &self,
        engine: &Engine,
        fabric: &Arc<str>,
        missed: &Model,
        free: &BTreeMap<Arc<str>, Vec<&Instance>>,
    ) -> Vec<Key> {
        let mut counts = self.counts();
        let least = cost(missed, &counts);
        let mut room = free.get(fabric).map_or(0, Vec::len);
        let mut keys = Vec::new();
        for (key, group) in self.groups.within(fabric) {
            if room >= missed.size {
                break;
            }
            let Some(model) = engine.model(&group.model) else { continue };
            let ahead = last_cost(model, &counts) >= FAR_AHEAD * least;
            let elsewhere = |(it, free): (&Arc<str>, &Vec<&Instance>)| {
                it != fabric && free.len() >= model.size && !self.is_served(it, model)
            };
            if model.name == missed.name || !(ahead || free.iter().any(elsewhere)) {
                continue;
            }
            counts.entry(model.name.clone()).and_modify(|it| *it -= 1);
            room += model.size;
            keys.push(key.clone());
        }
        if room >= missed.size { keys } else { Vec::new() }
    }
}
