//! What the listeners for callers, operators and peers share: bounded connections.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper_util::rt::TokioTimer;
use hyper_util::server::graceful::{GracefulConnection, GracefulShutdown};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The smallest bound of a request's head that the HTTP library accepts, in bytes.
pub const MIN_HEAD_BYTES: usize = 8_192;

/// Pause after the system refused to accept a connection, such as for too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Bounds of the connections of one listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Most connections at a time. More wait in the kernel's backlog. At least 1.
    pub connections: usize,
    /// Largest head of a request, in bytes. At least [`MIN_HEAD_BYTES`].
    pub head_bytes: usize,
    /// Most headers of a request.
    pub headers: usize,
    /// Longest wait for the head of a request, also on an idle connection.
    pub head_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            connections: 1_024,
            head_bytes: 16_384,
            headers: 64,
            head_timeout: Duration::from_secs(10),
        }
    }
}

impl Limits {
    /// How connections within the limits are served.
    pub fn http1(&self) -> http1::Builder {
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(self.head_timeout)
            .max_headers(self.headers)
            .max_buf_size(self.head_bytes.max(MIN_HEAD_BYTES));
        builder
    }
}

/// Accepts connections until `stop` is ready, serves each as `open` says, and closes the socket.
///
/// What is in progress then goes on until the returned [`GracefulShutdown`] is awaited.
pub async fn serve<C>(
    socket: TcpListener,
    limits: Limits,
    stop: impl Future<Output = ()>,
    open: impl Fn(TcpStream) -> C,
) -> GracefulShutdown
where
    C: GracefulConnection<Error: Send> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    let places = Arc::new(Semaphore::new(limits.connections));
    tokio::pin!(stop);
    loop {
        let (stream, place) = tokio::select! {
            biased;
            () = &mut stop => break,
            Some(accepted) = accept(&socket, &places) => accepted,
            else => break,
        };
        let connection = graceful.watch(open(stream));
        tokio::spawn(async move {
            // A connection that breaks off concerns nobody but its other end.
            drop(connection.await);
            drop(place);
        });
    }
    graceful
}

/// The next connection and its place. None only if the places were withdrawn.
async fn accept(
    socket: &TcpListener,
    places: &Arc<Semaphore>,
) -> Option<(TcpStream, OwnedSemaphorePermit)> {
    let place = Arc::clone(places).acquire_owned().await.ok()?;
    loop {
        match socket.accept().await {
            Ok((stream, _)) => {
                // Tokens are small and must not wait for an acknowledgement.
                drop(stream.set_nodelay(true));
                return Some((stream, place));
            }
            Err(error) => {
                log::warn!("cannot accept a connection: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
