//! What is to be formed, healed and staged on the instances of one service.
//!
//! [`Formation::plan`] compares what the list shows with what should be and returns orders. It
//! is level-triggered: an order that had no effect is sent again, and one that has its effect
//! late does no harm, since each replica has an epoch of its own and later epochs go first.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use crate::gateway::engine::{Engine, Model};
use crate::gateway::fleet::{Instance, Member, Phase, Presence, State};
use crate::prelude::*;

/// Epochs of one owner. The owner's fencing token is the part above.
const EPOCHS: u64 = 1_000_000;

/// How far a model may get ahead of the one that is missed most, by cost.
const MAX_EXCESS: f64 = 1.15;

/// How far a model must be ahead, by cost, for one of its replicas to give way.
const FAR_AHEAD: f64 = 1.4;

/// Instances of one fabric domain whose entries go together because of a cut, not one by one.
const MANY: usize = 3;

/// Loads that may begin in a window however low the rate.
const MIN_LOADS: usize = 6;

/// How replicas are formed.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Instances of a fabric domain that stay free to heal its replicas.
    pub reserve: usize,
    /// Time after which an order without effect is sent again.
    pub repeat: Duration,
    /// Time that a replica may take to form beyond the load of its weights.
    pub slack: Duration,
    /// Window in which loads are counted.
    pub load_window: Duration,
    /// Time without a change of the free instances after which a replica may give way to another
    /// model.
    pub rebalance: Duration,
    /// Longest time that a head which stops has for the requests that it runs.
    pub closing: Duration,
    /// Time without a new instance after which the first replicas are formed at a first start,
    /// and without a change of the free instances after which weights are staged on them.
    pub settle: Duration,
    /// Time for which an instance whose entry is gone counts as living after it answered.
    pub vouched: Duration,
    /// Time after which a member that said it has left is believed no more, if the list shows
    /// something else.
    pub left: Duration,
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

/// How much depends on an instance whose entry is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doubt {
    /// A replica that serves as soon as it is ready.
    Forming,
    /// A replica that serves.
    Member,
    /// Whether it is worth while to wait for it.
    Spare,
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
    /// Instances that answered, and when.
    vouched: HashMap<Arc<str>, Dead>,
    /// Members that said they have left, before the list shows it.
    left: HashMap<(Arc<str>, Key), Time>,
    loads: VecDeque<Time>,
    /// Which instance loads which model, and until when at most.
    loading: HashMap<Arc<str>, (Time, Arc<str>)>,
    departed: HashSet<Arc<str>>,
    /// The free instances of each fabric domain, and since when they are the same.
    calm: HashMap<Arc<str>, (Vec<Arc<str>>, Time)>,
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
    /// When its end began.
    ended: Time,
    /// Members that have left it at its end.
    gone: HashSet<Arc<str>>,
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

impl Sent {
    /// Whether the order makes a spare of `model` of the instance.
    fn is_warming(&self, model: &Arc<str>) -> bool {
        match &self.order {
            Order::Join { model: joined, members, .. } => joined == model && members.len() == 1,
            _ => false,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Dead {
    until: Time,
    born: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            reserve: 2,
            repeat: Duration::from_millis(700),
            slack: Duration::from_secs(4),
            load_window: Duration::from_secs(5),
            rebalance: Duration::from_secs(8),
            closing: Duration::from_millis(2_500),
            settle: Duration::from_millis(400),
            vouched: Duration::from_millis(2_000),
            left: Duration::from_millis(1_500),
            dead: Duration::from_secs(4),
        }
    }
}

/// The instances of the service, by identifier.
#[derive(Debug, Default)]
struct Instances<'a> {
    known: BTreeMap<&'a str, (&'a Instance, Presence)>,
}

impl<'a> Instances<'a> {
    /// The instance called `id`, also if its entry is gone.
    fn recall(&self, id: &str) -> Option<&'a Instance> {
        self.known.get(id).map(|(it, _)| *it)
    }

    /// The instance called `id`, if it is listed.
    fn get(&self, id: &str) -> Option<&'a Instance> {
        let (instance, presence) = self.known.get(id)?;
        (*presence == Presence::Listed).then_some(*instance)
    }

    /// The instances of a fabric domain whose entries are gone since a moment ago.
    fn departed(&self, fabric: &Arc<str>) -> impl Iterator<Item = &'a Instance> {
        let gone = self.known.values().filter(|(_, it)| *it == Presence::Departed);
        gone.map(|(it, _)| *it).filter(move |it| it.fabric.as_ref() == Some(fabric))
    }

    /// All that are listed.
    fn listed(&self) -> impl Iterator<Item = &'a Instance> {
        self.known.values().filter(|(_, it)| *it == Presence::Listed).map(|(it, _)| *it)
    }
}

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
            vouched: HashMap::new(),
            left: HashMap::new(),
            loads: VecDeque::new(),
            loading: HashMap::new(),
            departed: HashSet::new(),
            calm: HashMap::new(),
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
    pub fn found(&mut self, now: Time, id: &Arc<str>, born: u64) {
        self.dead.remove(id);
        let until = now + self.settings.vouched;
        self.vouched.insert(id.clone(), Dead { until, born });
    }

    /// Notes that an instance took an order, or had nothing to do for it.
    pub fn done(&mut self, now: Time, id: &Arc<str>, order: &Order) {
        if let Order::Leave { group, epoch } = order {
            self.left.insert((id.clone(), (group.clone(), *epoch)), now);
        }
    }

    /// Instances whose entries are gone, and who are asked whether they live: members of replicas
    /// often, the others now and then.
    pub fn doubtful(&self) -> Vec<(Arc<str>, Doubt)> {
        let of = |stage| {
            let groups = self.groups.values().filter(move |it| it.stage == stage);
            groups.flat_map(|it| it.members.iter()).collect::<HashSet<_>>()
        };
        let (forming, whole) = (of(Stage::Forming), of(Stage::Whole));
        let doubt = |id: &Arc<str>| match (forming.contains(id), whole.contains(id)) {
            (true, _) => Doubt::Forming,
            (_, true) => Doubt::Member,
            _ => Doubt::Spare,
        };
        self.departed.iter().map(|id| (id.clone(), doubt(id))).collect()
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
        instances: impl IntoIterator<Item = (&'a Instance, Presence)>,
    ) -> Vec<Action> {
        let known = instances.into_iter().map(|it| (&*it.0.id, it)).collect();
        let all = Instances { known };
        self.forget(now, &all);
        let window = self.settings.load_window.as_secs_f64();
        self.load_limit = ((engine.load_rate * window) as usize).max(MIN_LOADS);
        let mut actions = Vec::new();
        self.adopt(now, engine, &all);
        self.advance(now, engine, &all, &mut actions);
        let mut free = self.free(now, &all, &mut actions);
        if all.known.len() > self.known {
            self.grown = now;
        }
        self.known = all.known.len();
        if self.loads_free && now.since(self.grown) < self.settings.settle {
            return actions;
        }
        self.rebalance(now, engine, &all, &free);
        self.form(now, engine, &all, &mut free, &mut actions);
        self.stage(now, engine, &all, &free, &mut actions);
        actions
    }

    /// Drops what has lapsed, and brings up to date which entries are gone.
    fn forget(&mut self, now: Time, all: &Instances<'_>) {
        self.dead.retain(|_, it| it.until > now);
        self.vouched.retain(|_, it| it.until > now);
        let left = self.settings.left;
        self.left.retain(|_, at| now.since(*at) < left);
        self.sent.retain(|id, _| all.recall(id).is_some());
        self.loading.retain(|id, (until, model)| {
            *until > now && all.get(id).is_some_and(|it| !has(it, model))
        });
        let departed = all.known.iter().filter(|(_, (_, it))| *it == Presence::Departed);
        let departed: HashSet<Arc<str>> = departed.map(|(_, (it, _))| it.id.clone()).collect();
        for id in departed.difference(&self.departed) {
            // Its entry went a moment ago: it has the time of one answer to show that it lives.
            let born = all.recall(id).map(|it| it.born).unwrap_or_default();
            let until = now + self.settings.vouched;
            self.vouched.entry(id.clone()).or_insert(Dead { until, born });
        }
        self.departed = departed;
    }

    /// Takes over the replicas that are whole by what their members say.
    fn adopt(&mut self, now: Time, engine: &Engine, all: &Instances<'_>) {
        let mut seen: BTreeMap<Key, Vec<&Instance>> = BTreeMap::new();
        for instance in all.listed() {
            let Some(member) = &instance.member else { continue };
            let key = (member.group.clone(), member.epoch);
            let left = self.left.contains_key(&(instance.id.clone(), key.clone()));
            if !left && !self.groups.contains_key(&key) {
                seen.entry(key).or_default().push(instance);
            }
        }
        for (key, mut members) in seen {
            members.sort_by_key(|it| it.member.as_ref().map(|it| it.rank));
            let Some(model) = members[0].model.as_deref().and_then(|it| engine.model(it)) else {
                continue;
            };
            let states: Vec<(u32, State)> = members
                .iter()
                .filter_map(|it| it.member.as_ref().map(|it| (it.rank, it.state)))
                .collect();
            let full = states.iter().enumerate().all(|(place, (rank, _))| *rank as usize == place)
                && states.len() == model.size;
            let sound = |(_, it): &(u32, State)| !matches!(it, State::Closing | State::Broken);
            // An open head was opened by an owner that saw all members ready.
            let open = states.first() == Some(&(0, State::Open));
            let whole = full && states.iter().all(sound);
            if !open && !whole {
                continue;
            }
            let joining = states.iter().any(|(_, it)| *it == State::Joining);
            let group = Group {
                model: model.name.clone(),
                members: members.iter().map(|it| it.id.clone()).collect(),
                born: members.iter().map(|it| it.born).collect(),
                since: now,
                ended: now,
                gone: HashSet::new(),
                stage: if open || !joining { Stage::Whole } else { Stage::Forming },
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
            let keep = keep && self.ending(now, all, &key, &mut group, actions);
            if keep {
                self.groups.insert(key, group);
                continue;
            }
            // Its head has left or is another process: it can't serve, and its members are free.
            let members = group.members.into_iter().map(|id| ((id, key.clone()), now));
            self.left.extend(members);
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
        let head = group.members[0].clone();
        let lost = group.places().any(|(id, born)| {
            let least = if *id == head { Presence::Listed } else { Presence::Departed };
            !self.is_sound(now, all, id, born, least)
        });
        if lost || now.since(group.since) > limit {
            group.end(now);
            return true;
        }
        let states: Vec<_> = group.members.iter().map(|id| self.state(all, id, key)).collect();
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
        if self.is_lost(now, all, key, group) {
            group.end(now);
            return true;
        }
        let head = group.members[0].clone();
        if self.state(all, &head, key) == Some(State::Ready) {
            let order = Order::Open { group: key.0.clone(), epoch: key.1 };
            self.send(now, all, &head, order, actions);
        }
        true
    }

    /// Whether a replica that was whole has lost a member, or is losing one that can be replaced.
    fn is_lost(&self, now: Time, all: &Instances<'_>, key: &Key, group: &Group) -> bool {
        let head = &group.members[0];
        group.places().any(|(id, born)| {
            let least = if id == head { Presence::Listed } else { Presence::Departed };
            let sound = self.is_sound(now, all, id, born, least);
            let leaves = all.get(id).is_some_and(|it| it.phase == Phase::Draining);
            let stays = leaves && id != head && self.is_present(now, all, id, born);
            let stays = stays && self.replacements(now, all, group, id) == 0;
            !(sound || stays) || matches!(self.state(all, id, key), None | Some(State::Broken))
        })
    }

    /// Free instances that could take the place of `member` at once. A member that leaves stays as
    /// long as its head has work, so that nothing is won by ending the replica before.
    fn replacements(&self, now: Time, all: &Instances<'_>, group: &Group, member: &str) -> usize {
        let Some(leaving) = all.get(member) else { return 0 };
        let free = all.listed().filter(|it| {
            let here = it.fabric == leaving.fabric && it.phase == Phase::Ready;
            here && has(it, &group.model) && !self.is_dead(now, it)
        });
        let taken =
            |it: &Instance| self.groups.values().any(|group| group.members.contains(&it.id));
        free.filter(|it| !taken(it) && !group.members.contains(&it.id)).count()
    }

    /// Ends a replica. Returns whether it still has to be kept, since its head may serve.
    ///
    /// Its members may be used elsewhere once the head has left. A head that can't be reached may
    /// live behind a cut and serve there: then only those members are free that have left it
    /// themselves, and if all others can be reached again before, it goes on.
    fn ending(
        &mut self,
        now: Time,
        all: &Instances<'_>,
        key: &Key,
        group: &mut Group,
        actions: &mut Vec<Action>,
    ) -> bool {
        if group.stage != Stage::Ending {
            return true;
        }
        let head = group.members[0].clone();
        if self.is_reachable(now, all, &head) {
            return self.end_head(now, all, key, group, actions);
        }
        if all.recall(&head).is_none_or(|it| it.born != group.born[0]) {
            return false;
        }
        for id in &group.members[1..] {
            if !self.is_reachable(now, all, id) {
                continue;
            }
            if self.state(all, id, key).is_none() {
                group.gone.insert(id.clone());
                continue;
            }
            let order = Order::Leave { group: key.0.clone(), epoch: key.1 };
            self.send(now, all, id, order, actions);
        }
        true
    }

    /// Tells a head that can be reached to stop. Returns whether it is still a member.
    fn end_head(
        &mut self,
        now: Time,
        all: &Instances<'_>,
        key: &Key,
        group: &mut Group,
        actions: &mut Vec<Action>,
    ) -> bool {
        let (name, epoch) = (key.0.clone(), key.1);
        let head = group.members[0].clone();
        let state = self.state(all, &head, key);
        let intact = group.gone.is_empty() && !self.is_lost(now, all, key, group);
        if state == Some(State::Open) && intact {
            group.stage = Stage::Whole;
            return true;
        }
        let whole = group.places().all(|(id, born)| self.is_present(now, all, id, born));
        let patient = whole && now.since(group.ended) < self.settings.closing;
        let order = match state {
            Some(State::Open | State::Closing) if patient => {
                Order::Close { group: name, epoch, mode: Close::Wait }
            }
            Some(_) => Order::Leave { group: name, epoch },
            None => return false,
        };
        self.send(now, all, &head, order, actions);
        true
    }

    /// The instances that belong to no replica, by fabric domain.
    fn free<'a>(
        &mut self,
        now: Time,
        all: &Instances<'a>,
        actions: &mut Vec<Action>,
    ) -> BTreeMap<Arc<str>, Vec<&'a Instance>> {
        let members =
            |it: &Group| it.members.iter().filter(|id| !it.gone.contains(*id)).cloned().collect();
        let taken: HashSet<Arc<str>> =
            self.groups.values().flat_map(|it| -> Vec<Arc<str>> { members(it) }).collect();
        let mut strays = Vec::new();
        let mut free: BTreeMap<Arc<str>, Vec<&Instance>> = BTreeMap::new();
        for (instance, presence) in all.known.values() {
            let Some(fabric) = &instance.fabric else { continue };
            let answers = *presence == Presence::Listed || self.is_vouched(instance);
            let alive = answers && !self.is_dead(now, instance);
            let usable = instance.phase == Phase::Ready && alive;
            if !usable || taken.contains(&*instance.id) {
                continue;
            }
            // What is left of a replica that isn't known leaves it before it is used again.
            let left = |it: &Member| {
                let key = (it.group.clone(), it.epoch);
                self.left.contains_key(&(instance.id.clone(), key))
            };
            if let Some(member) = &instance.member
                && !left(member)
                && (member.rank > 0 || matches!(member.state, State::Open | State::Closing))
            {
                let (group, epoch) = (member.group.clone(), member.epoch);
                strays.push((instance.id.clone(), Order::Leave { group, epoch }));
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
    fn form(
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
                let room = instances.len().saturating_sub(self.reserve(engine, all, fabric));
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
    fn reserve(&self, engine: &Engine, all: &Instances<'_>, fabric: &Arc<str>) -> usize {
        let here = |it: &Model| self.is_served(all, fabric, it);
        if engine.models.iter().all(here) { self.settings.reserve } else { 0 }
    }

    /// Replicas by model.
    fn counts(&self) -> HashMap<Arc<str>, usize> {
        let mut counts = HashMap::new();
        for group in self.groups.values().filter(|it| it.stage != Stage::Ending) {
            *counts.entry(group.model.clone()).or_default() += 1;
        }
        counts
    }

    /// Whether all weights for one replica are there. They are staged first, so that the instances
    /// stay usable meanwhile, unless loads are free.
    fn is_formable(&self, all: &Instances<'_>, model: &Model, instances: &[&Instance]) -> bool {
        let listed = |it: &&Instance| all.get(&it.id).is_some();
        if !instances.iter().any(|it| listed(it) && (self.loads_free || has(it, &model.name))) {
            return false;
        }
        staged(instances, model) >= model.size || self.loads_free
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
        let group: Arc<str> = format!("r{epoch}").into();
        for instance in chosen.iter().filter(|it| !has(it, &model.name)) {
            self.loads.push_back(now);
            self.loading.insert(instance.id.clone(), (now + model.load, model.name.clone()));
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
            ended: now,
            gone: HashSet::new(),
            stage: Stage::Forming,
        };
        self.groups.insert((group, epoch), formed);
    }

    /// Ends a replica of a model that is far ahead, where its instances would complete one of the
    /// model that is missed most.
    fn rebalance(
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
        let Some(missed) = missed.filter(|_| settled && !self.loads_free) else { return };
        let ahead = |it: &Group| {
            let model = engine.model(&it.model).filter(|it| it.name != missed.name)?;
            let ratio = last_cost(model, &counts) / cost(missed, &counts);
            (ratio >= FAR_AHEAD).then_some(model.size)
        };
        for (fabric, instances) in free {
            let long = self
                .calm
                .get(fabric)
                .is_some_and(|(_, since)| now.since(*since) >= self.settings.rebalance);
            if !long || self.is_hasty(all, fabric) || self.is_served(all, fabric, missed) {
                continue;
            }
            let group = self.groups.values_mut().find(|it| {
                let size = ahead(it).filter(|_| it.is_in(all, fabric));
                size.is_some_and(|size| {
                    instances.len() < missed.size && instances.len() + size >= missed.size
                })
            });
            if let Some(group) = group {
                return group.end(now);
            }
        }
    }

    /// Stages weights on free instances: what is missed for one more replica, and else what heals
    /// the replicas around them, so that neither needs a load from the weight store then.
    fn stage(
        &mut self,
        now: Time,
        engine: &Engine,
        all: &Instances<'_>,
        free: &BTreeMap<Arc<str>, Vec<&Instance>>,
        actions: &mut Vec<Action>,
    ) {
        let loading = |it: &Group| it.stage == Stage::Forming && self.is_loading(now, it);
        if self.loads_free && self.groups.values().any(loading) {
            return;
        }
        for (fabric, spares) in free {
            let listed = spares.iter().filter(|it| all.get(&it.id).is_some());
            let spares: &[&Instance] = &listed.copied().collect::<Vec<_>>();
            if !self.is_calm(now, fabric, spares) {
                continue;
            }
            for (id, model) in self.wanted(engine, all, fabric, spares) {
                if self.loading.contains_key(&id) {
                    continue;
                }
                if !self.may_load(now, 1) {
                    return;
                }
                self.loads.push_back(now);
                self.loading.insert(id.clone(), (now + model.load, model.name.clone()));
                let order = Order::Stage { model: model.name.clone() };
                self.send(now, all, &id, order, actions);
            }
            self.warm(now, all, spares, actions);
        }
    }

    /// Lets spares take the weights of their host into service, as the only member of a replica
    /// that never serves. They join another one of that model without delay then.
    fn warm(
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
            let warming = |it: &Sent| now.since(it.at) < self.settings.slack;
            if sent.is_some_and(|it| warming(it) && it.is_warming(model)) {
                continue;
            }
            let epoch = self.next_epoch();
            let order = Order::Join {
                group: format!("s{epoch}").into(),
                epoch,
                model: model.clone(),
                members: vec![spare.id.clone()],
            };
            self.send(now, all, &spare.id, order, actions);
        }
    }

    fn next_epoch(&mut self) -> u64 {
        self.counter += 1;
        self.fence * EPOCHS + self.counter
    }

    /// Whether the free instances of a fabric domain have been the same for a while.
    fn is_calm(&mut self, now: Time, fabric: &Arc<str>, spares: &[&Instance]) -> bool {
        let mut ids: Vec<Arc<str>> = spares.iter().map(|it| it.id.clone()).collect();
        ids.sort();
        let calm = self.calm.entry(fabric.clone()).or_insert_with(|| (Vec::new(), now));
        if calm.0 != ids {
            *calm = (ids, now);
        }
        self.loads_free || now.since(calm.1) >= self.settings.settle
    }

    fn is_loading(&self, now: Time, group: &Group) -> bool {
        group.members.iter().any(|it| self.loading.get(it).is_some_and(|(until, _)| *until > now))
    }

    /// Which of the free instances of a fabric domain should load which model.
    fn wanted<'a>(
        &self,
        engine: &'a Engine,
        all: &Instances<'_>,
        fabric: &Arc<str>,
        spares: &[&Instance],
    ) -> Vec<(Arc<str>, &'a Model)> {
        let counts = self.counts();
        let room = spares.len().saturating_sub(self.reserve(engine, all, fabric));
        let possible = engine.models.iter().filter(|it| it.size <= room);
        let possible = possible.filter(|it| is_due(it, engine, &counts));
        let calm = !self.is_hasty(all, fabric);
        if let Some(model) = possible.min_by(|a, b| cost(a, &counts).total_cmp(&cost(b, &counts))) {
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
            let Some(model) = self.missed(engine, all, fabric, &goal) else { continue };
            *goal.entry(&model.name).or_default() += 1;
            loads.push((spare.id.clone(), model));
        }
        if calm {
            loads.extend(self.exchange(engine, all, fabric, spares, &goal));
        }
        loads
    }

    /// Which spare should change its model, since no other one heals the replicas that are most
    /// exposed.
    fn exchange<'a>(
        &self,
        engine: &'a Engine,
        all: &Instances<'_>,
        fabric: &Arc<str>,
        spares: &[&Instance],
        goal: &HashMap<&str, usize>,
    ) -> Option<(Arc<str>, &'a Model)> {
        let count = |model: &Model| goal.get(&*model.name).copied().unwrap_or_default();
        let served = engine.models.iter().all(|it| self.is_served(all, fabric, it));
        let model = self.needed(engine, all, fabric, &HashMap::new())?;
        if !served || count(model) > 0 {
            return None;
        }
        let spare = spares.iter().find(|it| !it.staged.is_empty())?;
        Some((spare.id.clone(), model))
    }

    /// The model that a bare instance of `fabric` should load: one that has no replica there and
    /// lacks weights for one, else the one whose replicas have the fewest spares.
    fn missed<'a>(
        &self,
        engine: &'a Engine,
        all: &Instances<'_>,
        fabric: &Arc<str>,
        goal: &HashMap<&str, usize>,
    ) -> Option<&'a Model> {
        let counts = self.counts();
        let lacks = |it: &&Model| {
            let staged = goal.get(&*it.name).copied().unwrap_or_default();
            staged < it.size && !self.is_served(all, fabric, it)
        };
        let absent = engine.models.iter().filter(lacks);
        let absent = absent.min_by(|a, b| cost(a, &counts).total_cmp(&cost(b, &counts)));
        absent.or_else(|| self.needed(engine, all, fabric, goal))
    }

    /// Whether `fabric` has a replica of `model`.
    fn is_served(&self, all: &Instances<'_>, fabric: &Arc<str>, model: &Model) -> bool {
        let mut groups = self.groups.values().filter(|it| it.model == model.name);
        groups.any(|it| it.gone.is_empty() && it.is_in(all, fabric))
    }

    /// Whether instances of `fabric` are probably only cut off. They come back with their weights
    /// as a rule, so that what is staged is worth more than what would be loaded meanwhile.
    fn is_hasty(&self, all: &Instances<'_>, fabric: &Arc<str>) -> bool {
        let departed: Vec<&Instance> = all.departed(fabric).collect();
        departed.len() >= MANY || departed.iter().any(|it| self.is_vouched(it))
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
            groups.filter(|it| it.is_in(all, fabric)).count() * model.size
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
        let Some(instance) = all.recall(id) else { return };
        let repeat = self.settings.repeat;
        let recent = |it: &Sent| it.order == order && now.since(it.at) < repeat;
        if self.sent.get(id).is_some_and(recent) {
            return;
        }
        self.sent.insert(id.clone(), Sent { at: now, order: order.clone() });
        actions.push(Action { id: id.clone(), address: instance.address, order });
    }

    fn is_reachable(&self, now: Time, all: &Instances<'_>, id: &str) -> bool {
        let Some(instance) = all.recall(id) else { return false };
        !self.is_dead(now, instance) && (all.get(id).is_some() || self.is_vouched(instance))
    }

    fn is_vouched(&self, instance: &Instance) -> bool {
        self.vouched.get(&instance.id).is_some_and(|it| it.born == instance.born)
    }

    /// Whether a member is the one that it was and can be reached.
    fn is_present(&self, now: Time, all: &Instances<'_>, id: &str, born: u64) -> bool {
        self.is_reachable(now, all, id) && all.recall(id).is_some_and(|it| it.born == born)
    }

    /// Whether a member is where it was, alive, and doesn't leave. A member may be cut off from
    /// the list for a while if `least` says so.
    fn is_sound(
        &self,
        now: Time,
        all: &Instances<'_>,
        id: &str,
        born: u64,
        least: Presence,
    ) -> bool {
        let listed = all.get(id).is_some_and(|it| it.phase == Phase::Ready);
        let departed = least == Presence::Departed && all.get(id).is_none();
        (listed || departed) && self.is_present(now, all, id, born)
    }

    /// What is known of `id` as a member of the replica `key`.
    fn state(&self, all: &Instances<'_>, id: &Arc<str>, key: &Key) -> Option<State> {
        let member = all.recall(id)?.member.as_ref()?;
        let here = member.group == key.0 && member.epoch == key.1;
        let left = self.left.contains_key(&(id.clone(), key.clone()));
        (here && !left).then_some(member.state)
    }
}

impl Group {
    fn end(&mut self, now: Time) {
        self.stage = Stage::Ending;
        self.ended = now;
    }

    fn is_in(&self, all: &Instances<'_>, fabric: &Arc<str>) -> bool {
        let mut members = self.members.iter().filter_map(|it| all.recall(it));
        members.any(|it| it.fabric.as_ref() == Some(fabric))
    }

    fn places(&self) -> impl Iterator<Item = (&Arc<str>, u64)> {
        self.members.iter().zip(self.born.iter().copied())
    }
}

/// What speaks against one more replica of `model`: those that there are, by its share.
fn cost(model: &Model, counts: &HashMap<Arc<str>, usize>) -> f64 {
    let count = counts.get(&model.name).copied().unwrap_or_default() as f64;
    let wanted = model.share / model.size as f64;
    (count + 1.0) / wanted.max(f64::MIN_POSITIVE)
}

/// What the last replica of `model` cost.
fn last_cost(model: &Model, counts: &HashMap<Arc<str>, usize>) -> f64 {
    let count = counts.get(&model.name).copied().unwrap_or_default() as f64;
    let wanted = model.share / model.size as f64;
    count / wanted.max(f64::MIN_POSITIVE)
}

/// Whether a replica of `model`, which is far ahead, would take instances that could complete one
/// of the model that is missed most, out of `room`.
fn is_in_the_way(
    engine: &Engine,
    model: &Model,
    counts: &HashMap<Arc<str>, usize>,
    room: usize,
) -> bool {
    let others = engine.models.iter().filter(|it| it.name != model.name);
    let mut behind = others.filter(|it| cost(model, counts) >= FAR_AHEAD * cost(it, counts));
    behind.any(|it| it.size <= room && room - model.size < it.size)
}

/// Whether one more replica of `model` is due. If another model is missed far more, instances
/// rather wait for what it lacks than serve what is not asked for.
fn is_due(model: &Model, engine: &Engine, counts: &HashMap<Arc<str>, usize>) -> bool {
    let least = engine.models.iter().map(|it| cost(it, counts)).fold(f64::INFINITY, f64::min);
    cost(model, counts) <= least * MAX_EXCESS
}

/// How many of `spares` have the weights of `model`.
fn staged(spares: &[&Instance], model: &Model) -> usize {
    spares.iter().filter(|it| has(it, &model.name)).count()
}

/// Whether the weights of `model` are on the instance's host.
fn has(instance: &Instance, model: &str) -> bool {
    instance.staged.iter().any(|it| &**it == model)
}
