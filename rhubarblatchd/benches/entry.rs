//! Processor time and memory of one entry process, idle, for each request and for each token.
//!
//! The store, two engines and the callers run in this process, the entry in one of its own, so
//! that only the entry's time is counted.

use std::io::{BufRead as _, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use anyhow::{Context as _, Result, ensure};
use bytes::Bytes;
use decision::declaration::Declaration;
use http_body_util::{BodyExt as _, Full};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use operator::change::{Change, Edit};
use operator::writer::{self, Writer};
use serde_json::json;
use standin::engine::{self, Engine};
use standin::store::Store;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time;

const CONCURRENT: usize = 32;
const IDLE: Duration = Duration::from_secs(10);
const PATIENCE: usize = 600;
const TICKS_PER_SECOND: f64 = 100.0;

/// Requests and the tokens of each, for each phase.
const PHASES: [(usize, u64); 3] = [(4_000, 1), (400, 100), (400, 500)];

struct Entry {
    child: Child,
    callers: SocketAddr,
}

impl Drop for Entry {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

#[tokio::main]
async fn main() -> Result<()> {
    let store = listen(|listener| Store::new().serve(listener)).await?;
    for number in 1..=2 {
        start_engine(store, number).await?;
    }
    let entry = start_entry(store)?;
    declare(store).await?;
    let client = Client::builder(TokioExecutor::new()).build_http();
    wait_until_served(&client, &entry).await?;

    println!("| phase | requests | tokens | core time, s | resident, MiB |");
    println!("| --- | ---: | ---: | ---: | ---: |");
    let before = seconds(&entry)?;
    time::sleep(IDLE).await;
    let idle = seconds(&entry)? - before;
    println!("| idle for {IDLE:?} | 0 | 0 | {idle:.2} | {:.1} |", resident(&entry)?);
    for (requests, tokens) in PHASES {
        let before = seconds(&entry)?;
        load(&client, &entry, requests, tokens).await?;
        let spent = seconds(&entry)? - before;
        let all = requests as u64 * tokens;
        println!("| load | {requests} | {all} | {spent:.2} | {:.1} |", resident(&entry)?);
    }
    Ok(())
}

async fn listen<F>(serve: impl FnOnce(TcpListener) -> F) -> Result<SocketAddr>
where
    F: Future<Output = ()> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(serve(listener));
    Ok(address)
}

async fn start_engine(store: SocketAddr, number: usize) -> Result<()> {
    let engine = Engine::new(engine::Config {
        instance: format!("engine-{number}"),
        failure_domain: "riga-a".to_owned(),
        cold_limit: 1_000,
        token: Duration::from_millis(1),
        ..engine::Config::default()
    });
    let address = listen(|listener| engine.clone().serve(listener)).await?;
    engine.register(store, address).await?;
    Ok(())
}

fn start_entry(store: SocketAddr) -> Result<Entry> {
    let any = "127.0.0.1:0";
    let settings = json!({
        "name": "entry-1",
        "failure_domain": "riga-a",
        "listen": { "callers": any, "operators": any, "peers": any },
        "platform": { "address": store },
        "tokens": { "operators": { "env": "BENCH_TOKEN" }, "peers": { "env": "BENCH_TOKEN" } },
        "log": { "level": "error" },
    });
    let file = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("bench-entry.json");
    std::fs::write(&file, settings.to_string())?;
    let mut command = Command::new(env!("CARGO_BIN_EXE_rhubarblatchd"));
    command.arg(&file).env("BENCH_TOKEN", "bench").stdout(Stdio::piped());
    let mut child = command.spawn()?;
    let mut greeting = String::new();
    BufReader::new(child.stdout.as_mut().context("no output")?).read_line(&mut greeting)?;
    let mut parts = greeting.split_whitespace();
    let callers = parts.find_map(|part| part.strip_prefix("callers=")).context("no address")?;
    Ok(Entry { child, callers: callers.parse()? })
}

async fn declare(store: SocketAddr) -> Result<()> {
    let settings = store::client::Settings {
        address: format!("http://{store}"),
        ..store::client::Settings::default()
    };
    let writer = Writer::new(store::client::Client::new(settings)?, writer::Settings::default());
    let declared: Vec<Declaration> = serde_json::from_value(json!([
        { "kind": "failure_domain", "name": "riga-a" },
        { "kind": "profile", "name": "assistant", "cold_limit": 64, "warm_limit": 64 },
        { "kind": "service", "name": "chat", "profile": "assistant",
          "backend": { "type": "model", "model": "m", "replicas": 1, "instances": 2 } },
    ]))?;
    let edit = |it: Declaration| Edit { id: it.id(), expected: None, declaration: Some(it) };
    let base = writer.configuration().await?.generation;
    let edits = declared.into_iter().map(edit).collect();
    writer.change(&Change { base, nonce: 7, edits }).await?;
    Ok(())
}

async fn wait_until_served(
    client: &Client<HttpConnector, Full<Bytes>>,
    entry: &Entry,
) -> Result<()> {
    for _ in 0..PATIENCE {
        if ask(client.clone(), entry.callers, 1).await.is_ok() {
            return Ok(());
        }
        time::sleep(Duration::from_millis(100)).await;
    }
    anyhow::bail!("no request was served")
}

async fn load(
    client: &Client<HttpConnector, Full<Bytes>>,
    entry: &Entry,
    requests: usize,
    tokens: u64,
) -> Result<()> {
    let mut running = JoinSet::new();
    for _ in 0..requests {
        if running.len() == CONCURRENT
            && let Some(done) = running.join_next().await
        {
            done??;
        }
        running.spawn(ask(client.clone(), entry.callers, tokens));
    }
    while let Some(done) = running.join_next().await {
        done??;
    }
    Ok(())
}

async fn ask(
    client: Client<HttpConnector, Full<Bytes>>,
    callers: SocketAddr,
    tokens: u64,
) -> Result<()> {
    let body = json!({ "prompt": "one two three four", "max_tokens": tokens }).to_string();
    let request = Request::post(format!("http://{callers}/v1/services/chat/generate"));
    let response = client.request(request.body(Full::from(body))?).await?;
    let status = response.status();
    let body = response.into_body().collect().await?.to_bytes();
    let body = String::from_utf8_lossy(&body);
    ensure!(status == 200 && body.contains("event: end"), "{status} {body}");
    Ok(())
}

/// Processor time of the entry's process so far.
fn seconds(entry: &Entry) -> Result<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", entry.child.id()))?;
    let (_, fields) = stat.rsplit_once(')').context("no fields")?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|it| it.parse::<f64>().ok());
    Ok((ticks(11).context("no utime")? + ticks(12).context("no stime")?) / TICKS_PER_SECOND)
}

/// Resident memory of the entry's process.
fn resident(entry: &Entry) -> Result<f64> {
    let status = std::fs::read_to_string(format!("/proc/{}/status", entry.child.id()))?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).context("no VmRSS")?;
    let kib: f64 = line.split_whitespace().nth(1).context("no size")?.parse()?;
    Ok(kib / 1_024.0)
}
