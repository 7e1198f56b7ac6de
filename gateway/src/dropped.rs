//! Services that the configuration no longer lists while requests depend on them.

use std::sync::{Arc, Weak};

use decision::gateway::config::Service;
use decision::gateway::route::Table;

/// Services that a configuration dropped. Each is kept for as long as a request goes to it, so that
/// the request can still be sent to its targets, and be resumed there.
#[derive(Debug, Default)]
pub(crate) struct Dropped {
    /// The latest dropped ones last.
    services: Vec<Weak<Service>>,
}

impl Dropped {
    /// Records the services of `former` that `table`, which replaces it, doesn't list.
    pub(crate) fn record(&mut self, former: &Table, table: &Table) {
        let dropped = former.services().filter(|it| table.service_named(&it.name).is_none());
        self.services.extend(dropped.map(Arc::downgrade));
    }

    /// Returns the services that requests go to and that `table` doesn't list, one of each name.
    pub(crate) fn in_use(&self, table: &Table) -> Vec<Arc<Service>> {
        let mut services: Vec<Arc<Service>> = Vec::new();
        for service in self.services.iter().rev().filter_map(Weak::upgrade) {
            let is_known = services.iter().any(|it| it.name == service.name);
            if !is_known && table.service_named(&service.name).is_none() {
                services.push(service);
            }
        }
        services
    }

    /// Forgets the services that no request goes to any more. Returns whether there were any.
    pub(crate) fn forget_unused(&mut self) -> bool {
        let before = self.services.len();
        self.services.retain(|it| it.strong_count() > 0);
        self.services.len() < before
    }
}
