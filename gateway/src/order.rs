//! Gives an order to an instance, once the instance has said that it is what the plan took it for.
//!
//! The list that a plan is made of is a little old. An order that takes an instance for a replica
//! is therefore given only if the instance itself shows that nothing has changed, and is carried
//! out only if it has taken no other order since then.

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

/// Longest time for an order.
const ORDER: Duration = Duration::from_millis(900);

/// Longest time for the question that comes before an order.
const QUESTION: Duration = Duration::from_millis(300);

/// Longest answer of an instance, in bytes.
const MAX_ANSWER: usize = 1 << 20;

/// Pauses after which the question is asked again: an instance tells what it was some hundred
/// milliseconds earlier.
const PAUSES: [Duration; 3] =
    [Duration::from_millis(80), Duration::from_millis(130), Duration::from_millis(190)];

/// What came of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The instance answered.
    Answered(Reply),
    /// It is not what the plan took it for, and was not given the order.
    Mismatch,
    /// It did not answer. It may carry the order out.
    NoResponse,
    /// It could not be reached.
    Unreachable,
}

/// Gives the order to the instance.
pub(crate) async fn give<P: Platform>(shared: &Shared<P>, action: &Action, fence: u64) -> Outcome {
    let list_age_ms = list_age(shared);
    let (outcome, result) = match &action.precondition {
        _ if is_overtaken(shared, action, fence) => (Outcome::Mismatch, "overtaken".to_owned()),
        Some(premise) => give_if(shared, action, premise, fence).await,
        None => send(shared, action, fence, None).await,
    };
    let (name, group) = describe(&action.order);
    shared.journal.note(&Event::Ordered {
        instance: &action.id,
        order: name,
        group,
        fence,
        list_age_ms,
        result: &result,
    });
    outcome
}

/// Whether an order has waited for so long that the plan which it is a part of holds no more.
fn is_overtaken<P>(shared: &Shared<P>, action: &Action, fence: u64) -> bool {
    let seen = shared.has_seen_request.load(Ordering::Relaxed);
    shared.peers.own_fence() != Some(fence) || (action.is_exempt_load && seen)
}

/// Gives the order if the premise holds and goes on to hold.
async fn give_if<P: Platform>(
    shared: &Shared<P>,
    action: &Action,
    premise: &Precondition,
    fence: u64,
) -> (Outcome, String) {
    let mut seen = Vec::new();
    for pause in iter::once(Duration::ZERO).chain(PAUSES) {
        sleep(pause).await;
        let report = match ask(shared, action).await {
            Ok(report) => report,
            Err(failure) => return failure,
        };
        let verdict = premise.check(&report);
        seen.push(describe_report(&report));
        if verdict == Verdict::Mismatch && report.incarnation == premise.incarnation {
            continue;
        }
        if verdict == Verdict::Mismatch || shared.peers.own_fence() != Some(fence) {
            break;
        }
        let (outcome, result) = give_after(shared, action, fence, verdict, report.orders).await;
        seen.push(result);
        if outcome != Outcome::Answered(Reply::Conflict) {
            return (outcome, seen.join("; "));
        }
    }
    (Outcome::Mismatch, seen.join("; "))
}

/// Gives the order to an instance that has taken so many, once it has left its replica if need be.
async fn give_after<P: Platform>(
    shared: &Shared<P>,
    action: &Action,
    fence: u64,
    verdict: Verdict,
    orders: Option<u64>,
) -> (Outcome, String) {
    let mut after = orders;
    if let Verdict::LeaveFirst(order) = verdict {
        let leave = Action { order, ..action.clone() };
        let (outcome, result) = send(shared, &leave, fence, after).await;
        if outcome != Outcome::Answered(Reply::Accepted) {
            return (outcome, result);
        }
        after = after.map(|it| it + 1);
    }
    send(shared, action, fence, after).await
}

async fn ask<P: Platform>(
    shared: &Shared<P>,
    action: &Action,
) -> Result<Report, (Outcome, String)> {
    let request = shared.platform.probe(action.address);
    let answer = shared.targets.call_once(action.address, request, QUESTION, MAX_ANSWER).await;
    let answer = answer.map_err(|error| unanswered(&error))?;
    let report = shared.platform.report(answer.body());
    report.map_err(|error| (Outcome::Answered(Reply::Refused), error.to_string()))
}

async fn send<P: Platform>(
    shared: &Shared<P>,
    action: &Action,
    fence: u64,
    after: Option<u64>,
) -> (Outcome, String) {
    let command = Command { id: &action.id, order: &action.order, fence, expected_orders: after };
    let request = shared.platform.order(action.address, &command);
    match shared.targets.call(action.address, request, ORDER, MAX_ANSWER).await {
        Ok(answer) => {
            let taken = shared.platform.reply(answer.status());
            (Outcome::Answered(taken), answer.status().to_string())
        }
        Err(error) => unanswered(&error),
    }
}

fn unanswered(error: &Call) -> (Outcome, String) {
    let outcome = match error {
        Call::Connect(_) => Outcome::Unreachable,
        _ => Outcome::NoResponse,
    };
    (outcome, error.to_string())
}

/// What an instance said of itself, in short.
fn describe_report(report: &Report) -> String {
    let orders = report.orders.map_or("?".to_owned(), |it| it.to_string());
    match &report.member {
        Some(it) => format!("{:?} in {} after {orders} orders", it.state, it.group),
        None => format!("free after {orders} orders"),
    }
}

/// Milliseconds since the list of instances was known to hold.
fn list_age<P>(shared: &Shared<P>) -> u64 {
    let known = shared.knowledge().fleet_confirmed_at.unwrap_or(Time::ZERO);
    let age = shared.now().since(known);
    u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
}

fn describe(order: &Order) -> (&'static str, &Arc<str>) {
    match order {
        Order::Join { group, .. } => ("join", group),
        Order::Open { group, .. } => ("open", group),
        Order::Close { group, .. } => ("close", group),
        Order::Leave { group, .. } => ("leave", group),
        Order::Stage { model } => ("stage", model),
    }
}
