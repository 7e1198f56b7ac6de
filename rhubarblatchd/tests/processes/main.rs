//! The whole path over separate processes.

mod failures;
mod fleet;
mod forget;
mod instance;
mod large;
mod late;
mod leaving;
mod odd;

use std::time::Duration;

use anyhow::{Context as _, Result};
use bytes::Bytes;
use fleet::Fleet;
use http_body_util::Full;
use hyper::Request;
use serde_json::{Value, json};
use tokio::time;

const PROMPT: &str = "renew the certificate of the bakery";

fn declarations(fleet: &Fleet, cold_limit: u32) -> Value {
    json!([
        { "kind": "failure_domain", "name": "riga-a" },
        { "kind": "workspace", "name": "canteens", "weight": 1 },
        { "kind": "profile", "name": "assistant", "cold_limit": cold_limit },
        { "kind": "profile", "name": "lookup", "cold_limit": cold_limit },
        { "kind": "profile", "name": "payment", "repeat": "once_with_key", "cold_limit": cold_limit },
        {
            "kind": "service",
            "name": "assistant",
            "profile": "assistant",
            "backend": { "type": "model", "model": "m", "replicas": 1, "instances": 2 },
        },
        {
            "kind": "service",
            "name": "certificates",
            "profile": "lookup",
            "backend": { "type": "plain", "targets": [
                { "name": "fees-1", "address": fleet.plain, "failure_domain": "riga-a" },
            ] },
        },
        {
            "kind": "service",
            "name": "fees",
            "profile": "payment",
            "backend": { "type": "plain", "targets": [
                { "name": "fees-1", "address": fleet.plain, "failure_domain": "riga-a" },
            ] },
        },
    ])
}

fn generate(max_tokens: u64) -> Result<Request<Full<Bytes>>> {
    let body = json!({ "prompt": PROMPT, "max_tokens": max_tokens }).to_string();
    let request = Request::post("/v1/services/assistant/generate")
        .header("x-workspace", "canteens")
        .header("content-type", "application/json")
        .body(Full::from(body))?;
    Ok(request)
}

fn pay(key: &str) -> Result<Request<Full<Bytes>>> {
    let request = Request::post("/v1/services/fees/call/pay")
        .header("x-workspace", "canteens")
        .header("idempotency-key", key)
        .body(Full::from("{\"cents\":1200}"))?;
    Ok(request)
}

/// The tokens of an event stream, joined, if its end mark counts them right.
fn answer(events: &str) -> Option<String> {
    let mut text = String::new();
    let mut count = 0;
    for event in events.split("\n\n") {
        let field = |name: &str| {
            let line = event.lines().find_map(|line| line.strip_prefix(name));
            line.map(|value| value.trim_start_matches(':').trim().to_owned())
        };
        let data: Value =
            serde_json::from_str(&field("data").unwrap_or_default()).unwrap_or_default();
        match field("event").as_deref() {
            Some("token") => {
                text.push_str(data["token"].as_str()?);
                count += 1;
            }
            Some("end") => return (data["tokens"] == count).then_some(text),
            _ => {}
        }
    }
    None
}

/// What an engine answers to [`PROMPT`].
fn echo(tokens: usize) -> String {
    PROMPT.split_whitespace().cycle().take(tokens).map(|word| format!("{word} ")).collect()
}

#[tokio::test]
async fn request_is_served_by_a_replica_of_two_instances() -> Result<()> {
    let fleet = Fleet::start("whole-path", 2, 2)?;
    let applied = fleet.apply(&declarations(&fleet, 16))?;
    assert!(applied.status.success(), "{applied:?}");

    let events = fleet.served(1, generate(20)?).await?;
    assert_eq!(answer(&events), Some(echo(20)), "{events}");

    fleet.served(0, pay("fee-1")?).await?;
    assert_eq!(fleet::read(fleet.plain, "/runs").await?, json!({ "fee-1": 1 }));
    assert_eq!(fleet.engine_count("incomplete").await?, 0);
    Ok(())
}

#[tokio::test]
async fn entry_without_a_slot_passes_requests_to_a_peer() -> Result<()> {
    let fleet = Fleet::start("passed-on", 2, 3)?;
    assert!(fleet.apply(&declarations(&fleet, 1))?.status.success());
    for entry in 0..3 {
        let events = fleet.served(entry, generate(5)?).await?;
        assert_eq!(answer(&events), Some(echo(5)), "{events}");
        let first = fleet.served(entry, pay("fee-1")?).await?;
        assert_eq!(first, r#"{"ran":"fee-1"}"#);
    }
    assert_eq!(fleet::read(fleet.plain, "/runs").await?, json!({ "fee-1": 1 }));
    assert_eq!(fleet.engine_count("overloads").await?, 0);
    Ok(())
}

#[tokio::test]
async fn stop_ends_a_running_stream_whole() -> Result<()> {
    let mut fleet = Fleet::start("stop", 2, 2)?;
    assert!(fleet.apply(&declarations(&fleet, 16))?.status.success());
    fleet.served(1, generate(1)?).await?;

    let entry = fleet.entries.pop().context("no entry")?;
    let uri = format!("http://{}/v1/services/assistant/generate", entry.callers);
    let mut request = generate(500)?;
    *request.uri_mut() = uri.parse()?;
    let running = tokio::spawn(fleet::send(request));
    while fleet.engine_count("started").await? < 2 {
        tokio::task::yield_now().await;
    }
    let mut process = entry.process;
    process.signal("TERM")?;
    let (status, events) = running.await??;
    assert_eq!((status, answer(&events)), (200, Some(echo(500))));
    assert_eq!(process.wait()?, Some(0));
    Ok(())
}

/// Longer than evidence lasts without a word on the store.
const OUTAGE: Duration = Duration::from_secs(8);

#[tokio::test]
async fn replica_serves_on_while_the_store_is_down() -> Result<()> {
    let fleet = Fleet::start("outage", 2, 3)?;
    assert!(fleet.apply(&declarations(&fleet, 16))?.status.success());
    for entry in 0..3 {
        fleet.served(entry, generate(1)?).await?;
    }
    let down = Request::post(format!("http://{}/control", fleet.store))
        .body(Full::from(json!({ "down": true }).to_string()))?;
    fleet::send(down).await?;
    time::sleep(OUTAGE).await;
    for entry in 0..3 {
        let (status, body) = fleet.send(entry, generate(1)?).await?;
        assert_eq!(status, 200, "entry {entry}: {body}");
    }
    Ok(())
}

#[tokio::test]
async fn spare_instance_replaces_a_dead_one() -> Result<()> {
    let mut fleet = Fleet::start("spare", 3, 2)?;
    assert!(fleet.apply(&declarations(&fleet, 16))?.status.success());
    fleet.served(1, generate(1)?).await?;
    // One of the two members, whichever they are, is among the first two.
    drop(fleet.engines.remove(0));
    drop(fleet.engines.remove(0));
    fleet.start_engine(4, &[])?;
    let events = fleet.served(1, generate(20)?).await?;
    assert_eq!(answer(&events), Some(echo(20)), "{events}");
    assert_eq!(fleet.engine_count("incomplete").await?, 0);
    Ok(())
}
