//! The instances that the platform lists, and the replicas that they form.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use crate::gateway::config::Service;
use crate::prelude::*;

/// An instance as the platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    /// Its identifier, kept over a restart at times.
    pub id: Arc<str>,
    /// Its service.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
    /// Whether it takes work.
    pub phase: Phase,
    /// Requests that it runs at once.
    pub slots: u32,
    /// How long it was still cold when it last said so.
    pub warmup_left: Duration,
    /// Its fabric domain, if it can be a member of a replica.
    pub fabric: Option<Arc<str>>,
    /// Models whose weights its host keeps.
    pub staged: Vec<Arc<str>>,
    /// The model that it has loaded.
    pub model: Option<Arc<str>>,
    /// The replica that it is a member of.
    pub member: Option<Member>,
    /// Identifies this start of it.
    pub born: u64,
}

/// Whether an instance takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It does.
    Ready,
    /// It ends what it runs and leaves.
    Draining,
}

/// A place in a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of the replica.
    pub group: Arc<str>,
    /// Its epoch. Later ones replace earlier ones.
    pub epoch: u64,
    /// Place, 0 for the head.
    pub rank: u32,
    /// How far it is.
    pub state: State,
}

/// How far a member of a replica is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Its weights are being loaded.
    Joining,
    /// Ready to serve.
    Ready,
    /// The head serves.
    Open,
    /// The head ends what it runs.
    Closing,
    /// The head has lost a member.
    Broken,
}

/// A replica that may serve, as the list shows it.
#[derive(Clone, Debug)]
pub struct Replica {
    /// Its name.
    pub group: Arc<str>,
    /// Its epoch.
    pub epoch: u64,
    /// The model that it serves.
    pub model: Arc<str>,
    /// Factor on all its times.
    pub pace: f64,
    /// Identifiers of its members, the head first.
    pub members: Vec<Arc<str>>,
}

/// A change of the list.
#[derive(Clone, Debug)]
pub enum Change {
    /// An instance appeared or changed.
    Put(Instance),
    /// An instance's entry is gone.
    Gone(Arc<str>),
}

/// The instances that are listed.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    instances: BTreeMap<Arc<str>, Listed>,
    /// Until when entries that are gone are kept, since they may come back after an outage.
    hold_until: Time,
    /// Entries that were gone while they were held.
    missing: HashSet<Arc<str>>,
    evacuated: HashSet<Arc<str>>,
    changes: u64,
}

#[derive(Clone, Debug)]
struct Listed {
    instance: Arc<Instance>,
    seen: Time,
}

impl Fleet {
    /// Replaces the whole list.
    pub fn list(&mut self, now: Time, instances: impl IntoIterator<Item = Instance>) {
        let mut listed = HashSet::new();
        for instance in instances {
            listed.insert(instance.id.clone());
            self.change(now, Change::Put(instance));
        }
        let gone: Vec<_> =
            self.instances.keys().filter(|it| !listed.contains(*it)).cloned().collect();
        for id in gone {
            self.change(now, Change::Gone(id));
        }
    }

    /// Takes one change.
    pub fn change(&mut self, now: Time, change: Change) {
        self.changes += 1;
        match change {
            Change::Put(instance) => {
                self.missing.remove(&instance.id);
                let id = instance.id.clone();
                self.instances.insert(id, Listed { instance: Arc::new(instance), seen: now });
            }
            Change::Gone(id) if now < self.hold_until => {
                self.missing.insert(id);
            }
            Change::Gone(id) => {
                self.instances.remove(&id);
            }
        }
    }

    /// Notes that the list can be read again after an outage. Entries that lapsed meanwhile have
    /// `grace` to come back.
    pub fn regain(&mut self, now: Time, grace: Duration) {
        self.hold_until = now + grace;
    }

    /// Drops the entries that did not come back in time. Returns whether there were any.
    pub fn expire(&mut self, now: Time) -> bool {
        if now < self.hold_until || self.missing.is_empty() {
            return false;
        }
        self.changes += 1;
        let missing = std::mem::take(&mut self.missing);
        missing.iter().for_each(|id| drop(self.instances.remove(id)));
        true
    }

    /// Replaces the failure domains that are out of service.
    pub fn evacuate(&mut self, domains: impl IntoIterator<Item = Arc<str>>) {
        self.evacuated = domains.into_iter().collect();
        self.changes += 1;
    }

    /// The failure domains that are out of service.
    pub fn evacuated(&self) -> &HashSet<Arc<str>> {
        &self.evacuated
    }

    /// Whether a failure domain is out of service.
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.evacuated.contains(domain)
    }

    /// Counts the changes so far.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// The instance called `id`.
    pub fn get(&self, id: &str) -> Option<&Arc<Instance>> {
        self.instances.get(id).map(|it| &it.instance)
    }

    /// All instances.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Instance>> {
        self.instances.values().map(|it| &it.instance)
    }

    /// How long the instance is still cold.
    pub fn warmup_left(&self, now: Time, id: &str) -> Duration {
        let Some(listed) = self.instances.get(id) else { return Duration::ZERO };
        listed.instance.warmup_left.saturating_sub(now.since(listed.seen))
    }

    /// Whether new work may be sent to `instance`.
    pub fn is_open(&self, instance: &Instance) -> bool {
        instance.phase == Phase::Ready && !self.is_evacuated(&instance.failure_domain)
    }

    /// The replicas of `service` that are whole and may get new work.
    pub fn replicas(&self, service: &Service) -> Vec<Replica> {
        let Some(engine) = &service.engine else { return Vec::new() };
        let mut groups: HashMap<(Arc<str>, u64), Vec<&Arc<Instance>>> = HashMap::new();
        for instance in self.iter().filter(|it| it.service == service.name) {
            let Some(member) = &instance.member else { continue };
            groups.entry((member.group.clone(), member.epoch)).or_default().push(instance);
        }
        let whole = groups.into_iter().filter_map(|((group, epoch), mut members)| {
            members.sort_by_key(|it| it.member.as_ref().map(|it| it.rank));
            let head = members.first()?;
            let state = head.member.as_ref()?;
            let model = engine.model(head.model.as_deref()?)?;
            let open = state.rank == 0 && state.state == State::Open && self.is_open(head);
            let ready = members.iter().all(|it| it.phase == Phase::Ready);
            let whole = open && ready && members.len() == model.size;
            whole.then(|| Replica {
                group,
                epoch,
                model: model.name.clone(),
                pace: model.pace,
                members: members.iter().map(|it| it.id.clone()).collect(),
            })
        });
        whole.collect()
    }
}
