//! One request of a caller, from its route to its first target.

use std::sync::Arc;

use bytes::Bytes;
use decision::gateway::backlog::{Lane, Waiter};
use decision::gateway::balance::{Choice, Key, Requirements};
use decision::gateway::config::{Route, Service};
use decision::prelude::*;
use http::header::{self, HeaderName};
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri, request};
use http_body_util::Full;
use rand::RngExt as _;

use crate::body::Answer;
use crate::journal::Event;
use crate::memory::Reservation;
use crate::port::{Envelope, Head, Malformed, Outgoing, Platform};
use crate::refusal::{Denial, Refusal};
use crate::slot::Slot;
use crate::state::Shared;
use crate::wait;

/// Part of the objective that a request may wait at this entry for a free slot.
const QUEUE_PART: u32 = 8;

/// Part of the time left after which a caller is told to come back at the latest. Callers
/// don't wait for longer than a third of it.
const RETURN_PART: u32 = 4;

/// Shortest time after which a caller is told to come back.
const RETURN_LEAST: Duration = Duration::from_millis(100);

/// Times that a request may be sent beyond its route's attempts, to targets that did not run it.
const SENDS_MARGIN: u32 = 4;

/// Headers that concern one connection only.
const HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// A request of a caller that may be sent to targets.
pub(crate) struct Job<P> {
    /// What the entry shares.
    pub(crate) shared: Arc<Shared<P>>,
    /// What its head says.
    pub(crate) head: Head,
    /// Its route.
    pub(crate) route: Arc<Route>,
    /// The service that it goes to.
    pub(crate) service: Arc<Service>,
    /// The workspace on whose behalf it is made.
    pub(crate) workspace: Option<Arc<str>>,
    /// Its rank, of its workspace or else of its route; 0 is the most urgent.
    pub(crate) rank: u8,
    /// A number from 0 to 1 by which it is taken where only some requests can be.
    pub(crate) draw: f64,
    /// Method.
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) uri: Uri,
    /// Headers as the caller sent them, without those of its connection.
    pub(crate) headers: HeaderMap,
    /// Body, and its part of what this entry holds.
    pub(crate) body: Bytes,
    pub(crate) _held: [Reservation; 2],
    /// When it was read.
    pub(crate) arrived: Time,
    /// When the caller or the route gives it up.
    pub(crate) deadline: Time,
    /// Targets that it was sent to, and that may have run it.
    pub(crate) tried: Vec<Key>,
    /// Targets that are not asked again.
    pub(crate) avoid: Vec<Key>,
    /// Times that it was sent.
    pub(crate) sends: u32,
    /// Version of the configuration, and its age when the request was taken.
    pub(crate) knowledge: (u64, Duration),
}

/// When the pieces of an answer came.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Times {
    /// From the request to the first piece. Until now if there was none.
    pub(crate) first: Option<Duration>,
    /// The longest pause between two pieces.
    pub(crate) pause: Duration,
}

impl<P: Platform> Job<P> {
    /// Whether the request may be sent to one more target.
    pub(crate) fn may_repeat(&self) -> bool {
        let attempts = self.route.max_attempts.max(1);
        (self.tried.len() as u32) < attempts && self.sends < attempts + SENDS_MARGIN
    }

    /// Whether a request that may be repeated can go on elsewhere, with the target that has it now
    /// counted as tried.
    pub(crate) fn may_go_on(&self) -> bool {
        let attempts = self.route.max_attempts.max(1);
        (self.tried.len() as u32) + 1 < attempts
            && self.sends < attempts + SENDS_MARGIN
            && self.shared.may_repeat(&self.service.name)
    }

    /// Finds a target, waiting a little while in the line if all are busy.
    ///
    /// # Errors
    ///
    /// Says why there is none.
    pub(crate) async fn place(&mut self, urgent: bool) -> Result<Slot<P>, Denial> {
        let now = self.shared.now();
        if now >= self.deadline {
            return Err(Denial::Late);
        }
        let ask = self.ask(now, urgent);
        let repeat = self.sends > 0;
        if repeat && !self.shared.may_repeat(&self.service.name) {
            return Err(Denial::Budget);
        }
        if !repeat {
            self.shared.balance().record_request(now, &self.service.name, &ask);
        }
        let place = match self.choose(now, &ask) {
            Err(Denial::Busy(after)) => self.wait(now, ask, after).await,
            chosen => chosen,
        };
        if place.is_ok() {
            self.shared.loaded.notify_one();
            if repeat {
                self.shared.count_repeat(&self.service.name);
            }
        }
        place
    }

    fn choose(&self, now: Time, ask: &Requirements) -> Result<Slot<P>, Denial> {
        // Those who wait already come first.
        if !ask.is_resumed && self.shared.waits.has_waiting(&self.lane(ask)) {
            return Err(Denial::Busy(RETURN_LEAST));
        }
        let mut balance = self.shared.balance();
        match balance.choose(now, &self.service.name, ask) {
            Choice::Send(key, forecast) => {
                let target = balance.target(key).cloned().ok_or(Denial::Nothing)?;
                drop(balance);
                Ok(Slot::new(self.shared.clone(), (key, target), forecast, ask.prompt_tokens))
            }
            Choice::Busy(after) => Err(Denial::Busy(after)),
            Choice::NoTarget => Err(Denial::Nothing),
        }
    }

    async fn wait(&self, now: Time, ask: Requirements, after: Duration) -> Result<Slot<P>, Denial> {
        let until = (now + self.route.objective / QUEUE_PART).min(self.deadline);
        let waiter = Waiter {
            lane: self.lane(&ask),
            rank: self.rank,
            workspace: self.workspace.clone(),
            cost: ask.prompt_tokens.saturating_add(self.head.output),
        };
        wait::wait(&self.shared, waiter, ask, (until, after)).await
    }

    fn lane(&self, ask: &Requirements) -> Lane {
        (self.service.name.clone(), ask.model.clone())
    }

    /// What the request asks of a target now.
    fn ask(&self, now: Time, urgent: bool) -> Requirements {
        Requirements {
            model: self.service.engine.as_ref().and(self.head.model.clone()),
            prompt_tokens: if self.service.engine.is_some() { self.head.prompt } else { 0 },
            objective: self.route.objective.saturating_sub(now.since(self.arrived)),
            max_event_gap: self.route.max_event_gap,
            rank: self.rank,
            excluded: self.avoid.clone(),
            draw: self.draw,
            is_resumed: urgent,
        }
    }

    /// The request as it goes to `place`.
    pub(crate) fn outgoing(&self, place: &Slot<P>, last_event: Option<Arc<str>>) -> Outgoing {
        let left = self.deadline.since(self.shared.now());
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let mut headers = self.headers.clone();
        let envelope = Envelope {
            deadline: Some(left),
            instance: place.target.id.clone(),
            workspace: self.workspace.clone(),
            // A stream that has begun elsewhere goes before all that have not begun.
            urgency: Some(if last_event.is_some() {
                0
            } else {
                self.rank.saturating_add(1).min(9)
            }),
            last_event,
        };
        self.shared.platform.forward(&mut headers, &envelope);
        *request.headers_mut() = headers;
        request
    }

    /// Notes that the request is sent to `place`.
    pub(crate) fn sent(&mut self, place: &Slot<P>) {
        self.sends += 1;
        self.shared.journal.note(&Event::Sent {
            request: &self.head.id,
            route: &self.route.name,
            target: &place.target.id,
            attempt: self.sends,
            config: self.knowledge.0,
            config_age_ms: millis(self.knowledge.1),
            waited_ms: self.waited_ms(),
            expected_ms: place.forecast.first_token_ms as u64,
            slowness: (place.forecast.slowness * 10.0).round() / 10.0,
            running: place.forecast.running,
        });
    }

    /// Heeds what the target says of itself in its answer: that it leaves, or wants nothing more
    /// for a while.
    pub(crate) fn heed(&self, place: &Slot<P>, answer: &crate::port::Answer) {
        let shared = &self.shared;
        let target = &*place.target.id;
        for malformed in [answer.leaving.as_ref().err(), answer.rest.as_ref().err()] {
            let Some(Malformed { what, reason }) = malformed else { continue };
            shared.journal.note(&Event::Unheeded { target, what, reason });
        }
        if answer.leaving == Ok(true) {
            shared.leaves(target, place.target.incarnation.0);
        }
        if let Ok(Some(rest)) = answer.rest {
            let until = shared.now() + rest;
            shared.balance().pause(place.key, until);
            shared.journal.note(&Event::Resting { target, rest_ms: millis(rest) });
        }
    }

    /// Notes that an attempt failed.
    pub(crate) fn failed(&self, place: &Slot<P>, reason: &str, ran: &str) {
        self.shared.journal.note(&Event::Failed {
            request: &self.head.id,
            target: &place.target.id,
            reason,
            ran,
            after_ms: self.waited_ms(),
        });
    }

    /// Notes the final answer.
    pub(crate) fn ended(&self, target: &str, status: StatusCode, outcome: &str, times: Times) {
        let first = times.first.unwrap_or_else(|| self.shared.now().since(self.arrived));
        let slow = self.route.max_event_gap.is_some_and(|it| times.pause > it);
        if outcome != "left" && (first > self.route.objective || slow || !status.is_success()) {
            self.missed();
        }
        let labels = format!("route=\"{}\",outcome=\"{outcome}\"", self.route.name);
        self.shared.metrics.count("rhubarblatch_requests_total", &labels);
        let label = format!("route=\"{}\"", self.route.name);
        self.shared.metrics.time("rhubarblatch_first_byte_seconds", &label, first);
        self.shared.journal.note(&Event::Ended {
            request: &self.head.id,
            route: &self.route.name,
            target,
            status: status.as_u16(),
            outcome,
            first_ms: millis(first),
            pause_ms: millis(times.pause),
            total_ms: self.waited_ms(),
        });
    }

    /// The answer to a request that got no target. It has not run.
    pub(crate) fn deny(&self, denial: Denial) -> Response<Answer> {
        let left = self.deadline.since(self.shared.now());
        let (reason, after) = match denial {
            Denial::Busy(after) => ("all targets are busy", after),
            Denial::Nothing => ("no target", Duration::from_millis(500)),
            Denial::Late => ("its time is over", Duration::from_millis(500)),
            Denial::Budget => ("the budget of repeats is spent", Duration::from_millis(300)),
        };
        let latest = (left / RETURN_PART).max(RETURN_LEAST);
        let spread = rand::rng().random_range(0.75..1.25);
        let after = after.mul_f64(spread).clamp(RETURN_LEAST, latest);
        let refusal = Refusal::later(reason, after);
        self.refuse(&refusal)
    }

    /// Counts the request among those of its model that were refused or late.
    fn missed(&self) {
        let model = self.service.engine.as_ref().and(self.head.model.as_ref());
        if let Some(model) = model {
            self.shared.balance().record_miss(self.shared.now(), &self.service.name, model);
        }
    }

    /// Notes a refusal and turns it into an answer.
    pub(crate) fn refuse(&self, refusal: &Refusal) -> Response<Answer> {
        self.missed();
        let labels = format!("route=\"{}\",outcome=\"refused\"", self.route.name);
        self.shared.metrics.count("rhubarblatch_requests_total", &labels);
        self.shared.journal.note(&Event::Refused {
            request: &self.head.id,
            route: &self.route.name,
            status: refusal.status.as_u16(),
            reason: refusal.reason,
            config: self.knowledge.0,
            config_age_ms: millis(self.knowledge.1),
            waited_ms: self.waited_ms(),
        });
        refusal.answer()
    }

    /// Milliseconds since the request was read.
    pub(crate) fn waited_ms(&self) -> u64 {
        millis(self.shared.now().since(self.arrived))
    }
}

/// Removes the headers that concern one connection only.
pub(crate) fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .into_iter()
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .filter_map(|it| it.trim().parse().ok())
        .collect();
    named.iter().for_each(|it| drop(headers.remove(it)));
    HOP.iter().for_each(|it| drop(headers.remove(it)));
}

/// The path and query of a request, as a target gets it.
pub(crate) fn target_uri(parts: &request::Parts) -> Uri {
    let path = parts.uri.path_and_query().cloned();
    path.map(Uri::from).unwrap_or_else(|| Uri::from_static("/"))
}

/// A duration in whole milliseconds.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
