//! Ends replicas, after which their members can be used for others.

use super::change::{Cause, Reason, Step};
use super::order::{Action, Close, Order};
use super::view::Instances;
use super::{Formation, Key, Replica, Status};
use crate::gateway::fleet::State;
use crate::prelude::*;

impl Formation {
    /// Advances a replica that is ending. Returns the cause once its head can't serve any more.
    ///
    /// The members can be used for other replicas once the head has left. A head that can't be
    /// reached may still serve on the other side of a network partition. Then only those members
    /// are released that have left the replica themselves. The replica resumes if none has and all
    /// can be reached again.
    pub(super) fn advance_ending(
        &mut self,
        now: Time,
        all: &Instances<'_>,
        key: &Key,
        replica: &mut Replica,
        actions: &mut Vec<Action>,
    ) -> Option<Cause> {
        if replica.status != Status::Ending {
            return None;
        }
        let head = replica.members[0].clone();
        if self.is_reachable(now, all, &head) {
            return self.stop_head(now, all, key, replica, actions);
        }
        match all.find(&head) {
            None => return Some(Cause::of(&head, Reason::HeadExpired)),
            Some(it) if it.incarnation != replica.incarnations[0] => {
                return Some(Cause::of(&head, Reason::Restarted));
            }
            Some(_) => {}
        }
        for id in &replica.members[1..] {
            if !self.is_reachable(now, all, id) {
                continue;
            }
            if self.member_state(all, id, key).is_none() {
                replica.released.insert(id.clone());
                continue;
            }
            self.send(now, all, id, Order::leave(key), actions);
        }
        None
    }

    /// Orders a head that can be reached to stop. Returns the cause once it is no longer a member.
    /// Resumes the replica instead if the head still serves and no member is lost any more.
    fn stop_head(
        &mut self,
        now: Time,
        all: &Instances<'_>,
        key: &Key,
        replica: &mut Replica,
        actions: &mut Vec<Action>,
    ) -> Option<Cause> {
        let head = replica.members[0].clone();
        let state = self.member_state(all, &head, key);
        let is_wanted = !replica.is_preempted && replica.released.is_empty();
        let is_intact = is_wanted && self.loss(now, all, key, replica).is_none();
        if state == Some(State::Open) && is_intact {
            replica.status = Status::Complete;
            self.record_change(key, &replica.model, Step::Resumed);
            return None;
        }
        let is_present = replica
            .member_incarnations()
            .all(|(id, incarnation)| self.is_present(now, all, id, incarnation));
        let close_timeout = match replica.is_preempted {
            true => self.settings.preempt_close_timeout,
            false => self.settings.close_timeout,
        };
        let may_finish = is_present && now.since(replica.ended_at) < close_timeout;
        let order = match state {
            Some(State::Open | State::Closing) if may_finish => {
                Order::Close { group: key.0.clone(), epoch: key.1, mode: Close::Wait }
            }
            Some(_) => Order::leave(key),
            None => return Some(Cause::of(&head, Reason::HeadLeft)),
        };
        self.send(now, all, &head, order, actions);
        None
    }
}
