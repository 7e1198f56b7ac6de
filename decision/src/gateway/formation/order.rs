//! Orders to instances, and the preconditions under which they are given.

use std::net::SocketAddr;
use std::sync::Arc;

use super::Formation;
use crate::gateway::fleet::{Member, Report, State};

/// First letter of the names of spare replicas.
const SPARE_PREFIX: char = 's';

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
    /// Start to serve. For a head.
    Open {
        /// Name of the replica.
        group: Arc<str>,
        /// Its epoch.
        epoch: u64,
    },
    /// Stop serving. For a head.
    Close {
        /// Name of the replica.
        group: Arc<str>,
        /// Its epoch.
        epoch: u64,
        /// What happens to the requests that it runs.
        mode: Close,
    },
    /// Leave a replica.
    Leave {
        /// Name of the replica.
        group: Arc<str>,
        /// Its epoch.
        epoch: u64,
    },
    /// Load the weights of a model onto the host.
    Stage {
        /// The model.
        model: Arc<str>,
    },
}

impl Formation {
    /// Whether `order` is the last order that was sent to the instance `id`.
    pub fn is_last_order(&self, id: &str, order: &Order) -> bool {
        self.last_orders.get(id).is_some_and(|it| it.order == *order)
    }
}

impl Order {
    /// Returns the model whose weights the order loads onto the host if they aren't there yet.
    pub(super) fn model_to_load(&self) -> Option<&str> {
        match self {
            Order::Join { model, .. } | Order::Stage { model } => Some(model),
            Order::Open { .. } | Order::Close { .. } | Order::Leave { .. } => None,
        }
    }

    /// Creates an order to leave a replica.
    pub(super) fn leave((group, epoch): &(Arc<str>, u64)) -> Order {
        Order::Leave { group: group.clone(), epoch: *epoch }
    }
}

/// What happens to the requests of a head that stops serving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Close {
    /// They run to their end.
    Wait,
    /// They are aborted.
    Cut,
}

/// The reply of an instance to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The order was accepted. It is being carried out or is already done.
    Accepted,
    /// The order conflicts with the state of the instance, which did nothing.
    Conflict,
    /// The instance has seen a later owner or joined a later replica.
    Fenced,
    /// Another instance listens on the address.
    Misdirected,
    /// The instance did not understand the order or can't take it now.
    Refused,
}

/// An order to be sent, with the instance that it is for and the conditions under which it is
/// sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Action {
    /// Identifier of the instance.
    pub id: Arc<str>,
    /// Address that the instance listens on.
    pub address: SocketAddr,
    /// The start of the instance that the order is for.
    pub incarnation: u64,
    /// The order.
    pub order: Order,
    /// Whether it begins a weight load that is exempt from the load rate. The order lapses with
    /// the first request of a caller.
    pub is_exempt_load: bool,
    /// What the instance must report before it is given the order, if anything. It must not have
    /// accepted another order since that report.
    pub precondition: Option<Precondition>,
}

/// What a plan assumes of an instance that is to join a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Precondition {
    /// The start of the instance.
    pub incarnation: u64,
    /// Name and epoch of the replica to join. The instance may have joined it already.
    pub replica: (Arc<str>, u64),
    /// First epoch of this owner. The owner reuses instances of its own replicas only if these have
    /// not served.
    pub first_epoch: u64,
}

/// What to do with an order, by the report of the instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Give the order.
    Proceed,
    /// Give this order to leave first.
    LeaveFirst(Order),
    /// Withhold the order: the state of the instance differs from the plan.
    Mismatch,
}

impl Precondition {
    /// Checks the report of the instance. A report without a count of orders never passes, since
    /// it doesn't show whether the instance has accepted another order since.
    pub fn check(&self, report: &Report) -> Verdict {
        match &report.member {
            _ if report.incarnation != self.incarnation || report.orders.is_none() => {
                Verdict::Mismatch
            }
            Some(it) if !self.allows(Some(it)) => Verdict::Mismatch,
            Some(it) if may_serve(it) && !it.is_of(&self.replica) => {
                Verdict::LeaveFirst(Order::leave(&it.key()))
            }
            _ => Verdict::Proceed,
        }
    }

    /// Whether an instance with this membership may be used, perhaps once it has left its replica.
    /// It stays in a replica whose epoch is later than that of the replica to join.
    pub(super) fn allows(&self, member: Option<&Member>) -> bool {
        let Some(member) = member else { return true };
        if member.epoch > self.replica.1 {
            return false;
        }
        let is_own = member.epoch >= self.first_epoch && !is_serving(member);
        is_own || member.is_of(&self.replica) || !may_serve(member)
    }
}

/// Whether a member is a head that serves or ends its requests.
pub(super) fn is_serving(member: &Member) -> bool {
    matches!(member.state, State::Open | State::Closing)
}

/// Whether the replica of a member may serve, or may begin to without an order that this member
/// would count. The state of a member with a rank above 0 doesn't show what its head does, and a
/// head that is ready may be opening. A spare replica never serves.
pub(super) fn may_serve(member: &Member) -> bool {
    match member.state {
        State::Open | State::Closing => true,
        State::Ready => !is_spare(&member.group),
        State::Joining | State::Broken => member.rank > 0,
    }
}

/// Returns the name of the replica with this epoch.
pub(super) fn replica_name(epoch: u64) -> Arc<str> {
    format!("r{epoch}").into()
}

/// Returns the name of the spare replica with this epoch: it has one member and never serves.
pub(super) fn spare_name(epoch: u64) -> Arc<str> {
    format!("{SPARE_PREFIX}{epoch}").into()
}

/// Whether `group` is the name of a spare replica.
pub(super) fn is_spare(group: &str) -> bool {
    group.starts_with(SPARE_PREFIX)
}
