//! Bodies of answers to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// The body of an answer to a caller.
#[derive(Debug)]
pub enum Answer {
    /// All of it is there.
    Whole(Full<Bytes>),
    /// It comes piece by piece.
    Stream(mpsc::Receiver<Result<Bytes, Broken>>),
}

/// A stream ends before it is whole. The connection is closed so that the caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the stream broke off")]
pub struct Broken;

impl Answer {
    /// A body that is there as a whole.
    pub fn whole(bytes: impl Into<Bytes>) -> Answer {
        Answer::Whole(Full::new(bytes.into()))
    }
}

impl Body for Answer {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        match self.get_mut() {
            Answer::Whole(body) => {
                Pin::new(body).poll_frame(context).map_err(|never| match never {})
            }
            Answer::Stream(pieces) => {
                pieces.poll_recv(context).map(|it| it.map(|it| it.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Answer::Whole(body) => body.is_end_stream(),
            Answer::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Answer::Whole(body) => body.size_hint(),
            Answer::Stream(_) => SizeHint::default(),
        }
    }
}
