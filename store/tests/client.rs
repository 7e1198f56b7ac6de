//! What the client concludes from the platform's answers, and from their loss.

use std::net::SocketAddr;
use std::time::Duration;

use decision::head::{Generation, Head};
use rstest::rstest;
use store::client::{Client, Settings};
use store::count::Call;
use store::token::Token;
use store::{Error, Kind, Reading, Store, Version};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Reads one request whose body, if it has one, ends with a bracket.
#[cfg(test)]
async fn read(stream: &mut TcpStream) -> String {
    let mut request = Vec::new();
    loop {
        stream.read_buf(&mut request).await.unwrap();
        let text = String::from_utf8_lossy(&request);
        let whole = if text.contains("content-length") { "]" } else { "\r\n\r\n" };
        if text.ends_with(whole) || text.ends_with('}') {
            return text.into_owned();
        }
    }
}

/// Answers each connection with the next of `answers`; an empty one closes it.
/// Gives back the requests as text.
#[cfg(test)]
async fn serve(answers: Vec<String>) -> (SocketAddr, tokio::task::JoinHandle<Vec<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let served = tokio::spawn(async move {
        let mut requests = Vec::new();
        for answer in answers {
            let (mut stream, _) = listener.accept().await.unwrap();
            requests.push(read(&mut stream).await);
            stream.write_all(answer.as_bytes()).await.unwrap();
        }
        requests
    });
    (address, served)
}

fn answer(status: u16, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status} X\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}")
}

#[cfg(test)]
fn client(address: SocketAddr) -> Client {
    let address = format!("http://{address}");
    let token = Some(Token::new("secret"));
    Client::new(Settings { address, token, ..Settings::default() }).unwrap()
}

async fn put(answers: Vec<String>) -> Result<Version, Error> {
    let (address, _served) = serve(answers).await;
    let head = Head { generation: Generation(1), ..Head::default() };
    client(address).put(Kind::Configuration, Kind::HEAD, Version(3), &head).await
}

#[tokio::test]
async fn a_write_carries_version_token_and_value() {
    let (address, served) = serve(vec![answer(200, r#"{"version":4}"#)]).await;
    let client = client(address);
    let version = client.put(Kind::Claim, "7", Version(3), &["x"]).await.unwrap();
    assert_eq!(version, Version(4));
    let request = served.await.unwrap().remove(0);
    assert!(request.starts_with("PUT /objects/claim/7?version=3 HTTP/1.1"), "{request}");
    assert!(request.contains("authorization: Bearer secret"), "{request}");
    assert!(request.ends_with(r#"["x"]"#), "{request}");
    assert_eq!(client.counter().total(Call::Put), 1);
    assert!(!format!("{client:?}").contains("secret"));
}

/// Guards against odd objects that make a list, or changes, unreadable.
#[rstest]
#[case::other_type("7")]
#[case::huge_number("1e999")]
#[case::deep(&format!("{}{}", "[".repeat(100_000), "]".repeat(100_000)))]
#[case::nothing("{}")]
#[tokio::test]
async fn an_odd_object_hides_no_other(#[case] odd: &str) {
    let objects = format!(
        r#"{{"revision":9,"objects":[{{"name":"a","version":1,"value":{odd}}},{{"name":"b","version":2,"value":["x"]}}]}}"#
    );
    let (address, _served) = serve(vec![answer(200, &objects), answer(200, &objects)]).await;
    let client = client(address);
    let list = client.list::<Reading<Vec<String>>>(Kind::Instance).await.unwrap();
    let read: Vec<bool> = list.objects.iter().map(|it| it.value.0.is_ok()).collect();
    assert_eq!(read, [false, true]);
    let wait = Duration::from_millis(1);
    let changes = client.watch::<Reading<Vec<String>>>(Kind::Instance, Version(0), wait).await;
    let values = changes.unwrap().objects.into_iter().filter_map(|it| it.value);
    assert_eq!(values.map(|it| it.0.is_ok()).collect::<Vec<bool>>(), [false, true]);
}

#[rstest]
#[case::stale(answer(409, r#"{"version":9}"#), "at version 9")]
#[case::too_large(answer(413, ""), "more than the store takes")]
#[case::down(answer(503, ""), "is unavailable")]
#[case::wrong_token(answer(401, ""), "refused PUT /objects/configuration/head")]
#[case::bad_conflict(answer(409, "no"), "cannot be read")]
#[tokio::test]
async fn an_answer_that_says_nothing_was_written(#[case] answer: String, #[case] message: &str) {
    let error = put(vec![answer]).await.unwrap_err();
    assert!(!matches!(error, Error::Unknown { .. }), "{error}");
    assert!(error.to_string().contains(message), "{error}");
}

#[rstest]
#[case::closed(String::new())]
#[case::broken_head("HTTP/1.1 2".to_owned())]
#[case::broken_body("HTTP/1.1 200 X\r\ncontent-length: 99\r\n\r\n{".to_owned())]
#[case::bad_body(answer(200, "no"))]
#[case::gateway(answer(502, ""))]
#[tokio::test]
async fn a_write_without_a_whole_answer_is_unknown(#[case] answer: String) {
    let error = put(vec![answer]).await.unwrap_err();
    assert!(matches!(error, Error::Unknown { .. }), "{error}");
}

#[tokio::test]
async fn a_write_that_is_never_answered_is_unknown() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = format!("http://{}", listener.local_addr().unwrap());
    let settings = Settings { address, timeout_ms: 50, ..Settings::default() };
    let client = Client::new(settings).unwrap();
    let error = client.delete(Kind::Claim, "7", Version(1)).await.unwrap_err();
    assert!(matches!(error, Error::Unknown { .. }), "{error}");
}

#[tokio::test]
async fn a_write_without_a_connection_is_unavailable() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let error = client(address).delete(Kind::Claim, "7", Version(1)).await.unwrap_err();
    assert!(matches!(error, Error::Unavailable { .. }), "{error}");
}

#[rstest]
#[case::absent(answer(404, ""), "none")]
#[case::down(answer(503, ""), "unavailable")]
#[case::closed(String::new(), "unavailable")]
#[case::bad_body(answer(200, r#"{"name":"head"}"#), "cannot be read")]
#[tokio::test]
async fn a_read(#[case] answer: String, #[case] message: &str) {
    let (address, _served) = serve(vec![answer]).await;
    let seen = match client(address).get::<Head>(Kind::Configuration, Kind::HEAD).await {
        Ok(Some(object)) => format!("{object:?}"),
        Ok(None) => "none".to_owned(),
        Err(error) => error.to_string(),
    };
    assert!(seen.contains(message), "{seen}");
}

#[tokio::test]
async fn a_watch_reads_changes_and_deletions() {
    let body = r#"{"revision":9,"objects":[{"name":"a","version":8,"value":[1]},
        {"name":"b","version":9,"value":null}]}"#;
    let (address, served) = serve(vec![answer(200, body)]).await;
    let wait = Duration::from_millis(2);
    let changes = client(address).watch::<Vec<u8>>(Kind::Claim, Version(7), wait).await.unwrap();
    assert_eq!(changes.revision, Version(9));
    let values: Vec<_> = changes.objects.into_iter().map(|change| change.value).collect();
    assert_eq!(values, [Some(vec![1]), None]);
    let request = served.await.unwrap().remove(0);
    assert!(request.starts_with("GET /watch/claim?revision=7&wait_ms=2 "), "{request}");
}

#[tokio::test]
async fn an_answer_above_the_limit_is_not_read() {
    let (address, _served) = serve(vec![answer(200, &"[".repeat(2_000))]).await;
    let address = format!("http://{address}");
    let client = Client::new(Settings { address, answer_bytes: 1_000, ..Settings::default() });
    let error = client.unwrap().list::<Head>(Kind::Claim).await.unwrap_err();
    assert!(error.to_string().contains("answer not read"), "{error}");
}

#[tokio::test]
async fn a_value_above_a_mebibyte_is_not_sent() {
    let client = client("127.0.0.1:1".parse().unwrap());
    let value = "x".repeat(1 << 20);
    let error = client.put(Kind::Claim, "7", Version(1), &value).await.unwrap_err();
    assert!(matches!(error, Error::Large { bytes: 1_048_578, .. }), "{error}");
}

#[rstest]
#[case("../head")]
#[case("a b")]
#[case("..")]
#[case("")]
#[tokio::test]
async fn a_name_that_would_change_the_path_is_not_sent(#[case] name: &str) {
    let client = client("127.0.0.1:1".parse().unwrap());
    let error = client.get::<Head>(Kind::Claim, name).await.unwrap_err();
    assert!(matches!(error, Error::Name(_)), "{error}");
}

#[rstest]
#[case("10.0.0.1:7000")]
#[case("https://10.0.0.1")]
#[case("http://10.0.0.1/x")]
fn an_address_that_is_no_http_address_is_refused(#[case] address: &str) {
    let settings = Settings { address: address.to_owned(), ..Settings::default() };
    let error = Client::new(settings).unwrap_err();
    assert!(error.to_string().contains(address), "{error}");
}
