//! Calls of entries.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, header};
use http_body_util::Full;
use operator::Refusal;
use operator::change::{Applied, Change, Configuration};
use operator::entry::{Entries, Forget};
use operator::status::{Explanation, Status};
use serde::Serialize;
use serde::de::DeserializeOwned;
use store::error::Cause;
use store::exchange::{self, Answer, Bounds, Connection, Failure};
use store::token::Token;

use crate::error::{Attempt, Error};
use crate::settings::Settings;

/// Largest answer that is read, in bytes.
const ANSWER_BYTES: usize = 16 << 20;

/// A client of the entries, which are asked in turn.
pub(crate) struct Client {
    entries: Vec<SocketAddr>,
    token: Token,
    connection: Connection,
    bounds: Bounds,
}

/// Whether a call may be sent again without knowing what came of it.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Effect {
    /// Changes nothing.
    Read,
    /// Changes the configuration.
    Write,
}

struct Call {
    method: Method,
    path: String,
    body: Bytes,
    effect: Effect,
}

enum Reply<T> {
    Refused(Refusal),
    Done(T),
}

impl Client {
    /// A client as the settings say.
    pub(crate) fn new(settings: &Settings) -> Result<Client, Error> {
        let timeout = Duration::from_millis(settings.timeout_ms);
        Ok(Client {
            entries: settings.entries.clone(),
            token: settings.token()?,
            connection: exchange::connect(timeout),
            bounds: Bounds { timeout, answer_bytes: ANSWER_BYTES },
        })
    }

    /// Reads the stored configuration.
    pub(crate) async fn configuration(&self) -> Result<Configuration, Error> {
        self.call(&Call::read("/v1/configuration".to_owned())).await
    }

    /// Stores a change.
    pub(crate) async fn change(&self, change: &Change) -> Result<Applied, Error> {
        self.call(&Call::write("/v1/configuration", change)?).await
    }

    /// Reads which entries count towards a majority.
    pub(crate) async fn entries(&self) -> Result<Entries, Error> {
        self.call(&Call::read("/v1/entries".to_owned())).await
    }

    /// Takes entries off the roster.
    pub(crate) async fn forget(&self, forget: &Forget) -> Result<Applied, Error> {
        self.call(&Call::write("/v1/entries/forget", forget)?).await
    }

    /// Reads what an entry knows.
    pub(crate) async fn status(&self) -> Result<Status, Error> {
        self.call(&Call::read("/v1/status".to_owned())).await
    }

    /// Reads why something is as it is.
    pub(crate) async fn explain(&self, kind: &str, name: &str) -> Result<Explanation, Error> {
        self.call(&Call::read(format!("/v1/explain/{kind}/{name}"))).await
    }

    /// Asks the entries in turn, as long as none can have changed anything.
    async fn call<T: DeserializeOwned>(&self, call: &Call) -> Result<T, Error> {
        let mut attempts = Vec::new();
        let mut refused = None;
        for &entry in &self.entries {
            match self.send(entry, call).await {
                Ok(answer) => match read(entry, &answer)? {
                    Reply::Done(value) => return Ok(value),
                    Reply::Refused(refusal) if is_local(&refusal) => refused = Some(refusal),
                    Reply::Refused(refusal) => return Err(Error::Refused(refusal)),
                },
                Err(Failure::Sent(cause)) if call.effect == Effect::Write => {
                    return Err(Error::Lost(Attempt { entry, cause }));
                }
                Err(Failure::Sent(cause) | Failure::Unsent(cause)) => {
                    attempts.push(Attempt { entry, cause });
                }
            }
        }
        Err(refused.map_or(Error::Unreachable(attempts), Error::Refused))
    }

    async fn send(&self, entry: SocketAddr, call: &Call) -> Result<Answer, Failure> {
        let request = Request::builder()
            .method(&call.method)
            .uri(format!("http://{entry}{}", call.path))
            .header(header::AUTHORIZATION, self.token.authorization())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(call.body.clone()));
        let request = request.map_err(|e| Failure::Unsent(Cause::Connect(e.to_string())))?;
        exchange::send(&self.connection, request, &self.bounds).await
    }
}

impl Call {
    fn read(path: String) -> Call {
        Call { method: Method::GET, path, body: Bytes::new(), effect: Effect::Read }
    }

    fn write(path: &str, body: &impl Serialize) -> Result<Call, Error> {
        let (path, body) = (path.to_owned(), serde_json::to_vec(body)?.into());
        Ok(Call { method: Method::POST, path, body, effect: Effect::Write })
    }
}

/// Whether another entry may do what this one refused, since nothing was changed.
fn is_local(refusal: &Refusal) -> bool {
    matches!(refusal, Refusal::Busy { .. } | Refusal::Unavailable { .. })
}

fn read<T: DeserializeOwned>(entry: SocketAddr, answer: &Answer) -> Result<Reply<T>, Error> {
    let reply = match answer.status.is_success() {
        true => serde_json::from_slice(&answer.body).map(Reply::Done),
        false => serde_json::from_slice(&answer.body).map(Reply::Refused),
    };
    reply.map_err(|source| Error::Answer { entry, source })
}
