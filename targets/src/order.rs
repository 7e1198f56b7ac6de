//! Orders: tells a model engine to load or to leave a replica.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use decision::order::Order;
use decision::target::Epoch;
use http::header::CONTENT_TYPE;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Body;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Deserialize;

/// Idle connections kept to one engine.
const IDLE_PER_HOST: usize = 1;

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Bounds of an order.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Longest time from connecting to the last byte of the answer.
    pub timeout: Duration,
    /// Longest answer, in bytes.
    pub body_bytes: usize,
}

/// Sends orders. Cheap to clone; clones share their connections.
#[derive(Clone, Debug)]
pub struct Client {
    http: legacy::Client<HttpConnector, Full<Bytes>>,
    settings: Settings,
}

/// Why a probe or an order failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The engine has carried out an order of a later owner.
    #[error("the order's epoch is stale: the engine has seen epoch {}", .0.0)]
    Stale(Epoch),
    /// The engine answered with another status than the protocol foresees.
    #[error("the engine answered with status {0}")]
    Status(StatusCode),
    /// No connection, so nothing was sent.
    #[error("no connection to the engine: {0}")]
    Connect(legacy::Error),
    /// The connection failed after something may have been sent.
    #[error("the connection to the engine failed: {0}")]
    Exchange(legacy::Error),
    /// No whole answer in time; the engine may have acted.
    #[error("the engine did not answer in time")]
    Timeout(#[from] tokio::time::error::Elapsed),
    /// The body broke off or was longer than allowed.
    #[error("the engine's answer could not be read: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// The body is not what the protocol foresees.
    #[error("the engine's answer is malformed: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The request could not be put together.
    #[error("the request is malformed: {0}")]
    Request(#[from] http::Error),
}

#[derive(Deserialize)]
struct Conflict {
    epoch: Epoch,
}

impl Client {
    /// A client with `settings`. Never repeats a request by itself.
    pub fn new(settings: Settings) -> Client {
        Client { http: pool(settings.timeout), settings }
    }

    /// Sends `order` to the engine at `address` and waits until it is accepted.
    ///
    /// # Errors
    ///
    /// [`Error::Stale`] if the engine refuses the epoch. After [`Error::Timeout`],
    /// [`Error::Exchange`] and [`Error::Body`] the engine may have accepted the order.
    pub async fn send(&self, address: SocketAddr, order: &Order) -> Result<(), Error> {
        let uri = format!("http://{address}/orders");
        let request = Request::builder()
            .method(Method::POST)
            .uri(uri)
            .header(CONTENT_TYPE, "application/json")
            .body(Full::from(serde_json::to_vec(order)?))?;
        let send = exchange(&self.http, request, self.settings.body_bytes);
        let (status, body) = tokio::time::timeout(self.settings.timeout, send).await??;
        if status == StatusCode::CONFLICT {
            let conflict: Conflict = serde_json::from_slice(&body)?;
            return Err(Error::Stale(conflict.epoch));
        }
        if !status.is_success() {
            return Err(Error::Status(status));
        }
        Ok(())
    }
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { timeout: Duration::from_secs(2), body_bytes: 16 * 1024 }
    }
}

/// A client without hidden retries.
pub(crate) fn pool<B>(connect_timeout: Duration) -> legacy::Client<HttpConnector, B>
where
    B: Body + Send,
    B::Data: Send,
{
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(connect_timeout));
    connector.set_nodelay(true);
    legacy::Client::builder(TokioExecutor::new())
        .retry_canceled_requests(false)
        .pool_max_idle_per_host(IDLE_PER_HOST)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_timer(TokioTimer::new())
        .build(connector)
}

/// Sends `request` and reads an answer of at most `limit` bytes.
pub(crate) async fn exchange<B>(
    http: &legacy::Client<HttpConnector, B>,
    request: Request<B>,
    limit: usize,
) -> Result<(StatusCode, Bytes), Error>
where
    B: Body + Send + Unpin + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let answer = http.request(request).await.map_err(|error| match error.is_connect() {
        true => Error::Connect(error),
        false => Error::Exchange(error),
    })?;
    let status = answer.status();
    let body = Limited::new(answer.into_body(), limit).collect().await.map_err(Error::Body)?;
    Ok((status, body.to_bytes()))
}
