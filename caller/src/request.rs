//! What callers ask for, read and checked.

use std::time::Duration;

use bytes::Bytes;
use decision::name::Name;
use http::{HeaderMap, HeaderName, HeaderValue, Method, header};
use serde::Deserialize;

use crate::refusal::{Kind, Refusal};

/// The header that names the caller's workspace.
pub const WORKSPACE: HeaderName = HeaderName::from_static("x-workspace");
/// The header that carries an idempotency key.
pub const KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// The header that carries the deadline, in milliseconds from the request's arrival.
pub const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
/// The header that carries the trace context.
pub const TRACEPARENT: HeaderName = HeaderName::from_static("traceparent");

/// Longest idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 255;
/// Longest trace context, in bytes.
pub const MAX_TRACEPARENT_BYTES: usize = 128;

/// What every request carries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Meta {
    /// The service addressed.
    pub service: Name,
    /// The caller's workspace, `default` if the header is absent.
    pub workspace: Name,
    /// The idempotency key, if given.
    pub key: Option<String>,
    /// The time from arrival in which the caller wants the whole answer.
    pub deadline: Option<Duration>,
    /// The trace context, as given.
    pub traceparent: Option<String>,
}

/// A request for a stream of tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Generate {
    /// What every request carries.
    pub meta: Meta,
    /// The body as sent, for the comparison of repeats.
    pub body: Bytes,
    /// The prompt.
    pub prompt: String,
    /// Most tokens wanted.
    pub max_tokens: u64,
}

/// A call of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// What every request carries.
    pub meta: Meta,
    /// The method.
    pub method: Method,
    /// The path and query below the service, starting with `/`.
    pub path: String,
    /// The body's type, if given.
    pub content_type: Option<HeaderValue>,
    /// The body.
    pub body: Bytes,
}

/// The body of a request for a stream.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Prompt {
    prompt: String,
    max_tokens: u64,
}

/// The part of a path that tells the two sorts of request apart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Route {
    Generate { service: Name },
    Call { service: Name, path: String },
}

impl Route {
    /// Reads a path and query below `/v1/services/`.
    pub(crate) fn parse(path_and_query: &str) -> Result<Route, Refusal> {
        let not_found = || {
            let text: String = path_and_query.chars().take(MAX_KEY_BYTES).collect();
            Refusal::not_run(Kind::NotFound, format!("no such path: {text:?}"))
        };
        let rest = path_and_query.strip_prefix("/v1/services/").ok_or_else(not_found)?;
        let (service, action) = rest.split_once('/').ok_or_else(not_found)?;
        let service = name("service", service)?;
        if action == "generate" {
            return Ok(Route::Generate { service });
        }
        let path = action.strip_prefix("call").ok_or_else(not_found)?;
        match path.chars().next() {
            Some('/') => Ok(Route::Call { service, path: path.to_owned() }),
            None | Some('?') => Ok(Route::Call { service, path: format!("/{path}") }),
            Some(_) => Err(not_found()),
        }
    }

    pub(crate) const fn service(&self) -> &Name {
        match self {
            Route::Generate { service } | Route::Call { service, .. } => service,
        }
    }
}

impl Meta {
    /// Reads the headers of a request for `service`.
    pub(crate) fn parse(
        service: Name,
        headers: &HeaderMap,
        max_deadline_ms: u64,
    ) -> Result<Meta, Refusal> {
        let workspace = match text(headers, &WORKSPACE, MAX_KEY_BYTES)? {
            Some(text) => name("workspace", &text)?,
            None => Name::default(),
        };
        let key = text(headers, &KEY, MAX_KEY_BYTES)?;
        let deadline = match text(headers, &DEADLINE, MAX_KEY_BYTES)? {
            Some(text) => Some(deadline(&text, max_deadline_ms)?),
            None => None,
        };
        let traceparent = text(headers, &TRACEPARENT, MAX_TRACEPARENT_BYTES)?;
        Ok(Meta { service, workspace, key, deadline, traceparent })
    }
}

impl Generate {
    /// Reads the body of a request for a stream.
    ///
    /// # Errors
    ///
    /// Refuses a body that is not a prompt with at least one token wanted.
    pub fn parse(meta: Meta, body: Bytes) -> Result<Generate, Refusal> {
        let parsed: Prompt = serde_json::from_slice(&body).map_err(|error| {
            Refusal::not_run(Kind::Malformed, format!("the body is not a prompt: {error}"))
        })?;
        if parsed.max_tokens == 0 {
            return Err(Refusal::not_run(Kind::Malformed, "max_tokens must be at least 1"));
        }
        Ok(Generate { meta, body, prompt: parsed.prompt, max_tokens: parsed.max_tokens })
    }
}

impl Call {
    pub(crate) fn new(
        meta: Meta,
        method: Method,
        path: String,
        headers: &HeaderMap,
        body: Bytes,
    ) -> Call {
        let content_type = headers.get(header::CONTENT_TYPE).cloned();
        Call { meta, method, path, content_type, body }
    }
}

/// The value of a header that may stand once and holds visible ASCII.
fn text(
    headers: &HeaderMap,
    header: &HeaderName,
    max_bytes: usize,
) -> Result<Option<String>, Refusal> {
    let mut values = headers.get_all(header).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let malformed = |why: &str| {
        let message = format!("header {header} {why}: {value:?}");
        Refusal::not_run(Kind::Malformed, message)
    };
    if values.next().is_some() {
        return Err(malformed("stands twice"));
    }
    let text = value.to_str().map_err(|_| malformed("holds bytes that are not visible ASCII"))?;
    if text.is_empty() {
        return Err(malformed("is empty"));
    }
    if text.len() > max_bytes {
        return Err(malformed(&format!("is longer than {max_bytes} bytes")));
    }
    Ok(Some(text.to_owned()))
}

fn name(what: &str, text: &str) -> Result<Name, Refusal> {
    Name::new(text).map_err(|error| Refusal::not_run(Kind::Malformed, format!("{what}: {error}")))
}

fn deadline(text: &str, max_ms: u64) -> Result<Duration, Refusal> {
    let millis: i64 = text.parse().map_err(|_| {
        let message = format!("header {DEADLINE} is not a count of milliseconds: {text:?}");
        Refusal::not_run(Kind::Malformed, message)
    })?;
    match u64::try_from(millis) {
        Ok(millis) if millis > max_ms => {
            let message = format!("header {DEADLINE} is {millis}, more than {max_ms}");
            Err(Refusal::not_run(Kind::Malformed, message))
        }
        Ok(millis) if millis > 0 => Ok(Duration::from_millis(millis)),
        _ => {
            let message = format!("the deadline has passed: {DEADLINE} is {millis}");
            Err(Refusal::not_run(Kind::Deadline, message))
        }
    }
}
