//! What is to be formed, healed and staged on the instances of one service.
//!
//! [`Formation::plan`] compares what the list shows with what should be and returns orders. It
//! is level-triggered: an order that had no effect is sent again, and one that has its effect
//! late does no harm, since each replica has an epoch of its own and later epochs go first.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use crate::gateway::engine::{Engine, Model};
use crate::gateway::fleet::{Instance, Phase, State};
use crate::prelude::*;

/// Epochs of one owner. The owner's fencing token is the part above.
const EPOCHS: u64 = 1_000_000;

/// Loads that may begin in a window however low the rate.
const MIN_LOADS: usize = 6;

/// How replicas are formed.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Time after which an order without effect is sent again.
    pub repeat: Duration,
    /// Time that a replica may take to form beyond the load of its weights.
    pub slack: Duration,
    /// Window in which loads are counted.
    pub load_window: Duration,
    /// Time without a new instance after which the first replicas are formed at a first start.
    pub settle: Duration,
    /// Time for which a dead instance is left alone before it counts as living again.
    pub dead: Duration,
}

/// An order to one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Become a member of a replica.
    Join {
        /// Name of the replica.
        group: Arc<str>,
        /// Its epoch.
        epoch: u64,
        /// The model that it serves.
        model: Arc<str>,
        /// All members, the head first.
        members: Vec<Arc<str>>,
    },
    /// To a head: serve.
    Open {
        /// Name of the replica.
        group: Arc<str>,
        /// Its epoch.
        epoch: u64,
    },
    /// To a head: stop serving.
    Close {
        /// Name of the replica.
        group: Arc<str>,
        /// Its epoch.
        epoch: u64,
        /// What becomes of the requests that it runs.
        mode: Close,
    },
    /// Leave a replica.
    Leave {
        /// Name of the replica.
        group: Arc<str>,
        /// Its epoch.
        epoch: u64,
    },
    /// Load a model's weights onto the host.
    Stage {
        /// The model.
        model: Arc<str>,
    },
}

/// What becomes of the requests of a head that stops serving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Close {
    /// They end by themselves.
    Wait,
    /// They are cut off.
    Cut,
}

/// An order and the instance that it is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Action {
    /// The instance.
    pub id: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// What it shall do.
    pub order: Order,
}

/// The replicas of one service, as their owner wants them.
#[derive(Debug)]
pub struct Formation {
    settings: Settings,
    fence: u64,
    counter: u64,
    groups: BTreeMap<Key, Group>,
    sent: HashMap<Arc<str>, Sent>,
    dead: HashMap<Arc<str>, Dead>,
    loads: VecDeque<Time>,
    loading: HashMap<Arc<str>, Time>,
    load_limit: usize,
    loads_free: bool,
    known: usize,
    grown: Time,
}

type Key = (Arc<str>, u64);

#[derive(Clone, Debug)]
struct Group {
    model: Arc<str>,
    members: Vec<Arc<str>>,
    born: Vec<u64>,
    since: Time,
    stage: Stage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Members are joining.
    Forming,
    /// All members were ready once.
    Whole,
    /// The head is told to stop, so that the members can be used elsewhere.
    Ending,
}

#[derive(Clone, Debug)]
struct Sent {
    at: Time,
    order: Order,
}

#[derive(Clone, Copy, Debug)]
struct Dead {
    until: Time,
    born: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            repeat: Duration::from_millis(700),
            slack: Duration::from_secs(4),
            load_window: Duration::from_secs(5),
            settle: Duration::from_millis(400),
            dead: Duration::from_secs(4),
        }
    }
}

type Instances<'a> = BTreeMap<&'a str, &'a Instance>;

impl Formation {
    /// Nothing formed yet, for the owner whose fencing token is `fence`.
    pub fn new(fence: u64, settings: Settings) -> Formation {
        Formation {
            settings,
            fence,
            counter: 0,
            groups: BTreeMap::new(),
            sent: HashMap::new(),
            dead: HashMap::new(),
            loads: VecDeque::new(),
            loading: HashMap::new(),
            load_limit: 0,
            loads_free: false,
            known: 0,
            grown: Time::ZERO,
        }
    }

    /// The owner's fencing token.
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Says whether loads count now. Before the first request of all, they don't.
    pub fn free_loads(&mut self, free: bool) {
        self.loads_free = free;
    }

    /// Notes that an instance can't be reached. It is given no work for a while.
    pub fn lost(&mut self, now: Time, id: &Arc<str>, born: u64) {
        let until = now + self.settings.dead;
        self.dead.insert(id.clone(), Dead { until, born });
    }

    /// Notes that an instance can be reached.
    pub fn found(&mut self, id: &str) {
        self.dead.remove(id);
    }

    /// Whether the instance is known not to be reachable.
    pub fn is_dead(&self, now: Time, instance: &Instance) -> bool {
        let dead = self.dead.get(&instance.id);
        dead.is_some_and(|it| it.until > now && it.born == instance.born)
    }

    /// Notes that an order was refused, so that it isn't waited for.
    pub fn refused(&mut self, id: &str) {
        if let Some(sent) = self.sent.get_mut(id) {
            // Allows the next order at the next plan, but not the same one at once.
            sent.at = sent.at.back(self.settings.repeat / 2);
        }
    }

    /// The orders to give now, given all instances of the service.
    pub fn plan<'a>(
        &mut self,
        now: Time,
        engine: &Engine,
        instances: impl IntoIterator<Item = &'a Instance>,
    ) -> Vec<Action> {
        let all: Instances<'_> = instances.into_iter().map(|it| (&*it.id, it)).collect();
        self.dead.retain(|_, it| it.until > now);
        self.sent.retain(|id, _| all.contains_key(&**id));
        self.loading.retain(|id, until| *until > now && all.contains_key(&**id));
        let window = self.settings.load_window.as_secs_f64();
        self.load_limit = ((engine.load_rate * window) as usize).max(MIN_LOADS);
        let mut actions = Vec::new();
        self.adopt(now, engine, &all);
        self.advance(now, engine, &all, &mut actions);
        let mut free = self.free(now, &all, &mut actions);
        if all.len() > self.known {
            self.grown = now;
        }
        self.known = all.len();
        if self.loads_free && now.since(self.grown) < self.settings.settle {
            return actions;
        }
        self.form(now, engine, &all, &mut free, &mut actions);
        self.stage(now, engine, &all, &free, &mut actions);
        actions
    }

    /// Takes over the replicas that are whole by what their members say.
    fn adopt(&mut self, now: Time, engine: &Engine, all: &Instances<'_>) {
        let mut seen: BTreeMap<Key, Vec<&Instance>> = BTreeMap::new();
        for instance in all.values() {
            let Some(member) = &instance.member else { continue };
            let key = (member.group.clone(), member.epoch);
            if !self.groups.contains_key(&key) {
                seen.entry(key).or_default().push(instance);
            }
        }
        for (key, mut members) in seen {
            members.sort_by_key(|it| it.member.as_ref().map(|it| it.rank));
            let Some(model) = members[0].model.as_deref().and_then(|it| engine.model(it)) else {
                continue;
            };
            let ranked = members.iter().enumerate().all(|(place, it)| {
                it.member.as_ref().is_some_and(|it| it.rank as usize == place)
                    && !self.is_dead(now, it)
            });
            let sound = |it: &State| matches!(it, State::Joining | State::Ready | State::Open);
            let states = members.iter().filter_map(|it| it.member.as_ref().map(|it| it.state));
            if !ranked || members.len() != model.size || !states.clone().all(|it| sound(&it)) {
                continue;
            }
            let whole = states.clone().all(|it| it != State::Joining);
            let group = Group {
                model: model.name.clone(),
                members: members.iter().map(|it| it.id.clone()).collect(),
                born: members.iter().map(|it| it.born).collect(),
                since: now,
                stage: if whole { Stage::Whole } else { Stage::Forming },
            };
            self.groups.insert(key, group);
        }
    }

    /// Moves each replica on by what its members say.
    fn advance(
        &mut self,
        now: Time,
        engine: &Engine,
        all: &Instances<'_>,
        actions: &mut Vec<Action>,
    ) {
        let keys: Vec<Key> = self.groups.keys().cloned().collect();
        for key in keys {
            let Some(mut group) = self.groups.remove(&key) else { continue };
            let keep = match group.stage {
                Stage::Forming => self.forming(now, engine, all, &key, &mut group, actions),
                Stage::Whole => self.whole(now, all, &key, &mut group, actions),
                Stage::Ending => true,
            };
            let keep = keep && self.ending(now, all, &key, &group, actions);
            if keep {
                self.groups.insert(key, group);
            }
        }
    }

    fn forming(
        &mut self,
        now: Time,
        engine: &Engine,
        all: &Instances<'_>,
        key: &Key,
        group: &mut Group,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(model) = engine.model(&group.model) else { return false };
        let limit = model.load * 3 + self.settings.slack;
        let lost = group.places().any(|(id, born)| !self.is_sound(now, all, id, born));
        if lost || now.since(group.since) > limit {
            group.stage = Stage::Ending;
            return true;
        }
        let states: Vec<_> = group.members.iter().map(|id| state(all, id, key)).collect();
        if states.iter().all(|it| matches!(it, Some(State::Ready | State::Open))) {
            group.stage = Stage::Whole;
            return self.whole(now, all, key, group, actions);
        }
        let missing = group.members.iter().zip(&states).filter(|(_, it)| it.is_none());
        let missing: Vec<_> = missing.map(|(id, _)| id.clone()).collect();
        for id in missing {
            let order = Order::Join {
                group: key.0.clone(),
                epoch: key.1,
                model: group.model.clone(),
                members: group.members.clone(),
            };
            self.send(now, all, &id, order, actions);
        }
        true
    }

    fn whole(
        &mut self,
        now: Time,
        all: &Instances<'_>,
        key: &Key,
        group: &mut Group,
        actions: &mut Vec<Action>,
    ) -> bool {
        let lost = group.places().any(|(id, born)| {
            let sound = self.is_sound(now, all, id, born);
            !sound || matches!(state(all, id, key), None | Some(State::Broken))
        });
        if lost {
            group.stage = Stage::Ending;
            return true;
        }
        let head = group.members[0].clone();
        if state(all, &head, key) == Some(State::Ready) {
            let order = Order::Open { group: key.0.clone(), epoch: key.1 };
            self.send(now, all, &head, order, actions);
        }
        true
    }

    /// Ends a replica. Returns whether it still has to be kept, since its head may serve.
    fn ending(
        &mut self,
        now: Time,
        all: &Instances<'_>,
        key: &Key,
        group: &Group,
        actions: &mut Vec<Action>,
    ) -> bool {
        if group.stage != Stage::Ending {
            return true;
        }
        let head = &group.members[0];
        let (group_name, epoch) = (key.0.clone(), key.1);
        let reachable = all.get(&**head).is_some_and(|it| !self.is_dead(now, it));
        if reachable {
            let serving = matches!(state(all, head, key), Some(State::Open | State::Closing));
            if serving {
                let whole = group.places().all(|(id, born)| {
                    let same = all.get(&**id).is_some_and(|it| it.born == born);
                    same && !all.get(&**id).is_some_and(|it| self.is_dead(now, it))
                });
                let mode = if whole { Close::Wait } else { Close::Cut };
                let order = Order::Close { group: group_name, epoch, mode };
                self.send(now, all, head, order, actions);
            }
            return serving;
        }
        // The head may live behind a cut. It can't serve once its members have left.
        let mut members = 0;
        for id in &group.members[1..] {
            if state(all, id, key).is_none() || all.get(&**id).is_some_and(|it| self.is_dead(now, it)) {
                continue;
            }
            members += 1;
            let order = Order::Leave { group: key.0.clone(), epoch };
            self.send(now, all, id, order, actions);
        }
        members > 0
    }

    /// The instances that belong to no replica, by fabric domain.
    fn free<'a>(
        &mut self,
        now: Time,
        all: &Instances<'a>,
        actions: &mut Vec<Action>,
    ) -> BTreeMap<Arc<str>, Vec<&'a Instance>> {
        let taken: HashSet<&str> =
            self.groups.values().flat_map(|it| it.members.iter().map(|it| &**it)).collect();
        let mut serving = Vec::new();
        let mut free: BTreeMap<Arc<str>, Vec<&Instance>> = BTreeMap::new();
        for instance in all.values() {
            let Some(fabric) = &instance.fabric else { continue };
            let usable = instance.phase == Phase::Ready && !self.is_dead(now, instance);
            if !usable || taken.contains(&*instance.id) {
                continue;
            }
            // A stray head is told to stop, a stray member to leave, before it is used again.
            if let Some(member) = &instance.member {
                let (group, epoch) = (member.group.clone(), member.epoch);
                let order = match member.state {
                    State::Open | State::Closing => {
                        Order::Close { group, epoch, mode: Close::Cut }
                    }
                    _ if member.rank > 0 && is_head_serving(all, member) => {
                        Order::Leave { group, epoch }
                    }
                    _ => {
                        free.entry(fabric.clone()).or_default().push(instance);
                        continue;
                    }
                };
                serving.push((instance.id.clone(), order));
                continue;
            }
            free.entry(fabric.clone()).or_default().push(instance);
        }
        for (id, order) in serving {
            self.send(now, all, &id, order, actions);
        }
        free
    }

    /// Forms replicas of free instances, of the model that is missed most.
    fn form(
        &mut self,
        now: Time,
        engine: &Engine,
        all: &Instances<'_>,
        free: &mut BTreeMap<Arc<str>, Vec<&Instance>>,
        actions: &mut Vec<Action>,
    ) {
        loop {
            let mut counts: HashMap<Arc<str>, usize> = HashMap::new();
            for group in self.groups.values().filter(|it| it.stage != Stage::Ending) {
                *counts.entry(group.model.clone()).or_default() += 1;
            }
            let mut best: Option<(f64, &Model, Arc<str>)> = None;
            for (fabric, instances) in free.iter() {
                for model in engine.models.iter().filter(|it| it.size <= instances.len()) {
                    let Some(cost) = self.cost(now, model, &counts, instances) else { continue };
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

    /// What speaks against forming `model` of `instances`: replicas that there are already, by
    /// the model's share, and the wait for weights. None if the loads would pass the limit.
    fn cost(
        &mut self,
        now: Time,
        model: &Model,
        counts: &HashMap<Arc<str>, usize>,
        instances: &[&Instance],
    ) -> Option<f64> {
        let present = instances.iter().filter(|it| has(it, &model.name)).count();
        let loads = model.size.saturating_sub(present);
        if loads > 0 && !self.may_load(now, loads) {
            return None;
        }
        let count = counts.get(&model.name).copied().unwrap_or_default() as f64;
        let wanted = model.share / model.size as f64;
        let wait = if loads > 0 { model.load } else { model.warm };
        Some((count + 1.0) / wanted.max(f64::MIN_POSITIVE) * (1.0 + wait.as_secs_f64() / 100.0))
    }

    fn take(
        &mut self,
        now: Time,
        model: &Model,
        instances: &mut Vec<&Instance>,
        all: &Instances<'_>,
        actions: &mut Vec<Action>,
    ) {
        instances.sort_by_key(|it| {
            let member = it.model.as_ref() == Some(&model.name);
            let preference = if member { 0 } else if has(it, &model.name) { 1 } else { 2 };
            (preference, it.warmup_left, it.id.clone())
        });
        let chosen: Vec<&Instance> = instances.drain(..model.size).collect();
        self.counter += 1;
        let epoch = self.fence * EPOCHS + self.counter;
        let group: Arc<str> = format!("r{epoch}").into();
        for instance in chosen.iter().filter(|it| !has(it, &model.name)) {
            self.loads.push_back(now);
            self.loading.insert(instance.id.clone(), now + model.load);
        }
        let members: Vec<Arc<str>> = chosen.iter().map(|it| it.id.clone()).collect();
        for id in &members {
            let order = Order::Join {
                group: group.clone(),
                epoch,
                model: model.name.clone(),
                members: members.clone(),
            };
            self.sent.remove(id);
            self.send(now, all, id, order, actions);
        }
        let formed = Group {
            model: model.name.clone(),
            born: chosen.iter().map(|it| it.born).collect(),
            members,
            since: now,
            stage: Stage::Forming,
        };
        self.groups.insert((group, epoch), formed);
    }

    /// Stages weights on spare instances, so that healing needs no load from the weight store.
    fn stage(
        &mut self,
        now: Time,
        engine: &Engine,
        all: &Instances<'_>,
        free: &BTreeMap<Arc<str>, Vec<&Instance>>,
        actions: &mut Vec<Action>,
    ) {
        if self.groups.values().any(|it| it.stage == Stage::Forming && self.is_loading(now, it)) {
            return;
        }
        for (fabric, spares) in free {
            let mut covered: HashMap<&str, usize> = HashMap::new();
            let mut idle = Vec::new();
            for spare in spares {
                match spare.staged.first() {
                    Some(model) => *covered.entry(model).or_default() += 1,
                    None => idle.push(*spare),
                }
            }
            for spare in idle {
                if self.loading.contains_key(&spare.id) {
                    continue;
                }
                let Some(model) = self.needed(engine, all, fabric, &covered) else { continue };
                if !self.may_load(now, 1) {
                    return;
                }
                self.loads.push_back(now);
                self.loading.insert(spare.id.clone(), now + model.load);
                *covered.entry(&model.name).or_default() += 1;
                let order = Order::Stage { model: model.name.clone() };
                self.send(now, all, &spare.id, order, actions);
            }
        }
    }

    fn is_loading(&self, now: Time, group: &Group) -> bool {
        group.members.iter().any(|it| self.loading.get(it).is_some_and(|until| *until > now))
    }

    /// The model whose replicas in `fabric` have the fewest spares for their instances.
    fn needed<'a>(
        &self,
        engine: &'a Engine,
        all: &Instances<'_>,
        fabric: &Arc<str>,
        covered: &HashMap<&str, usize>,
    ) -> Option<&'a Model> {
        let exposed = |model: &Model| {
            let groups = self.groups.values().filter(|it| it.model == model.name);
            let here = groups.filter(|it| {
                all.get(&*it.members[0]).is_some_and(|it| it.fabric.as_ref() == Some(fabric))
            });
            here.count() * model.size
        };
        let need = |model: &Model| {
            let covered = covered.get(&*model.name).copied().unwrap_or_default() as f64;
            exposed(model) as f64 / (covered + 0.5)
        };
        engine.models.iter().max_by(|a, b| need(a).total_cmp(&need(b)))
    }

    /// Whether `count` loads may begin now.
    fn may_load(&mut self, now: Time, count: usize) -> bool {
        let window = self.settings.load_window;
        while self.loads.front().is_some_and(|it| now.since(*it) > window) {
            self.loads.pop_front();
        }
        self.loads_free || self.loads.len() + count <= self.load_limit
    }

    /// Sends an order unless the same one was sent a moment ago.
    fn send(
        &mut self,
        now: Time,
        all: &Instances<'_>,
        id: &Arc<str>,
        order: Order,
        actions: &mut Vec<Action>,
    ) {
        let Some(instance) = all.get(&**id) else { return };
        let repeat = self.settings.repeat;
        let recent = |it: &Sent| it.order == order && now.since(it.at) < repeat;
        if self.sent.get(id).is_some_and(recent) {
            return;
        }
        self.sent.insert(id.clone(), Sent { at: now, order: order.clone() });
        actions.push(Action { id: id.clone(), address: instance.address, order });
    }

    /// Whether a member is where it was, alive, and doesn't leave.
    fn is_sound(&self, now: Time, all: &Instances<'_>, id: &str, born: u64) -> bool {
        let Some(instance) = all.get(id) else { return false };
        let stays = instance.phase == Phase::Ready && instance.born == born;
        stays && !self.is_dead(now, instance)
    }
}

impl Group {
    fn places(&self) -> impl Iterator<Item = (&Arc<str>, u64)> {
        self.members.iter().zip(self.born.iter().copied())
    }
}

/// What the list says of `id` as a member of the replica `key`.
fn state(all: &Instances<'_>, id: &str, key: &Key) -> Option<State> {
    let member = all.get(id)?.member.as_ref()?;
    (member.group == key.0 && member.epoch == key.1).then_some(member.state)
}

/// Whether the weights of `model` are on the instance's host.
fn has(instance: &Instance, model: &str) -> bool {
    instance.staged.iter().any(|it| &**it == model)
}

fn is_head_serving(all: &Instances<'_>, member: &crate::gateway::fleet::Member) -> bool {
    all.values().filter_map(|it| it.member.as_ref()).any(|it| {
        let same = it.group == member.group && it.epoch == member.epoch && it.rank == 0;
        same && matches!(it.state, State::Open | State::Closing)
    })
}
