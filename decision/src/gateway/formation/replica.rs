//! The desired state of one replica.

use std::collections::HashSet;
use std::sync::Arc;

use super::Key;
use super::order::Precondition;
use crate::gateway::fleet::Instance;
use crate::prelude::*;

/// A replica that its owner forms, keeps or ends.
#[derive(Clone, Debug)]
pub(super) struct Replica {
    pub(super) model: Arc<str>,
    /// Fabric domain of its members.
    pub(super) fabric_domain: Option<Arc<str>>,
    /// Identifiers of its members, the head first.
    pub(super) members: Vec<Arc<str>>,
    /// The start of each member, in the order of `members`.
    pub(super) incarnations: Vec<u64>,
    /// When this owner formed it or took it over.
    pub(super) formed_at: Time,
    /// When its end began.
    pub(super) ended_at: Time,
    /// Whether it ends although it is complete, since its instances are needed for another model.
    pub(super) is_preempted: bool,
    /// Whether its members joined on orders of an earlier owner, some of which may still arrive.
    pub(super) is_adopted: bool,
    /// When all members were first seen ready, if this owner formed it.
    pub(super) ready_at: Option<Time>,
    /// Members that have left it while it ended, and can be used for other replicas.
    pub(super) released: HashSet<Arc<str>>,
    pub(super) status: Status,
}

/// Where a replica is in its lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Status {
    /// Members are joining.
    Forming,
    /// All members were ready at some time.
    Complete,
    /// The head is ordered to stop, so that the members can be used for other replicas.
    Ending,
}

impl Replica {
    /// Adds a member that had not been seen when the replica was taken over.
    pub(super) fn add_member(&mut self, member: &Instance) {
        if !self.members.contains(&member.id) {
            self.members.push(member.id.clone());
            self.incarnations.push(member.incarnation);
        }
    }

    /// Returns the precondition for `id` to join, if it is a member. `first_epoch` is that of the
    /// owner.
    pub(super) fn precondition(
        &self,
        key: &Key,
        id: &str,
        first_epoch: u64,
    ) -> Option<Precondition> {
        let (_, incarnation) = self.member_incarnations().find(|(it, _)| ***it == *id)?;
        Some(Precondition { incarnation, replica: key.clone(), first_epoch })
    }

    /// Begins the end of the replica.
    pub(super) fn end(&mut self, now: Time) {
        self.status = Status::Ending;
        self.ended_at = now;
    }

    /// Begins the end of the replica in favor of another model.
    pub(super) fn preempt(&mut self, now: Time) {
        self.is_preempted = true;
        self.end(now);
    }

    /// Returns each member with the start of it that belongs to the replica.
    pub(super) fn member_incarnations(&self) -> impl Iterator<Item = (&Arc<str>, u64)> {
        self.members.iter().zip(self.incarnations.iter().copied())
    }
}
