//! What the parts of one entry share: what it knows, and what it has in progress.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use decision::gateway::balance::{self, Balancer, Target};
use decision::gateway::budget::{self, Budget};
use decision::gateway::exchange::{self, Rank};
use decision::gateway::fleet::{self, Fleet};
use decision::gateway::route::Table;
use decision::prelude::*;
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::journal::{Event, Journal};
use crate::memory::Limiter;
use crate::metrics::Metrics;
use crate::mirror::Mirror;
use crate::peers::{Neighbor, Peers};
use crate::pool::{self, Pool};
use crate::port::Entry;
use crate::relay::pack::Packer;
use crate::settings::Settings;
use crate::wait::WaitQueue;

/// Pause between signs of life on a connection to the store.
const STORE_KEEPALIVE: Duration = Duration::from_secs(1);

/// What the parts of one entry share.
pub(crate) struct Shared<P> {
    /// The platform's way of speaking.
    pub(crate) platform: P,
    /// The time.
    pub(crate) clock: Clock,
    /// Where decisions are written.
    pub(crate) journal: Journal,
    /// Counters.
    pub(crate) metrics: Metrics,
    /// Connections to targets.
    pub(crate) targets: Pool,
    /// Connections to the store.
    pub(crate) store: Pool,
    /// A slot may be free.
    pub(crate) slot_freed: Notify,
    /// Requests that wait for one.
    pub(crate) waits: WaitQueue<P>,
    /// Bytes that are held for callers and targets.
    pub(crate) hold: Limiter,
    /// What is in progress has changed.
    pub(crate) load_changed: Notify,
    /// The list of instances, or what is known of them, has changed.
    pub(crate) fleet_changed: Notify,
    /// Callers' connections that are open.
    pub(crate) open_connections: AtomicUsize,
    /// Whether a caller's request has been seen, here or at a peer.
    pub(crate) has_seen_request: AtomicBool,
    /// Whether the store answered the last question about the configuration.
    pub(crate) store_up: AtomicBool,
    /// What peers told.
    pub(crate) peers: Peers,
    /// Whether the process is stopping.
    pub(crate) stopping: AtomicBool,
    /// What peers can read here has changed.
    pub(crate) mirror_changed: Notify,
    /// Whole lists as peers get them.
    pub(crate) packer: Packer,
    settings: ArcSwap<Settings>,
    mirror: Mutex<Mirror>,
    knowledge: Mutex<Knowledge>,
    balance: Mutex<Balancer>,
    budgets: Mutex<HashMap<Arc<str>, Budget>>,
}

/// What this entry knows, and since when.
#[derive(Debug, Default)]
pub(crate) struct Knowledge {
    /// The configuration in force.
    pub(crate) table: Arc<Table>,
    /// When the last question was sent whose answer confirmed the configuration.
    pub(crate) config_confirmed_at: Option<Time>,
    /// The instances.
    pub(crate) fleet: Fleet,
    /// When the last question was sent whose answer confirmed the list of instances.
    pub(crate) fleet_confirmed_at: Option<Time>,
    /// When the instances were listed first.
    pub(crate) fleet_listed_at: Option<Time>,
    /// Entries by name.
    pub(crate) entries: HashMap<Arc<str>, Entry>,
}

impl<P> Shared<P> {
    /// Nothing known yet.
    pub(crate) fn new(
        platform: P,
        settings: Settings,
        clock: Clock,
        journal: Journal,
    ) -> Shared<P> {
        let balance = balance::Settings {
            failure_domain: settings.failure_domain.as_str().into(),
            entry_hash: balance::hash(&settings.instance),
            seed: balance::hash(&settings.instance),
            ..balance::Settings::default()
        };
        let store = pool::Settings {
            keepalive_interval: Some(STORE_KEEPALIVE),
            idle_timeout: Duration::from_secs(10),
            connect_timeout: Duration::from_millis(500),
            ..pool::Settings::default()
        };
        let hold = Limiter::of_memory(settings.memory_bytes());
        Shared {
            platform,
            hold,
            settings: ArcSwap::from_pointee(settings),
            clock,
            journal,
            metrics: Metrics::default(),
            targets: Pool::new(pool::Settings::default()),
            store: Pool::new(store),
            slot_freed: Notify::new(),
            waits: WaitQueue::default(),
            load_changed: Notify::new(),
            fleet_changed: Notify::new(),
            open_connections: AtomicUsize::new(0),
            has_seen_request: AtomicBool::new(false),
            store_up: AtomicBool::new(false),
            peers: Peers::default(),
            stopping: AtomicBool::new(false),
            mirror_changed: Notify::new(),
            packer: Packer::default(),
            mirror: Mutex::default(),
            knowledge: Mutex::default(),
            balance: Mutex::new(Balancer::new(balance)),
            budgets: Mutex::default(),
        }
    }

    /// The settings in force.
    pub(crate) fn settings(&self) -> Arc<Settings> {
        self.settings.load_full()
    }

    /// Puts other settings in force. Where this entry listens doesn't change before a restart.
    pub(crate) fn reload(&self, settings: Settings) {
        self.settings.store(Arc::new(settings));
        self.refresh_targets();
    }

    /// The time now.
    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    /// What is known. Not held across a wait.
    pub(crate) fn knowledge(&self) -> MutexGuard<'_, Knowledge> {
        self.knowledge.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What peers can read here. Not held across a wait.
    pub(crate) fn mirror(&self) -> MutexGuard<'_, Mirror> {
        self.mirror.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The targets and their load. Not held across a wait.
    pub(crate) fn balance(&self) -> MutexGuard<'_, Balancer> {
        self.balance.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the store answered last.
    pub(crate) fn is_store_up(&self) -> bool {
        self.store_up.load(Ordering::Relaxed)
    }

    /// Whether the instances have been watched for as long as those whose entries are gone are
    /// remembered.
    pub(crate) fn has_fleet_history(&self) -> bool {
        let since = self.knowledge().fleet_listed_at;
        since.is_some_and(|it| self.now().since(it) >= fleet::DEPARTED_RETENTION)
    }

    /// Whether there are so many entries that hubs stand between them.
    pub(crate) fn has_hubs(&self) -> bool {
        exchange::Settings::default().has_hubs(self.knowledge().entries.len())
    }

    /// The rank of this entry among those that take on work for others.
    pub(crate) fn rank<'a>(&self, settings: &'a Settings) -> Rank<'a> {
        Rank::new(&settings.instance, settings.millicores())
    }

    /// Whether this entry is the first or the second of its failure domain, as the store lists them.
    pub(crate) fn is_reader_candidate(&self) -> bool {
        let settings = self.settings();
        let own = self.rank(&settings);
        let near = self.neighbors();
        let near = near.iter().filter(|it| it.failure_domain == settings.failure_domain);
        near.filter(|it| Rank::new(&it.name, it.millicores) < own).count() < 2
    }

    /// The other entries that the store lists.
    pub(crate) fn neighbors(&self) -> Vec<Neighbor> {
        let own = &self.settings().instance;
        let knowledge = self.knowledge();
        let others = knowledge.entries.iter().filter(|(name, _)| ***name != **own);
        let neighbor = |(name, entry): (&Arc<str>, &Entry)| Neighbor {
            name: name.to_string(),
            address: entry.address,
            failure_domain: entry.failure_domain.clone(),
            millicores: entry.millicores,
        };
        others.map(neighbor).collect()
    }

    /// Notes that an instance leaves, by its own word.
    pub(crate) fn mark_leaving(&self, target: &str, born: u64) {
        if self.knowledge().fleet.mark_leaving(self.now(), target, born) {
            self.journal.note(&Event::Leaving { target });
            self.refresh_targets();
        }
    }

    /// Counts a caller's request to `service`.
    pub(crate) fn count_request(&self, service: &Arc<str>) {
        let now = self.now();
        self.budget(service, |it| it.record_request(now));
    }

    /// Whether this entry's part of the budget has a repeat to `service` left.
    pub(crate) fn may_retry(&self, service: &Arc<str>) -> bool {
        let now = self.now();
        let entries = self.knowledge().entries.len();
        self.budget(service, |it| it.has_room(now, entries))
    }

    /// Counts a repeat to `service`.
    pub(crate) fn count_retry(&self, service: &Arc<str>) {
        let now = self.now();
        self.budget(service, |it| it.record_retry(now));
    }

    fn budget<T>(&self, service: &Arc<str>, with: impl FnOnce(&mut Budget) -> T) -> T {
        let bounds = &self.settings().bounds;
        let settings = budget::Settings {
            ratio: bounds.retry_ratio,
            window: Duration::from_secs_f64(bounds.retry_window_s),
            slack: bounds.retry_slack,
        };
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        with(budgets.entry(service.clone()).or_insert_with(|| Budget::new(settings)))
    }

    /// Whether this entry should get new connections.
    pub(crate) fn is_ready(&self) -> bool {
        if self.stopping.load(Ordering::Relaxed) {
            return false;
        }
        let knowledge = self.knowledge();
        let age = knowledge.config_confirmed_at.map(|it| self.now().since(it));
        let fresh = age.is_some_and(|it| it < self.settings().bounds.max_config_age_for_ready());
        let services: Vec<_> = knowledge.table.services().map(|it| it.name.clone()).collect();
        drop(knowledge);
        let balance = self.balance();
        fresh && services.iter().any(|it| balance.has_healthy_target(it))
    }

    /// Brings the targets up to date with the configuration and the list of instances.
    pub(crate) fn refresh_targets(&self) {
        let now = self.now();
        let mut knowledge = self.knowledge();
        knowledge.fleet.expire_missing(now);
        let mut balance = self.balance();
        balance.set_entries(knowledge.entries.keys().map(|it| &**it));
        let domains: HashSet<&str> =
            knowledge.entries.values().map(|it| it.failure_domain.as_str()).collect();
        let terms = exchange::Settings::default();
        balance.set_peer_lag(terms.lag(knowledge.entries.len(), domains.len()));
        let bounds = &self.settings().bounds;
        let mut names = Vec::new();
        for service in knowledge.table.services() {
            names.push(service.name.clone());
            let rate = service.warmup_rate * bounds.warmup_excess + bounds.warmup_slack;
            let targets = targets(now, &knowledge.fleet, service);
            balance.set_targets(now, &service.name, service.engine.as_ref(), rate, targets);
        }
        balance.retain_services(&names);
        drop(balance);
        drop(knowledge);
        self.slot_freed.notify_one();
        self.fleet_changed.notify_waiters();
    }

    /// Drops the instances that did not come back in time after an outage.
    pub(crate) fn expire_instances(&self) {
        let lapsed = self.knowledge().fleet.expire_missing(self.now());
        if lapsed {
            self.refresh_targets();
        }
    }

    /// Tells how many targets each service and model has, if that has changed.
    pub(crate) fn report_replica_counts(&self, told: &mut Counts) {
        let counts = self.count();
        for ((service, model), (serving, instances)) in &counts {
            if told.get(&(service.clone(), model.clone())) != Some(&(*serving, *instances)) {
                self.journal.note(&Event::Replicas {
                    service,
                    model,
                    serving: *serving,
                    instances: *instances,
                });
            }
        }
        *told = counts;
    }

    fn count(&self) -> Counts {
        let mut counts = Counts::new();
        let knowledge = self.knowledge();
        for service in knowledge.table.services() {
            let instances = knowledge.fleet.iter().filter(|it| it.service == service.name).count();
            let Some(engine) = &service.engine else {
                counts.insert((service.name.clone(), "".into()), (instances, instances));
                continue;
            };
            for model in &engine.models {
                counts.insert((service.name.clone(), model.name.clone()), (0, instances));
            }
            for replica in knowledge.fleet.replicas(service) {
                let count = counts.entry((service.name.clone(), replica.model));
                count.or_insert((0, instances)).0 += 1;
            }
        }
        counts
    }
}

/// Targets that serve, and instances, by service and model.
pub(crate) type Counts = BTreeMap<(Arc<str>, Arc<str>), (usize, usize)>;

/// The targets of `service`, each with the time for which it is still cold.
fn targets(
    now: Time,
    fleet: &Fleet,
    service: &decision::gateway::config::Service,
) -> Vec<(Target, Duration)> {
    let Some(engine) = &service.engine else {
        let open = fleet.iter().filter(|it| it.service == service.name && fleet.is_accepting(it));
        let plain = open.map(|it| {
            let target = Target {
                id: it.id.clone(),
                incarnation: (it.incarnation, 0),
                address: it.address,
                failure_domain: it.failure_domain.clone(),
                slots: it.slots,
                model: None,
                time_factor: 1.0,
                members: vec![it.id.clone()],
            };
            (target, fleet.warmup_left(now, &it.id))
        });
        return plain.collect();
    };
    let replicas = fleet.replicas(service).into_iter().filter_map(|replica| {
        let head = fleet.get(&replica.members[0])?;
        let target = Target {
            id: head.id.clone(),
            incarnation: (head.incarnation, replica.epoch),
            address: head.address,
            failure_domain: head.failure_domain.clone(),
            slots: engine.slots,
            model: Some(replica.model),
            time_factor: replica.time_factor,
            members: replica.members,
        };
        Some((target, fleet.warmup_left(now, &head.id)))
    });
    replicas.collect()
}
