//! The network of a simulation: orders, requests for reports, probes and their answers in transit,
//! with the timeouts and retries of the I/O code around `Formation`.

use std::sync::Arc;

use decision::gateway::fleet::{Instance, Report};
use decision::gateway::formation::{Action, Order, Reply, Verdict};
use rand::RngExt as _;

use super::conditions::draw_millis;
use super::node::{Context, Message, Node};
use super::owner::{CallResult, Outcome};
use super::{Event, Simulation};

/// Time for which an owner waits for the answer to an order.
const ORDER_TIMEOUT_MS: u64 = 900;

/// Time for which an owner waits for the report that an order's precondition needs.
const REPORT_TIMEOUT_MS: u64 = 300;

/// Pauses before an owner requests that report again. After the last one it gives the order up.
const REPORT_RETRY_DELAYS_MS: [u64; 3] = [80, 130, 190];

/// Time for which an owner waits for the answer to a probe.
const PROBE_TIMEOUT_MS: u64 = 180;

/// An order in transit, or one that waits for a report.
#[derive(Clone, Debug)]
pub(super) struct Delivery {
    fence: u64,
    action: Action,
    /// The start of the instance that is meant.
    incarnation: u64,
    /// The order to leave another replica, which has to be accepted first.
    leave_first: Option<Order>,
    /// The order count at which the instance must still be, known from its report.
    expected_orders: Option<u64>,
    /// Number of reports of the instance that the owner has read for this order.
    reports_read: usize,
    /// Whether the answer arrives before the owner's timeout.
    is_answered: bool,
}

impl Simulation {
    /// Handles an event whose time has come.
    pub(super) fn handle_event(&mut self, event: Event) {
        match event {
            Event::ReportRequest(delivery) => self.receive_report_request(delivery),
            Event::Report(delivery, report) => self.check_precondition(delivery, &report),
            Event::Order(delivery) => self.deliver(delivery),
            Event::Probe { fence, id, incarnation } => self.receive_probe(fence, id, incarnation),
            Event::LeaseRead { fence, started_at } => {
                let is_held = fence == self.fence;
                self.schedule(
                    1,
                    Event::CallResult { fence, result: CallResult::Lease { started_at, is_held } },
                );
            }
            Event::CallResult { fence, result } => self.deliver_result(fence, result),
            Event::Election => self.elect(0),
        }
    }

    /// Sends a probe from an owner to an instance. It always arrives before the probe times out.
    pub(super) fn send_probe(&mut self, fence: u64, id: Arc<str>, incarnation: u64) {
        let after = self.draw_latency().min(PROBE_TIMEOUT_MS - 30);
        self.schedule(after, Event::Probe { fence, id, incarnation });
    }

    /// Sends an order, or first requests the report that its precondition needs.
    pub(super) fn give_order(&mut self, fence: u64, action: Action, incarnation: u64) {
        if matches!(action.order, Order::Stage { .. }) {
            self.load_times.push(self.now);
        }
        let owner = self.owners.iter().find(|it| it.fence == fence);
        let listed = owner.and_then(|it| it.fleet.find(&action.id).cloned());
        let listed = listed.as_ref().map(|it| describe(it));
        let line = format!(
            "{:>6} owner {fence} orders {} {:?}, listed as {listed:?}",
            self.now, action.id, action.order
        );
        self.checker.note(&action.id, line);
        let needs_report = action.precondition.is_some();
        let delivery = Delivery {
            fence,
            action,
            incarnation,
            leave_first: None,
            expected_orders: None,
            reports_read: 0,
            is_answered: true,
        };
        if needs_report { self.request_report(0, delivery) } else { self.send_order(delivery) }
    }

    /// Requests the report for an order after `delay` milliseconds. If the request would take too
    /// long, the order times out instead.
    fn request_report(&mut self, delay: u64, delivery: Delivery) {
        let latency = self.draw_latency();
        match latency < REPORT_TIMEOUT_MS {
            true => self.schedule(delay + latency, Event::ReportRequest(delivery)),
            false => self.schedule_outcome(delay + REPORT_TIMEOUT_MS, delivery, Outcome::TimedOut),
        }
    }

    /// Lets an instance answer a request for its report.
    fn receive_report_request(&mut self, delivery: Delivery) {
        let age = self.conditions.report_age.clone();
        let at = self.now.saturating_sub(draw_millis(&mut self.random, &age));
        let report = self.reachable_node(&delivery.action.id).map(|it| it.report(at));
        match report {
            Some(report) => self.schedule(1, Event::Report(delivery, report)),
            None => self.schedule_outcome(1, delivery, Outcome::Unreachable),
        }
    }

    /// Sends the order if the report meets its precondition. A paused owner reads the report later.
    fn check_precondition(&mut self, mut delivery: Delivery, report: &Report) {
        let owner = self.owners.iter().find(|it| it.fence == delivery.fence);
        if let Some(resumes_at) = owner.and_then(|it| it.paused_until) {
            return self
                .schedule(resumes_at - self.now + 1, Event::Report(delivery, report.clone()));
        }
        let is_owner = owner.is_some();
        delivery.reports_read += 1;
        let verdict = delivery.action.precondition.as_ref().map(|it| it.check(report));
        if verdict == Some(Verdict::Mismatch) {
            return self.withhold(delivery, report);
        }
        if !is_owner {
            return;
        }
        delivery.leave_first = match verdict {
            Some(Verdict::LeaveFirst(order)) => Some(order),
            _ => None,
        };
        delivery.expected_orders = report.orders;
        self.send_order(delivery);
    }

    /// Requests another report, since this one doesn't meet the precondition, or gives the order up
    /// if the instance has been restarted.
    fn withhold(&mut self, delivery: Delivery, report: &Report) {
        let (id, fence) = (&delivery.action.id, delivery.fence);
        let line =
            format!("{:>6} owner {fence} withholds the order: {id} reports {report:?}", self.now);
        self.checker.note(id, line);
        let is_restarted = delivery
            .action
            .precondition
            .as_ref()
            .is_some_and(|it| it.incarnation != report.incarnation);
        match is_restarted {
            true => self.schedule_outcome(0, delivery, Outcome::Mismatched),
            false => self.request_report_again(delivery),
        }
    }

    /// Requests the report once more, or gives the order up after the last retry.
    fn request_report_again(&mut self, delivery: Delivery) {
        match REPORT_RETRY_DELAYS_MS.get(delivery.reports_read - 1) {
            Some(delay) => self.request_report(*delay, delivery),
            None => self.schedule_outcome(0, delivery, Outcome::Mismatched),
        }
    }

    /// Sends an order, which arrives in time or, with the probability `late_share`, late.
    fn send_order(&mut self, mut delivery: Delivery) {
        let is_late = self.random.random_bool(self.late_share);
        let range = if is_late {
            self.conditions.late_latency.clone()
        } else {
            self.conditions.latency.clone()
        };
        let after = draw_millis(&mut self.random, &range);
        delivery.is_answered = after < ORDER_TIMEOUT_MS;
        if !delivery.is_answered {
            self.schedule_outcome(ORDER_TIMEOUT_MS, delivery.clone(), Outcome::TimedOut);
        }
        self.schedule(after, Event::Order(delivery));
    }

    /// Carries out an order that arrives and schedules what its owner does next: send the order
    /// that was waiting for a leave, request another report, or read the outcome.
    fn deliver(&mut self, mut delivery: Delivery) {
        let reply = self.carry_out(&delivery);
        if !delivery.is_answered {
            return;
        }
        if reply == Some(Reply::Accepted) && delivery.leave_first.take().is_some() {
            delivery.expected_orders = delivery.expected_orders.map(|it| it + 1);
            return self.send_order(delivery);
        }
        match reply {
            Some(Reply::Conflict) if delivery.reports_read > 0 => {
                self.request_report_again(delivery)
            }
            Some(reply) => self.schedule_outcome(1, delivery, Outcome::Answered(reply)),
            None => self.schedule_outcome(1, delivery, Outcome::Unreachable),
        }
    }

    /// Schedules the outcome of an order, which its owner reads.
    fn schedule_outcome(&mut self, after: u64, delivery: Delivery, outcome: Outcome) {
        let Delivery { fence, action: Action { id, order, .. }, incarnation, .. } = delivery;
        self.schedule(
            after,
            Event::CallResult {
                fence,
                result: CallResult::Order { id, incarnation, order, outcome },
            },
        );
    }

    /// Carries out an order and returns the reply, if the instance can be reached. Panics if that
    /// breaks a rule.
    fn carry_out(&mut self, delivery: &Delivery) -> Option<Reply> {
        let Delivery {
            fence, action: Action { id, order, .. }, leave_first, expected_orders, ..
        } = delivery;
        let order = leave_first.as_ref().unwrap_or(order);
        let context = Context {
            engine: &self.engine,
            has_fencing: self.conditions.has_fencing,
            is_refused: self.random.random_bool(self.conditions.refusal_share),
            close_time: draw_millis(&mut self.random, &self.conditions.close_time),
        };
        let message = Message { order, fence: *fence, expected_orders: *expected_orders };
        let node = self.nodes.get_mut(id).filter(|it| !it.is_dead && !it.is_isolated)?;
        let before = node.clone();
        let reply = node.receive(self.now, &message, &context);
        let after = node.clone();
        let line = format!(
            "{:>6} {id} answers {reply:?} to owner {fence}: {order:?}, it was {} after {} orders",
            self.now,
            describe(&before.instance),
            before.orders
        );
        self.checker.note(id, line);
        if reply == Reply::Accepted {
            self.checker.check_order(&self.nodes, &before, order, &after);
        }
        Some(reply)
    }

    /// Lets an instance answer a probe. A restarted instance counts as one that doesn't answer.
    fn receive_probe(&mut self, fence: u64, id: Arc<str>, incarnation: u64) {
        let age = self.conditions.report_age.clone();
        let at = self.now.saturating_sub(draw_millis(&mut self.random, &age));
        let report = self.reachable_node(&id).map(|it| it.report(at));
        let after = if report.is_some() { 1 } else { PROBE_TIMEOUT_MS };
        let report = report.filter(|it| it.incarnation == incarnation);
        self.schedule(
            after,
            Event::CallResult { fence, result: CallResult::Probe { id, incarnation, report } },
        );
    }

    /// Returns the instance if owners can reach it.
    fn reachable_node(&self, id: &str) -> Option<&Node> {
        self.nodes.get(id).filter(|it| !it.is_dead && !it.is_isolated)
    }

    /// Draws the milliseconds until a message arrives.
    pub(super) fn draw_latency(&mut self) -> u64 {
        let latency = self.conditions.latency.clone();
        draw_millis(&mut self.random, &latency)
    }
}

/// Describes the state of an instance for the trace.
fn describe(instance: &Instance) -> String {
    let member = instance.member.as_ref();
    let member = member.map(|it| format!("{}/{} {:?}", it.group, it.rank, it.state));
    let (model, staged) = (instance.model.as_deref(), instance.staged.first());
    format!("incarnation {} {member:?} with {model:?} staged {staged:?}", instance.incarnation)
}
