//! Calls of the store, each with the era of its response.

use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use decision::gateway::era::{Era, Observation};
use http::{HeaderMap, StatusCode};

use super::{Error, announce_era};
use crate::journal::Event;
use crate::port::{Outgoing, Platform};
use crate::state::Shared;

/// Largest response of the store, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Response of the store, of the known era.
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) era: Era,
    pub(crate) body: Bytes,
}

/// Calls the store and counts the call. `timeout` bounds the whole call.
///
/// # Errors
///
/// If the call fails, the status of the response isn't a success, or its era isn't the known one.
pub(crate) async fn call_store<P: Platform>(
    shared: &Shared<P>,
    request: Outgoing,
    timeout: Duration,
) -> Result<Reply, Error> {
    let reply = send_to_store(shared, request, timeout).await?;
    match reply.status.is_success() {
        true => Ok(reply),
        false => Err(Error::Status(reply.status)),
    }
}

/// Calls the store as [`call_store`] does, and returns the response whatever its status.
///
/// # Errors
///
/// If the call fails, or the era of the response isn't the known one.
pub(crate) async fn send_to_store<P: Platform>(
    shared: &Shared<P>,
    request: Outgoing,
    timeout: Duration,
) -> Result<Reply, Error> {
    let address = shared.settings().store;
    let response = shared.store.call(address, request, timeout, MAX_RESPONSE_BYTES).await;
    let status = match &response {
        Ok(response) => response.status().as_u16(),
        Err(_) => 0,
    };
    let labels = format!("status=\"{status}\"");
    shared.metrics.count("rhubarblatch_store_calls_total", &labels);
    let response = response?;
    let era = observe_era(shared, response.headers())?;
    Ok(Reply { status: response.status(), era, body: response.into_body() })
}

/// Returns the era of a response of the store.
fn observe_era<P: Platform>(shared: &Shared<P>, headers: &HeaderMap) -> Result<Era, Error> {
    let stated = shared.platform.era(headers);
    let was_stated = shared.is_era_stated.swap(matches!(stated, Ok(Some(_))), Ordering::Relaxed);
    let reason = match &stated {
        Ok(Some(_)) => None,
        Ok(None) => Some("a response states no era".to_owned()),
        Err(error) => Some(error.to_string()),
    };
    if let Some(reason) = reason.filter(|_| was_stated) {
        shared.journal.note(&Event::EraMissing { era: shared.era(), reason: &reason });
    }
    let observation = shared.mirror().observe_era(stated.ok().flatten());
    match observation {
        Observation::Current(era) => {
            // The first response states an era that nothing was known of before.
            shared.era.send_if_modified(|it| std::mem::replace(it, era) != era);
            Ok(era)
        }
        Observation::Restored { from, to } => {
            announce_era(shared, from, to, "store");
            Ok(to)
        }
        Observation::Unconfirmed(era) => Err(Error::EraUnconfirmed(era)),
        Observation::Outdated(era) => Err(Error::EraOutdated(era)),
    }
}
