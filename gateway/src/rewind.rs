//! A connection of which some bytes were read ahead.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Buf as _, Bytes};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A connection that first yields the bytes that were read ahead.
#[derive(Debug)]
pub struct Rewind<T> {
    read_ahead: Bytes,
    inner: T,
}

impl<T> Rewind<T> {
    /// Returns a connection of which `read_ahead` was read.
    pub fn new(read_ahead: Bytes, inner: T) -> Rewind<T> {
        Rewind { read_ahead, inner }
    }

    /// Returns what is left of the bytes that were read ahead, and the connection.
    pub fn into_parts(self) -> (Bytes, T) {
        (self.read_ahead, self.inner)
    }

    /// Returns the connection itself.
    pub fn inner(&self) -> &T {
        &self.inner
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Rewind<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.read_ahead.is_empty() {
            return Pin::new(&mut self.inner).poll_read(context, buffer);
        }
        let length = self.read_ahead.len().min(buffer.remaining());
        buffer.put_slice(&self.read_ahead[..length]);
        self.read_ahead.advance(length);
        Poll::Ready(Ok(()))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Rewind<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
