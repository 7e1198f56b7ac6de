//! HTTP listeners for the readiness check and the metrics of this entry.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use decision::prelude::*;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

use crate::port::Platform;
use crate::state::Shared;

/// Time in which the head of a request must arrive, also on an idle connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Serves readiness and metrics on `listener` until the task is dropped.
pub(crate) async fn serve<P: Platform>(shared: Arc<Shared<P>>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let shared = shared.clone();
        let service = service_fn(move |request| {
            let response = respond(&shared, &request);
            async move { Ok::<_, Infallible>(response) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .max_buf_size(MAX_HEAD_BYTES)
            .header_read_timeout(HEAD_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            // The client sees an error itself; there is nobody else to report it to.
            let _result = connection.await;
        });
    }
}

fn respond<P: Platform>(shared: &Shared<P>, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let path = request.uri().path();
    let (status, text) = match path {
        _ if request.method() != Method::GET => (StatusCode::METHOD_NOT_ALLOWED, String::new()),
        METRICS_PATH => (StatusCode::OK, metrics(shared)),
        _ if path == shared.platform.ready_path() => match shared.is_ready() {
            true => (StatusCode::OK, String::new()),
            false => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
        },
        _ => (StatusCode::NOT_FOUND, String::new()),
    };
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}

fn metrics<P: Platform>(shared: &Shared<P>) -> String {
    let now = shared.now();
    let knowledge = shared.knowledge();
    let age = |at: Option<Time>| at.map_or(f64::INFINITY, |it| now.since(it).as_secs_f64());
    let gauges = [
        ("rhubarblatch_config_version", knowledge.table.version() as f64),
        ("rhubarblatch_config_age_seconds", age(knowledge.config_confirmed_at)),
        ("rhubarblatch_instances_age_seconds", age(knowledge.fleet_confirmed_at)),
        ("rhubarblatch_instances", knowledge.fleet.iter().count() as f64),
        ("rhubarblatch_entries", knowledge.entries.len() as f64),
        (
            "rhubarblatch_peers",
            shared.peers.alive_count(now, &shared.settings().failure_domain) as f64,
        ),
        ("rhubarblatch_log_lines_dropped_total", shared.journal.lost_lines() as f64),
    ];
    drop(knowledge);
    let suspects = shared.balance().suspects().count() as f64;
    let mut all_gauges = gauges.to_vec();
    all_gauges.push(("rhubarblatch_waiting_requests", shared.wait_queue.len() as f64));
    all_gauges.push(("rhubarblatch_held_bytes", shared.buffer_limiter.used() as f64));
    all_gauges.push(("rhubarblatch_suspect_targets", suspects));
    let parts = shared.quarantine().verdicts().count() as f64;
    all_gauges.push(("rhubarblatch_quarantine_parts", parts));
    shared.metrics.text(&all_gauges)
}
