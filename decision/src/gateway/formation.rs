//! What is to be formed, healed and staged on the instances of one service.
//!
//! [`Formation::plan`] compares what the list shows with what should be and returns orders. It
//! is level-triggered: an order that had no effect is sent again, and one that has its effect
//! late does no harm, since each replica has an epoch of its own and later epochs go first.

mod adopt;
mod change;
mod ending;
mod group;
mod groups;
mod life;
mod order;
mod reallot;
mod settings;
mod staging;
mod supply;
mod view;
mod weight;

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;

pub use change::{Cause, Change, Reason, Step};
pub use order::{Action, Close, Order, Precondition, Reply, Verdict};
pub use settings::Settings;

use crate::gateway::allotment::Allotment;
use crate::gateway::engine::Engine;
use crate::gateway::fleet::{Instance, Phase, Presence, State};
use crate::prelude::*;
use group::{Group, Stage};
use groups::Groups;
use reallot::Case;
use view::{Instances, has};

/// Epochs of one owner. The owner's fencing token is the part above.
const EPOCHS: u64 = 1_000_000;

/// Highest fencing token that is taken for one. Replicas of other writers may have any epoch.
const MAX_FENCE: u64 = u32::MAX as u64;

/// Loads that may begin in a window however low the rate.
const MIN_LOADS: usize = 6;

/// How much depends on an instance whose entry is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// A replica that serves as soon as it is ready.
    Forming,
    /// A replica that serves.
    Member,
    /// Whether it is worth while to wait for it.
    Spare,
}

/// The replicas of one service, as their owner wants them.
#[derive(Debug)]
pub struct Formation {
    settings: Settings,
    fence: u64,
    counter: u64,
    groups: Groups,
    sent: HashMap<Arc<str>, Sent>,
    dead: HashMap<Arc<str>, Dead>,
    /// Instances that answered, and when.
    vouched: HashMap<Arc<str>, Dead>,
    /// Instances that are not what they were taken for, and until when that counts.
    contested: HashMap<Arc<str>, Dead>,
    /// Members that said they have left, before the list shows it.
    left: HashMap<(Arc<str>, Key), Time>,
    loads: VecDeque<Time>,
    /// Which instance loads which model, and until when at most.
    loading: HashMap<Arc<str>, (Time, Arc<str>)>,
    departed: HashSet<Arc<str>>,
    /// The free instances of each fabric domain, and since when they are the same.
    calm: HashMap<Arc<str>, (Vec<Arc<str>>, Time)>,
    load_limit: usize,
    are_loads_exempt: bool,
    /// When the last owner may have begun as many loads as are allowed.
    used_up: Option<Time>,
    known: usize,
    grown: Time,
    /// When the lease was asked for last that turned out to be this owner's.
    held: Option<Time>,
    /// Whether a replica is ready to be opened once the lease has been read.
    waits: bool,
    changes: Vec<Change>,
    /// What callers ask for.
    allotment: Allotment,
    /// What speaks for a move between models.
    case: Case,
}

type Key = (Arc<str>, u64);

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

/// The fencing token of the owner that formed the replica of an instance.
pub fn fence_of(instance: &Instance) -> Option<u64> {
    let fence = instance.member.as_ref()?.epoch / EPOCHS;
    (fence <= MAX_FENCE).then_some(fence)
}

impl Formation {
    /// Nothing formed yet, for the owner whose fencing token is `fence`.
    pub fn new(fence: u64, settings: Settings) -> Formation {
        Formation {
            settings,
            fence,
            counter: 0,
            groups: Groups::default(),
            sent: HashMap::new(),
            dead: HashMap::new(),
            vouched: HashMap::new(),
            contested: HashMap::new(),
            left: HashMap::new(),
            loads: VecDeque::new(),
            loading: HashMap::new(),
            departed: HashSet::new(),
            calm: HashMap::new(),
            load_limit: 0,
            are_loads_exempt: false,
            used_up: None,
            known: 0,
            grown: Time::ZERO,
            held: None,
            waits: false,
            changes: Vec::new(),
            allotment: Allotment::default(),
            case: Case::default(),
        }
    }

    /// The owner's fencing token.
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Says whether loads count now. Before the first request of all, they don't.
    pub fn set_loads_exempt(&mut self, is_exempt: bool) {
        self.are_loads_exempt = is_exempt;
    }

    /// Notes that the lease was still this owner's when it was asked for.
    pub fn confirm_lease(&mut self, asked: Time) {
        self.held = self.held.max(Some(asked));
    }

    /// Whether a replica waits to be opened until the lease has been read.
    pub fn is_waiting_for_lease(&self) -> bool {
        self.waits
    }

    /// Notes when another owner may have given its last orders: since the window before it, as many
    /// loads as are allowed.
    pub fn charge_previous_owner(&mut self, last: Time) {
        self.used_up = Some(last);
    }

    /// Notes that an instance can't be reached. It is given no work for a while.
    pub fn mark_unreachable(&mut self, now: Time, id: &Arc<str>, born: u64) {
        let until = now + self.settings.unreachable_backoff;
        self.dead.insert(id.clone(), Dead { until, born });
    }

    /// Notes that an instance can be reached.
    pub fn mark_reachable(&mut self, now: Time, id: &Arc<str>, born: u64) {
        self.dead.remove(id);
        let until = now + self.settings.answer_validity;
        self.vouched.insert(id.clone(), Dead { until, born });
    }

    /// Notes what an instance said to an order. `born` is the start of it that was meant.
    pub fn record_reply(
        &mut self,
        now: Time,
        id: &Arc<str>,
        born: u64,
        order: &Order,
        reply: Reply,
    ) {
        match reply {
            Reply::Accepted => {
                self.mark_reachable(now, id, born);
                if let Order::Leave { group, epoch } = order {
                    self.left.insert((id.clone(), (group.clone(), *epoch)), now);
                }
            }
            Reply::Conflict => {
                self.mark_reachable(now, id, born);
                if matches!(order, Order::Join { .. }) {
                    self.mark_mismatched(now, id, born);
                }
            }
            Reply::Fenced | Reply::Misdirected | Reply::Refused => self.refused(id),
        }
    }

    /// Notes that an instance is not what the plan took it for. It is left alone until the list
    /// has had time to show what it is.
    pub fn mark_mismatched(&mut self, now: Time, id: &Arc<str>, born: u64) {
        let until = now + self.settings.mismatch_backoff;
        self.contested.insert(id.clone(), Dead { until, born });
    }

    /// Instances whose entries are gone, and who are asked whether they live: members of replicas
    /// often, the others now and then.
    pub fn unlisted(&self) -> Vec<(Arc<str>, Role)> {
        if self.departed.is_empty() {
            return Vec::new();
        }
        let of = |stage| {
            let groups = self.groups.values().filter(move |it| it.stage == stage);
            groups.flat_map(|it| it.members.iter()).collect::<HashSet<_>>()
        };
        let (forming, whole) = (of(Stage::Forming), of(Stage::Whole));
        let doubt = |id: &Arc<str>| match (forming.contains(id), whole.contains(id)) {
            (true, _) => Role::Forming,
            (_, true) => Role::Member,
            _ => Role::Spare,
        };
        self.departed.iter().map(|id| (id.clone(), doubt(id))).collect()
    }

    /// Whether `head` leads a replica that is taken for whole, so that it matters whether all its
    /// members live.
    pub fn is_complete(&self, head: &str) -> bool {
        let mut whole = self.groups.values().filter(|it| it.stage == Stage::Whole);
        whole.any(|it| *it.members[0] == *head)
    }

    /// Whether the instance is known not to be reachable.
    pub fn is_unreachable(&self, now: Time, instance: &Instance) -> bool {
        let dead = self.dead.get(&instance.id);
        dead.is_some_and(|it| it.until > now && it.born == instance.incarnation)
    }

    /// Notes that an order was refused, so that it isn't waited for.
    fn refused(&mut self, id: &str) {
        if let Some(sent) = self.sent.get_mut(id) {
            // Allows the next order at the next plan, but not the same one at once.
            sent.at = sent.at.back(self.settings.resend_interval / 2);
        }
    }

    /// Whether an instance is a member of a replica that a later owner formed.
    pub fn is_superseded(&self, instance: &Instance) -> bool {
        fence_of(instance).is_some_and(|it| it > self.fence)
    }

    /// The orders to give now, given all instances of the service.
    pub fn plan<'a>(
        &mut self,
        now: Time,
        engine: &Engine,
        instances: impl IntoIterator<Item = (&'a Instance, Presence)>,
    ) -> Vec<Action> {
        let all = Instances::new(instances);
        let engine = &self.allotment.apply(now, engine);
        self.forget(now, &all);
        self.waits = false;
        let window = self.settings.load_window.as_secs_f64();
        self.load_limit = ((engine.load_rate * window) as usize).max(MIN_LOADS);
        if let Some(last) = self.used_up.take() {
            self.loads.extend(std::iter::repeat_n(last, self.load_limit));
        }
        let mut actions = Vec::new();
        self.advance(now, engine, &all, &mut actions);
        self.adopt(now, engine, &all);
        let mut free = self.free(now, &all, &mut actions);
        if all.known.len() > self.known {
            self.grown = now;
        }
        self.known = all.known.len();
        if self.are_loads_exempt && now.since(self.grown) < self.settings.settle_time {
            return actions;
        }
        self.rebalance(now, engine, &all, &free);
        self.reallot(now, engine, &all, &free, &mut actions);
        self.form(now, engine, &all, &mut free, &mut actions);
        self.stage(now, engine, &all, &free, &mut actions);
        actions
    }

    /// What has become of replicas since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    fn note(&mut self, key: &Key, model: &Arc<str>, step: Step) {
        let (group, epoch) = key.clone();
        self.changes.push(Change { group, epoch, model: model.clone(), step });
    }

    /// Drops what has lapsed, and brings up to date which entries are gone.
    fn forget(&mut self, now: Time, all: &Instances<'_>) {
        self.dead.retain(|_, it| it.until > now);
        self.vouched.retain(|_, it| it.until > now);
        self.contested.retain(|_, it| it.until > now);
        let left = self.settings.leave_validity;
        self.left.retain(|_, at| now.since(*at) < left);
        self.sent.retain(|id, _| all.recall(id).is_some());
        self.loading.retain(|id, (until, model)| {
            *until > now && all.get(id).is_some_and(|it| !has(it, model))
        });
        let departed = all.known.iter().filter(|(_, (_, it))| *it == Presence::Departed);
        let departed: HashSet<Arc<str>> = departed.map(|(_, (it, _))| it.id.clone()).collect();
        for id in departed.difference(&self.departed) {
            // Its entry went a moment ago: it has the time of one answer to show that it lives.
            let born = all.recall(id).map(|it| it.incarnation).unwrap_or_default();
            let until = now + self.settings.answer_validity;
            self.vouched.entry(id.clone()).or_insert(Dead { until, born });
        }
        self.departed = departed;
    }

    fn next_epoch(&mut self) -> u64 {
        self.counter += 1;
        self.fence * EPOCHS + self.counter
    }

    /// The first epoch of this owner.
    fn first_epoch(&self) -> u64 {
        self.fence * EPOCHS
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
        self.send_if(now, all, id, order, None, actions);
    }

    /// Lets an instance join a replica, if the precondition is true.
    fn join(
        &mut self,
        now: Time,
        all: &Instances<'_>,
        id: &Arc<str>,
        (key, group): (&Key, &Group),
        actions: &mut Vec<Action>,
    ) {
        let order = Order::Join {
            group: key.0.clone(),
            epoch: key.1,
            model: group.model.clone(),
            members: group.members.clone(),
        };
        let precondition = group.precondition(key, id, self.first_epoch());
        self.send_if(now, all, id, order, precondition, actions);
    }

    fn send_if(
        &mut self,
        now: Time,
        all: &Instances<'_>,
        id: &Arc<str>,
        order: Order,
        precondition: Option<Precondition>,
        actions: &mut Vec<Action>,
    ) {
        let Some(instance) = all.recall(id) else { return };
        let repeat = self.settings.resend_interval;
        let recent = |it: &Sent| it.order == order && now.since(it.at) < repeat;
        if self.sent.get(id).is_some_and(recent) {
            return;
        }
        self.sent.insert(id.clone(), Sent { at: now, order: order.clone() });
        let Instance { address, incarnation: born, .. } = *instance;
        let loads = order.weights().is_some_and(|it| !has(instance, it));
        let is_exempt_load = self.are_loads_exempt && loads;
        actions.push(Action { id: id.clone(), address, born, order, is_exempt_load, precondition });
    }

    fn is_reachable(&self, now: Time, all: &Instances<'_>, id: &str) -> bool {
        let Some(instance) = all.recall(id) else { return false };
        !self.is_unreachable(now, instance) && (all.get(id).is_some() || self.is_vouched(instance))
    }

    /// Whether an instance is a member of a replica that is known and that it has not left.
    fn is_taken(&self, instance: &Instance) -> bool {
        let Some(fabric) = &instance.fabric_domain else { return false };
        let id = &instance.id;
        let mut groups = self.groups.within(fabric);
        groups.any(|(_, it)| it.members.contains(id) && !it.gone.contains(id))
    }

    fn is_contested(&self, instance: &Instance) -> bool {
        self.contested.get(&instance.id).is_some_and(|it| it.born == instance.incarnation)
    }

    fn is_vouched(&self, instance: &Instance) -> bool {
        self.vouched.get(&instance.id).is_some_and(|it| it.born == instance.incarnation)
    }

    /// Whether a member is the one that it was and can be reached.
    fn is_present(&self, now: Time, all: &Instances<'_>, id: &str, born: u64) -> bool {
        self.is_reachable(now, all, id) && all.recall(id).is_some_and(|it| it.incarnation == born)
    }

    /// What is the matter with a member, if it isn't where it was, alive, and stays. It may be cut
    /// off from the list for a while if `least` says so.
    fn fault(
        &self,
        now: Time,
        all: &Instances<'_>,
        id: &str,
        born: u64,
        least: Presence,
    ) -> Option<Reason> {
        let Some(instance) = all.recall(id) else { return Some(Reason::NotListed) };
        if instance.incarnation != born {
            return Some(Reason::Restarted);
        }
        if !self.is_reachable(now, all, id) {
            return Some(Reason::Unreachable);
        }
        match all.get(id) {
            None if least == Presence::Listed => Some(Reason::NotListed),
            Some(it) if it.phase == Phase::Draining => Some(Reason::Draining),
            _ => None,
        }
    }

    /// What is known of `id` as a member of the replica `key`.
    fn state(&self, all: &Instances<'_>, id: &Arc<str>, key: &Key) -> Option<State> {
        let member = all.recall(id)?.member.as_ref()?;
        let here = member.group == key.0 && member.epoch == key.1;
        let left = self.left.contains_key(&(id.clone(), key.clone()));
        (here && !left).then_some(member.state)
    }
}
