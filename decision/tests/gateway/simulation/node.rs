//! A simulated instance, and how it carries out orders.

use std::sync::Arc;

use decision::gateway::engine::Engine;
use decision::gateway::fleet::{Instance, Member, Report, State};
use decision::gateway::formation::{Close, Order, Reply};

use super::ReplicaKey;
use crate::support::ms;

/// Time, in milliseconds, after which a head that has lost a member reports that it is broken.
const MEMBER_LOSS_TIMEOUT_MS: u64 = 6_000;

/// The actual state of an instance, which the list may show late or not at all.
#[derive(Clone, Debug)]
pub(crate) struct Node {
    pub(crate) instance: Instance,
    /// The members of its replica, the head first.
    pub(crate) members: Vec<Arc<str>>,
    /// The operation that it carries out, and when that ends.
    operation: Option<(Operation, u64)>,
    pub(super) is_dead: bool,
    /// Since when it is partitioned from the store of the list.
    pub(super) partitioned_since: Option<u64>,
    /// The entry that the list shows while it is partitioned from the store.
    pub(super) listed_as: Option<Instance>,
    /// Whether it is partitioned from the owners too, although it goes on serving.
    pub(super) is_isolated: bool,
    /// When its state changes to broken, if it is a head that has lost a member.
    breaks_at: Option<u64>,
    /// Number of orders that it has accepted since its start.
    pub(super) orders: u64,
    /// Its past and current reports, each with the time from which it holds.
    reports: Vec<(u64, Report)>,
    /// The order count and the state of its latest report. A new report follows when one of them
    /// changes.
    recorded: Option<(u64, Option<State>)>,
    /// The highest fencing token that it has seen.
    fence: u64,
    /// The last replica that it joined, and the members of that replica.
    last_join: Option<(ReplicaKey, Vec<Arc<str>>)>,
}

/// An operation that takes time and ends in another state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Operation {
    Joining,
    Opening,
    Closing,
}

/// An order with the fencing token of its owner.
#[derive(Clone, Debug)]
pub(crate) struct Message<'a> {
    pub(crate) order: &'a Order,
    pub(crate) fence: u64,
    /// The order count at which the instance must still be, if the owner requires one.
    pub(crate) expected_orders: Option<u64>,
}

/// What the reply to an order depends on besides the instance and the order.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Context<'a> {
    pub(crate) engine: &'a Engine,
    /// Whether the instance refuses an order whose fencing token is lower than one that it has
    /// seen.
    pub(crate) has_fencing: bool,
    /// Whether the instance refuses the order if it is carrying out another one.
    pub(crate) is_refused: bool,
    /// Milliseconds that a closing head needs to finish its requests.
    pub(crate) close_time: u64,
}

impl Node {
    pub(super) fn new(instance: Instance) -> Node {
        Node {
            instance,
            members: Vec::new(),
            operation: None,
            is_dead: false,
            partitioned_since: None,
            listed_as: None,
            is_isolated: false,
            breaks_at: None,
            orders: 0,
            reports: Vec::new(),
            recorded: None,
            fence: 0,
            last_join: None,
        }
    }

    pub(super) fn key(&self) -> Option<ReplicaKey> {
        self.instance.member.as_ref().map(|it| (it.group.clone(), it.epoch))
    }

    pub(super) fn state(&self) -> Option<State> {
        self.instance.member.as_ref().map(|it| it.state)
    }

    pub(super) fn is_head(&self) -> bool {
        self.instance.member.as_ref().is_some_and(|it| it.rank == 0)
    }

    /// Whether it may be running requests, also if these are stalled because a member is lost.
    pub(super) fn may_serve(&self) -> bool {
        !self.is_dead
            && self.is_head()
            && matches!(self.state(), Some(State::Open | State::Closing))
    }

    /// Returns the report that held at `at`, or the first one if all are later.
    pub(super) fn report(&self, at: u64) -> Report {
        let report = self.reports.iter().rev().find(|(since, _)| *since <= at);
        report.or(self.reports.first()).map_or_else(|| self.current(), |(_, it)| it.clone())
    }

    fn current(&self) -> Report {
        let Instance { incarnation, staged, model, member, .. } = self.instance.clone();
        Report { incarnation, staged, model, member, orders: Some(self.orders) }
    }

    /// Keeps a new report if the order count or the state has changed.
    pub(super) fn record(&mut self, now: u64) {
        let recorded = (self.orders, self.state());
        if self.recorded != Some(recorded) {
            self.recorded = Some(recorded);
            self.reports.push((now, self.current()));
        }
    }

    /// Ends the operation whose time has come. `has_lost_member` says whether it is a head whose
    /// replica lacks a member. Returns the replica of which it has become a ready member, if any.
    pub(super) fn advance(&mut self, now: u64, has_lost_member: bool) -> Option<ReplicaKey> {
        if self.is_dead {
            return None;
        }
        self.breaks_at =
            has_lost_member.then(|| self.breaks_at.unwrap_or(now + MEMBER_LOSS_TIMEOUT_MS));
        if self.breaks_at.is_some_and(|it| it <= now) {
            self.set_state(State::Broken);
            self.operation = None;
            return None;
        }
        let (operation, _) = self.operation.filter(|(_, until)| *until <= now)?;
        if has_lost_member && operation == Operation::Closing {
            return None;
        }
        self.operation = None;
        match operation {
            Operation::Joining => {
                self.instance.staged = self.instance.model.clone().into_iter().collect();
                self.set_state(State::Ready);
                return self.key();
            }
            Operation::Opening => self.set_state(State::Open),
            Operation::Closing => self.set_state(State::Ready),
        }
        None
    }

    /// Carries out an order or refuses it, and returns the reply.
    pub(super) fn receive(
        &mut self,
        now: u64,
        message: &Message<'_>,
        context: &Context<'_>,
    ) -> Reply {
        let reply = self.handle(now, message, context);
        self.record(now);
        reply
    }

    fn handle(&mut self, now: u64, message: &Message<'_>, context: &Context<'_>) -> Reply {
        if context.has_fencing {
            if message.fence < self.fence {
                return Reply::Fenced;
            }
            self.fence = message.fence;
        }
        let is_outdated = message.expected_orders.is_some_and(|it| it != self.orders);
        if is_outdated || (context.is_refused && self.operation.is_some()) {
            return Reply::Conflict;
        }
        match message.order {
            Order::Join { group, epoch, model, members } => {
                self.join(now, &(group.clone(), *epoch), model, members, context)
            }
            Order::Open { group, epoch } => self.open(now, &(group.clone(), *epoch), context),
            Order::Close { group, epoch, mode } => {
                self.close(now, &(group.clone(), *epoch), *mode, context)
            }
            Order::Leave { group, epoch } => self.leave(&(group.clone(), *epoch)),
            Order::Stage { model } => {
                self.orders += 1;
                self.instance.staged = vec![model.clone()];
                Reply::Accepted
            }
        }
    }

    fn join(
        &mut self,
        now: u64,
        key: &ReplicaKey,
        model: &Arc<str>,
        members: &[Arc<str>],
        context: &Context<'_>,
    ) -> Reply {
        let is_outdated = |(last, last_members): &(ReplicaKey, Vec<Arc<str>>)| {
            key.1 < last.1 || (key == last && members != last_members)
        };
        if self.last_join.as_ref().is_some_and(is_outdated) {
            return Reply::Fenced;
        }
        if self.key().as_ref() == Some(key) {
            return Reply::Accepted;
        }
        let Some(model) = context.engine.model(model) else { return Reply::Conflict };
        let rank = members.iter().position(|it| *it == self.instance.id).unwrap_or_default();
        let duration = match self.instance.staged.contains(&model.name) {
            true if self.instance.model.as_ref() == Some(&model.name) => ms(200),
            true => model.warm_load_time,
            false => model.load_time,
        };
        let wait = u64::try_from(duration.as_millis()).unwrap_or_default();
        let (group, epoch) = key.clone();
        let rank = u32::try_from(rank).unwrap_or_default();
        self.instance.member = Some(Member { group, epoch, rank, state: State::Joining });
        self.instance.model = Some(model.name.clone());
        self.members = members.to_vec();
        self.last_join = Some((key.clone(), members.to_vec()));
        self.breaks_at = None;
        self.start(Operation::Joining, now + wait)
    }

    fn open(&mut self, now: u64, key: &ReplicaKey, context: &Context<'_>) -> Reply {
        if self.key().as_ref() != Some(key) || !self.is_head() {
            return Reply::Conflict;
        }
        match self.state() {
            Some(State::Open) => Reply::Accepted,
            Some(State::Ready) if self.operation.is_some() => Reply::Accepted,
            Some(State::Ready) => {
                let wait = u64::try_from(context.engine.open_time.as_millis()).unwrap_or_default();
                self.start(Operation::Opening, now + wait)
            }
            _ => Reply::Conflict,
        }
    }

    fn close(&mut self, now: u64, key: &ReplicaKey, mode: Close, context: &Context<'_>) -> Reply {
        if self.key().as_ref() != Some(key) {
            return Reply::Conflict;
        }
        match (self.state(), mode) {
            (Some(State::Open), Close::Wait) => {
                self.set_state(State::Closing);
                self.start(Operation::Closing, now + context.close_time)
            }
            (Some(State::Closing), Close::Wait) => Reply::Accepted,
            (Some(State::Ready), _) if self.operation.is_none() => Reply::Accepted,
            (Some(State::Joining) | None, _) => Reply::Conflict,
            _ => {
                self.set_state(State::Ready);
                self.operation = None;
                self.orders += 1;
                Reply::Accepted
            }
        }
    }

    /// Leaves the replica `key`. An instance that is no member of it has nothing to do.
    fn leave(&mut self, key: &ReplicaKey) -> Reply {
        if self.key().as_ref() == Some(key) {
            self.instance.member = None;
            self.members.clear();
            self.operation = None;
            self.breaks_at = None;
            self.orders += 1;
        }
        Reply::Accepted
    }

    /// Starts an operation, which counts as an accepted order.
    fn start(&mut self, operation: Operation, until: u64) -> Reply {
        self.operation = Some((operation, until));
        self.orders += 1;
        Reply::Accepted
    }

    fn set_state(&mut self, state: State) {
        if let Some(member) = &mut self.instance.member {
            member.state = state;
        }
    }
}
