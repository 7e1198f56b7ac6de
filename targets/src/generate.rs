//! Streams of tokens from model engines.

use std::net::SocketAddr;

use bytes::Bytes;
use decision::attempt::Attempt;
use decision::name::Name;
use decision::stream::Frame;
use decision::target::Epoch;
use futures_util::stream::MapErr;
use futures_util::{StreamExt, TryStreamExt};
use http::{HeaderName, HeaderValue, Method, StatusCode, header};
use http_body_util::{BodyDataStream, BodyExt, Limited};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio_util::codec::{FramedRead, LinesCodec, LinesCodecError};
use tokio_util::io::StreamReader;

use crate::connection::{Gate, Open, Pool, io_error};
use crate::error::Reason;
use crate::frame;
use crate::{Error, Settings};

/// What an engine is asked to generate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Order {
    /// The attempt, repeated in every frame of the answer.
    #[serde(flatten)]
    pub attempt: Attempt,
    /// The replica that is to answer.
    pub replica: Name,
    /// The epoch under which the replica was loaded.
    pub epoch: Epoch,
    /// The prompt.
    pub prompt: String,
    /// Most tokens of the whole answer.
    pub max_tokens: u64,
    /// Requests of a higher priority go first. 0 to 9.
    pub priority: u8,
    /// The offset of the first token wanted.
    pub from: u64,
    /// The tokens before `from`, as delivered.
    pub delivered: Vec<String>,
    /// The trace context, sent as a header.
    #[serde(skip)]
    pub traceparent: Option<HeaderValue>,
}

/// The header that carries the trace context.
const TRACEPARENT: HeaderName = HeaderName::from_static("traceparent");

/// Calls the engines of replicas.
pub struct Client<G: Gate = Open> {
    pool: Pool<G>,
    plain: Pool<Open>,
    settings: Settings,
}

/// The body of an engine's refusal.
#[derive(Deserialize)]
struct Decline {
    #[serde(default)]
    error: String,
    ran: bool,
}

impl<G: Gate> Client<G> {
    /// A client with an empty pool of connections.
    pub fn new(settings: Settings) -> Client<G> {
        Client { pool: Pool::new(&settings), plain: Pool::new(&settings), settings }
    }

    /// Sends `order` to the engine at `address`, at most once, and returns its stream.
    ///
    /// `gate` is asked when the bytes are about to leave. Dropping the stream closes the
    /// connection; [`Client::cancel`] ends the work.
    ///
    /// # Errors
    ///
    /// [`Error::progress`] says how far the request came.
    pub async fn generate(
        &self,
        address: SocketAddr,
        order: &Order,
        gate: G,
    ) -> Result<Frames, Error> {
        let body = serde_json::to_vec(order).map_err(|source| Error::Json { address, source })?;
        let mut request = http::Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}/generate"))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Bytes::from(body))
            .map_err(|source| Error::Request { address, source })?;
        if let Some(context) = &order.traceparent {
            request.headers_mut().insert(TRACEPARENT, context.clone());
        }
        let response = self.pool.send(address, request, gate).await?;
        match response.status() {
            StatusCode::OK => Ok(Frames::new(address, response.into_body(), &self.settings)),
            status => Err(self.refusal(address, status, response.into_body()).await),
        }
    }

    /// Resumes the stream of `attempt` at the offset `from`.
    ///
    /// # Errors
    ///
    /// [`Error::Missing`] if the engine does not know the attempt.
    pub async fn resume(
        &self,
        address: SocketAddr,
        attempt: Attempt,
        from: u64,
    ) -> Result<Frames, Error> {
        let uri = format!("http://{address}/generate/{attempt}?from={from}");
        let request = empty(address, Method::GET, uri)?;
        let response = self.plain.send(address, request, Open).await?;
        match response.status() {
            StatusCode::OK => Ok(Frames::new(address, response.into_body(), &self.settings)),
            StatusCode::NOT_FOUND => Err(Error::Missing { address }),
            status => Err(Error::Status { address, status }),
        }
    }

    /// Tells the engine to stop working on `attempt`.
    ///
    /// # Errors
    ///
    /// Any failure leaves it open whether the engine still works on the attempt.
    pub async fn cancel(&self, address: SocketAddr, attempt: Attempt) -> Result<(), Error> {
        let uri = format!("http://{address}/generate/{attempt}");
        let request = empty(address, Method::DELETE, uri)?;
        let response = self.plain.send(address, request, Open).await?;
        match response.status() {
            StatusCode::NOT_FOUND => Ok(()),
            status if status.is_success() => Ok(()),
            status => Err(Error::Status { address, status }),
        }
    }

    async fn refusal(&self, address: SocketAddr, status: StatusCode, body: Incoming) -> Error {
        let unclear = Error::Status { address, status };
        if status != StatusCode::SERVICE_UNAVAILABLE {
            return unclear;
        }
        let Ok(body) = Limited::new(body, self.settings.error_bytes).collect().await else {
            return unclear;
        };
        match serde_json::from_slice::<Decline>(&body.to_bytes()) {
            Ok(decline) if !decline.ran => {
                Error::Declined { address, reason: reason(&decline.error) }
            }
            _ => unclear,
        }
    }
}

fn reason(text: &str) -> Reason {
    match text {
        "not_ready" => Reason::NotReady,
        "overloaded" => Reason::Overloaded,
        _ => Reason::Other,
    }
}

fn empty(address: SocketAddr, method: Method, uri: String) -> Result<http::Request<Bytes>, Error> {
    http::Request::builder()
        .method(method)
        .uri(uri)
        .body(Bytes::new())
        .map_err(|source| Error::Request { address, source })
}

type Lines = FramedRead<StreamReader<Body, Bytes>, LinesCodec>;
type Body = MapErr<BodyDataStream<Incoming>, fn(hyper::Error) -> std::io::Error>;

/// The frames of one answer. Dropping it closes the connection.
pub struct Frames {
    address: SocketAddr,
    limit: usize,
    lines: Lines,
}

impl Frames {
    /// Splits the body into lines of bounded length.
    fn new(address: SocketAddr, body: Incoming, settings: &Settings) -> Frames {
        let limit = settings.line_bytes;
        let body = body.into_data_stream().map_err(io_error as fn(hyper::Error) -> std::io::Error);
        let codec = LinesCodec::new_with_max_length(limit);
        Frames { address, limit, lines: FramedRead::new(StreamReader::new(body), codec) }
    }

    /// The next frame, or none if the answer has ended. Safe to drop while it waits.
    ///
    /// # Errors
    ///
    /// Fails if the answer breaks off or a line is not a frame.
    pub async fn next(&mut self) -> Option<Result<Frame, Error>> {
        let address = self.address;
        let frame = match self.lines.next().await? {
            Ok(line) => frame::parse(&line).map_err(|source| Error::Frame { address, source }),
            Err(LinesCodecError::MaxLineLengthExceeded) => {
                Err(Error::Long { address, limit: self.limit })
            }
            Err(LinesCodecError::Io(source)) => Err(Error::Broken { address, source }),
        };
        Some(frame)
    }
}
