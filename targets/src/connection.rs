//! The pool of connections to targets, and the last check before bytes leave.

use std::error::Error as _;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use decision::response;
use http::{Request, Response, header};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use crate::{Error, Settings};

/// The least that the HTTP library reads at once, in bytes.
const MIN_HEAD_BYTES: usize = 8_192;

/// Says whether a request may still be sent, asked when its bytes are about to leave.
pub trait Gate: Send + Unpin + 'static {
    /// Whether the request may be sent now.
    fn is_open(&self) -> bool;
}

/// The gate that is always open.
#[derive(Clone, Copy, Debug, Default)]
pub struct Open;

/// A pool of connections that never sends a request twice.
pub(crate) struct Pool<G: Gate> {
    client: Client<HttpConnector, Guarded<G>>,
}

/// A request body that asks the gate before its first and only piece.
///
/// Without the piece the request is incomplete, and no target runs it.
pub(crate) struct Guarded<G> {
    data: Option<Bytes>,
    gate: G,
    withheld: Arc<AtomicBool>,
}

/// The gate was closed.
#[derive(Debug, thiserror::Error)]
#[error("the permission to send the request had ended")]
pub(crate) struct Closed;

impl Gate for Open {
    fn is_open(&self) -> bool {
        true
    }
}

impl<F: Fn() -> bool + Send + Unpin + 'static> Gate for F {
    fn is_open(&self) -> bool {
        self()
    }
}

impl<G: Gate> Pool<G> {
    pub(crate) fn new(settings: &Settings) -> Pool<G> {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(settings.connect_timeout));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .http1_max_buf_size(settings.head_bytes.max(MIN_HEAD_BYTES))
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(settings.idle_timeout)
            .pool_max_idle_per_host(settings.idle_connections)
            .build(connector);
        Pool { client }
    }

    /// Sends `request` once, if `gate` is open now and when its body is about to leave.
    ///
    /// A request without a body is checked only now, before the connection is opened.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        gate: G,
    ) -> Result<Response<Incoming>, Error> {
        if !gate.is_open() {
            return Err(Error::Withheld { address });
        }
        let withheld = Arc::new(AtomicBool::new(false));
        let guard = Arc::clone(&withheld);
        let request = request.map(|data| Guarded { data: Some(data), gate, withheld: guard });
        let source = match self.client.request(request).await {
            Ok(response) => {
                let codings = response.headers().get_all(header::TRANSFER_ENCODING);
                let checked = response::check(response.status().as_u16(), codings);
                checked.map_err(|source| Error::Malformed { address, source })?;
                return Ok(response);
            }
            Err(source) => source,
        };
        if withheld.load(Ordering::Acquire) {
            return Err(Error::Withheld { address });
        }
        if is_unsent(&source) {
            return Err(Error::Unsent { address, source });
        }
        Err(Error::Lost { address, source })
    }
}

/// Whether the error proves that no byte of the request left.
///
/// The HTTP library reports "canceled" only for a request that it never began to write.
fn is_unsent(error: &hyper_util::client::legacy::Error) -> bool {
    if error.is_connect() {
        return true;
    }
    let source = error.source().and_then(|it| it.downcast_ref::<hyper::Error>());
    source.is_some_and(hyper::Error::is_canceled)
}

impl<G: Gate> Body for Guarded<G> {
    type Data = Bytes;
    type Error = Closed;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Closed>>> {
        let Some(data) = self.data.take() else {
            return Poll::Ready(None);
        };
        if !self.gate.is_open() {
            self.withheld.store(true, Ordering::Release);
            return Poll::Ready(Some(Err(Closed)));
        }
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.data.as_ref().is_none_or(Bytes::is_empty)
    }

    fn size_hint(&self) -> SizeHint {
        let length = self.data.as_ref().map_or(0, Bytes::len);
        SizeHint::with_exact(u64::try_from(length).unwrap_or(u64::MAX))
    }
}

/// Makes an I/O error of a body's error, for the line reader.
pub(crate) fn io_error(error: hyper::Error) -> std::io::Error {
    std::io::Error::other(error)
}
