//! One streamed answer: carries out what its state machine asks for.

mod attempts;
mod live;
mod source;

use std::sync::Arc;
use std::time::Duration;

use caller::request::Generate;
use caller::{Event, Refusal};
use decision::attempt::{self, Attempt};
use decision::claim::Permit;
use decision::clock::Time;
use decision::declaration::Profile;
use decision::outcome::{Outcome, Progress};
use decision::request::{Failure, Ticket};
use decision::stream::{Action, Fault, Stream};
use decision::target::Target;
use opentelemetry::KeyValue;
use target::Error;
use target::generate::Client;
use tokio::sync::mpsc;
use tokio::time;

use crate::hop::Hop;
use crate::node::{self, Node};
use crate::pass::Pass;
use crate::refusals;
use crate::routing::{Held, Route};
use live::{Begun, Live, Place};
use source::{Next, Source};

/// Longest time to tell a target to stop.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Silences of the target that a peer's stream may last, since the peer may go on elsewhere.
const PEER_SILENCE: u32 = 3;

/// What one streamed answer needs.
pub(crate) struct Run {
    pub(crate) node: Arc<Node>,
    pub(crate) engines: Arc<Client<Pass>>,
    pub(crate) request: Generate,
    pub(crate) profile: Profile,
    pub(crate) claim: Option<Permit>,
    pub(crate) deadline: Time,
    pub(crate) events: mpsc::Sender<Event>,
    pub(crate) hop: Hop,
}

/// Why the shell stops before the end mark.
enum Stop {
    /// The caller has left.
    Left,
    /// The answer cannot be whole.
    Refused(Refusal),
}

impl Run {
    /// Streams the answer of `held` after the tokens `delivered`, and returns what is known of the
    /// request's run.
    pub(crate) async fn stream(self, held: Held, route: Route, delivered: Vec<String>) -> Outcome {
        let first = Attempt::first(attempt::Request::new(node::random_number()));
        let now = self.node.now();
        let stream = Stream::resumed(now, &self.profile, first, self.deadline, delivered);
        let mut live = Live::new(stream);
        match self.drive(&held, route, &mut live).await {
            Ok(()) => {
                // What a peer relayed counts there.
                if live.place.is_some() {
                    held.finished();
                }
                Outcome::Ran
            }
            Err(stop) => self.stop(held, live, stop).await,
        }
    }

    /// Ends the work on the target, then tells the caller why.
    async fn stop(&self, held: Held, mut live: Live, stop: Stop) -> Outcome {
        let ticket = held.ticket();
        // The router must know of the end before the target confirms it.
        drop(held);
        if let Some(place) = live.leave() {
            self.cancel(ticket, place, live.stream.attempt());
        }
        let Stop::Refused(refusal) = stop else {
            return Outcome::Unknown;
        };
        self.hop.fail(&refusal);
        let outcome = refusal.outcome;
        // A caller that has left takes no event.
        drop(self.events.send(Event::Error(refusal)).await);
        outcome
    }

    /// Goes on until the end mark is with the caller, or the answer cannot be whole.
    async fn drive(&self, held: &Held, route: Route, live: &mut Live) -> Result<(), Stop> {
        let mut action = self.begin(held, route, live).await?;
        loop {
            action = match action {
                Some(Action::End { tokens }) => {
                    // A caller that has left takes no event.
                    drop(self.events.send(Event::End { tokens }).await);
                    return Ok(());
                }
                Some(Action::Fail { failure, outcome }) => {
                    return Err(Stop::Refused(refusals::of_stream(failure, outcome)));
                }
                Some(Action::Deliver { offset, token }) => {
                    self.note_first(held, live);
                    self.deliver(&mut live.stream, Event::Token { offset, token }).await?
                }
                Some(Action::Resume { attempt, from }) => self.resume(live, attempt, from).await?,
                Some(Action::Continue { old, progress, .. }) => {
                    self.go_on(held, old, progress, live).await?
                }
                None => self.listen(live).await?,
            };
        }
    }

    /// Tells the router of the live attempt's first token.
    fn note_first(&self, held: &Held, live: &mut Live) {
        if live.begun == Begun::No {
            live.begun = Begun::Yes;
            held.first_token();
        }
    }

    /// Waits for the next frame.
    async fn listen(&self, live: &mut Live) -> Result<Option<Action>, Stop> {
        let Some(source) = &mut live.source else {
            return Ok(live.stream.fault(Fault::Broken(Progress::Sent)));
        };
        let wake = match source {
            Source::Target(_) => live.stream.wake(),
            Source::Peer(_) => self.peer_wake(&live.stream),
        };
        let next = tokio::select! {
            next = source.next(live.stream.attempt()) => next,
            () = time::sleep_until(self.node.uptime.instant(wake)) => {
                return Ok(live.stream.poll(self.node.now()));
            }
            () = self.events.closed() => return Err(Stop::Left),
        };
        match next {
            Next::Frame(frame) => Ok(live.stream.frame(frame)),
            Next::Broken => Ok(live.stream.fault(Fault::Broken(Progress::Sent))),
            Next::Refused(refusal) => Err(attempts::give_up(refusal, live)),
        }
    }

    /// Gives the caller an event; the target waits meanwhile.
    async fn deliver(&self, stream: &mut Stream, event: Event) -> Result<Option<Action>, Stop> {
        let wake = self.node.uptime.instant(stream.deadline());
        let sent = tokio::select! {
            sent = self.events.send(event) => sent,
            () = time::sleep_until(wake) => return Ok(stream.poll(self.node.now())),
        };
        stream.listen(self.node.now());
        sent.map(|()| None).map_err(|_| Stop::Left)
    }

    /// Reads the live attempt again from its target. A peer cannot be asked again.
    async fn resume(
        &self,
        live: &mut Live,
        attempt: Attempt,
        from: u64,
    ) -> Result<Option<Action>, Stop> {
        live.source = None;
        let Some(place) = &live.place else {
            return Ok(live.stream.fault(Fault::Missing));
        };
        let hop = self.hop.leave("target.resume", attributes(&place.target, attempt));
        live.stream.listen(self.node.now());
        let wake = self.node.uptime.instant(live.stream.wake());
        let resumed = tokio::select! {
            resumed = self.engines.resume(place.target.address, attempt, from) => resumed,
            () = time::sleep_until(wake) => return Ok(live.stream.poll(self.node.now())),
            () = self.events.closed() => return Err(Stop::Left),
        };
        match resumed {
            Ok(frames) => {
                live.source = Some(Source::Target(frames));
                Ok(None)
            }
            Err(error) => {
                hop.fail(&error);
                let missing = matches!(error, Error::Missing { .. } | Error::Unsent { .. });
                let fault = if missing { Fault::Missing } else { Fault::Broken(Progress::Sent) };
                Ok(live.stream.fault(fault))
            }
        }
    }

    /// Tells a target in the background to stop working on an attempt.
    fn cancel(&self, ticket: Ticket, place: Place, attempt: Attempt) {
        let (engines, node) = (self.engines.clone(), self.node.clone());
        tokio::spawn(async move {
            let cancelled = engines.cancel(place.target.address, attempt);
            if let Ok(Ok(())) = time::timeout(CANCEL_TIMEOUT, cancelled).await {
                node.routing.with(|now, router| router.cancelled(now, ticket, place.attempt));
            }
        });
    }

    /// When a peer has been silent for too long.
    fn peer_wake(&self, stream: &Stream) -> Time {
        let silence = Duration::from_millis(self.profile.stall_ms) * PEER_SILENCE;
        stream.deadline().min(self.node.now() + silence)
    }
}

/// What the router is told of an attempt that came this far.
pub(crate) fn failure(progress: Progress) -> Failure {
    match progress {
        Progress::Unsent => Failure::Unsent,
        Progress::Declined => Failure::NotRun,
        Progress::Sent => Failure::Broken,
        Progress::Answered => Failure::Error,
    }
}

/// What a span towards a target carries.
fn attributes(target: &Target, attempt: Attempt) -> [KeyValue; 3] {
    [
        KeyValue::new("rhubarblatch.target", target.name.to_string()),
        KeyValue::new("rhubarblatch.attempt", attempt.to_string()),
        KeyValue::new("server.address", target.address.to_string()),
    ]
}
