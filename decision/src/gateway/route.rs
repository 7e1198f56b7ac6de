//! Finds the service that a request goes to, and the workspace on whose behalf it is made.

use std::collections::HashMap;
use std::sync::Arc;

use crate::gateway::config::{Config, Limits, Route, Service, Workspace};

/// A configuration, indexed for lookups by request.
#[derive(Clone, Default)]
pub struct Table {
    version: u64,
    limits: Limits,
    /// Routes by host in lower case, those with the longest prefix first.
    hosts: HashMap<Arc<str>, Vec<Arc<Route>>>,
    services: HashMap<Arc<str>, Arc<Service>>,
    workspaces_by_key: HashMap<Arc<str>, Arc<Workspace>>,
    /// Whether any workspace is configured, so that routes that aren't public require a key.
    has_workspaces: bool,
}

/// On whose behalf a request is made.
#[derive(Clone, Debug)]
pub enum Principal {
    /// No workspace: the route is public, or no workspaces are configured.
    Anonymous,
    /// The workspace that the key belongs to.
    Workspace(Arc<Workspace>),
    /// The route requires a key, and the request has none or one that belongs to no workspace.
    Unknown,
}

impl std::fmt::Debug for Table {
    /// Formats only the version, since the keys are secret.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Table").field("version", &self.version).finish_non_exhaustive()
    }
}

impl Table {
    /// Returns the index of `config`.
    pub fn new(config: &Config) -> Table {
        let mut hosts: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in &config.routes {
            let host: Arc<str> = route.host.to_ascii_lowercase().into();
            hosts.entry(host).or_default().push(Arc::new(route.clone()));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|it| std::cmp::Reverse(it.prefix.len()));
        }
        let mut workspaces_by_key = HashMap::new();
        for workspace in &config.workspaces {
            let workspace = Arc::new(workspace.clone());
            let keys = workspace.keys.iter().cloned();
            workspaces_by_key.extend(keys.map(|key| (key, workspace.clone())));
        }
        let services = config.services.iter().map(|it| (it.name.clone(), Arc::new(it.clone())));
        Table {
            version: config.version,
            limits: config.limits,
            hosts,
            services: services.collect(),
            workspaces_by_key,
            has_workspaces: !config.workspaces.is_empty(),
        }
    }

    /// Returns the configuration's version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on what callers may send.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns the route of `host` with the longest prefix that `path` starts with. A port in
    /// `host` and the case of its letters are ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = without_port(host).to_ascii_lowercase();
        self.hosts.get(host.as_str())?.iter().find(|it| path.starts_with(&*it.prefix))
    }

    /// Returns the service of `route` for a request, in proportion to the weights of the split.
    /// `draw` is a random number, which is taken modulo the sum of the weights.
    pub fn pick_service(&self, route: &Route, draw: u64) -> Option<&Arc<Service>> {
        let total: u64 = route.split.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut position = draw.checked_rem(total).unwrap_or_default();
        for (name, weight) in &route.split {
            match position.checked_sub(u64::from(*weight)) {
                Some(remainder) => position = remainder,
                None => return self.services.get(name),
            }
        }
        None
    }

    /// Returns on whose behalf a request with `key` is made, if `route` requires a key.
    pub fn principal(&self, route: &Route, key: Option<&str>) -> Principal {
        if route.is_public || !self.has_workspaces {
            return Principal::Anonymous;
        }
        let workspace = key.and_then(|it| self.workspaces_by_key.get(it));
        workspace.map_or(Principal::Unknown, |it| Principal::Workspace(it.clone()))
    }

    /// Returns the service called `name`.
    pub fn service_named(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }
}

/// Returns `host` without its port, if it has one.
fn without_port(host: &str) -> &str {
    host.rsplit_once(':').map_or(host, |(name, _)| name)
}
