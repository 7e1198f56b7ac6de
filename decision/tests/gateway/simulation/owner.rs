//! An owner of the replicas: its view of the list, its plans, and how it handles the results of
//! calls. It imitates the I/O code around `Formation`.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use decision::gateway::demand::Demand;
use decision::gateway::engine::Engine;
use decision::gateway::fleet::{Fleet, Instance, Presence, Report};
use decision::gateway::formation::{Action, Formation, Order, Reply, Role, Settings};
use decision::prelude::*;

use crate::support::{at, ms};

/// Probes in succession without an answer after which an instance counts as unreachable.
const MAX_MISSES: u32 = 2;

/// Minimum time between two probes of a member of a replica.
const PROBE_INTERVAL: Duration = ms(400);

/// Minimum time between two probes of a member of a replica that is being formed.
const FORMING_PROBE_INTERVAL: Duration = ms(100);

/// Minimum time between two probes of an instance that no replica depends on.
const SPARE_PROBE_INTERVAL: Duration = ms(1_300);

/// An owner and what it knows.
pub(super) struct Owner {
    pub(super) fence: u64,
    pub(super) fleet: Fleet,
    formation: Formation,
    /// Age of its view of the list, in milliseconds.
    pub(super) view_lag: u64,
    /// When the list was as its latest view shows it.
    view_time: u64,
    /// For some instances an older record, and the current record in whose place it reads the older
    /// one.
    stale_records: HashMap<Arc<str>, (Instance, Instance)>,
    /// When it stops being an owner, if it has a successor.
    pub(super) ends_at: Option<u64>,
    /// Until when it is paused, if it is.
    pub(super) paused_until: Option<u64>,
    probes: HashMap<Arc<str>, Probe>,
    /// Whether a read of the lease is under way.
    is_reading_lease: bool,
}

/// The probes of one instance.
#[derive(Clone, Copy, Debug, Default)]
struct Probe {
    /// When the latest one was sent.
    sent_at: Time,
    /// How many in succession went unanswered.
    misses: u32,
}

/// The result of a call to an instance or to the store.
#[derive(Clone, Debug)]
pub(super) enum CallResult {
    Order {
        id: Arc<str>,
        incarnation: u64,
        order: Order,
        outcome: Outcome,
    },
    Probe {
        id: Arc<str>,
        incarnation: u64,
        report: Option<Report>,
    },
    /// Whether the lease was the owner's, and when the read of it began.
    Lease {
        started_at: u64,
        is_held: bool,
    },
}

/// The outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The instance answered.
    Answered(Reply),
    /// The instance's report does not meet the precondition, so the order was not sent.
    Mismatched,
    /// No answer came in time.
    TimedOut,
    /// The instance could not be reached.
    Unreachable,
}

/// The messages that an owner sends in one step.
#[derive(Debug, Default)]
pub(super) struct Plan {
    /// Orders, each with the start of the instance that it is meant for.
    pub(super) orders: Vec<(Action, u64)>,
    /// Instances to probe, each with the start that is meant.
    pub(super) probes: Vec<(Arc<str>, u64)>,
    /// Whether to read the lease.
    pub(super) is_lease_read_due: bool,
}

impl Plan {
    /// Returns the instances that are ordered to join or open several replicas. An order to leave
    /// one replica and join another is no conflict.
    pub(super) fn conflicting(&self) -> Vec<Arc<str>> {
        let mut groups: HashMap<&Arc<str>, &Arc<str>> = HashMap::new();
        let mut conflicting = Vec::new();
        for (action, _) in &self.orders {
            let (Order::Join { group, .. } | Order::Open { group, .. }) = &action.order else {
                continue;
            };
            if groups.insert(&action.id, group).is_some_and(|it| it != group) {
                conflicting.push(action.id.clone());
            }
        }
        conflicting
    }
}

impl Owner {
    /// Returns an owner that takes over at `now` and knows `fleet`.
    pub(super) fn new(fence: u64, now: u64, fleet: Fleet, view_lag: u64) -> Owner {
        let mut formation = Formation::new(fence, Settings::default());
        if fence > 1 {
            formation.charge_previous_owner(at(now));
        }
        Owner {
            fence,
            fleet,
            formation,
            view_lag,
            view_time: 0,
            stale_records: HashMap::new(),
            ends_at: None,
            paused_until: None,
            probes: HashMap::new(),
            is_reading_lease: false,
        }
    }

    /// Reads the list as it was at `time`, unless it has read a later one.
    pub(super) fn read(&mut self, now: u64, time: u64, view: &[Instance]) {
        if time > self.view_time {
            self.view_time = time;
            let record = |it: &Instance| match self.stale_records.get(&it.id) {
                Some((older, missed)) if missed == it => older.clone(),
                _ => it.clone(),
            };
            self.fleet.replace_all(at(now), view.iter().map(record));
        }
    }

    /// Makes the owner read the record `older` wherever the list shows `missed`.
    pub(super) fn make_record_stale(&mut self, older: Instance, missed: Instance) {
        self.stale_records.insert(older.id.clone(), (older, missed));
    }

    /// Plans one step and returns what is to be sent.
    pub(super) fn plan(
        &mut self,
        now: u64,
        engine: &Engine,
        are_loads_exempt: bool,
        demands: &[(Arc<str>, Demand)],
    ) -> Plan {
        let now = at(now);
        let instances: Vec<(Arc<Instance>, Presence)> =
            self.fleet.iter_with_presence(now).collect();
        self.formation.set_loads_exempt(are_loads_exempt);
        self.formation.record_demand(now, demands.iter().cloned());
        let known = instances.iter().map(|(it, presence)| (&**it, *presence));
        let actions = self.formation.plan(now, engine, known);
        let incarnation =
            |id| instances.iter().find(|(it, _)| it.id == id).map(|(it, _)| it.incarnation);
        let orders = actions.into_iter().map(|it| {
            let incarnation = incarnation(it.id.clone()).unwrap_or_default();
            (it, incarnation)
        });
        let is_lease_read_due = self.formation.is_waiting_for_lease()
            && !std::mem::replace(&mut self.is_reading_lease, true);
        let mut plan = Plan { orders: orders.collect(), probes: Vec::new(), is_lease_read_due };
        // Sorted by identifier, so that a seed always gives the same run.
        let unlisted: BTreeMap<_, _> = self.formation.unlisted().into_iter().collect();
        for (id, role) in unlisted {
            let interval = match role {
                Role::Forming => FORMING_PROBE_INTERVAL,
                Role::Member => PROBE_INTERVAL,
                Role::Spare => SPARE_PROBE_INTERVAL,
            };
            plan.probes.extend(self.probe_if_due(now, &id, interval));
        }
        self.probes.retain(|_, it| now.since(it.sent_at) < PROBE_INTERVAL * 5);
        plan
    }

    /// Handles the result of a call. Returns the instance to probe next, if any, with the start
    /// that is meant, or an error if the result shows that there is a later owner.
    pub(super) fn handle_result(
        &mut self,
        now: u64,
        result: CallResult,
    ) -> std::result::Result<Option<(Arc<str>, u64)>, ()> {
        let now = at(now);
        match result {
            CallResult::Lease { started_at, is_held } => {
                self.is_reading_lease = false;
                if !is_held {
                    return Err(());
                }
                self.formation.confirm_lease(at(started_at));
                Ok(None)
            }
            CallResult::Probe { id, incarnation, report } => {
                Ok(self.handle_probe(now, &id, incarnation, report))
            }
            CallResult::Order { id, order, outcome: Outcome::Answered(Reply::Fenced), .. } => {
                if self.formation.is_last_order(&id, &order) {
                    Err(())
                } else {
                    Ok(None)
                }
            }
            CallResult::Order { id, incarnation, order, outcome } => {
                match outcome {
                    Outcome::Answered(reply) => {
                        self.formation.record_reply(now, &id, incarnation, &order, reply);
                    }
                    Outcome::Mismatched => self.formation.mark_mismatched(now, &id, incarnation),
                    Outcome::Unreachable => self.formation.mark_unreachable(now, &id, incarnation),
                    Outcome::TimedOut => return Ok(self.probe_if_due(now, &id, PROBE_INTERVAL)),
                }
                Ok(None)
            }
        }
    }

    /// Handles the answer to a probe, or its absence. Returns the instance if it is to be probed
    /// again at once.
    fn handle_probe(
        &mut self,
        now: Time,
        id: &Arc<str>,
        incarnation: u64,
        report: Option<Report>,
    ) -> Option<(Arc<str>, u64)> {
        let is_alive = report.is_some();
        if let Some(report) = report {
            self.fleet.observe(id, report);
        }
        let probe = self.probes.entry(id.clone()).or_default();
        probe.misses = if is_alive { 0 } else { probe.misses + 1 };
        match (is_alive, probe.misses >= MAX_MISSES) {
            (true, _) => self.formation.mark_reachable(now, id, incarnation),
            (false, true) => self.formation.mark_unreachable(now, id, incarnation),
            (false, false) => {
                probe.sent_at = now;
                return self.probe(id);
            }
        }
        None
    }

    /// Returns the instance and its start if the latest probe of it was sent at least `interval`
    /// ago.
    fn probe_if_due(
        &mut self,
        now: Time,
        id: &Arc<str>,
        interval: Duration,
    ) -> Option<(Arc<str>, u64)> {
        let probe = self.probes.entry(id.clone()).or_default();
        if now.since(probe.sent_at) < interval && probe.sent_at != Time::ZERO {
            return None;
        }
        probe.sent_at = now;
        self.probe(id)
    }

    /// Returns the instance and its start, if the owner knows it.
    fn probe(&self, id: &Arc<str>) -> Option<(Arc<str>, u64)> {
        self.fleet.find(id).map(|it| (id.clone(), it.incarnation))
    }
}
