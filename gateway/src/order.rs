//! Gives orders to instances, each after the instance has confirmed the state that the plan
//! assumes.
//!
//! The list that a plan is based on is slightly out of date. An order that takes an instance into a
//! replica is therefore given only if the instance's own report meets the precondition, and is
//! carried out only if the instance has accepted no other order since that report.

use std::iter;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use decision::gateway::fleet::Report;
use decision::gateway::formation::{Action, Order, Precondition, Reply, Verdict};
use decision::prelude::*;
use tokio::time::sleep;

use crate::error::Call;
use crate::journal::Event;
use crate::port::{Command, Platform};
use crate::state::Shared;

/// Timeout of an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(900);

/// Timeout of the request for the report that precedes an order.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Largest response of an instance, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 10;

/// Delays before the report is requested again: a report shows the state of the instance some
/// hundred milliseconds earlier.
const REPORT_RETRY_DELAYS: [Duration; 3] =
    [Duration::from_millis(80), Duration::from_millis(130), Duration::from_millis(190)];

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The instance answered.
    Answered(Reply),
    /// The instance doesn't meet the precondition, or the plan is outdated; the order was not
    /// given.
    Mismatch,
    /// The instance didn't answer. It may carry out the order.
    NoResponse,
    /// No connection to the instance could be made.
    Unreachable,
}

/// Gives an order to an instance and logs the result.
pub(crate) async fn give<P: Platform>(shared: &Shared<P>, action: &Action, fence: u64) -> Outcome {
    let list_age_ms = list_age_millis(shared);
    let (outcome, result) = match &action.precondition {
        _ if is_overtaken(shared, action, fence) => (Outcome::Mismatch, "overtaken".to_owned()),
        Some(precondition) => give_if(shared, action, precondition, fence).await,
        None => send(shared, action, fence, None).await,
    };
    let (name, group) = describe(&action.order);
    shared.journal.note(&Event::Ordered {
        instance: &action.id,
        order: name,
        group,
        fence,
        era: shared.era(),
        list_age_ms,
        result: &result,
    });
    outcome
}

/// Returns whether the plan that the order belongs to became invalid while the order waited.
fn is_overtaken<P>(shared: &Shared<P>, action: &Action, fence: u64) -> bool {
    let has_seen_request = shared.has_seen_request.load(Ordering::Relaxed);
    shared.peers.own_fence() != Some(fence) || (action.is_exempt_load && has_seen_request)
}

/// Gives an order if the instance's report meets the precondition. Requests the report again after
/// a mismatch of the same start of the instance, or if the instance accepted another order
/// meanwhile.
async fn give_if<P: Platform>(
    shared: &Shared<P>,
    action: &Action,
    precondition: &Precondition,
    fence: u64,
) -> (Outcome, String) {
    let mut steps = Vec::new();
    for delay in iter::once(Duration::ZERO).chain(REPORT_RETRY_DELAYS) {
        sleep(delay).await;
        let report = match request_report(shared, action).await {
            Ok(report) => report,
            Err(failure) => return failure,
        };
        let verdict = precondition.check(&report);
        steps.push(describe_report(&report));
        if verdict == Verdict::Mismatch && report.incarnation == precondition.incarnation {
            continue;
        }
        if verdict == Verdict::Mismatch || shared.peers.own_fence() != Some(fence) {
            break;
        }
        let (outcome, result) = give_after(shared, action, fence, verdict, report.orders).await;
        steps.push(result);
        if outcome != Outcome::Answered(Reply::Conflict) {
            return (outcome, steps.join("; "));
        }
    }
    (Outcome::Mismatch, steps.join("; "))
}

/// Gives an order to an instance that has accepted the number `orders` of orders before, after an
/// order to leave its replica if `verdict` asks for that.
async fn give_after<P: Platform>(
    shared: &Shared<P>,
    action: &Action,
    fence: u64,
    verdict: Verdict,
    orders: Option<u64>,
) -> (Outcome, String) {
    let mut expected_orders = orders;
    if let Verdict::LeaveFirst(order) = verdict {
        let leave = Action { order, ..action.clone() };
        let (outcome, result) = send(shared, &leave, fence, expected_orders).await;
        if outcome != Outcome::Answered(Reply::Accepted) {
            return (outcome, result);
        }
        expected_orders = expected_orders.map(|it| it + 1);
    }
    send(shared, action, fence, expected_orders).await
}

/// Requests the report of the instance that an order is for.
async fn request_report<P: Platform>(
    shared: &Shared<P>,
    action: &Action,
) -> Result<Report, (Outcome, String)> {
    let request = shared.platform.probe(action.address);
    let response =
        shared.targets.call_once(action.address, request, REPORT_TIMEOUT, MAX_RESPONSE_BYTES).await;
    let response = response.map_err(|error| call_failed(&error))?;
    let report = shared.platform.report(response.body());
    report.map_err(|error| (Outcome::Answered(Reply::Refused), error.to_string()))
}

/// Sends an order and returns the outcome with the text of its result.
async fn send<P: Platform>(
    shared: &Shared<P>,
    action: &Action,
    fence: u64,
    expected_orders: Option<u64>,
) -> (Outcome, String) {
    let command = Command { id: &action.id, order: &action.order, fence, expected_orders };
    let request = shared.platform.order(action.address, &command);
    match shared.targets.call(action.address, request, ORDER_TIMEOUT, MAX_RESPONSE_BYTES).await {
        Ok(response) => {
            let reply = shared.platform.reply(response.status());
            (Outcome::Answered(reply), response.status().to_string())
        }
        Err(error) => call_failed(&error),
    }
}

fn call_failed(error: &Call) -> (Outcome, String) {
    let outcome = match error {
        Call::Connect(_) => Outcome::Unreachable,
        _ => Outcome::NoResponse,
    };
    (outcome, error.to_string())
}

/// Summarizes a report for the log.
fn describe_report(report: &Report) -> String {
    let orders = report.orders.map_or("?".to_owned(), |it| it.to_string());
    match &report.member {
        Some(it) => format!("{:?} in {} after {orders} orders", it.state, it.group),
        None => format!("free after {orders} orders"),
    }
}

/// Returns the milliseconds since the list of instances was last known to be up to date.
fn list_age_millis<P>(shared: &Shared<P>) -> u64 {
    let confirmed_at = shared.knowledge().fleet_confirmed_at.unwrap_or(Time::ZERO);
    let age = shared.now().since(confirmed_at);
    u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the name of an order, and the replica or model that it is about.
fn describe(order: &Order) -> (&'static str, &Arc<str>) {
    match order {
        Order::Join { group, .. } => ("join", group),
        Order::Open { group, .. } => ("open", group),
        Order::Close { group, .. } => ("close", group),
        Order::Leave { group, .. } => ("leave", group),
        Order::Stage { model } => ("stage", model),
    }
}
