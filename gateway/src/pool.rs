//! Pool of HTTP/1.1 connections to targets and to the store, each with one request at a time.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use decision::response;
use http::{Request, Response, header};
use http_body_util::{BodyExt as _, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use crate::error::Call;
use crate::request::millis;
use crate::socket::{Progress, Socket};

/// Settings of a pool.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Longest time to open a connection.
    pub connect_timeout: Duration,
    /// Longest time for which an idle connection is kept. The server may ask for a shorter time in
    /// its `keep-alive` header.
    pub idle_timeout: Duration,
    /// Largest number of idle connections to one address.
    pub max_idle: usize,
    /// Interval between TCP keepalive probes. A connection whose sent data isn't acknowledged
    /// within two intervals is closed. `None` sends no probes.
    pub keepalive_interval: Option<Duration>,
    /// Time after which a connection fails whose sent data is not acknowledged. `None` leaves it to the
    /// system, or to the keepalive probes.
    pub unacknowledged_timeout: Option<Duration>,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            connect_timeout: Duration::from_millis(300),
            idle_timeout: Duration::from_secs(4),
            max_idle: 16,
            keepalive_interval: None,
            unacknowledged_timeout: None,
        }
    }
}

/// Largest head of a response, in bytes. A connection reads at most this much at once.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Time before the server's announced idle timeout at which a connection is no longer reused.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// Connection on which a request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connection {
    /// An idle connection of the pool, or a new one if there is none.
    Reused,
    /// A new connection. The server may close an idle connection just when the request is sent on
    /// it, and then it is unknown whether the request was processed.
    New,
}

/// Sending half of a connection.
#[derive(Debug)]
struct Sender {
    requests: SendRequest<Full<Bytes>>,
    progress: Progress,
}

/// Pool of connections. Clones share their idle connections.
#[derive(Clone, Debug)]
pub struct Pool {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    settings: Settings,
    /// The setting in force, in milliseconds; 0 for none.
    unacknowledged_ms: AtomicU64,
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

#[derive(Debug)]
struct IdleConnection {
    sender: Sender,
    expires_at: Instant,
}

/// Body of a response. Its connection returns to the pool once the body is read to its end.
#[derive(Debug)]
pub struct Reply {
    body: Incoming,
    checkout: Option<Checkout>,
    /// Whether the body has a length, is chunked or can't exist, so that a complete body can be told
    /// from a truncated one.
    is_framed: bool,
}

#[derive(Debug)]
struct Checkout {
    shared: Arc<Shared>,
    sender: Sender,
    address: SocketAddr,
    idle_timeout: Duration,
}

impl Pool {
    /// Returns a pool without connections.
    pub fn new(settings: Settings) -> Pool {
        let limit = settings.unacknowledged_timeout.map_or(0, millis);
        let unacknowledged_ms = AtomicU64::new(limit);
        Pool { shared: Arc::new(Shared { settings, unacknowledged_ms, idle: Mutex::default() }) }
    }

    /// Changes [`Settings::unacknowledged_timeout`] for connections that are opened from now on.
    pub fn set_unacknowledged_timeout(&self, limit: Duration) {
        self.shared.unacknowledged_ms.store(millis(limit), Ordering::Relaxed);
    }

    /// Sends `request` and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Returns [`Call::Connect`] or [`Call::Unsent`] if nothing of the request was sent, and
    /// another error if the server may have processed it.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        connection: Connection,
    ) -> Result<Response<Reply>, Call> {
        let mut request = request;
        let may_reuse = connection == Connection::Reused;
        while let Some(sender) = may_reuse.then(|| self.shared.check_out(address)).flatten() {
            match self.exchange(address, sender, request).await {
                Err((Call::Unsent, Some(unsent))) => request = unsent,
                Err((error, _)) => return Err(error),
                Ok(response) => return Ok(response),
            }
        }
        let sender = self.connect(address).await?;
        self.exchange(address, sender, request).await.map_err(|(error, _)| error)
    }

    /// Sends `request` on a reused connection and reads the whole response, with a body of at most
    /// `max_bytes`, within `time_limit`.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Pool::send`], after `time_limit` [`Call::Timeout`] or, if the
    /// response has begun, [`Call::Slow`], and [`Call::Large`] for a larger body.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        time_limit: Duration,
        max_bytes: usize,
    ) -> Result<Response<Bytes>, Call> {
        let has_begun = AtomicBool::new(false);
        let exchange = async {
            let response = self.send(address, request, Connection::Reused).await?;
            has_begun.store(true, Ordering::Relaxed);
            let (head, body) = response.into_parts();
            Ok(Response::from_parts(head, read(body, max_bytes).await?))
        };
        let result = timeout(time_limit, exchange).await;
        if result.is_err() {
            // The other connections to an address that doesn't respond may be dead as well.
            self.close_idle(address);
        }
        result.unwrap_or_else(|_| match has_begun.into_inner() {
            true => Err(Call::Slow),
            false => Err(Call::Timeout),
        })
    }

    /// Does the same as [`Pool::call`] on a new connection, which is closed afterwards.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Pool::call`].
    pub async fn call_once(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        time_limit: Duration,
        max_bytes: usize,
    ) -> Result<Response<Bytes>, Call> {
        let limit = self.shared.unacknowledged_ms.load(Ordering::Relaxed);
        let unacknowledged_timeout = (limit > 0).then(|| Duration::from_millis(limit));
        let settings = Settings { max_idle: 0, unacknowledged_timeout, ..self.shared.settings };
        Pool::new(settings).call(address, request, time_limit, max_bytes).await
    }

    /// Closes the idle connections to `address`.
    pub fn close_idle(&self, address: SocketAddr) {
        self.shared.idle().remove(&address);
    }

    /// Closes the idle connections to all addresses for which `is_kept` returns false, and those
    /// that have expired.
    pub fn retain(&self, is_kept: impl Fn(SocketAddr) -> bool) {
        let now = Instant::now();
        let mut idle = self.shared.idle();
        idle.retain(|address, connections| {
            connections.retain(|it| it.expires_at > now && !it.sender.requests.is_closed());
            !connections.is_empty() && is_kept(*address)
        });
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        mut sender: Sender,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Reply>, (Call, Option<Request<Full<Bytes>>>)> {
        sender.progress.open();
        let response = match sender.requests.try_send_request(request).await {
            Ok(response) => response,
            Err(mut error) => {
                let unsent = error.take_message();
                let error = error.into_error();
                let error = match unsent {
                    Some(_) => Call::Unsent,
                    None if error.is_parse_too_large() => Call::Large,
                    None => Call::Broken(error),
                };
                return Err((error, unsent));
            }
        };
        let codings = response.headers().get_all(header::TRANSFER_ENCODING);
        response::check(response.status().as_u16(), codings).map_err(|it| (it.into(), None))?;
        let idle_timeout = idle_timeout(&response, self.shared.settings.idle_timeout);
        let is_framed = is_framed(&response);
        let shared = self.shared.clone();
        let checkout = Checkout { shared, sender, address, idle_timeout };
        Ok(response.map(|body| Reply { body, checkout: Some(checkout), is_framed }))
    }

    async fn connect(&self, address: SocketAddr) -> Result<Sender, Call> {
        let settings = &self.shared.settings;
        let stream = timeout(settings.connect_timeout, TcpStream::connect(address)).await;
        let stream = stream.map_err(|_| Call::Connect(io::ErrorKind::TimedOut.into()))?;
        let stream = stream.map_err(Call::Connect)?;
        stream.set_nodelay(true).map_err(Call::Connect)?;
        if let Some(interval) = settings.keepalive_interval {
            let keepalive = TcpKeepalive::new().with_time(interval).with_interval(interval);
            let socket = SockRef::from(&stream);
            let result = socket.set_tcp_keepalive(&keepalive.with_retries(2));
            result
                .and_then(|()| socket.set_tcp_user_timeout(Some(interval * 2)))
                .map_err(Call::Connect)?;
        }
        let limit = self.shared.unacknowledged_ms.load(Ordering::Relaxed);
        if limit > 0 {
            let limit = Some(Duration::from_millis(limit));
            SockRef::from(&stream).set_tcp_user_timeout(limit).map_err(Call::Connect)?;
        }
        let progress = Progress::default();
        let socket = Socket::new(stream, progress.clone());
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(socket))
            .await;
        let (requests, connection) = handshake.map_err(Call::Broken)?;
        tokio::spawn(async move {
            // The request on the connection gets the error, and nothing else depends on it.
            let _result = connection.await;
        });
        Ok(Sender { requests, progress })
    }
}

/// Reads a body of at most `max_bytes` to its end. Each piece is copied: a small one would keep all
/// that was read with it in memory.
async fn read(mut body: Reply, max_bytes: usize) -> Result<Bytes, Call> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(piece) = frame.map_err(Call::Broken)?.into_data() else { continue };
        if bytes.len() + piece.len() > max_bytes {
            return Err(Call::Large);
        }
        bytes.extend_from_slice(&piece);
    }
    Ok(bytes.freeze())
}

impl Shared {
    fn idle(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn check_out(&self, address: SocketAddr) -> Option<Sender> {
        let now = Instant::now();
        let mut idle = self.idle();
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            if connection.expires_at > now && connection.sender.requests.is_ready() {
                return Some(connection.sender);
            }
        }
        None
    }

    fn check_in(&self, address: SocketAddr, sender: Sender, idle_timeout: Duration) {
        let mut idle = self.idle();
        let connections = idle.entry(address).or_default();
        if connections.len() < self.settings.max_idle {
            connections.push(IdleConnection { sender, expires_at: Instant::now() + idle_timeout });
        }
    }
}

impl Reply {
    /// Returns whether a complete body can be told from a truncated one.
    pub fn is_framed(&self) -> bool {
        self.is_framed
    }
}

impl Body for Reply {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = Pin::new(&mut self.body).poll_frame(context);
        let is_ended = match &frame {
            Poll::Ready(None) => true,
            Poll::Ready(Some(Ok(_))) => self.body.is_end_stream(),
            _ => false,
        };
        if is_ended && let Some(checkout) = self.checkout.take() {
            checkout.check_in();
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Checkout {
    /// Returns the connection to the pool once the exchange on it is complete.
    fn check_in(self) {
        self.sender.progress.complete();
        if self.idle_timeout.is_zero() {
            return;
        }
        let Checkout { shared, mut sender, address, idle_timeout } = self;
        if sender.requests.is_ready() {
            shared.check_in(address, sender, idle_timeout);
            return;
        }
        tokio::spawn(async move {
            if sender.requests.ready().await.is_ok() {
                shared.check_in(address, sender, idle_timeout);
            }
        });
    }
}

/// Returns whether a complete body of `response` can be told from a truncated one. Its only transfer
/// coding is chunks.
fn is_framed(response: &Response<Incoming>) -> bool {
    let body = response.body();
    let is_chunked = response.headers().contains_key(header::TRANSFER_ENCODING);
    body.is_end_stream() || body.size_hint().exact().is_some() || is_chunked
}

/// Returns how long the connection of `response` may stay idle in the pool: at most `limit`, and
/// zero if the server closes it.
fn idle_timeout(response: &Response<Incoming>, limit: Duration) -> Duration {
    let headers = response.headers();
    let tokens = |name| {
        let values = headers.get_all(name).into_iter().filter_map(|it| it.to_str().ok());
        values.flat_map(|it| it.split(',')).map(|it| it.trim().to_ascii_lowercase())
    };
    if tokens(header::CONNECTION).any(|it| it == "close") {
        return Duration::ZERO;
    }
    let announced = tokens(header::HeaderName::from_static("keep-alive"))
        .find_map(|it| it.strip_prefix("timeout=").and_then(|it| it.parse().ok()));
    match announced {
        Some(seconds) => limit.min(Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN)),
        None => limit,
    }
}
