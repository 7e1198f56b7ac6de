//! Resolves the route, service and workspace of a request from its head and the configuration.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use decision::gateway::config::{Route, Service};
use decision::gateway::route::{Principal, Table};
use decision::prelude::*;
use http::StatusCode;
use rand::RngExt as _;

use crate::port::{Head, Platform};
use crate::refusal::Refusal;
use crate::state::Shared;

/// Destination of a request, as far as its head determines it.
pub(crate) struct Destination {
    /// Route that matches the request's host and path.
    pub(crate) route: Arc<Route>,
    /// Service that was picked among those of the route.
    pub(crate) service: Arc<Service>,
    /// Workspace on whose behalf the request is made; absent on public routes.
    pub(crate) workspace: Option<Arc<str>>,
    /// Priority class of the workspace, or else of the route; 0 is the most urgent.
    pub(crate) rank: u8,
    /// Version and age of the configuration that was used.
    pub(crate) knowledge: (u64, Duration),
}

/// Resolves the destination of a request.
///
/// # Errors
///
/// Refuses a request whose path has no route or whose key is unknown. Also refuses, with a delay
/// for a retry, a request that the configuration can't decide: there is none yet, the route has no
/// service, or it is too old to refuse a path or to accept a key, or too old for any request while
/// the store has another one that can't be read.
pub(crate) fn resolve<P: Platform>(
    shared: &Shared<P>,
    head: &Head,
    path: &str,
) -> Result<Destination, Refusal> {
    let (table, confirmed_at) = {
        let knowledge = shared.knowledge();
        (knowledge.table.clone(), knowledge.config_confirmed_at)
    };
    let retry_after = Duration::from_millis(500);
    let is_informed = shared.is_informed.load(Ordering::Relaxed);
    let Some(confirmed_at) = confirmed_at.filter(|_| table.version() > 0 && is_informed) else {
        return Err(Refusal::retryable("no configuration yet", retry_after));
    };
    let age = shared.now().since(confirmed_at);
    let bounds = &shared.settings().bounds;
    let Some(route) = table.route(&head.host, path) else {
        return Err(match age < bounds.max_config_age_for_not_found() {
            true => Refusal::new(StatusCode::NOT_FOUND, "no such route"),
            false => Refusal::retryable("routes are not known for sure", retry_after),
        });
    };
    let is_untaken = shared.is_config_untaken.load(Ordering::Relaxed);
    if is_untaken && age >= bounds.max_config_age_for_routes() {
        return Err(Refusal::retryable("routes are not known for sure", retry_after));
    }
    let principal = table.principal(route, head.key.as_deref());
    if !matches!(principal, Principal::Anonymous) && age >= bounds.max_config_age_for_keys() {
        return Err(Refusal::retryable("keys are not known for sure", retry_after));
    }
    let (workspace, rank) = match principal {
        Principal::Anonymous => (None, None),
        Principal::Workspace(workspace) => (Some(workspace.name.clone()), workspace.priority),
        Principal::Unknown => return Err(Refusal::new(StatusCode::UNAUTHORIZED, "unknown key")),
    };
    let service =
        pick_service(&table, route).ok_or(Refusal::retryable("no such service", retry_after))?;
    let route = route.clone();
    let rank = rank.unwrap_or(route.priority);
    Ok(Destination { route, service, workspace, rank, knowledge: (table.version(), age) })
}

fn pick_service(table: &Table, route: &Route) -> Option<Arc<Service>> {
    table.pick_service(route, rand::rng().random()).cloned()
}
