//! A request whose body ends after its entry was told to stop.

use anyhow::{Context as _, Result};
use serde_json::json;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use crate::fleet::{self, Fleet};
use crate::{declarations, pay};

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
