//! The last check before a request's bytes leave for a target.

use decision::claim;
use decision::freshness::{Permit, Stale};
use target::connection::Gate;

use crate::uptime::Uptime;

/// Lets a request out until the permit of its routing decision and that of its claim end.
///
/// A process that was paused after the decision finds the permit ended, whatever it has learnt
/// since.
pub(crate) struct Pass {
    pub(crate) uptime: Uptime,
    /// Granted with the routing decision.
    pub(crate) permit: Result<Permit, Stale>,
    /// Granted with the idempotency key, if the request has one.
    pub(crate) claim: Option<claim::Permit>,
}

impl Gate for Pass {
    fn is_open(&self) -> bool {
        let now = self.uptime.now();
        let claimed = self.claim.is_none_or(|claim| claim.is_open(now));
        claimed && self.permit.is_ok_and(|permit| permit.check(now).is_ok())
    }
}
