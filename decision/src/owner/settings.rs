//! Settings of the machine.

use crate::prelude::*;
use crate::{lease, lifecycle, probe};

/// Settings of the machine.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Times of the lease.
    pub lease: lease::Settings,
    /// Times in the lifecycle of a replica.
    pub lifecycle: lifecycle::Settings,
    /// Bounds of probing.
    pub probe: probe::Settings,
    /// Time after which a call to the store without an answer counts as lost.
    pub store_timeout: Duration,
    /// Pause after a failed call to the store.
    pub store_pause: Duration,
    /// Pause before an order is repeated to an instance that did not follow it.
    pub order_pause: Duration,
    /// Time that a holder keeps a lease for which another entry ranks first.
    pub hand_over_after: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            lease: lease::Settings::default(),
            lifecycle: lifecycle::Settings::default(),
            probe: probe::Settings::default(),
            store_timeout: Duration::from_secs(2),
            store_pause: Duration::from_millis(500),
            order_pause: Duration::from_secs(2),
            hand_over_after: Duration::from_secs(60),
        }
    }
}
