//! Lets peers read here what this entry read from the store, so that few entries of a failure
//! domain ask the store itself.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use decision::prelude::*;
use http::{Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

use crate::error::Call;
use crate::mirror::{Answer, Question};
use crate::port::Platform;
use crate::state::Shared;

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
const PATIENCE: Duration = Duration::from_millis(400);

/// Why a peer could not tell.
#[derive(Debug, thiserror::Error)]
pub enum Error {
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
        Ok(bytes) => Response::new(Full::new(bytes)),
        Err(status) => {
            let mut response = Response::new(Full::default());
            *response.status_mut() = status;
            response
        }
    }
}

async fn answer<P: Platform>(shared: &Shared<P>, body: Incoming) -> Result<Bytes, StatusCode> {
    let body = Limited::new(body, MAX_QUESTION).collect().await;
    let body = body.map_err(|_| StatusCode::BAD_REQUEST)?.to_bytes();
    let question: Question = rmp_serde::from_slice(&body).map_err(|_| StatusCode::BAD_REQUEST)?;
    let asked = shared.now();
    let wait = Duration::from_millis(u64::from(question.wait_ms)).min(MAX_WAIT);
    // Without news in time, the answer says so.
    let _elapsed = timeout(wait, news(shared, &question)).await;
    let now = shared.now();
    let answer = shared.mirror().answer(now, question.kind, question.since);
    let answer = answer.ok_or(StatusCode::SERVICE_UNAVAILABLE)?;
    let held_ms = u32::try_from(now.since(asked).as_millis()).unwrap_or(u32::MAX);
    let bytes = rmp_serde::to_vec(&Answer { held_ms, ..answer });
    bytes.map(Bytes::from).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
}

async fn news<P: Platform>(shared: &Shared<P>, question: &Question) {
    loop {
        let changed = shared.mirrored.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        if shared.mirror().has_news(question.kind, question.since) {
            return;
        }
        changed.await;
    }
}

/// Asks the peer at `address`.
///
/// # Errors
///
/// If it can't be asked or does not know itself.
pub(crate) async fn ask<P: Platform>(
    shared: &Shared<P>,
    address: SocketAddr,
    question: Question,
) -> Result<Answer, Error> {
    // A question of three small fields can always be written.
    let body = rmp_serde::to_vec(&question).unwrap_or_default();
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(PATH);
    if let Ok(host) = address.to_string().parse() {
        request.headers_mut().insert(http::header::HOST, host);
    }
    let time = Duration::from_millis(u64::from(question.wait_ms)) + PATIENCE;
    let response = shared.store.call(address, request, time, MAX_ANSWER).await?;
    match response.status() {
        StatusCode::OK => Ok(rmp_serde::from_slice(response.body())?),
        status => Err(Error::Status(status)),
    }
}
