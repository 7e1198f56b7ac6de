//! Bodies of answers to callers.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

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
    Stream(mpsc::Receiver<Result<Bytes, Broken>>),
}

/// A stream ends before it is whole. The connection is closed so that the caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the stream broke off")]
pub(crate) struct Broken;

impl Answer {
    /// A body that is there as a whole.
    pub(crate) fn whole(bytes: impl Into<Bytes>) -> Answer {
        Answer { content: Content::Whole(Full::new(bytes.into())), _open: None }
    }

    /// A body that comes piece by piece.
    pub(crate) fn stream(pieces: mpsc::Receiver<Result<Bytes, Broken>>) -> Answer {
        Answer { content: Content::Stream(pieces), _open: None }
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
                pieces.poll_recv(context).map(|it| it.map(|it| it.map(Frame::data)))
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
