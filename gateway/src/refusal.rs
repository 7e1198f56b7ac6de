//! What callers are told of requests that this entry does not serve.

use bytes::Bytes;
use decision::prelude::*;
use http::{Response, StatusCode, header};

use crate::body::Answer;

/// Why a request got no target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Denial {
    /// All targets are busy.
    Busy(Duration),
    /// There is no target.
    Nothing,
    /// Its time is over.
    Late,
    /// The budget of repeats is spent.
    Budget,
}

/// A refusal by this entry.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refusal {
    /// Status of the answer.
    pub(crate) status: StatusCode,
    /// Why, for the log.
    pub(crate) reason: &'static str,
    /// When to come back.
    pub(crate) after: Option<Duration>,
}

impl Refusal {
    /// A refusal that tells no time to come back.
    pub(crate) const fn new(status: StatusCode, reason: &'static str) -> Refusal {
        Refusal { status, reason, after: None }
    }

    /// A refusal of a request that has not run and may come back.
    pub(crate) const fn later(reason: &'static str, after: Duration) -> Refusal {
        Refusal { status: StatusCode::SERVICE_UNAVAILABLE, reason, after: Some(after) }
    }

    /// The answer to the caller.
    pub(crate) fn answer(&self) -> Response<Answer> {
        let mut response = Response::new(Answer::whole(Bytes::new()));
        *response.status_mut() = self.status;
        if let Some(after) = self.after {
            let text = format!("{:.3}", after.as_secs_f64());
            if let Ok(value) = text.parse() {
                response.headers_mut().insert(header::RETRY_AFTER, value);
            }
        }
        response
    }
}
