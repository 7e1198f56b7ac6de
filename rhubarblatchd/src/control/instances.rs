//! The platform's list of instances, and what operators have taken out.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use decision::backoff::Backoff;
use decision::declaration::{Declaration, Set, State};
use decision::evidence::Out;
use decision::lifecycle::Listed;
use decision::name::Name;
use serde::Deserialize;
use store::object::Change;
use store::{Error, Kind, Reading, Store as _, Version};
use tokio::time;

use crate::node::Node;

/// Longest wait of one watch.
const WATCH: Duration = Duration::from_secs(10);

/// Least time between two calls to the store.
const PAUSE: Duration = Duration::from_millis(500);

/// The first call waits for up to this long, so that entries that start together spread.
const START: Duration = Duration::from_secs(2);

/// Waits after failed calls.
const BACKOFF: Backoff = Backoff { first: Duration::from_secs(2), limit: Duration::from_secs(5) };

/// An instance in the platform's list.
#[derive(Clone, Debug, Deserialize)]
struct Instance {
    address: SocketAddr,
    failure_domain: Name,
    fabric_domain: Name,
    accelerators: u32,
    leaving: bool,
}

/// The platform's list as last read.
#[derive(Default)]
pub(super) struct Instances {
    known: Mutex<BTreeMap<Name, Instance>>,
}

impl Instances {
    /// Follows the platform's list until the entry has stopped.
    pub(super) async fn follow(self: Arc<Instances>, node: Arc<Node>) {
        let mut failures = 0;
        time::sleep(START.mul_f64(rand::random())).await;
        while !node.stopped.is_cancelled() {
            if let Err(error) = self.watch(&node, &mut failures).await {
                log::debug!("list of instances not read: {error}");
            }
            failures += 1;
            time::sleep(BACKOFF.delay(failures, node.incarnation.0)).await;
        }
    }

    /// Reads the whole list, then its changes until a call fails.
    async fn watch(&self, node: &Node, failures: &mut u32) -> Result<(), Error> {
        let list = node.store.list::<Reading<Instance>>(Kind::Instance).await?;
        *failures = 0;
        let known = list.objects.into_iter().filter_map(|it| named(&it.name, it.value));
        *self.known.lock().unwrap_or_else(PoisonError::into_inner) = known.collect();
        let mut revision: Version = list.revision;
        while !node.stopped.is_cancelled() {
            let changes =
                node.store.watch::<Reading<Instance>>(Kind::Instance, revision, WATCH).await?;
            revision = changes.revision;
            self.take(changes.objects);
            time::sleep(PAUSE).await;
        }
        Ok(())
    }

    fn take(&self, changes: Vec<Change<Reading<Instance>>>) {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        for change in changes {
            let instance = change.value.and_then(|it| it.readable(Kind::Instance, &change.name));
            match (Name::new(&change.name), instance) {
                (Ok(name), Some(instance)) => drop(known.insert(name, instance)),
                (Ok(name), None) => drop(known.remove(&name)),
                (Err(_), _) => {}
            }
        }
    }

    /// The instances of each fabric domain. Those that `out` takes do not stay.
    pub(super) fn by_fabric(&self, out: &Out) -> BTreeMap<Name, BTreeMap<Name, Listed>> {
        let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let mut fabrics: BTreeMap<Name, BTreeMap<Name, Listed>> = BTreeMap::new();
        for (name, instance) in known.iter() {
            let taken = out.instances.contains(name)
                || out.failure_domains.contains(&instance.failure_domain);
            let listed = Listed {
                address: instance.address,
                failure_domain: instance.failure_domain.clone(),
                accelerators: instance.accelerators,
                stays: !instance.leaving && !taken,
            };
            let fabric = fabrics.entry(instance.fabric_domain.clone()).or_default();
            fabric.insert(name.clone(), listed);
        }
        fabrics
    }
}

/// An instance that can't be read counts as not listed.
fn named(name: &str, instance: Reading<Instance>) -> Option<(Name, Instance)> {
    let instance = instance.readable(Kind::Instance, name)?;
    Some((Name::new(name).ok()?, instance))
}

/// What the configuration takes out.
pub(super) fn out(set: &Set) -> Out {
    let mut out = Out::default();
    for declaration in set.values() {
        match declaration {
            Declaration::FailureDomain(it) if it.state == State::Out => {
                out.failure_domains.insert(it.name.clone());
            }
            Declaration::Instance(it) if it.state == State::Out => {
                out.instances.insert(it.name.clone());
            }
            _ => {}
        }
    }
    out
}
