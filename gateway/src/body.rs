//! Bodies of answers to callers.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

use crate::memory::{Chunk, ReadAhead};

/// Pieces of a stream that wait for a slow caller.
const PIECES: usize = 1_024;

/// The body of an answer to a caller.
#[derive(Debug)]
pub(crate) struct Answer {
    content: Content,
    /// Counts the answer as unfinished at its connection.
    _open: Option<Arc<()>>,
}

#[derive(Debug)]
enum Content {
    /// All of it is there.
    Whole(Full<Bytes>),
    /// It comes piece by piece.
    Stream(mpsc::Receiver<Result<Chunk, Broken>>),
}

/// A stream ends before it is whole. The connection is closed so that the caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the stream broke off")]
pub(crate) struct Broken;

/// Where the pieces of a stream go, which its caller reads when it can.
pub(crate) struct Pieces {
    sender: mpsc::Sender<Result<Chunk, Broken>>,
    ahead: ReadAhead,
}

/// The caller has left.
pub(crate) struct Left;

/// Whether a stream had to wait for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Passed {
    AtOnce,
    AfterWaiting,
}

impl Pieces {
    /// Passes `bytes` on, once there is room for them.
    ///
    /// # Errors
    ///
    /// If the caller has left.
    pub(crate) async fn send(&self, bytes: Bytes) -> Result<Passed, Left> {
        let piece = self.ahead.buffer(bytes).await;
        let passed = if piece.has_waited { Passed::AfterWaiting } else { Passed::AtOnce };
        self.sender.send(Ok(piece)).await.map_err(|_| Left)?;
        Ok(passed)
    }

    /// Ends the stream before it is whole.
    pub(crate) async fn fail(&self) {
        // If the caller left meanwhile, nobody has to be told.
        let _left = self.sender.send(Err(Broken)).await;
    }

    /// Waits until the caller has left.
    pub(crate) async fn closed(&self) {
        self.sender.closed().await;
    }
}

impl Answer {
    /// A body that is there as a whole.
    pub(crate) fn whole(bytes: impl Into<Bytes>) -> Answer {
        Answer { content: Content::Whole(Full::new(bytes.into())), _open: None }
    }

    /// A body that comes piece by piece, and where its pieces go.
    pub(crate) fn stream(ahead: ReadAhead) -> (Pieces, Answer) {
        let (sender, pieces) = mpsc::channel(PIECES);
        let answer = Answer { content: Content::Stream(pieces), _open: None };
        (Pieces { sender, ahead }, answer)
    }

    /// Holds `open` until the body has been sent or dropped.
    pub(crate) fn holding(self, open: Arc<()>) -> Answer {
        Answer { _open: Some(open), ..self }
    }
}

impl Body for Answer {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        match &mut self.get_mut().content {
            Content::Whole(body) => {
                Pin::new(body).poll_frame(context).map_err(|never| match never {})
            }
            Content::Stream(pieces) => {
                let piece = pieces.poll_recv(context);
                piece.map(|it| it.map(|it| it.map(|it| Frame::data(it.bytes))))
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
