//! Orders to instances.

use std::net::SocketAddr;
use std::sync::Arc;

use super::Formation;
use crate::gateway::fleet::{Member, Report, State};

/// First letter of the names of spares' replicas.
const SPARE: char = 's';

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

impl Formation {
    /// Whether `order` is the last one that an instance was sent.
    pub fn is_last_order(&self, id: &str, order: &Order) -> bool {
        self.sent.get(id).is_some_and(|it| it.order == *order)
    }
}

impl Order {
    /// The model whose weights it takes to the host, if they aren't there.
    pub(super) fn weights(&self) -> Option<&str> {
        match self {
            Order::Join { model, .. } | Order::Stage { model } => Some(model),
            Order::Open { .. } | Order::Close { .. } | Order::Leave { .. } => None,
        }
    }

    pub(super) fn leave((group, epoch): &(Arc<str>, u64)) -> Order {
        Order::Leave { group: group.clone(), epoch: *epoch }
    }
}

/// What becomes of the requests of a head that stops serving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Close {
    /// They end by themselves.
    Wait,
    /// They are cut off.
    Cut,
}

/// What an instance says to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// It has begun, or it is done.
    Accepted,
    /// It doesn't fit the instance's state. Nothing was done.
    Conflict,
    /// A later owner has given orders.
    Fenced,
    /// Another instance has the address.
    Misdirected,
    /// It is not understood, or the instance can't take it now.
    Refused,
}

/// An order and the instance that it is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Action {
    /// The instance.
    pub id: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// The start of it that is meant.
    pub born: u64,
    /// What it shall do.
    pub order: Order,
    /// Whether it begins a load that doesn't count as long as no caller was seen.
    pub is_exempt_load: bool,
    /// What it must say of itself before it is given the order, if that matters. It must not have
    /// taken another order since it said so.
    pub precondition: Option<Precondition>,
}

/// What the plan took for granted of an instance that it uses for a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Precondition {
    /// The start of it.
    pub born: u64,
    /// The replica that it is to join, which it may have done already.
    pub replica: (Arc<str>, u64),
    /// The first epoch of this owner. What it formed itself and uses again has not served.
    pub first_epoch: u64,
}

/// What becomes of an order by what the instance says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is given.
    Proceed,
    /// The instance leaves its replica first, by this order.
    LeaveFirst(Order),
    /// The instance is not what the plan took it for.
    Mismatch,
}

impl Precondition {
    /// Whether an instance that says this can be used. One that doesn't count its orders can't be
    /// held to what it says.
    pub fn check(&self, report: &Report) -> Verdict {
        match &report.member {
            _ if report.incarnation != self.born || report.orders.is_none() => Verdict::Mismatch,
            Some(it) if !self.allows(Some(it)) => Verdict::Mismatch,
            Some(it) if may_serve(it) && !it.is_of(&self.replica) => {
                Verdict::LeaveFirst(Order::leave(&it.key()))
            }
            _ => Verdict::Proceed,
        }
    }

    /// Whether an instance in this place may be used, perhaps after it has left. What it joined
    /// after the replica that it is to join, it stays in.
    pub(super) fn allows(&self, member: Option<&Member>) -> bool {
        let Some(member) = member else { return true };
        if member.epoch > self.replica.1 {
            return false;
        }
        let own = member.epoch >= self.first_epoch && !serves(member);
        own || member.is_of(&self.replica) || !may_serve(member)
    }
}

/// Whether an instance is the head of a replica that serves.
pub(super) fn serves(member: &Member) -> bool {
    matches!(member.state, State::Open | State::Closing)
}

/// Whether the replica of an instance may serve, or begin to without an order that the instance
/// would count. What happens to its head doesn't show in a member, and a head that is ready may be
/// opening. A spare's replica never serves.
pub(super) fn may_serve(member: &Member) -> bool {
    match member.state {
        State::Open | State::Closing => true,
        State::Ready => !is_spare(&member.group),
        State::Joining | State::Broken => member.rank > 0,
    }
}

/// The name of a replica.
pub(super) fn replica(epoch: u64) -> Arc<str> {
    format!("r{epoch}").into()
}

/// The name of a replica of one that never serves.
pub(super) fn spare(epoch: u64) -> Arc<str> {
    format!("{SPARE}{epoch}").into()
}

/// Whether a replica is that of a spare, by its name.
pub(super) fn is_spare(group: &str) -> bool {
    group.starts_with(SPARE)
}
