//! Serves operators over HTTP.

use std::convert::Infallible;
use std::future::{Future, ready};
use std::sync::Arc;
use std::time::Duration;

use ::listener::Limits;
use bytes::{Buf, BufMut, BytesMut};
use futures_util::{Stream, TryStreamExt};
use http::{StatusCode, header};
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use serde::Serialize;
use store::token::Token;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use warp::filters::path::FullPath;
use warp::reject::{self, Reject, Rejection};
use warp::reply::{Reply, Response};
use warp::{Filter, body};

use crate::handler::Handler;
use crate::refusal::Refusal;

/// Bounds of the listener.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Largest body of a change, in bytes.
    pub body_bytes: u64,
    /// Longest wait for the body of a change.
    pub body_timeout: Duration,
    /// Most calls in progress.
    pub calls: usize,
    /// Bounds of the connections.
    pub limits: Limits,
}

struct Shared<H> {
    handler: H,
    token: Token,
    settings: Settings,
    permits: Semaphore,
}

#[derive(Debug)]
struct Refused(Refusal);

impl Reject for Refused {}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            body_bytes: 8 << 20,
            body_timeout: Duration::from_secs(10),
            calls: 32,
            limits: Limits::default(),
        }
    }
}

/// Serves operators that present `token` until `stop` ends, and then the calls in progress.
///
/// `GET /healthz` and `GET /readyz` need no token.
pub async fn serve<H: Handler>(
    socket: TcpListener,
    handler: H,
    token: Token,
    settings: Settings,
    stop: impl Future<Output = ()> + Send + 'static,
) {
    let (permits, limits) = (Semaphore::new(settings.calls), settings.limits);
    let shared = Arc::new(Shared { handler, token, settings, permits });
    let (http1, routes) = (limits.http1(), routes(shared));
    let open = |stream| {
        let service = TowerToHyperService::new(warp::service(routes.clone()));
        http1.serve_connection(TokioIo::new(stream), service)
    };
    listener::serve(socket, limits, stop, open).await.shutdown().await;
}

fn routes<H: Handler>(
    shared: Arc<Shared<H>>,
) -> impl Filter<Extract = (Response,), Error = Infallible> + Clone + Send + Sync + 'static {
    let limit = shared.settings.body_bytes;
    let health = probe(Arc::clone(&shared));
    let get = warp::get()
        .and(authorized(Arc::clone(&shared)))
        .and(warp::path::full())
        .then(async |shared: Arc<Shared<H>>, path: FullPath| shared.get(path.as_str()).await);
    let post = warp::post()
        .and(authorized(shared))
        .and(warp::path::full())
        .and(body::content_length_limit(limit))
        .and(body::stream())
        .then(async |shared: Arc<Shared<H>>, path: FullPath, body| match shared.read(body).await {
            Ok(body) => shared.post(path.as_str(), &body).await,
            Err(refusal) => answer::<()>(Err(refusal)),
        });
    let routes = health.or(get).unify().or(post).unify();
    let refused = move |rejection: Rejection| ready(Ok(refuse(&rejection, limit)));
    routes.recover(refused).unify()
}

fn probe<H: Handler>(
    shared: Arc<Shared<H>>,
) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone {
    let health = warp::path!("healthz").map(|| StatusCode::OK.into_response());
    let ready = warp::path!("readyz").map(move || match shared.handler.is_ready() {
        true => StatusCode::OK.into_response(),
        false => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    });
    warp::get().and(health.or(ready).unify())
}

fn authorized<H: Handler>(
    shared: Arc<Shared<H>>,
) -> impl Filter<Extract = (Arc<Shared<H>>,), Error = Rejection> + Clone {
    let header = warp::header::optional::<String>(header::AUTHORIZATION.as_str());
    header.and_then(move |header: Option<String>| {
        let shared = Arc::clone(&shared);
        async move {
            match header.is_some_and(|header| shared.token.admits(&header)) {
                true => Ok(shared),
                false => Err(reject::custom(Refused(Refusal::Unauthorized))),
            }
        }
    })
}

impl<H: Handler> Shared<H> {
    async fn get(&self, path: &str) -> Response {
        let Ok(_permit) = self.permits.try_acquire() else { return self.busy() };
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        match parts.as_slice() {
            ["v1", "configuration"] => answer(self.handler.configuration().await),
            ["v1", "status"] => answer(Ok(self.handler.status().await)),
            ["v1", "entries"] => answer(Ok(self.handler.entries().await)),
            ["v1", "explain", kind, name] => answer(self.handler.explain(kind, name).await),
            ["metrics"] => self.handler.metrics().into_response(),
            _ => answer::<()>(Err(Refusal::Absent { path: path.to_owned() })),
        }
    }

    /// Reads a body whose length is within the limit, within the limit of time.
    async fn read(
        &self,
        body: impl Stream<Item = Result<impl Buf, warp::Error>>,
    ) -> Result<BytesMut, Refusal> {
        let gather = async |mut whole: BytesMut, part| {
            whole.put(part);
            Ok(whole)
        };
        let whole = body.try_fold(BytesMut::new(), gather);
        let limit = self.settings.body_timeout;
        let malformed = |reason| Refusal::Malformed { reason };
        match tokio::time::timeout(limit, whole).await {
            Ok(body) => body.map_err(|error| malformed(error.to_string())),
            Err(_) => Err(malformed(format!("it did not come within {limit:?}"))),
        }
    }

    async fn post(&self, path: &str, body: &[u8]) -> Response {
        let Ok(_permit) = self.permits.try_acquire() else { return self.busy() };
        let malformed = |error: serde_json::Error| {
            answer::<()>(Err(Refusal::Malformed { reason: error.to_string() }))
        };
        match path.trim_matches('/') {
            "v1/configuration" => match serde_json::from_slice(body) {
                Ok(change) => answer(self.handler.change(change).await),
                Err(error) => malformed(error),
            },
            "v1/entries/forget" => match serde_json::from_slice(body) {
                Ok(forget) => answer(self.handler.forget(forget).await),
                Err(error) => malformed(error),
            },
            _ => answer::<()>(Err(Refusal::Absent { path: path.to_owned() })),
        }
    }

    fn busy(&self) -> Response {
        answer::<()>(Err(Refusal::Busy { limit: self.settings.calls }))
    }
}

fn answer<T: Serialize>(result: Result<T, Refusal>) -> Response {
    match result {
        Ok(value) => warp::reply::json(&value).into_response(),
        Err(refusal) => {
            let status = refusal.status();
            warp::reply::with_status(warp::reply::json(&refusal), status).into_response()
        }
    }
}

fn refuse(rejection: &Rejection, limit: u64) -> Response {
    if let Some(Refused(refusal)) = rejection.find() {
        return answer::<()>(Err(refusal.clone()));
    }
    let too_large = rejection.find::<reject::PayloadTooLarge>().is_some();
    if too_large || rejection.find::<reject::LengthRequired>().is_some() {
        return answer::<()>(Err(Refusal::Large { limit }));
    }
    answer::<()>(Err(Refusal::Absent { path: "this path and method".to_owned() }))
}
