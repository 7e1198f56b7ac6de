//! Which replicas of an earlier owner are taken over.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

use super::change::Step;
use super::order::is_spare;
use super::view::Instances;
use super::{Formation, Group, Key, Stage};
use crate::gateway::engine::Engine;
use crate::gateway::fleet::{Instance, State};
use crate::prelude::*;

impl Formation {
    /// Takes over the replicas that are whole by what their members say, those included whose
    /// entries are gone since a moment ago: they may be cut off from the list alone.
    pub(super) fn adopt(&mut self, now: Time, engine: &Engine, all: &Instances<'_>) {
        let mut seen: BTreeMap<Key, Vec<&Instance>> = BTreeMap::new();
        for (instance, _) in all.known.values() {
            let Some(member) = &instance.member else { continue };
            let key = member.key();
            let left = self.left.contains_key(&(instance.id.clone(), key.clone()));
            if left || is_spare(&key.0) {
                continue;
            }
            match self.groups.get_mut(&key) {
                Some(group) => group.complete(instance),
                None => seen.entry(key).or_default().push(instance),
            }
        }
        let joining = self.joining();
        for (key, mut members) in seen {
            // Orders to both replicas would undo each other.
            if members.iter().any(|it| joining.contains(&it.id)) {
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
            let full = states.iter().enumerate().all(|(place, (rank, _))| *rank as usize == place)
                && states.len() == model.size;
            let sound = |(_, it): &(u32, State)| !matches!(it, State::Closing | State::Broken);
            // An open head was opened by an owner that saw all members ready.
            let open = states.first() == Some(&(0, State::Open));
            let whole = full && states.iter().all(sound);
            if !open && !whole {
                continue;
            }
            let joining = states.iter().any(|(_, it)| *it == State::Joining);
            let group = Group {
                model: model.name.clone(),
                fabric: members[0].fabric_domain.clone(),
                members: members.iter().map(|it| it.id.clone()).collect(),
                born: members.iter().map(|it| it.incarnation).collect(),
                since: now,
                ended: now,
                unwanted: false,
                adopted: true,
                ready: None,
                gone: HashSet::new(),
                stage: if open || !joining { Stage::Whole } else { Stage::Forming },
            };
            self.note(&key, &model.name, Step::Adopted);
            self.groups.insert(key, group);
        }
    }

    /// The members of replicas that form.
    fn joining(&self) -> HashSet<Arc<str>> {
        let forming = self.groups.values().filter(|it| it.stage == Stage::Forming);
        forming.flat_map(|it| it.members.iter().cloned()).collect()
    }
}
