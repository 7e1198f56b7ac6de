//! The planned stop of an entry: how much of its grace period is left, and what requests may still
//! use of it.

use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use decision::gateway::grace::{Grace, Longest, Sample};
use decision::prelude::*;
use http::{HeaderValue, Response, header};
use tokio::sync::watch;

/// What the requests of one entry need to know of its stop.
#[derive(Debug, Default)]
pub(crate) struct Stop {
    /// Absent until the process was asked to stop.
    grace: OnceLock<Grace>,
    /// Whether what is left is answered now.
    closing: watch::Sender<bool>,
    longest: Mutex<Longest>,
}

impl Stop {
    /// Begins the stop. A stop that has begun stays as it is.
    pub(crate) fn begin(&self, grace: Grace) {
        self.grace.get_or_init(|| grace);
    }

    /// Returns whether the process was asked to stop.
    pub(crate) fn has_begun(&self) -> bool {
        self.grace.get().is_some()
    }

    /// Returns the grace period, once it has begun.
    pub(crate) fn grace(&self) -> Option<Grace> {
        self.grace.get().copied()
    }

    /// Lets all requests end that have no answer.
    pub(crate) fn close(&self) {
        self.closing.send_replace(true);
    }

    /// Returns whether all requests end that have no answer.
    pub(crate) fn is_closing(&self) -> bool {
        *self.closing.borrow()
    }

    /// Waits until all requests end that have no answer.
    pub(crate) async fn closing(&self) {
        let mut closing = self.closing.subscribe();
        // The sender lives as long as this.
        if closing.wait_for(|it| *it).await.is_err() {
            std::future::pending().await
        }
    }

    /// Records what a request of `route` took at its targets.
    pub(crate) fn record(&self, now: Time, route: &Arc<str>, sample: Sample) {
        self.longest().record(now, route, sample);
    }

    /// Returns the time until which a request may be at its targets, or `None` if it would not end
    /// in time. `limit` is when it times out.
    pub(crate) fn admit(&self, now: Time, limit: Time, route: &str, tokens: u64) -> Option<Time> {
        let Some(grace) = self.grace() else { return Some(limit) };
        let expected = self.longest().expected(now, route, tokens);
        grace.admits(now, limit, expected).then(|| self.bound(limit))
    }

    /// Returns `limit`, or when what is left is answered if that comes first.
    pub(crate) fn bound(&self, limit: Time) -> Time {
        self.grace().map_or(limit, |it| limit.min(it.closes_at()))
    }

    /// Tells the caller that its connection ends, if the entry stops.
    pub(crate) fn mark<B>(&self, response: &mut Response<B>) {
        if self.has_begun() {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
    }

    fn longest(&self) -> MutexGuard<'_, Longest> {
        self.longest.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
