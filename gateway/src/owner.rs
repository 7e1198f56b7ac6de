//! Ownership of the replicas: one entry at a time plans them and gives orders to the instances.
//!
//! The owner is the holder of the [`lease`]. Peers detect by its datagrams whether it is alive, and
//! instances refuse the orders of earlier holders by their fencing tokens.

mod allotment;
mod probe;

use std::collections::HashMap;
use std::sync::Arc;

use decision::gateway::candidate::{self, Candidate};
use decision::gateway::era::Era;
use decision::gateway::fleet::{Instance, Presence};
use decision::gateway::formation::{self, Action, Formation, Order, Reply};
use decision::prelude::*;
use tokio::sync::{Semaphore, mpsc};
use tokio::time::{sleep, timeout};

use self::allotment::Log;
use self::probe::Probe;
use crate::follow;
use crate::journal::Event;
use crate::lease;
use crate::order::{self, Outcome};
use crate::port::{Kind, Lease, Object, Platform};
use crate::state::Shared;

/// Longest interval between two plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);

/// Shortest delay between two plans, so that changes which arrive together are planned at once.
const MIN_PLAN_DELAY: Duration = Duration::from_millis(5);

/// Time without the store after which the owner gives up the lease if a peer reaches the store.
const STORE_OUTAGE_LIMIT: Duration = Duration::from_millis(1_200);

/// Time for which an entry doesn't take the lease again after it couldn't list the instances.
const LIST_FAILURE_BACKOFF: Duration = Duration::from_secs(4);

/// Largest number of orders in progress. More would delay the heartbeats by which peers know that
/// the owner is alive.
const MAX_CONCURRENT_ORDERS: usize = 96;

/// Divisor of an owner's time: it plans for at most one part in this many.
const PLAN_TIME_DIVISOR: u32 = 4;

/// Delay before the lease is read again after a failed read.
const LEASE_READ_BACKOFF: Duration = Duration::from_millis(200);

/// Result of a call to an instance or of a read of the lease.
enum Result {
    Order { id: Arc<str>, incarnation: u64, order: Order, outcome: Outcome },
    Probe { id: Arc<str>, incarnation: u64, is_alive: bool },
    Lease { fence: u64, asked_at: Time, is_held: std::result::Result<bool, follow::Error> },
}

/// State of the read by which the owner confirms that it still holds the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Confirmation {
    Idle,
    /// A read is in progress.
    Pending {
        /// Whether the read before it failed.
        is_retry: bool,
    },
    /// The last read failed at this time.
    Failed(Time),
}

struct Owner<P> {
    shared: Arc<Shared<P>>,
    /// Identifies this start of the process.
    incarnation: u64,
    /// Fencing token under which this entry owns the replicas, if it does.
    fence: Option<u64>,
    /// Era of the store in which it acquired the lease.
    era: Era,
    /// Fencing token of the lease when it was last read.
    known_fence: Option<u64>,
    formations: HashMap<Arc<str>, Formation>,
    /// When another owner, or this entry in an earlier term, may have given its last order.
    last_order_at: Time,
    /// Since when no living owner is known.
    vacant_since: Time,
    /// When the store last answered.
    store_reached_at: Time,
    confirmation: Confirmation,
    probes: HashMap<Arc<str>, Probe>,
    /// Log lines about demand and replicas by model.
    allotment_log: Log,
    /// Latest order to each instance that is in progress or waits for a permit.
    pending: HashMap<Arc<str>, Order>,
    /// Permits for orders in progress.
    order_permits: Arc<Semaphore>,
    results: mpsc::Sender<Result>,
}

/// Takes part in the ownership of the replicas until the process ends.
pub(crate) async fn run<P: Platform>(shared: Arc<Shared<P>>, incarnation: u64) {
    let (results, mut receiver) = mpsc::channel(1_024);
    let vacant_since = shared.now();
    let mut owner = Owner {
        shared: shared.clone(),
        incarnation,
        fence: None,
        era: Era::default(),
        known_fence: None,
        formations: HashMap::new(),
        last_order_at: vacant_since,
        vacant_since,
        store_reached_at: vacant_since,
        confirmation: Confirmation::Idle,
        probes: HashMap::new(),
        allotment_log: Log::default(),
        pending: HashMap::new(),
        order_permits: Arc::new(Semaphore::new(MAX_CONCURRENT_ORDERS)),
        results,
    };
    loop {
        let fleet_changed = shared.fleet_changed.notified();
        tokio::select! {
            Some(result) = receiver.recv() => owner.handle(result),
            _ = timeout(PLAN_INTERVAL, fleet_changed) => {}
        }
        while let Ok(result) = receiver.try_recv() {
            owner.handle(result);
        }
        let started_at = shared.now();
        owner.step().await;
        // Collects changes that arrive together, and leaves time for the entry's other tasks.
        sleep(
            (shared.now().since(started_at) * (PLAN_TIME_DIVISOR - 1))
                .clamp(MIN_PLAN_DELAY, PLAN_INTERVAL),
        )
        .await;
    }
}

impl<P: Platform> Owner<P> {
    /// Plans as the owner, gives up the lease, or tries to take it.
    async fn step(&mut self) {
        let now = self.shared.now();
        let other = self.shared.peers.owner_fence(now);
        match (self.fence, other) {
            (Some(own), Some(other)) if other > own => self.give_up("a peer reports a later owner"),
            (Some(_), _) if self.shared.era() != self.era => {
                self.give_up("the store was restored from an older copy")
            }
            (Some(_), _) if self.is_stale(now) => self.give_up("a peer knows the instances better"),
            (Some(_), _) if self.shared.stop.has_begun() => self.give_up("the process is stopping"),
            (Some(_), _) => self.plan(now),
            (None, Some(_)) => self.vacant_since = now,
            (None, None) if self.may_acquire(now) => self.acquire().await,
            (None, None) => {}
        }
    }

    /// Returns whether the store hasn't answered for long here, and a peer reaches it.
    fn is_stale(&mut self, now: Time) -> bool {
        if self.shared.is_store_up() {
            self.store_reached_at = now;
        }
        now.since(self.store_reached_at) > STORE_OUTAGE_LIMIT
            && self.shared.peers.has_peer_with_store(now)
    }

    /// Returns whether this entry may try to take the vacant lease now.
    fn may_acquire(&self, now: Time) -> bool {
        let knowledge = self.shared.knowledge();
        let has_knowledge = knowledge.fleet_confirmed_at.is_some() && knowledge.table.version() > 0;
        let entries = knowledge.entries.len();
        drop(knowledge);
        if !has_knowledge || self.shared.stop.has_begun() {
            return false;
        }
        let settings = self.shared.settings();
        let own = Candidate {
            name: settings.instance.clone(),
            millicores: settings.millicores(),
            has_store: self.shared.is_store_up(),
            has_history: self.shared.has_fleet_history(),
        };
        let others = self.shared.peers.candidates(now);
        let alive = self.shared.peers.alive_count(now, &settings.failure_domain);
        let delays = candidate::Settings::default();
        let delay = candidate::takeover_delay(&delays, &own, &others, alive, entries);
        delay.is_some_and(|it| now.since(self.vacant_since) >= it)
    }

    /// Takes the lease, unless its holder is alive or another entry takes it at the same time.
    async fn acquire(&mut self) {
        self.vacant_since = self.shared.now();
        let reading = match lease::read(&self.shared).await {
            Ok(reading) => reading,
            Err(error) => return self.report_lease_unreadable(&error),
        };
        if reading.held.as_ref().is_some_and(|it| self.defers_to(&it.object)) {
            return;
        }
        // A new token also if this entry was the last holder: each term has its own epochs.
        let fence = lease::next_fence(&reading).max(self.highest_fence() + 1);
        if lease::try_acquire(&self.shared, &reading, fence, self.incarnation).await {
            self.begin_term(fence, reading.era).await;
        }
    }

    /// Logs that the lease could not be read.
    fn report_lease_unreadable(&self, error: &follow::Error) {
        let reason = error.to_string();
        let event = Event::Lost { dependency: "store", kind: Kind::Leases, reason: &reason };
        self.shared.journal.note(&event);
    }

    /// Starts to read at the store whether this owner still holds the lease, unless a read is in
    /// progress or has just failed.
    fn confirm_lease(&mut self, now: Time, fence: u64) {
        match self.confirmation {
            Confirmation::Pending { .. } => return,
            Confirmation::Failed(at) if now.since(at) < LEASE_READ_BACKOFF => return,
            Confirmation::Failed(_) => self.confirmation = Confirmation::Pending { is_retry: true },
            Confirmation::Idle => self.confirmation = Confirmation::Pending { is_retry: false },
        }
        let (shared, results) = (self.shared.clone(), self.results.clone());
        let era = self.era;
        tokio::spawn(async move {
            let asked_at = shared.now();
            let is_held = lease::is_held(&shared, era, fence).await;
            // The receiver is gone only when the process ends.
            let _sent = results.send(Result::Lease { fence, asked_at, is_held }).await;
        });
    }

    /// Handles the result of [`Owner::confirm_lease`].
    fn lease_confirmed(
        &mut self,
        fence: u64,
        asked_at: Time,
        is_held: std::result::Result<bool, follow::Error>,
    ) {
        let was_retry = self.confirmation == Confirmation::Pending { is_retry: true };
        self.confirmation = Confirmation::Idle;
        match is_held {
            Err(error) => {
                if !was_retry {
                    self.report_lease_unreadable(&error);
                }
                self.confirmation = Confirmation::Failed(self.shared.now());
            }
            // The read belongs to an earlier term.
            Ok(_) if self.fence != Some(fence) => {}
            Ok(true) => self.formations.values_mut().for_each(|it| it.confirm_lease(asked_at)),
            Ok(false) => self.give_up("another entry holds the lease"),
        }
    }

    /// Returns the highest fencing token among the known replicas and of the owners that were heard
    /// of, or 0. They count as the lease may have been lost from the store.
    fn highest_fence(&self) -> u64 {
        let heard = self.shared.peers.highest_fence();
        let knowledge = self.shared.knowledge();
        let instances = knowledge.fleet.iter_with_presence(self.shared.now());
        instances
            .filter_map(|(it, _)| formation::fence_of(&it))
            .max()
            .unwrap_or_default()
            .max(heard)
    }

    /// Returns whether the holder of the lease is alive, or gets time to send its first datagram.
    fn defers_to(&mut self, held: &Object) -> bool {
        let Object::Lease(Lease { holder, incarnation, fence }) = held else { return false };
        let is_alive = self.shared.peers.is_alive(self.shared.now(), holder, *incarnation);
        let known = self.known_fence.replace(*fence);
        candidate::defers_to_holder(*fence, known, is_alive)
    }

    /// Begins to own the replicas after a new list of the instances, which shows what the last
    /// owner did. Peers are told before that, so that none takes over meanwhile and an earlier
    /// owner stops.
    async fn begin_term(&mut self, fence: u64, era: Era) {
        self.shared.peers.set_own_fence(Some(fence));
        if !follow::relist_instances(&self.shared).await {
            // A peer that can list the instances may take the lease meanwhile.
            self.vacant_since = self.shared.now() + LIST_FAILURE_BACKOFF;
            return self.shared.peers.set_own_fence(None);
        }
        self.fence = Some(fence);
        self.era = era;
        // An owner that was never heard of may have given orders until now.
        let heard_at = self.shared.peers.owner_heard_at().unwrap_or(self.shared.now());
        self.last_order_at = self.last_order_at.max(heard_at);
        self.formations.clear();
        self.probes.clear();
        self.shared.journal.note(&Event::Won { fence, era });
    }

    /// Stops owning the replicas.
    fn give_up(&mut self, reason: &str) {
        let Some(fence) = self.fence.take() else { return };
        self.vacant_since = self.shared.now();
        self.last_order_at = self.vacant_since;
        self.formations.clear();
        self.shared.peers.set_own_fence(None);
        self.shared.journal.note(&Event::Yielded { fence, reason });
    }

    /// Plans the replicas of all services and gives the orders that follow.
    fn plan(&mut self, now: Time) {
        let Some(fence) = self.fence else { return };
        self.probe_suspects(now);
        self.shared.expire_targets();
        let (table, instances) = {
            let knowledge = self.shared.knowledge();
            let instances: Vec<(Arc<Instance>, Presence)> =
                knowledge.fleet.iter_with_presence(now).collect();
            (knowledge.table.clone(), instances)
        };
        if self.is_superseded(&instances) {
            return self.give_up("a later owner has formed replicas");
        }
        let has_seen_request =
            self.shared.has_seen_request.load(std::sync::atomic::Ordering::Relaxed);
        let demands = self.shared.balance().demand().total(now);
        let mut unlisted = Vec::new();
        for service in table.services() {
            let Some(engine) = &service.engine else { continue };
            let last_order_at = self.last_order_at;
            let formation = self.formations.entry(service.name.clone()).or_insert_with(|| {
                let mut formation = Formation::new(fence, formation::Settings::default());
                formation.charge_previous_owner(last_order_at);
                formation
            });
            formation.set_loads_exempt(!has_seen_request && self.shared.settings().first_start);
            allotment::record_demand(now, formation, engine, &demands);
            let service_instances = instances.iter().filter(|(it, _)| it.service == service.name);
            let actions = formation.plan(
                now,
                engine,
                service_instances.map(|(it, presence)| (&**it, *presence)),
            );
            unlisted.extend(formation.unlisted());
            log_changes(&self.shared, &service.name, formation);
            let subject = (&*service.name, engine);
            self.allotment_log.write(now, &self.shared.journal, subject, formation, &demands);
            for action in actions {
                self.order(fence, action);
            }
        }
        if self.formations.values().any(Formation::is_waiting_for_lease) {
            self.confirm_lease(now, fence);
        }
        self.probe_unlisted(now, unlisted);
    }

    /// Returns whether the list of instances shows replicas of a later owner. An owner whose
    /// process was paused may read the list before it receives the datagrams of the later one.
    fn is_superseded(&self, instances: &[(Arc<Instance>, Presence)]) -> bool {
        let formations = || self.formations.values();
        instances.iter().any(|(it, _)| formations().any(|formation| formation.is_superseded(it)))
    }

    /// Gives an order in a task of its own, unless the same order is already pending.
    fn order(&mut self, fence: u64, action: Action) {
        if self.pending.get(&action.id) == Some(&action.order) {
            return;
        }
        self.pending.insert(action.id.clone(), action.order.clone());
        let (shared, results) = (self.shared.clone(), self.results.clone());
        let permits = self.order_permits.clone();
        tokio::spawn(async move {
            // The semaphore is never closed.
            let _permit = permits.acquire().await;
            let outcome = order::give(&shared, &action, fence).await;
            let Action { id, incarnation, order, .. } = action;
            // The receiver is gone only when the process ends.
            let _sent = results.send(Result::Order { id, incarnation, order, outcome }).await;
        });
    }

    fn handle(&mut self, result: Result) {
        let now = self.shared.now();
        match result {
            Result::Probe { id, incarnation, is_alive } => {
                self.record_probe(now, &id, incarnation, is_alive)
            }
            Result::Lease { fence, asked_at, is_held } => {
                self.lease_confirmed(fence, asked_at, is_held)
            }
            Result::Order { id, incarnation, order, outcome } => {
                if self.pending.get(&id) == Some(&order) {
                    self.pending.remove(&id);
                }
                if outcome == Outcome::Answered(Reply::Fenced) {
                    return self.handle_fenced(&id, &order);
                }
                for formation in self.formations.values_mut() {
                    match outcome {
                        Outcome::Answered(reply) => {
                            formation.record_reply(now, &id, incarnation, &order, reply);
                        }
                        Outcome::Mismatch => formation.mark_mismatched(now, &id, incarnation),
                        Outcome::Unreachable => formation.mark_unreachable(now, &id, incarnation),
                        Outcome::NoResponse => {}
                    }
                }
                if outcome == Outcome::NoResponse {
                    self.probe_unresponsive(now, id);
                }
            }
        }
    }

    /// Gives up the lease if an instance has accepted orders of a later owner. An instance also
    /// refuses a join in this way if it arrives after the join of a later replica of this owner, so
    /// only the last order counts.
    fn handle_fenced(&mut self, id: &str, order: &Order) {
        if self.formations.values().any(|it| it.is_last_order(id, order)) {
            self.give_up("an instance has seen a later owner");
        }
    }
}

/// Logs the changes of the replicas of a service since the last plan.
fn log_changes<P>(shared: &Shared<P>, service: &str, formation: &mut Formation) {
    let fence = formation.fence();
    for change in formation.take_changes() {
        let cause = change.step.cause();
        shared.journal.note(&Event::Replica {
            service,
            model: &change.model,
            group: &change.group,
            step: change.step.name(),
            instance: cause.and_then(|it| it.instance.as_deref()).unwrap_or_default(),
            reason: cause.map(|it| it.reason.name()).unwrap_or_default(),
            fence,
        });
    }
}
