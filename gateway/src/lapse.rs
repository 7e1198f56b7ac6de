//! Removes the registrations of entries that are gone from the store.

use std::sync::Arc;

use decision::gateway::registration::{Absences, Settings};
use decision::prelude::*;
use tokio::time::sleep;

use crate::follow;
use crate::journal::Event;
use crate::port::{Kind, Object, Platform};
use crate::state::Shared;

/// Checks of an absent entry before its registration is removed.
const CHECKS_PER_ABSENCE: u32 = 12;

/// Timeout of a removal.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(1);

/// Removes registrations of this entry's failure domain until the process ends, as long as this
/// entry is the one that decides on them.
pub(crate) async fn run<P: Platform>(shared: Arc<Shared<P>>) {
    let mut absences = Absences::default();
    loop {
        sleep(settings(&shared).absence / CHECKS_PER_ABSENCE).await;
        for name in lapsed(&shared, &mut absences) {
            remove(&shared, &name).await;
        }
    }
}

fn settings<P>(shared: &Shared<P>) -> Settings {
    let absence = Duration::from_secs_f64(shared.settings().entry_absence_s);
    Settings { absence, ..Settings::default() }
}

/// Returns the entries whose registrations are to be removed now.
fn lapsed<P: Platform>(shared: &Shared<P>, absences: &mut Absences) -> Vec<Arc<str>> {
    let now = shared.now();
    let own = shared.settings();
    let domain = &*own.failure_domain;
    let hears_others = shared.peers.alive_count(now, domain) > 0;
    let leads = shared.peers.leads(now, domain, shared.rank(&own));
    if !leads || !hears_others || !shared.is_store_up() {
        absences.clear();
        return Vec::new();
    }
    let knowledge = shared.knowledge();
    let others = knowledge
        .entries
        .iter()
        .filter(|(name, entry)| entry.failure_domain == domain && ***name != *own.instance);
    let registered: Vec<Arc<str>> = others.map(|(name, _)| name.clone()).collect();
    drop(knowledge);
    absences.lapsed(now, registered, |it| shared.peers.is_heard(now, it), &settings(shared))
}

/// Removes a registration unless it was written again. Logs the result.
async fn remove<P: Platform>(shared: &Shared<P>, name: &str) {
    let stored = shared.mirror().stored(Kind::Entries, name).cloned();
    let Some(item) = stored.filter(|it| matches!(it.object, Object::Entry(_))) else { return };
    let store = shared.settings().store;
    let request = shared.platform.delete(store, Kind::Entries, name, item.revision);
    let result = match follow::send_to_store(shared, request, REMOVAL_TIMEOUT).await {
        Ok(reply) => reply.status.to_string(),
        Err(error) => error.to_string(),
    };
    shared.journal.note(&Event::Lapsed { entry: name, result: &result });
    shared.metrics.count("rhubarblatch_lapsed_entries_total", "");
}
