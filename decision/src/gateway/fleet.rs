//! The instances that the platform lists, and the replicas that they form.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::gateway::config::Service;
use crate::prelude::*;

/// An instance as the platform lists it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
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
    pub fabric_domain: Option<Arc<str>>,
    /// Models whose weights its host keeps.
    pub staged: Vec<Arc<str>>,
    /// The model that it has loaded.
    pub model: Option<Arc<str>>,
    /// The replica that it is a member of.
    pub member: Option<Member>,
    /// Identifies this start of it.
    pub incarnation: u64,
}

/// Whether an instance takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// It does.
    Ready,
    /// It ends what it runs and leaves.
    Draining,
}

/// What an instance says of itself when it is asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Identifies this start of it.
    pub incarnation: u64,
    /// Models whose weights its host keeps.
    pub staged: Vec<Arc<str>>,
    /// The model that it has loaded.
    pub model: Option<Arc<str>>,
    /// The replica that it is a member of.
    pub member: Option<Member>,
    /// Orders that it has taken since its start, if it counts them.
    pub orders: Option<u64>,
}

/// A place in a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
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

impl Member {
    /// Name and epoch of its replica.
    pub(crate) fn key(&self) -> (Arc<str>, u64) {
        (self.group.clone(), self.epoch)
    }

    /// Whether it is a member of the replica with this name and epoch.
    pub(crate) fn is_of(&self, (group, epoch): &(Arc<str>, u64)) -> bool {
        self.group == *group && self.epoch == *epoch
    }
}

/// How far a member of a replica is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
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
    pub time_factor: f64,
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
    /// Instances that said they leave, each with the start that said so and when it did. The list
    /// may not show it, or later.
    leaving: HashMap<Arc<str>, (u64, Time)>,
    /// Instances whose entries are gone.
    departed: BTreeMap<Arc<str>, Departed>,
    changes: u64,
}

/// Members of a replica with their ranks.
type Ranked = Vec<(u32, Arc<str>)>;

/// Time for which an instance whose entry is gone is remembered.
pub const DEPARTED_RETENTION: Duration = Duration::from_secs(15);

/// Time for which it is remembered that an instance said it leaves, longer than any takes for it.
const LEAVING: Duration = Duration::from_secs(120);

/// Time for which peers are told so.
const LEAVING_TOLD: Duration = Duration::from_secs(10);

#[derive(Clone, Debug)]
struct Listed {
    instance: Arc<Instance>,
    seen: Time,
}

#[derive(Clone, Debug)]
struct Departed {
    since: Time,
    instance: Arc<Instance>,
    /// Orders that it had taken when it last said what it is.
    orders: Option<u64>,
}

/// Whether an instance's entry is in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// It is.
    Listed,
    /// It was until a moment ago. The instance may live, cut off from the store.
    Departed,
}

impl Fleet {
    /// Replaces the whole list.
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

    /// Takes one change.
    pub fn apply(&mut self, now: Time, change: Change) {
        self.changes += 1;
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
            Change::Gone(id) if now < self.hold_until => {
                self.missing.insert(id);
            }
            Change::Gone(id) => self.depart(now, &id),
        }
    }

    fn depart(&mut self, now: Time, id: &Arc<str>) {
        self.departed.retain(|_, it| now.since(it.since) < DEPARTED_RETENTION);
        if let Some(listed) = self.instances.remove(id) {
            let departed = Departed { since: now, instance: listed.instance, orders: None };
            self.departed.insert(id.clone(), departed);
        }
    }

    /// Notes that an instance leaves, by its own word. Returns whether that is news.
    pub fn mark_leaving(&mut self, now: Time, id: &str, born: u64) -> bool {
        self.leaving.retain(|_, (_, at)| now.since(*at) < LEAVING);
        let Some(listed) = self.instances.get_mut(id).filter(|it| it.instance.incarnation == born)
        else {
            return false;
        };
        if self.leaving.get(id).is_some_and(|it| it.0 == born) {
            return false;
        }
        self.leaving.insert(listed.instance.id.clone(), (born, now));
        Arc::make_mut(&mut listed.instance).phase = Phase::Draining;
        self.changes += 1;
        true
    }

    /// Instances that said lately that they leave, each with the start that said so, the latest
    /// first.
    pub fn leaving(&self, now: Time) -> impl Iterator<Item = (&Arc<str>, u64)> {
        let lately = self.leaving.iter().filter(move |(_, it)| now.since(it.1) < LEAVING_TOLD);
        let mut lately: Vec<_> = lately.collect();
        lately.sort_by_key(|(id, (_, at))| (std::cmp::Reverse(*at), (*id).clone()));
        lately.into_iter().map(|(id, (born, _))| (id, *born))
    }

    /// Takes what an instance said of itself whose entry is gone, since the list can't say it.
    pub fn observe(&mut self, id: &str, report: Report) {
        let Some(departed) = self.departed.get_mut(id) else { return };
        let Report { incarnation: born, staged, model, member, orders } = report;
        // Answers to two questions may come in any order.
        if born == departed.instance.incarnation && orders < departed.orders {
            return;
        }
        let instance =
            Instance { incarnation: born, staged, model, member, ..(*departed.instance).clone() };
        departed.instance = Arc::new(instance);
        departed.orders = orders;
        self.changes += 1;
    }

    /// Notes that the list can be read again after an outage. Entries that lapsed meanwhile have
    /// `grace` to come back.
    pub fn start_grace(&mut self, now: Time, grace: Duration) {
        self.hold_until = now + grace;
    }

    /// Drops the entries that did not come back in time. Returns whether there were any.
    pub fn expire_missing(&mut self, now: Time) -> bool {
        if now < self.hold_until || self.missing.is_empty() {
            return false;
        }
        self.changes += 1;
        let missing = std::mem::take(&mut self.missing);
        missing.iter().for_each(|id| self.depart(now, id));
        true
    }

    /// Replaces the failure domains that are out of service.
    pub fn set_evacuated(&mut self, domains: impl IntoIterator<Item = Arc<str>>) {
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
    pub fn change_count(&self) -> u64 {
        self.changes
    }

    /// The instance called `id`.
    pub fn get(&self, id: &str) -> Option<&Arc<Instance>> {
        self.instances.get(id).map(|it| &it.instance)
    }

    /// The instance called `id`, also if its entry is gone since a moment ago.
    pub fn find(&self, id: &str) -> Option<&Arc<Instance>> {
        self.get(id).or_else(|| self.departed.get(id).map(|it| &it.instance))
    }

    /// All instances, and those whose entries are gone since a moment ago.
    pub fn iter_with_presence(&self, now: Time) -> impl Iterator<Item = (Arc<Instance>, Presence)> {
        let departed = self.departed.values();
        let departed = departed.filter(move |it| now.since(it.since) < DEPARTED_RETENTION);
        let departed = departed.map(|it| (it.instance.clone(), Presence::Departed));
        self.iter().cloned().map(|it| (it, Presence::Listed)).chain(departed)
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
    pub fn is_accepting(&self, instance: &Instance) -> bool {
        instance.phase == Phase::Ready && !self.is_evacuated(&instance.failure_domain)
    }

    /// The replicas of `service` that may get new work: those whose head serves. Whether they are
    /// whole is up to their owner, who opens no others and closes those that aren't any more.
    pub fn replicas(&self, service: &Service) -> Vec<Replica> {
        let Some(engine) = &service.engine else { return Vec::new() };
        let mut members: HashMap<(&str, u64), Ranked> = HashMap::new();
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
