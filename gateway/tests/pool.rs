//! What the connections of the pool read, and what they leave behind.

#![cfg(test)]

use std::io::ErrorKind;
use std::time::Duration;

use bytes::Bytes;
use gateway::error::Call;
use gateway::pool::{Connection, Pool, Settings};
use http::Request;
use http_body_util::{BodyExt as _, Full};
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Longest wait for what must happen.
const PATIENCE: Duration = Duration::from_secs(20);

/// More than the sockets of a connection hold.
const LARGE_BYTES: usize = 32 << 20;

/// More than a head may have.
const LONG_HEAD_BYTES: usize = 20 << 10;

fn request(bytes: usize) -> Request<Full<Bytes>> {
    Request::post("/x").body(Full::new(Bytes::from(vec![b'x'; bytes]))).expect("a request")
}

/// Sends a request to a server that answers with `answer`, gives it up, and returns how the
/// connection ends for the server.
async fn give_up(answer: &'static str) -> std::io::Result<usize> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut head = [0; 16];
        stream.read_exact(&mut head).await.expect("a request");
        stream.write_all(answer.as_bytes()).await.expect("an open connection");
        let mut rest = Vec::new();
        timeout(PATIENCE, stream.read_to_end(&mut rest)).await.expect("the connection ends")
    });
    let pool = Pool::new(Settings::default());
    let sent = pool.send(address, request(1), Connection::Reused);
    let reply = timeout(Duration::from_millis(200), sent).await;
    drop(reply);
    server.await.expect("no panic")
}

/// Guards against requests that arrive after they were given up, as a cut held them up.
#[rstest]
#[case::before_an_answer("")]
#[case::in_an_answer("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")]
#[case::in_a_stream("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")]
#[tokio::test]
async fn a_request_that_is_given_up_is_reset(#[case] answer: &'static str) {
    let ended = give_up(answer).await;
    assert_eq!(ended.expect_err("a reset").kind(), ErrorKind::ConnectionReset);
}

/// Guards against requests that arrive long after they were sent, though nobody gave them up.
#[tokio::test]
async fn a_request_that_its_target_does_not_acknowledge_fails() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let bound = Some(Duration::from_millis(300));
    let pool = Pool::new(Settings { unacknowledged_timeout: bound, ..Settings::default() });
    let sent = pool.send(address, request(LARGE_BYTES), Connection::New);
    let reply = timeout(PATIENCE, sent).await.expect("it ends by itself");
    assert!(reply.is_err());
}

/// Reads a request of `bytes` and answers it.
async fn answer(stream: &mut TcpStream, bytes: usize) -> std::io::Result<()> {
    let mut text = Vec::new();
    while !text.ends_with(b"x".repeat(bytes).as_slice()) {
        let mut piece = [0; 1_024];
        let count = stream.read(&mut piece).await?;
        text.extend_from_slice(&piece[..count]);
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").await
}

/// Guards against resets of connections whose requests were answered.
#[tokio::test]
async fn a_connection_whose_request_is_answered_is_kept_and_closed_in_order() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        for _ in 0..2 {
            answer(&mut stream, 5).await.expect("a request");
        }
        let mut rest = Vec::new();
        timeout(PATIENCE, stream.read_to_end(&mut rest)).await.expect("the connection ends")
    });
    let pool = Pool::new(Settings::default());
    for _ in 0..2 {
        let call = pool.call(address, request(5), PATIENCE, 100);
        assert_eq!(call.await.expect("an answer").body(), "ok");
    }
    pool.close_idle(address);
    assert_eq!(server.await.expect("no panic").expect("an orderly end"), 0);
}

/// Guards against heads without end, which are kept until they are complete.
#[tokio::test]
async fn a_head_without_end_is_given_up_at_its_limit() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let target = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let head = [b"HTTP/1.1 200 OK\r\nX: ", &vec![b'x'; LONG_HEAD_BYTES][..]].concat();
        drop(stream.write_all(&head).await);
        std::future::pending::<()>().await;
    });
    let pool = Pool::new(Settings::default());
    let sent = timeout(PATIENCE, pool.send(address, request(0), Connection::New)).await;
    let result = sent.expect("the head is given up");
    assert!(matches!(result, Err(Call::Large)), "{:?}", result.map(|it| it.status()));
    target.abort();
}

/// Guards against idle connections that a request on a new one uses up.
#[tokio::test]
async fn a_request_on_a_new_connection_leaves_the_idle_one() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let server = tokio::spawn(async move {
        let (mut kept, _) = listener.accept().await.expect("a connection");
        answer(&mut kept, 5).await.expect("a request");
        let (mut other, _) = listener.accept().await.expect("a second connection");
        answer(&mut other, 5).await.expect("a request");
        timeout(PATIENCE, answer(&mut kept, 5)).await.expect("the first one is used again")
    });
    let pool = Pool::new(Settings { max_idle: 1, ..Settings::default() });
    for connection in [Connection::Reused, Connection::New, Connection::Reused] {
        let reply = pool.send(address, request(5), connection).await.expect("an answer");
        let body = reply.into_body().collect().await.expect("a whole body");
        assert_eq!(body.to_bytes(), "ok");
    }
    server.await.expect("no panic").expect("a third request");
}
