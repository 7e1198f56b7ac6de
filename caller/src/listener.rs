//! Accepts connections, reads requests within limits and writes answers.

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::answer::Source;
use crate::body::Body;
use crate::refusal::Kind;
use crate::request::{Call, Generate, Meta, Route};
use crate::{Answer, Handler, Refusal, Settings};

/// The header that tells a recorded answer from a fresh one.
const REPLAYED: &str = "idempotency-replayed";

/// Serves callers until `stop` is ready, then ends what is in progress.
///
/// After `stop` no connection is accepted and no further request of an open connection is read;
/// streams run to their end, however long that takes. The caller of this function bounds it.
pub async fn serve<H: Handler>(
    socket: TcpListener,
    handler: Arc<H>,
    settings: Settings,
    stop: impl Future<Output = ()>,
) {
    let settings = Arc::new(settings);
    let http1 = settings.limits().http1();
    let open = |stream| {
        let (handler, settings) = (Arc::clone(&handler), Arc::clone(&settings));
        let service = service_fn(move |request| {
            let (handler, settings) = (Arc::clone(&handler), Arc::clone(&settings));
            async move { Ok::<_, Infallible>(respond(&*handler, &settings, request).await) }
        });
        http1.serve_connection(TokioIo::new(stream), service)
    };
    listener::serve(socket, settings.limits(), stop, open).await.shutdown().await;
}

async fn respond<H: Handler>(
    handler: &H,
    settings: &Settings,
    request: Request<Incoming>,
) -> Response<Body<H::Events>> {
    let answered = match request.uri().path() {
        "/healthz" => Ok(whole("ok\n")),
        "/readyz" => handler.ready().map(|()| whole("ready\n")),
        _ => route(handler, settings, request).await,
    };
    answered.unwrap_or_else(|refusal| refusal.response())
}

async fn route<H: Handler>(
    handler: &H,
    settings: &Settings,
    request: Request<Incoming>,
) -> Result<Response<Body<H::Events>>, Refusal> {
    let target = request.uri().path_and_query().map_or("/", |it| it.as_str());
    let route = Route::parse(target)?;
    let meta = Meta::parse(route.service().clone(), request.headers(), settings.deadline_ms)?;
    let (head, body) = request.into_parts();
    if matches!(route, Route::Generate { .. }) && head.method != Method::POST {
        let message = format!("{} is not allowed here, only POST", head.method);
        return Err(Refusal::not_run(Kind::Method, message));
    }
    let body = read(body, settings).await?;
    match route {
        Route::Generate { .. } => {
            let events = handler.generate(Generate::parse(meta, body)?).await?;
            Ok(stream(events))
        }
        Route::Call { path, .. } => {
            let call = Call::new(meta, head.method, path, &head.headers, body);
            Ok(answer(handler.call(call).await?))
        }
    }
}

/// Reads a body within the limits of length and time.
async fn read(body: Incoming, settings: &Settings) -> Result<Bytes, Refusal> {
    let limit = settings.body_bytes;
    let collected = Limited::new(body, limit).collect();
    let Ok(collected) = tokio::time::timeout(settings.body_timeout(), collected).await else {
        let message = format!("the body did not come within {} ms", settings.body_ms);
        return Err(Refusal::not_run(Kind::BodyTimeout, message));
    };
    match collected {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            let message = format!("the body is larger than {limit} bytes");
            Err(Refusal::not_run(Kind::TooLarge, message))
        }
        Err(error) => {
            let message = format!("the body could not be read: {error}");
            Err(Refusal::not_run(Kind::Malformed, message))
        }
    }
}

fn stream<S>(events: S) -> Response<Body<S>> {
    let mut response = Response::new(Body::Events(Box::pin(events)));
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    response
}

fn answer<S>(answer: Answer) -> Response<Body<S>> {
    let mut response = whole(answer.body);
    *response.status_mut() = answer.status;
    let content_type = answer.content_type.and_then(|it| HeaderValue::try_from(it).ok());
    if let Some(value) = content_type {
        response.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    if answer.source == Source::Record {
        response.headers_mut().insert(REPLAYED, HeaderValue::from_static("true"));
    }
    response
}

fn whole<S>(text: impl Into<Bytes>) -> Response<Body<S>> {
    Response::new(Body::Whole(Some(text.into())))
}
