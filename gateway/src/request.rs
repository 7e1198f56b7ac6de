//! A request of a caller and what all its attempts share: the choice of a target, the request that
//! is sent there, log events, metrics and refusals.

use std::sync::Arc;

use bytes::Bytes;
use decision::gateway::backlog::{Lane, Waiter};
use decision::gateway::balance::{Choice, Key, Requirements};
use decision::gateway::config::{Route, Service};
use decision::gateway::grace::Sample;
use decision::prelude::*;
use http::header::{self, HeaderName};
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri, request};
use http_body_util::Full;
use rand::RngExt as _;

use crate::body::Answer;
use crate::journal::{Event, Parts};
use crate::port::{Envelope, Head, Outgoing, Platform};
use crate::progress::{self, Stage};
use crate::quarantine;
use crate::reason::Reason;
use crate::refusal::{Denial, Refusal};
use crate::retry::Permit;
use crate::slot::Slot;
use crate::state::Shared;
use crate::wait;

/// A request may wait at this entry for a free slot for its objective divided by this.
const QUEUE_TIMEOUT_DIVISOR: u32 = 8;

/// `retry-after` is at most the time until the deadline divided by this. Callers wait for at most a
/// third of that time.
const MAX_RETRY_AFTER_DIVISOR: u32 = 4;

/// Reason of a refusal by an entry that stops.
pub(crate) const ENTRY_ENDS: &str = "the entry ends";

/// Counter of requests that the stop of the entry ends, by outcome.
pub(crate) const STOP_COUNTER: &str = "rhubarblatch_stop_requests_total";

/// Smallest value of `retry-after`.
pub(crate) const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Delay after which a caller may retry a request whose prompt crashes replicas: as late as it will.
const QUARANTINE_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Number of times that a request may be sent beyond the attempts of its route, as targets that
/// did not run it don't count as attempts.
const EXTRA_SENDS: u32 = 4;

/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
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
    /// State of the entry, shared by all requests.
    pub(crate) shared: Arc<Shared<P>>,
    /// Connection that the request came on.
    pub(crate) connection: progress::Key,
    /// What the platform read from the header of the request.
    pub(crate) head: Head,
    /// Route of the request.
    pub(crate) route: Arc<Route>,
    /// Service that the request goes to.
    pub(crate) service: Arc<Service>,
    /// Workspace on whose behalf the request is made. Absent if it is anonymous.
    pub(crate) workspace: Option<Arc<str>>,
    /// Priority of its workspace, or else of its route; 0 is the most urgent.
    pub(crate) rank: u8,
    /// Random number from 0 to 1 that decides whether the request is admitted where only a share
    /// of them can be.
    pub(crate) draw: f64,
    /// Method of the request.
    pub(crate) method: Method,
    /// Path and query of the request.
    pub(crate) uri: Uri,
    /// Headers from the caller, without those of its connection.
    pub(crate) headers: HeaderMap,
    /// Body of the request, whose memory stays reserved as long as it is referred to.
    pub(crate) body: Bytes,
    /// When the header of the request was read.
    pub(crate) arrived: Time,
    /// When the request times out, by the timeout of the caller or of the route.
    pub(crate) limit: Time,
    /// Until when it may be at its targets: its limit, or the end of an entry that stops.
    pub(crate) deadline: Time,
    /// When it was first sent. Absent before.
    pub(crate) sent: Option<Time>,
    /// Targets that may have run the request, or may do so now.
    pub(crate) attempted: Vec<Key>,
    /// Targets that the request was sent to. It is not sent there again.
    pub(crate) excluded: Vec<Key>,
    /// Number of times that the request was sent.
    pub(crate) send_count: u32,
    /// Whether one of these sends may have reached a target. What did not is no retry.
    pub(crate) may_have_arrived: bool,
    /// Whether a target broke an attempt off before.
    pub(crate) was_broken_off: bool,
    /// Permission to send the request once more, if it was granted before a target is sought.
    pub(crate) permit: Option<Permit<P>>,
    /// Version of the configuration, and its age when the request arrived.
    pub(crate) knowledge: (u64, Duration),
}

/// When the events of a response arrived.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Times {
    /// Time from the arrival of the request to the first event. Absent if there was none.
    pub(crate) first_event: Option<Duration>,
    /// Longest time between two events.
    pub(crate) max_gap: Duration,
}

impl<P: Platform> Job<P> {
    /// Returns whether the request may be sent to one more target.
    pub(crate) fn may_retry(&self) -> bool {
        let attempts = self.route.max_attempts.max(1);
        (self.attempted.len() as u32) < attempts && self.send_count < attempts + EXTRA_SENDS
    }

    /// Decides whether the request may be sent to one more target while its current one, `key`, is silent,
    /// and gets the permit for that.
    pub(crate) fn begin_takeover(&mut self, key: Key) -> bool {
        let may_take_over = self.route.is_idempotent()
            && self.may_retry()
            && self.shared.now() < self.deadline
            && self.shared.retry_verdict(&self.service.name).granted
            && self.has_alternative(key);
        if !may_take_over {
            return false;
        }
        self.may_have_arrived = true;
        self.permit = self.request_permit();
        self.permit.is_some()
    }

    /// Logs that the request stays at the target of `slot`, and why no other one has taken over.
    pub(crate) fn record_kept(&mut self, slot: &Slot<P>, reason: &str) {
        self.permit = None;
        self.shared.connections.record_sent(self.connection, &slot.target.id);
        let (request, target, after_ms) = (&*self.head.id, &*slot.target.id, self.waited_ms());
        self.shared.journal.note(&Event::Kept { request, target, reason, after_ms });
    }

    fn has_alternative(&self, key: Key) -> bool {
        let now = self.shared.now();
        let requirements = self.requirements(now, true);
        self.shared.balance().has_alternative(now, &self.service.name, &requirements, key)
    }

    /// Chooses a target and reserves a slot there. If all targets are busy, waits in the backlog
    /// for a part of the objective. `is_resumed` is set for a stream that has begun elsewhere.
    ///
    /// # Errors
    ///
    /// Returns the reason why no target is available.
    pub(crate) async fn acquire_slot(&mut self, is_resumed: bool) -> Result<Slot<P>, Denial> {
        let now = self.shared.now();
        // A stream that has begun stays one.
        if !is_resumed {
            let stage = if self.send_count == 0 { Stage::Waiting } else { Stage::Between };
            let may_have_run = !self.attempted.is_empty();
            self.shared.connections.record_wait(self.connection, stage, may_have_run);
        }
        self.keep_to_grace(now)?;
        if now >= self.deadline {
            return Err(Denial::DeadlinePassed);
        }
        quarantine::check(&self.shared, &self.head)?;
        let requirements = self.requirements(now, is_resumed);
        let permit = match self.may_have_arrived {
            false => None,
            true => Some(self.take_permit().ok_or(Denial::RetryBudgetSpent)?),
        };
        if self.send_count == 0 {
            self.shared.balance().record_request(now, &self.service.name, &requirements);
        }
        let slot = match self.choose_target(now, &requirements) {
            Err(Denial::Busy(retry_after)) => {
                self.wait_for_target(now, requirements, retry_after).await
            }
            chosen => chosen,
        };
        // The part may have been quarantined during the wait.
        let slot = slot.and_then(|it| quarantine::check(&self.shared, &self.head).map(|()| it));
        // The stop may have begun during the wait.
        let slot = slot.and_then(|it| self.keep_to_grace(self.shared.now()).map(|()| it));
        if slot.is_ok() {
            self.shared.load_changed.notify_one();
            permit.into_iter().for_each(Permit::record_use);
        }
        slot
    }

    /// Bounds the deadline by the end of this entry, if it stops.
    ///
    /// # Errors
    ///
    /// If the request would not end in time. Once it may have run it can't be refused any more, and
    /// is tried as long as there is time.
    fn keep_to_grace(&mut self, now: Time) -> Result<(), Denial> {
        let stop = &self.shared.stop;
        if self.attempted.is_empty()
            && stop.admit(now, self.limit, &self.route.name, self.head.max_output_tokens).is_none()
        {
            return Err(Denial::EntryEnds);
        }
        self.deadline = stop.bound(self.deadline);
        Ok(())
    }

    /// Records what the request took at its targets since it was first sent.
    fn record_time(&self, times: Times) {
        let Some(sent) = self.sent else { return };
        let now = self.shared.now();
        let total = now.since(sent);
        let first = times.first_event.map(|it| (self.arrived + it).since(sent)).unwrap_or(total);
        let tokens = self.head.max_output_tokens;
        let sample = Sample { first, writing: total.saturating_sub(first), tokens };
        self.shared.stop.record(now, &self.route.name, sample);
    }

    /// Returns the permit of an earlier decision to send the request once more, or else asks for
    /// one.
    fn take_permit(&mut self) -> Option<Permit<P>> {
        self.permit.take().or_else(|| self.request_permit())
    }

    /// Asks for a permit to send the request once more. Logs and counts the decision.
    pub(crate) fn request_permit(&self) -> Option<Permit<P>> {
        let service = &self.service.name;
        let verdict = self.shared.retry_verdict(service);
        let labels = format!("service=\"{service}\",granted=\"{}\"", verdict.granted);
        self.shared.metrics.count("rhubarblatch_retries_total", &labels);
        self.shared.journal.note(&Event::Retry {
            request: &self.head.id,
            service,
            granted: verdict.granted,
            requests: verdict.usage.requests,
            retries: verdict.usage.retries,
            allowed: (verdict.usage.allowed * 10.0).round() / 10.0,
            entries: verdict.entries,
            has_share: verdict.share > 0.0,
        });
        verdict.granted.then(|| Permit::new(self.shared.clone(), service.clone()))
    }

    fn choose_target(&self, now: Time, requirements: &Requirements) -> Result<Slot<P>, Denial> {
        // Requests that already wait go first.
        if !requirements.is_resumed && self.shared.wait_queue.has_waiting(&self.lane(requirements))
        {
            return Err(Denial::Busy(MIN_RETRY_AFTER));
        }
        let mut balance = self.shared.balance();
        match balance.choose(now, &self.service.name, requirements) {
            Choice::Send(key, forecast) => {
                let target = balance.target(key).cloned().ok_or(Denial::NoTarget)?;
                let terms = balance.terms(key, requirements.patience()).ok_or(Denial::NoTarget)?;
                drop(balance);
                Ok(Slot::new(
                    self.shared.clone(),
                    (key, target, terms),
                    forecast,
                    requirements.prompt_tokens,
                ))
            }
            Choice::Busy(retry_after) => Err(Denial::Busy(retry_after)),
            Choice::NoTarget => Err(Denial::NoTarget),
        }
    }

    async fn wait_for_target(
        &self,
        now: Time,
        requirements: Requirements,
        retry_after: Duration,
    ) -> Result<Slot<P>, Denial> {
        let deadline = (now + self.route.objective / QUEUE_TIMEOUT_DIVISOR).min(self.deadline);
        let waiter = Waiter {
            lane: self.lane(&requirements),
            rank: self.rank,
            workspace: self.workspace.clone(),
            cost: requirements.prompt_tokens.saturating_add(self.head.max_output_tokens),
        };
        wait::wait(&self.shared, waiter, requirements, (deadline, retry_after)).await
    }

    fn lane(&self, requirements: &Requirements) -> Lane {
        (self.service.name.clone(), requirements.model.clone())
    }

    /// Returns what the request needs of a target now.
    fn requirements(&self, now: Time, is_resumed: bool) -> Requirements {
        Requirements {
            model: self.service.engine.as_ref().and(self.head.model.clone()),
            prompt_tokens: if self.service.engine.is_some() { self.head.prompt_tokens } else { 0 },
            objective: self.route.objective.saturating_sub(now.since(self.arrived)),
            max_event_gap: self.route.max_event_gap,
            first_event_limit: self.route.objective,
            rank: self.rank,
            excluded: self.excluded.clone(),
            draw: self.draw,
            is_resumed,
        }
    }

    /// Returns the request as it is sent to `slot`. `last_event` is the identifier of the event
    /// after which a stream is resumed.
    pub(crate) fn outgoing(&self, slot: &Slot<P>, last_event: Option<Arc<str>>) -> Outgoing {
        let remaining = self.deadline.since(self.shared.now());
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let mut headers = self.headers.clone();
        let envelope = Envelope {
            deadline: Some(remaining),
            instance: slot.target.id.clone(),
            workspace: self.workspace.clone(),
            // A stream that has begun elsewhere precedes all requests that have not begun.
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

    /// Counts and logs that the request is sent to `slot`.
    pub(crate) fn record_sent(&mut self, slot: &Slot<P>) {
        self.send_count += 1;
        self.attempted.push(slot.key);
        self.excluded.push(slot.key);
        self.sent.get_or_insert(self.shared.now());
        self.shared.connections.record_sent(self.connection, &slot.target.id);
        self.shared.journal.note(&Event::Sent {
            request: &self.head.id,
            route: &self.route.name,
            target: &slot.target.id,
            attempt: self.send_count,
            config: self.knowledge.0,
            config_age_ms: millis(self.knowledge.1),
            waited_ms: self.waited_ms(),
            expected_ms: slot.forecast.first_token_ms as u64,
            slowness: (slot.forecast.slowness * 10.0).round() / 10.0,
            running: slot.forecast.running,
        });
    }

    /// Records whether the attempt at the target `key` may have reached it, given the reason why the
    /// target did not run it, if it did not.
    pub(crate) fn record_arrival(&mut self, key: Key, not_run: Option<Reason>) {
        self.may_have_arrived |= !not_run.is_some_and(Reason::is_unsent);
        if not_run.is_some() {
            self.attempted.retain(|it| *it != key);
        }
    }

    /// Logs that an attempt failed. `ran` tells whether the target ran it: `no` or `unknown`.
    pub(crate) fn record_failure(&mut self, slot: &Slot<P>, reason: Reason, ran: &str) {
        self.shared.journal.note(&Event::Failed {
            request: &self.head.id,
            target: &slot.target.id,
            reason: reason.name(),
            ran,
            after_ms: self.waited_ms(),
            writing_ms: slot.writing_time().map(millis),
            prompt: Parts(&self.head.prompt),
        });
        if reason.is_broken() && !slot.is_survived {
            let is_first = !std::mem::replace(&mut self.was_broken_off, true);
            quarantine::record_loss(&self.shared, slot, &self.head.prompt, is_first);
        }
    }

    /// Logs and counts the final response.
    pub(crate) fn record_end(&self, target: &str, status: StatusCode, outcome: &str, times: Times) {
        let first = times.first_event.unwrap_or_else(|| self.shared.now().since(self.arrived));
        let is_slow = self.route.max_event_gap.is_some_and(|it| times.max_gap > it);
        if outcome != "left" {
            self.record_time(times);
        }
        if outcome != "left" && (first > self.route.objective || is_slow || !status.is_success()) {
            self.record_miss();
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
            pause_ms: millis(times.max_gap),
            total_ms: self.waited_ms(),
        });
    }

    /// Refuses a request for which there is no target, and which has not run. Returns the response
    /// to the caller.
    pub(crate) fn deny(&self, denial: Denial) -> Response<Answer> {
        let remaining = self.deadline.since(self.shared.now());
        let (reason, retry_after) = match denial {
            Denial::Busy(retry_after) => ("all targets are busy", retry_after),
            Denial::NoTarget => ("no target", Duration::from_millis(500)),
            Denial::DeadlinePassed => ("its time is over", Duration::from_millis(500)),
            Denial::RetryBudgetSpent => ("the retry budget is spent", Duration::from_millis(300)),
            Denial::EntryEnds => {
                self.shared.metrics.count(STOP_COUNTER, "outcome=\"refused\"");
                (ENTRY_ENDS, MIN_RETRY_AFTER)
            }
            Denial::Quarantined => ("its prompt crashes replicas", QUARANTINE_RETRY_AFTER),
        };
        let latest = (remaining / MAX_RETRY_AFTER_DIVISOR).max(MIN_RETRY_AFTER);
        let jitter = rand::rng().random_range(0.75..1.25);
        let retry_after = retry_after.mul_f64(jitter).clamp(MIN_RETRY_AFTER, latest);
        if !matches!(denial, Denial::Quarantined | Denial::EntryEnds) {
            self.record_miss();
        }
        self.refuse(&Refusal::retryable(reason, retry_after))
    }

    /// Counts the request among those of its model that were refused, failed or were late.
    fn record_miss(&self) {
        let model = self.service.engine.as_ref().and(self.head.model.as_ref());
        if let Some(model) = model {
            self.shared.balance().record_miss(self.shared.now(), &self.service.name, model);
        }
    }

    /// Logs and counts a refusal, and returns the response to the caller.
    pub(crate) fn refuse(&self, refusal: &Refusal) -> Response<Answer> {
        let labels = format!("route=\"{}\",outcome=\"refused\"", self.route.name);
        self.shared.metrics.count("rhubarblatch_requests_total", &labels);
        self.shared.journal.note(&Event::Refused {
            request: &self.head.id,
            route: &self.route.name,
            status: refusal.status.as_u16(),
            reason: refusal.reason,
            era: self.shared.era(),
            config: self.knowledge.0,
            config_age_ms: millis(self.knowledge.1),
            waited_ms: self.waited_ms(),
        });
        refusal.response()
    }

    /// Returns the milliseconds since the request arrived.
    pub(crate) fn waited_ms(&self) -> u64 {
        millis(self.shared.now().since(self.arrived))
    }
}

/// Removes the headers that apply to a single connection, including those that the header
/// `connection` lists. Returns how many others than the usual ones it listed.
pub(crate) fn remove_hop_by_hop(headers: &mut HeaderMap) -> usize {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .into_iter()
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .filter_map(|it| it.trim().parse().ok())
        .collect();
    HOP_BY_HOP_HEADERS.iter().for_each(|it| drop(headers.remove(it)));
    listed.iter().filter_map(|it| headers.remove(it)).count()
}

/// Returns the path and query of a request, or `/` if it has none, as they are sent to a target.
pub(crate) fn target_uri(parts: &request::Parts) -> Uri {
    let path = parts.uri.path_and_query().cloned();
    path.map(Uri::from).unwrap_or_else(|| Uri::from_static("/"))
}

/// Returns a duration in whole milliseconds, rounded down.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
