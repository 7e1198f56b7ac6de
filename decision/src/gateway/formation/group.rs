//! A replica as its owner wants it.

use std::collections::HashSet;
use std::sync::Arc;

use super::Key;
use super::order::Precondition;
use crate::gateway::fleet::Instance;
use crate::prelude::*;

#[derive(Clone, Debug)]
pub(super) struct Group {
    pub(super) model: Arc<str>,
    /// The fabric domain of its members.
    pub(super) fabric: Option<Arc<str>>,
    pub(super) members: Vec<Arc<str>>,
    pub(super) born: Vec<u64>,
    pub(super) since: Time,
    /// When its end began.
    pub(super) ended: Time,
    /// Whether its instances are wanted for another model, so that it ends although it is whole.
    pub(super) unwanted: bool,
    /// Whether its members joined by the orders of another term, some of which may be on their way.
    pub(super) adopted: bool,
    /// When all members were seen ready.
    pub(super) ready: Option<Time>,
    /// Members that have left it at its end.
    pub(super) gone: HashSet<Arc<str>>,
    pub(super) stage: Stage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Members are joining.
    Forming,
    /// All members were ready once.
    Whole,
    /// The head is told to stop, so that the members can be used elsewhere.
    Ending,
}

impl Group {
    /// Adds a member that was not seen yet when the replica was taken over.
    pub(super) fn complete(&mut self, member: &Instance) {
        if !self.members.contains(&member.id) {
            self.members.push(member.id.clone());
            self.born.push(member.incarnation);
        }
    }

    /// What is taken for granted of a member that is to join.
    pub(super) fn precondition(&self, key: &Key, id: &str, own: u64) -> Option<Precondition> {
        let (_, born) = self.places().find(|(it, _)| ***it == *id)?;
        Some(Precondition { born, replica: key.clone(), first_epoch: own })
    }

    pub(super) fn end(&mut self, now: Time) {
        self.stage = Stage::Ending;
        self.ended = now;
    }

    pub(super) fn give_way(&mut self, now: Time) {
        self.unwanted = true;
        self.end(now);
    }

    pub(super) fn places(&self) -> impl Iterator<Item = (&Arc<str>, u64)> {
        self.members.iter().zip(self.born.iter().copied())
    }
}
