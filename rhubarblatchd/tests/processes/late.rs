//! Requests that come or last beyond the time of an entry that was told to stop.

use anyhow::{Context as _, Result};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use serde_json::json;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use crate::fleet::{self, Fleet};
use crate::{declarations, generate, pay};

const HEAD: &str = "POST /v1/services/fees/call/pay HTTP/1.1\r\nHost: h.example\r\n\
    X-Workspace: canteens\r\nIdempotency-Key: late\r\nExpect: 100-continue\r\n\
    Transfer-Encoding: chunked\r\n\r\n";

/// Guards against requests that a stopping entry takes late and cuts off at its end.
#[tokio::test]
async fn a_request_whose_body_ends_after_the_signal_is_answered_and_did_not_run() -> Result<()> {
    let mut fleet = Fleet::start("late", 2, 2)?;
    assert!(fleet.apply(&declarations(&fleet, 16))?.status.success());
    fleet.served(1, pay("early")?).await?;
    let entry = fleet.entries.pop().context("no entry")?;
    let mut caller = TcpStream::connect(entry.callers).await?;
    caller.write_all(HEAD.as_bytes()).await?;
    let mut interim = [0; 25];
    // The entry has read the head, and waits for the body.
    caller.read_exact(&mut interim).await?;
    assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
    let mut process = entry.process;
    process.signal("TERM")?;
    // It listens no more once it stops.
    while TcpStream::connect(entry.callers).await.is_ok() {
        tokio::task::yield_now().await;
    }
    caller.write_all(b"e\r\n{\"cents\":1200}\r\n0\r\n\r\n").await?;
    let mut text = String::new();
    caller.read_to_string(&mut text).await?;
    assert!(text.starts_with("HTTP/1.1 503 ") && text.contains("not_run"), "{text}");
    assert_eq!(process.wait()?, Some(0));
    assert_eq!(fleet::read(fleet.plain, "/runs").await?, json!({ "early": 1 }));
    Ok(())
}

/// Guards against requests that the end of a stopping entry cuts off without a word.
#[tokio::test]
async fn what_outlasts_a_stopping_entry_is_told_that_it_may_have_run() -> Result<()> {
    let mut fleet = Fleet::start("outlasts", 2, 1)?;
    fleet.start_impatient_entry(2, 1_000)?;
    assert!(fleet.apply(&declarations(&fleet, 16))?.status.success());
    fleet.served(1, generate(1)?).await?;
    fleet.served(1, pay("early")?).await?;
    let slow = Request::post(format!("http://{}/control", fleet.plain))
        .body(Full::from(json!({ "slow_ms": 20_000 }).to_string()))?;
    fleet::send(slow).await?;
    let entry = fleet.entries.pop().context("no entry")?;
    let ask = |mut request: Request<Full<Bytes>>| -> Result<_> {
        *request.uri_mut() = format!("http://{}{}", entry.callers, request.uri().path()).parse()?;
        Ok(tokio::spawn(fleet::send(request)))
    };
    let call = ask(pay("late")?)?;
    let stream = ask(generate(6_000)?)?;
    while fleet.engine_count("started").await? < 2 {
        tokio::task::yield_now().await;
    }
    let mut process = entry.process;
    process.signal("TERM")?;
    let (status, text) = call.await??;
    // On a busy machine the signal may come before the call has reached its target.
    let outcome = if status == 502 { "unknown" } else { "not_run" };
    assert!(matches!(status, 502 | 503) && text.contains(outcome), "{status}: {text}");
    let (_, events) = stream.await??;
    let end = events.rsplit("event:").next().unwrap_or_default();
    assert!(end.trim_start().starts_with("error") && end.contains("unknown"), "{end}");
    assert_eq!(process.wait()?, Some(0));
    Ok(())
}
