//! Plans the replicas of one service: which to form, repair and end, and where to stage weights.
//!
//! [`Formation::plan`] compares the listed state of the instances with the desired state and
//! returns orders. It is level-triggered: an order without effect is sent again, and an order that
//! takes effect late does no harm, since each replica has an epoch of its own and a later epoch
//! takes precedence.
//!
//! The owner of the replicas is the entry that holds the lease in the store; the lease's fencing
//! token is part of each epoch. An instance is listed while its entry in the store lasts. One whose
//! list entry was removed a short time ago is unlisted, and may still run. An instance is free, or
//! a spare, while it is no member of a known replica. To be ready for the next replica, it may load
//! a model as the only member of a spare replica, which never serves.

mod adopt;
mod assignment;
mod change;
mod cost;
mod ending;
mod epoch;
mod lifecycle;
mod order;
mod reallocation;
mod replica;
mod replicas;
mod settings;
mod staging;
mod view;

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;

pub use change::{Cause, Change, Reason, Step};
pub use epoch::fence_of;
pub use order::{Action, Close, Order, Precondition, Reply, Verdict};
pub use settings::Settings;

use crate::gateway::allotment::Allotment;
use crate::gateway::engine::Engine;
use crate::gateway::fleet::{Instance, Phase, Presence, State};
use crate::prelude::*;
use reallocation::Proposal;
use replica::{Replica, Status};
use replicas::Replicas;
use view::{Instances, has_weights};

/// Weight loads that may begin in one load window, however low the configured rate.
const MIN_WINDOW_LOADS: usize = 6;

/// Role of an instance that is no longer listed, which determines how often the owner probes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// A member of a replica that is still forming.
    Forming,
    /// A member of a complete replica.
    Member,
    /// Not a member of any such replica.
    Spare,
}

/// The desired replicas of one service, and what their owner knows of its instances.
#[derive(Debug)]
pub struct Formation {
    settings: Settings,
    /// Fencing token of the owner's lease.
    fence: u64,
    /// Number of epochs that this owner has assigned.
    epoch_count: u64,
    replicas: Replicas,
    /// The last order to each instance.
    last_orders: HashMap<Arc<str>, SentOrder>,
    /// Instances that didn't answer lately.
    unreachable: HashMap<Arc<str>, Observation>,
    /// Instances that answered a probe or an order lately, or have just become unlisted.
    reachable: HashMap<Arc<str>, Observation>,
    /// Instances whose state differed from the plan.
    mismatched: HashMap<Arc<str>, Observation>,
    /// Members that accepted an order to leave, and when. The list may not show it yet.
    left_members: HashMap<(Arc<str>, Key), Time>,
    /// Start times of the weight loads in the current load window.
    load_times: VecDeque<Time>,
    /// Model that an instance is loading, and when that load is over at the latest.
    loading: HashMap<Arc<str>, (Time, Arc<str>)>,
    /// Instances whose list entries are gone.
    unlisted: HashSet<Arc<str>>,
    /// Free instances of each fabric domain, and when that set last changed.
    stable_spares: HashMap<Arc<str>, (Vec<Arc<str>>, Time)>,
    /// Weight loads that may begin in one load window.
    load_limit: usize,
    /// Whether weight loads are exempt from the load rate.
    are_loads_exempt: bool,
    /// When the previous owner may have started its last loads, until they are counted.
    previous_owner_end: Option<Time>,
    /// Number of instances at the last plan.
    known_count: usize,
    /// When the number of known instances last grew.
    grown_at: Time,
    /// Start of the latest lease read that confirmed this owner.
    lease_confirmed_at: Option<Time>,
    /// Whether a replica can be opened as soon as the lease is confirmed again.
    needs_lease_check: bool,
    /// Changes since the last [`Formation::take_changes`].
    changes: Vec<Change>,
    /// Demand of the callers, by model.
    allotment: Allotment,
    /// The model that instances should move to, and since when.
    proposal: Proposal,
}

/// Name and epoch of a replica.
type Key = (Arc<str>, u64);

/// The last order that an instance was sent.
#[derive(Clone, Debug)]
struct SentOrder {
    at: Time,
    order: Order,
}

impl SentOrder {
    /// Whether the order makes the instance a spare of `model`.
    fn is_spare_join(&self, model: &Arc<str>) -> bool {
        match &self.order {
            Order::Join { model: joined, members, .. } => joined == model && members.len() == 1,
            _ => false,
        }
    }
}

/// What was observed of one start of an instance, and until when it counts.
#[derive(Clone, Copy, Debug)]
struct Observation {
    until: Time,
    incarnation: u64,
}

impl Formation {
    /// Creates an empty plan for the owner with the fencing token `fence`.
    pub fn new(fence: u64, settings: Settings) -> Formation {
        Formation {
            settings,
            fence,
            epoch_count: 0,
            replicas: Replicas::default(),
            last_orders: HashMap::new(),
            unreachable: HashMap::new(),
            reachable: HashMap::new(),
            mismatched: HashMap::new(),
            left_members: HashMap::new(),
            load_times: VecDeque::new(),
            loading: HashMap::new(),
            unlisted: HashSet::new(),
            stable_spares: HashMap::new(),
            load_limit: 0,
            are_loads_exempt: false,
            previous_owner_end: None,
            known_count: 0,
            grown_at: Time::ZERO,
            lease_confirmed_at: None,
            needs_lease_check: false,
            changes: Vec::new(),
            allotment: Allotment::default(),
            proposal: Proposal::default(),
        }
    }

    /// Returns the owner's fencing token.
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Sets whether weight loads are exempt from the load rate, as they are until the first request
    /// at the first start of the system.
    pub fn set_loads_exempt(&mut self, is_exempt: bool) {
        self.are_loads_exempt = is_exempt;
    }

    /// Records that the lease read that began at `started_at` confirmed this owner.
    pub fn confirm_lease(&mut self, started_at: Time) {
        self.lease_confirmed_at = self.lease_confirmed_at.max(Some(started_at));
    }

    /// Whether a replica waits for a new lease read before it is opened.
    pub fn is_waiting_for_lease(&self) -> bool {
        self.needs_lease_check
    }

    /// Counts the loads of the previous owner, whose last orders may date from `last_order`. Their
    /// number isn't known, so the previous owner is assumed to have used up the load rate of its
    /// last window.
    pub fn charge_previous_owner(&mut self, last_order: Time) {
        self.previous_owner_end = Some(last_order);
    }

    /// Records that an instance can't be reached. It is not used for
    /// [`Settings::unreachable_backoff`].
    pub fn mark_unreachable(&mut self, now: Time, id: &Arc<str>, incarnation: u64) {
        let until = now + self.settings.unreachable_backoff;
        self.unreachable.insert(id.clone(), Observation { until, incarnation });
    }

    /// Records that an instance answered.
    pub fn mark_reachable(&mut self, now: Time, id: &Arc<str>, incarnation: u64) {
        self.unreachable.remove(id);
        let until = now + self.settings.answer_validity;
        self.reachable.insert(id.clone(), Observation { until, incarnation });
    }

    /// Records the reply of an instance to an order. `incarnation` is the start of the instance
    /// that the order was for.
    pub fn record_reply(
        &mut self,
        now: Time,
        id: &Arc<str>,
        incarnation: u64,
        order: &Order,
        reply: Reply,
    ) {
        match reply {
            Reply::Accepted => {
                self.mark_reachable(now, id, incarnation);
                if let Order::Leave { group, epoch } = order {
                    self.left_members.insert((id.clone(), (group.clone(), *epoch)), now);
                }
            }
            Reply::Conflict => {
                self.mark_reachable(now, id, incarnation);
                if matches!(order, Order::Join { .. }) {
                    self.mark_mismatched(now, id, incarnation);
                }
            }
            Reply::Fenced | Reply::Misdirected | Reply::Refused => self.allow_resend(id),
        }
    }

    /// Records that the state of an instance differs from the plan. It is not used for a
    /// replica for [`Settings::mismatch_backoff`], so that the list has time to show its state.
    pub fn mark_mismatched(&mut self, now: Time, id: &Arc<str>, incarnation: u64) {
        let until = now + self.settings.mismatch_backoff;
        self.mismatched.insert(id.clone(), Observation { until, incarnation });
    }

    /// Returns the instances that are no longer listed, each with its role. The owner probes them,
    /// members of replicas more often than others.
    pub fn unlisted(&self) -> Vec<(Arc<str>, Role)> {
        if self.unlisted.is_empty() {
            return Vec::new();
        }
        let members_of = |status| {
            let replicas = self.replicas.values().filter(move |it| it.status == status);
            replicas.flat_map(|it| it.members.iter()).collect::<HashSet<_>>()
        };
        let (forming, complete) = (members_of(Status::Forming), members_of(Status::Complete));
        let role = |id: &Arc<str>| match (forming.contains(id), complete.contains(id)) {
            (true, _) => Role::Forming,
            (_, true) => Role::Member,
            _ => Role::Spare,
        };
        self.unlisted.iter().map(|id| (id.clone(), role(id))).collect()
    }

    /// Whether `head` is the head of a complete replica, so that a probe of its members is useful.
    pub fn is_complete(&self, head: &str) -> bool {
        let mut complete = self.replicas.values().filter(|it| it.status == Status::Complete);
        complete.any(|it| *it.members[0] == *head)
    }

    /// Whether this start of the instance was found unreachable lately.
    pub fn is_unreachable(&self, now: Time, instance: &Instance) -> bool {
        let observation = self.unreachable.get(&instance.id);
        observation.is_some_and(|it| it.until > now && it.incarnation == instance.incarnation)
    }

    /// Lets an order that was refused be sent again sooner than one that was accepted.
    fn allow_resend(&mut self, id: &str) {
        if let Some(sent) = self.last_orders.get_mut(id) {
            // Half the interval, so that the same order isn't sent again at once.
            sent.at = sent.at.back(self.settings.resend_interval / 2);
        }
    }

    /// Whether a later owner formed the replica of `instance`.
    pub fn is_superseded(&self, instance: &Instance) -> bool {
        fence_of(instance).is_some_and(|it| it > self.fence)
    }

    /// Returns the orders to send now. `instances` are all known instances of the service.
    pub fn plan<'a>(
        &mut self,
        now: Time,
        engine: &Engine,
        instances: impl IntoIterator<Item = (&'a Instance, Presence)>,
    ) -> Vec<Action> {
        let all = Instances::new(instances);
        let engine = &self.allotment.apply(now, engine);
        self.expire(now, &all);
        self.needs_lease_check = false;
        let window = self.settings.load_window.as_secs_f64();
        self.load_limit = ((engine.load_rate * window) as usize).max(MIN_WINDOW_LOADS);
        if let Some(last_order) = self.previous_owner_end.take() {
            self.load_times.extend(std::iter::repeat_n(last_order, self.load_limit));
        }
        let mut actions = Vec::new();
        self.advance(now, engine, &all, &mut actions);
        self.adopt(now, engine, &all);
        let mut free = self.free_instances(now, &all, &mut actions);
        if all.known.len() > self.known_count {
            self.grown_at = now;
        }
        self.known_count = all.known.len();
        if self.are_loads_exempt && now.since(self.grown_at) < self.settings.settle_time {
            return actions;
        }
        self.rebalance(now, engine, &all, &free);
        self.reallocate(now, engine, &all, &free, &mut actions);
        self.form_replicas(now, engine, &all, &mut free, &mut actions);
        self.stage_weights(now, engine, &all, &free, &mut actions);
        actions
    }

    /// Returns the changes of replicas since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Records a change for [`Formation::take_changes`].
    fn record_change(&mut self, key: &Key, model: &Arc<str>, step: Step) {
        let (group, epoch) = key.clone();
        self.changes.push(Change { group, epoch, model: model.clone(), step });
    }

    /// Drops expired records and updates which instances are unlisted.
    fn expire(&mut self, now: Time, all: &Instances<'_>) {
        self.unreachable.retain(|_, it| it.until > now);
        self.reachable.retain(|_, it| it.until > now);
        self.mismatched.retain(|_, it| it.until > now);
        let validity = self.settings.leave_validity;
        self.left_members.retain(|_, at| now.since(*at) < validity);
        self.last_orders.retain(|id, _| all.find(id).is_some());
        self.loading.retain(|id, (until, model)| {
            *until > now && all.find_listed(id).is_some_and(|it| !has_weights(it, model))
        });
        let departed = all.known.iter().filter(|(_, (_, it))| *it == Presence::Departed);
        let departed: HashSet<Arc<str>> = departed.map(|(_, (it, _))| it.id.clone()).collect();
        for id in departed.difference(&self.unlisted) {
            // It has just become unlisted, and counts as reachable for as long as after an answer.
            let incarnation = all.find(id).map(|it| it.incarnation).unwrap_or_default();
            let until = now + self.settings.answer_validity;
            self.reachable.entry(id.clone()).or_insert(Observation { until, incarnation });
        }
        self.unlisted = departed;
    }

    /// Sends an order, unless the same one was sent within [`Settings::resend_interval`].
    fn send(
        &mut self,
        now: Time,
        all: &Instances<'_>,
        id: &Arc<str>,
        order: Order,
        actions: &mut Vec<Action>,
    ) {
        self.send_with(now, all, id, order, None, actions);
    }

    /// Orders an instance to join a replica, on the precondition that its state still allows it.
    fn join(
        &mut self,
        now: Time,
        all: &Instances<'_>,
        id: &Arc<str>,
        (key, replica): (&Key, &Replica),
        actions: &mut Vec<Action>,
    ) {
        let order = Order::Join {
            group: key.0.clone(),
            epoch: key.1,
            model: replica.model.clone(),
            members: replica.members.clone(),
        };
        let precondition = replica.precondition(key, id, self.first_epoch());
        self.send_with(now, all, id, order, precondition, actions);
    }

    /// Sends an order with a precondition, unless the same order was sent within
    /// [`Settings::resend_interval`].
    fn send_with(
        &mut self,
        now: Time,
        all: &Instances<'_>,
        id: &Arc<str>,
        order: Order,
        precondition: Option<Precondition>,
        actions: &mut Vec<Action>,
    ) {
        let Some(instance) = all.find(id) else { return };
        let interval = self.settings.resend_interval;
        let is_recent = |it: &SentOrder| it.order == order && now.since(it.at) < interval;
        if self.last_orders.get(id).is_some_and(is_recent) {
            return;
        }
        self.last_orders.insert(id.clone(), SentOrder { at: now, order: order.clone() });
        let Instance { address, incarnation, .. } = *instance;
        let is_load = order.model_to_load().is_some_and(|it| !has_weights(instance, it));
        let is_exempt_load = self.are_loads_exempt && is_load;
        actions.push(Action {
            id: id.clone(),
            address,
            incarnation,
            order,
            is_exempt_load,
            precondition,
        });
    }

    /// Whether an instance isn't known to be unreachable, and is listed or answered lately.
    fn is_reachable(&self, now: Time, all: &Instances<'_>, id: &str) -> bool {
        let Some(instance) = all.find(id) else { return false };
        !self.is_unreachable(now, instance)
            && (all.find_listed(id).is_some() || self.has_answered(instance))
    }

    /// Whether an instance is a member of a known replica and hasn't left it.
    fn is_member(&self, instance: &Instance) -> bool {
        let Some(fabric_domain) = &instance.fabric_domain else { return false };
        let id = &instance.id;
        let mut replicas = self.replicas.within(fabric_domain);
        replicas.any(|(_, it)| it.members.contains(id) && !it.released.contains(id))
    }

    /// Whether the state of this start of an instance differed from the plan lately.
    fn is_mismatched(&self, instance: &Instance) -> bool {
        self.mismatched.get(&instance.id).is_some_and(|it| it.incarnation == instance.incarnation)
    }

    /// Whether this start of an instance answered lately.
    fn has_answered(&self, instance: &Instance) -> bool {
        self.reachable.get(&instance.id).is_some_and(|it| it.incarnation == instance.incarnation)
    }

    /// Whether a member can be reached and hasn't restarted.
    fn is_present(&self, now: Time, all: &Instances<'_>, id: &str, incarnation: u64) -> bool {
        self.is_reachable(now, all, id)
            && all.find(id).is_some_and(|it| it.incarnation == incarnation)
    }

    /// Returns why a member can't be used any longer, or `None` if it can. A member that is no
    /// longer listed but answers is tolerated if `required` is [`Presence::Departed`], since it may
    /// only be cut off from the store.
    fn fault(
        &self,
        now: Time,
        all: &Instances<'_>,
        id: &str,
        incarnation: u64,
        required: Presence,
    ) -> Option<Reason> {
        let Some(instance) = all.find(id) else { return Some(Reason::NotListed) };
        if instance.incarnation != incarnation {
            return Some(Reason::Restarted);
        }
        if !self.is_reachable(now, all, id) {
            return Some(Reason::Unreachable);
        }
        match all.find_listed(id) {
            None if required == Presence::Listed => Some(Reason::NotListed),
            Some(it) if it.phase == Phase::Draining => Some(Reason::Draining),
            _ => None,
        }
    }

    /// Returns the state of `id` as a member of the replica `key`, unless it has left it.
    fn member_state(&self, all: &Instances<'_>, id: &Arc<str>, key: &Key) -> Option<State> {
        let member = all.find(id)?.member.as_ref()?;
        let is_same = member.group == key.0 && member.epoch == key.1;
        let has_left = self.left_members.contains_key(&(id.clone(), key.clone()));
        (is_same && !has_left).then_some(member.state)
    }
}
