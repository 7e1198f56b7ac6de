//! The end of a replica, after which its members can be used elsewhere.

use super::change::{Cause, Reason, Step};
use super::order::{Action, Close, Order};
use super::view::Instances;
use super::{Formation, Group, Key, Stage};
use crate::gateway::fleet::State;
use crate::prelude::*;

impl Formation {
    /// Ends a replica. Returns why it is over, once its head can't serve any more.
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
    ) -> Option<Cause> {
        if group.stage != Stage::Ending {
            return None;
        }
        let head = group.members[0].clone();
        if self.is_reachable(now, all, &head) {
            return self.end_head(now, all, key, group, actions);
        }
        match all.recall(&head) {
            None => return Some(Cause::of(&head, Reason::HeadExpired)),
            Some(it) if it.incarnation != group.born[0] => {
                return Some(Cause::of(&head, Reason::Restarted));
            }
            Some(_) => {}
        }
        for id in &group.members[1..] {
            if !self.is_reachable(now, all, id) {
                continue;
            }
            if self.state(all, id, key).is_none() {
                group.gone.insert(id.clone());
                continue;
            }
            self.send(now, all, id, Order::leave(key), actions);
        }
        None
    }

    /// Tells a head that can be reached to stop. Returns why the replica is over once it is no
    /// member any more.
    fn end_head(
        &mut self,
        now: Time,
        all: &Instances<'_>,
        key: &Key,
        group: &mut Group,
        actions: &mut Vec<Action>,
    ) -> Option<Cause> {
        let head = group.members[0].clone();
        let state = self.state(all, &head, key);
        let wanted = !group.unwanted && group.gone.is_empty();
        let intact = wanted && self.loss(now, all, key, group).is_none();
        if state == Some(State::Open) && intact {
            group.stage = Stage::Whole;
            self.note(key, &group.model, Step::Resumed);
            return None;
        }
        let whole = group.places().all(|(id, born)| self.is_present(now, all, id, born));
        let closing = match group.unwanted {
            true => self.settings.yield_close_timeout,
            false => self.settings.close_timeout,
        };
        let patient = whole && now.since(group.ended) < closing;
        let order = match state {
            Some(State::Open | State::Closing) if patient => {
                Order::Close { group: key.0.clone(), epoch: key.1, mode: Close::Wait }
            }
            Some(_) => Order::leave(key),
            None => return Some(Cause::of(&head, Reason::HeadLeft)),
        };
        self.send(now, all, &head, order, actions);
        None
    }
}
