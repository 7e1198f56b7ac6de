//! One HTTP exchange with a bounded answer, and what its failure says of the request.

use std::error::Error as _;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client, Error};
use hyper_util::rt::TokioExecutor;

use crate::error::Cause;

/// Largest head of an answer, in bytes, and the most that a connection reads at once.
const MAX_HEAD_BYTES: usize = 16_384;

/// A pooled HTTP client that never sends a request twice.
pub type Connection = Client<HttpConnector, Full<Bytes>>;

/// An answer that was read to its end.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status code.
    pub status: StatusCode,
    /// The body.
    pub body: Bytes,
}

/// Why there is no answer, and whether the request may have reached the server.
#[derive(Debug)]
pub enum Failure {
    /// No byte of the request left.
    Unsent(Cause),
    /// The request may have been received.
    Sent(Cause),
}

/// Bounds of one exchange.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Longest time for the whole exchange.
    pub timeout: Duration,
    /// Largest body of an answer, in bytes.
    pub answer_bytes: usize,
}

/// Makes a client that gives up on a connection after `timeout`.
pub fn connect(timeout: Duration) -> Connection {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(timeout));
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .http1_max_buf_size(MAX_HEAD_BYTES)
        .retry_canceled_requests(false)
        .build(connector)
}

/// Sends `request` once and reads the whole answer.
///
/// # Errors
///
/// [`Failure`] tells whether the server may have received the request.
pub async fn send(
    connection: &Connection,
    request: Request<Full<Bytes>>,
    bounds: &Bounds,
) -> Result<Answer, Failure> {
    let exchange = async {
        let response = connection.request(request).await.map_err(classify)?;
        let status = response.status();
        let body = Limited::new(response.into_body(), bounds.answer_bytes);
        let body = body.collect().await;
        let body = body.map_err(|e| Failure::Sent(Cause::Answer(e.to_string())))?;
        Ok(Answer { status, body: body.to_bytes() })
    };
    let late = |_| {
        let millis = u64::try_from(bounds.timeout.as_millis()).unwrap_or(u64::MAX);
        Failure::Sent(Cause::Timeout(millis))
    };
    tokio::time::timeout(bounds.timeout, exchange).await.map_err(late)?
}

fn classify(error: Error) -> Failure {
    if error.is_connect() {
        return Failure::Unsent(Cause::Connect(chain(&error)));
    }
    // A canceled request was still in the queue of its connection when that closed.
    let source = error.source().and_then(|it| it.downcast_ref::<hyper::Error>());
    let cause = Cause::Broken(chain(&error));
    if source.is_some_and(hyper::Error::is_canceled) {
        return Failure::Unsent(cause);
    }
    Failure::Sent(cause)
}

fn chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(inner) = source {
        text = format!("{text}: {inner}");
        source = inner.source();
    }
    text
}
