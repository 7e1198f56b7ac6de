//! One entry's part in the ownership of one fabric domain.
//!
//! Every entry runs this machine for the fabric domains it may own. The one that holds the lease
//! writes the fabric domain's object and sends orders; the others wait for the lease to lapse.

mod message;
mod settings;

use std::collections::{BTreeMap, BTreeSet};

use crate::fabric::{Fabric, Holder, Layout, Replica, State};
use crate::lease::{Held, View};
use crate::lifecycle::{Context, Listed};
use crate::order::{self, Dispatch};
use crate::prelude::*;
use crate::probe::Reports;
use crate::reconcile::{self, Want};
use crate::target::Epoch;

pub use message::{Action, Event, Object};
pub use settings::Settings;

/// Time between two events after which this entry must have been paused.
const PAUSE: Duration = Duration::from_secs(2);

/// The machine.
#[derive(Clone, Debug)]
pub struct Owner {
    name: Name,
    settings: Settings,
    lease: View,
    object: Option<Object>,
    store: Store,
    stale: Epoch,
    reports: Reports,
    listed: BTreeMap<Name, Listed>,
    wants: Option<Vec<Want>>,
    loads: usize,
    rank: usize,
    ranked: Time,
    prober: bool,
    stopping: bool,
    stepped: Time,
    awake: Time,
    since: BTreeMap<Name, (State, Time)>,
    whole: BTreeMap<Name, Time>,
    ordered: BTreeMap<Name, Time>,
}

/// The one call to the store that may be under way.
#[derive(Clone, Debug)]
enum Store {
    Free,
    /// The object has changed since it was last read.
    Behind,
    Pausing {
        until: Time,
    },
    Reading {
        since: Time,
    },
    Writing {
        sent: Time,
        value: Fabric,
    },
    /// The answer to a write was lost; a read will tell.
    Checking {
        since: Time,
        sent: Time,
        value: Fabric,
    },
}

impl Owner {
    /// The machine of `me` for the fabric domain `name`.
    pub fn new(name: Name, me: Holder, settings: Settings) -> Owner {
        Owner {
            name,
            settings,
            lease: View::new(me, settings.lease),
            object: None,
            store: Store::Free,
            stale: Epoch::default(),
            reports: Reports::new(settings.probe),
            listed: BTreeMap::new(),
            wants: None,
            loads: 1,
            rank: 0,
            ranked: Time::ZERO,
            prober: false,
            stopping: false,
            stepped: Time::ZERO,
            awake: Time::ZERO,
            since: BTreeMap::new(),
            whole: BTreeMap::new(),
            ordered: BTreeMap::new(),
        }
    }

    /// Takes in an event and answers with what to do.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Action> {
        if now.since(self.stepped) > PAUSE {
            self.awake = now;
        }
        self.stepped = now;
        self.take(now, event);
        self.act(now)
    }

    /// The object as last read or written.
    pub fn object(&self) -> Option<&Object> {
        self.object.as_ref()
    }

    /// What engines answered to this entry.
    pub fn reports(&self) -> &Reports {
        &self.reports
    }

    /// The latest time at which [`Owner::object`] is known to be the store's, while this entry
    /// holds the lease: nobody else may write then, so only an own write counts.
    pub fn confirmed(&self, now: Time) -> Option<Time> {
        self.lease.held(now).map(|_| match &self.store {
            Store::Writing { sent, .. } | Store::Checking { sent, .. } => *sent,
            _ => now,
        })
    }

    /// Whether this entry probes the fabric domain's instances.
    pub fn probes(&self, now: Time) -> bool {
        self.prober || self.lease.held(now).is_some()
    }

    /// Instances that answered this entry lately and stay.
    pub fn alive(&self, now: Time) -> u16 {
        let oldest = now.back(self.settings.lifecycle.report_age);
        let stay = self.listed.iter().filter(|(_, it)| it.stays);
        let alive = stay.filter(|(name, _)| self.reports.fresh(name, oldest).is_some());
        u16::try_from(alive.count()).unwrap_or(u16::MAX)
    }

    /// The lease, if this entry holds it at `now`.
    pub fn held(&self, now: Time) -> Option<Held> {
        self.lease.held(now)
    }

    fn take(&mut self, now: Time, event: Event) {
        match event {
            Event::Read(object) => self.read(now, object),
            Event::ReadFailed => self.read_failed(now),
            Event::Written(version) => self.written(now, version),
            Event::Conflict => self.store = Store::Behind,
            Event::Unknown => self.lost(now),
            Event::Instances(listed) => self.listed = listed,
            Event::Wants(wants) => self.wants = Some(wants),
            Event::Loads(loads) => self.loads = loads,
            Event::Rank(rank) => self.set_rank(now, rank),
            Event::Prober(prober) => self.prober = prober,
            Event::Report(instance, sent, report) => {
                self.reports.answered(sent, &instance, *report)
            }
            Event::Silent(instance) => self.reports.failed(&instance),
            Event::Stale(epoch) => self.stale = self.stale.max(epoch),
            Event::Whole(replicas) => self.whole.extend(replicas.into_iter().map(|it| (it, now))),
            Event::Stop => self.stopping = true,
            Event::Tick => {}
        }
    }

    fn set_rank(&mut self, now: Time, rank: usize) {
        if self.rank != rank {
            self.ranked = now;
        }
        self.rank = rank;
    }

    fn read(&mut self, now: Time, object: Object) {
        let known = self.object.as_ref().map_or(0, |it| it.version);
        let unchecked = std::mem::replace(&mut self.store, Store::Free);
        match unchecked {
            Store::Checking { sent, value, .. } if value.lease == object.fabric.lease => {
                self.adopt(now, object);
                self.renewed(now, sent);
                return;
            }
            Store::Writing { .. } => self.store = unchecked,
            _ => {}
        }
        if object.version >= known || object.version == 0 {
            self.adopt(now, object);
        }
    }

    fn read_failed(&mut self, now: Time) {
        self.store = match std::mem::replace(&mut self.store, Store::Free) {
            Store::Checking { sent, value, .. } => Store::Checking { since: now, sent, value },
            Store::Writing { sent, value } => Store::Writing { sent, value },
            _ => Store::Pausing { until: now + self.settings.store_pause },
        };
    }

    fn written(&mut self, now: Time, version: u64) {
        let Store::Writing { sent, value } = std::mem::replace(&mut self.store, Store::Free) else {
            return;
        };
        if self.object.as_ref().is_some_and(|it| it.version > version) {
            return;
        }
        self.adopt(now, Object { version, fabric: value });
        self.renewed(now, sent);
    }

    fn lost(&mut self, now: Time) {
        if let Store::Writing { sent, value } = std::mem::replace(&mut self.store, Store::Free) {
            // Reads at once: a due check counts from the last attempt to read.
            let since = now.back(self.settings.store_pause);
            self.store = Store::Checking { since, sent, value };
        }
    }

    fn renewed(&mut self, now: Time, sent: Time) {
        if let Some(object) = &self.object {
            self.lease.written(now, sent, &object.fabric.lease);
        }
    }

    fn adopt(&mut self, now: Time, object: Object) {
        self.lease.observe(now, &object.fabric.lease);
        let old = std::mem::take(&mut self.since);
        let states = object.fabric.replicas.iter().map(|(name, replica)| {
            let kept = old.get(name).filter(|(state, _)| *state == replica.state);
            (name.clone(), kept.copied().unwrap_or((replica.state, now)))
        });
        self.since = states.collect();
        self.whole.retain(|name, _| object.fabric.replicas.contains_key(name));
        self.object = Some(object);
    }
}

impl Owner {
    fn act(&mut self, now: Time) -> Vec<Action> {
        self.expire(now);
        let mut actions = self.store_calls(now);
        self.watch(now);
        actions.extend(self.reports.due(now).into_iter().map(Action::Probe));
        actions.extend(self.orders(now).into_iter().map(Action::Send));
        actions
    }

    fn expire(&mut self, now: Time) {
        let timeout = self.settings.store_timeout;
        match &self.store {
            Store::Pausing { until } if now >= *until => self.store = Store::Free,
            Store::Reading { since } if now >= *since + timeout => self.read_failed(now),
            Store::Writing { sent, .. } if now >= *sent + timeout => self.lost(now),
            _ => {}
        }
    }

    fn store_calls(&mut self, now: Time) -> Vec<Action> {
        if let Store::Checking { since, .. } = &mut self.store {
            if now < *since + self.settings.store_pause {
                return Vec::new();
            }
            *since = now;
            return vec![Action::Read];
        }
        let known = self.object.as_ref().filter(|_| matches!(self.store, Store::Free));
        let Some(object) = known else {
            if !matches!(self.store, Store::Free | Store::Behind) {
                return Vec::new();
            }
            self.store = Store::Reading { since: now };
            return vec![Action::Read];
        };
        let Some(fabric) = self.next(now, object) else { return Vec::new() };
        let version = object.version;
        if fabric.lease.holder.is_none() {
            self.lease.give_up();
        }
        self.store = Store::Writing { sent: now, value: fabric.clone() };
        vec![Action::Put(Object { version, fabric })]
    }

    /// The value to write, if any.
    fn next(&self, now: Time, object: &Object) -> Option<Fabric> {
        let fabric = &object.fabric;
        let Some(held) = self.lease.held(now) else {
            let mine = self.lease.is_mine(&fabric.lease);
            if self.stopping {
                return mine.then(|| self.hand_over(fabric));
            }
            let take = mine || self.lease.vacant(now, self.rank);
            return take.then(|| self.renewal(fabric));
        };
        if self.stopping || self.is_misplaced(now, held) {
            return Some(self.hand_over(fabric));
        }
        if self.lease.settled(now).is_some() {
            let replicas = self.advance(now, held, fabric);
            if let Some(replicas) = replicas.filter(|it| *it != fabric.replicas) {
                let layout = Layout(fabric.layout.0 + 1);
                let next = Fabric { layout, replicas, ..self.renewal(fabric) };
                if next.check().is_ok() {
                    return Some(next);
                }
            }
        }
        let due = now >= held.renewed + self.settings.lease.renew || self.stale > held.epoch;
        due.then(|| self.renewal(fabric))
    }

    fn advance(&self, now: Time, held: Held, fabric: &Fabric) -> Option<BTreeMap<Name, Replica>> {
        let wants = self.wants.as_ref()?;
        let context = self.context(now, held);
        Some(reconcile::advance(&context, &self.name, fabric, wants, self.loads))
    }

    fn context(&self, now: Time, held: Held) -> Context<'_> {
        Context {
            now,
            held,
            awake: self.awake,
            reports: &self.reports,
            listed: &self.listed,
            since: &self.since,
            whole: &self.whole,
            settings: &self.settings.lifecycle,
        }
    }

    fn renewal(&self, fabric: &Fabric) -> Fabric {
        Fabric { lease: self.lease.next(&fabric.lease, self.stale), ..fabric.clone() }
    }

    fn hand_over(&self, fabric: &Fabric) -> Fabric {
        let mut next = self.renewal(fabric);
        next.lease.holder = None;
        next
    }

    fn is_misplaced(&self, now: Time, held: Held) -> bool {
        let patience = self.settings.hand_over_after;
        self.rank > 0 && now >= held.since.max(self.ranked) + patience
    }

    /// Sets which instances to probe: all, for the holder and the probers.
    fn watch(&mut self, now: Time) {
        let mut wanted = BTreeMap::new();
        if self.probes(now) {
            let listed = self.listed.iter().map(|(name, it)| (name.clone(), it.address));
            wanted.extend(listed);
            let replicas = self.object.iter().flat_map(|it| it.fabric.replicas.values());
            let members = replicas.flat_map(|it| &it.members);
            wanted.extend(members.map(|it| (it.instance.clone(), it.address)));
        }
        self.reports.watch(wanted);
    }

    fn orders(&mut self, now: Time) -> Vec<Dispatch> {
        let Some(held) = self.lease.settled(now) else { return Vec::new() };
        let Some(object) = &self.object else { return Vec::new() };
        let context = self.context(now, held);
        let due = order::due(&context, &object.fabric);
        let known: BTreeSet<_> = due.iter().map(|it| it.instance.clone()).collect();
        self.ordered.retain(|name, _| known.contains(name));
        let pause = self.settings.order_pause;
        let ordered = &mut self.ordered;
        let ready = due.into_iter().filter(|it| {
            let wait = ordered.get(&it.instance).is_some_and(|at| now < *at + pause);
            if !wait {
                ordered.insert(it.instance.clone(), now);
            }
            !wait
        });
        ready.collect()
    }
}
