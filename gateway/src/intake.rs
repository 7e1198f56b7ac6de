//! The listener for callers: HTTP/1.1, within the limits of the configuration.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use decision::gateway::config::Kind;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::body::{Body as _, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use rand::RngExt as _;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;

use crate::body::Answer;
use crate::journal::Event;
use crate::port::{Head, Platform};
use crate::refusal::Refusal;
use crate::request::{Job, millis, remove_hop_by_hop, target_uri};
use crate::routing;
use crate::state::Shared;
use crate::{call, stream};

/// Longest time for a body that comes in.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause after the system refused to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Bytes for which there must be room before a body is read whose length isn't told.
const LEAST_BODY: usize = 4_096;

/// When a caller may come back whose body there was no room for.
const NO_MEMORY: Duration = Duration::from_millis(500);

/// Pause between two looks whether a stopping entry's connection is idle.
const LOOK: Duration = Duration::from_millis(100);

/// Bytes of a head that are read beyond the limit of the configuration, to answer it.
const HEAD_MARGIN: usize = 8_192;

/// Accepts callers' connections until `stop` says that they are to end.
pub(crate) async fn serve<P: Platform>(
    shared: Arc<Shared<P>>,
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
) {
    let connections = stop.clone();
    loop {
        let accepted = tokio::select! {
            biased;
            _ = stop.wait_for(|it| *it) => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(connection(shared.clone(), stream, connections.clone()));
            }
            // Too many open files, as a rule; callers wait in the backlog meanwhile.
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn connection<P: Platform>(
    shared: Arc<Shared<P>>,
    stream: TcpStream,
    mut stop: watch::Receiver<bool>,
) {
    let _counted = Counted::new(&shared);
    // Only the latency of small answers depends on it.
    let _set = stream.set_nodelay(true);
    let limits = shared.knowledge().table.limits();
    let open = Arc::new(());
    let idle = Arc::strong_count(&open) + 1;
    let service = {
        let shared = shared.clone();
        let open = open.clone();
        service_fn(move |request| {
            let (shared, open) = (shared.clone(), open.clone());
            async move {
                let answer = answer(&shared, request).await;
                Ok::<_, Infallible>(answer.map(|it| it.with_guard(open)))
            }
        })
    };
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.head_bytes + HEAD_MARGIN)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        // How a connection ends is told by the requests on it.
        _ended = connection.as_mut() => return,
        _ = stop.wait_for(|it| *it) => connection.as_mut().graceful_shutdown(),
    }
    // A connection on which nothing was asked yet would stay open until its caller asks.
    while Arc::strong_count(&open) > idle {
        if timeout(LOOK, connection.as_mut()).await.is_ok() {
            return;
        }
    }
    let _ended = timeout(LOOK, connection).await;
}

/// Counts a connection as open until it is dropped.
struct Counted<P>(Arc<Shared<P>>);

impl<P> Counted<P> {
    fn new(shared: &Arc<Shared<P>>) -> Counted<P> {
        shared.open_connections.fetch_add(1, Ordering::Relaxed);
        Counted(shared.clone())
    }
}

impl<P> Drop for Counted<P> {
    fn drop(&mut self) {
        self.0.open_connections.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn answer<P: Platform>(
    shared: &Arc<Shared<P>>,
    request: Request<Incoming>,
) -> Response<Answer> {
    let arrived = shared.now();
    let (mut parts, body) = request.into_parts();
    let limits = shared.knowledge().table.limits();
    let size: usize =
        parts.headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4).sum();
    if size + parts.uri.path().len() > limits.head_bytes {
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        return refuse(shared, &Head::default(), &Refusal::new(status, "head is too large"));
    }
    let head = match shared.platform.head(&parts) {
        Ok(head) => head,
        Err(malformed) => {
            let refusal = Refusal::new(StatusCode::BAD_REQUEST, malformed.what);
            return refuse(shared, &Head::default(), &refusal);
        }
    };
    if !shared.has_seen_request.swap(true, Ordering::Relaxed) {
        shared.fleet_changed.notify_waiters();
    }
    let way = match routing::resolve(shared, &head, parts.uri.path()) {
        Ok(way) => way,
        Err(refusal) => return refuse(shared, &head, &refusal),
    };
    let too_large = body.size_hint().lower() > limits.body_bytes as u64;
    let expected = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    let reserved = expected.clamp(LEAST_BODY, limits.body_bytes.max(LEAST_BODY));
    let full = Refusal::retryable("no memory for its body", NO_MEMORY);
    let Some(held) = shared.hold.reserve(reserved) else { return refuse(shared, &head, &full) };
    let body = match read(body, limits.body_bytes).await {
        Ok(body) if !too_large => body,
        Ok(_) => {
            let refusal = Refusal::new(StatusCode::PAYLOAD_TOO_LARGE, "body is too large");
            return refuse(shared, &head, &refusal);
        }
        Err(refusal) => return refuse(shared, &head, &refusal),
    };
    let Some(rest) = shared.hold.reserve(body.len().saturating_sub(reserved)) else {
        return refuse(shared, &head, &full);
    };
    shared.count_request(&way.service.name);
    let uri = target_uri(&parts);
    remove_hop_by_hop(&mut parts.headers);
    parts.headers.remove(header::CONTENT_LENGTH);
    parts.headers.remove(header::EXPECT);
    let patience = head.deadline.unwrap_or(way.route.timeout).min(way.route.timeout);
    let job = Job {
        shared: shared.clone(),
        head,
        service: way.service,
        workspace: way.workspace,
        rank: way.rank,
        draw: rand::rng().random(),
        method: parts.method,
        uri,
        headers: parts.headers,
        body,
        _held: [held, rest],
        arrived,
        deadline: arrived + patience,
        attempted: Vec::new(),
        excluded: Vec::new(),
        send_count: 0,
        knowledge: way.knowledge,
        route: way.route,
    };
    match job.route.kind {
        Kind::Stream => stream::run(job).await,
        Kind::Safe | Kind::Unsafe => call::run(job).await,
    }
}

async fn read(body: Incoming, limit: usize) -> Result<Bytes, Refusal> {
    let body = timeout(BODY_TIMEOUT, Limited::new(body, limit).collect()).await;
    let Ok(body) = body else {
        return Err(Refusal::new(StatusCode::REQUEST_TIMEOUT, "body took too long"));
    };
    body.map(|it| it.to_bytes()).map_err(|error| match error.is::<LengthLimitError>() {
        true => Refusal::new(StatusCode::PAYLOAD_TOO_LARGE, "body is too large"),
        false => Refusal::new(StatusCode::BAD_REQUEST, "body broke off"),
    })
}

fn refuse<P: Platform>(shared: &Shared<P>, head: &Head, refusal: &Refusal) -> Response<Answer> {
    let (config, known) = {
        let knowledge = shared.knowledge();
        (knowledge.table.version(), knowledge.config_confirmed_at)
    };
    let age = known.map(|it| shared.now().since(it)).unwrap_or_default();
    shared.metrics.count("rhubarblatch_requests_total", "route=\"\",outcome=\"refused\"");
    shared.journal.note(&Event::Refused {
        request: &head.id,
        route: "",
        status: refusal.status.as_u16(),
        reason: refusal.reason,
        config,
        config_age_ms: millis(age),
        waited_ms: 0,
    });
    refusal.response()
}
