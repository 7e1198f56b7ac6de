//! Lets peers read here what this entry read from the store, so that few entries of a failure
//! domain ask the store itself.

pub mod pack;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use decision::prelude::*;
use http::{Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::error::Call;
use crate::follow::{FOLLOWED_KINDS, Source};
use crate::journal::Event;
use crate::mirror::Update;
use crate::port::{Kind, Platform};
use crate::state::Shared;
use crate::{apply, follow};

/// Time for which a peer is not asked that could not tell.
const DOUBT: Duration = Duration::from_secs(3);

/// Pause between two looks whether a peer reads the store.
const LOOK: Duration = Duration::from_millis(100);

/// The same right after the start.
const LOOK_EARLY: Duration = Duration::from_millis(10);

/// Time that an entry which starts has to meet the one that reads the store for it.
const MEET: Duration = Duration::from_millis(1_500);

/// Path of questions.
const PATH: &str = "/changes";

/// Largest question, in bytes.
const MAX_QUESTION: usize = 1_024;

/// Largest answer, in bytes.
const MAX_ANSWER: usize = 16 << 20;

/// Longest time for which a question is held.
const MAX_WAIT: Duration = Duration::from_secs(20);

/// Longest time for which a connection stays idle.
const IDLE: Duration = Duration::from_secs(30);

/// Time beyond its own wait after which a question is given up.
const PATIENCE: Duration = Duration::from_millis(300);

/// Headers of an answer whose news are packed: its age and how long the question was held, in
/// milliseconds.
const AGE: &str = "age-ms";
const HELD: &str = "held-ms";

/// What a peer asks for.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Question {
    /// Kinds of objects, and the revision of each that the asker has.
    since: Vec<(Kind, Option<u64>)>,
    /// Longest time to wait for a change, in milliseconds.
    wait_ms: u32,
}

/// What a peer is told.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Answer {
    /// What the asker doesn't know, by kind.
    news: Vec<Update>,
    /// Time since the store last showed that it can be reached, in milliseconds. A cut would
    /// show in all kinds, so that all are at most as old.
    age_ms: u32,
    /// How long the question was held, in milliseconds.
    held_ms: u32,
}

/// Why a peer could not tell.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// It could not be asked.
    #[error(transparent)]
    Call(#[from] Call),
    /// It knows nothing itself.
    #[error("the peer answered {0}")]
    Status(StatusCode),
    /// What it knows is too old.
    #[error("the peer's knowledge is {0:?} old")]
    Old(Duration),
    /// Its answer can't be read.
    #[error("the peer's answer can't be read: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
    /// Its packed answer can't be read.
    #[error("the peer's answer can't be read: {0}")]
    Unpack(#[from] pack::Error),
    /// Its packed answer doesn't say how old it is.
    #[error("the peer's answer doesn't say how old it is")]
    Ageless,
}

/// Answers peers on `listener`.
pub(crate) async fn serve<P: Platform>(shared: Arc<Shared<P>>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(20)).await;
            continue;
        };
        // Only the latency of small answers depends on it.
        let _set = stream.set_nodelay(true);
        let shared = shared.clone();
        let service = service_fn(move |request| {
            let shared = shared.clone();
            async move { Ok::<_, Infallible>(respond(&shared, request).await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(IDLE)
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            // The peer sees how its connection ends.
            let _ended = connection.await;
        });
    }
}

async fn respond<P: Platform>(
    shared: &Shared<P>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let answer = match request.uri().path() {
        PATH => answer(shared, request.into_body()).await,
        _ => Err(StatusCode::NOT_FOUND),
    };
    match answer {
        Ok(response) => response,
        Err(status) => {
            let mut response = Response::new(Full::default());
            *response.status_mut() = status;
            response
        }
    }
}

async fn answer<P: Platform>(
    shared: &Shared<P>,
    body: Incoming,
) -> Result<Response<Full<Bytes>>, StatusCode> {
    let body = Limited::new(body, MAX_QUESTION).collect().await;
    let body = body.map_err(|_| StatusCode::BAD_REQUEST)?.to_bytes();
    let question: Question = rmp_serde::from_slice(&body).map_err(|_| StatusCode::BAD_REQUEST)?;
    let asked = shared.now();
    let wait = Duration::from_millis(u64::from(question.wait_ms)).min(MAX_WAIT);
    // Without news in time, the answer says so.
    let _elapsed = timeout(wait, news(shared, &question)).await;
    let answer = tell_all(shared, &question, asked).ok_or(StatusCode::SERVICE_UNAVAILABLE)?;
    let response = match pack::is_large(&answer.news) {
        true => packed(shared, &answer),
        false => rmp_serde::to_vec(&answer).map(whole).map_err(pack::Error::from),
    };
    response.map_err(|error| {
        let reason = error.to_string();
        shared.journal.note(&Event::Lost {
            dependency: "relay",
            kind: Kind::Instances,
            reason: &reason,
        });
        StatusCode::INTERNAL_SERVER_ERROR
    })
}

fn whole(bytes: Vec<u8>) -> Response<Full<Bytes>> {
    Response::new(Full::new(Bytes::from(bytes)))
}

fn packed<P>(shared: &Shared<P>, answer: &Answer) -> Result<Response<Full<Bytes>>, pack::Error> {
    let mut response = Response::new(Full::new(shared.packer.pack(&answer.news)?));
    response.headers_mut().insert(AGE, answer.age_ms.into());
    response.headers_mut().insert(HELD, answer.held_ms.into());
    Ok(response)
}

/// What to tell, if this entry knows anything itself.
fn tell_all<P>(shared: &Shared<P>, question: &Question, asked: Time) -> Option<Answer> {
    let now = shared.now();
    let mirror = shared.mirror();
    let contact = mirror.confirmed_at(Kind::Config)?;
    let news = question.since.iter().filter_map(|(kind, since)| mirror.update_since(*kind, *since));
    Some(Answer {
        news: news.collect(),
        age_ms: millis(now.since(contact)),
        held_ms: millis(now.since(asked)),
    })
}

/// Waits until there is something that the asker doesn't know.
async fn news<P: Platform>(shared: &Shared<P>, question: &Question) {
    loop {
        let changed = shared.mirror_changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        if is_behind(shared, question) && is_fresh(shared) {
            return;
        }
        // What becomes fresh is not told as a change.
        let _elapsed = timeout(LOOK, changed).await;
    }
}

/// Whether the store was in reach a moment ago, so that the asker can use what it is told.
fn is_fresh<P>(shared: &Shared<P>) -> bool {
    let limit = shared.settings().bounds.max_relay_age();
    let contact = shared.mirror().confirmed_at(Kind::Config);
    contact.is_some_and(|it| shared.now().since(it) < limit)
}

fn is_behind<P>(shared: &Shared<P>, question: &Question) -> bool {
    let mirror = shared.mirror();
    question.since.iter().any(|(kind, since)| mirror.has_update(*kind, *since))
}

/// Asks the peer that reads the store for this failure domain, and says whether the store has to
/// be asked instead.
pub(crate) async fn follow<P: Platform>(shared: Arc<Shared<P>>, source: watch::Sender<Source>) {
    let started = shared.now();
    loop {
        let Some((name, reader, wait)) = reader(&shared) else {
            if *source.borrow() == Source::Unknown && is_early(&shared, started) {
                sleep(LOOK_EARLY).await;
                continue;
            }
            source.send_if_modified(|it| std::mem::replace(it, Source::Store) != Source::Store);
            sleep(LOOK).await;
            continue;
        };
        let told = tell(&shared, reader, wait).await;
        match told {
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
                shared.peers.exclude_reader(&name, shared.now() + DOUBT);
            }
        }
    }
}

/// The peer that reads the store for this failure domain, or for all of them, if it isn't this
/// entry, and how long a question to it waits. Before all kinds are known, the store is asked where
/// entries are few.
fn reader<P: Platform>(shared: &Shared<P>) -> Option<(String, SocketAddr, Duration)> {
    let settings = shared.settings();
    let (now, rank) = (shared.now(), shared.rank(&settings));
    let near = shared.peers.domain_reader(now, &settings.failure_domain, rank);
    let (reader, wait) = match near {
        Some(near) => (near, settings.bounds.relay_timeout()),
        None if shared.has_hubs() => {
            (shared.peers.cluster_reader(now, rank)?, settings.bounds.cluster_relay_timeout())
        }
        None => return None,
    };
    let mirror = shared.mirror();
    let known = FOLLOWED_KINDS.iter().all(|it| mirror.watch_revision(*it).is_some());
    drop(mirror);
    if !known && !shared.has_hubs() {
        return None;
    }
    let address = shared.knowledge().entries.get(&*reader).map(|it| it.address)?;
    Some((reader, address, wait))
}

/// Whether it is too early to read the store where it is not known yet who does so for others.
fn is_early<P: Platform>(shared: &Shared<P>, started: Time) -> bool {
    let waits = shared.now().since(started) < MEET;
    let known = shared.mirror().watch_revision(Kind::Entries).is_some();
    waits && (!known || (shared.has_hubs() && !shared.is_reader_candidate()))
}

/// Asks `reader` once and takes what it tells.
async fn tell<P: Platform>(
    shared: &Shared<P>,
    reader: SocketAddr,
    wait: Duration,
) -> Result<(), Error> {
    let bounds = shared.settings().bounds;
    let asked = shared.now();
    let since = {
        let mirror = shared.mirror();
        let since = FOLLOWED_KINDS.map(|kind| (kind, mirror.watch_revision(kind)));
        // The configuration is needed first, and the list of instances takes longest.
        let first = mirror.watch_revision(Kind::Config).is_none();
        let asked = since.into_iter().filter(|(kind, _)| !first || *kind != Kind::Instances);
        asked.collect()
    };
    let question = Question { since, wait_ms: millis(wait) };
    let answer = ask(shared, reader, &question).await?;
    let age = Duration::from_millis(u64::from(answer.age_ms));
    if age > bounds.max_relay_age() {
        return Err(Error::Old(age));
    }
    if !shared.is_store_up() {
        let contact = shared.mirror().confirmed_at(Kind::Config);
        let away = contact.map(|it| shared.now().since(it));
        follow::note_store_recovery(shared, away.unwrap_or_default());
    }
    // It was told after the question had been held, of a time that lay `age` before.
    let known = (asked + Duration::from_millis(u64::from(answer.held_ms))).back(age);
    for Update { kind, list, changes } in answer.news {
        match list {
            Some(items) => apply::list(shared, kind, changes.revision, known, &items),
            None => apply::changes(shared, kind, known, &changes),
        }
    }
    Ok(())
}

async fn ask<P: Platform>(
    shared: &Shared<P>,
    address: SocketAddr,
    question: &Question,
) -> Result<Answer, Error> {
    // A question of a few small fields can always be written.
    let body = rmp_serde::to_vec(question).unwrap_or_default();
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(PATH);
    if let Ok(host) = address.to_string().parse() {
        request.headers_mut().insert(http::header::HOST, host);
    }
    let time = Duration::from_millis(u64::from(question.wait_ms)) + PATIENCE;
    let response = shared.store.call(address, request, time, MAX_ANSWER).await?;
    match response.status() {
        StatusCode::OK if response.headers().contains_key(AGE) => unpack(&response),
        StatusCode::OK => Ok(rmp_serde::from_slice(response.body())?),
        status => Err(Error::Status(status)),
    }
}

fn unpack(response: &Response<Bytes>) -> Result<Answer, Error> {
    let millis = |name| {
        let text = response.headers().get(name)?.to_str().ok()?;
        text.parse().ok()
    };
    let (Some(age_ms), Some(held_ms)) = (millis(AGE), millis(HELD)) else {
        return Err(Error::Ageless);
    };
    Ok(Answer { news: pack::unpack(response.body())?, age_ms, held_ms })
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
