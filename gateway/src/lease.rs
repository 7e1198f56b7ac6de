//! The lease of the replicas: one object of the store, which names the entry that gives orders.
//!
//! It is written when it changes hands, with the next fencing token, and not renewed.

use decision::prelude::*;

use crate::follow::{self, Error};
use crate::port::{Condition, Item, Kind, Lease, Object, Platform, Write};
use crate::state::Shared;

/// Name of the object.
const NAME: &str = "replicas";

/// Longest time for writing it.
const WRITE: Duration = Duration::from_secs(1);

/// Longest answer to that, in bytes.
const MAX_ANSWER: usize = 1 << 20;

/// Reads the object, if there is one.
///
/// # Errors
///
/// If the store doesn't answer, or with something that can't be read.
pub(crate) async fn read<P: Platform>(shared: &Shared<P>) -> Result<Option<Item>, Error> {
    let request = shared.platform.list(shared.settings().store, Kind::Leases, None);
    let body = follow::call_store(shared, request, follow::CALL_TIMEOUT_MARGIN).await?;
    let page = shared.platform.page(Kind::Leases, &body)?;
    Ok(page.items.into_iter().find(|it| &*it.name == NAME))
}

/// Whether the lease is that of the owner with this fencing token.
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

/// Takes the lease if it has not changed since it was read as `held`. Without an answer, the next
/// reading shows who has it.
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
    let put =
        shared.platform.put(store, &Write { kind: Kind::Leases, name: NAME, condition, value });
    let answer = shared.store.call(store, put, WRITE, MAX_ANSWER).await;
    answer.is_ok_and(|it| it.status().is_success())
}

/// The fencing token that follows on what was read.
pub(crate) fn next_fence(held: Option<&Item>) -> u64 {
    match held {
        Some(Item { object: Object::Lease(lease), .. }) => lease.fence + 1,
        Some(item) => item.revision,
        None => 1,
    }
}
