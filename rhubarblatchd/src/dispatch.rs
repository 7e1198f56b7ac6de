//! Answers callers: admits their requests, claims their keys and sends them to targets.

mod admission;
mod calls;
mod claiming;
mod passed;

use std::mem::take;
use std::option;
use std::sync::Arc;

use caller::refusal::Kind;
use caller::request::{Call, Generate};
use caller::{Answer, Event, Handler, Refusal};
use decision::claim::Digest;
use decision::claimant::Claimant;
use decision::name::Name;
use decision::outcome::Outcome;
use decision::prefix;
use decision::request::Request;
use futures_util::stream::{self, Chain, Iter};
use futures_util::{StreamExt as _, future};
use opentelemetry::metrics::Counter;
use opentelemetry::{KeyValue, global};
use target::{Settings, call, generate};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

use crate::claims::{Claims, Peer};
use crate::hop::Hop;
use crate::node::Node;
use crate::pass::Pass;
use crate::refusals;
use crate::relay::Origin;
use crate::streams::Run;
use crate::telemetry;
use admission::Admitted;

/// Events of a stream that wait for a slow caller.
const EVENTS: usize = 16;

/// Bytes of a prompt that are taken for one token.
const BYTES_PER_TOKEN: usize = 4;

/// Answers callers.
pub struct Dispatcher<P> {
    shared: Arc<Shared<P>>,
}

struct Shared<P> {
    node: Arc<Node>,
    claims: Arc<Claims<P>>,
    engines: Arc<generate::Client<Pass>>,
    plain: call::Client<Pass>,
    requests: Counter<u64>,
}

impl<P: Peer> Dispatcher<P> {
    /// Answers on behalf of `node`, with keys claimed by `claims`.
    pub fn new(node: Arc<Node>, claims: Arc<Claims<P>>) -> Dispatcher<P> {
        let settings = Settings::default();
        let plain = call::Client::new(&settings);
        let engines = Arc::new(generate::Client::new(settings));
        let requests = global::meter(telemetry::SCOPE).u64_counter("rhubarblatch.requests").build();
        Dispatcher { shared: Arc::new(Shared { node, claims, engines, plain, requests }) }
    }
}

impl<P: Peer> Handler for Dispatcher<P> {
    type Events = Chain<Iter<option::IntoIter<Event>>, ReceiverStream<Event>>;

    async fn generate(&self, request: Generate) -> Result<Self::Events, Refusal> {
        let service = request.meta.service.clone();
        let (sender, mut receiver) = mpsc::channel(EVENTS);
        // A task of its own, so that a caller that leaves is noticed and its work cancelled.
        tokio::spawn(self.shared.clone().generate(request, Origin::default(), sender));
        let first = match receiver.recv().await {
            Some(Event::Error(refusal)) => Err(refusal),
            Some(event) => Ok(event),
            None => Err(Refusal::not_run(Kind::Broken, "the stream broke off before it began")
                .with_outcome(Outcome::Unknown)),
        };
        self.shared.count(&service, first.as_ref().err());
        let rest = ReceiverStream::new(receiver);
        first.map(|first| stream::iter(Some(first)).chain(rest))
    }

    async fn call(&self, call: Call) -> Result<Answer, Refusal> {
        let service = call.meta.service.clone();
        let shared = self.shared.clone();
        let result = match shared.keyed(&call.meta, call.body.len()) {
            // A task of its own, so that the end is recorded also if the caller leaves.
            Some(_) => {
                tokio::spawn(async move { shared.call(call, Origin::default()).await }).await
            }
            None => Ok(shared.call(call, Origin::default()).await),
        };
        let result = result.unwrap_or_else(|error| {
            let message = format!("the call broke off: {error}");
            Err(Refusal::not_run(Kind::Lost, message).with_outcome(Outcome::Unknown))
        });
        self.shared.count(&service, result.as_ref().err());
        result
    }

    fn ready(&self) -> Result<(), Refusal> {
        self.shared.ready()
    }
}

impl<P: Peer> Shared<P> {
    async fn generate(
        self: Arc<Self>,
        request: Generate,
        mut origin: Origin,
        events: mpsc::Sender<Event>,
    ) {
        let meta = &request.meta;
        let attribute = KeyValue::new("rhubarblatch.service", meta.service.to_string());
        let hop = Hop::arrive("caller.generate", meta.traceparent.as_deref(), [attribute]);
        let deadline = self.deadline(meta);
        let asked = self.stream_request(&request, &origin);
        let digest = Digest::of(&[b"generate", &request.body]);
        let admitted = self.admit(asked, meta, digest, &hop, events.closed()).await;
        let (held, route, mut claimant) = match admitted {
            Ok(Admitted::Run(held, route, claimant)) => (held, route, claimant),
            Ok(Admitted::Repeat(_)) => return tell(&events, claiming::not_kept()).await,
            Err(refusal) => {
                hop.fail(&refusal);
                return tell(&events, refusal).await;
            }
        };
        let told = events.clone();
        let run = Run {
            node: self.node.clone(),
            engines: self.engines.clone(),
            profile: self.profile(&meta.service).unwrap_or_default(),
            claim: claimant.as_ref().map(Claimant::permit).or(origin.claim),
            deadline,
            request,
            events,
            hop,
        };
        let outcome = tokio::select! {
            biased;
            outcome = run.stream(held, route, take(&mut origin.delivered)) => outcome,
            () = self.node.closing.cancelled() => {
                let refusal = refusals::of_end();
                let outcome = refusal.outcome;
                tell(&told, refusal).await;
                outcome
            }
        };
        self.end(claimant.as_mut(), outcome, None).await;
    }

    /// What the router is asked for a stream.
    fn stream_request(&self, request: &Generate, origin: &Origin) -> Request {
        let delivered: usize = origin.delivered.iter().map(String::len).sum();
        let bytes = request.prompt.len() + delivered;
        Request {
            prompt_tokens: count(bytes / BYTES_PER_TOKEN),
            prefix: prefix::blocks(&request.prompt),
            output_tokens: u32::try_from(request.max_tokens).unwrap_or(u32::MAX),
            ..self.request(&request.meta, request.body.len(), origin)
        }
    }

    async fn call(&self, call: Call, origin: Origin) -> Result<Answer, Refusal> {
        let meta = &call.meta;
        let attribute = KeyValue::new("rhubarblatch.service", meta.service.to_string());
        let hop = Hop::arrive("caller.call", meta.traceparent.as_deref(), [attribute]);
        let method = call.method.as_str().as_bytes();
        let digest = Digest::of(&[b"call", method, call.path.as_bytes(), &call.body]);
        let deadline = self.deadline(meta);
        let asked = self.request(meta, call.body.len(), &origin);
        let admitted = self.admit(asked, meta, digest, &hop, future::pending()).await;
        let (held, route, mut claimant) = match admitted {
            Ok(Admitted::Run(held, route, claimant)) => (held, route, claimant),
            Ok(Admitted::Repeat(answer)) => return claiming::replay(answer),
            Err(refusal) => {
                hop.fail(&refusal);
                return Err(refusal);
            }
        };
        let claim = claimant.as_ref().map(Claimant::permit).or(origin.claim);
        let (node, plain) = (&self.node, &self.plain);
        let run = calls::Run { node, plain, call: &call, claim, deadline, hop: &hop };
        let result = tokio::select! {
            biased;
            result = run.send(held, route) => result,
            () = self.node.closing.cancelled() => Err(refusals::of_end()),
        };
        match &result {
            Ok(answer) => self.end(claimant.as_mut(), Outcome::Ran, Some(answer)).await,
            Err(refusal) => {
                hop.fail(refusal);
                self.end(claimant.as_mut(), refusal.outcome, None).await;
            }
        }
        result
    }

    fn count(&self, service: &Name, refusal: Option<&Refusal>) {
        let known = self.profile(service).is_some();
        // An unknown name comes from outside and must not become a label.
        let service = if known { service.to_string() } else { String::new() };
        let result = refusal.map_or("answered", |it| it.kind.as_str());
        let outcome = refusal.map_or(Outcome::Ran, |it| it.outcome);
        let attributes = [
            KeyValue::new("service", service),
            KeyValue::new("result", result),
            KeyValue::new("outcome", outcome.as_str()),
        ];
        self.requests.add(1, &attributes);
    }
}

/// Ends a stream that did not begin.
async fn tell(events: &mpsc::Sender<Event>, refusal: Refusal) {
    // A caller that has left takes no event.
    drop(events.send(Event::Error(refusal)).await);
}

fn count(tokens: usize) -> u32 {
    u32::try_from(tokens).unwrap_or(u32::MAX)
}
