//! The lifecycle of a replica until its end: forming, complete, losing a member.

use std::sync::Arc;

use super::change::{Cause, Reason, Step};
use super::order::{Action, Order};
use super::view::{Instances, has_weights};
use super::{Formation, Key, Replica, Status};
use crate::gateway::engine::Engine;
use crate::gateway::fleet::{Phase, Presence, State};
use crate::prelude::*;

impl Formation {
    /// Advances each replica by the reported states of its members, and drops those that have
    /// ended.
    pub(super) fn advance(
        &mut self,
        now: Time,
        engine: &Engine,
        all: &Instances<'_>,
        actions: &mut Vec<Action>,
    ) {
        let keys: Vec<Key> = self.replicas.keys().cloned().collect();
        for key in keys {
            let Some(mut replica) = self.replicas.remove(&key) else { continue };
            let ended = match replica.status {
                Status::Forming => {
                    self.advance_forming(now, engine, all, &key, &mut replica, actions)
                }
                Status::Complete => {
                    self.advance_complete(now, all, &key, &mut replica, actions);
                    None
                }
                Status::Ending => None,
            };
            let ended =
                ended.or_else(|| self.advance_ending(now, all, &key, &mut replica, actions));
            let Some(cause) = ended else {
                self.replicas.insert(key, replica);
                continue;
            };
            self.record_change(&key, &replica.model, Step::Ended(cause));
        }
    }

    /// Orders members to join until all are ready, or begins the end of the replica. Returns a
    /// cause if the replica ends at once, since its model is not configured.
    pub(super) fn advance_forming(
        &mut self,
        now: Time,
        engine: &Engine,
        all: &Instances<'_>,
        key: &Key,
        replica: &mut Replica,
        actions: &mut Vec<Action>,
    ) -> Option<Cause> {
        let Some(model) = engine.model(&replica.model) else {
            return Some(Reason::UnknownModel.into());
        };
        let timeout = model.load_time * 3 + self.settings.formation_slack;
        let head = &replica.members[0];
        let loss = replica.member_incarnations().find_map(|(id, incarnation)| {
            let required = if id == head { Presence::Listed } else { Presence::Departed };
            self.fault(now, all, id, incarnation, required).map(|reason| Cause::of(id, reason))
        });
        let is_late = now.since(replica.formed_at) > timeout;
        if let Some(cause) = loss.or(is_late.then(|| Reason::FormationTimeout.into())) {
            self.end(now, key, replica, cause);
            return None;
        }
        let states: Vec<_> =
            replica.members.iter().map(|id| self.member_state(all, id, key)).collect();
        if states.iter().all(|it| matches!(it, Some(State::Ready | State::Open))) {
            replica.status = Status::Complete;
            replica.ready_at = Some(now);
            self.record_change(key, &replica.model, Step::Complete);
            self.advance_complete(now, all, key, replica, actions);
            return None;
        }
        let missing = replica.members.iter().zip(&states).filter(|(_, it)| it.is_none());
        let missing: Vec<_> = missing.map(|(id, _)| id.clone()).collect();
        if let Some(id) = missing.iter().find(|it| self.is_ineligible(all, key, replica, it)) {
            let cause = Cause::of(id, Reason::Mismatch);
            self.end(now, key, replica, cause);
            return None;
        }
        if let Some(id) = missing.first().filter(|_| replica.is_adopted) {
            let cause = Cause::of(id, Reason::NotMember);
            self.end(now, key, replica, cause);
            return None;
        }
        for id in missing {
            self.join(now, all, &id, (key, replica), actions);
        }
        None
    }

    /// Whether a member that is to join can't do so any more, since its reply to an order or the
    /// list shows another state than the plan assumed.
    fn is_ineligible(
        &self,
        all: &Instances<'_>,
        key: &Key,
        replica: &Replica,
        id: &Arc<str>,
    ) -> bool {
        let Some(instance) = all.find(id) else { return false };
        let member = instance.member.as_ref();
        let member = member.filter(|it| !self.left_members.contains_key(&(id.clone(), it.key())));
        let is_allowed =
            replica.precondition(key, id, self.first_epoch()).is_none_or(|it| it.allows(member));
        self.is_mismatched(instance) || !is_allowed
    }

    /// Opens a complete replica, or begins its end if it has lost a member.
    ///
    /// An order to join may arrive long after it was sent, even at the next start of the instance,
    /// which refuses it only if it has joined a later replica since. This owner therefore opens
    /// only replicas that are later than any that other owners have ordered: the members joined on
    /// its own orders, and a read of the lease after that confirmed that it still held the lease.
    pub(super) fn advance_complete(
        &mut self,
        now: Time,
        all: &Instances<'_>,
        key: &Key,
        replica: &mut Replica,
        actions: &mut Vec<Action>,
    ) {
        if let Some(cause) = self.loss(now, all, key, replica) {
            return self.end(now, key, replica, cause);
        }
        let head = replica.members[0].clone();
        if self.member_state(all, &head, key) != Some(State::Ready) {
            return;
        }
        if replica.is_adopted {
            if now.since(replica.formed_at) >= self.settings.inherited_open_timeout {
                self.end(now, key, replica, Cause::from(Reason::Inherited));
            }
            return;
        }
        if self.lease_confirmed_at < replica.ready_at {
            self.needs_lease_check = true;
            return;
        }
        let order = Order::Open { group: key.0.clone(), epoch: key.1 };
        self.send(now, all, &head, order, actions);
    }

    /// Begins the end of a replica and records the cause.
    fn end(&mut self, now: Time, key: &Key, replica: &mut Replica, cause: Cause) {
        replica.end(now);
        self.record_change(key, &replica.model, Step::Ending(cause));
    }

    /// Returns why a complete replica has to end: a member is lost, or is draining and can be
    /// replaced. A draining head always ends it.
    pub(super) fn loss(
        &self,
        now: Time,
        all: &Instances<'_>,
        key: &Key,
        replica: &Replica,
    ) -> Option<Cause> {
        let head = &replica.members[0];
        replica.member_incarnations().find_map(|(id, incarnation)| {
            let required = if id == head { Presence::Listed } else { Presence::Departed };
            let fault = self.fault(now, all, id, incarnation, required);
            let is_kept = fault == Some(Reason::Draining)
                && id != head
                && self.replacements(now, all, replica, id) == 0;
            let reason = match (fault.filter(|_| !is_kept), self.member_state(all, id, key)) {
                (Some(fault), _) => fault,
                (None, None) => Reason::NotMember,
                (None, Some(State::Broken)) => Reason::Broken,
                (None, Some(_)) => return None,
            };
            Some(Cause::of(id, reason))
        })
    }

    /// Counts the free instances that could replace `member` at once. A draining member stays for
    /// as long as its head has work, so that without a replacement an earlier end has no use.
    pub(super) fn replacements(
        &self,
        now: Time,
        all: &Instances<'_>,
        replica: &Replica,
        member: &str,
    ) -> usize {
        let Some(leaving) = all.find_listed(member) else { return 0 };
        let free = all.listed().filter(|it| {
            let is_ready = it.fabric_domain == leaving.fabric_domain && it.phase == Phase::Ready;
            is_ready && has_weights(it, &replica.model) && !self.is_unreachable(now, it)
        });
        free.filter(|it| !self.is_member(it) && !replica.members.contains(&it.id)).count()
    }
}
