//! Owns the replicas: one entry at a time plans them and gives orders to the instances.
//!
//! Peers see by datagrams whether the holder of the [`lease`] lives, and instances refuse the
//! orders of an earlier holder.

mod allotment;
mod probe;

use std::collections::HashMap;
use std::sync::Arc;

use decision::gateway::candidate::{self, Candidate};
use decision::gateway::fleet::{Instance, Presence};
use decision::gateway::formation::{self, Action, Formation, Order, Reply};
use decision::prelude::*;
use http::StatusCode;
use tokio::sync::{Semaphore, mpsc};
use tokio::time::{sleep, timeout};

use self::allotment::Told;
use self::probe::Probe;
use crate::follow;
use crate::journal::Event;
use crate::lease;
use crate::order::{self, Outcome};
use crate::port::{Kind, Lease, Object, Platform};
use crate::state::Shared;

/// Pause between two plans without news.
const TICK: Duration = Duration::from_millis(100);

/// Shortest pause between two plans.
const GATHER: Duration = Duration::from_millis(5);

/// Time without the store after which a peer that reaches it had better own the replicas.
const STALE: Duration = Duration::from_millis(1_200);

/// Time for which an entry takes no lease that could not list the instances.
const UNLISTED: Duration = Duration::from_secs(4);

/// Orders that are given at the same time. What waits longer behind them is the word by which
/// peers know that the owner lives.
const ORDERS: usize = 96;

/// Part of its time that an owner may spend on plans: one in so many.
const PLAN_PART: u32 = 4;

/// Pause after which the lease is read again that could not be read.
const LEASE_PAUSE: Duration = Duration::from_millis(200);

/// What came of a call to an instance.
enum Result {
    Order { id: Arc<str>, incarnation: u64, order: Order, outcome: Outcome },
    Probe { id: Arc<str>, incarnation: u64, alive: bool },
    Lease { fence: u64, asked: Time, held: std::result::Result<bool, follow::Error> },
}

/// Whether the owner asks if the lease is still its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reading {
    Idle,
    /// Perhaps after the store did not tell.
    Asked {
        again: bool,
    },
    /// The store did not tell.
    Failed(Time),
}

struct Owner<P> {
    shared: Arc<Shared<P>>,
    incarnation: u64,
    fence: Option<u64>,
    /// Fencing token of the lease when it was read last.
    known_fence: Option<u64>,
    formations: HashMap<Arc<str>, Formation>,
    /// Condition another owner, or this entry in an earlier term, may have given its last orders.
    last_orders: Time,
    vacant_since: Time,
    store_at: Time,
    reading: Reading,
    probes: HashMap<Arc<str>, Probe>,
    /// What was written of the demand for models.
    allotted: Told,
    /// Orders that are being given, or wait for it.
    pending: HashMap<Arc<str>, Order>,
    /// Places for those that are being given.
    places: Arc<Semaphore>,
    results: mpsc::Sender<Result>,
}

/// Takes part in the ownership until the process ends.
pub(crate) async fn run<P: Platform>(shared: Arc<Shared<P>>, incarnation: u64) {
    let (results, mut receiver) = mpsc::channel(1_024);
    let vacant_since = shared.now();
    let mut owner = Owner {
        shared: shared.clone(),
        incarnation,
        fence: None,
        known_fence: None,
        formations: HashMap::new(),
        last_orders: vacant_since,
        vacant_since,
        store_at: vacant_since,
        reading: Reading::Idle,
        probes: HashMap::new(),
        allotted: Told::default(),
        pending: HashMap::new(),
        places: Arc::new(Semaphore::new(ORDERS)),
        results,
    };
    loop {
        let changed = shared.fleet_changed.notified();
        tokio::select! {
            Some(result) = receiver.recv() => owner.take(result),
            _ = timeout(TICK, changed) => {}
        }
        while let Ok(result) = receiver.try_recv() {
            owner.take(result);
        }
        let began = shared.now();
        owner.turn().await;
        // Gathers news that come together, and leaves time for what else the entry does.
        sleep((shared.now().since(began) * (PLAN_PART - 1)).clamp(GATHER, TICK)).await;
    }
}

impl<P: Platform> Owner<P> {
    async fn turn(&mut self) {
        let now = self.shared.now();
        let other = self.shared.peers.owner_fence(now);
        match (self.fence, other) {
            (Some(own), Some(other)) if other > own => self.give_up("a later owner was heard"),
            (Some(_), _) if self.is_stale(now) => self.give_up("a peer knows the instances better"),
            (Some(_), _) if self.is_stopping() => self.give_up("the process stops"),
            (Some(_), _) => self.plan(now),
            (None, Some(_)) => self.vacant_since = now,
            (None, None) if self.may_take(now) => self.acquire().await,
            (None, None) => {}
        }
    }

    fn is_stopping(&self) -> bool {
        self.shared.stopping.load(std::sync::atomic::Ordering::Relaxed)
    }

    fn is_stale(&mut self, now: Time) -> bool {
        if self.shared.is_store_up() {
            self.store_at = now;
        }
        now.since(self.store_at) > STALE && self.shared.peers.has_peer_with_store(now)
    }

    fn may_take(&self, now: Time) -> bool {
        let knowledge = self.shared.knowledge();
        let known = knowledge.fleet_confirmed_at.is_some() && knowledge.table.version() > 0;
        let entries = knowledge.entries.len();
        drop(knowledge);
        if !known || self.is_stopping() {
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
        let waits = candidate::Settings::default();
        let pause = candidate::takeover_delay(&waits, &own, &others, alive, entries);
        pause.is_some_and(|it| now.since(self.vacant_since) >= it)
    }

    /// Takes the lease, if nobody else does at the same time.
    async fn acquire(&mut self) {
        self.vacant_since = self.shared.now();
        let held = match lease::read(&self.shared).await {
            Ok(held) => held,
            Err(error) => return self.lease_lost(&error),
        };
        if held.as_ref().is_some_and(|it| self.leaves_to(&it.object)) {
            return;
        }
        // Also if this entry held it before: each term has epochs of its own.
        let fence = lease::next_fence(held.as_ref()).max(self.highest_fence() + 1);
        if lease::try_acquire(&self.shared, held.as_ref(), fence, self.incarnation).await {
            self.won(fence).await;
        }
    }

    fn lease_lost(&self, error: &follow::Error) {
        let reason = error.to_string();
        let event = Event::Lost { dependency: "store", kind: Kind::Leases, reason: &reason };
        self.shared.journal.note(&event);
    }

    /// Asks the store whether the lease is still this owner's.
    fn confirm(&mut self, now: Time, fence: u64) {
        match self.reading {
            Reading::Asked { .. } => return,
            Reading::Failed(at) if now.since(at) < LEASE_PAUSE => return,
            Reading::Failed(_) => self.reading = Reading::Asked { again: true },
            Reading::Idle => self.reading = Reading::Asked { again: false },
        }
        let (shared, results) = (self.shared.clone(), self.results.clone());
        tokio::spawn(async move {
            let asked = shared.now();
            let held = lease::is_held(&shared, fence).await;
            // Without a receiver the process ends.
            let _sent = results.send(Result::Lease { fence, asked, held }).await;
        });
    }

    fn confirmed(
        &mut self,
        fence: u64,
        asked: Time,
        held: std::result::Result<bool, follow::Error>,
    ) {
        let again = self.reading == Reading::Asked { again: true };
        self.reading = Reading::Idle;
        match held {
            Err(error) => {
                if !again {
                    self.lease_lost(&error);
                }
                self.reading = Reading::Failed(self.shared.now());
            }
            // It was asked in an earlier term.
            Ok(_) if self.fence != Some(fence) => {}
            Ok(true) => self.formations.values_mut().for_each(|it| it.confirm_lease(asked)),
            Ok(false) => self.give_up("another entry holds the lease"),
        }
    }

    /// The highest fencing token whose replicas are known, or 0: the lease may have been lost.
    fn highest_fence(&self) -> u64 {
        let knowledge = self.shared.knowledge();
        let instances = knowledge.fleet.iter_with_presence(self.shared.now());
        instances.filter_map(|(it, _)| formation::fence_of(&it)).max().unwrap_or_default()
    }

    /// Whether the holder of a lease is given the time to be heard.
    fn leaves_to(&mut self, held: &Object) -> bool {
        let Object::Lease(Lease { holder, incarnation, fence }) = held else { return false };
        let lives = self.shared.peers.is_alive(self.shared.now(), holder, *incarnation);
        let known = self.known_fence.replace(*fence);
        candidate::defers_to_holder(*fence, known, lives)
    }

    /// Begins to own, once the list shows what the last owner did. Peers hear of it before, so that
    /// no other one takes over meanwhile, and an earlier owner stops.
    async fn won(&mut self, fence: u64) {
        self.shared.peers.set_own_fence(Some(fence));
        if !follow::relist_instances(&self.shared).await {
            // Others may be able to list, and win meanwhile.
            self.vacant_since = self.shared.now() + UNLISTED;
            return self.shared.peers.set_own_fence(None);
        }
        self.fence = Some(fence);
        // An owner that was never heard may have given orders until now.
        let heard = self.shared.peers.owner_heard_at().unwrap_or(self.shared.now());
        self.last_orders = self.last_orders.max(heard);
        self.formations.clear();
        self.probes.clear();
        self.shared.journal.note(&Event::Won { fence });
    }

    fn give_up(&mut self, reason: &str) {
        let Some(fence) = self.fence.take() else { return };
        self.vacant_since = self.shared.now();
        self.last_orders = self.vacant_since;
        self.formations.clear();
        self.shared.peers.set_own_fence(None);
        self.shared.journal.note(&Event::Yielded { fence, reason });
    }

    /// Plans all services and gives the orders.
    fn plan(&mut self, now: Time) {
        let Some(fence) = self.fence else { return };
        self.probe_suspects(now);
        self.shared.expire_instances();
        let (table, instances) = {
            let knowledge = self.shared.knowledge();
            let instances: Vec<(Arc<Instance>, Presence)> =
                knowledge.fleet.iter_with_presence(now).collect();
            (knowledge.table.clone(), instances)
        };
        if self.is_superseded(&instances) {
            return self.give_up("a later owner has formed replicas");
        }
        let seen = self.shared.has_seen_request.load(std::sync::atomic::Ordering::Relaxed);
        let demands = self.shared.balance().demand().total(now);
        let mut doubtful = Vec::new();
        for service in table.services() {
            let Some(engine) = &service.engine else { continue };
            let last_orders = self.last_orders;
            let formation = self.formations.entry(service.name.clone()).or_insert_with(|| {
                let mut formation = Formation::new(fence, formation::Settings::default());
                formation.charge_previous_owner(last_orders);
                formation
            });
            formation.set_loads_exempt(!seen && self.shared.settings().first_start);
            allotment::hear(now, formation, engine, &demands);
            let of = instances.iter().filter(|(it, _)| it.service == service.name);
            let actions = formation.plan(now, engine, of.map(|(it, presence)| (&**it, *presence)));
            doubtful.extend(formation.unlisted());
            tell(&self.shared, &service.name, formation);
            let of = (&*service.name, engine);
            self.allotted.tell(now, &self.shared.journal, of, formation, &demands);
            for action in actions {
                self.order(fence, action);
            }
        }
        if self.formations.values().any(Formation::is_waiting_for_lease) {
            self.confirm(now, fence);
        }
        self.ask_doubtful(now, doubtful);
    }

    /// Whether the list shows that there is a later owner. One that was paused may read that before
    /// it hears it.
    fn is_superseded(&self, instances: &[(Arc<Instance>, Presence)]) -> bool {
        let formations = || self.formations.values();
        instances.iter().any(|(it, _)| formations().any(|formation| formation.is_superseded(it)))
    }

    /// Gives an order, unless it is waiting to be given.
    fn order(&mut self, fence: u64, action: Action) {
        if self.pending.get(&action.id) == Some(&action.order) {
            return;
        }
        self.pending.insert(action.id.clone(), action.order.clone());
        let (shared, results) = (self.shared.clone(), self.results.clone());
        let places = self.places.clone();
        tokio::spawn(async move {
            // The semaphore is never closed.
            let _place = places.acquire().await;
            let outcome = order::give(&shared, &action, fence).await;
            let Action { id, incarnation, order, .. } = action;
            // Without a receiver the process ends.
            let _sent = results.send(Result::Order { id, incarnation, order, outcome }).await;
        });
    }

    fn take(&mut self, result: Result) {
        let now = self.shared.now();
        match result {
            Result::Probe { id, incarnation, alive } => self.probed(now, &id, incarnation, alive),
            Result::Lease { fence, asked, held } => self.confirmed(fence, asked, held),
            Result::Order { id, incarnation, order, outcome } => {
                if self.pending.get(&id) == Some(&order) {
                    self.pending.remove(&id);
                }
                if outcome == Outcome::Answered(Reply::Fenced) {
                    return self.fenced(&id, &order);
                }
                for formation in self.formations.values_mut() {
                    match outcome {
                        Outcome::Answered(taken) => {
                            formation.record_reply(now, &id, incarnation, &order, taken);
                        }
                        Outcome::Mismatch => formation.mark_mismatched(now, &id, incarnation),
                        Outcome::Unreachable => formation.mark_unreachable(now, &id, incarnation),
                        Outcome::NoResponse => {}
                    }
                }
                if outcome == Outcome::NoResponse {
                    self.ask_silent(now, id);
                }
            }
        }
    }

    /// Gives up if an instance has seen a later owner. It refuses a join in the same way that comes
    /// after one of this owner's next replica.
    fn fenced(&mut self, id: &str, order: &Order) {
        if self.formations.values().any(|it| it.is_last_order(id, order)) {
            self.give_up("an instance has seen a later owner");
        }
    }
}

/// Writes what has become of the replicas of a service.
fn tell<P>(shared: &Shared<P>, service: &str, formation: &mut Formation) {
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

/// Whether a write was refused since the object is there already.
pub(crate) fn already_exists(status: StatusCode) -> bool {
    status == StatusCode::CONFLICT
}
