//! Bodies of answers: whole ones and streams of events.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use decision::outcome::Outcome;
use futures_util::Stream;
use hyper::body::{Frame, SizeHint};

use crate::refusal::Kind;
use crate::{Event, Refusal};

/// The body of an answer.
pub(crate) enum Body<S> {
    /// A whole body, taken when it has been written.
    Whole(Option<Bytes>),
    /// Events until the first one that ends the stream.
    Events(Pin<Box<S>>),
    /// The event that ends the stream has been written.
    Ended,
}

impl<S: Stream<Item = Event>> Body<S> {
    /// The next event, or an explicit error if the stream ends without its end mark.
    fn poll_event(events: Pin<&mut S>, cx: &mut Context<'_>) -> Poll<Event> {
        let event = ready!(events.poll_next(cx));
        Poll::Ready(event.unwrap_or_else(|| {
            let message = "the stream broke off without its end mark";
            let refusal = Refusal::not_run(Kind::Broken, message).with_outcome(Outcome::Unknown);
            Event::Error(refusal)
        }))
    }
}

impl<S: Stream<Item = Event>> hyper::body::Body for Body<S> {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let event = match &mut *self {
            Body::Whole(data) => return Poll::Ready(data.take().map(|it| Ok(Frame::data(it)))),
            Body::Events(events) => ready!(Self::poll_event(events.as_mut(), cx)),
            Body::Ended => return Poll::Ready(None),
        };
        if event.is_last() {
            *self = Body::Ended;
        }
        Poll::Ready(Some(Ok(Frame::data(event.encode()))))
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Body::Whole(data) => data.as_ref().is_none_or(Bytes::is_empty),
            Body::Events(_) => false,
            Body::Ended => true,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Whole(data) => {
                let length = data.as_ref().map_or(0, Bytes::len);
                SizeHint::with_exact(u64::try_from(length).unwrap_or(u64::MAX))
            }
            Body::Events(_) | Body::Ended => SizeHint::default(),
        }
    }
}
