//! The life of a replica until its end: formed, whole, lost.

use std::sync::Arc;

use super::change::{Cause, Reason, Step};
use super::order::{Action, Order};
use super::view::{Instances, has};
use super::{Formation, Group, Key, Stage};
use crate::gateway::engine::Engine;
use crate::gateway::fleet::{Phase, Presence, State};
use crate::prelude::*;

impl Formation {
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
            let over = match group.stage {
                Stage::Forming => self.forming(now, engine, all, &key, &mut group, actions),
                Stage::Whole => {
                    self.whole(now, all, &key, &mut group, actions);
                    None
                }
                Stage::Ending => None,
            };
            let over = over.or_else(|| self.ending(now, all, &key, &mut group, actions));
            let Some(cause) = over else {
                self.groups.insert(key, group);
                continue;
            };
            self.note(&key, &group.model, Step::Over(cause));
        }
    }

    /// Lets members join until all are ready. Returns why the replica is given up, if it is.
    pub(super) fn forming(
        &mut self,
        now: Time,
        engine: &Engine,
        all: &Instances<'_>,
        key: &Key,
        group: &mut Group,
        actions: &mut Vec<Action>,
    ) -> Option<Cause> {
        let Some(model) = engine.model(&group.model) else {
            return Some(Reason::UnknownModel.into());
        };
        let limit = model.load_time * 3 + self.settings.formation_slack;
        let head = &group.members[0];
        let lost = group.places().find_map(|(id, born)| {
            let least = if id == head { Presence::Listed } else { Presence::Departed };
            self.fault(now, all, id, born, least).map(|reason| Cause::of(id, reason))
        });
        let late = now.since(group.since) > limit;
        if let Some(cause) = lost.or(late.then(|| Reason::FormationTimeout.into())) {
            self.end(now, key, group, cause);
            return None;
        }
        let states: Vec<_> = group.members.iter().map(|id| self.state(all, id, key)).collect();
        if states.iter().all(|it| matches!(it, Some(State::Ready | State::Open))) {
            group.stage = Stage::Whole;
            group.ready = Some(now);
            self.note(key, &group.model, Step::Whole);
            self.whole(now, all, key, group, actions);
            return None;
        }
        let missing = group.members.iter().zip(&states).filter(|(_, it)| it.is_none());
        let missing: Vec<_> = missing.map(|(id, _)| id.clone()).collect();
        if let Some(id) = missing.iter().find(|it| self.is_elsewhere(all, key, group, it)) {
            let cause = Cause::of(id, Reason::Mismatch);
            self.end(now, key, group, cause);
            return None;
        }
        if let Some(id) = missing.first().filter(|_| group.adopted) {
            let cause = Cause::of(id, Reason::NotMember);
            self.end(now, key, group, cause);
            return None;
        }
        for id in missing {
            self.join(now, all, &id, (key, group), actions);
        }
        None
    }

    /// Whether a member that is to join is not what it was taken for, by what it said to an order
    /// or by what the list shows since.
    fn is_elsewhere(&self, all: &Instances<'_>, key: &Key, group: &Group, id: &Arc<str>) -> bool {
        let Some(instance) = all.recall(id) else { return false };
        let member = instance.member.as_ref();
        let member = member.filter(|it| !self.left.contains_key(&(id.clone(), it.key())));
        let allowed =
            group.precondition(key, id, self.first_epoch()).is_none_or(|it| it.allows(member));
        self.is_contested(instance) || !allowed
    }

    /// Opens a replica that is whole, and begins its end if it isn't any more.
    ///
    /// An order to join may come long after it was given, at the next start of its instance too,
    /// which refuses it only if it has joined a later replica since. What this owner opens is
    /// therefore later than all that others have ordered: its members joined by its own orders,
    /// and after that the lease was still its own.
    pub(super) fn whole(
        &mut self,
        now: Time,
        all: &Instances<'_>,
        key: &Key,
        group: &mut Group,
        actions: &mut Vec<Action>,
    ) {
        if let Some(cause) = self.loss(now, all, key, group) {
            return self.end(now, key, group, cause);
        }
        let head = group.members[0].clone();
        if self.state(all, &head, key) != Some(State::Ready) {
            return;
        }
        if group.adopted {
            if now.since(group.since) >= self.settings.inherited_open_timeout {
                self.end(now, key, group, Cause::from(Reason::Inherited));
            }
            return;
        }
        if self.held < group.ready {
            self.waits = true;
            return;
        }
        let order = Order::Open { group: key.0.clone(), epoch: key.1 };
        self.send(now, all, &head, order, actions);
    }

    fn end(&mut self, now: Time, key: &Key, group: &mut Group, cause: Cause) {
        group.end(now);
        self.note(key, &group.model, Step::Ending(cause));
    }

    /// What a replica that was whole has lost, or is losing and can replace.
    pub(super) fn loss(
        &self,
        now: Time,
        all: &Instances<'_>,
        key: &Key,
        group: &Group,
    ) -> Option<Cause> {
        let head = &group.members[0];
        group.places().find_map(|(id, born)| {
            let least = if id == head { Presence::Listed } else { Presence::Departed };
            let fault = self.fault(now, all, id, born, least);
            let stays = fault == Some(Reason::Draining)
                && id != head
                && self.replacements(now, all, group, id) == 0;
            let reason = match (fault.filter(|_| !stays), self.state(all, id, key)) {
                (Some(fault), _) => fault,
                (None, None) => Reason::NotMember,
                (None, Some(State::Broken)) => Reason::Broken,
                (None, Some(_)) => return None,
            };
            Some(Cause::of(id, reason))
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
            let here = it.fabric_domain == leaving.fabric_domain && it.phase == Phase::Ready;
            here && has(it, &group.model) && !self.is_unreachable(now, it)
        });
        free.filter(|it| !self.is_taken(it) && !group.members.contains(&it.id)).count()
    }
}
