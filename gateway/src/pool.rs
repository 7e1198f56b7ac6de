//! Connections to targets and to the store: opened, kept while idle, one request at a time.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, header};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use crate::error::Call;

/// How connections are kept.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Longest time to open a connection.
    pub connect: Duration,
    /// Longest time for which a connection is kept idle. A shorter time that the other end
    /// tells goes first.
    pub idle: Duration,
    /// Most idle connections to one address.
    pub kept: usize,
    /// Pause between signs of life of a connection that is waited on, if any are asked for.
    pub keepalive: Option<Duration>,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            connect: Duration::from_millis(300),
            idle: Duration::from_secs(4),
            kept: 16,
            keepalive: None,
        }
    }
}

/// Margin by which a connection is given up before the other end closes it.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// Which connection a request may go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Channel {
    /// One that was kept, if there is one.
    Kept,
    /// A new one. The other end can't close it a moment before the request, as it may with one
    /// that was idle, and so leave the request's end unknown.
    New,
}

type Sender = SendRequest<Full<Bytes>>;

/// Idle connections by address.
#[derive(Clone, Debug)]
pub struct Pool {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    settings: Settings,
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

#[derive(Debug)]
struct Idle {
    sender: Sender,
    until: Instant,
}

/// The body of an answer. Its connection is kept once the body has been read to its end.
#[derive(Debug)]
pub struct Reply {
    body: Incoming,
    lease: Option<Lease>,
    /// Whether the body's end is marked by a length or a last chunk.
    framed: bool,
}

#[derive(Debug)]
struct Lease {
    shared: Arc<Shared>,
    sender: Sender,
    address: SocketAddr,
    keep: Duration,
}

impl Pool {
    /// A pool without connections.
    pub fn new(settings: Settings) -> Pool {
        Pool { shared: Arc::new(Shared { settings, idle: Mutex::default() }) }
    }

    /// Sends `request` and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// [`Call::Connect`] and [`Call::Unsent`] mean that nothing was sent.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        channel: Channel,
    ) -> Result<Response<Reply>, Call> {
        let mut request = request;
        while let Some(sender) = self.shared.take(address).filter(|_| channel == Channel::Kept) {
            match self.exchange(address, sender, request).await {
                Err((Call::Unsent, Some(unsent))) => request = unsent,
                Err((error, _)) => return Err(error),
                Ok(response) => return Ok(response),
            }
        }
        let sender = self.connect(address).await?;
        self.exchange(address, sender, request).await.map_err(|(error, _)| error)
    }

    /// Sends `request` and reads the whole answer, of at most `limit` bytes, within `time`.
    ///
    /// # Errors
    ///
    /// As for [`Pool::send`], and if the answer is late or too large.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        time: Duration,
        limit: usize,
    ) -> Result<Response<Bytes>, Call> {
        let exchange = async {
            let response = self.send(address, request, Channel::Kept).await?;
            let (head, body) = response.into_parts();
            let body = Limited::new(body, limit).collect().await;
            match body {
                Ok(body) => Ok(Response::from_parts(head, body.to_bytes())),
                Err(error) => Err(match error.downcast::<hyper::Error>() {
                    Ok(error) => Call::Broken(*error),
                    Err(_) => Call::Large,
                }),
            }
        };
        let answer = timeout(time, exchange).await;
        if answer.is_err() {
            // The other connections to a silent address may be silent for good.
            self.forget(address);
        }
        answer.unwrap_or(Err(Call::Timeout))
    }

    /// As [`Pool::call`], on a connection of its own, which is closed afterwards.
    ///
    /// # Errors
    ///
    /// As for [`Pool::call`].
    pub async fn ask(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        time: Duration,
        limit: usize,
    ) -> Result<Response<Bytes>, Call> {
        let settings = Settings { kept: 0, ..self.shared.settings };
        Pool::new(settings).call(address, request, time, limit).await
    }

    /// Closes the idle connections to `address`.
    pub fn forget(&self, address: SocketAddr) {
        self.shared.idle().remove(&address);
    }

    /// Closes the idle connections to all addresses but those that `keep` names.
    pub fn retain(&self, keep: impl Fn(SocketAddr) -> bool) {
        let now = Instant::now();
        let mut idle = self.shared.idle();
        idle.retain(|address, idle| {
            idle.retain(|it| it.until > now && !it.sender.is_closed());
            !idle.is_empty() && keep(*address)
        });
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        mut sender: Sender,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Reply>, (Call, Option<Request<Full<Bytes>>>)> {
        let response = match sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut error) => {
                let unsent = error.take_message();
                let error = match unsent {
                    Some(_) => Call::Unsent,
                    None => Call::Broken(error.into_error()),
                };
                return Err((error, unsent));
            }
        };
        let keep = keep(&response, self.shared.settings.idle);
        let headers = response.headers();
        let framed = headers.contains_key(header::CONTENT_LENGTH)
            || headers.contains_key(header::TRANSFER_ENCODING);
        let shared = self.shared.clone();
        let lease = Lease { shared, sender, address, keep };
        Ok(response.map(|body| Reply { body, lease: Some(lease), framed }))
    }

    async fn connect(&self, address: SocketAddr) -> Result<Sender, Call> {
        let settings = &self.shared.settings;
        let stream = timeout(settings.connect, TcpStream::connect(address)).await;
        let stream = stream.map_err(|_| Call::Connect(io::ErrorKind::TimedOut.into()))?;
        let stream = stream.map_err(Call::Connect)?;
        stream.set_nodelay(true).map_err(Call::Connect)?;
        if let Some(pause) = settings.keepalive {
            let keepalive = TcpKeepalive::new().with_time(pause).with_interval(pause);
            let socket = SockRef::from(&stream);
            let set = socket.set_tcp_keepalive(&keepalive.with_retries(2));
            set.and_then(|()| socket.set_tcp_user_timeout(Some(pause * 2)))
                .map_err(Call::Connect)?;
        }
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(Call::Broken)?;
        tokio::spawn(async move {
            // How a connection ends concerns the request on it, which is told, and nobody else.
            let _ended = connection.await;
        });
        Ok(sender)
    }
}

impl Shared {
    fn idle(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take(&self, address: SocketAddr) -> Option<Sender> {
        let now = Instant::now();
        let mut idle = self.idle();
        let kept = idle.get_mut(&address)?;
        while let Some(it) = kept.pop() {
            if it.until > now && it.sender.is_ready() {
                return Some(it.sender);
            }
        }
        None
    }

    fn put(&self, address: SocketAddr, sender: Sender, keep: Duration) {
        let mut idle = self.idle();
        let kept = idle.entry(address).or_default();
        if kept.len() < self.settings.kept {
            kept.push(Idle { sender, until: Instant::now() + keep });
        }
    }
}

impl Reply {
    /// Whether a body that ended can be told from one that broke off.
    pub fn is_framed(&self) -> bool {
        self.framed
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
        let ended = match &frame {
            Poll::Ready(None) => true,
            Poll::Ready(Some(Ok(_))) => self.body.is_end_stream(),
            _ => false,
        };
        if ended && let Some(lease) = self.lease.take() {
            lease.give_back();
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

impl Lease {
    /// Keeps the connection, once it has read and written all of the exchange.
    fn give_back(self) {
        if self.keep.is_zero() {
            return;
        }
        let Lease { shared, mut sender, address, keep } = self;
        if sender.is_ready() {
            shared.put(address, sender, keep);
            return;
        }
        tokio::spawn(async move {
            if sender.ready().await.is_ok() {
                shared.put(address, sender, keep);
            }
        });
    }
}

/// How long the connection of an answer may be kept.
fn keep(response: &Response<Incoming>, idle: Duration) -> Duration {
    let headers = response.headers();
    let tokens = |name| {
        let values = headers.get_all(name).into_iter().filter_map(|it| it.to_str().ok());
        values.flat_map(|it| it.split(',')).map(|it| it.trim().to_ascii_lowercase())
    };
    if tokens(header::CONNECTION).any(|it| it == "close") {
        return Duration::ZERO;
    }
    let told = tokens(header::HeaderName::from_static("keep-alive"))
        .find_map(|it| it.strip_prefix("timeout=").and_then(|it| it.parse().ok()));
    match told {
        Some(seconds) => idle.min(Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN)),
        None => idle,
    }
}
