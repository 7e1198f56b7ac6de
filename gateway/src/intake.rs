//! Listener for callers: accepts HTTP/1.1 requests within the limits of the configuration.

use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::Poll;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use decision::gateway::config::{Kind, Limits};
use http::{HeaderMap, Request, Response, StatusCode, Version, header};
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use rand::RngExt as _;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;

use crate::body::Answer;
use crate::journal::{Event, Parts};
use crate::memory::Hold;
use crate::port::{Head, Platform};
use crate::progress::{Key, Progress, Stage};
use crate::reason::Reason;
use crate::refusal::Refusal;
use crate::request::{
    ENTRY_ENDS, Job, MIN_RETRY_AFTER, STOP_COUNTER, millis, remove_hop_by_hop, target_uri,
};
use crate::rewind::Rewind;
use crate::routing;
use crate::state::Shared;
use crate::{call, stream};

/// Longest time to read a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay before the next attempt after a connection couldn't be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Smallest number of bytes that are reserved before a body is read, also if its length is unknown.
const MIN_RESERVED_BYTES: usize = 4_096;

/// Delay after which a caller may retry a request for whose body no memory was left.
const MEMORY_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Bytes of a head that are read beyond the configured limit, so that a head which is slightly too
/// large gets a response.
const HEAD_MARGIN_BYTES: usize = 8_192;

/// Limits while there is no configuration. Heads may be larger than configurations usually allow, so
/// that none is refused for good that the first one allows.
const UNCONFIGURED_LIMITS: Limits = Limits {
    head_bytes: 256 << 10,
    body_bytes: 0,
    head_timeout: Duration::from_secs(15),
    idle_timeout: Duration::from_secs(15),
};

/// Smallest number of bytes of a header line: a name of one, a colon and the end of the line.
const MIN_HEADER_LINE_BYTES: usize = 4;

/// Most header lines of a head, whatever its limit of bytes allows: the library makes room for all
/// of them, 64 bytes each, whenever it reads a head.
const MAX_HEADER_LINES: usize = 1_024;

/// Accepts callers' connections until `stop` becomes true. Open connections are then shut down
/// gracefully by their own tasks.
pub(crate) async fn serve<P: Platform>(
    shared: Arc<Shared<P>>,
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
) {
    let connection_stop = stop.clone();
    loop {
        let accepted = tokio::select! {
            biased;
            _ = stop.wait_for(|it| *it) => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                let guard = ConnectionGuard::new(&shared);
                tokio::spawn(handle_connection(guard, stream, connection_stop.clone()));
            }
            // Usually too many files are open. New connections wait in the socket's backlog.
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// What happens to a connection.
enum ConnectionEvent {
    Ended(hyper::Result<()>),
    /// The entry stops.
    Stop,
    /// Another configuration bounds what its caller may send.
    LimitsChanged,
}

/// Serves a connection until it ends. When the limits change, an idle one goes on by the new ones, and
/// one with a request at work ends after its answer.
async fn handle_connection<P: Platform>(
    guard: ConnectionGuard<P>,
    stream: TcpStream,
    mut stop: watch::Receiver<bool>,
) {
    let (shared, key) = (&guard.shared, guard.key);
    // A failure only adds latency to small responses.
    let _result = stream.set_nodelay(true);
    let ends_with_connection = AtomicBool::new(false);
    let ends_after_answer = AtomicBool::new(false);
    let service = service_fn(|request: Request<Incoming>| {
        let is_old = request.version() < Version::HTTP_11;
        ends_with_connection.store(is_old, Ordering::Relaxed);
        ends_after_answer.store(is_old || asks_for_end(request.headers()), Ordering::Relaxed);
        let shared = shared.clone();
        Box::pin(async move { Ok::<_, Infallible>(respond(&shared, key, request).await) })
    });
    let mut limits = shared.limits.subscribe();
    let mut io = Rewind::new(Bytes::new(), stream);
    loop {
        let bounds = limits.borrow_and_update().unwrap_or(UNCONFIGURED_LIMITS);
        let mut connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(bounds.idle_timeout)
            .max_buf_size(bounds.head_bytes.saturating_add(HEAD_MARGIN_BYTES))
            .max_headers(max_header_lines(bounds.head_bytes))
            .serve_connection(TokioIo::new(io), &service);
        let event = tokio::select! {
            result = &mut connection => ConnectionEvent::Ended(result),
            _ = stop.wait_for(|it| *it) => ConnectionEvent::Stop,
            _ = limits.changed() => ConnectionEvent::LimitsChanged,
        };
        let result = match event {
            ConnectionEvent::Ended(result) => result,
            ConnectionEvent::LimitsChanged => {
                Pin::new(&mut connection).graceful_shutdown();
                // Ends the library's part in an idle connection at once, and leaves that open.
                let ended = poll_fn(|it| Poll::Ready(connection.poll_without_shutdown(it))).await;
                let is_to_end = *stop.borrow() || ends_after_answer.load(Ordering::Relaxed);
                match ended {
                    Poll::Ready(Ok(())) if !is_to_end => {
                        io = rewind(connection.into_parts());
                        continue;
                    }
                    Poll::Ready(result) => result,
                    // The answer of a request at work says that the connection ends after it.
                    Poll::Pending => (&mut connection).await,
                }
            }
            ConnectionEvent::Stop => {
                // An idle connection ends at once. Others end once the request that has begun to
                // arrive is answered and the caller has been sent the last byte, or with the process.
                Pin::new(&mut connection).graceful_shutdown();
                (&mut connection).await
            }
        };
        // The requests on the connection report how it ends. Without chunks, only a reset shows the
        // caller that its stream is truncated.
        let is_truncated = result.is_err_and(|it| it.is_user());
        if is_truncated && ends_with_connection.load(Ordering::Relaxed) {
            // A failure means that the connection is closed already.
            let _result = connection.into_parts().io.inner().inner().set_zero_linger();
        }
        return;
    }
}

/// Returns whether a caller asks for the end of its connection after the answer.
fn asks_for_end(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).into_iter().filter_map(|it| it.to_str().ok());
    values.flat_map(|it| it.split(',')).any(|it| it.trim().eq_ignore_ascii_case("close"))
}

/// Returns the connection of which the library has read ahead.
fn rewind<S>(parts: http1::Parts<TokioIo<Rewind<TcpStream>>, S>) -> Rewind<TcpStream> {
    let (unread, stream) = parts.io.into_inner().into_parts();
    let mut read_ahead = BytesMut::from(parts.read_buf);
    read_ahead.extend_from_slice(&unread);
    Rewind::new(read_ahead.freeze(), stream)
}

/// Returns how many header lines a head of at most `head_bytes` bytes may have.
fn max_header_lines(head_bytes: usize) -> usize {
    (head_bytes / MIN_HEADER_LINE_BYTES).min(MAX_HEADER_LINES)
}

/// Counts a connection as open until this is dropped.
struct ConnectionGuard<P> {
    shared: Arc<Shared<P>>,
    key: Key,
}

impl<P> ConnectionGuard<P> {
    fn new(shared: &Arc<Shared<P>>) -> ConnectionGuard<P> {
        ConnectionGuard { shared: shared.clone(), key: shared.connections.open() }
    }
}

impl<P> Drop for ConnectionGuard<P> {
    fn drop(&mut self) {
        self.shared.connections.close(self.key);
    }
}

/// Answers a request of the connection `key`, and records how far it is.
async fn respond<P: Platform>(
    shared: &Arc<Shared<P>>,
    key: Key,
    request: Request<Incoming>,
) -> Response<Answer> {
    let mut response = tokio::select! {
        biased;
        response = handle_request(shared, key, request) => response,
        () = shared.stop.closing() => end_request(shared, key),
    };
    shared.stop.mark(&mut response);
    // A stream records its end itself.
    if !response.body().is_stream() {
        shared.connections.set_stage(key, Stage::Answered);
    }
    response
}

/// Answers a request that has no answer when the process ends: it did not run, or may have.
fn end_request<P: Platform>(shared: &Shared<P>, key: Key) -> Response<Answer> {
    let progress = shared.connections.get(key).unwrap_or_default();
    if progress.stage != Stage::Sent && !progress.may_have_run {
        shared.metrics.count(STOP_COUNTER, "outcome=\"refused\"");
        let head = Head { id: progress.request, ..Head::default() };
        return refuse(shared, &head, &Refusal::retryable(ENTRY_ENDS, MIN_RETRY_AFTER));
    }
    shared.metrics.count(STOP_COUNTER, "outcome=\"unknown\"");
    let status = StatusCode::GATEWAY_TIMEOUT;
    let total_ms = millis(shared.now().since(progress.arrived));
    shared.journal.note(&Event::Failed {
        request: &progress.request,
        target: &progress.target,
        reason: Reason::EntryEnds.name(),
        ran: "unknown",
        after_ms: total_ms,
        writing_ms: None,
        prompt: Parts(&[]),
    });
    shared.journal.note(&Event::Ended {
        request: &progress.request,
        route: &progress.route,
        target: &progress.target,
        status: status.as_u16(),
        outcome: "unknown",
        first_ms: total_ms,
        pause_ms: 0,
        total_ms,
    });
    Refusal::new(status, ENTRY_ENDS).response()
}

async fn handle_request<P: Platform>(
    shared: &Arc<Shared<P>>,
    key: Key,
    request: Request<Incoming>,
) -> Response<Answer> {
    let arrived_at = shared.now();
    let (mut parts, body) = request.into_parts();
    let limits = shared.limits.borrow().unwrap_or(UNCONFIGURED_LIMITS);
    let head_bytes: usize =
        parts.headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4).sum();
    if head_bytes + parts.uri.path().len() > limits.head_bytes {
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        return refuse(
            shared,
            &Head::default(),
            &Refusal::new(status, "request head exceeds the limit"),
        );
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
    let destination = match routing::resolve(shared, &head, parts.uri.path()) {
        Ok(destination) => destination,
        Err(refusal) => return refuse(shared, &head, &refusal),
    };
    let progress = Progress {
        request: head.id.clone(),
        route: destination.route.name.clone(),
        stage: Stage::Reading,
        arrived: arrived_at,
        ..Progress::default()
    };
    shared.connections.begin(key, progress);
    let is_too_large = body.size_hint().lower() > limits.body_bytes as u64;
    let expected_bytes = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    let reserved_bytes =
        expected_bytes.clamp(MIN_RESERVED_BYTES, limits.body_bytes.max(MIN_RESERVED_BYTES));
    let no_memory = Refusal::retryable("no memory left for the request body", MEMORY_RETRY_DELAY);
    let Some(hold) = shared.buffer_limiter.hold_request(reserved_bytes) else {
        return refuse(shared, &head, &no_memory);
    };
    let body = match read_body(body, limits.body_bytes, hold, no_memory).await {
        Ok(body) if !is_too_large => body,
        Ok(_) => {
            let refusal =
                Refusal::new(StatusCode::PAYLOAD_TOO_LARGE, "request body exceeds the limit");
            return refuse(shared, &head, &refusal);
        }
        Err(refusal) => return refuse(shared, &head, &refusal),
    };
    shared.count_request(&destination.service.name);
    let uri = target_uri(&parts);
    remove_hop_by_hop(&mut parts.headers);
    parts.headers.remove(header::CONTENT_LENGTH);
    parts.headers.remove(header::EXPECT);
    let time_limit =
        head.deadline.unwrap_or(destination.route.timeout).min(destination.route.timeout);
    let job = Job {
        shared: shared.clone(),
        connection: key,
        head,
        service: destination.service,
        workspace: destination.workspace,
        rank: destination.rank,
        draw: rand::rng().random(),
        method: parts.method,
        uri,
        headers: parts.headers,
        body,
        arrived: arrived_at,
        limit: arrived_at + time_limit,
        deadline: arrived_at + time_limit,
        sent: None,
        attempted: Vec::new(),
        excluded: Vec::new(),
        send_count: 0,
        may_have_arrived: false,
        was_broken_off: false,
        permit: None,
        knowledge: destination.knowledge,
        route: destination.route,
    };
    match job.route.kind {
        Kind::Stream => stream::run(job).await,
        Kind::Safe | Kind::Unsafe => call::run(job).await,
    }
}

/// Reads a body of at most `max_bytes` to its end, within its time. The refusal `no_memory` is for
/// a body that there is no memory left for.
async fn read_body(
    body: Incoming,
    max_bytes: usize,
    hold: Hold,
    no_memory: Refusal,
) -> Result<Bytes, Refusal> {
    let body = timeout(BODY_TIMEOUT, collect(body, max_bytes, hold, no_memory)).await;
    body.unwrap_or_else(|_| {
        let status = StatusCode::REQUEST_TIMEOUT;
        Err(Refusal::new(status, "request body is not complete in time"))
    })
}

async fn collect(
    mut body: Incoming,
    max_bytes: usize,
    mut hold: Hold,
    no_memory: Refusal,
) -> Result<Bytes, Refusal> {
    while let Some(frame) = body.frame().await {
        let frame = frame
            .map_err(|_| Refusal::new(StatusCode::BAD_REQUEST, "request body is incomplete"))?;
        let Ok(piece) = frame.into_data() else { continue };
        if hold.len() + piece.len() > max_bytes {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            return Err(Refusal::new(status, "request body exceeds the limit"));
        }
        if hold.push(&piece).is_err() {
            return Err(no_memory);
        }
    }
    Ok(hold.into_bytes())
}

fn refuse<P: Platform>(shared: &Shared<P>, head: &Head, refusal: &Refusal) -> Response<Answer> {
    let (config, confirmed_at) = {
        let knowledge = shared.knowledge();
        (knowledge.table.version(), knowledge.config_confirmed_at)
    };
    let age = confirmed_at.map(|it| shared.now().since(it)).unwrap_or_default();
    shared.metrics.count("rhubarblatch_requests_total", "route=\"\",outcome=\"refused\"");
    shared.journal.note(&Event::Refused {
        request: &head.id,
        route: "",
        status: refusal.status.as_u16(),
        reason: refusal.reason,
        era: shared.era(),
        config,
        config_age_ms: millis(age),
        waited_ms: 0,
    });
    refusal.response()
}
