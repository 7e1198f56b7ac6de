//! Instances that carry out orders, late and lost ones too, owners that follow each other, and a
//! judge that panics when an order breaks a rule of replicas.

mod checker;
mod conditions;
mod network;
mod node;
mod owner;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use decision::gateway::demand::Demand;
use decision::gateway::engine::Engine;
use decision::gateway::fleet::{Fleet, Instance, Phase, Report, State};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;

use self::checker::Checker;
pub(crate) use self::conditions::Conditions;
use self::conditions::delay;
use self::network::Parcel;
use self::node::Node;
use self::owner::{Owner, Result};
use crate::support::{engine, instance};

/// Milliseconds of one step.
pub(crate) const STEP: u64 = 50;

/// Milliseconds after which an entry goes that isn't renewed.
const LAPSE: u64 = 3_600;

/// Milliseconds without an owner after which there is another one.
const VACANT: u64 = 250;

/// Milliseconds for which an owner is silent before others count it as gone.
const ALIVE: u64 = 900;

/// Milliseconds until an owner that was asleep hears of its follower.
const HEARS: u64 = 100;

/// Longest lag of a view, in milliseconds.
const LONGEST_LAG: u64 = 2_000;

type Key = (Arc<str>, u64);

/// Instances, the list of them, their owners, and orders on their way.
pub(crate) struct Simulation {
    pub(crate) now: u64,
    pub(crate) nodes: BTreeMap<Arc<str>, Node>,
    pub(crate) conditions: Conditions,
    pub(crate) late_share: f64,
    /// When loads were ordered.
    pub(crate) load_times: Vec<u64>,
    /// Instances that one owner ordered for several replicas in one turn, and when.
    pub(crate) torn: Vec<(u64, Arc<str>)>,
    engine: Engine,
    /// What the list showed, and when.
    views: VecDeque<(u64, Vec<Instance>)>,
    owners: Vec<Owner>,
    /// The highest fencing token so far.
    fence: u64,
    vacant_since: Option<u64>,
    free_loads: bool,
    /// What callers ask for, by model.
    pub(crate) demands: Vec<(Arc<str>, Demand)>,
    events: BTreeMap<(u64, u64), Event>,
    count: u64,
    checker: Checker,
    random: Pcg64Mcg,
}

/// What happens at its time.
#[derive(Debug)]
enum Event {
    /// A question arrives that comes before an order.
    Question(Parcel),
    /// An owner reads the report that it asked for.
    Report(Parcel, Report),
    /// An order arrives.
    Order(Parcel),
    /// A question for a report arrives.
    Probe { fence: u64, id: Arc<str>, born: u64 },
    /// A question for the lease arrives at the store.
    Lease { fence: u64, asked: u64 },
    /// An owner learns what came of a call.
    Result { fence: u64, result: Result },
    /// Another owner takes over.
    Elect,
}

impl Simulation {
    pub(crate) fn new(seed: u64, fabrics: usize, size: usize) -> Simulation {
        let mut nodes = BTreeMap::new();
        for fabric in 0..fabrics {
            for place in 0..size {
                let instance = instance(&format!("i{fabric}-{place:02}"), &format!("f{fabric}"));
                nodes.insert(instance.id.clone(), Node::new(instance));
            }
        }
        let conditions = Conditions::default();
        Simulation {
            now: 0,
            nodes,
            owners: vec![Owner::new(1, 0, Fleet::default(), *conditions.lag.start())],
            conditions,
            late_share: 0.0,
            load_times: Vec::new(),
            torn: Vec::new(),
            engine: engine(),
            views: VecDeque::new(),
            fence: 1,
            vacant_since: None,
            free_loads: true,
            demands: Vec::new(),
            events: BTreeMap::new(),
            count: 0,
            checker: Checker::new(seed),
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Runs for `millis`.
    pub(crate) fn run(&mut self, millis: u64) {
        for _ in 0..millis / STEP {
            let end = self.now + STEP;
            while let Some(event) = self.events.first_entry().filter(|it| it.key().0 <= end) {
                let ((time, _), event) = event.remove_entry();
                self.now = time;
                self.settle();
                self.happen(event);
            }
            self.now = end;
            self.settle();
            self.list();
            self.turn();
        }
    }

    pub(crate) fn start_counting_loads(&mut self) {
        self.free_loads = false;
    }

    /// A new owner, who knows nothing of what the last one did.
    pub(crate) fn replace_owner(&mut self) {
        self.elect(0);
    }

    /// A new owner that reads the list for the first time.
    pub(crate) fn replace_owner_without_list(&mut self) {
        self.elect(0);
        if let Some(owner) = self.owners.last_mut() {
            owner.fleet = Fleet::default();
        }
    }

    /// A new owner, whose forerunners go on for `overlap` milliseconds.
    pub(crate) fn elect(&mut self, overlap: u64) {
        self.fence += 1;
        let fleet = self.owners.last().map(|it| it.fleet.clone()).unwrap_or_default();
        let lag = delay(&mut self.random, &self.conditions.lag);
        let mut owner = Owner::new(self.fence, self.now, fleet, lag);
        if let Some((time, view)) = self.views.back() {
            owner.read(self.now, *time, view);
        }
        for older in &mut self.owners {
            let end = self.now + overlap;
            older.ends = Some(older.ends.map_or(end, |it| if it < end { it } else { end }));
        }
        self.owners.retain(|it| it.asleep.is_some() || it.ends.is_none_or(|it| it > self.now));
        self.owners.push(owner);
        self.vacant_since = None;
    }

    /// The owner stands still for `millis`, and another one follows it meanwhile.
    pub(crate) fn freeze_owner(&mut self, millis: u64) {
        let wakes = self.now + millis;
        let Some(owner) = self.owners.last_mut().filter(|it| it.asleep.is_none()) else { return };
        owner.asleep = Some(wakes);
        self.push(ALIVE + VACANT, Event::Elect);
    }

    /// The owner takes older news of an instance for the latest, until there are others.
    pub(crate) fn mislead(&mut self, id: &str) {
        let Some(node) = self.nodes.get(id) else { return };
        let older = Instance { member: None, model: None, ..node.instance.clone() };
        if let Some(owner) = self.owners.last_mut() {
            owner.mislead(older, node.instance.clone());
        }
    }

    pub(crate) fn kill(&mut self, id: &str) {
        if let Some(node) = self.nodes.get_mut(id) {
            node.dead = true;
            node.cut.get_or_insert(self.now);
            node.shown.get_or_insert(node.instance.clone());
        }
    }

    pub(crate) fn set_store_partition(&mut self, id: &str, on: bool) {
        let now = self.now;
        if let Some(node) = self.nodes.get_mut(id) {
            node.cut = on.then(|| node.cut.unwrap_or(now));
            node.shown = on.then(|| node.shown.take().unwrap_or(node.instance.clone()));
        }
    }

    /// Cuts a node off from the list and from the owner, and not from those that it serves.
    pub(crate) fn set_isolation(&mut self, id: &str, on: bool) {
        self.set_store_partition(id, on);
        if let Some(node) = self.nodes.get_mut(id) {
            node.hidden = on;
        }
    }

    /// Lets an instance say that it leaves.
    pub(crate) fn drain(&mut self, id: &str) {
        if let Some(node) = self.nodes.get_mut(id) {
            node.instance.phase = Phase::Draining;
        }
    }

    pub(crate) fn restart(&mut self, id: &str) {
        if let Some(node) = self.nodes.get_mut(id) {
            let instance = Instance {
                member: None,
                model: None,
                phase: Phase::Ready,
                incarnation: node.instance.incarnation + 1,
                ..node.instance.clone()
            };
            self.checker.note(&instance.id, format!("{:>6} {id} starts anew", self.now));
            *node = Node::new(instance);
        }
    }

    /// Takes the weights from all nodes.
    pub(crate) fn clear_staged_weights(&mut self) {
        self.nodes.values_mut().for_each(|it| it.instance.staged.clear());
    }

    /// Adds an instance without weights.
    pub(crate) fn add(&mut self, id: &str, fabric: &str) {
        let instance = instance(id, fabric);
        self.nodes.insert(instance.id.clone(), Node::new(instance));
    }

    /// Epochs of the replicas that nodes are members of, spares included, in the order of the
    /// nodes.
    pub(crate) fn epochs(&self) -> Vec<u64> {
        let members = self.nodes.values().filter_map(|it| it.instance.member.as_ref());
        members.map(|it| it.epoch).collect()
    }

    /// Members of replicas that serve, by model.
    pub(crate) fn serving(&self, model: &str) -> usize {
        let heads = self.nodes.values().filter(|it| !it.dead && it.state() == Some(State::Open));
        heads.filter(|it| it.instance.model.as_deref() == Some(model) && self.is_whole(it)).count()
    }

    /// Whether `id` is a head that serves.
    pub(crate) fn is_serving(&self, id: &str) -> bool {
        self.nodes.get(id).is_some_and(|it| it.state() == Some(State::Open))
    }

    /// Heads that are ready to be opened.
    pub(crate) fn ready_heads(&self) -> Vec<Arc<str>> {
        let heads = self.nodes.values().filter(|it| it.members.len() > 1 && it.is_head());
        let ready = heads.filter(|it| it.state() == Some(State::Ready));
        ready.map(|it| it.instance.id.clone()).collect()
    }

    /// Identifiers of all members of replicas, heads first.
    pub(crate) fn members(&self) -> Vec<Arc<str>> {
        let mut members: Vec<_> = self
            .nodes
            .values()
            .filter(|it| it.members.len() > 1)
            .filter_map(|it| Some((it.instance.member.as_ref()?.rank, it.instance.id.clone())))
            .collect();
        members.sort();
        members.into_iter().map(|(_, id)| id).collect()
    }

    fn is_whole(&self, head: &Node) -> bool {
        head.members.iter().all(|id| {
            let member = self.nodes.get(id);
            member.is_some_and(|it| !it.dead && it.key() == head.key())
        })
    }

    fn push(&mut self, after: u64, event: Event) {
        self.count += 1;
        self.events.insert((self.now + after, self.count), event);
    }

    /// Lets orders take effect that instances carry out, and heads notice lost members.
    fn settle(&mut self) {
        let still = |it: &&Node| it.may_serve() && !self.is_whole(it);
        let still: Vec<Arc<str>> =
            self.nodes.values().filter(still).map(|it| it.instance.id.clone()).collect();
        for (id, node) in &mut self.nodes {
            if let Some(key) = node.settle(self.now, still.contains(id)) {
                self.checker.ready(key, id);
            }
            node.record(self.now);
        }
    }

    fn list(&mut self) {
        let listed =
            self.nodes.values().filter(|it| it.cut.is_none_or(|since| self.now - since < LAPSE));
        let view = listed.map(|it| it.shown.as_ref().unwrap_or(&it.instance).clone()).collect();
        self.views.push_back((self.now, view));
        while self.views.front().is_some_and(|(time, _)| time + LONGEST_LAG < self.now) {
            self.views.pop_front();
        }
    }

    /// Lets all owners plan.
    fn turn(&mut self) {
        let now = self.now;
        self.owners.retain(|it| it.asleep.is_some() || it.ends.is_none_or(|end| end > now));
        if self.owners.is_empty() && now >= *self.vacant_since.get_or_insert(now) + VACANT {
            self.elect(0);
        }
        for place in 0..self.owners.len() {
            let owner = &mut self.owners[place];
            match owner.asleep {
                Some(wakes) if wakes > now => continue,
                // It acts on what it knew, until it reads the list and hears of others.
                Some(_) => {
                    owner.asleep = None;
                    owner.ends = owner.ends.map(|_| now + HEARS);
                }
                None => {
                    let known = self.views.iter().rev();
                    let mut known = known.filter(|(time, _)| time + owner.lag <= now);
                    if let Some((time, view)) = known.next() {
                        owner.read(now, *time, view);
                    }
                }
            }
            let wishes = owner.plan(now, &self.engine, self.free_loads, &self.demands);
            let fence = owner.fence;
            if wishes.lease {
                let travel = self.travel();
                self.push(travel, Event::Lease { fence, asked: now });
            }
            let torn = wishes.torn().into_iter().map(|it| (now, it));
            self.torn.extend(torn);
            for (action, born) in wishes.orders {
                self.give(fence, action, born);
            }
            for (id, born) in wishes.questions {
                self.ask(fence, id, born);
            }
        }
    }

    fn learn(&mut self, fence: u64, result: Result) {
        let Some(place) = self.owners.iter().position(|it| it.fence == fence) else { return };
        let owner = &mut self.owners[place];
        if let Some(wakes) = owner.asleep {
            return self.push(wakes - self.now + 1, Event::Result { fence, result });
        }
        match owner.take(self.now, result) {
            Ok(Some((id, born))) => self.ask(fence, id, born),
            Ok(None) => {}
            Err(()) => {
                assert_ne!(fence, self.fence, "an owner gives up whom nobody followed");
                self.owners.remove(place);
            }
        }
    }
}
