//! An owner of the replicas: its view of the list, its plan, and what it makes of results, as the
//! shell does.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use decision::gateway::demand::Demand;
use decision::gateway::engine::Engine;
use decision::gateway::fleet::{Fleet, Instance, Presence, Report};
use decision::gateway::formation::{Action, Formation, Order, Reply, Role, Settings};
use decision::prelude::*;

use crate::support::{at, ms};

/// Questions without an answer after which an instance counts as lost.
const MISSES: u32 = 2;

/// Pause between two questions to one instance.
const PROBE_PAUSE: Duration = ms(400);

/// The same, for an instance whose replica forms.
const FORMING_PAUSE: Duration = ms(100);

/// The same, for an instance that no replica depends on.
const SPARE_PAUSE: Duration = ms(1_300);

/// One of the owners.
pub(super) struct Owner {
    pub(super) fence: u64,
    pub(super) fleet: Fleet,
    formation: Formation,
    /// By how much its view of the list lags.
    pub(super) lag: u64,
    /// When what it knows of the list was true.
    seen: u64,
    /// Older news that it takes for the latest, and the news that it missed by that.
    misled: HashMap<Arc<str>, (Instance, Instance)>,
    /// When it gives up.
    pub(super) ends: Option<u64>,
    /// Until when it does nothing.
    pub(super) asleep: Option<u64>,
    probes: HashMap<Arc<str>, Probe>,
    /// Whether it has asked for the lease.
    asks: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Probe {
    at: Time,
    misses: u32,
}

/// What came of a call to an instance.
#[derive(Clone, Debug)]
pub(super) enum Result {
    Order {
        id: Arc<str>,
        born: u64,
        order: Order,
        outcome: Outcome,
    },
    Probe {
        id: Arc<str>,
        born: u64,
        report: Option<Report>,
    },
    /// Whether the lease was the owner's, and when it was asked for.
    Lease {
        asked: u64,
        held: bool,
    },
}

/// What came of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The instance answered.
    Answered(Reply),
    /// It is not what the plan took it for, and was not given the order.
    Contested,
    /// It did not answer.
    Silent,
    /// It could not be reached.
    Unreachable,
}

/// What an owner wants to be sent.
#[derive(Debug, Default)]
pub(super) struct Wishes {
    pub(super) orders: Vec<(Action, u64)>,
    /// Instances to ask for their report, and which start of them is meant.
    pub(super) questions: Vec<(Arc<str>, u64)>,
    /// Whether to read the lease.
    pub(super) lease: bool,
}

impl Wishes {
    /// Instances that are ordered for several replicas. Who leaves one may join another.
    pub(super) fn torn(&self) -> Vec<Arc<str>> {
        let mut groups: HashMap<&Arc<str>, &Arc<str>> = HashMap::new();
        let mut torn = Vec::new();
        for (action, _) in &self.orders {
            let (Order::Join { group, .. } | Order::Open { group, .. }) = &action.order else {
                continue;
            };
            if groups.insert(&action.id, group).is_some_and(|it| it != group) {
                torn.push(action.id.clone());
            }
        }
        torn
    }
}

impl Owner {
    /// An owner that takes over, knowing `fleet`.
    pub(super) fn new(fence: u64, now: u64, fleet: Fleet, lag: u64) -> Owner {
        let mut formation = Formation::new(fence, Settings::default());
        if fence > 1 {
            formation.charge_previous_owner(at(now));
        }
        Owner {
            fence,
            fleet,
            formation,
            lag,
            seen: 0,
            misled: HashMap::new(),
            ends: None,
            asleep: None,
            probes: HashMap::new(),
            asks: false,
        }
    }

    /// Takes what the list showed at `time`, unless it knows later news.
    pub(super) fn read(&mut self, now: u64, time: u64, view: &[Instance]) {
        if time > self.seen {
            self.seen = time;
            let seen = |it: &Instance| match self.misled.get(&it.id) {
                Some((older, missed)) if missed == it => older.clone(),
                _ => it.clone(),
            };
            self.fleet.replace_all(at(now), view.iter().map(seen));
        }
    }

    /// Takes older news of an instance for the latest.
    pub(super) fn mislead(&mut self, older: Instance, missed: Instance) {
        self.misled.insert(older.id.clone(), (older, missed));
    }

    /// The orders and questions of one turn.
    pub(super) fn plan(
        &mut self,
        now: u64,
        engine: &Engine,
        free_loads: bool,
        demands: &[(Arc<str>, Demand)],
    ) -> Wishes {
        let now = at(now);
        let survey: Vec<(Arc<Instance>, Presence)> = self.fleet.iter_with_presence(now).collect();
        self.formation.set_loads_exempt(free_loads);
        self.formation.record_demand(now, demands.iter().cloned());
        let known = survey.iter().map(|(it, presence)| (&**it, *presence));
        let actions = self.formation.plan(now, engine, known);
        let born = |id| survey.iter().find(|(it, _)| it.id == id).map(|(it, _)| it.incarnation);
        let orders = actions.into_iter().map(|it| {
            let born = born(it.id.clone()).unwrap_or_default();
            (it, born)
        });
        let lease =
            self.formation.is_waiting_for_lease() && !std::mem::replace(&mut self.asks, true);
        let mut wishes = Wishes { orders: orders.collect(), questions: Vec::new(), lease };
        // In the order of their names, so that a seed stands for one course of events.
        let doubtful: BTreeMap<_, _> = self.formation.unlisted().into_iter().collect();
        for (id, doubt) in doubtful {
            let pause = match doubt {
                Role::Forming => FORMING_PAUSE,
                Role::Member => PROBE_PAUSE,
                Role::Spare => SPARE_PAUSE,
            };
            wishes.questions.extend(self.ask(now, &id, pause));
        }
        self.probes.retain(|_, it| now.since(it.at) < PROBE_PAUSE * 5);
        wishes
    }

    /// Takes a result. Returns whom to ask next, or `Err` if a later owner was met.
    pub(super) fn take(
        &mut self,
        now: u64,
        result: Result,
    ) -> std::result::Result<Option<(Arc<str>, u64)>, ()> {
        let now = at(now);
        match result {
            Result::Lease { asked, held } => {
                self.asks = false;
                if !held {
                    return Err(());
                }
                self.formation.confirm_lease(at(asked));
                Ok(None)
            }
            Result::Probe { id, born, report } => Ok(self.probed(now, &id, born, report)),
            Result::Order { id, order, outcome: Outcome::Answered(Reply::Fenced), .. } => {
                if self.formation.is_last_order(&id, &order) { Err(()) } else { Ok(None) }
            }
            Result::Order { id, born, order, outcome } => {
                match outcome {
                    Outcome::Answered(taken) => {
                        self.formation.record_reply(now, &id, born, &order, taken);
                    }
                    Outcome::Contested => self.formation.mark_mismatched(now, &id, born),
                    Outcome::Unreachable => self.formation.mark_unreachable(now, &id, born),
                    Outcome::Silent => return Ok(self.ask(now, &id, PROBE_PAUSE)),
                }
                Ok(None)
            }
        }
    }

    fn probed(
        &mut self,
        now: Time,
        id: &Arc<str>,
        born: u64,
        report: Option<Report>,
    ) -> Option<(Arc<str>, u64)> {
        let alive = report.is_some();
        if let Some(report) = report {
            self.fleet.observe(id, report);
        }
        let probe = self.probes.entry(id.clone()).or_default();
        probe.misses = if alive { 0 } else { probe.misses + 1 };
        match (alive, probe.misses >= MISSES) {
            (true, _) => self.formation.mark_reachable(now, id, born),
            (false, true) => self.formation.mark_unreachable(now, id, born),
            (false, false) => {
                probe.at = now;
                return self.question(id);
            }
        }
        None
    }

    fn ask(&mut self, now: Time, id: &Arc<str>, pause: Duration) -> Option<(Arc<str>, u64)> {
        let probe = self.probes.entry(id.clone()).or_default();
        if now.since(probe.at) < pause && probe.at != Time::ZERO {
            return None;
        }
        probe.at = now;
        self.question(id)
    }

    fn question(&self, id: &Arc<str>) -> Option<(Arc<str>, u64)> {
        self.fleet.find(id).map(|it| (id.clone(), it.incarnation))
    }
}
