//! Refusals: every way in which a request is turned down, with what is known of its run.

use std::time::Duration;

use bytes::Bytes;
use decision::outcome::Outcome;
use http::{HeaderValue, Response, StatusCode, header};
use serde::{Deserialize, Serialize};

use crate::{body, json};

/// Why a request was turned down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A header, the path or the body is malformed.
    Malformed,
    /// No such path.
    NotFound,
    /// The path does not take this method.
    Method,
    /// The service does not exist.
    UnknownService,
    /// The service demands an idempotency key.
    KeyRequired,
    /// The idempotency key was used with another request.
    KeyReused,
    /// A request with this idempotency key is in progress.
    InProgress,
    /// The request with this idempotency key ran, and its answer was not kept.
    NotKept,
    /// The body is larger than allowed.
    TooLarge,
    /// The body did not come in time.
    BodyTimeout,
    /// The deadline has passed or cannot be met.
    Deadline,
    /// The queue is full.
    Overloaded,
    /// No target takes new work.
    NoTarget,
    /// The entry does not know the present configuration.
    NotCurrent,
    /// The entry is leaving.
    Leaving,
    /// The store is not available, so the idempotency key could not be claimed.
    StoreUnavailable,
    /// Every attempt was turned down by a target or could not be sent.
    Exhausted,
    /// A target got the request and its answer was lost.
    Lost,
    /// The target stopped sending in the middle of the stream.
    Stalled,
    /// The stream broke off and could not be continued.
    Broken,
}

/// A request that was turned down, or a stream that ended without its end mark.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{kind:?}: {message}")]
pub struct Refusal {
    /// Why.
    pub kind: Kind,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// An explanation for a person, which names the offending value.
    pub message: String,
    /// When another try is worth while.
    pub retry_after: Option<Duration>,
}

/// A refusal as callers read it.
#[derive(Debug, Serialize)]
pub(crate) struct Body<'a> {
    #[serde(rename = "type")]
    kind: Kind,
    outcome: Outcome,
    message: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u128>,
}

impl Kind {
    /// The kind's name, as in the `type` field of a refusal.
    pub const fn as_str(self) -> &'static str {
        match self {
            Kind::Malformed => "malformed",
            Kind::NotFound => "not_found",
            Kind::Method => "method",
            Kind::UnknownService => "unknown_service",
            Kind::KeyRequired => "key_required",
            Kind::KeyReused => "key_reused",
            Kind::InProgress => "in_progress",
            Kind::NotKept => "not_kept",
            Kind::TooLarge => "too_large",
            Kind::BodyTimeout => "body_timeout",
            Kind::Deadline => "deadline",
            Kind::Overloaded => "overloaded",
            Kind::NoTarget => "no_target",
            Kind::NotCurrent => "not_current",
            Kind::Leaving => "leaving",
            Kind::StoreUnavailable => "store_unavailable",
            Kind::Exhausted => "exhausted",
            Kind::Lost => "lost",
            Kind::Stalled => "stalled",
            Kind::Broken => "broken",
        }
    }

    /// The HTTP status of a refusal of this kind.
    pub const fn status(self) -> StatusCode {
        match self {
            Kind::Malformed | Kind::KeyRequired => StatusCode::BAD_REQUEST,
            Kind::NotFound | Kind::UnknownService => StatusCode::NOT_FOUND,
            Kind::Method => StatusCode::METHOD_NOT_ALLOWED,
            Kind::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Kind::InProgress | Kind::NotKept => StatusCode::CONFLICT,
            Kind::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Kind::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Kind::Overloaded => StatusCode::TOO_MANY_REQUESTS,
            Kind::Lost | Kind::Broken => StatusCode::BAD_GATEWAY,
            Kind::NoTarget
            | Kind::NotCurrent
            | Kind::Leaving
            | Kind::StoreUnavailable
            | Kind::Exhausted => StatusCode::SERVICE_UNAVAILABLE,
            Kind::Deadline | Kind::Stalled => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

impl Refusal {
    /// A refusal of a request that was not run and will not be.
    pub fn not_run(kind: Kind, message: impl Into<String>) -> Refusal {
        Refusal { kind, outcome: Outcome::NotRun, message: message.into(), retry_after: None }
    }

    /// The same refusal with another outcome.
    #[must_use]
    pub fn with_outcome(self, outcome: Outcome) -> Refusal {
        Refusal { outcome, ..self }
    }

    /// The same refusal of a request of which earlier attempts left `known` open.
    #[must_use]
    pub fn after(self, known: Outcome) -> Refusal {
        let outcome = self.outcome.max(known);
        self.with_outcome(outcome)
    }

    /// The same refusal with the time after which another try is worth while.
    #[must_use]
    pub fn with_retry_after(self, after: Duration) -> Refusal {
        Refusal { retry_after: Some(after), ..self }
    }

    pub(crate) fn body(&self) -> Body<'_> {
        Body {
            kind: self.kind,
            outcome: self.outcome,
            message: &self.message,
            retry_after_ms: self.retry_after.map(|it| it.as_millis()),
        }
    }

    pub(crate) fn json(&self) -> Bytes {
        json::encode(&self.body()).into()
    }

    pub(crate) fn response<S>(&self) -> Response<body::Body<S>> {
        let mut response = Response::new(body::Body::Whole(Some(self.json())));
        *response.status_mut() = self.kind.status();
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(after) = self.retry_after {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(whole_seconds(after)));
        }
        if self.kind == Kind::BodyTimeout || self.kind == Kind::TooLarge {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

/// The span in seconds, rounded up.
fn whole_seconds(span: Duration) -> u64 {
    span.as_secs() + u64::from(span.subsec_nanos() > 0)
}
