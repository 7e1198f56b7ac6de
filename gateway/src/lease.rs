//! Lease on the replicas: one object of the store that names the entry which gives orders to the
//! instances.
//!
//! It is written with the next fencing token when the holder changes, and isn't renewed.

use decision::prelude::*;

use crate::follow::{self, Error};
use crate::port::{Condition, Item, Kind, Lease, Object, Platform, Write};
use crate::state::Shared;

/// Name of the lease in the store.
const LEASE_NAME: &str = "replicas";

/// Timeout of a write of the lease.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest response to a write, in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Reads the lease from the store; `None` if there is none yet.
///
/// # Errors
///
/// If the store doesn't answer, or its response can't be read.
pub(crate) async fn read<P: Platform>(shared: &Shared<P>) -> Result<Option<Item>, Error> {
    let request = shared.platform.list(shared.settings().store, Kind::Leases, None);
    let body = follow::call_store(shared, request, follow::CALL_TIMEOUT_MARGIN).await?;
    let page = shared.platform.page(Kind::Leases, &body)?;
    Ok(page.items.into_iter().find(|it| &*it.name == LEASE_NAME))
}

/// Returns whether this entry holds the lease with the fencing token `fence`.
///
/// # Errors
///
/// As for [`read`].
pub(crate) async fn is_held<P: Platform>(shared: &Shared<P>, fence: u64) -> Result<bool, Error> {
    let held = read(shared).await?;
    let lease = held.and_then(|it| match it.object {
        Object::Lease(lease) => Some(lease),
        _ => None,
    });
    Ok(lease.is_some_and(|it| it.fence == fence && it.holder == shared.settings().instance))
}

/// Writes the lease with this entry as its holder if it hasn't changed since it was read as `held`,
/// and returns whether the store confirmed that. If no response arrives, the next read shows who
/// holds it.
pub(crate) async fn try_acquire<P: Platform>(
    shared: &Shared<P>,
    held: Option<&Item>,
    fence: u64,
    incarnation: u64,
) -> bool {
    let condition = held.map_or(Condition::Absent, |it| Condition::Revision(it.revision));
    let lease = Lease { holder: shared.settings().instance.clone(), incarnation, fence };
    let Ok(value) = serde_json::to_value(&lease) else { return false };
    let store = shared.settings().store;
    let put = shared
        .platform
        .put(store, &Write { kind: Kind::Leases, name: LEASE_NAME, condition, value });
    let answer = shared.store.call(store, put, WRITE_TIMEOUT, MAX_RESPONSE_BYTES).await;
    answer.is_ok_and(|it| it.status().is_success())
}

/// Returns the fencing token that follows the one in `held`. If the object can't be read, its
/// revision is taken instead.
pub(crate) fn next_fence(held: Option<&Item>) -> u64 {
    match held {
        Some(Item { object: Object::Lease(lease), .. }) => lease.fence + 1,
        Some(item) => item.revision,
        None => 1,
    }
}
