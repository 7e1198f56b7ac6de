//! Lease on the replicas: one object of the store that names the entry which gives orders to the
//! instances.
//!
//! It is written with the next fencing token when the holder changes, and isn't renewed.

use decision::gateway::era::Era;
use decision::prelude::*;
use http::StatusCode;

use crate::follow::{self, Error};
use crate::journal::Event;
use crate::port::{Condition, Item, Kind, Lease, Object, Platform, Write};
use crate::state::Shared;

/// Name of the lease in the store.
const LEASE_NAME: &str = "replicas";

/// Timeout of a write of the lease.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// The lease as it was read.
#[derive(Debug)]
pub(crate) struct Reading {
    /// The lease; `None` if there is none yet, or the restored store has lost it.
    pub(crate) held: Option<Item>,
    /// Era of the store when it was read.
    pub(crate) era: Era,
}

/// Reads the lease from the store.
///
/// # Errors
///
/// If the store doesn't answer, or its response can't be read.
pub(crate) async fn read<P: Platform>(shared: &Shared<P>) -> Result<Reading, Error> {
    let request = shared.platform.get(shared.settings().store, Kind::Leases, LEASE_NAME);
    let reply = follow::send_to_store(shared, request, follow::CALL_TIMEOUT_MARGIN).await?;
    let held = match reply.status {
        StatusCode::NOT_FOUND => None,
        status if status.is_success() => Some(shared.platform.object(Kind::Leases, &reply.body)?),
        status => return Err(Error::Status(status)),
    };
    Ok(Reading { held, era: reply.era })
}

/// Returns whether this entry holds the lease with the fencing token `fence`, acquired in `era`.
///
/// # Errors
///
/// As for [`read`].
pub(crate) async fn is_held<P: Platform>(
    shared: &Shared<P>,
    era: Era,
    fence: u64,
) -> Result<bool, Error> {
    let reading = read(shared).await?;
    if reading.era != era {
        return Ok(false);
    }
    let lease = reading.held.and_then(|it| match it.object {
        Object::Lease(lease) => Some(lease),
        _ => None,
    });
    Ok(lease.is_some_and(|it| it.fence == fence && it.holder == shared.settings().instance))
}

/// Writes the lease with this entry as its holder if it hasn't changed since `reading`, and returns
/// whether the store confirmed that. If no response arrives, the next read shows who holds it.
///
/// The revision of the condition may mean another state after the store was restored, so a response
/// of another era confirms nothing.
pub(crate) async fn try_acquire<P: Platform>(
    shared: &Shared<P>,
    reading: &Reading,
    fence: u64,
    incarnation: u64,
) -> bool {
    let condition =
        reading.held.as_ref().map_or(Condition::Absent, |it| Condition::Revision(it.revision));
    let lease = Lease { holder: shared.settings().instance.clone(), incarnation, fence };
    let Ok(value) = serde_json::to_value(&lease) else { return false };
    let store = shared.settings().store;
    let put = shared
        .platform
        .put(store, &Write { kind: Kind::Leases, name: LEASE_NAME, condition, value });
    match follow::send_to_store(shared, put, WRITE_TIMEOUT).await {
        Ok(reply) => reply.status.is_success() && reply.era == reading.era,
        Err(error) => {
            let reason = error.to_string();
            let event = Event::Lost { dependency: "store", kind: Kind::Leases, reason: &reason };
            shared.journal.note(&event);
            false
        }
    }
}

/// Returns the fencing token that follows the one in `reading`, and all tokens of earlier eras. If
/// the object can't be read, its revision is taken instead.
pub(crate) fn next_fence(reading: &Reading) -> u64 {
    let next = match &reading.held {
        Some(Item { object: Object::Lease(lease), .. }) => lease.fence + 1,
        Some(item) => item.revision,
        None => 1,
    };
    next.max(reading.era.first_fence().unwrap_or_default() + 1)
}
