//! HTTP plumbing that the stand-ins share.

use std::collections::HashMap;
use std::convert::Infallible;
use std::future::Future;

use bytes::Bytes;
use futures_util::{Stream, TryStreamExt as _};
use http::{Method, Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt as _, Full, Limited, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;

const MAX_BODY_BYTES: usize = 2 << 20;

/// The body of every answer.
pub(crate) type Body = UnsyncBoxBody<Bytes, Cut>;

/// Ends a connection in the middle of an answer.
#[derive(Debug, thiserror::Error)]
#[error("the stand-in cut the connection")]
pub(crate) struct Cut;

/// A request with its body read.
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) path: Vec<String>,
    pub(crate) query: HashMap<String, String>,
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: Bytes,
}

impl Call {
    /// The path's parts, for matching.
    pub(crate) fn parts(&self) -> Vec<&str> {
        self.path.iter().map(String::as_str).collect()
    }

    /// The number in the query under `key`.
    pub(crate) fn number(&self, key: &str) -> Option<u64> {
        self.query.get(key)?.parse().ok()
    }

    /// The body as JSON.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_slice(&self.body).ok()
    }
}

/// Serves `handler` on `listener` for ever. `None` closes the connection without an answer.
pub(crate) async fn serve<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Call) -> F + Clone + Send + 'static,
    F: Future<Output = Option<Response<Body>>> + Send,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let handler = handler.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| answer(handler.clone(), request));
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            // A cut connection is a thing that tests ask for.
            drop(connection.await);
        });
    }
}

async fn answer<H, F>(handler: H, request: Request<Incoming>) -> Result<Response<Body>, Cut>
where
    H: Fn(Call) -> F,
    F: Future<Output = Option<Response<Body>>>,
{
    let (parts, body) = request.into_parts();
    let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
        return Ok(empty(StatusCode::PAYLOAD_TOO_LARGE));
    };
    let path = parts.uri.path().split('/').filter(|part| !part.is_empty()).map(str::to_owned);
    let query = parts.uri.query().unwrap_or_default().split('&');
    let query = query.filter_map(|pair| pair.split_once('='));
    let call = Call {
        method: parts.method,
        path: path.collect(),
        query: query.map(|(key, value)| (key.to_owned(), value.to_owned())).collect(),
        headers: parts.headers,
        body: body.to_bytes(),
    };
    handler(call).await.ok_or(Cut)
}

/// An answer without a body.
pub(crate) fn empty(status: StatusCode) -> Response<Body> {
    full(status, Bytes::new())
}

/// An answer of JSON.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(text) => full(status, text.into()),
        Err(_) => empty(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// An answer with `body`.
pub(crate) fn full(status: StatusCode, body: Bytes) -> Response<Body> {
    let body = Full::new(body).map_err(|never: Infallible| match never {}).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

/// An answer whose body is sent piece by piece. An error cuts the connection.
pub(crate) fn streamed(
    pieces: impl Stream<Item = Result<Bytes, Cut>> + Send + 'static,
) -> Response<Body> {
    Response::new(StreamBody::new(pieces.map_ok(Frame::data)).boxed_unsync())
}

/// Sends one request and returns status and body.
///
/// # Errors
///
/// Describes what the connection or the answer did wrong.
pub(crate) async fn send(
    method: Method,
    uri: String,
    body: Vec<u8>,
) -> Result<(StatusCode, Bytes), String> {
    let client: Client<HttpConnector, Full<Bytes>> =
        Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build_http();
    let request = Request::builder().method(method).uri(uri).body(Full::new(body.into()));
    let request = request.map_err(|error| error.to_string())?;
    let response = client.request(request).await.map_err(|error| error.to_string())?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_BODY_BYTES).collect().await;
    let body = body.map_err(|error| error.to_string())?;
    Ok((status, body.to_bytes()))
}
