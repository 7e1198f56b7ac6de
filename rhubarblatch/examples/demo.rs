//! Runs a store, engines, a plain service and three entries in one process, applies the example
//! declarations and sends a request from each of two workspaces.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::{Context as _, Result, ensure};
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use rhubarblatchd::settings::Settings;
use rhubarblatchd::{Daemon, Secrets, logging};
use standin::engine::{self, Engine};
use standin::plain::Plain;
use standin::store::Store;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time;

const STORE: &str = "127.0.0.1:7300";
const PLAIN: &str = "127.0.0.1:7310";
const ENTRIES: [&str; 3] = ["entry-1", "entry-2", "entry-3"];
const FAILURE_DOMAINS: [&str; 3] = ["riga-a", "riga-b", "jelgava"];
const INSTANCES_PER_DOMAIN: usize = 3;
const OPERATOR_SETTINGS: &str = "examples/settings/rhubarblatch.json";
const DECLARATIONS: &str = "examples/declarations";

/// Longest wait until the first request is served.
const PATIENCE: Duration = Duration::from_secs(60);

const POLL: Duration = Duration::from_millis(500);

#[tokio::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("demo: {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    std::env::set_current_dir(&root).context("the repository's folder is missing")?;
    start_standins().await?;
    let daemons = start_entries().await?;

    println!("\n$ rhubarblatch apply --wait {DECLARATIONS}");
    operate(&["apply", "--wait", DECLARATIONS]).await?;
    println!("\nwaiting until a replica is loaded and serves");
    let callers = daemons[0].addresses().callers;
    for workspace in ["inspectors", "canteens"] {
        let answer = ask(callers, workspace).await?;
        println!("\nanswer to workspace {workspace}:\n{answer}");
    }
    println!("$ rhubarblatch status");
    operate(&["status"]).await?;

    println!("\nThe system keeps running. In another terminal, from the repository's folder:");
    println!("  cargo run -p rhubarblatch -- --settings {OPERATOR_SETTINGS} domain out riga-a");
    println!("  curl -N http://{callers}/v1/services/assistant/generate \\");
    println!("    -H 'x-workspace: canteens' -d '{{\"prompt\":\"hello there\",\"max_tokens\":8}}'");
    println!("Ctrl-C stops it gracefully.");
    tokio::signal::ctrl_c().await?;
    let mut stopping: JoinSet<()> = daemons.into_iter().map(Daemon::stop).collect();
    while stopping.join_next().await.is_some() {}
    Ok(())
}

async fn start_standins() -> Result<()> {
    tokio::spawn(Store::new().serve(TcpListener::bind(STORE).await?));
    tokio::spawn(Plain::new().serve(TcpListener::bind(PLAIN).await?));
    for failure_domain in FAILURE_DOMAINS {
        for number in 1..=INSTANCES_PER_DOMAIN {
            start_engine(failure_domain, number).await?;
        }
    }
    Ok(())
}

async fn start_engine(failure_domain: &str, number: usize) -> Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let engine = Engine::new(engine::Config {
        instance: format!("{failure_domain}-{number}"),
        failure_domain: failure_domain.to_owned(),
        fabric_domain: format!("{failure_domain}-rack-1"),
        ..engine::Config::default()
    });
    engine.register(STORE.parse()?, listener.local_addr()?).await?;
    tokio::spawn(engine.serve(listener));
    Ok(())
}

async fn start_entries() -> Result<Vec<Daemon>> {
    let mut daemons = Vec::new();
    for entry in ENTRIES {
        let file = format!("examples/settings/{entry}.json");
        let settings = Settings::read(Path::new(&file))?;
        let secrets = Secrets::read(&settings)?;
        if daemons.is_empty() {
            logging::install(&settings.log)?;
        }
        daemons.push(Daemon::start(settings, secrets).await?);
    }
    Ok(daemons)
}

/// Runs the command-line tool, which brings a runtime of its own.
async fn operate(arguments: &[&str]) -> Result<()> {
    let words = ["rhubarblatch", "--settings", OPERATOR_SETTINGS];
    let words: Vec<String> = words.iter().chain(arguments).map(|word| (*word).to_owned()).collect();
    let code = tokio::task::spawn_blocking(|| rhubarblatch::run(words)).await?;
    ensure!(code == ExitCode::SUCCESS, "{arguments:?} failed");
    Ok(())
}

/// Sends a request until it is served.
async fn ask(callers: SocketAddr, workspace: &str) -> Result<String> {
    let deadline = time::Instant::now() + PATIENCE;
    loop {
        let (status, answer) = send(callers, workspace).await?;
        if status == StatusCode::OK {
            return Ok(answer);
        }
        ensure!(time::Instant::now() < deadline, "not served in time: {answer}");
        time::sleep(POLL).await;
    }
}

async fn send(callers: SocketAddr, workspace: &str) -> Result<(StatusCode, String)> {
    let body = r#"{"prompt":"the bakery keeps its floors clean","max_tokens":6}"#;
    let request = Request::post(format!("http://{callers}/v1/services/assistant/generate"))
        .header("x-workspace", workspace)
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from_static(body.as_bytes())))?;
    let client = Client::builder(TokioExecutor::new()).build_http();
    let response = client.request(request).await?;
    let status = response.status();
    let body = response.into_body().collect().await?.to_bytes();
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}
