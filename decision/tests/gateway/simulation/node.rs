//! One instance as it is, and what it makes of orders.

use std::sync::Arc;

use decision::gateway::engine::Engine;
use decision::gateway::fleet::{Instance, Member, Report, State};
use decision::gateway::formation::{Close, Order, Reply};

use super::Key;
use crate::support::ms;

/// Milliseconds for which a head stands still that lost a member.
const STALL: u64 = 6_000;

/// One instance as it is, not as the list shows it.
#[derive(Clone, Debug)]
pub(crate) struct Node {
    pub(crate) instance: Instance,
    pub(crate) members: Vec<Arc<str>>,
    /// The order that it carries out, and until when.
    doing: Option<(Doing, u64)>,
    pub(super) dead: bool,
    /// Since when it is cut off from the list.
    pub(super) cut: Option<u64>,
    /// What the list shows of it while it is cut off.
    pub(super) shown: Option<Instance>,
    /// Whether it is cut off from the owner too, while it serves others.
    pub(super) hidden: bool,
    broken_at: Option<u64>,
    /// Orders that it has taken.
    pub(super) orders: u64,
    /// What it said of itself, and since when.
    told: Vec<(u64, Report)>,
    /// What has changed when it says something else.
    mark: Option<(u64, Option<State>)>,
    fence: u64,
    /// The last replica that it was ordered to join.
    last: Option<(Key, Vec<Arc<str>>)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Doing {
    Joining,
    Opening,
    Closing,
}

/// An order as it arrives.
#[derive(Clone, Debug)]
pub(crate) struct Message<'a> {
    pub(crate) order: &'a Order,
    pub(crate) fence: u64,
    /// The orders that the instance must have taken.
    pub(crate) expect: Option<u64>,
}

/// What the site makes of orders.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Terms<'a> {
    pub(crate) engine: &'a Engine,
    pub(crate) fencing: bool,
    /// Whether an instance that carries out an order refuses this one.
    pub(crate) refuses: bool,
    /// Time for the requests of a head that stops.
    pub(crate) closing: u64,
}

impl Node {
    pub(super) fn new(instance: Instance) -> Node {
        Node {
            instance,
            members: Vec::new(),
            doing: None,
            dead: false,
            cut: None,
            shown: None,
            hidden: false,
            broken_at: None,
            orders: 0,
            told: Vec::new(),
            mark: None,
            fence: 0,
            last: None,
        }
    }

    pub(super) fn key(&self) -> Option<Key> {
        self.instance.member.as_ref().map(|it| (it.group.clone(), it.epoch))
    }

    pub(super) fn state(&self) -> Option<State> {
        self.instance.member.as_ref().map(|it| it.state)
    }

    pub(super) fn is_head(&self) -> bool {
        self.instance.member.as_ref().is_some_and(|it| it.rank == 0)
    }

    /// Whether it may run requests, or stands still with them.
    pub(super) fn may_serve(&self) -> bool {
        !self.dead && self.is_head() && matches!(self.state(), Some(State::Open | State::Closing))
    }

    /// What it says of itself: what it was at `seen`.
    pub(super) fn report(&self, seen: u64) -> Report {
        let told = self.told.iter().rev().find(|(since, _)| *since <= seen);
        told.or(self.told.first()).map_or_else(|| self.current(), |(_, it)| it.clone())
    }

    fn current(&self) -> Report {
        let Instance { incarnation: born, staged, model, member, .. } = self.instance.clone();
        Report { incarnation: born, staged, model, member, orders: Some(self.orders) }
    }

    /// Keeps what it says of itself from now on.
    pub(super) fn record(&mut self, now: u64) {
        let mark = (self.orders, self.state());
        if self.mark != Some(mark) {
            self.mark = Some(mark);
            self.told.push((now, self.current()));
        }
    }

    /// Lets time pass. `still` says whether it is a head that lost a member. Returns the replica
    /// that it became a ready member of.
    pub(super) fn settle(&mut self, now: u64, still: bool) -> Option<Key> {
        if self.dead {
            return None;
        }
        self.broken_at = still.then(|| self.broken_at.unwrap_or(now + STALL));
        if self.broken_at.is_some_and(|it| it <= now) {
            self.set(State::Broken);
            self.doing = None;
            return None;
        }
        let (doing, _) = self.doing.filter(|(_, until)| *until <= now)?;
        if still && doing == Doing::Closing {
            return None;
        }
        self.doing = None;
        match doing {
            Doing::Joining => {
                self.instance.staged = self.instance.model.clone().into_iter().collect();
                self.set(State::Ready);
                return self.key();
            }
            Doing::Opening => self.set(State::Open),
            Doing::Closing => self.set(State::Ready),
        }
        None
    }

    /// Takes an order or refuses it.
    pub(super) fn take(&mut self, now: u64, message: &Message<'_>, terms: &Terms<'_>) -> Reply {
        let taken = self.obey(now, message, terms);
        self.record(now);
        taken
    }

    fn obey(&mut self, now: u64, message: &Message<'_>, terms: &Terms<'_>) -> Reply {
        if terms.fencing {
            if message.fence < self.fence {
                return Reply::Fenced;
            }
            self.fence = message.fence;
        }
        let other = message.expect.is_some_and(|it| it != self.orders);
        if other || (terms.refuses && self.doing.is_some()) {
            return Reply::Conflict;
        }
        match message.order {
            Order::Join { group, epoch, model, members } => {
                self.join(now, &(group.clone(), *epoch), model, members, terms)
            }
            Order::Open { group, epoch } => self.open(now, &(group.clone(), *epoch), terms),
            Order::Close { group, epoch, mode } => {
                self.close(now, &(group.clone(), *epoch), *mode, terms)
            }
            Order::Leave { group, epoch } => self.leave(&(group.clone(), *epoch)),
            Order::Stage { model } => {
                self.orders += 1;
                self.instance.staged = vec![model.clone()];
                Reply::Accepted
            }
        }
    }

    fn join(
        &mut self,
        now: u64,
        key: &Key,
        model: &Arc<str>,
        members: &[Arc<str>],
        terms: &Terms<'_>,
    ) -> Reply {
        let later = |(last, with): &(Key, Vec<Arc<str>>)| {
            key.1 < last.1 || (key == last && members != with)
        };
        if self.last.as_ref().is_some_and(later) {
            return Reply::Fenced;
        }
        if self.key().as_ref() == Some(key) {
            return Reply::Accepted;
        }
        let Some(model) = terms.engine.model(model) else { return Reply::Conflict };
        let rank = members.iter().position(|it| *it == self.instance.id).unwrap_or_default();
        let wait = match self.instance.staged.contains(&model.name) {
            true if self.instance.model.as_ref() == Some(&model.name) => ms(200),
            true => model.warm_load_time,
            false => model.load_time,
        };
        let wait = u64::try_from(wait.as_millis()).unwrap_or_default();
        let (group, epoch) = key.clone();
        let rank = u32::try_from(rank).unwrap_or_default();
        self.instance.member = Some(Member { group, epoch, rank, state: State::Joining });
        self.instance.model = Some(model.name.clone());
        self.members = members.to_vec();
        self.last = Some((key.clone(), members.to_vec()));
        self.broken_at = None;
        self.begin(Doing::Joining, now + wait)
    }

    fn open(&mut self, now: u64, key: &Key, terms: &Terms<'_>) -> Reply {
        if self.key().as_ref() != Some(key) || !self.is_head() {
            return Reply::Conflict;
        }
        match self.state() {
            Some(State::Open) => Reply::Accepted,
            Some(State::Ready) if self.doing.is_some() => Reply::Accepted,
            Some(State::Ready) => {
                let wait = u64::try_from(terms.engine.open_time.as_millis()).unwrap_or_default();
                self.begin(Doing::Opening, now + wait)
            }
            _ => Reply::Conflict,
        }
    }

    fn close(&mut self, now: u64, key: &Key, mode: Close, terms: &Terms<'_>) -> Reply {
        if self.key().as_ref() != Some(key) {
            return Reply::Conflict;
        }
        match (self.state(), mode) {
            (Some(State::Open), Close::Wait) => {
                self.set(State::Closing);
                self.begin(Doing::Closing, now + terms.closing)
            }
            (Some(State::Closing), Close::Wait) => Reply::Accepted,
            (Some(State::Ready), _) if self.doing.is_none() => Reply::Accepted,
            (Some(State::Joining) | None, _) => Reply::Conflict,
            _ => {
                self.set(State::Ready);
                self.doing = None;
                self.orders += 1;
                Reply::Accepted
            }
        }
    }

    /// A leave that fits nothing is done already.
    fn leave(&mut self, key: &Key) -> Reply {
        if self.key().as_ref() == Some(key) {
            self.instance.member = None;
            self.members.clear();
            self.doing = None;
            self.broken_at = None;
            self.orders += 1;
        }
        Reply::Accepted
    }

    fn begin(&mut self, doing: Doing, until: u64) -> Reply {
        self.doing = Some((doing, until));
        self.orders += 1;
        Reply::Accepted
    }

    fn set(&mut self, state: State) {
        if let Some(member) = &mut self.instance.member {
            member.state = state;
        }
    }
}
