//! Answers the queries of peers from this entry's mirror.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use decision::gateway::era::{Era, Version};
use decision::prelude::*;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

use super::{
    AGE_HEADER, ERA_HEADER, HELD_HEADER, HELD_PATH, POLL_INTERVAL, QUERY_PATH, Query, Reply,
    millis, pack, stated_era,
};
use crate::apply::label;
use crate::journal::Event;
use crate::port::{Kind, Platform};
use crate::state::Shared;

/// Largest body of a query.
const MAX_QUERY_BYTES: usize = 1_024;

/// Largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Longest time for which a query is held until there is an update.
const MAX_HOLD: Duration = Duration::from_secs(20);

/// Longest time that a peer's connection may take until the next head of a request is complete.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Answers the queries of peers on `listener`.
pub(crate) async fn serve<P: Platform>(shared: Arc<Shared<P>>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(20)).await;
            continue;
        };
        // A failure only adds latency to small responses.
        let _result = stream.set_nodelay(true);
        let shared = shared.clone();
        let service = service_fn(move |request| {
            let shared = shared.clone();
            async move { Ok::<_, Infallible>(respond(&shared, request).await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .max_buf_size(MAX_HEAD_BYTES)
            .header_read_timeout(IDLE_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            // The peer sees the error itself.
            let _result = connection.await;
        });
    }
}

async fn respond<P: Platform>(
    shared: &Shared<P>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    // A peer of a build without eras is served as if it knew this entry's one.
    let era = stated_era(request.headers()).unwrap_or(shared.era());
    let result = match request.uri().path() {
        QUERY_PATH => answer_query(shared, era, request.into_body()).await,
        HELD_PATH => held_response(shared, era),
        _ => Err(StatusCode::NOT_FOUND),
    };
    let mut response = result.unwrap_or_else(|status| {
        let mut response = Response::new(Full::default());
        *response.status_mut() = status;
        response
    });
    response.headers_mut().insert(ERA_HEADER, shared.era().0.into());
    response
}

async fn answer_query<P: Platform>(
    shared: &Shared<P>,
    era: Era,
    body: Incoming,
) -> Result<Response<Full<Bytes>>, StatusCode> {
    let body = Limited::new(body, MAX_QUERY_BYTES).collect().await;
    let body = body.map_err(|_| StatusCode::BAD_REQUEST)?.to_bytes();
    let query: Query = rmp_serde::from_slice(&body).map_err(|_| StatusCode::BAD_REQUEST)?;
    if era > shared.era() {
        // The peer has seen the restored store, and this entry hasn't.
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    let received_at = shared.now();
    let hold = Duration::from_millis(u64::from(query.wait_ms)).min(MAX_HOLD);
    // Without an update in time, the reply contains none.
    let _elapsed = timeout(hold, wait_for_update(shared, era, &query)).await;
    let reply = reply(shared, era, &query, received_at).ok_or(StatusCode::SERVICE_UNAVAILABLE)?;
    let response = match pack::is_large(&reply.updates) {
        true => packed_response(shared, &reply),
        false => encode_reply(&reply).map(plain_response),
    };
    response.map_err(|error| report_encoding(shared, &error))
}

/// Encodes a reply, followed by what builds without it ignore.
fn encode_reply(reply: &Reply) -> Result<Vec<u8>, pack::Error> {
    let mut bytes = rmp_serde::to_vec(reply)?;
    pack::append_sequences(&mut bytes, &reply.updates)?;
    Ok(bytes)
}

/// Returns what this entry holds, for a peer that starts and knows `era`.
fn held_response<P>(shared: &Shared<P>, era: Era) -> Result<Response<Full<Bytes>>, StatusCode> {
    let hold = shared.settings().bounds.restore_hold();
    let held = shared.mirror().held(shared.now(), era, hold);
    let bytes = rmp_serde::to_vec(&held).map_err(pack::Error::from);
    bytes.map(plain_response).map_err(|error| report_encoding(shared, &error))
}

/// Logs that a reply can't be encoded.
fn report_encoding<P>(shared: &Shared<P>, error: &pack::Error) -> StatusCode {
    let reason = error.to_string();
    let event = Event::Lost { dependency: "relay", kind: Kind::Instances, reason: &reason };
    shared.journal.note(&event);
    StatusCode::INTERNAL_SERVER_ERROR
}

fn plain_response(bytes: Vec<u8>) -> Response<Full<Bytes>> {
    Response::new(Full::new(Bytes::from(bytes)))
}

fn packed_response<P>(
    shared: &Shared<P>,
    reply: &Reply,
) -> Result<Response<Full<Bytes>>, pack::Error> {
    let packed = shared.packer.pack(shared.era(), &reply.updates)?;
    let mut response = Response::new(Full::new(packed));
    response.headers_mut().insert(AGE_HEADER, reply.age_ms.into());
    response.headers_mut().insert(HELD_HEADER, reply.held_ms.into());
    Ok(response)
}

/// Returns the reply to `query`, or `None` while this entry has no configuration.
fn reply<P>(shared: &Shared<P>, era: Era, query: &Query, received_at: Time) -> Option<Reply> {
    let now = shared.now();
    let confirmed_at = confirmed_at(shared)?;
    let mirror = shared.mirror();
    let mut updates = Vec::new();
    for (kind, since) in query.since(era) {
        let Some(update) = mirror.update_since(kind, since) else { continue };
        if since.is_some() && update.list.is_some() {
            // The peer lags behind what is kept.
            let labels = format!("kind=\"{}\"", label(kind));
            shared.metrics.count("rhubarblatch_peer_relists_total", &labels);
        }
        updates.push(update);
    }
    Some(Reply {
        updates,
        age_ms: millis(now.since(confirmed_at)),
        held_ms: millis(now.since(received_at)),
    })
}

impl Query {
    /// Returns the kinds, each with the version of `era` that the peer has.
    fn since(&self, era: Era) -> impl Iterator<Item = (Kind, Option<Version>)> {
        let since = self.since.iter();
        since.map(move |(kind, since)| (*kind, since.map(|revision| Version { era, revision })))
    }
}

/// Waits until the peer lacks an update and this entry's mirror is fresh.
async fn wait_for_update<P: Platform>(shared: &Shared<P>, era: Era, query: &Query) {
    loop {
        let changed = shared.mirror_changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        if is_behind(shared, era, query) && is_fresh(shared) {
            return;
        }
        // No notification comes when the mirror becomes fresh again, so this is polled.
        let _elapsed = timeout(POLL_INTERVAL, changed).await;
    }
}

/// Returns whether the mirror was confirmed recently enough for a peer to accept its updates.
fn is_fresh<P>(shared: &Shared<P>) -> bool {
    let max_age = shared.settings().bounds.max_relay_age();
    confirmed_at(shared).is_some_and(|it| shared.now().since(it) < max_age)
}

/// Returns when the configuration and the instances were last known to be up to date. After an outage,
/// the configuration may be read first.
fn confirmed_at<P>(shared: &Shared<P>) -> Option<Time> {
    let config = shared.mirror().confirmed_at(Kind::Config)?;
    let lost_at = shared.knowledge().fleet_lost_at;
    Some(lost_at.map_or(config, |it| it.min(config)))
}

/// Returns whether the mirror has an update for the peer.
fn is_behind<P>(shared: &Shared<P>, era: Era, query: &Query) -> bool {
    let mirror = shared.mirror();
    query.since(era).any(|(kind, since)| mirror.has_update(kind, since))
}
