//! What the listener answers, and to whom.

use std::future::ready;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use decision::head::Generation;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use operator::change::{Applied, Change, Configuration};
use operator::entry::{Entries, Forget};
use operator::listener::{self, Settings};
use operator::status::{Explanation, Status};
use operator::{Handler, Refusal};
use rstest::rstest;
use store::token::Token;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Longest wait for what must come.
const PATIENCE: Duration = Duration::from_secs(30);

/// Accepts every change.
#[derive(Clone)]
struct Daemon;

impl Handler for Daemon {
    async fn configuration(&self) -> Result<Configuration, Refusal> {
        Ok(Configuration { generation: Generation(7), declarations: Vec::new() })
    }

    async fn change(&self, change: Change) -> Result<Applied, Refusal> {
        Ok(Applied { generation: Generation(change.base.0 + 1), changed: Vec::new() })
    }

    async fn entries(&self) -> Entries {
        Entries { generation: Generation(7), entries: Vec::new() }
    }

    async fn forget(&self, forget: Forget) -> Result<Applied, Refusal> {
        Ok(Applied { generation: Generation(forget.base.0 + 1), changed: Vec::new() })
    }

    async fn status(&self) -> Status {
        Status { generation: Generation(7), ..Status::default() }
    }

    async fn explain(&self, kind: &str, name: &str) -> Result<Explanation, Refusal> {
        Err(Refusal::Absent { path: format!("{kind}/{name}") })
    }

    fn metrics(&self) -> String {
        "calls 1\n".to_owned()
    }

    fn is_ready(&self) -> bool {
        false
    }
}

#[cfg(test)]
async fn start(settings: Settings) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let stop = std::future::pending();
    tokio::spawn(listener::serve(listener, Daemon, Token::new("secret"), settings, stop));
    address
}

#[cfg(test)]
async fn call(settings: Settings, token: &str, line: &str, body: &str) -> (StatusCode, String) {
    let address = start(settings).await;
    let (method, path) = line.split_once(' ').unwrap();
    let request = Request::builder().method(method).uri(format!("http://{address}{path}"));
    let request =
        request.header("authorization", token).body(Full::new(Bytes::from(body.to_owned())));
    let client = Client::builder(TokioExecutor::new()).build_http();
    let response = client.request(request.unwrap()).await.unwrap();
    let status = response.status();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    (status, String::from_utf8(body.to_vec()).unwrap())
}

const FORGET: &str = r#"{"base":7,"nonce":1,"entries":{"entry-1":5},"force":false}"#;
const CHANGE: &str = r#"{"base":7,"nonce":1,"edits":[]}"#;

#[rstest]
#[case::configuration("GET /v1/configuration", "", 200, r#"{"generation":7,"declarations":[]}"#)]
#[case::change("POST /v1/configuration", CHANGE, 200, r#"{"generation":8,"changed":[]}"#)]
#[case::entries("GET /v1/entries", "", 200, r#"{"generation":7,"entries":[]}"#)]
#[case::forget("POST /v1/entries/forget", FORGET, 200, r#"{"generation":8,"changed":[]}"#)]
#[case::status("GET /v1/status", "", 200, r#""generation":7"#)]
#[case::explain(
    "GET /v1/explain/replica/r-1",
    "",
    404,
    r#"{"type":"absent","path":"replica/r-1"}"#
)]
#[case::metrics("GET /metrics", "", 200, "calls 1")]
#[case::health("GET /healthz", "", 200, "")]
#[case::ready("GET /readyz", "", 503, "")]
#[case::path("GET /v2", "", 404, r#"{"type":"absent","path":"/v2"}"#)]
#[case::method("DELETE /v1/configuration", "", 404, "absent")]
#[case::malformed("POST /v1/configuration", "{", 400, r#"{"type":"malformed""#)]
#[case::unknown_field(
    "POST /v1/configuration",
    r#"{"base":1,"nonce":1,"edits":[],"x":1}"#,
    400,
    "unknown field `x`"
)]
#[tokio::test]
async fn the_listener(
    #[case] line: &str,
    #[case] body: &str,
    #[case] status: u16,
    #[case] expected: &str,
) {
    let (seen, text) = call(Settings::default(), "Bearer secret", line, body).await;
    assert_eq!(seen, status, "{text}");
    assert!(text.contains(expected), "{text}");
}

#[rstest]
#[case("Bearer secre")]
#[case("Bearer secrets")]
#[case("Bearer ")]
#[case("secret")]
#[tokio::test]
async fn a_wrong_token_gets_nothing(
    #[case] token: &str,
    #[values(
        "GET /v1/status",
        "GET /metrics",
        "POST /v1/configuration",
        "POST /v1/entries/forget"
    )]
    line: &str,
) {
    let (status, text) = call(Settings::default(), token, line, CHANGE).await;
    assert_eq!((status, text.as_str()), (StatusCode::UNAUTHORIZED, r#"{"type":"unauthorized"}"#));
}

#[rstest]
#[case::large(Settings { body_bytes: 10, ..Settings::default() }, 413)]
#[case::busy(Settings { calls: 0, ..Settings::default() }, 503)]
#[tokio::test]
async fn a_call_above_the_limits_is_refused(#[case] settings: Settings, #[case] status: u16) {
    let (seen, text) = call(settings, "Bearer secret", "POST /v1/configuration", CHANGE).await;
    assert_eq!(seen, status, "{text}");
}

#[tokio::test]
async fn a_body_that_does_not_come_is_refused() {
    let body_timeout = Duration::from_millis(50);
    let address = start(Settings { body_timeout, ..Settings::default() }).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = "POST /v1/configuration HTTP/1.1\r\nhost: x\r\nauthorization: Bearer secret\r\n\
        connection: close\r\ncontent-length: 10\r\n\r\n{";
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut text = String::new();
    timeout(PATIENCE, stream.read_to_string(&mut text)).await.unwrap().unwrap();
    assert!(text.starts_with("HTTP/1.1 400 ") && text.contains("did not come within"), "{text}");
}

#[tokio::test]
async fn the_listener_stops() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let settings = Settings::default();
    listener::serve(listener, Daemon, Token::new("secret"), settings, ready(())).await;
}
