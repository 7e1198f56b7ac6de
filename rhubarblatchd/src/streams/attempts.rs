//! Begins the attempts of one streamed answer, at targets and at peers.

use std::sync::Arc;

use caller::Refusal;
use decision::attempt::Attempt;
use decision::freshness::{Permit, Stale};
use decision::outcome::Progress;
use decision::request::{Failure, Forward};
use decision::stream::{self, Action, Fault};
use decision::target::Target;
use target::generate::Order;
use tokio::time;

use super::live::{Live, Place};
use super::source::{Next, Source};
use super::{Run, Stop, attributes, failure};
use crate::hop::Hop;
use crate::pass::Pass;
use crate::refusals;
use crate::relay::{self, End, Travel};
use crate::routing::{Held, Route};

impl Run {
    /// Sends the live attempt where `route` says, or where the router says next.
    pub(super) async fn begin(
        &self,
        held: &Held,
        mut route: Route,
        live: &mut Live,
    ) -> Result<Option<Action>, Stop> {
        loop {
            let failure = match route {
                Route::Target { target, attempt, permit } => {
                    return self.at_target(target, attempt, permit, live).await;
                }
                Route::Peer(forward) => match self.at_peer(&forward, live).await? {
                    End::Answered(action) => return Ok(action),
                    End::Refused(refusal) => return Err(give_up(refusal, live)),
                    End::Failed(Failure::Broken) => {
                        return Ok(live.stream.fault(Fault::Broken(Progress::Sent)));
                    }
                    End::Failed(failure) => failure,
                },
            };
            live.source = None;
            route = self.retry(held, live, failure).await?;
        }
    }

    async fn at_target(
        &self,
        target: Arc<Target>,
        attempt: u32,
        permit: Result<Permit, Stale>,
        live: &mut Live,
    ) -> Result<Option<Action>, Stop> {
        let address = target.address;
        let hop = self.hop.leave("target.generate", attributes(&target, live.stream.attempt()));
        let order = self.order(&target, live, &hop);
        live.place = Some(Place { target, attempt });
        live.stream.listen(self.node.now());
        let pass = Pass { uptime: self.node.uptime, permit, claim: self.claim };
        let begun = self.engines.generate(address, &order, pass);
        let wake = self.node.uptime.instant(live.stream.wake());
        let begun = tokio::select! {
            begun = begun => begun,
            () = time::sleep_until(wake) => return Ok(live.stream.poll(self.node.now())),
            () = self.events.closed() => return Err(Stop::Left),
        };
        match begun {
            Ok(frames) => {
                live.source = Some(Source::Target(frames));
                Ok(None)
            }
            Err(error) => {
                hop.fail(&error);
                let progress = error.progress();
                if progress != Progress::Sent {
                    live.place = None;
                }
                Ok(live.stream.fault(Fault::Broken(progress)))
            }
        }
    }

    /// Passes the rest of the request on, and takes the first part of the peer's answer.
    async fn at_peer(
        &self,
        forward: &Forward,
        live: &mut Live,
    ) -> Result<End<Option<Action>>, Stop> {
        let deadline = self.node.uptime.instant(live.stream.deadline());
        let next = tokio::select! {
            next = self.relayed(forward, live) => next,
            () = time::sleep_until(deadline) => {
                return Ok(End::Answered(live.stream.poll(self.node.now())));
            }
            () = self.events.closed() => return Err(Stop::Left),
        };
        let (source, next) = match next {
            Ok(begun) => begun,
            Err(end) => return Ok(end),
        };
        Ok(match next {
            Next::Frame(frame) => {
                live.source = Some(source);
                End::Answered(live.stream.frame(frame))
            }
            Next::Refused(refusal) => relay::refused(refusal),
            Next::Broken => End::Failed(Failure::Broken),
        })
    }

    async fn relayed<T>(&self, forward: &Forward, live: &Live) -> Result<(Source, Next), End<T>> {
        let now = self.node.now();
        let claim = refusals::remaining(self.claim, now).map_err(End::Refused)?;
        let left = live.stream.deadline().since(now);
        let travel = Travel { forward, left, claim, delivered: live.stream.delivered() };
        let order = relay::Order::generate(&self.request, &travel);
        let items = relay::ask(&self.node, forward, &order, &self.hop).await;
        let mut source = Source::Peer(items.map_err(End::Failed)?);
        let next = source.next(live.stream.attempt()).await;
        Ok((source, next))
    }

    /// Continues elsewhere, or fails if nothing takes the request.
    pub(super) async fn go_on(
        &self,
        held: &Held,
        old: Attempt,
        progress: Progress,
        live: &mut Live,
    ) -> Result<Option<Action>, Stop> {
        if let Some(place) = live.leave() {
            self.cancel(held.ticket(), place, old);
        }
        let route = self.retry(held, live, failure(progress)).await?;
        self.begin(held, route, live).await
    }

    async fn retry(&self, held: &Held, live: &mut Live, failure: Failure) -> Result<Route, Stop> {
        let route = tokio::select! {
            route = held.retry(&self.request.meta.service, failure) => route,
            () = self.events.closed() => return Err(Stop::Left),
        };
        route.map_err(|refusal| give_up(refusals::of_router(&refusal), live))
    }

    fn order(&self, target: &Target, live: &Live, hop: &Hop) -> Order {
        Order {
            attempt: live.stream.attempt(),
            replica: target.name.clone(),
            epoch: target.epoch,
            prompt: self.request.prompt.clone(),
            max_tokens: self.request.max_tokens,
            priority: self.profile.priority,
            from: live.stream.next(),
            delivered: live.stream.delivered().to_vec(),
            traceparent: hop.traceparent(),
        }
    }
}

/// Ends the stream with a refusal that keeps to what earlier attempts left open.
pub(super) fn give_up(refusal: Refusal, live: &mut Live) -> Stop {
    let known = live.stream.outcome();
    live.stream.fail(stream::Failure::Broken);
    Stop::Refused(refusal.after(known))
}
