//! Passes a request to a peer that holds a slot of the right target, and serves such requests.
//!
//! The entry that a caller reached claims the idempotency key, passes the request on and records
//! its end. It records "not run" only if the peer said so or no byte left for the peer.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use caller::answer::Source;
use caller::refusal::Kind;
use caller::request::{Call, Generate, Meta};
use caller::{Answer, Event, Refusal};
use decision::claim::Permit;
use decision::clock::Time;
use decision::name::Name;
use decision::outcome::Outcome;
use decision::request::{Failure, Forward, Hop, Past, Wait};
use futures_util::stream::{Map, MapErr};
use futures_util::{StreamExt as _, TryStreamExt as _};
use http::{HeaderValue, Method, StatusCode};
use http_body_util::{BodyDataStream, BodyExt as _, StreamBody};
use hyper::body::{self, Frame};
use opentelemetry::KeyValue;
use peer::client::Client;
use peer::{forward, wire};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tokio_util::codec::{FramedRead, LengthDelimitedCodec};
use tokio_util::io::StreamReader;

use crate::hop;
use crate::node::Node;

/// Items of an answer that wait for a slow reader.
pub(crate) const ITEMS: usize = 16;

/// Largest item of an answer, in bytes.
const MAX_ITEM_BYTES: usize = 2 << 20;

/// Bytes of the length before each item.
const LENGTH_BYTES: usize = 4;

/// A request that is passed on.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Order {
    service: Name,
    workspace: Name,
    key: Option<String>,
    /// The time left until the caller's deadline.
    deadline_ms: u64,
    wait: WaitCode,
    action: Action,
    body: Bytes,
    /// The time left to dispatch the request under its claim, rounded down.
    claim_ms: Option<u64>,
    /// Attempts made before.
    attempts: u32,
    /// The failure domain of the last failed attempt.
    avoid: Option<Name>,
    /// The tokens that the caller has got.
    delivered: Vec<String>,
}

/// What travels with a request besides what its caller sent.
pub(crate) struct Travel<'a> {
    /// The router's decision.
    pub(crate) forward: &'a Forward,
    /// The time left until the caller's deadline.
    pub(crate) left: Duration,
    /// The time left to dispatch the request under its claim, if it has one.
    pub(crate) claim: Option<Duration>,
    /// The tokens that the caller has got.
    pub(crate) delivered: &'a [String],
}

/// How a request came to this entry.
#[derive(Debug, Default)]
pub(crate) struct Origin {
    pub(crate) hop: Hop,
    pub(crate) past: Past,
    /// The permit of the claim that a peer made.
    pub(crate) claim: Option<Permit>,
    /// The tokens that the caller has got.
    pub(crate) delivered: Vec<String>,
}

#[derive(Debug, Serialize, Deserialize)]
enum Action {
    Generate,
    Call { method: String, path: String, content_type: Option<String> },
}

/// [`Wait`] on the wire.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
enum WaitCode {
    Never,
    Queue,
}

/// One part of the answer to a request that was passed on.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Item {
    /// One token of a stream.
    Token { offset: u64, token: String },
    /// The end mark of a stream.
    End { tokens: u64 },
    /// The whole answer to a plain call.
    Answer { status: u16, content_type: Option<String>, body: Bytes, recorded: bool },
    /// The request, or the rest of its stream, is refused.
    Refused { kind: Kind, outcome: Outcome, message: String, retry_after_ms: Option<u64> },
}

/// What the peer is asked to do.
pub(crate) enum Work {
    /// To stream an answer.
    Generate(Generate),
    /// To make a plain call.
    Call(Call),
}

/// How passing a request on ended.
pub(crate) enum End<T> {
    /// The peer answered.
    Answered(T),
    /// The attempt failed; the router decides what follows.
    Failed(Failure),
    /// The request is refused for good.
    Refused(Refusal),
}

/// The body of the answer to a request that was passed on.
pub(crate) type Body = StreamBody<Map<ReceiverStream<Item>, fn(Item) -> Part>>;

/// The items of a peer's answer. Dropping it tells the peer that nobody waits any more.
pub(crate) struct Items(FramedRead<StreamReader<Incoming, Bytes>, LengthDelimitedCodec>);

/// The pieces of a peer's answer.
type Incoming = MapErr<BodyDataStream<body::Incoming>, fn(hyper::Error) -> std::io::Error>;

/// One piece of a [`Body`].
type Part = Result<Frame<Bytes>, Infallible>;

impl Order {
    /// The order to stream an answer.
    pub(crate) fn generate(request: &Generate, travel: &Travel<'_>) -> Order {
        Order::new(&request.meta, travel, Action::Generate, request.body.clone())
    }

    /// The order to make a plain call.
    pub(crate) fn call(call: &Call, travel: &Travel<'_>) -> Order {
        let content_type = call.content_type.as_ref().and_then(|it| it.to_str().ok());
        let action = Action::Call {
            method: call.method.to_string(),
            path: call.path.clone(),
            content_type: content_type.map(str::to_owned),
        };
        Order::new(&call.meta, travel, action, call.body.clone())
    }

    fn new(meta: &Meta, travel: &Travel<'_>, action: Action, body: Bytes) -> Order {
        let wait = match travel.forward.wait {
            Wait::Never => WaitCode::Never,
            Wait::Queue => WaitCode::Queue,
        };
        Order {
            service: meta.service.clone(),
            workspace: meta.workspace.clone(),
            key: meta.key.clone(),
            deadline_ms: millis(travel.left),
            wait,
            action,
            body,
            claim_ms: travel.claim.map(millis),
            attempts: travel.forward.past.attempts,
            avoid: travel.forward.past.avoid.clone(),
            delivered: travel.delivered.to_vec(),
        }
    }

    /// How the request came here, if it arrived at `now`.
    pub(crate) fn origin(&mut self, now: Time) -> Origin {
        let wait = match self.wait {
            WaitCode::Never => Wait::Never,
            WaitCode::Queue => Wait::Queue,
        };
        let claim = self.claim_ms.map(|left| Permit::received(now, Duration::from_millis(left)));
        let past = Past { attempts: self.attempts, avoid: self.avoid.take() };
        let delivered = std::mem::take(&mut self.delivered);
        Origin { hop: Hop::Forwarded(wait), past, claim, delivered }
    }

    /// The request as the caller sent it, with `trace` as its trace context.
    ///
    /// # Errors
    ///
    /// Refuses a body or a method that no caller could have sent.
    pub(crate) fn work(self, trace: Option<&HeaderValue>) -> Result<Work, Refusal> {
        let malformed = |what: &str| Refusal::not_run(Kind::Malformed, what);
        let traceparent = trace.and_then(|it| it.to_str().ok()).map(str::to_owned);
        let meta = Meta {
            service: self.service,
            workspace: self.workspace,
            key: self.key,
            deadline: Some(Duration::from_millis(self.deadline_ms)),
            traceparent,
        };
        match self.action {
            Action::Generate => Generate::parse(meta, self.body).map(Work::Generate),
            Action::Call { method, path, content_type } => {
                let method = Method::from_bytes(method.as_bytes());
                let method = method.map_err(|_| malformed("the method is malformed"))?;
                let content_type = content_type.map(HeaderValue::try_from).transpose();
                let content_type = content_type.map_err(|_| malformed("the type is malformed"))?;
                Ok(Work::Call(Call { meta, method, path, content_type, body: self.body }))
            }
        }
    }
}

impl From<Event> for Item {
    fn from(event: Event) -> Item {
        match event {
            Event::Token { offset, token } => Item::Token { offset, token },
            Event::End { tokens } => Item::End { tokens },
            Event::Error(refusal) => refusal.into(),
        }
    }
}

impl From<Refusal> for Item {
    fn from(refusal: Refusal) -> Item {
        Item::Refused {
            kind: refusal.kind,
            outcome: refusal.outcome,
            message: refusal.message,
            retry_after_ms: refusal.retry_after.map(millis),
        }
    }
}

impl From<Result<Answer, Refusal>> for Item {
    fn from(result: Result<Answer, Refusal>) -> Item {
        match result {
            Ok(answer) => Item::Answer {
                status: answer.status.as_u16(),
                content_type: answer.content_type,
                body: answer.body,
                recorded: answer.source == Source::Record,
            },
            Err(refusal) => refusal.into(),
        }
    }
}

/// The body that carries the items of `receiver`.
pub(crate) fn body(receiver: mpsc::Receiver<Item>) -> Body {
    StreamBody::new(ReceiverStream::new(receiver).map(encode as fn(Item) -> Part))
}

/// The body that refuses an order that cannot be read.
pub(crate) fn refuse(error: &wire::Error) -> Body {
    let (sender, receiver) = mpsc::channel(1);
    let refusal = Refusal::not_run(Kind::Malformed, error.to_string());
    // The channel is empty, so there is room.
    drop(sender.try_send(refusal.into()));
    body(receiver)
}

fn encode(item: Item) -> Part {
    let item = rmp_serde::to_vec(&item).unwrap_or_default();
    let length = u32::try_from(item.len()).unwrap_or(u32::MAX);
    let mut bytes = Vec::with_capacity(item.len() + LENGTH_BYTES);
    bytes.extend_from_slice(&length.to_be_bytes());
    bytes.extend_from_slice(&item);
    Ok(Frame::data(bytes.into()))
}

/// Passes `order` to the peer that `forward` names.
///
/// # Errors
///
/// Returns how far the request came if the peer did not begin to answer.
pub(crate) async fn ask(
    node: &Node,
    forward: &Forward,
    order: &Order,
    hop: &hop::Hop,
) -> Result<Items, Failure> {
    let configuration = node.configuration.load_full();
    let member = configuration.head.roster.get(&forward.peer).ok_or(Failure::Busy)?;
    let hop = hop.leave("peer.forward", [KeyValue::new("peer", forward.peer.to_string())]);
    send(node.membership.client(), member.peer, order, hop.traceparent()).await
}

/// Sends `order` to `peer` and reads the items of its answer.
async fn send(
    client: &Client,
    peer: SocketAddr,
    order: &Order,
    trace: Option<HeaderValue>,
) -> Result<Items, Failure> {
    let body = wire::Frame::encode(order).map_err(|_| Failure::Unsent)?.into_bytes();
    let request = forward::Request { hops: 1, trace, body };
    let response = client
        .forward(peer, request)
        .await
        .map_err(|error| if error.is_not_run() { Failure::Busy } else { Failure::Broken })?;
    if response.status() != StatusCode::OK {
        return Err(Failure::Busy);
    }
    let body = response.into_body().into_data_stream();
    let body = body.map_err(io_error as fn(hyper::Error) -> std::io::Error);
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_ITEM_BYTES).new_codec();
    Ok(Items(FramedRead::new(StreamReader::new(body), codec)))
}

impl Items {
    /// The next item, or none if the peer's answer broke off. Safe to drop while it waits.
    pub(crate) async fn next(&mut self) -> Option<Item> {
        let item = self.0.next().await?.ok()?;
        rmp_serde::from_slice(&item).ok()
    }
}

/// What a peer's refusal means for the request's next step.
pub(crate) fn refused<T>(refusal: Refusal) -> End<T> {
    let elsewhere = matches!(
        refusal.kind,
        Kind::NoTarget | Kind::Overloaded | Kind::Leaving | Kind::NotCurrent | Kind::UnknownService
    );
    match refusal.outcome {
        Outcome::NotRun if elsewhere => End::Failed(Failure::Busy),
        _ => End::Refused(refusal),
    }
}

/// The refusal that an item carries.
pub(crate) fn refusal(
    kind: Kind,
    outcome: Outcome,
    message: String,
    retry_after_ms: Option<u64>,
) -> Refusal {
    let retry_after = retry_after_ms.map(Duration::from_millis);
    Refusal { kind, outcome, message, retry_after }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

fn io_error(error: hyper::Error) -> std::io::Error {
    std::io::Error::other(error)
}
