//! Bodies of responses to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

use crate::memory::{Chunk, ReadAhead};

/// Largest number of chunks of a stream that are queued for a slow caller.
const MAX_QUEUED_CHUNKS: usize = 1_024;

/// The body of a response to a caller.
#[derive(Debug)]
pub(crate) struct Answer {
    content: Content,
}

#[derive(Debug)]
enum Content {
    /// The complete body.
    Whole(Full<Bytes>),
    /// A body that arrives in chunks.
    Stream(mpsc::Receiver<Result<Chunk, Truncated>>),
}

/// The error of a stream that ends before it is complete. It makes the server close the connection,
/// so that the caller notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the response stream ended before it was complete")]
pub(crate) struct Truncated;

/// The sending half of a streamed body. The caller may read the chunks later.
pub(crate) struct Sender {
    sender: mpsc::Sender<Result<Chunk, Truncated>>,
    ahead: ReadAhead,
}

/// The caller has closed its connection.
pub(crate) struct Disconnected;

/// Whether a chunk was sent at once or had to wait for the caller to read earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Delivery {
    Immediate,
    Delayed,
}

impl Sender {
    /// Queues `bytes` for the caller, waiting until there is room for them.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected.
    pub(crate) async fn send(&self, bytes: Bytes) -> Result<Delivery, Disconnected> {
        let chunk = self.ahead.buffer(bytes).await;
        let delivery = if chunk.has_waited { Delivery::Delayed } else { Delivery::Immediate };
        self.sender.send(Ok(chunk)).await.map_err(|_| Disconnected)?;
        Ok(delivery)
    }

    /// Ends the stream with an error, before it is complete.
    pub(crate) async fn fail(&self) {
        // A caller that has disconnected meanwhile needs no error.
        let _disconnected = self.sender.send(Err(Truncated)).await;
    }

    /// Waits until the caller has disconnected.
    pub(crate) async fn closed(&self) {
        self.sender.closed().await;
    }
}

impl Answer {
    /// Creates a body whose content is complete.
    pub(crate) fn whole(bytes: impl Into<Bytes>) -> Answer {
        Answer { content: Content::Whole(Full::new(bytes.into())) }
    }

    /// Creates a body that is sent in chunks, and the sender of these chunks.
    pub(crate) fn stream(ahead: ReadAhead) -> (Sender, Answer) {
        let (sender, chunks) = mpsc::channel(MAX_QUEUED_CHUNKS);
        let answer = Answer { content: Content::Stream(chunks) };
        (Sender { sender, ahead }, answer)
    }
}

impl Answer {
    /// Returns whether the body arrives in chunks.
    pub(crate) fn is_stream(&self) -> bool {
        matches!(self.content, Content::Stream(_))
    }
}

impl Body for Answer {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match &mut self.get_mut().content {
            Content::Whole(body) => {
                Pin::new(body).poll_frame(context).map_err(|never| match never {})
            }
            Content::Stream(chunks) => {
                let chunk = chunks.poll_recv(context);
                chunk.map(|it| it.map(|it| it.map(|it| Frame::data(it.bytes))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Whole(body) => body.is_end_stream(),
            Content::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(body) => body.size_hint(),
            Content::Stream(_) => SizeHint::default(),
        }
    }
}
