//! Socket of a connection to a target or to the store, which is reset when its request is given up.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Socket that throws away what it hasn't sent yet if its request is still open at its end. An
/// orderly end would deliver the request whenever the network lets it through.
#[derive(Debug)]
pub(crate) struct Socket {
    stream: TcpStream,
    request: Progress,
}

/// Whether a request is open on a connection: sent, and not answered completely. Clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Progress(Arc<AtomicBool>);

impl Progress {
    /// Records that a request is about to be sent.
    pub(crate) fn open(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    /// Records that the request is answered completely.
    pub(crate) fn complete(&self) {
        self.0.store(false, Ordering::Relaxed);
    }

    fn is_open(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

impl Socket {
    /// Returns the socket of `stream`, on which `request` tells of the requests.
    pub(crate) fn new(stream: TcpStream, request: Progress) -> Socket {
        Socket { stream, request }
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        if self.request.is_open() {
            // Fails only on a socket that is closed already, which sends nothing more.
            let _result = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.request.is_open() {
            // The reset follows as the socket is dropped.
            true => Poll::Ready(Ok(())),
            false => Pin::new(&mut self.stream).poll_shutdown(context),
        }
    }
}
