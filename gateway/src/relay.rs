//! Relays the store's objects between entries, so that few entries of a failure domain read the
//! store themselves.
//!
//! `serve` answers the queries of peers from this entry's mirror, and `follow` queries the peer
//! that reads the store for this entry.

pub mod pack;
mod serve;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use decision::gateway::era::{Era, Observation, Version};
use decision::prelude::*;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use http_body_util::Full;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::sleep;

pub(crate) use self::serve::serve;
use crate::error::Call;
use crate::follow::{FOLLOWED_KINDS, Source};
use crate::journal::Event;
use crate::mirror::{Held, Update};
use crate::port::{Kind, Platform};
use crate::state::Shared;
use crate::{apply, follow};

/// Time for which a peer is not queried after a query to it failed.
const READER_EXCLUSION: Duration = Duration::from_secs(3);

/// Interval at which an entry without a reader checks for one, and at which a held query checks
/// whether the mirror is fresh again.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which a starting entry checks for a reader.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Longest time that a starting entry waits for a reader before it reads the store itself.
const STARTUP_WAIT: Duration = Duration::from_millis(1_500);

/// Header of queries and replies with the era of the store that the sender knows. Builds without it
/// ignore it; a reply without it counts as one of the era that the query stated.
const ERA_HEADER: &str = "era";

/// Path at which an entry tells what it holds in place of the store's objects.
const HELD_PATH: &str = "/held";

/// Path of queries.
const QUERY_PATH: &str = "/changes";

/// Largest body of a reply, packed or not.
const MAX_REPLY_BYTES: usize = 16 << 20;

/// Time that a query may take beyond the time for which the peer holds it.
const QUERY_TIMEOUT_MARGIN: Duration = Duration::from_millis(300);

/// Header of a packed reply with [`Reply::age_ms`].
const AGE_HEADER: &str = "age-ms";

/// Header of a packed reply with [`Reply::held_ms`].
const HELD_HEADER: &str = "held-ms";

/// Query of a peer for the updates that it lacks. Encoded as an array, so the order of the fields
/// counts.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Query {
    /// Kinds of objects, each with the revision that the peer has; `None` asks for the whole list.
    since: Vec<(Kind, Option<u64>)>,
    /// Longest time for which the query is held until there is an update, in milliseconds.
    wait_ms: u32,
}

/// Reply to a query. Encoded as an array, so the order of the fields counts.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Reply {
    /// Updates of the kinds of which the peer lacks something.
    #[serde(rename = "news")]
    updates: Vec<Update>,
    /// Time since the configuration and the instances were last known to be up to date, in
    /// milliseconds. It holds for all kinds, since a lost connection to the store affects all of them.
    age_ms: u32,
    /// Time for which the query was held, in milliseconds.
    held_ms: u32,
}

/// Error of a query to a peer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The query failed.
    #[error(transparent)]
    Call(#[from] Call),
    /// The peer has no configuration yet, or rejected the query.
    #[error("peer responded with status {0}")]
    Status(StatusCode),
    /// The peer's objects are older than [`Bounds::max_relay_age`](crate::settings::Bounds::max_relay_age).
    #[error("objects of the peer are too old: {0:?}")]
    Stale(Duration),
    /// The peer knows an earlier era of the store only.
    #[error("the peer knows only the earlier era {0} of the store")]
    EraOutdated(Era),
    /// The reply can't be decoded.
    #[error("reply of the peer cannot be decoded: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
    /// The packed reply can't be decoded.
    #[error("reply of the peer cannot be unpacked: {0}")]
    Unpack(#[from] pack::Error),
    /// A header of the packed reply is missing or isn't a number.
    #[error("packed reply of the peer has no valid age-ms or held-ms header")]
    MissingAge,
}

/// Returns the era that a query or a reply states, if it states one.
fn stated_era(headers: &HeaderMap) -> Option<Era> {
    headers.get(ERA_HEADER)?.to_str().ok()?.parse().ok().map(Era)
}

/// Follows the store through the peer that reads it for this entry, until the process ends. Sets
/// `source` to that peer, or to the store while there is no such peer.
pub(crate) async fn follow<P: Platform>(shared: Arc<Shared<P>>, source: watch::Sender<Source>) {
    let started_at = shared.now();
    loop {
        let Some((name, address, hold)) = find_reader(&shared) else {
            if *source.borrow() == Source::Unknown && is_starting(&shared, started_at) {
                sleep(STARTUP_POLL_INTERVAL).await;
                continue;
            }
            source.send_if_modified(|it| std::mem::replace(it, Source::Store) != Source::Store);
            sleep(POLL_INTERVAL).await;
            continue;
        };
        let query = update_from(&shared, address, hold);
        tokio::pin!(query);
        let result = tokio::select! {
            result = &mut query => result,
            () = outdated(&shared) => {
                // The next reader may be as outdated as this one.
                source.send_if_modified(|it| std::mem::replace(it, Source::Store) != Source::Store);
                query.await
            }
        };
        match result {
            Ok(()) => {
                shared.store_up.store(true, Ordering::Relaxed);
                source.send_if_modified(|it| std::mem::replace(it, Source::Peer) != Source::Peer);
            }
            Err(error) => {
                if *source.borrow() == Source::Peer {
                    let reason = error.to_string();
                    let event =
                        Event::Lost { dependency: "reader", kind: Kind::Config, reason: &reason };
                    shared.journal.note(&event);
                }
                let now = shared.now();
                shared.peers.exclude_reader(now, &name, now + READER_EXCLUSION);
            }
        }
    }
}

/// Waits until this entry's configuration was last confirmed so long ago that it has to read the
/// store itself. Never returns while it has none.
async fn outdated<P: Platform>(shared: &Shared<P>) {
    loop {
        let Some(confirmed_at) = shared.mirror().confirmed_at(Kind::Config) else {
            return std::future::pending().await;
        };
        let max_age = shared.settings().bounds.max_followed_age();
        let age = shared.now().since(confirmed_at);
        if age >= max_age {
            return;
        }
        sleep(max_age - age).await;
    }
}

/// Returns the name and address of the peer that reads the store for this failure domain, or else
/// for the cluster, and the time for which it may hold a query. Returns `None` if this entry is to
/// read the store itself; in a cluster without hubs, also until all kinds were listed once. If its
/// own copy is too old, it reads the store and asks any peer that reaches it.
fn find_reader<P: Platform>(shared: &Shared<P>) -> Option<(String, SocketAddr, Duration)> {
    let settings = shared.settings();
    let now = shared.now();
    // An entry whose own copy is too old asks any peer that reaches the store.
    let rank = (!is_outdated(shared)).then(|| shared.rank(&settings));
    let domain_reader = shared.peers.domain_reader(now, &settings.failure_domain, rank);
    let (reader, hold) = match domain_reader {
        Some(reader) => (reader, settings.bounds.relay_timeout()),
        None if shared.has_hubs() || rank.is_none() => {
            (shared.peers.cluster_reader(now, rank)?, settings.bounds.cluster_relay_timeout())
        }
        None => return None,
    };
    let mirror = shared.mirror();
    // After a restore, the peer tells the kinds one by one as it lists them anew.
    let is_complete = FOLLOWED_KINDS.iter().all(|it| mirror.confirmed_at(*it).is_some());
    drop(mirror);
    if !is_complete && !shared.has_hubs() {
        return None;
    }
    let address = shared.knowledge().entries.get(&*reader).map(|it| it.address)?;
    Some((reader, address, hold))
}

/// Returns whether this entry's configuration was last confirmed so long ago that it has to look
/// for another source.
fn is_outdated<P>(shared: &Shared<P>) -> bool {
    let max_age = shared.settings().bounds.max_followed_age();
    let confirmed_at = shared.mirror().confirmed_at(Kind::Config);
    confirmed_at.is_some_and(|it| shared.now().since(it) >= max_age)
}

/// Returns whether this entry started so recently that it waits for a reader instead of reading the
/// store: the list of entries isn't known yet, or this entry isn't among the first two of its
/// failure domain in a cluster with hubs.
fn is_starting<P: Platform>(shared: &Shared<P>, started_at: Time) -> bool {
    let is_recent = shared.now().since(started_at) < STARTUP_WAIT;
    let has_entries = shared.mirror().watch_version(Kind::Entries).is_some();
    is_recent && (!has_entries || (shared.has_hubs() && !shared.is_reader_candidate()))
}

/// Sends one query to the reader at `address` and applies the updates of its reply.
async fn update_from<P: Platform>(
    shared: &Shared<P>,
    address: SocketAddr,
    hold: Duration,
) -> Result<(), Error> {
    let bounds = shared.settings().bounds;
    let sent_at = shared.now();
    let (era, since) = {
        let mirror = shared.mirror();
        let revision = |kind| mirror.watch_version(kind).map(|it| it.revision);
        let since = FOLLOWED_KINDS.map(|kind| (kind, revision(kind)));
        // Without a configuration, the list of instances isn't requested yet: it takes longest, and
        // the configuration is needed first.
        let needs_config = revision(Kind::Config).is_none();
        let requested =
            since.into_iter().filter(|(kind, _)| !needs_config || *kind != Kind::Instances);
        (mirror.era(), requested.collect())
    };
    let query = Query { since, wait_ms: millis(hold) };
    let (reply_era, reply) = send_query(shared, address, era, &query).await?;
    observe_peer_era(shared, reply_era)?;
    let age = Duration::from_millis(u64::from(reply.age_ms));
    if age > bounds.max_relay_age() {
        return Err(Error::Stale(age));
    }
    if !shared.is_store_up() {
        let confirmed_at = shared.mirror().confirmed_at(Kind::Config);
        let mut knowledge = shared.knowledge();
        knowledge.fleet_lost_at = confirmed_at.or(knowledge.fleet_lost_at);
    }
    // The peer replied after it had held the query, at the earliest at `sent_at` plus that time,
    // and its objects were up to date `age` before its reply.
    let confirmed_at = (sent_at + Duration::from_millis(u64::from(reply.held_ms))).back(age);
    for Update { kind, list, changes } in reply.updates {
        let version = Version { era: reply_era, revision: changes.revision };
        follow::after_outage(shared, kind, || match list {
            Some(items) => apply::list(shared, kind, version, confirmed_at, &items),
            None => apply::changes(shared, kind, reply_era, confirmed_at, &changes),
        });
    }
    // A reply without the instances says that they are the known ones.
    shared.knowledge().fleet_lost_at = None;
    Ok(())
}

/// Takes a later era that a peer states, and rejects an earlier one.
fn observe_peer_era<P>(shared: &Shared<P>, era: Era) -> Result<(), Error> {
    let observation = shared.mirror().observe_peer_era(era);
    match observation {
        Observation::Restored { from, to } => follow::announce_era(shared, from, to, "peer"),
        Observation::Outdated(era) => return Err(Error::EraOutdated(era)),
        Observation::Current(_) | Observation::Unconfirmed(_) => {}
    }
    Ok(())
}

/// Asks the peer at `address` what it holds in place of the store's objects, within `time_limit`.
///
/// # Errors
///
/// If the peer doesn't answer, knows an earlier era only and no configuration, or is of a build
/// that holds nothing.
pub(crate) async fn fetch_held<P: Platform>(
    shared: &Shared<P>,
    address: SocketAddr,
    time_limit: Duration,
) -> Result<Vec<Held>, Error> {
    let request = peer_request(address, HELD_PATH, shared.era(), Vec::new());
    let response = shared.store.call(address, request, time_limit, MAX_REPLY_BYTES).await?;
    if response.status() != StatusCode::OK {
        return Err(Error::Status(response.status()));
    }
    if let Some(era) = stated_era(response.headers()).filter(|it| *it > shared.era()) {
        observe_peer_era(shared, era)?;
    }
    let mut held: Vec<Held> = rmp_serde::from_slice(response.body())?;
    held.iter_mut().for_each(Held::restore_sequence);
    Ok(held)
}

/// Sends a query, and returns the reply with its era.
async fn send_query<P: Platform>(
    shared: &Shared<P>,
    address: SocketAddr,
    era: Era,
    query: &Query,
) -> Result<(Era, Reply), Error> {
    // Encoding can't fail for these types.
    let body = rmp_serde::to_vec(query).unwrap_or_default();
    let request = peer_request(address, QUERY_PATH, era, body);
    let time_limit = Duration::from_millis(u64::from(query.wait_ms)) + QUERY_TIMEOUT_MARGIN;
    let response = shared.store.call(address, request, time_limit, MAX_REPLY_BYTES).await?;
    let era = stated_era(response.headers()).unwrap_or(era);
    let reply = match response.status() {
        StatusCode::OK if response.headers().contains_key(AGE_HEADER) => unpack_reply(&response)?,
        StatusCode::OK => decode_reply(response.body())?,
        status => return Err(Error::Status(status)),
    };
    Ok((era, reply))
}

/// Builds a request to the peer at `address` from an entry that knows `era`.
fn peer_request(
    address: SocketAddr,
    path: &'static str,
    era: Era,
    body: Vec<u8>,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(path);
    request.headers_mut().insert(ERA_HEADER, era.0.into());
    if let Ok(host) = address.to_string().parse() {
        request.headers_mut().insert(http::header::HOST, host);
    }
    request
}

/// Decodes a reply and the sequences behind it, if it has them.
fn decode_reply(bytes: &[u8]) -> Result<Reply, Error> {
    let mut rest = bytes;
    let mut reply: Reply = rmp_serde::from_read(&mut rest)?;
    pack::read_sequences(rest, &mut reply.updates)?;
    Ok(reply)
}

fn unpack_reply(response: &Response<Bytes>) -> Result<Reply, Error> {
    let header = |name| {
        let text = response.headers().get(name)?.to_str().ok()?;
        text.parse().ok()
    };
    let (Some(age_ms), Some(held_ms)) = (header(AGE_HEADER), header(HELD_HEADER)) else {
        return Err(Error::MissingAge);
    };
    Ok(Reply { updates: pack::unpack(response.body())?, age_ms, held_ms })
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
