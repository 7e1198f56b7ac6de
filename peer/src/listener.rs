//! The listener for other entries.

mod count;
mod route;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ::listener::Limits;
use bytes::Bytes;
use decision::gossip::{Answer, Ask};
use http::{Response, StatusCode};
use hyper::body::Body;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use crate::meter::{Io, Traffic};
use crate::token::Token;
use crate::{forward, wire};

pub use count::{Count, Counter};

/// How peers are served.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Bounds of the connections.
    pub limits: Limits,
    /// Requests whose answer has not begun, at once; further ones get status 503.
    pub max_requests: usize,
    /// Longest time to read a request's body.
    pub body_timeout: Duration,
    /// Longest wait for requests in progress once the listener stops.
    pub drain_timeout: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            max_body_bytes: 1_048_576,
            limits: Limits { head_timeout: Duration::from_secs(60), ..Limits::default() },
            max_requests: 512,
            body_timeout: Duration::from_secs(5),
            drain_timeout: Duration::from_secs(600),
        }
    }
}

/// What an entry does for its peers.
pub trait Handler: Send + Sync + 'static {
    /// The body of an answer to a passed-on request.
    type Stream: Body<Data = Bytes, Error: std::error::Error + Send + Sync + 'static>
        + Send
        + 'static;

    /// Answers the exchange.
    fn exchange(&self, ask: Ask) -> impl Future<Output = Answer> + Send;

    /// Carries out a claim, a frame whose message belongs to the handler.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if nothing was carried out.
    fn claim(&self, frame: Bytes) -> impl Future<Output = Result<wire::Frame, Refusal>> + Send;

    /// Carries out a request that a peer passed on.
    fn forward(
        &self,
        request: forward::Request,
    ) -> impl Future<Output = Response<Self::Stream>> + Send;
}

/// Why a peer's call was refused before anything was carried out.
#[derive(Debug, thiserror::Error)]
pub enum Refusal {
    /// The token is missing or wrong.
    #[error("the bearer token is missing or wrong")]
    Unauthorized,
    /// No such path or method.
    #[error("there is no {0}")]
    Unknown(String),
    /// The body is larger than the limit, in bytes.
    #[error("the body is larger than {0} bytes")]
    Oversized(usize),
    /// The body did not arrive whole and in time.
    #[error("the body did not arrive whole and in time")]
    Incomplete,
    /// The frame could not be read.
    #[error(transparent)]
    Wire(#[from] wire::Error),
    /// The request has been passed on too often, or does not say how often.
    #[error("{} must be a number from 1 to {}", forward::HOPS_HEADER, forward::MAX_HOPS)]
    Hops,
    /// Too many requests are in progress.
    #[error("{0} requests are in progress already")]
    Busy(usize),
    /// The entry is leaving or does not take this work.
    #[error("this entry does not take this work now")]
    Unavailable,
}

impl Refusal {
    /// The HTTP status of the refusal.
    pub fn status(&self) -> StatusCode {
        match self {
            Refusal::Unauthorized => StatusCode::UNAUTHORIZED,
            Refusal::Unknown(_) => StatusCode::NOT_FOUND,
            Refusal::Oversized(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::Incomplete | Refusal::Wire(_) | Refusal::Hops => StatusCode::BAD_REQUEST,
            Refusal::Busy(_) | Refusal::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// Serves peers on a bound socket.
#[derive(Debug)]
pub struct Listener<H> {
    handler: Arc<H>,
    token: Token,
    settings: Settings,
    requests: Semaphore,
    count: Arc<Count>,
    traffic: Arc<Traffic>,
    stop: CancellationToken,
}

impl<H: Handler> Listener<H> {
    /// A listener that lets `handler` answer whoever shows `token`.
    pub fn new(handler: Arc<H>, token: Token, settings: Settings) -> Listener<H> {
        let requests = Semaphore::new(settings.max_requests);
        let (count, traffic) = (Arc::default(), Arc::default());
        let stop = CancellationToken::new();
        Listener { handler, token, settings, requests, count, traffic, stop }
    }

    /// What was served and refused so far.
    pub fn count(&self) -> Arc<Count> {
        Arc::clone(&self.count)
    }

    /// The bytes of all connections so far.
    pub fn traffic(&self) -> Arc<Traffic> {
        Arc::clone(&self.traffic)
    }

    /// Serves until `stop`, then closes the socket and ends the requests in progress.
    ///
    /// Once the socket is closed, another process may bind the address. No exchange is answered
    /// from then on, so that at any time only one process speaks for the address.
    pub async fn serve(mut self, socket: TcpListener, stop: CancellationToken) {
        self.stop = stop.clone();
        let (drain_timeout, limits) = (self.settings.drain_timeout, self.settings.limits);
        let mut http1 = limits.http1();
        http1.auto_date_header(false);
        let listener = Arc::new(self);
        let open = |stream| {
            let io = TokioIo::new(Io::new(stream, Arc::clone(&listener.traffic)));
            let listener = Arc::clone(&listener);
            let service = service_fn(move |request| {
                let listener = Arc::clone(&listener);
                async move { Ok::<_, Infallible>(listener.route(request).await) }
            });
            http1.serve_connection(io, service)
        };
        let stopped = stop.cancelled_owned();
        let graceful = ::listener::serve(socket, limits, stopped, open).await;
        if tokio::time::timeout(drain_timeout, graceful.shutdown()).await.is_err() {
            log::warn!("peers' requests still run {drain_timeout:?} after the stop");
        }
    }
}

/// Binds the peers' listener.
///
/// # Errors
///
/// Returns the system's error, such as an address in use.
pub async fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await
}
