//! Where a request goes, by its head and the configuration.

use std::sync::Arc;

use decision::gateway::config::{Route, Service};
use decision::gateway::route::{Principal, Table};
use decision::prelude::*;
use http::StatusCode;
use rand::RngExt as _;

use crate::port::{Head, Platform};
use crate::refusal::Refusal;
use crate::state::Shared;

/// Where a request goes, as far as the head tells.
pub(crate) struct Way {
    /// Its route.
    pub(crate) route: Arc<Route>,
    /// Its service.
    pub(crate) service: Arc<Service>,
    /// The workspace on whose behalf it is made.
    pub(crate) workspace: Option<Arc<str>>,
    /// Its rank, of its workspace or else of its route; 0 is the most urgent.
    pub(crate) rank: u8,
    /// Version of the configuration, and its age.
    pub(crate) knowledge: (u64, Duration),
}

/// Finds a request's way, or why it has none.
///
/// # Errors
///
/// Refuses what no route or key allows, and what can't be decided by what is known now.
pub(crate) fn way<P: Platform>(
    shared: &Shared<P>,
    head: &Head,
    path: &str,
) -> Result<Way, Refusal> {
    let (table, known) = {
        let knowledge = shared.knowledge();
        (knowledge.table.clone(), knowledge.config_at)
    };
    let soon = Duration::from_millis(500);
    let Some(known) = known.filter(|_| table.version() > 0) else {
        return Err(Refusal::later("no configuration yet", soon));
    };
    let age = shared.now().since(known);
    let bounds = &shared.settings().bounds;
    let Some(route) = table.route(&head.host, path) else {
        return Err(match age < bounds.config_age() {
            true => Refusal::new(StatusCode::NOT_FOUND, "no such route"),
            false => Refusal::later("routes are not known for sure", soon),
        });
    };
    let holder = table.principal(route, head.key.as_deref());
    if !matches!(holder, Principal::Anonymous) && age >= bounds.key_age() {
        return Err(Refusal::later("keys are not known for sure", soon));
    }
    let (workspace, rank) = match holder {
        Principal::Anonymous => (None, None),
        Principal::Workspace(workspace) => (Some(workspace.name.clone()), workspace.priority),
        Principal::Unknown => return Err(Refusal::new(StatusCode::UNAUTHORIZED, "unknown key")),
    };
    let service = service(&table, route).ok_or(Refusal::later("no such service", soon))?;
    let route = route.clone();
    let rank = rank.unwrap_or(route.priority);
    Ok(Way { route, service, workspace, rank, knowledge: (table.version(), age) })
}

fn service(table: &Table, route: &Route) -> Option<Arc<Service>> {
    table.pick_service(route, rand::rng().random()).cloned()
}
