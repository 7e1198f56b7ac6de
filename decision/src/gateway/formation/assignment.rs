//! Assigns free instances to new replicas, and ends replicas of models that have too many.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use super::change::{Reason, Step};
use super::cost::{SURPLUS_COST_RATIO, is_blocking, last_cost, next_cost};
use super::order::{Action, Order, is_serving, may_serve, replica_name};
use super::view::{Instances, count_staged, has_weights};
use super::{Formation, Key, Replica, Status};
use crate::gateway::engine::{Engine, Model};
use crate::gateway::fleet::{Instance, Member, Phase, Presence};
use crate::prelude::*;

impl Formation {
    /// Returns the free instances by fabric domain: those that are usable and not members of a
    /// known replica. Members of an unknown replica that may serve are ordered to leave it first.
    pub(super) fn free_instances<'a>(
        &mut self,
        now: Time,
        all: &Instances<'a>,
        actions: &mut Vec<Action>,
    ) -> BTreeMap<Arc<str>, Vec<&'a Instance>> {
        let replicas = self.replicas.values();
        let members =
            replicas.flat_map(|it| it.members.iter().filter(|id| !it.released.contains(*id)));
        let member_ids: HashSet<&str> = members.map(|it| &**it).collect();
        let mut leave_orders = Vec::new();
        let mut free: BTreeMap<Arc<str>, Vec<&Instance>> = BTreeMap::new();
        for (instance, presence) in all.known.values() {
            let Some(fabric_domain) = &instance.fabric_domain else { continue };
            let is_alive = *presence == Presence::Listed || self.has_answered(instance);
            let is_available =
                is_alive && !self.is_unreachable(now, instance) && !self.is_mismatched(instance);
            let is_usable = instance.phase == Phase::Ready && is_available;
            if !is_usable || member_ids.contains(&*instance.id) {
                continue;
            }
            // A member of an unknown replica leaves it before it is used again. A replica that this
            // owner formed and that hasn't served is left when another one is joined.
            let has_left =
                |it: &Member| self.left_members.contains_key(&(instance.id.clone(), it.key()));
            if let Some(member) = &instance.member
                && !has_left(member)
                && may_serve(member)
                && (member.epoch < self.first_epoch() || is_serving(member))
            {
                leave_orders.push((instance.id.clone(), Order::leave(&member.key())));
                continue;
            }
            free.entry(fabric_domain.clone()).or_default().push(instance);
        }
        for (id, order) in leave_orders {
            self.send(now, all, &id, order, actions);
        }
        free
    }

    /// Forms replicas of free instances, first of the model with the lowest cost of one more.
    pub(super) fn form_replicas(
        &mut self,
        now: Time,
        engine: &Engine,
        all: &Instances<'_>,
        free: &mut BTreeMap<Arc<str>, Vec<&Instance>>,
        actions: &mut Vec<Action>,
    ) {
        loop {
            let counts = self.replicas_by_model();
            let mut best: Option<(f64, &Model, Arc<str>)> = None;
            for (fabric_domain, instances) in free.iter() {
                let usable_count =
                    instances.len().saturating_sub(self.reserved_spares(engine, fabric_domain));
                let fits = engine.models.iter().filter(|it| it.size <= usable_count);
                for model in fits.filter(|it| self.is_formable(all, it, instances)) {
                    if is_blocking(engine, model, &counts, usable_count) {
                        continue;
                    }
                    let cost = next_cost(model, &counts);
                    if best.as_ref().is_none_or(|(lowest, ..)| cost < *lowest) {
                        best = Some((cost, model, fabric_domain.clone()));
                    }
                }
            }
            let Some((_, model, fabric_domain)) = best else { return };
            let Some(instances) = free.get_mut(&fabric_domain) else { return };
            self.form_replica(now, model, instances, all, actions);
        }
    }

    /// Returns the number of instances of a fabric domain that stay free to replace lost members.
    /// It is 0 until the fabric domain has a replica of each model.
    pub(super) fn reserved_spares(&self, engine: &Engine, fabric_domain: &Arc<str>) -> usize {
        let is_served = |it: &Model| self.is_served(fabric_domain, it);
        if engine.models.iter().all(is_served) { self.settings.reserved_spares } else { 0 }
    }

    /// Counts the replicas by model, except those that are ending.
    pub(super) fn replicas_by_model(&self) -> HashMap<Arc<str>, usize> {
        let mut counts = HashMap::new();
        for replica in self.replicas.values().filter(|it| it.status != Status::Ending) {
            *counts.entry(replica.model.clone()).or_default() += 1;
        }
        counts
    }

    /// Whether enough instances have the weights of `model` for a replica, among them a listed one
    /// for the head. Weights are staged before a replica is formed, so that the instances stay
    /// usable in the meantime, unless loads are exempt from the load rate.
    pub(super) fn is_formable(
        &self,
        all: &Instances<'_>,
        model: &Model,
        instances: &[&Instance],
    ) -> bool {
        let is_listed = |it: &&Instance| all.find_listed(&it.id).is_some();
        if !instances
            .iter()
            .any(|it| is_listed(it) && (self.are_loads_exempt || has_weights(it, &model.name)))
        {
            return false;
        }
        count_staged(instances, model) >= model.size || self.are_loads_exempt
    }

    /// Forms a replica of `model` from the instances that fit best, and removes them from
    /// `instances`: those that have the model loaded first, then those with its weights on the
    /// host.
    pub(super) fn form_replica(
        &mut self,
        now: Time,
        model: &Model,
        instances: &mut Vec<&Instance>,
        all: &Instances<'_>,
        actions: &mut Vec<Action>,
    ) {
        instances.sort_by_key(|it| {
            let is_loaded = it.model.as_ref() == Some(&model.name);
            let preference = if is_loaded {
                0
            } else if has_weights(it, &model.name) {
                1
            } else {
                2
            };
            (preference, all.find_listed(&it.id).is_none(), it.warmup_left, it.id.clone())
        });
        let mut chosen: Vec<&Instance> = instances.drain(..model.size).collect();
        // Requests go to the head, which therefore must be listed.
        chosen.sort_by_key(|it| all.find_listed(&it.id).is_none());
        let epoch = self.next_epoch();
        let group = replica_name(epoch);
        for instance in chosen.iter().filter(|it| !has_weights(it, &model.name)) {
            self.load_times.push_back(now);
            self.loading.insert(instance.id.clone(), (now + model.load_time, model.name.clone()));
        }
        let replica = Replica {
            model: model.name.clone(),
            fabric_domain: chosen[0].fabric_domain.clone(),
            members: chosen.iter().map(|it| it.id.clone()).collect(),
            incarnations: chosen.iter().map(|it| it.incarnation).collect(),
            formed_at: now,
            ended_at: now,
            is_preempted: false,
            is_adopted: false,
            ready_at: None,
            released: HashSet::new(),
            status: Status::Forming,
        };
        let key = (group, epoch);
        for id in &replica.members {
            self.last_orders.remove(id);
            self.join(now, all, id, (&key, &replica), actions);
        }
        self.record_change(&key, &model.name, Step::Formed);
        self.replicas.insert(key, replica);
    }

    /// Ends replicas of models that are far above their share, in a fabric domain where that
    /// completes a replica of the model that is furthest below its share.
    pub(super) fn rebalance(
        &mut self,
        now: Time,
        engine: &Engine,
        all: &Instances<'_>,
        free: &BTreeMap<Arc<str>, Vec<&Instance>>,
    ) {
        let is_settled = self.replicas.values().all(|it| it.status == Status::Complete);
        let counts = self.replicas_by_model();
        let scarcest = engine
            .models
            .iter()
            .min_by(|a, b| next_cost(a, &counts).total_cmp(&next_cost(b, &counts)));
        let Some(scarcest) = scarcest.filter(|_| is_settled && !self.are_loads_exempt) else {
            return;
        };
        for (fabric_domain, instances) in free {
            let stable = self.stable_spares.get(fabric_domain);
            let is_stable =
                stable.is_some_and(|(_, it)| now.since(*it) >= self.settings.rebalance_delay);
            let is_short =
                !self.is_served(fabric_domain, scarcest) && instances.len() < scarcest.size;
            if !is_stable || !is_short || self.is_partition_likely(all, fabric_domain) {
                continue;
            }
            let keys = self.replicas_to_end(engine, fabric_domain, scarcest, free);
            for key in &keys {
                let Some(replica) = self.replicas.get_mut(key) else { continue };
                replica.preempt(now);
                let model = replica.model.clone();
                self.record_change(key, &model, Step::Ending(Reason::Rebalanced.into()));
            }
            if !keys.is_empty() {
                return;
            }
        }
    }

    /// Returns replicas in `fabric_domain` whose instances, together with the free ones, suffice
    /// for a replica of `scarcest`, or nothing if they don't suffice. They are of models that are
    /// far ahead of it, or that another fabric domain has room for.
    fn replicas_to_end(
        &self,
        engine: &Engine,
        fabric_domain: &Arc<str>,
        scarcest: &Model,
        free: &BTreeMap<Arc<str>, Vec<&Instance>>,
    ) -> Vec<Key> {
        let mut counts = self.replicas_by_model();
        let lowest_cost = next_cost(scarcest, &counts);
        let mut usable_count = free.get(fabric_domain).map_or(0, Vec::len);
        let mut keys = Vec::new();
        for (key, replica) in self.replicas.within(fabric_domain) {
            if usable_count >= scarcest.size {
                break;
            }
            let Some(model) = engine.model(&replica.model) else { continue };
            let is_ahead = last_cost(model, &counts) >= SURPLUS_COST_RATIO * lowest_cost;
            let has_room_elsewhere = |(it, free): (&Arc<str>, &Vec<&Instance>)| {
                it != fabric_domain && free.len() >= model.size && !self.is_served(it, model)
            };
            if model.name == scarcest.name || !(is_ahead || free.iter().any(has_room_elsewhere)) {
                continue;
            }
            counts.entry(model.name.clone()).and_modify(|it| *it -= 1);
            usable_count += model.size;
            keys.push(key.clone());
        }
        if usable_count >= scarcest.size { keys } else { Vec::new() }
    }
}
