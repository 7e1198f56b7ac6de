//! Takes over the replicas of an earlier owner.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

use super::change::Step;
use super::order::is_spare;
use super::view::Instances;
use super::{Formation, Key, Replica, Status};
use crate::gateway::engine::Engine;
use crate::gateway::fleet::{Instance, State};
use crate::prelude::*;

impl Formation {
    /// Takes over the replicas whose head serves, and those whose members are all known and neither
    /// broken nor closing, by the reported states. Members that are no longer listed count too,
    /// since they may only be cut off from the store.
    pub(super) fn adopt(&mut self, now: Time, engine: &Engine, all: &Instances<'_>) {
        let mut found: BTreeMap<Key, Vec<&Instance>> = BTreeMap::new();
        for (instance, _) in all.known.values() {
            let Some(member) = &instance.member else { continue };
            let key = member.key();
            let has_left = self.left_members.contains_key(&(instance.id.clone(), key.clone()));
            if has_left || is_spare(&key.0) {
                continue;
            }
            match self.replicas.get_mut(&key) {
                Some(replica) => replica.add_member(instance),
                None => found.entry(key).or_default().push(instance),
            }
        }
        let forming = self.forming_members();
        for (key, mut members) in found {
            // A member also belongs to a forming replica: orders for one of the two replicas would
            // undo those for the other.
            if members.iter().any(|it| forming.contains(&it.id)) {
                continue;
            }
            members.sort_by_key(|it| it.member.as_ref().map(|it| it.rank));
            let Some(model) = members[0].model.as_deref().and_then(|it| engine.model(it)) else {
                continue;
            };
            let states: Vec<(u32, State)> = members
                .iter()
                .filter_map(|it| it.member.as_ref().map(|it| (it.rank, it.state)))
                .collect();
            let is_full =
                states.iter().enumerate().all(|(index, (rank, _))| *rank as usize == index)
                    && states.len() == model.size;
            let is_sound = |(_, it): &(u32, State)| !matches!(it, State::Closing | State::Broken);
            // A head is only opened by an owner that has seen all members ready.
            let is_open = states.first() == Some(&(0, State::Open));
            let is_complete = is_full && states.iter().all(is_sound);
            if !is_open && !is_complete {
                continue;
            }
            let is_joining = states.iter().any(|(_, it)| *it == State::Joining);
            let replica = Replica {
                model: model.name.clone(),
                fabric_domain: members[0].fabric_domain.clone(),
                members: members.iter().map(|it| it.id.clone()).collect(),
                incarnations: members.iter().map(|it| it.incarnation).collect(),
                formed_at: now,
                ended_at: now,
                is_preempted: false,
                is_adopted: true,
                ready_at: None,
                released: HashSet::new(),
                status: if is_open || !is_joining { Status::Complete } else { Status::Forming },
            };
            self.record_change(&key, &model.name, Step::Adopted);
            self.replicas.insert(key, replica);
        }
    }

    /// Returns the members of forming replicas.
    fn forming_members(&self) -> HashSet<Arc<str>> {
        let forming = self.replicas.values().filter(|it| it.status == Status::Forming);
        forming.flat_map(|it| it.members.iter().cloned()).collect()
    }
}
