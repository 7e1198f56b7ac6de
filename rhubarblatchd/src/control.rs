//! Drives the owners of fabric domains and the evidence that replicas are whole.
//!
//! Each fabric domain has a driver of its own. What all of them share lies in [`Control`], which
//! operators' questions are put to.

mod demand;
mod driver;
mod instances;
mod meter;
pub mod objects;
mod view;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use decision::clock::Time;
use decision::evidence::Evidence;
use decision::name::Name;
use decision::owner::Event;
use decision::placement::{self, Plan};
use decision::survey;
use decision::target::Phase;
use store::client::Client;
use target::{order, report};
use tokio::sync::Semaphore;
use tokio::time;

use crate::node::Node;
use driver::Driver;
use instances::Instances;
use meter::Meter;
use objects::Objects;

const TICK: Duration = Duration::from_millis(100);

/// Time between two plans.
const PLAN: Duration = Duration::from_secs(1);

/// Plans in a row that must agree before a fabric domain follows them. Entries learn of changes
/// at different times, and short-lived plans would start replicas in vain.
const AGREE: u32 = 2;

/// Probes in progress at once, over all fabric domains.
const PROBES: usize = 64;

/// Time without an answer of the store after which it counts as out of reach.
const OUT_OF_REACH: Duration = Duration::from_millis(1_500);

/// How long word of a newer layout makes an entry read a fabric domain's object.
const BEHIND: Duration = Duration::from_secs(2);

/// What the drivers of all fabric domains share.
pub struct Control {
    node: Arc<Node>,
    roles: Mutex<BTreeMap<Name, Role>>,
    plan: ArcSwap<Plan>,
    orders: order::Client,
    reports: report::Client,
    objects: Objects<Client>,
    probes: Semaphore,
    /// When the last call that the store answered was sent.
    reached: Mutex<Time>,
    /// The entries that the exchange has not heard of for long.
    silent: ArcSwap<BTreeSet<Name>>,
    meter: Meter,
}

/// This entry's part in one fabric domain.
#[derive(Clone, Copy, Debug, Default)]
struct Role {
    holds: bool,
    probes: bool,
}

/// What a fabric domain is to run, and how many plans in a row said so.
#[derive(Default)]
struct Agreed {
    wants: Vec<decision::reconcile::Want>,
    plans: u32,
}

impl Control {
    /// Control on behalf of `node`.
    pub fn new(node: Arc<Node>) -> Arc<Control> {
        let objects = Objects::new(node.store.clone(), node.uptime, node.incarnation.0);
        Arc::new(Control {
            node,
            roles: Mutex::default(),
            plan: ArcSwap::default(),
            orders: order::Client::new(order::Settings::default()),
            reports: report::Client::new(report::Settings::default()),
            objects,
            probes: Semaphore::new(PROBES),
            reached: Mutex::default(),
            silent: ArcSwap::default(),
            meter: Meter::new(),
        })
    }

    fn evidence(&self) -> MutexGuard<'_, Evidence> {
        self.node.membership.evidence()
    }

    fn roles(&self) -> MutexGuard<'_, BTreeMap<Name, Role>> {
        self.roles.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that the store answered a call that was sent at `sent`.
    fn reach(&self, sent: Time) {
        let mut reached = self.reached.lock().unwrap_or_else(PoisonError::into_inner);
        *reached = sent.max(*reached);
    }

    /// While the store is out of reach, the freshness rule tells whether there may be anything
    /// newer in it.
    fn confirm(&self) {
        let now = self.node.now();
        let reached = *self.reached.lock().unwrap_or_else(PoisonError::into_inner);
        if now.since(reached) < OUT_OF_REACH {
            return;
        }
        if let Some(at) = self.node.membership.confirmed(now) {
            self.evidence().confirm(at);
        }
    }

    /// Notes this entry's part in a fabric domain.
    fn note(&self, fabric: &Name, holds: bool, probes: bool) {
        let mut roles = self.roles();
        let role = roles.entry(fabric.clone()).or_default();
        (role.holds, role.probes) = (holds, probes);
    }

    /// Whether another entry told of the fabric domain within `patience`.
    fn is_told(&self, now: Time, fabric: &Name, patience: Duration) -> bool {
        self.evidence().is_told(fabric, now.back(patience))
    }

    /// Whether another entry knows a newer layout of the fabric domain.
    fn is_behind(&self, now: Time, fabric: &Name) -> bool {
        self.evidence().is_behind(fabric, now.back(BEHIND))
    }

    /// Notes which entries the exchange has not heard of for long.
    fn listen(&self) {
        let silent = self.node.membership.silent_for_long(self.node.now());
        if **self.silent.load() != silent {
            self.silent.store(Arc::new(silent));
        }
    }

    /// The replicas of a fabric domain that are whole.
    fn whole(&self, now: Time, fabric: &Name) -> Vec<Name> {
        self.evidence().whole(now, fabric)
    }

    /// Hands the targets that may serve to the router.
    fn publish(&self) {
        let configuration = self.node.configuration.load();
        let out = instances::out(&configuration.set);
        let mut evidence = self.evidence();
        evidence.exclude(out.clone());
        let mut targets = evidence.targets(self.node.now());
        drop(evidence);
        let serving = targets.iter().filter(|it| it.phase == Phase::Serving);
        self.meter.serving(serving.count());
        targets.extend(demand::plain(&configuration.set, &out));
        self.node.routing.with(|now, router| router.targets(now, targets));
    }

    fn forget(&self, gone: impl Fn(&Name) -> bool) {
        let mut roles = self.roles();
        let names: BTreeSet<_> = roles.keys().filter(|it| gone(it)).cloned().collect();
        roles.retain(|name, _| !names.contains(name));
        drop(roles);
        let mut evidence = self.evidence();
        for name in &names {
            evidence.forget(name);
        }
    }
}

/// Runs until the entry has stopped.
pub async fn run(control: Arc<Control>) {
    let node = control.node.clone();
    let list = Arc::new(Instances::default());
    let mut follow = tokio::task::JoinSet::new();
    follow.spawn(list.clone().follow(node.clone()));
    let reader = control.clone();
    follow.spawn(async move { reader.objects.run().await });
    let mut drivers: BTreeMap<Name, Driver> = BTreeMap::new();
    let mut agreed: BTreeMap<Name, Agreed> = BTreeMap::new();
    let mut planned = Time::ZERO;
    while !node.stopped.is_cancelled() {
        let now = node.now();
        if now >= planned + PLAN {
            planned = now;
            control.listen();
            direct(&control, &list, &mut drivers, &mut agreed);
        }
        control.confirm();
        control.publish();
        time::sleep(TICK).await;
    }
}

/// Makes a plan and tells every driver its part.
fn direct(
    control: &Arc<Control>,
    list: &Instances,
    drivers: &mut BTreeMap<Name, Driver>,
    agreed: &mut BTreeMap<Name, Agreed>,
) {
    let configuration = control.node.configuration.load();
    let listed = list.by_fabric(&instances::out(&configuration.set));
    drivers.retain(|name, _| listed.contains_key(name));
    agreed.retain(|name, _| listed.contains_key(name));
    control.forget(|name| !listed.contains_key(name));
    let demands = demand::demands(&configuration.set);
    let now = control.node.now();
    let domains = survey::survey(now, &control.evidence(), &listed, survey::Settings::default());
    let plan = placement::plan(&domains, &demands, &placement::Settings::default());
    for (fabric, instances) in listed {
        let driver = drivers
            .entry(fabric.clone())
            .or_insert_with(|| Driver::start(control.clone(), fabric.clone()));
        driver.tell(Event::Instances(instances));
        let wants = plan.wants.get(&fabric).cloned().unwrap_or_default();
        let agreed = agreed.entry(fabric.clone()).or_default();
        agreed.plans = if agreed.wants == wants { agreed.plans + 1 } else { 1 };
        agreed.wants = wants;
        if agreed.plans >= AGREE && configuration.head.generation.0 > 0 {
            driver.tell(Event::Wants(agreed.wants.clone()));
        }
        driver.tell(Event::Loads(plan.loads.get(&fabric).copied().unwrap_or_default()));
    }
    control.meter.leases(control.holds().len());
    control.meter.lacks(plan.lacks.len());
    control.plan.store(Arc::new(plan));
}
