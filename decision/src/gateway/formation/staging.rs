//! Plans which weights are loaded onto which free instances.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::cost::{is_due, next_cost};
use super::order::{self, Action, Order, Precondition};
use super::view::{Instances, count_staged, has_weights};
use super::{Formation, Replica, SentOrder, Status};
use crate::gateway::engine::{Engine, Model};
use crate::gateway::fleet::Instance;
use crate::prelude::*;

/// Number of unlisted instances of one fabric domain from which a network partition is assumed,
/// rather than separate failures.
const PARTITION_INSTANCES: usize = 3;

impl Formation {
    /// Stages weights on free instances: those of the next replica to form, or else those of the
    /// replicas in their fabric domain whose members they may replace. A replica then forms, or a
    /// member is replaced, without a load from the weight store.
    pub(super) fn stage_weights(
        &mut self,
        now: Time,
        engine: &Engine,
        all: &Instances<'_>,
        free: &BTreeMap<Arc<str>, Vec<&Instance>>,
        actions: &mut Vec<Action>,
    ) {
        let is_loading =
            |it: &Replica| it.status == Status::Forming && self.has_loading_member(now, it);
        if self.are_loads_exempt && self.replicas.values().any(is_loading) {
            return;
        }
        let counts = self.replicas_by_model();
        for (fabric_domain, spares) in free {
            let listed = spares.iter().filter(|it| all.find_listed(&it.id).is_some());
            let spares: &[&Instance] = &listed.copied().collect::<Vec<_>>();
            if !self.is_stable(now, fabric_domain, spares) {
                continue;
            }
            for (id, model) in self.planned_loads(engine, all, fabric_domain, spares, &counts) {
                if self.loading.contains_key(&id) {
                    continue;
                }
                if !self.may_load(now, 1) {
                    return;
                }
                self.load_times.push_back(now);
                self.loading.insert(id.clone(), (now + model.load_time, model.name.clone()));
                let order = Order::Stage { model: model.name.clone() };
                self.send(now, all, &id, order, actions);
            }
            self.warm_spares(now, all, spares, actions);
        }
    }

    /// Orders spares to load the weights that are on their hosts, each as the only member of a
    /// replica that never serves. They can then join a replica of that model without another load.
    pub(super) fn warm_spares(
        &mut self,
        now: Time,
        all: &Instances<'_>,
        spares: &[&Instance],
        actions: &mut Vec<Action>,
    ) {
        for spare in spares {
            let Some(model) = spare.staged.first() else { continue };
            if self.loading.contains_key(&spare.id) {
                continue;
            }
            if spare.member.is_some() && spare.model.as_ref() == Some(model) {
                continue;
            }
            let sent = self.last_orders.get(&spare.id);
            let is_recent = |it: &SentOrder| now.since(it.at) < self.settings.formation_slack;
            if sent.is_some_and(|it| is_recent(it) && it.is_spare_join(model)) {
                continue;
            }
            let epoch = self.next_epoch();
            let group = order::spare_name(epoch);
            let order = Order::Join {
                group: group.clone(),
                epoch,
                model: model.clone(),
                members: vec![spare.id.clone()],
            };
            let precondition = Precondition {
                incarnation: spare.incarnation,
                replica: (group, epoch),
                first_epoch: self.first_epoch(),
            };
            self.send_with(now, all, &spare.id, order, Some(precondition), actions);
        }
    }

    /// Whether the free instances of a fabric domain have been the same for
    /// `Settings::settle_time`, or loads are exempt from the load rate.
    pub(super) fn is_stable(
        &mut self,
        now: Time,
        fabric_domain: &Arc<str>,
        spares: &[&Instance],
    ) -> bool {
        let mut ids: Vec<Arc<str>> = spares.iter().map(|it| it.id.clone()).collect();
        ids.sort();
        let stable =
            self.stable_spares.entry(fabric_domain.clone()).or_insert_with(|| (Vec::new(), now));
        if stable.0 != ids {
            *stable = (ids, now);
        }
        self.are_loads_exempt || now.since(stable.1) >= self.settings.settle_time
    }

    /// Whether a member of a replica is loading weights.
    pub(super) fn has_loading_member(&self, now: Time, replica: &Replica) -> bool {
        replica.members.iter().any(|it| self.loading.get(it).is_some_and(|(until, _)| *until > now))
    }

    /// Returns the free instances of a fabric domain that should load weights, each with the model.
    pub(super) fn planned_loads<'a>(
        &self,
        engine: &'a Engine,
        all: &Instances<'_>,
        fabric_domain: &Arc<str>,
        spares: &[&Instance],
        counts: &HashMap<Arc<str>, usize>,
    ) -> Vec<(Arc<str>, &'a Model)> {
        let usable_count = spares.len().saturating_sub(self.reserved_spares(engine, fabric_domain));
        let possible = engine.models.iter().filter(|it| it.size <= usable_count);
        let possible =
            possible.filter(|it| is_due(it, engine, counts) || self.has_unmet_demand(it, counts));
        let may_replace = !self.is_partition_likely(all, fabric_domain);
        if let Some(model) =
            possible.min_by(|a, b| next_cost(a, counts).total_cmp(&next_cost(b, counts)))
        {
            let candidates = spares.iter().filter(|it| !has_weights(it, &model.name));
            let mut candidates: Vec<_> =
                candidates.filter(|it| may_replace || it.staged.is_empty()).collect();
            candidates.sort_by_key(|it| !it.staged.is_empty());
            let missing = model.size.saturating_sub(count_staged(spares, model));
            return candidates.into_iter().take(missing).map(|it| (it.id.clone(), model)).collect();
        }
        let unstaged = spares.iter().filter(|it| it.staged.is_empty());
        let mut planned: HashMap<&str, usize> =
            engine.models.iter().map(|it| (&*it.name, count_staged(spares, it))).collect();
        let mut loads = Vec::new();
        for spare in unstaged {
            let Some(model) = self.model_to_stage(engine, fabric_domain, &planned, counts) else {
                continue;
            };
            *planned.entry(&model.name).or_default() += 1;
            loads.push((spare.id.clone(), model));
        }
        if may_replace {
            loads.extend(self.swap_load(engine, fabric_domain, spares, &planned));
        }
        loads
    }

    /// Returns the spare that should load another model and that model, if no spare has the weights
    /// of the model that needs spares most in the fabric domain.
    pub(super) fn swap_load<'a>(
        &self,
        engine: &'a Engine,
        fabric_domain: &Arc<str>,
        spares: &[&Instance],
        planned: &HashMap<&str, usize>,
    ) -> Option<(Arc<str>, &'a Model)> {
        let count = |model: &Model| planned.get(&*model.name).copied().unwrap_or_default();
        let is_served = engine.models.iter().all(|it| self.is_served(fabric_domain, it));
        let model = self.least_covered_model(engine, fabric_domain, &HashMap::new())?;
        if !is_served || count(model) > 0 {
            return None;
        }
        let spare = spares.iter().find(|it| !it.staged.is_empty())?;
        Some((spare.id.clone(), model))
    }

    /// Returns the model that an instance of `fabric_domain` without staged weights should load:
    /// one that has no replica there and too few instances with its weights for one, or else the
    /// one whose replicas have the fewest spares.
    pub(super) fn model_to_stage<'a>(
        &self,
        engine: &'a Engine,
        fabric_domain: &Arc<str>,
        planned: &HashMap<&str, usize>,
        counts: &HashMap<Arc<str>, usize>,
    ) -> Option<&'a Model> {
        let is_missing = |it: &&Model| {
            let staged = planned.get(&*it.name).copied().unwrap_or_default();
            staged < it.size && !self.is_served(fabric_domain, it)
        };
        let absent = engine.models.iter().filter(is_missing);
        let absent = absent.min_by(|a, b| next_cost(a, counts).total_cmp(&next_cost(b, counts)));
        absent.or_else(|| self.least_covered_model(engine, fabric_domain, planned))
    }

    /// Whether `fabric_domain` has a replica of `model`.
    pub(super) fn is_served(&self, fabric_domain: &Arc<str>, model: &Model) -> bool {
        let mut replicas = self.replicas.within(fabric_domain);
        replicas.any(|(_, it)| it.model == model.name && it.released.is_empty())
    }

    /// Whether the unlisted instances of `fabric_domain` are probably only cut off by a network
    /// partition. Such instances mostly come back with their weights, so that other staged weights
    /// are not replaced in the meantime.
    pub(super) fn is_partition_likely(
        &self,
        all: &Instances<'_>,
        fabric_domain: &Arc<str>,
    ) -> bool {
        let departed: Vec<&Instance> = all.departed(fabric_domain).collect();
        departed.len() >= PARTITION_INSTANCES || departed.iter().any(|it| self.has_answered(it))
    }

    /// Returns the model whose replicas in `fabric_domain` have the fewest spares per member.
    /// `covered` counts the spares by model.
    pub(super) fn least_covered_model<'a>(
        &self,
        engine: &'a Engine,
        fabric_domain: &Arc<str>,
        covered: &HashMap<&str, usize>,
    ) -> Option<&'a Model> {
        let member_count = |model: &Model| {
            let replicas = self.replicas.within(fabric_domain);
            replicas.filter(|(_, it)| it.model == model.name).count() * model.size
        };
        let need = |model: &Model| {
            let covered = covered.get(&*model.name).copied().unwrap_or_default() as f64;
            member_count(model) as f64 / (covered + 0.5)
        };
        engine.models.iter().max_by(|a, b| need(a).total_cmp(&need(b)))
    }

    /// Whether the load rate allows `count` more weight loads now.
    pub(super) fn may_load(&mut self, now: Time, count: usize) -> bool {
        let window = self.settings.load_window;
        while self.load_times.front().is_some_and(|it| now.since(*it) > window) {
            self.load_times.pop_front();
        }
        self.are_loads_exempt || self.load_times.len() + count <= self.load_limit
    }
}
