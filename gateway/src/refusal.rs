//! Responses to requests that this entry refuses.

use bytes::Bytes;
use decision::prelude::*;
use http::{Response, StatusCode, header};

use crate::body::Answer;

/// Why no target was found for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Denial {
    /// All targets are busy. Holds the time after which the caller is asked to retry.
    Busy(Duration),
    /// The service has no usable target.
    NoTarget,
    /// The deadline of the request has passed.
    DeadlinePassed,
    /// The retry budget of the service is spent.
    RetryBudgetSpent,
    /// This entry stops, and the request would not end in time.
    EntryEnds,
    /// A part of its prompt crashes replicas.
    Quarantined,
}

/// A request that this entry refuses without a response from a target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refusal {
    /// Status of the response.
    pub(crate) status: StatusCode,
    /// Reason that is logged. The caller does not get it.
    pub(crate) reason: &'static str,
    /// Value of the header `retry-after`, which is left out if `None`.
    pub(crate) retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal without the header `retry-after`.
    pub(crate) const fn new(status: StatusCode, reason: &'static str) -> Refusal {
        Refusal { status, reason, retry_after: None }
    }

    /// Creates a refusal with status 503 of a request that has not run. The caller may retry it
    /// after `retry_after`.
    pub(crate) const fn retryable(reason: &'static str, retry_after: Duration) -> Refusal {
        Refusal { status: StatusCode::SERVICE_UNAVAILABLE, reason, retry_after: Some(retry_after) }
    }

    /// Returns the response to the caller, with an empty body and `retry-after` in seconds with
    /// three decimal places.
    pub(crate) fn response(&self) -> Response<Answer> {
        let mut response = Response::new(Answer::whole(Bytes::new()));
        *response.status_mut() = self.status;
        if let Some(retry_after) = self.retry_after {
            let text = format!("{:.3}", retry_after.as_secs_f64());
            if let Ok(value) = text.parse() {
                response.headers_mut().insert(header::RETRY_AFTER, value);
            }
        }
        response
    }
}
