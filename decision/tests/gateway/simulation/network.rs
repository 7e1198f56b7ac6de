//! Questions and orders on their way, as the shell sends them.

use std::sync::Arc;

use decision::gateway::fleet::{Instance, Report};
use decision::gateway::formation::{Action, Order, Reply, Verdict};
use rand::RngExt as _;

use super::conditions::delay;
use super::node::{Message, Node, Terms};
use super::owner::{Outcome, Result};
use super::{Event, Simulation};

/// Milliseconds for which an owner waits for the answer to an order.
const ORDER: u64 = 900;

/// Milliseconds for which it waits for the report that comes before an order.
const QUESTION: u64 = 300;

/// Milliseconds after which it asks again for that report.
const PAUSES: [u64; 3] = [80, 130, 190];

/// Milliseconds for which an owner waits to hear whether an instance lives.
const PROBE: u64 = 180;

/// An order on its way.
#[derive(Clone, Debug)]
pub(super) struct Parcel {
    fence: u64,
    action: Action,
    born: u64,
    /// The order to leave that comes before it.
    leave: Option<Order>,
    /// The orders that the instance must have taken.
    expect: Option<u64>,
    /// How often the instance was asked for its report, if it is.
    tries: usize,
    /// Whether the owner learns the answer.
    answered: bool,
}

impl Simulation {
    pub(super) fn happen(&mut self, event: Event) {
        match event {
            Event::Question(parcel) => self.question(parcel),
            Event::Report(parcel, report) => self.weigh(parcel, &report),
            Event::Order(parcel) => self.deliver(parcel),
            Event::Probe { fence, id, born } => self.probe(fence, id, born),
            Event::Lease { fence, asked } => {
                let held = fence == self.fence;
                self.push(1, Event::Result { fence, result: Result::Lease { asked, held } });
            }
            Event::Result { fence, result } => self.learn(fence, result),
            Event::Elect => self.elect(0),
        }
    }

    /// An owner asks an instance whether it lives.
    pub(super) fn ask(&mut self, fence: u64, id: Arc<str>, born: u64) {
        let after = self.travel().min(PROBE - 30);
        self.push(after, Event::Probe { fence, id, born });
    }

    /// An owner gives an order.
    pub(super) fn give(&mut self, fence: u64, action: Action, born: u64) {
        if matches!(action.order, Order::Stage { .. }) {
            self.load_times.push(self.now);
        }
        let owner = self.owners.iter().find(|it| it.fence == fence);
        let shown = owner.and_then(|it| it.fleet.find(&action.id).cloned());
        let shown = shown.as_ref().map(|it| describe(it));
        let line = format!(
            "{:>6} owner {fence} orders {} {:?}, listed as {shown:?}",
            self.now, action.id, action.order
        );
        self.checker.note(&action.id, line);
        let asks = action.precondition.is_some();
        let parcel =
            Parcel { fence, action, born, leave: None, expect: None, tries: 0, answered: true };
        if asks { self.inquire(0, parcel) } else { self.send(parcel) }
    }

    /// Asks for the report that comes before an order.
    fn inquire(&mut self, pause: u64, parcel: Parcel) {
        let travel = self.travel();
        match travel < QUESTION {
            true => self.push(pause + travel, Event::Question(parcel)),
            false => self.conclude(pause + QUESTION, parcel, Outcome::Silent),
        }
    }

    fn question(&mut self, parcel: Parcel) {
        let lag = self.conditions.report_lag.clone();
        let seen = self.now.saturating_sub(delay(&mut self.random, &lag));
        let report = self.reachable(&parcel.action.id).map(|it| it.report(seen));
        match report {
            Some(report) => self.push(1, Event::Report(parcel, report)),
            None => self.conclude(1, parcel, Outcome::Unreachable),
        }
    }

    /// Sends the order if its premise holds by the report.
    fn weigh(&mut self, mut parcel: Parcel, report: &Report) {
        let owner = self.owners.iter().find(|it| it.fence == parcel.fence);
        if let Some(wakes) = owner.and_then(|it| it.asleep) {
            return self.push(wakes - self.now + 1, Event::Report(parcel, report.clone()));
        }
        let owns = owner.is_some();
        parcel.tries += 1;
        let verdict = parcel.action.precondition.as_ref().map(|it| it.check(report));
        if verdict == Some(Verdict::Mismatch) {
            return self.withhold(parcel, report);
        }
        if !owns {
            return;
        }
        parcel.leave = match verdict {
            Some(Verdict::LeaveFirst(order)) => Some(order),
            _ => None,
        };
        parcel.expect = report.orders;
        self.send(parcel);
    }

    /// Asks again, or gives up, since the instance is not what the plan took it for.
    fn withhold(&mut self, parcel: Parcel, report: &Report) {
        let (id, fence) = (&parcel.action.id, parcel.fence);
        let line = format!("{:>6} owner {fence} withholds it: {id} is {report:?}", self.now);
        self.checker.note(id, line);
        let started = parcel
            .action
            .precondition
            .as_ref()
            .is_some_and(|it| it.incarnation != report.incarnation);
        match started {
            true => self.conclude(0, parcel, Outcome::Contested),
            false => self.again(parcel),
        }
    }

    /// Asks once more, unless that was done often enough.
    fn again(&mut self, parcel: Parcel) {
        match PAUSES.get(parcel.tries - 1) {
            Some(pause) => self.inquire(*pause, parcel),
            None => self.conclude(0, parcel, Outcome::Contested),
        }
    }

    fn send(&mut self, mut parcel: Parcel) {
        let lost = self.random.random_bool(self.late_share);
        let range =
            if lost { self.conditions.late.clone() } else { self.conditions.travel.clone() };
        let after = delay(&mut self.random, &range);
        parcel.answered = after < ORDER;
        if !parcel.answered {
            self.conclude(ORDER, parcel.clone(), Outcome::Silent);
        }
        self.push(after, Event::Order(parcel));
    }

    /// An order arrives at its instance, which takes or refuses it.
    fn deliver(&mut self, mut parcel: Parcel) {
        let taken = self.carry_out(&parcel);
        if !parcel.answered {
            return;
        }
        if taken == Some(Reply::Accepted) && parcel.leave.take().is_some() {
            parcel.expect = parcel.expect.map(|it| it + 1);
            return self.send(parcel);
        }
        match taken {
            Some(Reply::Conflict) if parcel.tries > 0 => self.again(parcel),
            Some(taken) => self.conclude(1, parcel, Outcome::Answered(taken)),
            None => self.conclude(1, parcel, Outcome::Unreachable),
        }
    }

    fn conclude(&mut self, after: u64, parcel: Parcel, outcome: Outcome) {
        let Parcel { fence, action: Action { id, order, .. }, born, .. } = parcel;
        self.push(
            after,
            Event::Result { fence, result: Result::Order { id, born, order, outcome } },
        );
    }

    /// Carries an order out. Panics if that breaks a rule.
    fn carry_out(&mut self, parcel: &Parcel) -> Option<Reply> {
        let Parcel { fence, action: Action { id, order, .. }, leave, expect, .. } = parcel;
        let order = leave.as_ref().unwrap_or(order);
        let terms = Terms {
            engine: &self.engine,
            fencing: self.conditions.fencing,
            refuses: self.random.random_bool(self.conditions.refusal),
            closing: delay(&mut self.random, &self.conditions.closing),
        };
        let message = Message { order, fence: *fence, expect: *expect };
        let node = self.nodes.get_mut(id).filter(|it| !it.dead && !it.hidden)?;
        let before = node.clone();
        let taken = node.take(self.now, &message, &terms);
        let after = node.clone();
        let line = format!(
            "{:>6} {id} answers {taken:?} to owner {fence}: {order:?}, it was {} after {} orders",
            self.now,
            describe(&before.instance),
            before.orders
        );
        self.checker.note(id, line);
        if taken == Reply::Accepted {
            self.checker.judge(&self.nodes, &before, order, &after);
        }
        Some(taken)
    }

    fn probe(&mut self, fence: u64, id: Arc<str>, born: u64) {
        let lag = self.conditions.report_lag.clone();
        let seen = self.now.saturating_sub(delay(&mut self.random, &lag));
        let report = self.reachable(&id).map(|it| it.report(seen));
        let after = if report.is_some() { 1 } else { PROBE };
        let report = report.filter(|it| it.incarnation == born);
        self.push(after, Event::Result { fence, result: Result::Probe { id, born, report } });
    }

    fn reachable(&self, id: &str) -> Option<&Node> {
        self.nodes.get(id).filter(|it| !it.dead && !it.hidden)
    }

    pub(super) fn travel(&mut self) -> u64 {
        let travel = self.conditions.travel.clone();
        delay(&mut self.random, &travel)
    }
}

fn describe(instance: &Instance) -> String {
    let member = instance.member.as_ref();
    let member = member.map(|it| format!("{}/{} {:?}", it.group, it.rank, it.state));
    let (model, staged) = (instance.model.as_deref(), instance.staged.first());
    format!("born {} {member:?} with {model:?} staged {staged:?}", instance.incarnation)
}
