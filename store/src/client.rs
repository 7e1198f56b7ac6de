//! The object API over HTTP.

use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, Uri, header};
use http_body_util::Full;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::count::{Call, Counter};
use crate::error::{Cause, Error};
use crate::exchange::{self, Answer, Bounds, Connection, Failure};
use crate::kind::Kind;
use crate::object::{Changes, List, Object, Version};
use crate::store::Store;
use crate::token::Token;

/// Largest value that the platform's store takes, as JSON, in bytes.
pub const VALUE_BYTES: usize = 1 << 20;

/// How the platform's store is reached.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// The store's address, such as `http://10.0.0.1:7000`.
    pub address: String,
    /// The bearer token, if the store asks for one.
    pub token: Option<Token>,
    /// Longest time for a connection and for a call besides a watch's wait, in milliseconds.
    pub timeout_ms: u64,
    /// Largest answer that is read, in bytes.
    pub answer_bytes: usize,
}

/// A client of the platform's store. Its clones share connections and counters.
#[derive(Clone, Debug)]
pub struct Client {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    settings: Settings,
    connection: Connection,
    counter: Counter,
}

/// What is sent: a method, a path with its query, and perhaps a body.
struct Outgoing {
    method: Method,
    path: String,
    body: Bytes,
    wait: Duration,
}

#[derive(Deserialize)]
struct Written {
    version: Version,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            address: "http://127.0.0.1:7000".to_owned(),
            token: None,
            timeout_ms: 1_000,
            answer_bytes: 16 << 20,
        }
    }
}

impl Client {
    /// Makes a client; connections are opened when calls need them.
    ///
    /// # Errors
    ///
    /// [`Error::Address`] if the settings' address is not an `http` address.
    pub fn new(settings: Settings) -> Result<Client, Error> {
        let address = settings.address.trim_end_matches('/').to_owned();
        let bad = || Error::Address(address.clone());
        let uri: Uri = address.parse().map_err(|_| bad())?;
        if uri.scheme_str() != Some("http") || uri.path() != "/" || uri.query().is_some() {
            return Err(bad());
        }
        let settings = Settings { address, ..settings };
        let connection = exchange::connect(Duration::from_millis(settings.timeout_ms));
        let shared = Shared { settings, connection, counter: Counter::default() };
        Ok(Client { shared: Arc::new(shared) })
    }

    /// The counters of this client's calls.
    pub fn counter(&self) -> &Counter {
        &self.shared.counter
    }

    async fn send(&self, outgoing: &Outgoing) -> Result<Answer, Failure> {
        let Shared { settings, connection, .. } = &*self.shared;
        let uri = format!("{}{}", settings.address, outgoing.path);
        let mut request = Request::builder().method(&outgoing.method).uri(uri);
        if let Some(token) = &settings.token {
            request = request.header(header::AUTHORIZATION, token.authorization());
        }
        if !outgoing.body.is_empty() {
            request = request.header(header::CONTENT_TYPE, "application/json");
        }
        let request = request.body(Full::new(outgoing.body.clone()));
        let request = request.map_err(|e| Failure::Unsent(Cause::Connect(e.to_string())))?;
        let timeout = Duration::from_millis(settings.timeout_ms) + outgoing.wait;
        let bounds = Bounds { timeout, answer_bytes: settings.answer_bytes };
        exchange::send(connection, request, &bounds).await
    }

    /// Sends a call that changes nothing.
    async fn read(&self, outgoing: &Outgoing) -> Result<Answer, Error> {
        let answer = self.send(outgoing).await.map_err(|failure| match failure {
            Failure::Unsent(cause) | Failure::Sent(cause) => self.unavailable(cause),
        })?;
        match answer.status {
            StatusCode::OK | StatusCode::NOT_FOUND => Ok(answer),
            status if status.is_server_error() => Err(self.unavailable(Cause::Status(status))),
            status => Err(Error::Refused { call: outgoing.to_string(), status }),
        }
    }

    /// Sends a conditional write or deletion.
    async fn write(&self, outgoing: &Outgoing, kind: Kind, name: &str) -> Result<Version, Error> {
        let answer = self.send(outgoing).await.map_err(|failure| match failure {
            Failure::Unsent(cause) => self.unavailable(cause),
            Failure::Sent(cause) => self.unknown(cause),
        })?;
        let version = || serde_json::from_slice::<Written>(&answer.body).map(|it| it.version);
        let lost = |e: serde_json::Error| self.unknown(Cause::Answer(e.to_string()));
        let name = name.to_owned();
        match answer.status {
            StatusCode::OK => version().map_err(lost),
            StatusCode::CONFLICT => {
                let version = version().map_err(|e| body(outgoing, e))?;
                Err(Error::Conflict { kind, name, version })
            }
            StatusCode::NOT_FOUND => Err(Error::Absent { kind, name }),
            StatusCode::PAYLOAD_TOO_LARGE => {
                Err(Error::Large { kind, name, bytes: outgoing.body.len() })
            }
            status @ StatusCode::SERVICE_UNAVAILABLE => {
                Err(self.unavailable(Cause::Status(status)))
            }
            status if status.is_client_error() => {
                Err(Error::Refused { call: outgoing.to_string(), status })
            }
            status => Err(self.unknown(Cause::Status(status))),
        }
    }

    fn unavailable(&self, cause: Cause) -> Error {
        Error::Unavailable { address: self.shared.settings.address.clone(), cause }
    }

    fn unknown(&self, cause: Cause) -> Error {
        Error::Unknown { address: self.shared.settings.address.clone(), cause }
    }

    async fn try_get<T: DeserializeOwned>(
        &self,
        kind: Kind,
        name: &str,
    ) -> Result<Option<Object<T>>, Error> {
        let outgoing = Outgoing::get(object_path(kind, name)?);
        let answer = self.read(&outgoing).await?;
        if answer.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        parse(&outgoing, &answer).map(Some)
    }

    async fn try_list<T: DeserializeOwned>(&self, kind: Kind) -> Result<List<T>, Error> {
        let outgoing = Outgoing::get(format!("/objects/{kind}"));
        let answer = self.read(&outgoing).await?;
        parse(&outgoing, &answer)
    }

    async fn try_put<T: Serialize>(
        &self,
        kind: Kind,
        name: &str,
        version: Version,
        value: &T,
    ) -> Result<Version, Error> {
        let path = object_path(kind, name)?;
        let name_text = || name.to_owned();
        let body = serde_json::to_vec(value);
        let body = body.map_err(|source| Error::Value { kind, name: name_text(), source })?;
        if body.len() > VALUE_BYTES {
            return Err(Error::Large { kind, name: name_text(), bytes: body.len() });
        }
        let path = format!("{path}?version={version}");
        let outgoing =
            Outgoing { method: Method::PUT, path, body: body.into(), wait: Duration::ZERO };
        self.write(&outgoing, kind, name).await
    }

    async fn try_delete(&self, kind: Kind, name: &str, version: Version) -> Result<Version, Error> {
        let path = format!("{}?version={version}", object_path(kind, name)?);
        let outgoing =
            Outgoing { method: Method::DELETE, path, body: Bytes::new(), wait: Duration::ZERO };
        self.write(&outgoing, kind, name).await
    }

    async fn try_watch<T: DeserializeOwned>(
        &self,
        kind: Kind,
        revision: Version,
        wait: Duration,
    ) -> Result<Changes<T>, Error> {
        let path = format!("/watch/{kind}?revision={revision}&wait_ms={}", wait.as_millis());
        let outgoing = Outgoing { wait, ..Outgoing::get(path) };
        let answer = self.read(&outgoing).await?;
        parse(&outgoing, &answer)
    }
}

impl Store for Client {
    async fn get<T: DeserializeOwned + Send>(
        &self,
        kind: Kind,
        name: &str,
    ) -> Result<Option<Object<T>>, Error> {
        let result = self.try_get(kind, name).await;
        self.shared.counter.record(Call::Get, &result);
        result
    }

    async fn list<T: DeserializeOwned + Send>(&self, kind: Kind) -> Result<List<T>, Error> {
        let result = self.try_list(kind).await;
        self.shared.counter.record(Call::List, &result);
        result
    }

    async fn put<T: Serialize + Sync>(
        &self,
        kind: Kind,
        name: &str,
        version: Version,
        value: &T,
    ) -> Result<Version, Error> {
        let result = self.try_put(kind, name, version, value).await;
        self.shared.counter.record(Call::Put, &result);
        result
    }

    async fn delete(&self, kind: Kind, name: &str, version: Version) -> Result<Version, Error> {
        let result = self.try_delete(kind, name, version).await;
        self.shared.counter.record(Call::Delete, &result);
        result
    }

    async fn watch<T: DeserializeOwned + Send>(
        &self,
        kind: Kind,
        revision: Version,
        wait: Duration,
    ) -> Result<Changes<T>, Error> {
        let result = self.try_watch(kind, revision, wait).await;
        self.shared.counter.record(Call::Watch, &result);
        result
    }
}

impl Outgoing {
    fn get(path: String) -> Outgoing {
        Outgoing { method: Method::GET, path, body: Bytes::new(), wait: Duration::ZERO }
    }
}

impl Display for Outgoing {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} {}", self.method, self.path)
    }
}

fn object_path(kind: Kind, name: &str) -> Result<String, Error> {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '.';
    let dots = name.chars().all(|c| c == '.');
    if dots || !name.chars().all(allowed) {
        return Err(Error::Name(name.to_owned()));
    }
    Ok(format!("/objects/{kind}/{name}"))
}

fn parse<T: DeserializeOwned>(outgoing: &Outgoing, answer: &Answer) -> Result<T, Error> {
    serde_json::from_slice(&answer.body).map_err(|source| body(outgoing, source))
}

fn body(outgoing: &Outgoing, source: serde_json::Error) -> Error {
    Error::Body { call: outgoing.to_string(), source }
}
