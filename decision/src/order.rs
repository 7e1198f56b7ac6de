//! Orders to model engines.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::evidence::in_place;
use crate::fabric::{Fabric, Member, Replica, State};
use crate::lifecycle::Context;
use crate::prelude::*;
use crate::report::Report;
use crate::target::Epoch;

/// An order as an engine receives it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The fencing number: the epoch of the owner that sends the order.
    pub epoch: Epoch,
    /// What to do.
    pub action: Action,
    /// The replica that the order is about.
    pub replica: Name,
    /// The replica's model.
    pub model: Name,
    /// Every instance of the replica, by rank.
    pub members: Vec<Peer>,
    /// The rank of the engine that receives the order.
    pub rank: u32,
}

/// What an order asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Load the model and join the replica.
    Load,
    /// Leave the replica and drop the model.
    Unload,
}

/// Where one rank of a replica reaches another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// The instance.
    pub instance: Name,
    /// Its engine's address.
    pub address: SocketAddr,
}

/// An order on its way to one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// The instance that receives the order.
    pub instance: Name,
    /// Its engine's address.
    pub address: SocketAddr,
    /// The order.
    pub order: Order,
    /// When the sender's lease ends by its own clock. The order must not leave at or after it.
    pub expires: Time,
}

impl Dispatch {
    /// Whether the order may still leave. Must be the last check before the first byte is sent.
    pub fn may_leave(&self, now: Time) -> bool {
        now < self.expires
    }
}

/// The orders that the engines of `fabric` have yet to follow.
pub(crate) fn due(context: &Context<'_>, fabric: &Fabric) -> Vec<Dispatch> {
    let mut due = strays(context, fabric);
    for (name, replica) in &fabric.replicas {
        let action = match replica.state {
            State::Loading if replica.epoch == context.held.epoch => Action::Load,
            State::Released if context.is_out(name) => Action::Unload,
            _ => continue,
        };
        for (rank, member) in replica.members.iter().enumerate() {
            if follows(context, name, replica, rank, member, action) {
                continue;
            }
            let order = order(name, replica, rank, action, context.held.epoch);
            due.push(dispatch(context, &member.instance, member.address, order));
        }
    }
    due
}

fn follows(
    context: &Context<'_>,
    name: &Name,
    replica: &Replica,
    rank: usize,
    member: &Member,
    action: Action,
) -> bool {
    let Some(report) = context.report(member) else {
        // An unload of a silent instance waits for its report.
        return action == Action::Unload;
    };
    match action {
        Action::Load => in_place(name, replica, rank, report),
        Action::Unload => report.replica.as_ref() != Some(name),
    }
}

/// Unloads what engines hold of replicas that the object doesn't place there.
fn strays(context: &Context<'_>, fabric: &Fabric) -> Vec<Dispatch> {
    let mut expected = BTreeSet::new();
    for (name, replica) in &fabric.replicas {
        expected.extend(replica.members.iter().map(|it| (&it.instance, name)));
    }
    let loading: BTreeSet<_> = fabric
        .replicas
        .values()
        .filter(|it| it.state == State::Loading)
        .flat_map(|it| it.members.iter().map(|it| &it.instance))
        .collect();
    let idle = context.listed.iter().filter(|(name, _)| !loading.contains(name));
    let strays = idle.filter_map(|(instance, listed)| {
        let oldest = context.now.back(context.settings.report_age);
        let report = context.reports.fresh(instance, oldest)?;
        let replica = report.replica.as_ref()?;
        if expected.contains(&(instance, replica)) {
            return None;
        }
        let order = unload(report, replica, listed.address, context.held.epoch);
        Some(dispatch(context, instance, listed.address, order))
    });
    strays.collect()
}

fn unload(report: &Report, replica: &Name, address: SocketAddr, epoch: Epoch) -> Order {
    Order {
        epoch,
        action: Action::Unload,
        replica: replica.clone(),
        model: report.model.clone().unwrap_or_default(),
        members: vec![Peer { instance: report.instance.clone(), address }],
        rank: 0,
    }
}

fn order(name: &Name, replica: &Replica, rank: usize, action: Action, epoch: Epoch) -> Order {
    let members = replica.members.iter();
    Order {
        epoch,
        action,
        replica: name.clone(),
        model: replica.model.clone(),
        members: members
            .map(|it| Peer { instance: it.instance.clone(), address: it.address })
            .collect(),
        rank: u32::try_from(rank).unwrap_or(u32::MAX),
    }
}

fn dispatch(context: &Context<'_>, instance: &Name, address: SocketAddr, order: Order) -> Dispatch {
    Dispatch { instance: instance.clone(), address, order, expires: context.held.until }
}
