//! Spans of a request from hop to hop, and collectors that misbehave.

use std::collections::BTreeMap;
use std::io::{BufRead as _, BufReader, Read as _, Write as _};
use std::net::{SocketAddr, TcpListener as Socket, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anyhow::{Context as _, Result, ensure};
use bytes::Bytes;
use decision::declaration::Declaration;
use decision::head::Generation;
use http_body_util::Full;
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use opentelemetry_proto::tonic::collector::trace::v1::ExportTraceServiceRequest;
use opentelemetry_proto::tonic::trace::v1::Span;
use operator::change::{Change, Edit};
use operator::writer::Writer;
use prost::Message as _;
use rhubarblatchd::settings::Settings;
use rhubarblatchd::{Daemon, Secrets};
use rstest::rstest;
use serde_json::{Value, json};
use standin::store::Store;
use tokio::net::TcpListener;
use tokio::time;
use warp::Filter as _;

/// Longest wait for what must come.
const PATIENCE: Duration = Duration::from_secs(60);

const POLL: Duration = Duration::from_millis(100);

/// Looks at a process that is to stop.
const POLLS: u32 = 600;

/// The caller's own span.
const CALLER_SPAN: &str = "00f067aa0ba902b7";

/// More requests than the exporter's queue holds spans.
const REQUESTS: usize = 3_000;

type Shared<T> = Arc<Mutex<Vec<T>>>;

fn settings(name: &str, store: SocketAddr, collector: Option<SocketAddr>) -> Value {
    let any = "127.0.0.1:0";
    json!({
        "name": name,
        "failure_domain": "riga-a",
        "listen": { "callers": any, "operators": any, "peers": any },
        "platform": { "address": store },
        "tokens": { "operators": { "env": "TOKEN" }, "peers": { "env": "TOKEN" } },
        "telemetry": { "otlp": collector.map(|it| format!("http://{it}")) },
    })
}

async fn bind() -> Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// A target that keeps the trace contexts it is called with.
async fn target() -> Result<(Shared<String>, SocketAddr)> {
    let (listener, address) = bind().await?;
    let seen = Shared::default();
    let keep = seen.clone();
    let answer = warp::header::optional("traceparent").map(move |it: Option<String>| {
        keep.lock().unwrap_or_else(PoisonError::into_inner).extend(it);
        "{}"
    });
    tokio::spawn(warp::serve(answer).incoming(listener).run());
    Ok((seen, address))
}

/// A collector that keeps spans.
async fn collector() -> Result<(Shared<Span>, SocketAddr)> {
    let (listener, address) = bind().await?;
    let seen = Shared::default();
    let keep = seen.clone();
    let traces = warp::path!("v1" / "traces").and(warp::body::bytes()).map(move |body: Bytes| {
        let export = ExportTraceServiceRequest::decode(body).unwrap_or_default();
        let scopes = export.resource_spans.into_iter().flat_map(|it| it.scope_spans);
        let spans = scopes.flat_map(|it| it.spans);
        keep.lock().unwrap_or_else(PoisonError::into_inner).extend(spans);
        ""
    });
    let answer = traces.or(warp::any().map(|| "")).unify();
    tokio::spawn(warp::serve(answer).incoming(listener).run());
    Ok((seen, address))
}

/// Declares a service with a target that takes one request at a time over all entries.
async fn declare(store: SocketAddr, target: SocketAddr) -> Result<()> {
    let declarations = json!([
        { "kind": "failure_domain", "name": "riga-a" },
        { "kind": "profile", "name": "lookup", "cold_limit": 1, "warm_limit": 1 },
        { "kind": "service", "name": "lookup", "profile": "lookup", "backend": {
            "type": "plain",
            "targets": [{ "name": "t-1", "address": target, "failure_domain": "riga-a" }],
        } },
    ]);
    let declarations: Vec<Declaration> = serde_json::from_value(declarations)?;
    let edit = |it: Declaration| Edit { id: it.id(), expected: None, declaration: Some(it) };
    let edits = declarations.into_iter().map(edit).collect();
    let client = store::client::Settings {
        address: format!("http://{store}"),
        ..store::client::Settings::default()
    };
    let writer = Writer::new(store::client::Client::new(client)?, Default::default());
    writer.change(&Change { base: Generation(0), nonce: 1, edits }).await?;
    Ok(())
}

/// Calls the service until it is served.
async fn call(entry: &Daemon, trace: &str) -> Result<()> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let uri = format!("http://{}/v1/services/lookup/call/x", entry.addresses().callers);
    let deadline = time::Instant::now() + PATIENCE;
    loop {
        let request = Request::post(&uri).header("traceparent", trace).body(Full::default())?;
        let status = client.request(request).await?.status();
        if status.is_success() {
            return Ok(());
        }
        ensure!(time::Instant::now() < deadline, "not served in time: {status}");
        time::sleep(POLL).await;
    }
}

fn hex(id: &[u8]) -> String {
    id.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The names of the spans from `span` up to the caller's own.
fn chain<'a>(spans: &'a BTreeMap<String, Span>, mut span: &'a Span) -> String {
    let mut names = vec![span.name.as_str()];
    while let Some(parent) = spans.get(&hex(&span.parent_span_id)) {
        names.push(&parent.name);
        span = parent;
    }
    if hex(&span.parent_span_id) == CALLER_SPAN {
        names.push("the caller");
    }
    names.join(" < ")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_leaves_a_span_for_each_hop_below_the_callers_own() -> Result<()> {
    let (listener, store) = bind().await?;
    tokio::spawn(Store::new().serve(listener));
    let (contexts, target) = target().await?;
    let (seen, collector) = collector().await?;
    declare(store, target).await?;
    let mut entries = Vec::new();
    for name in ["entry-1", "entry-2"] {
        let settings = settings(name, store, Some(collector)).to_string();
        let (operators, peers) = ("operators".to_owned(), "peers".to_owned());
        let secrets = Secrets { operators, peers, platform: None };
        entries.push(Daemon::start(Settings::parse(name, &settings)?, secrets).await?);
    }
    // The first round waits until both entries share the target's one place.
    for round in ["a", "b"] {
        for (number, entry) in entries.iter().enumerate() {
            let trace = format!("{round}{number}").repeat(16);
            call(entry, &format!("00-{trace}-{CALLER_SPAN}-01")).await?;
        }
    }
    for entry in entries {
        entry.stop().await;
    }

    let seen = seen.lock().unwrap_or_else(PoisonError::into_inner);
    let contexts = contexts.lock().unwrap_or_else(PoisonError::into_inner);
    let mut chains = Vec::new();
    for number in 0..2 {
        let trace = format!("b{number}").repeat(16);
        let spans = seen.iter().filter(|it| hex(&it.trace_id) == trace);
        let spans: BTreeMap<_, _> = spans.map(|it| (hex(&it.span_id), it.clone())).collect();
        let find = |name: &'static str| spans.values().filter(move |it| it.name == name);
        let attempt = find("target.call").next().context("no attempt")?;
        let passed_on = format!("00-{trace}-{}-01", hex(&attempt.span_id));
        assert!(contexts.contains(&passed_on), "{passed_on} is not among {contexts:?}");
        let queues: Vec<_> = find("queue").map(|it| chain(&spans, it)).collect();
        assert!(queues.contains(&"queue < caller.call < the caller".to_owned()), "{queues:?}");
        chains.push(chain(&spans, attempt));
    }
    chains.sort_by_key(String::len);
    let expected = [
        "target.call < caller.call < the caller",
        "target.call < caller.call < peer.forward < caller.call < the caller",
    ];
    assert_eq!(chains, expected);
    Ok(())
}

/// What becomes of telemetry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Collector {
    /// It is not set; only the environment names a collector.
    Unset,
    /// Nothing listens at its address.
    Down,
    /// It accepts connections and never answers.
    Hangs,
}

/// An entry process. It is killed if the test fails.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        drop(self.0.kill());
        drop(self.0.wait());
    }
}

#[rstest]
#[case(Collector::Unset)]
#[case(Collector::Down)]
#[case(Collector::Hangs)]
fn a_collector_holds_up_neither_requests_nor_the_stop(#[case] fate: Collector) -> Result<()> {
    let socket = Socket::bind("127.0.0.1:0")?;
    let address = socket.local_addr()?;
    socket.set_nonblocking(true)?;
    let socket = (fate != Collector::Down).then_some(socket);
    let named = (fate != Collector::Unset).then_some(address);
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("traces-{fate:?}.json"));
    std::fs::write(&file, settings("entry-1", ([127, 0, 0, 1], 9).into(), named).to_string())?;
    let mut command = Command::new(env!("CARGO_BIN_EXE_rhubarblatchd"));
    command.arg(&file).env("TOKEN", "secret").stdout(Stdio::piped());
    command.env("OTEL_EXPORTER_OTLP_ENDPOINT", format!("http://{address}"));
    // The exporter's own patience must not end the wait.
    for name in ["EXPORTER_OTLP_TIMEOUT", "METRIC_EXPORT_TIMEOUT", "BSP_EXPORT_TIMEOUT"] {
        command.env(format!("OTEL_{name}"), "3600000");
    }
    let mut process = Process(command.spawn()?);
    let mut greeting = String::new();
    BufReader::new(process.0.stdout.as_mut().context("no output")?).read_line(&mut greeting)?;
    let callers = greeting.split_whitespace().find_map(|it| it.strip_prefix("callers="));

    let mut stream = TcpStream::connect(callers.context("no address")?)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    for number in 0..REQUESTS {
        let close = if number + 1 == REQUESTS { "connection: close\r\n" } else { "" };
        write!(stream, "GET /v1/services/x/call HTTP/1.1\r\nhost: x\r\n{close}\r\n")?;
    }
    let mut answers = String::new();
    stream.read_to_string(&mut answers)?;
    assert_eq!(answers.matches("HTTP/1.1 503 ").count(), REQUESTS);

    let pid = process.0.id().to_string();
    ensure!(Command::new("kill").args(["-s", "TERM", &pid]).status()?.success(), "not sent");
    let mut ended = None;
    for _ in 0..POLLS {
        ended = process.0.try_wait()?;
        if ended.is_some() {
            break;
        }
        std::thread::sleep(POLL);
    }
    assert_eq!(ended.context("it does not stop")?.code(), Some(0));
    let called = socket.is_some_and(|it| it.accept().is_ok());
    assert_eq!(called, fate == Collector::Hangs);
    Ok(())
}
