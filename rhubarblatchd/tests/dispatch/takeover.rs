//! Streams that another engine takes over, which answers otherwise than it should.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

use anyhow::Result;
use caller::Event;
use futures_util::StreamExt as _;
use rstest::rstest;
use serde_json::Value;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

use super::support::{self, bind, entry, target};

const TOKENS: u64 = 6;

/// Answers of engines to what they are asked to generate, in order. `$A` stands for the attempt.
type Script = Arc<Mutex<VecDeque<String>>>;

fn answer(status: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nconnection: close\r\n\r\n{body}")
}

fn tokens(from: u64, to: u64) -> String {
    (from..to).map(|it| format!("{{$A,\"offset\":{it},\"token\":\"t{it}\"}}\n")).collect()
}

/// The rest of the stream, with its end mark.
fn rest(from: u64) -> String {
    answer("200 OK", &format!("{}{{$A,\"end\":{TOKENS}}}\n", tokens(from, TOKENS)))
}

async fn serve(listener: TcpListener, script: Script) -> Result<()> {
    loop {
        let (stream, _) = listener.accept().await?;
        tokio::spawn(exchange(stream, script.clone()));
    }
}

/// An engine that knows no attempt which is to be resumed.
async fn exchange(mut stream: TcpStream, script: Script) -> Result<()> {
    let mut bytes = vec![0; 8_192];
    let length = stream.read(&mut bytes).await?;
    let text = String::from_utf8_lossy(&bytes[..length]);
    let order: Option<Value> = text
        .strip_prefix("POST /generate ")
        .and_then(|it| it.split_once("\r\n\r\n"))
        .and_then(|(_, body)| serde_json::from_str(body).ok());
    let answer = match order {
        Some(order) => {
            let attempt =
                format!("\"request\":{},\"attempt\":{}", order["request"], order["attempt"]);
            let next = script.lock().expect("no panic under the lock").pop_front();
            next.unwrap_or_default().replace("$A", &attempt)
        }
        None => answer("404 Not Found", ""),
    };
    Ok(stream.write_all(answer.as_bytes()).await?)
}

#[rstest]
#[case::error_with_tokens(answer("500 Internal Server Error", &tokens(3, TOKENS)))]
#[case::error_with_end(answer("502 Bad Gateway", "{$A,\"end\":3}\n"))]
#[case::other_success(answer("206 Partial Content", &tokens(3, TOKENS)))]
#[case::nothing(answer("200 OK", ""))]
#[case::no_content("HTTP/1.1 204 No Content\r\n\r\n".to_owned())]
#[case::page(answer("200 OK", "<p>error</p>\n"))]
#[case::json(answer("200 OK", "{\"error\":\"x\"}\n"))]
#[case::head(answer("200 OK", "HTTP/1.1 500 x\r\n\r\nfailed\n"))]
#[case::other_request(answer(
    "200 OK",
    "{\"request\":1,\"attempt\":2,\"offset\":3,\"token\":\"x\"}\n"
))]
#[case::earlier_attempt(answer("200 OK", "{\"request\":1,\"attempt\":1,\"end\":3}\n"))]
#[case::gap(answer("200 OK", &tokens(4, TOKENS)))]
#[case::early_end(answer("200 OK", "{$A,\"end\":9}\n"))]
#[case::from_the_start(answer("200 OK", &tokens(0, 3)))]
#[case::no_http("sorry\r\n\r\n".to_owned())]
#[tokio::test]
async fn a_caller_sees_nothing_of_an_engine_that_does_not_continue_its_stream(
    #[case] wrong: String,
) -> Result<()> {
    let (_store, store) = support::store().await?;
    let broken = answer("200 OK", &(tokens(0, 3) + "{$A,\"offset\":3,\"tok"));
    let script: Script = Arc::new(Mutex::new([broken, wrong, rest(3)].into()));
    let mut targets = Vec::new();
    for name in ["chat-1", "chat-2", "chat-3"] {
        let (listener, address) = bind().await?;
        tokio::spawn(serve(listener, script.clone()));
        targets.push(target(name, "chat", address)?);
    }
    let entry = entry(store, &targets)?;
    let events: Vec<Event> = entry.generate(TOKENS).await?.collect().await;
    let token = |offset: u64| Event::Token { offset, token: format!("t{offset}") };
    let whole = (0..TOKENS).map(token).chain([Event::End { tokens: TOKENS }]);
    assert_eq!(events, whole.collect::<Vec<Event>>());
    Ok(())
}
