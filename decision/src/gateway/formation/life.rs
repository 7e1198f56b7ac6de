//! The life of a replica: formed, whole, ended.

use std::collections::{BTreeMap, HashSet};

use super::order::{Action, Close, Order};
use super::view::{Instances, has};
use super::{Formation, Group, Key, Stage};
use crate::gateway::engine::Engine;
use crate::gateway::fleet::{Instance, Phase, Presence, State};
use crate::prelude::*;

impl Formation {
    /// Takes over the replicas that are whole by what their members say, those included whose
    /// entries are gone since a moment ago: they may be cut off from the list alone.
    pub(super) fn adopt(&mut self, now: Time, engine: &Engine, all: &Instances<'_>) {
        let mut seen: BTreeMap<Key, Vec<&Instance>> = BTreeMap::new();
        for (instance, _) in all.known.values() {
            let Some(member) = &instance.member else { continue };
            let key = (member.group.clone(), member.epoch);
            if self.left.contains_key(&(instance.id.clone(), key.clone())) {
                continue;
            }
            match self.groups.get_mut(&key) {
                Some(group) => group.complete(instance),
                None => seen.entry(key).or_default().push(instance),
            }
        }
        for (key, mut members) in seen {
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
                members: members.iter().map(|it| it.id.clone()).collect(),
                born: members.iter().map(|it| it.born).collect(),
                since: now,
                ended: now,
                unwanted: false,
                gone: HashSet::new(),
                stage: if open || !joining { Stage::Whole } else { Stage::Forming },
            };
            self.groups.insert(key, group);
        }
    }

    /// Moves each replica on by what its members say.
    pub(super) fn advance(
        &mut self,
        now: Time,
        engine: &Engine,
        all: &Instances<'_>,
        actions: &mut Vec<Action>,
    ) {
        let keys: Vec<Key> = self.groups.keys().cloned().collect();
        for key in keys {
            let Some(mut group) = self.groups.remove(&key) else { continue };
            let keep = match group.stage {
                Stage::Forming => self.forming(now, engine, all, &key, &mut group, actions),
                Stage::Whole => self.whole(now, all, &key, &mut group, actions),
                Stage::Ending => true,
            };
            let keep = keep && self.ending(now, all, &key, &mut group, actions);
            if keep {
                self.groups.insert(key, group);
                continue;
            }
            // Its head has left or is another process: it can't serve, and its members are free.
            let members = group.members.into_iter().map(|id| ((id, key.clone()), now));
            self.left.extend(members);
        }
    }

    pub(super) fn forming(
        &mut self,
        now: Time,
        engine: &Engine,
        all: &Instances<'_>,
        key: &Key,
        group: &mut Group,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(model) = engine.model(&group.model) else { return false };
        let limit = model.load * 3 + self.settings.slack;
        let head = group.members[0].clone();
        let lost = group.places().any(|(id, born)| {
            let least = if *id == head { Presence::Listed } else { Presence::Departed };
            !self.is_sound(now, all, id, born, least)
        });
        if lost || now.since(group.since) > limit {
            group.end(now);
            return true;
        }
        let states: Vec<_> = group.members.iter().map(|id| self.state(all, id, key)).collect();
        if states.iter().all(|it| matches!(it, Some(State::Ready | State::Open))) {
            group.stage = Stage::Whole;
            return self.whole(now, all, key, group, actions);
        }
        let missing = group.members.iter().zip(&states).filter(|(_, it)| it.is_none());
        let missing: Vec<_> = missing.map(|(id, _)| id.clone()).collect();
        for id in missing {
            let order = Order::Join {
                group: key.0.clone(),
                epoch: key.1,
                model: group.model.clone(),
                members: group.members.clone(),
            };
            self.send(now, all, &id, order, actions);
        }
        true
    }

    pub(super) fn whole(
        &mut self,
        now: Time,
        all: &Instances<'_>,
        key: &Key,
        group: &mut Group,
        actions: &mut Vec<Action>,
    ) -> bool {
        if self.is_lost(now, all, key, group) {
            group.end(now);
            return true;
        }
        let head = group.members[0].clone();
        if self.state(all, &head, key) == Some(State::Ready) {
            let order = Order::Open { group: key.0.clone(), epoch: key.1 };
            self.send(now, all, &head, order, actions);
        }
        true
    }

    /// Whether a replica that was whole has lost a member, or is losing one that can be replaced.
    pub(super) fn is_lost(&self, now: Time, all: &Instances<'_>, key: &Key, group: &Group) -> bool {
        let head = &group.members[0];
        group.places().any(|(id, born)| {
            let least = if id == head { Presence::Listed } else { Presence::Departed };
            let sound = self.is_sound(now, all, id, born, least);
            let leaves = all.get(id).is_some_and(|it| it.phase == Phase::Draining);
            let stays = leaves && id != head && self.is_present(now, all, id, born);
            let stays = stays && self.replacements(now, all, group, id) == 0;
            !(sound || stays) || matches!(self.state(all, id, key), None | Some(State::Broken))
        })
    }

    /// Free instances that could take the place of `member` at once. A member that leaves stays as
    /// long as its head has work, so that nothing is won by ending the replica before.
    pub(super) fn replacements(
        &self,
        now: Time,
        all: &Instances<'_>,
        group: &Group,
        member: &str,
    ) -> usize {
        let Some(leaving) = all.get(member) else { return 0 };
        let free = all.listed().filter(|it| {
            let here = it.fabric == leaving.fabric && it.phase == Phase::Ready;
            here && has(it, &group.model) && !self.is_dead(now, it)
        });
        let taken =
            |it: &Instance| self.groups.values().any(|group| group.members.contains(&it.id));
        free.filter(|it| !taken(it) && !group.members.contains(&it.id)).count()
    }

    /// Ends a replica. Returns whether it still has to be kept, since its head may serve.
    ///
    /// Its members may be used elsewhere once the head has left. A head that can't be reached may
    /// live behind a cut and serve there: then only those members are free that have left it
    /// themselves, and if all others can be reached again before, it goes on.
    pub(super) fn ending(
        &mut self,
        now: Time,
        all: &Instances<'_>,
        key: &Key,
        group: &mut Group,
        actions: &mut Vec<Action>,
    ) -> bool {
        if group.stage != Stage::Ending {
            return true;
        }
        let head = group.members[0].clone();
        if self.is_reachable(now, all, &head) {
            return self.end_head(now, all, key, group, actions);
        }
        if all.recall(&head).is_none_or(|it| it.born != group.born[0]) {
            return false;
        }
        for id in &group.members[1..] {
            if !self.is_reachable(now, all, id) {
                continue;
            }
            if self.state(all, id, key).is_none() {
                group.gone.insert(id.clone());
                continue;
            }
            let order = Order::Leave { group: key.0.clone(), epoch: key.1 };
            self.send(now, all, id, order, actions);
        }
        true
    }

    /// Tells a head that can be reached to stop. Returns whether it is still a member.
    pub(super) fn end_head(
        &mut self,
        now: Time,
        all: &Instances<'_>,
        key: &Key,
        group: &mut Group,
        actions: &mut Vec<Action>,
    ) -> bool {
        let (name, epoch) = (key.0.clone(), key.1);
        let head = group.members[0].clone();
        let state = self.state(all, &head, key);
        let wanted = !group.unwanted && group.gone.is_empty();
        let intact = wanted && !self.is_lost(now, all, key, group);
        if state == Some(State::Open) && intact {
            group.stage = Stage::Whole;
            return true;
        }
        let whole = group.places().all(|(id, born)| self.is_present(now, all, id, born));
        let patient = whole && now.since(group.ended) < self.settings.closing;
        let order = match state {
            Some(State::Open | State::Closing) if patient => {
                Order::Close { group: name, epoch, mode: Close::Wait }
            }
            Some(_) => Order::Leave { group: name, epoch },
            None => return false,
        };
        self.send(now, all, &head, order, actions);
        true
    }
}
