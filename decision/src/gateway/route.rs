//! Which service a request goes to, and on whose behalf.

use std::collections::HashMap;
use std::sync::Arc;

use crate::gateway::config::{Config, Limits, Route, Service, Workspace};

/// A configuration, indexed for requests.
#[derive(Clone, Default)]
pub struct Table {
    version: u64,
    limits: Limits,
    hosts: HashMap<Arc<str>, Vec<Arc<Route>>>,
    services: HashMap<Arc<str>, Arc<Service>>,
    holders: HashMap<Arc<str>, Arc<Workspace>>,
    keyed: bool,
}

/// On whose behalf a request is made.
#[derive(Clone, Debug)]
pub enum Principal {
    /// Nobody's: the route is public or there are no workspaces.
    Anonymous,
    /// The workspace that holds the key.
    Workspace(Arc<Workspace>),
    /// No key, or one that nobody holds.
    Unknown,
}

impl std::fmt::Debug for Table {
    /// Leaves the keys out.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Table").field("version", &self.version).finish_non_exhaustive()
    }
}

impl Table {
    /// Indexes `config`.
    pub fn new(config: &Config) -> Table {
        let mut hosts: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in &config.routes {
            let host: Arc<str> = route.host.to_ascii_lowercase().into();
            hosts.entry(host).or_default().push(Arc::new(route.clone()));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|it| std::cmp::Reverse(it.prefix.len()));
        }
        let mut holders = HashMap::new();
        for workspace in &config.workspaces {
            let workspace = Arc::new(workspace.clone());
            let keys = workspace.keys.iter().cloned();
            holders.extend(keys.map(|key| (key, workspace.clone())));
        }
        let services = config.services.iter().map(|it| (it.name.clone(), Arc::new(it.clone())));
        Table {
            version: config.version,
            limits: config.limits,
            hosts,
            services: services.collect(),
            holders,
            keyed: !config.workspaces.is_empty(),
        }
    }

    /// The configuration's version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// What callers may send.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// The route with the longest prefix that begins `path` at `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = without_port(host).to_ascii_lowercase();
        self.hosts.get(host.as_str())?.iter().find(|it| path.starts_with(&*it.prefix))
    }

    /// The service of `route` for a request whose place in the split is `draw`.
    pub fn pick_service(&self, route: &Route, draw: u64) -> Option<&Arc<Service>> {
        let total: u64 = route.split.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut place = draw.checked_rem(total).unwrap_or_default();
        for (name, weight) in &route.split {
            match place.checked_sub(u64::from(*weight)) {
                Some(rest) => place = rest,
                None => return self.services.get(name),
            }
        }
        None
    }

    /// Who holds `key`, as far as `route` asks for one.
    pub fn principal(&self, route: &Route, key: Option<&str>) -> Principal {
        if route.is_public || !self.keyed {
            return Principal::Anonymous;
        }
        let holder = key.and_then(|it| self.holders.get(it));
        holder.map_or(Principal::Unknown, |it| Principal::Workspace(it.clone()))
    }

    /// The service called `name`.
    pub fn service_named(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }
}

fn without_port(host: &str) -> &str {
    host.rsplit_once(':').map_or(host, |(name, _)| name)
}
