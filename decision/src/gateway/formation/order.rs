//! Orders to instances.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::gateway::fleet::{Instance, Report, State};

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

impl Order {
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
pub enum Taken {
    /// It has begun, or it is done.
    Yes,
    /// It doesn't fit the instance's state. Nothing was done.
    Conflict,
    /// A later owner has given orders.
    Fenced,
    /// Another instance has the address.
    Misdirected,
    /// It is not understood, or the instance can't take it now.
    No,
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
    /// What it must say of itself before it is given the order, if that matters. It must not have
    /// taken another order since it said so.
    pub premise: Option<Premise>,
}

/// What the plan took for granted of an instance that it uses for a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Premise {
    /// The start of it.
    pub born: u64,
    /// The replica that it may still be a member of, since that serves no more.
    pub was: Option<(Arc<str>, u64)>,
    /// The first epoch of this owner. What it formed itself and uses again never served.
    pub own: u64,
}

impl Premise {
    /// What `order` takes for granted of an instance that looks like this, for the owner whose first
    /// epoch is `own`. None if it only concerns the replica that it names.
    pub(super) fn of(order: &Order, instance: &Instance, own: u64) -> Option<Premise> {
        let Order::Join { .. } = order else { return None };
        let was = instance.member.as_ref().map(|it| (it.group.clone(), it.epoch));
        Some(Premise { born: instance.born, was, own })
    }

    /// Whether it is true by what the instance says of itself.
    pub fn holds(&self, report: &Report) -> bool {
        let Some(member) = &report.member else { return report.born == self.born };
        let serves = matches!(member.state, State::Open | State::Closing);
        let was = self.was.as_ref();
        let was =
            was.is_some_and(|(group, epoch)| *group == member.group && *epoch == member.epoch);
        // What happens to a head shows in the orders that it takes, what happens to the head of a
        // member does not.
        let free = member.rank == 0 || was || member.epoch >= self.own;
        report.born == self.born && free && !serves
    }
}
