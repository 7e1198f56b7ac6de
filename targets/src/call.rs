//! Calls of plain services.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Method, StatusCode, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};

use crate::connection::{Gate, Open, Pool};
use crate::error::Reason;
use crate::{Error, Settings};

/// The header by which a plain service says that it ran nothing.
pub const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");

/// The headers that are passed to a plain service.
pub const PASSED: [HeaderName; 3] = [
    header::CONTENT_TYPE,
    HeaderName::from_static("idempotency-key"),
    HeaderName::from_static("traceparent"),
];

/// A call of a plain service.
#[derive(Clone, Debug)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The path and query below the service, starting with `/`.
    pub path: String,
    /// The headers; only those in [`PASSED`] reach the target.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// The answer of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The body's type, if given.
    pub content_type: Option<String>,
    /// The whole body.
    pub body: Bytes,
}

/// Calls plain services.
pub struct Client<G: Gate = Open> {
    pool: Pool<G>,
    body_bytes: usize,
}

impl<G: Gate> Client<G> {
    /// A client with an empty pool of connections.
    pub fn new(settings: &Settings) -> Client<G> {
        Client { pool: Pool::new(settings), body_bytes: settings.body_bytes }
    }

    /// Sends `call` to the target at `address`, at most once, and reads the whole answer.
    ///
    /// # Errors
    ///
    /// [`Error::progress`] says how far the call came.
    pub async fn call(&self, address: SocketAddr, call: Call, gate: G) -> Result<Answer, Error> {
        let mut request = http::Request::builder()
            .method(call.method)
            .uri(format!("http://{address}{}", call.path))
            .body(call.body)
            .map_err(|source| Error::Request { address, source })?;
        for name in PASSED {
            if let Some(value) = call.headers.get(&name) {
                request.headers_mut().insert(name, value.clone());
            }
        }
        let response = self.pool.send(address, request, gate).await?;
        let status = response.status();
        let declined = response.headers().get(NOT_RUN).is_some_and(|it| it == "true");
        if status == StatusCode::SERVICE_UNAVAILABLE && declined {
            return Err(Error::Declined { address, reason: Reason::Other });
        }
        let content_type = response.headers().get(header::CONTENT_TYPE);
        let content_type = content_type.and_then(|it| it.to_str().ok()).map(str::to_owned);
        let body = Limited::new(response.into_body(), self.body_bytes).collect().await;
        let body = body.map_err(|source| match source.downcast::<LengthLimitError>() {
            Ok(_) => Error::Long { address, limit: self.body_bytes },
            Err(source) => Error::Broken { address, source: std::io::Error::other(source) },
        })?;
        Ok(Answer { status, content_type, body: body.to_bytes() })
    }
}
