//! Calls of plain services against a scripted listener that counts what reaches it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use decision::outcome::Progress;
use http::{HeaderMap, Method, StatusCode};
use target::call::{Call, Client};
use target::connection::Open;
use target::error::Reason;
use target::{Error, Settings};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const BUSY: &str =
    "HTTP/1.1 503 Service Unavailable\r\nx-not-run: true\r\ncontent-length: 0\r\n\r\n";
const FAILED: &str = "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";
const LONG: &str = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nmore than";
const CUT: &str = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\ncut";
const CUT_HEAD: &str = "HTTP/1.1 200 OK\r\nx-a: b\r\n";

/// Time after which a call counts as one that never ends.
const PATIENCE: Duration = Duration::from_secs(5);

/// Answers the requests of each connection with `answers` in turn, then closes the connection
/// when the next request has come. Counts the requests.
async fn listen(
    answers: &'static [&'static str],
) -> std::io::Result<(SocketAddr, Arc<AtomicUsize>)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let seen = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&seen);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer(stream, answers, Arc::clone(&count)));
        }
    });
    Ok((address, seen))
}

async fn answer(mut stream: TcpStream, answers: &[&str], count: Arc<AtomicUsize>) {
    let mut buffer = vec![0; 4096];
    for text in answers {
        if !request(&mut stream, &mut buffer).await {
            return;
        }
        count.fetch_add(1, Ordering::SeqCst);
        if stream.write_all(text.as_bytes()).await.is_err() || [CUT, CUT_HEAD].contains(text) {
            return;
        }
    }
    if request(&mut stream, &mut buffer).await {
        count.fetch_add(1, Ordering::SeqCst);
    }
}

/// Reads one request whose body ends with `}`.
async fn request(stream: &mut TcpStream, buffer: &mut [u8]) -> bool {
    let mut length = 0;
    loop {
        let Ok(read) = stream.read(&mut buffer[length..]).await else {
            return false;
        };
        if read == 0 {
            return false;
        }
        length += read;
        if buffer[..length].ends_with(b"}") {
            return true;
        }
    }
}

fn call() -> Call {
    Call {
        method: Method::POST,
        path: "/reports".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::from_static(b"{\"slot\":1}"),
    }
}

fn client() -> Client {
    Client::new(&Settings { body_bytes: 8, ..Settings::default() })
}

#[tokio::test]
async fn a_request_on_a_pooled_connection_that_closes_is_seen_once() {
    let (address, seen) = listen(&[OK]).await.unwrap();
    let client = client();
    client.call(address, call(), Open).await.unwrap();
    tokio::time::sleep(Duration::from_millis(20)).await;
    let error = client.call(address, call(), Open).await.unwrap_err();
    assert!(matches!(error, Error::Lost { .. }), "{error}");
    assert_eq!(error.progress(), Progress::Sent);
    assert_eq!(seen.load(Ordering::SeqCst), 2);
}

#[tokio::test]
async fn a_refused_connection_proves_that_nothing_was_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let error = client().call(address, call(), Open).await.unwrap_err();
    assert!(matches!(error, Error::Unsent { .. }), "{error}");
}

#[rstest::rstest]
#[case::declined(&[BUSY], Progress::Declined)]
#[case::unclear_status(&[FAILED], Progress::Answered)]
#[case::closed(&[], Progress::Sent)]
#[case::too_long(&[LONG], Progress::Sent)]
#[case::cut(&[CUT], Progress::Sent)]
#[tokio::test]
async fn progress_tells_failures_apart(
    #[case] answers: &'static [&'static str],
    #[case] progress: Progress,
) {
    let (address, _) = listen(answers).await.unwrap();
    let found = match client().call(address, call(), Open).await {
        Ok(answer) => {
            assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
            Progress::Answered
        }
        Err(error) => error.progress(),
    };
    assert_eq!(found, progress);
}

/// Guards against answers that are taken although their heads break the protocol or break off.
#[rstest::rstest]
#[case::cut(CUT_HEAD)]
#[case::status_of_zeros("HTTP/1.1 000 Odd\r\ncontent-length: 2\r\n\r\nok")]
#[case::status_above_all("HTTP/1.1 600 Odd\r\ncontent-length: 2\r\n\r\nok")]
#[case::switched_protocol("HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\n\r\n")]
#[case::blank_in_name("HTTP/1.1 200 OK\r\nodd name: x\r\ncontent-length: 2\r\n\r\nok")]
#[case::control_in_name("HTTP/1.1 200 OK\r\nodd\u{1}name: x\r\ncontent-length: 2\r\n\r\nok")]
#[case::coding_after_chunks(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked, x\r\n\r\n2\r\nok\r\n0\r\n\r\n"
)]
#[case::coding_before_chunks(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: x, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
)]
#[tokio::test]
async fn an_answer_whose_head_breaks_the_protocol_is_none(#[case] answer: &'static str) {
    let (address, _) = listen(Box::leak(Box::new([answer]))).await.unwrap();
    let error = client().call(address, call(), Open).await.unwrap_err();
    assert_eq!(error.progress(), Progress::Sent, "{error}");
}

#[tokio::test]
async fn a_decline_carries_its_reason() {
    let (address, _) = listen(&[BUSY]).await.unwrap();
    let error = client().call(address, call(), Open).await.unwrap_err();
    assert!(matches!(error, Error::Declined { reason: Reason::Other, .. }), "{error}");
}

#[tokio::test]
async fn a_gate_that_closes_before_the_bytes_leave_keeps_the_target_unaware() {
    let (address, seen) = listen(&[OK]).await.unwrap();
    let asked = AtomicUsize::new(0);
    // Open when the call starts, closed when the connection stands.
    let gate = move || asked.fetch_add(1, Ordering::SeqCst) == 0;
    let client = Client::new(&Settings::default());
    let error = client.call(address, call(), gate).await.unwrap_err();
    assert!(matches!(error, Error::Withheld { .. }), "{error}");
    assert_eq!(error.progress(), Progress::Unsent);
    assert_eq!(seen.load(Ordering::SeqCst), 0);
}

/// Guards against heads without end, which are kept until they are complete.
#[tokio::test]
async fn a_head_without_end_is_given_up_at_its_limit() {
    let head: &str = format!("HTTP/1.1 200 OK\r\nx: {}", "x".repeat(20_000)).leak();
    let (address, _) = listen(Box::leak(Box::new([head]))).await.unwrap();
    let called = tokio::time::timeout(PATIENCE, client().call(address, call(), Open)).await;
    let error = called.expect("the head is given up").unwrap_err();
    assert!(matches!(error, Error::Lost { .. }), "{error}");
}
