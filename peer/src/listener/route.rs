//! Takes one call of a peer to the handler.

use bytes::Bytes;
use decision::gossip::Ask;
use http::header::AUTHORIZATION;
use http::{HeaderMap, Method, Request, Response};
use http_body_util::{BodyExt, Either, Full, LengthLimitError, Limited};
use hyper::body::Incoming;

use super::count::Counter;
use super::{Handler, Listener, Refusal};
use crate::forward;
use crate::wire::{self, Frame};

/// The body of any answer: whole, or streamed by the handler.
pub(crate) type Answering<S> = Either<Full<Bytes>, S>;

impl<H: Handler> Listener<H> {
    pub(crate) async fn route(&self, request: Request<Incoming>) -> Response<Answering<H::Stream>> {
        match self.answer(request).await {
            Ok(response) => response,
            Err(refusal) => self.refuse(&refusal),
        }
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Answering<H::Stream>>, Refusal> {
        if !self.token.accepts(request.headers().get(AUTHORIZATION)) {
            return Err(Refusal::Unauthorized);
        }
        let limit = self.settings.max_requests;
        let _place = self.requests.try_acquire().map_err(|_full| Refusal::Busy(limit))?;
        let (head, body) = request.into_parts();
        match (&head.method, head.uri.path()) {
            (&Method::POST, "/peer/exchange") => self.exchange(body).await,
            (&Method::POST, "/peer/claim") => self.claim(body).await,
            (&Method::POST, "/peer/forward") => self.forward(&head.headers, body).await,
            (method, path) => Err(Refusal::Unknown(format!("{method} {path}"))),
        }
    }

    async fn exchange(&self, body: Incoming) -> Result<Response<Answering<H::Stream>>, Refusal> {
        let ask: Ask = Frame::decode(&self.read(body).await?)?;
        let answer = self.handler.exchange(ask).await;
        if self.stop.is_cancelled() {
            return Err(Refusal::Unavailable);
        }
        self.count.add(Counter::Exchanged);
        Ok(whole(Frame::encode(&answer)?.into_bytes()))
    }

    async fn claim(&self, body: Incoming) -> Result<Response<Answering<H::Stream>>, Refusal> {
        let frame = self.read(body).await?;
        if let Some(&version) = frame.first()
            && version != wire::VERSION
        {
            return Err(wire::Error::Version(version).into());
        }
        let answer = self.handler.claim(frame).await?;
        self.count.add(Counter::Claimed);
        Ok(whole(answer.into_bytes()))
    }

    async fn forward(
        &self,
        headers: &HeaderMap,
        body: Incoming,
    ) -> Result<Response<Answering<H::Stream>>, Refusal> {
        let hops = hops(headers)?;
        let trace = headers.get(forward::TRACE_HEADER).cloned();
        let body = self.read(body).await?;
        self.count.add(Counter::Forwarded);
        let response = self.handler.forward(forward::Request { hops, trace, body }).await;
        Ok(response.map(Either::Right))
    }

    async fn read(&self, body: Incoming) -> Result<Bytes, Refusal> {
        let limit = self.settings.max_body_bytes;
        let reading = Limited::new(body, limit).collect();
        match tokio::time::timeout(self.settings.body_timeout, reading).await {
            Ok(Ok(body)) => Ok(body.to_bytes()),
            Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Refusal::Oversized(limit)),
            Ok(Err(_)) | Err(_) => Err(Refusal::Incomplete),
        }
    }

    fn refuse(&self, refusal: &Refusal) -> Response<Answering<H::Stream>> {
        self.count.refused(refusal);
        let mut response = whole(Bytes::from(refusal.to_string()));
        *response.status_mut() = refusal.status();
        response
    }
}

fn hops(headers: &HeaderMap) -> Result<u8, Refusal> {
    headers
        .get(forward::HOPS_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .filter(|hops| (1..=forward::MAX_HOPS).contains(hops))
        .ok_or(Refusal::Hops)
}

fn whole<S>(body: Bytes) -> Response<Answering<S>> {
    Response::new(Either::Left(Full::new(body)))
}
