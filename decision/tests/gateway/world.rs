//! Instances that carry out orders, late and lost ones too, and check that no rule of replicas is
//! broken by any of them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use decision::gateway::engine::Engine;
use decision::gateway::fleet::{Fleet, Instance, Member, Report, State};
use decision::gateway::formation::{Action, Close, Formation, Order, Settings, Taken};
use decision::prelude::*;
use rand::RngExt as _;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;

use crate::support::{at, engine, instance, ms};

/// Milliseconds of one step.
pub(crate) const STEP: u64 = 50;

/// Milliseconds by which the list lags.
const LAG: u64 = 150;

/// Milliseconds after which an entry goes that isn't renewed.
const LAPSE: u64 = 3_600;

/// Milliseconds for which a head stands still that lost a member.
const STALL: u64 = 6_000;

type Key = (Arc<str>, u64);

/// One instance as it is, not as the list shows it.
#[derive(Clone, Debug)]
pub(crate) struct Host {
    pub(crate) instance: Instance,
    members: Vec<Arc<str>>,
    ready_at: u64,
    dead: bool,
    /// Since when it is cut off from the list.
    cut: Option<u64>,
    /// What the list shows of it while it is cut off.
    shown: Option<Instance>,
    /// Whether it is cut off from the owner too, while it serves others.
    hidden: bool,
    broken_at: Option<u64>,
    fence: u64,
    /// Orders that it has taken.
    orders: u64,
}

/// An order that is carried out late, if the host has taken as many orders as then.
struct Late {
    at: u64,
    action: Action,
    fence: u64,
    after: u64,
}

/// Instances, the list of them, and orders on their way.
pub(crate) struct World {
    pub(crate) now: u64,
    pub(crate) hosts: BTreeMap<Arc<str>, Host>,
    engine: Engine,
    views: VecDeque<(u64, Vec<Instance>)>,
    fleet: Fleet,
    formation: Formation,
    late: Vec<Late>,
    ready: BTreeSet<(Key, Arc<str>)>,
    random: Pcg64Mcg,
    pub(crate) lost_share: f64,
    /// When loads were ordered.
    pub(crate) loads: Vec<u64>,
}

impl World {
    pub(crate) fn new(seed: u64, fabrics: usize, size: usize) -> World {
        let mut hosts = BTreeMap::new();
        for fabric in 0..fabrics {
            for place in 0..size {
                let instance = instance(&format!("i{fabric}-{place:02}"), &format!("f{fabric}"));
                hosts.insert(instance.id.clone(), Host::new(instance));
            }
        }
        let mut formation = Formation::new(1, Settings::default());
        formation.free_loads(true);
        World {
            now: 0,
            hosts,
            engine: engine(),
            views: VecDeque::new(),
            fleet: Fleet::default(),
            formation,
            late: Vec::new(),
            ready: BTreeSet::new(),
            random: Pcg64Mcg::seed_from_u64(seed),
            lost_share: 0.0,
            loads: Vec::new(),
        }
    }

    /// Runs for `millis`.
    pub(crate) fn run(&mut self, millis: u64) {
        for _ in 0..millis / STEP {
            self.now += STEP;
            self.step();
        }
    }

    pub(crate) fn end_of_free_loads(&mut self) {
        self.formation.free_loads(false);
    }

    /// A new owner, who knows nothing of what the last one did.
    pub(crate) fn replace_owner(&mut self) {
        let fence = self.formation.fence() + 1;
        self.formation = Formation::new(fence, Settings::default());
        self.formation.follow(at(self.now));
    }

    /// A new owner that reads the list for the first time.
    pub(crate) fn replace_owner_and_list(&mut self) {
        self.replace_owner();
        self.fleet = Fleet::default();
    }

    pub(crate) fn kill(&mut self, id: &str) {
        if let Some(host) = self.hosts.get_mut(id) {
            host.dead = true;
            host.cut.get_or_insert(self.now);
            host.shown.get_or_insert(host.instance.clone());
        }
    }

    pub(crate) fn cut(&mut self, id: &str, on: bool) {
        let now = self.now;
        if let Some(host) = self.hosts.get_mut(id) {
            host.cut = on.then(|| host.cut.unwrap_or(now));
            host.shown = on.then(|| host.shown.take().unwrap_or(host.instance.clone()));
        }
    }

    /// Cuts a host off from the list and from the owner, and not from those that it serves.
    pub(crate) fn hide(&mut self, id: &str, on: bool) {
        self.cut(id, on);
        if let Some(host) = self.hosts.get_mut(id) {
            host.hidden = on;
        }
    }

    pub(crate) fn restart(&mut self, id: &str) {
        if let Some(host) = self.hosts.get_mut(id) {
            let instance = Instance {
                member: None,
                model: None,
                born: host.instance.born + 1,
                ..host.instance.clone()
            };
            *host = Host::new(instance);
        }
    }

    /// Takes the weights from all hosts.
    pub(crate) fn empty(&mut self) {
        self.hosts.values_mut().for_each(|it| it.instance.staged.clear());
    }

    /// Adds an instance without weights.
    pub(crate) fn add(&mut self, id: &str, fabric: &str) {
        let instance = instance(id, fabric);
        self.hosts.insert(instance.id.clone(), Host::new(instance));
    }

    /// Epochs of the replicas that hosts are members of, spares included, in the order of the
    /// hosts.
    pub(crate) fn epochs(&self) -> Vec<u64> {
        let members = self.hosts.values().filter_map(|it| it.instance.member.as_ref());
        members.map(|it| it.epoch).collect()
    }

    /// Members of replicas that serve, by model.
    pub(crate) fn serving(&self, model: &str) -> usize {
        let heads = self.hosts.values().filter(|it| !it.dead && it.state() == Some(State::Open));
        heads.filter(|it| it.instance.model.as_deref() == Some(model) && self.is_whole(it)).count()
    }

    /// Whether `id` is a head that serves.
    pub(crate) fn is_serving(&self, id: &str) -> bool {
        self.hosts.get(id).is_some_and(|it| it.state() == Some(State::Open))
    }

    /// Identifiers of all members of replicas, heads first.
    pub(crate) fn members(&self) -> Vec<Arc<str>> {
        let mut members: Vec<_> = self
            .hosts
            .values()
            .filter(|it| it.members.len() > 1)
            .filter_map(|it| Some((it.instance.member.as_ref()?.rank, it.instance.id.clone())))
            .collect();
        members.sort();
        members.into_iter().map(|(_, id)| id).collect()
    }

    fn is_whole(&self, head: &Host) -> bool {
        head.members.iter().all(|id| {
            let member = self.hosts.get(id);
            member.is_some_and(|it| !it.dead && it.key() == head.key())
        })
    }

    fn step(&mut self) {
        self.settle();
        let due: Vec<_> = self.late.extract_if(.., |it| it.at <= self.now).collect();
        for Late { action, fence, after, .. } in due {
            let orders = self.hosts.get(&action.id).map(|it| it.orders);
            if action.premise.is_none() || orders == Some(after) {
                self.carry_out(&action.id, &action.order, fence);
            }
        }
        self.list();
        let now = at(self.now);
        let survey: Vec<_> = self.fleet.survey(now).collect();
        let actions = {
            let known = survey.iter().map(|(it, presence)| (&**it, *presence));
            self.formation.plan(now, &self.engine, known)
        };
        self.ask_doubtful(now);
        for action in actions {
            if matches!(action.order, Order::Stage { .. }) {
                self.loads.push(self.now);
            }
            let fence = self.formation.fence();
            let born = survey.iter().find(|(it, _)| it.id == action.id).map(|(it, _)| it.born);
            let born = born.unwrap_or_default();
            self.give(now, action, fence, born);
        }
    }

    /// Does what the shell does with an order.
    fn give(&mut self, now: Time, action: Action, fence: u64, born: u64) {
        let Some(host) = self.hosts.get(&action.id).filter(|it| !it.dead && !it.hidden) else {
            return self.formation.lost(now, &action.id, born);
        };
        if action.premise.as_ref().is_some_and(|it| !it.holds(&host.report())) {
            return self.formation.contested(now, &action.id, born);
        }
        if self.random.random_bool(self.lost_share) {
            let (at, after) = (self.now + self.random.random_range(2_000..6_000), host.orders);
            return self.late.push(Late { at, action, fence, after });
        }
        let taken = match self.carry_out(&action.id, &action.order, fence) {
            true => Taken::Yes,
            false => Taken::No,
        };
        self.formation.answered(now, &action.id, born, &action.order, taken);
    }

    fn ask_doubtful(&mut self, now: Time) {
        for (id, _) in self.formation.doubtful() {
            let Some(host) = self.hosts.get(&id) else { continue };
            let born = host.instance.born;
            if host.dead || host.hidden {
                self.formation.lost(now, &id, born);
                continue;
            }
            self.formation.found(now, &id, born);
            let report = host.report();
            self.fleet.observe(&id, report);
        }
    }

    /// Lets members become ready, and heads notice lost members.
    fn settle(&mut self) {
        let keys: BTreeMap<Arc<str>, (bool, Option<Key>)> =
            self.hosts.iter().map(|(id, it)| (id.clone(), (it.dead, it.key()))).collect();
        for (id, host) in &mut self.hosts {
            if host.dead {
                continue;
            }
            let key = host.key();
            let Some(member) = &mut host.instance.member else { continue };
            if member.state == State::Joining && host.ready_at <= self.now {
                member.state = State::Ready;
                let model = host.instance.model.clone();
                host.instance.staged = model.into_iter().collect();
                if let Some(key) = &key {
                    self.ready.insert((key.clone(), id.clone()));
                }
            }
            let whole = host.members.iter().all(|it| keys.get(it) == Some(&(false, key.clone())));
            if member.rank == 0 && member.state == State::Open {
                match (whole, host.broken_at) {
                    (false, None) => host.broken_at = Some(self.now + STALL),
                    (false, Some(broken)) if broken <= self.now => member.state = State::Broken,
                    _ => {}
                }
            }
        }
    }

    fn list(&mut self) {
        let listed =
            self.hosts.values().filter(|it| it.cut.is_none_or(|since| self.now - since < LAPSE));
        let view = listed.map(|it| it.shown.as_ref().unwrap_or(&it.instance).clone()).collect();
        self.views.push_back((self.now, view));
        while let Some((seen, _)) = self.views.front() {
            if *seen + LAG > self.now {
                break;
            }
            if let Some((_, view)) = self.views.pop_front() {
                self.fleet.list(at(self.now), view);
            }
        }
    }

    /// Carries an order out. Panics if that breaks a rule.
    fn carry_out(&mut self, id: &Arc<str>, order: &Order, fence: u64) -> bool {
        let Some(host) = self.hosts.get(id).filter(|it| !it.dead) else { return false };
        if fence < host.fence {
            return false;
        }
        let before = host.clone();
        let done = self.obey(id, &before, order, fence);
        if let Some(host) = self.hosts.get_mut(id).filter(|_| done) {
            host.orders += 1;
        }
        done
    }

    fn obey(&mut self, id: &Arc<str>, before: &Host, order: &Order, fence: u64) -> bool {
        match order {
            Order::Join { group, epoch, model, members } => {
                let key: Key = (group.clone(), *epoch);
                let seen = before.instance.member.as_ref().map_or(0, |it| it.epoch);
                if *epoch < seen || before.key().as_ref() == Some(&key) {
                    return before.key().as_ref() == Some(&key);
                }
                self.check_free(before);
                let Some(model) = self.engine.model(model).cloned() else { return false };
                let rank = members.iter().position(|it| it == id).unwrap_or_default();
                let staged = before.instance.staged.first() == Some(&model.name);
                let wait = match staged {
                    true if before.instance.model.as_ref() == Some(&model.name) => ms(200),
                    true => model.warm,
                    false => model.load,
                };
                let now = self.now;
                let Some(host) = self.hosts.get_mut(id) else { return false };
                let rank = u32::try_from(rank).unwrap_or_default();
                let (group, epoch) = (group.clone(), *epoch);
                host.instance.member = Some(Member { group, epoch, rank, state: State::Joining });
                host.instance.model = Some(model.name);
                host.members = members.clone();
                host.ready_at = now + u64::try_from(wait.as_millis()).unwrap_or_default();
                host.broken_at = None;
                host.fence = fence;
                true
            }
            Order::Open { group, epoch } => {
                let key = (group.clone(), *epoch);
                if before.key() != Some(key.clone()) || before.state() != Some(State::Ready) {
                    return before.state() == Some(State::Open) && before.key() == Some(key);
                }
                for member in &before.members {
                    let ready = self.ready.contains(&(key.clone(), member.clone()));
                    assert!(ready, "{id} opens {key:?} though {member} was never ready in it");
                }
                self.set(id, State::Open)
            }
            Order::Close { group, epoch, mode: Close::Wait | Close::Cut } => {
                let here = before.key() == Some((group.clone(), *epoch));
                here && self.set(id, State::Ready)
            }
            Order::Leave { group, epoch } => {
                if before.key() == Some((group.clone(), *epoch))
                    && let Some(host) = self.hosts.get_mut(id)
                {
                    host.instance.member = None;
                    host.members.clear();
                }
                true
            }
            Order::Stage { model } => {
                if let Some(host) = self.hosts.get_mut(id) {
                    host.instance.staged = vec![model.clone()];
                }
                true
            }
        }
    }

    fn set(&mut self, id: &str, state: State) -> bool {
        let member = self.hosts.get_mut(id).and_then(|it| it.instance.member.as_mut());
        member.map(|it| it.state = state).is_some()
    }

    /// No instance is taken for another replica while the head of its own one may serve.
    fn check_free(&self, host: &Host) {
        let Some(key) = host.key() else { return };
        let head = self.hosts.values().find(|it| {
            it.key().as_ref() == Some(&key)
                && it.instance.member.as_ref().is_some_and(|it| it.rank == 0)
        });
        let Some(head) = head.filter(|it| !it.dead) else { return };
        let serves = matches!(head.state(), Some(State::Open | State::Closing));
        let id = &host.instance.id;
        assert!(!serves, "{id} is taken from {key:?}, whose head {} serves", head.instance.id);
    }
}

impl Host {
    fn new(instance: Instance) -> Host {
        Host {
            instance,
            members: Vec::new(),
            ready_at: 0,
            dead: false,
            cut: None,
            shown: None,
            hidden: false,
            broken_at: None,
            fence: 0,
            orders: 0,
        }
    }

    fn report(&self) -> Report {
        let Instance { born, staged, model, member, .. } = self.instance.clone();
        Report { born, staged, model, member, orders: Some(self.orders) }
    }

    fn key(&self) -> Option<Key> {
        self.instance.member.as_ref().map(|it| (it.group.clone(), it.epoch))
    }

    fn state(&self) -> Option<State> {
        self.instance.member.as_ref().map(|it| it.state)
    }
}
