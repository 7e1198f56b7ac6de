//! Calls to other entries. Nothing is retried here: the caller decides that.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use decision::gossip::{Answer, Ask};
use http::header::{AUTHORIZATION, HeaderName};
use http::{Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::forward;
use crate::token::Token;
use crate::wire::{self, Frame};

/// How calls to peers are made.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Longest time to open a connection.
    pub connect_timeout: Duration,
    /// Longest time from the call to the whole answer, or to the headers of a passed-on request.
    pub timeout: Duration,
    /// Largest answer, in bytes.
    pub max_answer_bytes: usize,
    /// Idle connections kept for each peer.
    pub idle_per_peer: usize,
    /// How long an idle connection is kept.
    pub idle_timeout: Duration,
    /// Bytes that a connection reads at once.
    pub read_buffer_bytes: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            connect_timeout: Duration::from_millis(500),
            timeout: Duration::from_secs(1),
            max_answer_bytes: 1_048_576,
            idle_per_peer: 4,
            idle_timeout: Duration::from_secs(5),
            read_buffer_bytes: 8_192,
        }
    }
}

/// Calls other entries. Cheap to clone; clones share their connections.
#[derive(Clone, Debug)]
pub struct Client {
    http: legacy::Client<HttpConnector, Full<Bytes>>,
    token: Token,
    settings: Settings,
}

/// Why a call to a peer failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection was opened, so no byte of the call was sent.
    #[error("cannot connect to peer {0}: {1}")]
    Connect(SocketAddr, #[source] legacy::Error),
    /// The connection broke after the call may have been sent.
    #[error("the call to peer {0} broke off: {1}")]
    Broken(SocketAddr, #[source] legacy::Error),
    /// The answer's body broke off.
    #[error("the answer of peer {0} broke off")]
    Truncated(SocketAddr),
    /// The peer did not answer in time.
    #[error("peer {0} did not answer within {1:?}")]
    Timeout(SocketAddr, Duration),
    /// The peer refused the call.
    #[error("peer {0} refused the call with status {1}")]
    Refused(SocketAddr, StatusCode),
    /// The answer is larger than the limit.
    #[error("the answer of peer {0} is larger than {1} bytes")]
    Oversized(SocketAddr, usize),
    /// A message could not be read or written.
    #[error("the message exchanged with peer {0} is invalid: {1}")]
    Wire(SocketAddr, #[source] wire::Error),
    /// The call could not be put into a request.
    #[error("the call to peer {0} cannot be written: {1}")]
    Request(SocketAddr, #[source] http::Error),
}

impl Error {
    /// Whether it is certain that the peer has not seen the call.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Error::Connect(..) | Error::Request(..))
    }

    /// Whether it is certain that the peer has not carried out the call.
    pub fn is_not_run(&self) -> bool {
        self.is_unsent() || matches!(self, Error::Refused(..))
    }
}

impl Client {
    /// A client that shows `token` to its peers.
    pub fn new(token: Token, settings: Settings) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(settings.connect_timeout));
        let http = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(settings.idle_timeout)
            .pool_max_idle_per_host(settings.idle_per_peer)
            .http1_read_buf_exact_size(settings.read_buffer_bytes)
            .retry_canceled_requests(false)
            .build(connector);
        Client { http, token, settings }
    }

    /// Asks a peer in the regular exchange.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if no whole answer came in time.
    pub async fn exchange(&self, peer: SocketAddr, ask: &Ask) -> Result<Answer, Error> {
        self.call(peer, "/peer/exchange", ask).await
    }

    /// Asks a peer to carry out a claim. The messages belong to the caller.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if no whole answer came in time.
    pub async fn claim<T: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        claim: &impl Serialize,
    ) -> Result<T, Error> {
        self.call(peer, "/peer/claim", claim).await
    }

    /// Passes a request on and returns the peer's answer, whose body is still to be read.
    ///
    /// The answer's status is the peer's own; the time limit covers the headers only.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if no headers came in time. See [`Error::is_unsent`].
    pub async fn forward(
        &self,
        peer: SocketAddr,
        request: forward::Request,
    ) -> Result<Response<Incoming>, Error> {
        let mut http = self.request(peer, "/peer/forward", request.body)?;
        let headers = http.headers_mut();
        headers
            .insert(HeaderName::from_static(forward::HOPS_HEADER), u16::from(request.hops).into());
        if let Some(trace) = request.trace {
            headers.insert(HeaderName::from_static(forward::TRACE_HEADER), trace);
        }
        self.timed(peer, self.send(peer, http)).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        path: &'static str,
        message: &impl Serialize,
    ) -> Result<T, Error> {
        let frame = Frame::encode(message).map_err(|error| Error::Wire(peer, error))?;
        let request = self.request(peer, path, frame.into_bytes())?;
        let body = self.timed(peer, self.read(peer, request)).await?;
        Frame::decode(&body).map_err(|error| Error::Wire(peer, error))
    }

    async fn read(&self, peer: SocketAddr, request: Request<Full<Bytes>>) -> Result<Bytes, Error> {
        let response = self.send(peer, request).await?;
        if response.status() != StatusCode::OK {
            return Err(Error::Refused(peer, response.status()));
        }
        let limit = self.settings.max_answer_bytes;
        match Limited::new(response.into_body(), limit).collect().await {
            Ok(body) => Ok(body.to_bytes()),
            Err(error) if error.is::<LengthLimitError>() => Err(Error::Oversized(peer, limit)),
            Err(_broken) => Err(Error::Truncated(peer)),
        }
    }

    async fn send(
        &self,
        peer: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Error> {
        self.http.request(request).await.map_err(|error| {
            if error.is_connect() {
                Error::Connect(peer, error)
            } else {
                Error::Broken(peer, error)
            }
        })
    }

    async fn timed<T>(
        &self,
        peer: SocketAddr,
        call: impl Future<Output = Result<T, Error>>,
    ) -> Result<T, Error> {
        let limit = self.settings.timeout;
        match tokio::time::timeout(limit, call).await {
            Ok(outcome) => outcome,
            Err(_elapsed) => Err(Error::Timeout(peer, limit)),
        }
    }

    fn request(
        &self,
        peer: SocketAddr,
        path: &'static str,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, Error> {
        let uri = Uri::builder()
            .scheme("http")
            .authority(peer.to_string())
            .path_and_query(path)
            .build()
            .map_err(|error| Error::Request(peer, error))?;
        Request::builder()
            .method(Method::POST)
            .uri(uri)
            .header(AUTHORIZATION, self.token.header())
            .body(Full::new(body))
            .map_err(|error| Error::Request(peer, error))
    }
}
