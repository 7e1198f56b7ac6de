//! One plain call: attempts at targets and peers until one is answered.

use caller::answer::Source;
use caller::refusal::Kind;
use caller::request::Call;
use caller::{Answer, Refusal};
use decision::claim;
use decision::clock::Time;
use decision::freshness::{Permit, Stale};
use decision::outcome::Outcome;
use decision::request::{Failure, Forward};
use decision::target::Target;
use http::{HeaderMap, StatusCode};
use opentelemetry::KeyValue;
use target::call;
use tokio::time;

use crate::hop::Hop;
use crate::node::Node;
use crate::pass::Pass;
use crate::refusals;
use crate::relay::{self, End, Item, Order, Travel};
use crate::routing::{Held, Route};
use crate::streams;

/// What one plain call needs.
pub(super) struct Run<'a> {
    pub(super) node: &'a Node,
    pub(super) plain: &'a call::Client<Pass>,
    pub(super) call: &'a Call,
    pub(super) claim: Option<claim::Permit>,
    pub(super) deadline: Time,
    pub(super) hop: &'a Hop,
}

impl Run<'_> {
    /// Goes where the router says until the call is answered or refused.
    pub(super) async fn send(&self, held: Held, mut route: Route) -> Result<Answer, Refusal> {
        let mut known = Outcome::NotRun;
        loop {
            let failure = match self.attempt(&route).await {
                End::Answered(answer) => {
                    if let Route::Target { .. } = route {
                        held.finished();
                    }
                    return Ok(answer);
                }
                End::Refused(refusal) => return Err(refusal.after(known)),
                End::Failed(failure) => failure,
            };
            known = known.max(failure.outcome());
            let next = held.retry(&self.call.meta.service, failure).await;
            route = next.map_err(|it| refusals::of_router(&it).after(known))?;
        }
    }

    /// One attempt, which ends with the deadline. The router bounds the waits between them.
    async fn attempt(&self, route: &Route) -> End<Answer> {
        let attempt = async {
            match route {
                Route::Peer(forward) => self.at_peer(forward).await,
                Route::Target { target, permit, .. } => self.at_target(target, *permit).await,
            }
        };
        let deadline = self.node.uptime.instant(self.deadline);
        time::timeout_at(deadline, attempt).await.unwrap_or_else(|_| {
            let message = "the deadline passed before the answer came";
            End::Refused(Refusal::not_run(Kind::Deadline, message).with_outcome(Outcome::Unknown))
        })
    }

    async fn at_target(&self, target: &Target, permit: Result<Permit, Stale>) -> End<Answer> {
        let name = KeyValue::new("rhubarblatch.target", target.name.to_string());
        let hop = self.hop.leave("target.call", [name]);
        let pass = Pass { uptime: self.node.uptime, permit, claim: self.claim };
        match self.plain.call(target.address, plain(self.call, &hop), pass).await {
            Ok(answer) => End::Answered(Answer {
                status: answer.status,
                content_type: answer.content_type,
                body: answer.body,
                source: Source::Target,
            }),
            Err(error) => {
                hop.fail(&error);
                End::Failed(streams::failure(error.progress()))
            }
        }
    }

    async fn at_peer(&self, forward: &Forward) -> End<Answer> {
        let now = self.node.now();
        let claim = match refusals::remaining(self.claim, now) {
            Ok(claim) => claim,
            Err(refusal) => return End::Refused(refusal),
        };
        let travel = Travel { forward, left: self.deadline.since(now), claim, delivered: &[] };
        let order = Order::call(self.call, &travel);
        match relay::ask(self.node, forward, &order, self.hop).await {
            Ok(mut items) => answer(items.next().await),
            Err(failure) => End::Failed(failure),
        }
    }
}

/// What the only item of a peer's answer means.
fn answer(item: Option<Item>) -> End<Answer> {
    match item {
        Some(Item::Answer { status, content_type, body, recorded }) => {
            let Ok(status) = StatusCode::from_u16(status) else {
                return End::Failed(Failure::Broken);
            };
            let source = if recorded { Source::Record } else { Source::Target };
            End::Answered(Answer { status, content_type, body, source })
        }
        Some(Item::Refused { kind, outcome, message, retry_after_ms }) => {
            relay::refused(relay::refusal(kind, outcome, message, retry_after_ms))
        }
        _ => End::Failed(Failure::Broken),
    }
}

fn plain(call: &Call, hop: &Hop) -> call::Call {
    let mut headers = HeaderMap::new();
    if let Some(value) = &call.content_type {
        headers.insert(http::header::CONTENT_TYPE, value.clone());
    }
    let key = call.meta.key.as_ref().and_then(|key| key.parse().ok());
    if let Some(value) = key {
        headers.insert(caller::request::KEY, value);
    }
    if let Some(value) = hop.traceparent() {
        headers.insert(caller::request::TRACEPARENT, value);
    }
    call::Call {
        method: call.method.clone(),
        path: call.path.clone(),
        headers,
        body: call.body.clone(),
    }
}
