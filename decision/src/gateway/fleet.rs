//! Keeps the instances that the platform lists, and the replicas that they form.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::gateway::config::Service;
use crate::prelude::*;

/// An instance as the platform lists it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Instance {
    /// Identifier; may stay the same over a restart.
    pub id: Arc<str>,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub failure_domain: Arc<str>,
    /// Whether it accepts new work.
    pub phase: Phase,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Remaining warm-up time when the instance was listed.
    pub warmup_left: Duration,
    /// Fabric domain, if it can be a member of a replica.
    pub fabric_domain: Option<Arc<str>>,
    /// Models whose weights its host keeps.
    pub staged: Vec<Arc<str>>,
    /// The model that it has loaded.
    pub model: Option<Arc<str>>,
    /// The replica that it is a member of.
    pub member: Option<Member>,
    /// Identifier of this start of the instance; changes with each restart.
    pub incarnation: u64,
    /// Count of its registrations since its start, if it states one. Peers send it apart from the
    /// instance, which older builds decode as an array of fixed length.
    #[serde(skip)]
    pub sequence: Option<u64>,
}

/// Whether an instance accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Accepts new work.
    Ready,
    /// Finishes its running requests and then stops.
    Draining,
}

/// The state that an instance reports when it is probed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Identifier of this start of the instance; changes with each restart.
    pub incarnation: u64,
    /// Models whose weights its host keeps.
    pub staged: Vec<Arc<str>>,
    /// The model that it has loaded.
    pub model: Option<Arc<str>>,
    /// The replica that it is a member of.
    pub member: Option<Member>,
    /// Number of orders that it has accepted since its start, if it counts them.
    pub orders: Option<u64>,
}

/// Membership of an instance in a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the replica.
    pub group: Arc<str>,
    /// Epoch of the replica. A later epoch replaces an earlier one.
    pub epoch: u64,
    /// Position in the replica; 0 for the head.
    pub rank: u32,
    /// State of the member.
    pub state: State,
}

impl Member {
    /// Returns the name and epoch of the replica.
    pub(crate) fn key(&self) -> (Arc<str>, u64) {
        (self.group.clone(), self.epoch)
    }

    /// Returns whether it is a member of the replica with this name and epoch.
    pub(crate) fn is_of(&self, (group, epoch): &(Arc<str>, u64)) -> bool {
        self.group == *group && self.epoch == *epoch
    }
}

/// State of a member of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// Loads its weights.
    Joining,
    /// Has loaded its weights and is ready to serve.
    Ready,
    /// Serves requests; only the head has this state.
    Open,
    /// Finishes its running requests and accepts no new ones; only the head has this state.
    Closing,
    /// Has lost contact with another member; only the head has this state.
    Broken,
}

/// A replica that may get new work, according to the list.
#[derive(Clone, Debug)]
pub struct Replica {
    /// Name of the replica.
    pub group: Arc<str>,
    /// Epoch of the replica.
    pub epoch: u64,
    /// Model that it serves.
    pub model: Arc<str>,
    /// Factor on all times of the replica; above 1 is slower.
    pub time_factor: f64,
    /// Identifiers of its members, the head first.
    pub members: Vec<Arc<str>>,
}

/// A change to the list of instances.
#[derive(Clone, Debug)]
pub enum Change {
    /// An instance was added or changed.
    Put(Instance),
    /// The list entry of the instance with this identifier was removed.
    Gone(Arc<str>),
}

/// The listed instances, and those whose list entries were removed a short time ago.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    instances: BTreeMap<Arc<str>, Listed>,
    /// Until when instances are kept whose list entries turn out to be removed. Present while it is read
    /// what changed during an outage.
    grace_until: Option<Time>,
    /// Instances whose list entries were removed during an outage, each with the time until which it
    /// may come back.
    missing: HashMap<Arc<str>, Time>,
    /// Failure domains that are out of service.
    evacuated: HashSet<Arc<str>>,
    /// Instances that reported that they drain, each with its incarnation and the time of the
    /// report. The list may show this later or not at all.
    leaving: HashMap<Arc<str>, (u64, Time)>,
    /// Instances whose list entries were removed.
    departed: BTreeMap<Arc<str>, Departed>,
    change_count: u64,
}

/// Members of a replica, each with its rank.
type Members = Vec<(u32, Arc<str>)>;

/// Time for which an instance is remembered after its list entry was removed.
pub const DEPARTED_RETENTION: Duration = Duration::from_secs(15);

/// Time for which it is remembered that an instance drains; longer than any instance drains.
const LEAVING_RETENTION: Duration = Duration::from_secs(120);

/// Time for which peers are told that an instance drains.
const LEAVING_REPORT_TIME: Duration = Duration::from_secs(10);

/// A listed instance.
#[derive(Clone, Debug)]
struct Listed {
    instance: Arc<Instance>,
    /// When it was last added or changed.
    seen: Time,
}

/// An instance whose list entry was removed.
#[derive(Clone, Debug)]
struct Departed {
    /// When the list entry was removed.
    since: Time,
    instance: Arc<Instance>,
    /// Number of accepted orders in its last report.
    orders: Option<u64>,
}

/// Whether an instance is listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// It is listed.
    Listed,
    /// Its list entry was removed a short time ago. The instance may be alive but cut off from the
    /// store.
    Departed,
}

impl Fleet {
    /// Replaces the whole list. Instances that are missing from `instances` count as removed.
    pub fn replace_all(&mut self, now: Time, instances: impl IntoIterator<Item = Instance>) {
        let mut listed = HashSet::new();
        for instance in instances {
            listed.insert(instance.id.clone());
            self.apply(now, Change::Put(instance));
        }
        let gone: Vec<_> =
            self.instances.keys().filter(|it| !listed.contains(*it)).cloned().collect();
        for id in gone {
            self.apply(now, Change::Gone(id));
        }
    }

    /// Applies one change to the list.
    pub fn apply(&mut self, now: Time, change: Change) {
        self.change_count += 1;
        match change {
            Change::Put(mut instance) => {
                self.missing.remove(&instance.id);
                if self.leaving.get(&instance.id).is_some_and(|it| it.0 == instance.incarnation) {
                    instance.phase = Phase::Draining;
                }
                let id = instance.id.clone();
                self.departed.remove(&id);
                self.instances.insert(id, Listed { instance: Arc::new(instance), seen: now });
            }
            Change::Gone(id) => match self.grace_until {
                Some(until) => drop(self.missing.entry(id).or_insert(until)),
                None => {
                    self.missing.remove(&id);
                    self.remove(now, &id);
                }
            },
        }
    }

    fn remove(&mut self, now: Time, id: &Arc<str>) {
        self.departed.retain(|_, it| now.since(it.since) < DEPARTED_RETENTION);
        if let Some(listed) = self.instances.remove(id) {
            let departed = Departed { since: now, instance: listed.instance, orders: None };
            self.departed.insert(id.clone(), departed);
        }
    }

    /// Records that an instance reported that it drains. Returns whether this wasn't known yet.
    pub fn mark_leaving(&mut self, now: Time, id: &str, incarnation: u64) -> bool {
        self.leaving.retain(|_, (_, at)| now.since(*at) < LEAVING_RETENTION);
        let Some(listed) =
            self.instances.get_mut(id).filter(|it| it.instance.incarnation == incarnation)
        else {
            return false;
        };
        if self.leaving.get(id).is_some_and(|it| it.0 == incarnation) {
            return false;
        }
        self.leaving.insert(listed.instance.id.clone(), (incarnation, now));
        Arc::make_mut(&mut listed.instance).phase = Phase::Draining;
        self.change_count += 1;
        true
    }

    /// Returns the instances that recently reported that they drain, each with its incarnation, the
    /// latest first.
    pub fn leaving(&self, now: Time) -> impl Iterator<Item = (&Arc<str>, u64)> {
        let recent =
            self.leaving.iter().filter(move |(_, it)| now.since(it.1) < LEAVING_REPORT_TIME);
        let mut recent: Vec<_> = recent.collect();
        recent.sort_by_key(|(id, (_, at))| (std::cmp::Reverse(*at), (*id).clone()));
        recent.into_iter().map(|(id, (incarnation, _))| (id, *incarnation))
    }

    /// Updates an instance whose list entry was removed from its own report, since the list can't
    /// show its state.
    pub fn observe(&mut self, id: &str, report: Report) {
        let Some(departed) = self.departed.get_mut(id) else { return };
        let Report { incarnation, staged, model, member, orders } = report;
        // The answers to two probes may arrive in any order.
        if incarnation == departed.instance.incarnation && orders < departed.orders {
            return;
        }
        let instance =
            Instance { incarnation, staged, model, member, ..(*departed.instance).clone() };
        departed.instance = Arc::new(instance);
        departed.orders = orders;
        self.change_count += 1;
    }

    /// Records that the list can be read again after an outage, before what changed meanwhile is
    /// applied. Instances whose list entries were removed during the outage may have expired, and have
    /// `grace` to come back.
    pub fn start_grace(&mut self, now: Time, grace: Duration) {
        self.grace_until = Some(now + grace);
    }

    /// Records that all that changed during an outage was applied. Later removals were made by a
    /// store that was back, so that they hold at once.
    pub fn end_grace(&mut self) {
        self.grace_until = None;
    }

    /// Returns when the next instance that didn't come back is to be removed, if there is one.
    pub fn next_expiry(&self) -> Option<Time> {
        self.missing.values().min().copied()
    }

    /// Removes the instances that didn't come back in their time. Returns whether there were any.
    pub fn expire_missing(&mut self, now: Time) -> bool {
        let expired = self.missing.extract_if(|_, until| *until <= now);
        let expired: Vec<Arc<str>> = expired.map(|(id, _)| id).collect();
        expired.iter().for_each(|id| self.remove(now, id));
        self.change_count += u64::from(!expired.is_empty());
        !expired.is_empty()
    }

    /// Replaces the set of failure domains that are out of service.
    pub fn set_evacuated(&mut self, domains: impl IntoIterator<Item = Arc<str>>) {
        self.evacuated = domains.into_iter().collect();
        self.change_count += 1;
    }

    /// Returns the failure domains that are out of service.
    pub fn evacuated(&self) -> &HashSet<Arc<str>> {
        &self.evacuated
    }

    /// Returns whether a failure domain is out of service.
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.evacuated.contains(domain)
    }

    /// Returns the number of changes so far, from which callers see whether anything changed.
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Returns the listed instance called `id`.
    pub fn get(&self, id: &str) -> Option<&Arc<Instance>> {
        self.instances.get(id).map(|it| &it.instance)
    }

    /// Returns the instance called `id`, also if its list entry was removed a short time ago.
    pub fn find(&self, id: &str) -> Option<&Arc<Instance>> {
        self.get(id).or_else(|| self.departed.get(id).map(|it| &it.instance))
    }

    /// Returns all listed instances, and those whose list entries were removed within
    /// [`DEPARTED_RETENTION`].
    pub fn iter_with_presence(&self, now: Time) -> impl Iterator<Item = (Arc<Instance>, Presence)> {
        let departed = self.departed.values();
        let departed = departed.filter(move |it| now.since(it.since) < DEPARTED_RETENTION);
        let departed = departed.map(|it| (it.instance.clone(), Presence::Departed));
        self.iter().cloned().map(|it| (it, Presence::Listed)).chain(departed)
    }

    /// Returns all listed instances.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Instance>> {
        self.instances.values().map(|it| &it.instance)
    }

    /// Returns the remaining warm-up time of an instance; zero if it isn't listed.
    pub fn warmup_left(&self, now: Time, id: &str) -> Duration {
        let Some(listed) = self.instances.get(id) else { return Duration::ZERO };
        listed.instance.warmup_left.saturating_sub(now.since(listed.seen))
    }

    /// Returns whether new work may be sent to `instance`.
    pub fn is_accepting(&self, instance: &Instance) -> bool {
        instance.phase == Phase::Ready && !self.is_evacuated(&instance.failure_domain)
    }

    /// Returns the replicas of `service` that may get new work: those whose head serves.
    ///
    /// Members aren't checked here. The owner opens only complete replicas, and closes those that
    /// become incomplete.
    pub fn replicas(&self, service: &Service) -> Vec<Replica> {
        let Some(engine) = &service.engine else { return Vec::new() };
        let mut members: HashMap<(&str, u64), Members> = HashMap::new();
        let all = self.instances.values().map(|it| &it.instance);
        for instance in all.chain(self.departed.values().map(|it| &it.instance)) {
            let Some(member) = &instance.member else { continue };
            let key = (&*member.group, member.epoch);
            members.entry(key).or_default().push((member.rank, instance.id.clone()));
        }
        let heads = self.iter().filter(|it| it.service == service.name && self.is_accepting(it));
        let replicas = heads.filter_map(|head| {
            let member = head.member.as_ref()?;
            let serves = member.rank == 0 && member.state == State::Open;
            let model = engine.model(head.model.as_deref()?)?;
            let mut members = members.get(&(&*member.group, member.epoch))?.clone();
            members.sort();
            serves.then(|| Replica {
                group: member.group.clone(),
                epoch: member.epoch,
                model: model.name.clone(),
                time_factor: model.time_factor,
                members: members.into_iter().map(|(_, id)| id).collect(),
            })
        });
        replicas.collect()
    }
}
