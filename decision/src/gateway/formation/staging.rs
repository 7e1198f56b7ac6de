//! Which weights are loaded onto which spare instances.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::order::{self, Action, Order, Precondition};
use super::view::{Instances, has, staged};
use super::weight::{cost, is_due};
use super::{Formation, Group, Sent, Stage};
use crate::gateway::engine::{Engine, Model};
use crate::gateway::fleet::Instance;
use crate::prelude::*;

/// Instances of one fabric domain whose entries go together because of a cut, not one by one.
const MANY: usize = 3;

impl Formation {
    /// Stages weights on free instances: what is missed for one more replica, and else what heals
    /// the replicas around them, so that neither needs a load from the weight store then.
    pub(super) fn stage(
        &mut self,
        now: Time,
        engine: &Engine,
        all: &Instances<'_>,
        free: &BTreeMap<Arc<str>, Vec<&Instance>>,
        actions: &mut Vec<Action>,
    ) {
        let loading = |it: &Group| it.stage == Stage::Forming && self.is_loading(now, it);
        if self.are_loads_exempt && self.groups.values().any(loading) {
            return;
        }
        let counts = self.counts();
        for (fabric, spares) in free {
            let listed = spares.iter().filter(|it| all.get(&it.id).is_some());
            let spares: &[&Instance] = &listed.copied().collect::<Vec<_>>();
            if !self.is_calm(now, fabric, spares) {
                continue;
            }
            for (id, model) in self.wanted(engine, all, fabric, spares, &counts) {
                if self.loading.contains_key(&id) {
                    continue;
                }
                if !self.may_load(now, 1) {
                    return;
                }
                self.loads.push_back(now);
                self.loading.insert(id.clone(), (now + model.load_time, model.name.clone()));
                let order = Order::Stage { model: model.name.clone() };
                self.send(now, all, &id, order, actions);
            }
            self.warm(now, all, spares, actions);
        }
    }

    /// Lets spares take the weights of their host into service, as the only member of a replica
    /// that never serves. They join another one of that model without delay then.
    pub(super) fn warm(
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
            let sent = self.sent.get(&spare.id);
            let warming = |it: &Sent| now.since(it.at) < self.settings.formation_slack;
            if sent.is_some_and(|it| warming(it) && it.is_warming(model)) {
                continue;
            }
            let epoch = self.next_epoch();
            let group = order::spare(epoch);
            let order = Order::Join {
                group: group.clone(),
                epoch,
                model: model.clone(),
                members: vec![spare.id.clone()],
            };
            let precondition = Precondition {
                born: spare.incarnation,
                replica: (group, epoch),
                first_epoch: self.first_epoch(),
            };
            self.send_if(now, all, &spare.id, order, Some(precondition), actions);
        }
    }

    /// Whether the free instances of a fabric domain have been the same for a while.
    pub(super) fn is_calm(&mut self, now: Time, fabric: &Arc<str>, spares: &[&Instance]) -> bool {
        let mut ids: Vec<Arc<str>> = spares.iter().map(|it| it.id.clone()).collect();
        ids.sort();
        let calm = self.calm.entry(fabric.clone()).or_insert_with(|| (Vec::new(), now));
        if calm.0 != ids {
            *calm = (ids, now);
        }
        self.are_loads_exempt || now.since(calm.1) >= self.settings.settle_time
    }

    pub(super) fn is_loading(&self, now: Time, group: &Group) -> bool {
        group.members.iter().any(|it| self.loading.get(it).is_some_and(|(until, _)| *until > now))
    }

    /// Which of the free instances of a fabric domain should load which model.
    pub(super) fn wanted<'a>(
        &self,
        engine: &'a Engine,
        all: &Instances<'_>,
        fabric: &Arc<str>,
        spares: &[&Instance],
        counts: &HashMap<Arc<str>, usize>,
    ) -> Vec<(Arc<str>, &'a Model)> {
        let room = spares.len().saturating_sub(self.reserve(engine, fabric));
        let possible = engine.models.iter().filter(|it| it.size <= room);
        let possible =
            possible.filter(|it| is_due(it, engine, counts) || self.is_in_want(it, counts));
        let calm = !self.is_hasty(all, fabric);
        if let Some(model) = possible.min_by(|a, b| cost(a, counts).total_cmp(&cost(b, counts))) {
            let others = spares.iter().filter(|it| !has(it, &model.name));
            let mut others: Vec<_> = others.filter(|it| calm || it.staged.is_empty()).collect();
            others.sort_by_key(|it| !it.staged.is_empty());
            let missing = model.size.saturating_sub(staged(spares, model));
            return others.into_iter().take(missing).map(|it| (it.id.clone(), model)).collect();
        }
        let bare = spares.iter().filter(|it| it.staged.is_empty());
        let mut goal: HashMap<&str, usize> =
            engine.models.iter().map(|it| (&*it.name, staged(spares, it))).collect();
        let mut loads = Vec::new();
        for spare in bare {
            let Some(model) = self.missed(engine, fabric, &goal, counts) else { continue };
            *goal.entry(&model.name).or_default() += 1;
            loads.push((spare.id.clone(), model));
        }
        if calm {
            loads.extend(self.exchange(engine, fabric, spares, &goal));
        }
        loads
    }

    /// Which spare should change its model, since no other one heals the replicas that are most
    /// exposed.
    pub(super) fn exchange<'a>(
        &self,
        engine: &'a Engine,
        fabric: &Arc<str>,
        spares: &[&Instance],
        goal: &HashMap<&str, usize>,
    ) -> Option<(Arc<str>, &'a Model)> {
        let count = |model: &Model| goal.get(&*model.name).copied().unwrap_or_default();
        let served = engine.models.iter().all(|it| self.is_served(fabric, it));
        let model = self.needed(engine, fabric, &HashMap::new())?;
        if !served || count(model) > 0 {
            return None;
        }
        let spare = spares.iter().find(|it| !it.staged.is_empty())?;
        Some((spare.id.clone(), model))
    }

    /// The model that a bare instance of `fabric` should load: one that has no replica there and
    /// lacks weights for one, else the one whose replicas have the fewest spares.
    pub(super) fn missed<'a>(
        &self,
        engine: &'a Engine,
        fabric: &Arc<str>,
        goal: &HashMap<&str, usize>,
        counts: &HashMap<Arc<str>, usize>,
    ) -> Option<&'a Model> {
        let lacks = |it: &&Model| {
            let staged = goal.get(&*it.name).copied().unwrap_or_default();
            staged < it.size && !self.is_served(fabric, it)
        };
        let absent = engine.models.iter().filter(lacks);
        let absent = absent.min_by(|a, b| cost(a, counts).total_cmp(&cost(b, counts)));
        absent.or_else(|| self.needed(engine, fabric, goal))
    }

    /// Whether `fabric` has a replica of `model`.
    pub(super) fn is_served(&self, fabric: &Arc<str>, model: &Model) -> bool {
        let mut groups = self.groups.within(fabric);
        groups.any(|(_, it)| it.model == model.name && it.gone.is_empty())
    }

    /// Whether instances of `fabric` are probably only cut off. They come back with their weights
    /// as a rule, so that what is staged is worth more than what would be loaded meanwhile.
    pub(super) fn is_hasty(&self, all: &Instances<'_>, fabric: &Arc<str>) -> bool {
        let departed: Vec<&Instance> = all.departed(fabric).collect();
        departed.len() >= MANY || departed.iter().any(|it| self.is_vouched(it))
    }

    /// The model whose replicas in `fabric` have the fewest spares for their instances.
    pub(super) fn needed<'a>(
        &self,
        engine: &'a Engine,
        fabric: &Arc<str>,
        covered: &HashMap<&str, usize>,
    ) -> Option<&'a Model> {
        let exposed = |model: &Model| {
            let groups = self.groups.within(fabric);
            groups.filter(|(_, it)| it.model == model.name).count() * model.size
        };
        let need = |model: &Model| {
            let covered = covered.get(&*model.name).copied().unwrap_or_default() as f64;
            exposed(model) as f64 / (covered + 0.5)
        };
        engine.models.iter().max_by(|a, b| need(a).total_cmp(&need(b)))
    }

    /// Whether `count` loads may begin now.
    pub(super) fn may_load(&mut self, now: Time, count: usize) -> bool {
        let window = self.settings.load_window;
        while self.loads.front().is_some_and(|it| now.since(*it) > window) {
            self.loads.pop_front();
        }
        self.are_loads_exempt || self.loads.len() + count <= self.load_limit
    }
}
