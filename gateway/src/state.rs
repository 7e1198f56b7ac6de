//! State that the modules of one entry share: what it knows, and which requests are in progress.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use decision::gateway::balance::{self, Balancer, Target};
use decision::gateway::config::Limits;
use decision::gateway::era::Era;
use decision::gateway::exchange::{self, Rank};
use decision::gateway::fleet::{self, Fleet};
use decision::gateway::quarantine::Quarantine;
use decision::gateway::route::Table;
use decision::gateway::warmup;
use decision::prelude::*;
use tokio::sync::{Notify, watch};

use crate::clock::Clock;
use crate::dropped::Dropped;
use crate::journal::{Event, Journal};
use crate::memory::Limiter;
use crate::metrics::Metrics;
use crate::mirror::Mirror;
use crate::peers::{Neighbor, Peers};
use crate::pool::{self, Pool};
use crate::port::Entry;
use crate::progress::Connections;
use crate::relay::pack::Packer;
use crate::retry::{Retries, Verdict};
use crate::settings::Settings;
use crate::stop::Stop;
use crate::wait::WaitQueue;

/// Interval of keepalive pings on a connection to the store.
const STORE_KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// State that the modules of one entry share.
pub(crate) struct Shared<P> {
    /// Adapter of the platform.
    pub(crate) platform: P,
    /// Clock of all times in this state.
    pub(crate) clock: Clock,
    /// Log of decisions.
    pub(crate) journal: Journal,
    /// Counters and histograms.
    pub(crate) metrics: Metrics,
    /// Connections to targets and other instances.
    pub(crate) targets: Pool,
    /// Connections to the store.
    pub(crate) store: Pool,
    /// Notified when a slot of a target may have become free.
    pub(crate) slot_freed: Notify,
    /// Requests that wait for a slot.
    pub(crate) wait_queue: WaitQueue<P>,
    /// Bound of the bytes that are buffered for callers and targets.
    pub(crate) buffer_limiter: Limiter,
    /// Notified when the requests in progress have changed.
    pub(crate) load_changed: Notify,
    /// Notified when the list of instances, or what is known of them, has changed.
    pub(crate) fleet_changed: Notify,
    /// Open connections of callers.
    pub(crate) connections: Connections,
    /// Retry budgets of the services.
    pub(crate) retries: Retries,
    /// Whether a caller's request has arrived, here or at a peer.
    pub(crate) has_seen_request: AtomicBool,
    /// Whether the store answered the last request for the configuration.
    pub(crate) store_up: AtomicBool,
    /// Whether the store's last answer about the configuration could not be taken.
    pub(crate) is_config_untaken: AtomicBool,
    /// State received from peers.
    pub(crate) peers: Peers,
    /// The planned stop of the process.
    pub(crate) stop: Stop,
    /// Notified when the objects that peers can read here have changed.
    pub(crate) mirror_changed: Notify,
    /// Limits of callers' requests by the configuration in force; `None` without one.
    pub(crate) limits: watch::Sender<Option<Limits>>,
    /// The known era of the store; changes when the store was restored from an older copy.
    pub(crate) era: watch::Sender<Era>,
    /// Whether the last response of the store stated its era.
    pub(crate) is_era_stated: AtomicBool,
    /// Whether this entry has asked its peers what they know better than the store.
    pub(crate) is_informed: AtomicBool,
    /// Encoder of complete lists for peers.
    pub(crate) packer: Packer,
    settings: ArcSwap<Settings>,
    mirror: Mutex<Mirror>,
    knowledge: Mutex<Knowledge>,
    balance: Mutex<Balancer>,
    quarantine: Mutex<Quarantine>,
}

/// What this entry knows of the store's objects, and since when.
#[derive(Debug, Default)]
pub(crate) struct Knowledge {
    /// Configuration in force.
    pub(crate) table: Arc<Table>,
    /// Services that it no longer lists.
    pub(crate) dropped: Dropped,
    /// Era of the store in which the configuration in force was last seen there.
    pub(crate) config_era: Era,
    /// When the last request was sent whose response confirmed the configuration.
    pub(crate) config_confirmed_at: Option<Time>,
    /// Known instances.
    pub(crate) fleet: Fleet,
    /// When the last request was sent whose response confirmed the list of instances.
    pub(crate) fleet_confirmed_at: Option<Time>,
    /// Since when the store doesn't answer about the instances; `None` while it does.
    pub(crate) fleet_lost_at: Option<Time>,
    /// When the instances were first listed.
    pub(crate) fleet_listed_at: Option<Time>,
    /// Entries by name.
    pub(crate) entries: HashMap<Arc<str>, Entry>,
}

impl<P> Shared<P> {
    /// Returns the state of an entry that knows nothing yet.
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
            earlier_start_until: match settings.first_start {
                true => Time::ZERO,
                false => Time::ZERO + warmup::WINDOW,
            },
            ..balance::Settings::default()
        };
        let store = pool::Settings {
            keepalive_interval: Some(STORE_KEEPALIVE_INTERVAL),
            idle_timeout: Duration::from_secs(10),
            connect_timeout: Duration::from_millis(500),
            ..pool::Settings::default()
        };
        let targets = pool::Settings {
            unacknowledged_timeout: Some(settings.bounds.unacknowledged_timeout()),
            ..pool::Settings::default()
        };
        let buffer_limiter = Limiter::of_memory(settings.memory_bytes());
        let mirror = Mirror::new(buffer_limiter.clone());
        let retries = Retries::new(settings.first_start);
        let mut quarantine = Quarantine::default();
        quarantine.set_settings(settings.quarantine.settings());
        Shared {
            platform,
            buffer_limiter,
            settings: ArcSwap::from_pointee(settings),
            clock,
            journal,
            metrics: Metrics::default(),
            targets: Pool::new(targets),
            store: Pool::new(store),
            slot_freed: Notify::new(),
            wait_queue: WaitQueue::default(),
            load_changed: Notify::new(),
            fleet_changed: Notify::new(),
            connections: Connections::default(),
            retries,
            has_seen_request: AtomicBool::new(false),
            store_up: AtomicBool::new(false),
            is_config_untaken: AtomicBool::new(false),
            peers: Peers::default(),
            stop: Stop::default(),
            mirror_changed: Notify::new(),
            limits: watch::Sender::new(None),
            era: watch::Sender::new(Era::default()),
            is_era_stated: AtomicBool::new(false),
            is_informed: AtomicBool::new(false),
            packer: Packer::default(),
            mirror: Mutex::new(mirror),
            knowledge: Mutex::default(),
            balance: Mutex::new(Balancer::new(balance)),
            quarantine: Mutex::new(quarantine),
        }
    }

    /// Returns the known era of the store.
    pub(crate) fn era(&self) -> Era {
        *self.era.borrow()
    }

    /// Returns the time until which the objects are held that a restored store has lost.
    pub(crate) fn hold_until(&self) -> Time {
        self.now() + self.settings().bounds.restore_hold()
    }

    /// Returns the settings in force.
    pub(crate) fn settings(&self) -> Arc<Settings> {
        self.settings.load_full()
    }

    /// Puts new settings in force. The listeners keep their addresses until a restart.
    pub(crate) fn reload(&self, settings: Settings) {
        self.quarantine().set_settings(settings.quarantine.settings());
        self.targets.set_unacknowledged_timeout(settings.bounds.unacknowledged_timeout());
        self.settings.store(Arc::new(settings));
        self.refresh_targets();
    }

    /// Returns the current time.
    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    /// Locks the knowledge. The guard must not be held across an await.
    pub(crate) fn knowledge(&self) -> MutexGuard<'_, Knowledge> {
        self.knowledge.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the objects that peers can read here. The guard must not be held across an await.
    pub(crate) fn mirror(&self) -> MutexGuard<'_, Mirror> {
        self.mirror.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the targets and their load. The guard must not be held across an await.
    pub(crate) fn balance(&self) -> MutexGuard<'_, Balancer> {
        self.balance.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks what is known of parts that crash replicas. The guard must not be held across an await.
    pub(crate) fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the store answered the last request for the configuration.
    pub(crate) fn is_store_up(&self) -> bool {
        self.store_up.load(Ordering::Relaxed)
    }

    /// Returns whether this entry may read the store for others: it reached the store, itself or by
    /// a peer, and its configuration was confirmed lately.
    pub(crate) fn has_recent_store(&self) -> bool {
        let confirmed_at = self.knowledge().config_confirmed_at;
        let max_age = self.settings().bounds.max_followed_age();
        self.is_store_up() && confirmed_at.is_none_or(|it| self.now().since(it) < max_age)
    }

    /// Returns whether the instances have been followed for as long as deleted ones are remembered.
    pub(crate) fn has_fleet_history(&self) -> bool {
        let listed_at = self.knowledge().fleet_listed_at;
        listed_at.is_some_and(|it| self.now().since(it) >= fleet::DEPARTED_RETENTION)
    }

    /// Returns whether there are so many entries that they exchange state through hubs.
    pub(crate) fn has_hubs(&self) -> bool {
        exchange::Settings::default().has_hubs(self.knowledge().entries.len())
    }

    /// Returns the rank of this entry among the candidates for work on behalf of others.
    pub(crate) fn rank<'a>(&self, settings: &'a Settings) -> Rank<'a> {
        Rank::new(&settings.instance, settings.millicores())
    }

    /// Returns whether this entry ranks first or second among the listed entries of its failure
    /// domain.
    pub(crate) fn is_reader_candidate(&self) -> bool {
        let settings = self.settings();
        let own = self.rank(&settings);
        let neighbors = self.neighbors();
        let near = neighbors.iter().filter(|it| it.failure_domain == settings.failure_domain);
        near.filter(|it| Rank::new(&it.name, it.millicores) < own).count() < 2
    }

    /// Returns the other entries that the store lists.
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

    /// Records that an instance has announced that it is leaving.
    pub(crate) fn mark_leaving(&self, target: &str, incarnation: u64) {
        if self.knowledge().fleet.mark_leaving(self.now(), target, incarnation) {
            self.journal.note(&Event::Leaving { target });
            self.refresh_targets();
        }
    }

    /// Counts a caller's request to `service` in its retry budget.
    pub(crate) fn count_request(&self, service: &Arc<str>) {
        self.retries.record_request(self.now(), &self.settings().bounds, service);
    }

    /// Decides whether one more retry may be sent to `service`.
    pub(crate) fn retry_verdict(&self, service: &Arc<str>) -> Verdict {
        self.retries.verdict(self.now(), &self.settings().bounds, service)
    }

    /// Returns whether this entry should get new connections: it is not stopping, its configuration
    /// is fresh, and a service has a healthy target.
    pub(crate) fn is_ready(&self) -> bool {
        if self.stop.has_begun() || !self.is_informed.load(Ordering::Relaxed) {
            return false;
        }
        let knowledge = self.knowledge();
        let age = knowledge.config_confirmed_at.map(|it| self.now().since(it));
        let is_fresh = age.is_some_and(|it| it < self.settings().bounds.max_config_age_for_ready());
        let services: Vec<_> = knowledge.table.services().map(|it| it.name.clone()).collect();
        drop(knowledge);
        let balance = self.balance();
        is_fresh && services.iter().any(|it| balance.has_healthy_target(it))
    }

    /// Updates the targets from the configuration and the list of instances.
    pub(crate) fn refresh_targets(&self) {
        let now = self.now();
        let mut knowledge = self.knowledge();
        knowledge.fleet.expire_missing(now);
        let mut balance = self.balance();
        balance.set_entries(knowledge.entries.keys().map(|it| &**it));
        let domains: HashSet<&str> =
            knowledge.entries.values().map(|it| it.failure_domain.as_str()).collect();
        let exchange = exchange::Settings::default();
        balance.set_peer_lag(exchange.lag(knowledge.entries.len(), domains.len()));
        let bounds = &self.settings().bounds;
        let mut names = Vec::new();
        let dropped = knowledge.dropped.in_use(&knowledge.table);
        for service in knowledge.table.services().chain(&dropped) {
            names.push(service.name.clone());
            let rate = service.warmup_rate * bounds.warmup_excess + bounds.warmup_slack;
            let targets = targets(now, &knowledge.fleet, service);
            balance.set_targets(now, &service.name, service.engine.as_ref(), rate, targets);
        }
        balance.retain_services(&names);
        self.retries.retain_services(now, &names);
        drop(balance);
        drop(knowledge);
        self.slot_freed.notify_one();
        self.fleet_changed.notify_waiters();
    }

    /// Drops the instances that did not register again in time after an outage of the store, and
    /// the services that are no longer configured once no request goes to them.
    pub(crate) fn expire_targets(&self) {
        let has_expired = {
            let mut knowledge = self.knowledge();
            knowledge.dropped.forget_unused() | knowledge.fleet.expire_missing(self.now())
        };
        if has_expired {
            self.refresh_targets();
        }
    }

    /// Logs the number of targets of each service and model that differs from `reported`, and
    /// updates `reported`.
    pub(crate) fn report_replica_counts(&self, reported: &mut Counts) {
        let counts = self.count_replicas();
        for ((service, model), (serving, instances)) in &counts {
            if reported.get(&(service.clone(), model.clone())) != Some(&(*serving, *instances)) {
                self.journal.note(&Event::Replicas {
                    service,
                    model,
                    serving: *serving,
                    instances: *instances,
                });
            }
        }
        *reported = counts;
    }

    /// Counts the targets and instances of each service and model.
    fn count_replicas(&self) -> Counts {
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

/// Number of serving targets and of instances, by service and model. The model is empty for a
/// service without an engine.
pub(crate) type Counts = BTreeMap<(Arc<str>, Arc<str>), (usize, usize)>;

/// Returns the targets of `service`, each with the rest of its warm-up time.
fn targets(
    now: Time,
    fleet: &Fleet,
    service: &decision::gateway::config::Service,
) -> Vec<(Target, Duration)> {
    let Some(engine) = &service.engine else {
        let accepting =
            fleet.iter().filter(|it| it.service == service.name && fleet.is_accepting(it));
        let targets = accepting.map(|it| {
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
        return targets.collect();
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
