//! Calls whose responses don't come, or don't end.

use std::io::{Read as _, Result, Write as _};
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use gateway::error::Call;
use gateway::pool::{Pool, Settings};
use http::Request;
use http_body_util::Full;

/// Time limit of a call; far above what a response takes to begin.
const TIME_LIMIT: Duration = Duration::from_secs(2);

/// Calls a server that answers with `bytes` and then nothing more.
async fn call(bytes: &'static [u8]) -> Result<Option<Call>> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || -> Result<()> {
        let (mut stream, _) = listener.accept()?;
        // Bytes before the request would be no response to it.
        stream.read_exact(&mut [0; 4])?;
        stream.write_all(bytes)?;
        while stream.read(&mut [0; 1_024])? > 0 {}
        Ok(())
    });
    let pool = Pool::new(Settings::default());
    let request = Request::new(Full::default());
    Ok(pool.call(address, request, TIME_LIMIT, 1_000).await.err())
}

/// Guards against a reader that takes a slow answer for a server that is away.
#[tokio::test]
async fn a_response_that_does_not_end_is_told_from_none() -> Result<()> {
    assert!(matches!(call(b"").await?, Some(Call::Timeout)));
    let head = b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf";
    assert!(matches!(call(head).await?, Some(Call::Slow)));
    Ok(())
}
