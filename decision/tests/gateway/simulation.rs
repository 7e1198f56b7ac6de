//! A simulation of instances, the list of them and their owners.
//!
//! Orders may arrive late, instances may fail or be partitioned, and owners may overlap. A checker
//! panics when an accepted order breaks a rule of replicas. Every run is determined by its seed.

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
use self::conditions::draw_millis;
use self::network::Delivery;
use self::node::Node;
use self::owner::{CallResult, Owner};
use crate::support::{engine, instance};

/// Time between two plans of an owner, and between two views of the list.
pub(crate) const STEP_MS: u64 = 50;

/// Time after which an entry that isn't renewed is removed from the list.
const ENTRY_TTL_MS: u64 = 3_600;

/// Time without an owner after which another one takes over.
const TAKEOVER_DELAY_MS: u64 = 250;

/// Time without a message from an owner after which others consider it gone.
const OWNER_TIMEOUT_MS: u64 = 900;

/// Time after which an owner that resumes after a pause learns of its successor.
const SUCCESSOR_NOTICE_MS: u64 = 100;

/// Time for which past views of the list are kept. No owner's view may be older.
const MAX_VIEW_LAG_MS: u64 = 2_000;

/// Name and epoch of a replica.
type ReplicaKey = (Arc<str>, u64);

/// The state of a simulation.
pub(crate) struct Simulation {
    /// Milliseconds since the start.
    pub(crate) now: u64,
    /// All instances by identifier.
    pub(crate) nodes: BTreeMap<Arc<str>, Node>,
    pub(crate) conditions: Conditions,
    /// Share of the orders that arrive late, after their owner has stopped waiting for the answer.
    pub(crate) late_share: f64,
    /// When orders to stage weights were given.
    pub(crate) load_times: Vec<u64>,
    /// Instances that one owner ordered to join or open several replicas in one step, and when.
    pub(crate) conflicting_orders: Vec<(u64, Arc<str>)>,
    engine: Engine,
    /// The latest views of the list, each with its time.
    views: VecDeque<(u64, Vec<Instance>)>,
    /// The current owner last, after earlier ones that still act or are paused.
    owners: Vec<Owner>,
    /// The highest fencing token so far.
    fence: u64,
    /// Since when there has been no owner, if there is none.
    ownerless_since: Option<u64>,
    /// Whether weight loads are exempt from the load rate, as before the first request.
    are_loads_exempt: bool,
    /// Demand of the callers, by model.
    pub(crate) demands: Vec<(Arc<str>, Demand)>,
    /// Scheduled events by time, in the order in which they were scheduled.
    events: BTreeMap<(u64, u64), Event>,
    event_count: u64,
    checker: Checker,
    random: Pcg64Mcg,
}

/// An event at a scheduled time.
#[derive(Debug)]
enum Event {
    /// A request for the report that an order needs arrives at the instance.
    ReportRequest(Delivery),
    /// An owner reads the report that it requested.
    Report(Delivery, Report),
    /// An order arrives at the instance.
    Order(Delivery),
    /// A probe arrives at the instance.
    Probe { fence: u64, id: Arc<str>, incarnation: u64 },
    /// A read of the lease arrives at the store.
    LeaseRead { fence: u64, started_at: u64 },
    /// An owner reads the result of a call.
    CallResult { fence: u64, result: CallResult },
    /// Another owner takes over.
    Election,
}

impl Simulation {
    /// Returns a simulation of `fabric_domains` fabric domains with `size` instances each, none of
    /// which has weights.
    pub(crate) fn new(seed: u64, fabric_domains: usize, size: usize) -> Simulation {
        let mut nodes = BTreeMap::new();
        for fabric_domain in 0..fabric_domains {
            for index in 0..size {
                let instance =
                    instance(&format!("i{fabric_domain}-{index:02}"), &format!("f{fabric_domain}"));
                nodes.insert(instance.id.clone(), Node::new(instance));
            }
        }
        let conditions = Conditions::default();
        Simulation {
            now: 0,
            nodes,
            owners: vec![Owner::new(1, 0, Fleet::default(), *conditions.view_lag.start())],
            conditions,
            late_share: 0.0,
            load_times: Vec::new(),
            conflicting_orders: Vec::new(),
            engine: engine(),
            views: VecDeque::new(),
            fence: 1,
            ownerless_since: None,
            are_loads_exempt: true,
            demands: Vec::new(),
            events: BTreeMap::new(),
            event_count: 0,
            checker: Checker::new(seed),
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Runs for `millis` milliseconds, rounded down to whole steps.
    pub(crate) fn run(&mut self, millis: u64) {
        for _ in 0..millis / STEP_MS {
            let end = self.now + STEP_MS;
            while let Some(event) = self.events.first_entry().filter(|it| it.key().0 <= end) {
                let ((time, _), event) = event.remove_entry();
                self.now = time;
                self.advance_nodes();
                self.handle_event(event);
            }
            self.now = end;
            self.advance_nodes();
            self.publish_view();
            self.run_owners();
        }
    }

    /// Makes weight loads count against the load rate from now on.
    pub(crate) fn start_counting_loads(&mut self) {
        self.are_loads_exempt = false;
    }

    /// Replaces the owner by one that knows the previous owner's list and nothing else.
    pub(crate) fn replace_owner(&mut self) {
        self.elect(0);
    }

    /// Replaces the owner by one that has not read the list yet.
    pub(crate) fn replace_owner_without_list(&mut self) {
        self.elect(0);
        if let Some(owner) = self.owners.last_mut() {
            owner.fleet = Fleet::default();
        }
    }

    /// Elects a new owner. Its predecessors go on acting for up to `overlap` milliseconds.
    pub(crate) fn elect(&mut self, overlap: u64) {
        self.fence += 1;
        let fleet = self.owners.last().map(|it| it.fleet.clone()).unwrap_or_default();
        let view_lag = draw_millis(&mut self.random, &self.conditions.view_lag);
        let mut owner = Owner::new(self.fence, self.now, fleet, view_lag);
        if let Some((time, view)) = self.views.back() {
            owner.read(self.now, *time, view);
        }
        for predecessor in &mut self.owners {
            let end = self.now + overlap;
            predecessor.ends_at =
                Some(predecessor.ends_at.map_or(end, |it| if it < end { it } else { end }));
        }
        self.owners
            .retain(|it| it.paused_until.is_some() || it.ends_at.is_none_or(|it| it > self.now));
        self.owners.push(owner);
        self.ownerless_since = None;
    }

    /// Pauses the owner for `millis` milliseconds. Another one is elected once it counts as gone,
    /// also if it has resumed by then.
    pub(crate) fn pause_owner(&mut self, millis: u64) {
        let resumes_at = self.now + millis;
        let Some(owner) = self.owners.last_mut().filter(|it| it.paused_until.is_none()) else {
            return;
        };
        owner.paused_until = Some(resumes_at);
        self.schedule(OWNER_TIMEOUT_MS + TAKEOVER_DELAY_MS, Event::Election);
    }

    /// Makes the owner read a stale record of an instance, by which it is free, in place of the
    /// current one, until that changes.
    pub(crate) fn make_record_stale(&mut self, id: &str) {
        let Some(node) = self.nodes.get(id) else { return };
        let older = Instance { member: None, model: None, ..node.instance.clone() };
        if let Some(owner) = self.owners.last_mut() {
            owner.make_record_stale(older, node.instance.clone());
        }
    }

    /// Kills an instance permanently. Its entry stays in the list until it expires.
    pub(crate) fn kill(&mut self, id: &str) {
        if let Some(node) = self.nodes.get_mut(id) {
            node.is_dead = true;
            node.partitioned_since.get_or_insert(self.now);
            node.listed_as.get_or_insert(node.instance.clone());
        }
    }

    /// Partitions an instance from the store, so that its entry is neither updated nor renewed, or
    /// ends the partition.
    pub(crate) fn set_store_partition(&mut self, id: &str, is_partitioned: bool) {
        let now = self.now;
        if let Some(node) = self.nodes.get_mut(id) {
            node.partitioned_since = is_partitioned.then(|| node.partitioned_since.unwrap_or(now));
            node.listed_as =
                is_partitioned.then(|| node.listed_as.take().unwrap_or(node.instance.clone()));
        }
    }

    /// Partitions an instance from the store and the owners, but not from its callers, or ends the
    /// partition.
    pub(crate) fn set_isolation(&mut self, id: &str, is_partitioned: bool) {
        self.set_store_partition(id, is_partitioned);
        if let Some(node) = self.nodes.get_mut(id) {
            node.is_isolated = is_partitioned;
        }
    }

    /// Makes an instance announce that it drains.
    pub(crate) fn drain(&mut self, id: &str) {
        if let Some(node) = self.nodes.get_mut(id) {
            node.instance.phase = Phase::Draining;
        }
    }

    /// Restarts an instance, which keeps its staged weights and leaves its replica. Its partitions
    /// end.
    pub(crate) fn restart(&mut self, id: &str) {
        if let Some(node) = self.nodes.get_mut(id) {
            let instance = Instance {
                member: None,
                model: None,
                phase: Phase::Ready,
                incarnation: node.instance.incarnation + 1,
                ..node.instance.clone()
            };
            self.checker.note(&instance.id, format!("{:>6} {id} restarts", self.now));
            *node = Node::new(instance);
        }
    }

    /// Removes the staged weights of all instances.
    pub(crate) fn clear_staged_weights(&mut self) {
        self.nodes.values_mut().for_each(|it| it.instance.staged.clear());
    }

    /// Adds an instance without weights.
    pub(crate) fn add(&mut self, id: &str, fabric_domain: &str) {
        let instance = instance(id, fabric_domain);
        self.nodes.insert(instance.id.clone(), Node::new(instance));
    }

    /// Returns the epochs of the replicas that instances are members of, spares included, in the
    /// order of the instances.
    pub(crate) fn epochs(&self) -> Vec<u64> {
        let members = self.nodes.values().filter_map(|it| it.instance.member.as_ref());
        members.map(|it| it.epoch).collect()
    }

    /// Returns how many complete replicas of a model serve.
    pub(crate) fn serving(&self, model: &str) -> usize {
        let heads = self.nodes.values().filter(|it| !it.is_dead && it.state() == Some(State::Open));
        heads
            .filter(|it| it.instance.model.as_deref() == Some(model) && self.is_complete(it))
            .count()
    }

    /// Whether the instance is a head that serves.
    pub(crate) fn is_serving(&self, id: &str) -> bool {
        self.nodes.get(id).is_some_and(|it| it.state() == Some(State::Open))
    }

    /// Returns the heads, spares excluded, that are ready to be opened.
    pub(crate) fn ready_heads(&self) -> Vec<Arc<str>> {
        let heads = self.nodes.values().filter(|it| it.members.len() > 1 && it.is_head());
        let ready = heads.filter(|it| it.state() == Some(State::Ready));
        ready.map(|it| it.instance.id.clone()).collect()
    }

    /// Returns the members of all replicas, spares excluded, heads first.
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

    /// Whether all members of a head's replica are alive and still belong to it.
    fn is_complete(&self, head: &Node) -> bool {
        head.members.iter().all(|id| {
            let member = self.nodes.get(id);
            member.is_some_and(|it| !it.is_dead && it.key() == head.key())
        })
    }

    /// Schedules an event `after` milliseconds from now.
    fn schedule(&mut self, after: u64, event: Event) {
        self.event_count += 1;
        self.events.insert((self.now + after, self.event_count), event);
    }

    /// Ends operations of instances whose time has come, and lets heads notice lost members.
    fn advance_nodes(&mut self) {
        let has_lost_member = |it: &&Node| it.may_serve() && !self.is_complete(it);
        let stalled_heads: Vec<Arc<str>> =
            self.nodes.values().filter(has_lost_member).map(|it| it.instance.id.clone()).collect();
        for (id, node) in &mut self.nodes {
            if let Some(key) = node.advance(self.now, stalled_heads.contains(id)) {
                self.checker.note_ready(key, id);
            }
            node.record(self.now);
        }
    }

    /// Adds the current view of the list and drops views that are too old.
    fn publish_view(&mut self) {
        let listed = self
            .nodes
            .values()
            .filter(|it| it.partitioned_since.is_none_or(|since| self.now - since < ENTRY_TTL_MS));
        let view = listed.map(|it| it.listed_as.as_ref().unwrap_or(&it.instance).clone()).collect();
        self.views.push_back((self.now, view));
        while self.views.front().is_some_and(|(time, _)| time + MAX_VIEW_LAG_MS < self.now) {
            self.views.pop_front();
        }
    }

    /// Lets all owners that aren't paused plan, and sends their orders, probes and reads of the
    /// lease.
    fn run_owners(&mut self) {
        let now = self.now;
        self.owners
            .retain(|it| it.paused_until.is_some() || it.ends_at.is_none_or(|end| end > now));
        if self.owners.is_empty()
            && now >= *self.ownerless_since.get_or_insert(now) + TAKEOVER_DELAY_MS
        {
            self.elect(0);
        }
        for index in 0..self.owners.len() {
            let owner = &mut self.owners[index];
            match owner.paused_until {
                Some(resumes_at) if resumes_at > now => continue,
                // It first acts on what it knew before the pause. It learns of its successor later.
                Some(_) => {
                    owner.paused_until = None;
                    owner.ends_at = owner.ends_at.map(|_| now + SUCCESSOR_NOTICE_MS);
                }
                None => {
                    let known = self.views.iter().rev();
                    let mut known = known.filter(|(time, _)| time + owner.view_lag <= now);
                    if let Some((time, view)) = known.next() {
                        owner.read(now, *time, view);
                    }
                }
            }
            let plan = owner.plan(now, &self.engine, self.are_loads_exempt, &self.demands);
            let fence = owner.fence;
            if plan.is_lease_read_due {
                let latency = self.draw_latency();
                self.schedule(latency, Event::LeaseRead { fence, started_at: now });
            }
            let conflicting = plan.conflicting().into_iter().map(|it| (now, it));
            self.conflicting_orders.extend(conflicting);
            for (action, incarnation) in plan.orders {
                self.give_order(fence, action, incarnation);
            }
            for (id, incarnation) in plan.probes {
                self.send_probe(fence, id, incarnation);
            }
        }
    }

    /// Lets an owner read the result of a call. A paused owner reads it after the pause.
    fn deliver_result(&mut self, fence: u64, result: CallResult) {
        let Some(index) = self.owners.iter().position(|it| it.fence == fence) else { return };
        let owner = &mut self.owners[index];
        if let Some(resumes_at) = owner.paused_until {
            return self.schedule(resumes_at - self.now + 1, Event::CallResult { fence, result });
        }
        match owner.handle_result(self.now, result) {
            Ok(Some((id, incarnation))) => self.send_probe(fence, id, incarnation),
            Ok(None) => {}
            Err(()) => {
                assert_ne!(fence, self.fence, "the owner gives up although it has no successor");
                self.owners.remove(index);
            }
        }
    }
}
