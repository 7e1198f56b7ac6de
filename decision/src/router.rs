//! Decides what becomes of each request at this entry: sent to a target, forwarded to a peer,
//! queued or refused.
//!
//! The daemon calls [`Router::admit`] once for each request, carries out the answer, reports what
//! came of each attempt, and calls [`Router::next`] after each report and at [`Router::wake`].

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use serde::{Deserialize, Serialize};
use slotmap::SlotMap;

use crate::cache::Source;
use crate::declaration::{Declaration, Id, Kind, Profile, Set, State};
use crate::ejection;
use crate::gate::{self, Gate};
use crate::handover::{Change, Handover, Mark};
use crate::head::Generation;
use crate::job::{Job, Remnant};
use crate::pool::{Isolation, TargetKey};
use crate::prefix;
use crate::prelude::*;
use crate::ramp::{self, Stage};
use crate::request::{Forwarding, Ticket};
use crate::retry;
use crate::service::{Service, Status};
use crate::share::View;
use crate::target::{Epoch, Phase, Process, Target};
use crate::track::{Listed, Report, Track};

/// Time between two rounds of upkeep: idle slots, holds and ejections.
const UPKEEP: Duration = Duration::from_millis(250);

/// Stages in one digest.
const MAX_STAGES: usize = 16;

/// How the router decides.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The failure domain that this entry runs in.
    pub failure_domain: Name,
    /// Longest time that an attempt can last on a target. Grows to the longest deadline declared.
    pub longest_attempt: Duration,
    /// Whether requests may be forwarded to peers.
    pub forwarding: Forwarding,
    /// Time during which no peer is asked for a slot after one had none.
    pub peer_pause: Duration,
    /// Ramp of targets that were cold.
    pub ramp: ramp::Settings,
    /// Retries.
    pub retry: retry::Settings,
    /// Ejection of stragglers.
    pub ejection: ejection::Settings,
    /// Gates before failure domains that returned.
    pub gate: gate::Settings,
    /// Seed of the random choices.
    pub seed: u64,
}

/// What an entry tells its peers about targets. A few hundred bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// How far it has given up the slots of earlier rosters, or `None` while it can't say.
    pub mark: Option<Mark>,
    /// Some targets' stages, by the hash of the target. The newest bad signs come first.
    pub stages: Vec<(u64, Stage)>,
}

/// Decides what becomes of each request at this entry.
#[derive(Debug)]
pub struct Router {
    pub(crate) settings: Settings,
    pub(crate) services: BTreeMap<Name, Service>,
    pub(crate) jobs: SlotMap<Ticket, Job>,
    pub(crate) timers: BTreeSet<(Time, Ticket)>,
    pub(crate) touched: BTreeSet<Name>,
    pub(crate) weights: HashMap<Name, u32>,
    pub(crate) handover: Handover,
    pub(crate) random: Pcg64Mcg,
    pub(crate) remnants: HashMap<(Ticket, u32), Remnant>,
    pub(crate) phase: Phase,
    /// Failure domains that returned and have not shown that they answer.
    pub(crate) gates: BTreeMap<Name, Gate>,
    /// Failure domains with a target that may serve.
    present: BTreeSet<Name>,
    out: HashSet<Name>,
    /// The last list of targets, and whether the configuration changed since.
    list: Vec<Target>,
    changed: bool,
    hashes: BTreeMap<u64, (Name, TargetKey)>,
    news: Vec<u64>,
    cursor: usize,
    upkeep: Time,
    pub(crate) probe_at: Time,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            failure_domain: Name::default(),
            longest_attempt: Duration::from_secs(120),
            forwarding: Forwarding::On,
            peer_pause: Duration::from_millis(50),
            ramp: ramp::Settings::default(),
            retry: retry::Settings::default(),
            ejection: ejection::Settings::default(),
            gate: gate::Settings::default(),
            seed: 0,
        }
    }
}

impl Router {
    /// A router without services, roster or targets.
    pub fn new(settings: Settings) -> Router {
        Router {
            services: BTreeMap::new(),
            jobs: SlotMap::with_key(),
            timers: BTreeSet::new(),
            touched: BTreeSet::new(),
            weights: HashMap::new(),
            handover: Handover::new(settings.longest_attempt),
            random: Pcg64Mcg::seed_from_u64(settings.seed),
            remnants: HashMap::new(),
            phase: Phase::Serving,
            gates: BTreeMap::new(),
            present: BTreeSet::new(),
            out: HashSet::new(),
            list: Vec::new(),
            changed: true,
            hashes: BTreeMap::new(),
            news: Vec::new(),
            cursor: 0,
            upkeep: Time::ZERO,
            probe_at: Time::ZERO,
            settings,
        }
    }

    /// Takes a configuration. Requests in progress of a removed service end by themselves.
    pub fn configure(&mut self, now: Time, set: &Set) {
        self.weights.clear();
        self.out.clear();
        let mut declared = HashSet::new();
        for declaration in set.values() {
            match declaration {
                Declaration::Workspace(it) => {
                    self.weights.insert(it.name.clone(), it.weight);
                }
                Declaration::FailureDomain(it) if it.state == State::Out => {
                    self.out.insert(it.name.clone());
                }
                Declaration::Service(it) => {
                    let id = Id { kind: Kind::Profile, name: it.profile.clone() };
                    let Some(Declaration::Profile(profile)) = set.get(&id) else { continue };
                    self.declare(&it.name, profile);
                    declared.insert(it.name.clone());
                }
                _ => {}
            }
        }
        self.changed = true;
        self.retire(&declared);
        self.lengthen();
        self.reassign(now);
    }

    /// Lets attempts last as long as the longest deadline of a service.
    fn lengthen(&mut self) {
        let deadlines = self.services.values().map(|it| it.profile.deadline_ms);
        let longest = Duration::from_millis(deadlines.max().unwrap_or_default());
        self.settings.longest_attempt = self.settings.longest_attempt.max(longest);
        self.handover.lengthen(longest);
    }

    /// Takes this entry's view of the roster.
    pub fn roster(&mut self, now: Time, view: View) {
        if *self.handover.view() == view {
            return;
        }
        if self.handover.update(now, view) == Change::Void {
            let services = self.services.values_mut();
            let tracks = services.flat_map(|it| it.pool.tracks.values_mut());
            tracks.for_each(Track::void);
        }
        self.reassign(now);
    }

    /// Takes the whole list of targets that may serve. A target that is missing gets nothing new.
    pub fn targets(&mut self, now: Time, targets: impl IntoIterator<Item = Target>) {
        let targets: Vec<Target> = targets.into_iter().collect();
        if targets == self.list && !self.changed {
            return;
        }
        self.changed = false;
        self.list.clone_from(&targets);
        let mut listed = HashSet::new();
        for target in targets {
            let name = target.service.clone();
            let Some(service) = self.services.get_mut(&name) else { continue };
            let target = Arc::new(target);
            let key = service.pool.put(now, &target);
            listed.insert((name.clone(), key));
            if let Some(track) = service.pool.tracks.get_mut(key) {
                let hash = track.hash;
                let before = track.ramp.stage();
                if target.process != before.process {
                    service.pool.prefix.forget(key);
                }
                track.renew(now, target);
                if track.ramp.stage() != before {
                    self.announce(hash);
                }
                self.hashes.insert(hash, (name, key));
            }
        }
        for (name, service) in &mut self.services {
            for (key, track) in &mut service.pool.tracks {
                let out = self.out.contains(&track.target.failure_domain);
                let known = listed.contains(&(name.clone(), key));
                let listed = if known { Listed::Yes } else { Listed::No };
                track.listed = listed.with(out);
            }
        }
        self.reassign(now);
    }

    /// Takes no new requests from now on. What is in progress or waits ends by itself.
    pub fn drain(&mut self) {
        self.phase = Phase::Draining;
    }

    /// Takes a target's own report of its load.
    pub fn report(&mut self, now: Time, service: &Name, target: &Name, report: Report) {
        let Some(service_state) = self.services.get_mut(service) else { return };
        let Some(key) = service_state.pool.key(target) else { return };
        let Some(track) = service_state.pool.tracks.get_mut(key) else { return };
        track.note(report);
        if report.running == 0 {
            let bound = self.settings.longest_attempt;
            track.held().for_each(|slot| slot.clear(report.taken, bound));
            self.index(now, service, key);
        }
    }

    /// Takes the report of a replica, whose service it does not name.
    pub fn report_replica(&mut self, now: Time, replica: &Name, report: Report) {
        let with = self.services.iter().filter(|(_, it)| it.pool.key(replica).is_some());
        let names: Vec<Name> = with.map(|(name, _)| name.clone()).collect();
        names.iter().for_each(|name| self.report(now, name, replica, report));
    }

    /// The replicas at which this entry holds slots, whose cache events are of use to it.
    pub fn sources(&self) -> Vec<Source> {
        let tracks = self.services.values().flat_map(|it| it.pool.tracks.values());
        let held = tracks.filter(|it| it.phase() == Phase::Serving && !it.slots.is_empty());
        let replicas = held.filter(|it| it.target.epoch > Epoch::default());
        let source = |track: &Track| Source {
            service: track.target.service.clone(),
            target: track.target.name.clone(),
            address: track.target.address,
            process: track.target.process,
        };
        replicas.map(source).collect()
    }

    /// Takes changes of the prefix cache of a target's `process`.
    pub fn cache(
        &mut self,
        service: &Name,
        target: &Name,
        process: Process,
        events: &[prefix::Event],
    ) {
        let Some(service) = self.services.get_mut(service) else { return };
        let Some(key) = service.pool.key(target) else { return };
        if service.pool.tracks.get(key).is_none_or(|it| it.target.process != process) {
            return;
        }
        for event in events {
            match *event {
                prefix::Event::Add(block) => service.pool.prefix.add(block, key),
                prefix::Event::Drop(block) => service.pool.prefix.drop(block, key),
                prefix::Event::Gap => service.pool.prefix.forget(key),
            }
        }
    }

    /// What to tell the peers now.
    pub fn digest(&mut self, now: Time) -> Digest {
        let mut hashes = std::mem::take(&mut self.news);
        let all = self.hashes.len();
        let rest = self.hashes.keys().cycle().skip(self.cursor).take(MAX_STAGES.min(all));
        hashes.extend(rest);
        hashes.truncate(MAX_STAGES);
        self.cursor = (self.cursor + MAX_STAGES) % all.max(1);
        let stage = |hash: u64| Some((hash, self.stage(hash)?));
        let stages = hashes.into_iter().filter_map(stage).collect();
        Digest { mark: self.handover.may_mark(now).then(|| self.mark(now)), stages }
    }

    /// Takes what the peer `from` told.
    pub fn hear(&mut self, now: Time, from: &Name, digest: Digest) {
        if let Some(mark) = digest.mark {
            self.handover.mark(from, mark);
        }
        for (hash, stage) in digest.stages {
            let Some((name, key)) = self.hashes.get(&hash).cloned() else { continue };
            let Some(service) = self.services.get_mut(&name) else { continue };
            let Some(track) = service.pool.tracks.get_mut(key) else { continue };
            let before = track.ramp.stage();
            track.ramp.hear(now, stage, &self.settings.ramp);
            if track.ramp.stage() != before {
                self.announce(hash);
            }
            self.index(now, &name, key);
        }
    }

    /// The services as operators see them.
    pub fn status(&self, now: Time) -> Vec<Status> {
        let service = |(name, service): (&Name, &Service)| Status {
            service: name.clone(),
            queued: service.queued(),
            cached: service.pool.prefix.len(),
            gated: self.gates.keys().cloned().collect(),
            targets: service.targets(now),
        };
        self.services.iter().map(service).collect()
    }

    /// When [`Router::next`] must be called at the latest.
    pub fn wake(&self) -> Time {
        let timer = self.timers.first().map(|(at, _)| *at);
        let waiting = self.services.values().any(|it| it.queued() > 0);
        let probe = waiting.then_some(self.probe_at);
        [timer, probe].into_iter().flatten().fold(self.upkeep, Time::min)
    }

    /// Frees slots whose earlier holders are done, ends holds, and ejects stragglers.
    pub(crate) fn upkeep(&mut self, now: Time) {
        if now < self.upkeep {
            return;
        }
        self.upkeep = now + UPKEEP;
        self.settle_due(now);
        self.gates.retain(|_, gate| !gate.is_over(now, &self.settings.gate));
        for service in self.services.values_mut() {
            if service.long_until <= now {
                service.pool.isolation = Isolation::Off;
            }
            ejection::eject(now, &mut service.pool, &self.settings.ejection);
            for track in service.pool.tracks.values_mut() {
                track.release(now, &self.handover);
            }
        }
        self.index_all(now);
    }

    /// Notes that a target's stage changed, so that peers hear of it first.
    pub(crate) fn announce(&mut self, hash: u64) {
        if self.news.len() < MAX_STAGES && !self.news.contains(&hash) {
            self.news.push(hash);
        }
    }

    /// Brings the indices up to date with one target.
    pub(crate) fn index(&mut self, now: Time, name: &Name, key: TargetKey) {
        let Some(service) = self.services.get_mut(name) else { return };
        let track = service.pool.tracks.get(key);
        let gate = track.and_then(|it| self.gates.get(&it.target.failure_domain));
        service.pool.index(now, key, &service.profile, &self.settings.failure_domain, gate);
        service.pool.prune(key);
        if service.queued() > 0 {
            self.touched.insert(name.clone());
        }
    }

    /// Changes the gate of a failure domain, if it has one, and the indices with it.
    pub(crate) fn gate(
        &mut self,
        now: Time,
        domain: &Name,
        change: impl FnOnce(&mut Gate, &gate::Settings),
    ) {
        let Some(gate) = self.gates.get_mut(domain) else { return };
        change(gate, &self.settings.gate);
        if gate.is_over(now, &self.settings.gate) {
            self.gates.remove(domain);
        }
        let mut behind = Vec::new();
        for (name, service) in &self.services {
            let tracks = service.pool.tracks.iter();
            let of = tracks.filter(|(_, it)| it.target.failure_domain == *domain);
            behind.extend(of.map(|(key, _)| (name.clone(), key)));
        }
        behind.into_iter().for_each(|(name, key)| self.index(now, &name, key));
    }

    /// Puts a gate before each failure domain that returned while others serve.
    fn regate(&mut self, now: Time) {
        let tracks = self.services.values().flat_map(|it| it.pool.tracks.values());
        let listed = tracks.filter(|it| it.listed == Listed::Yes);
        let present: BTreeSet<Name> = listed.map(|it| it.target.failure_domain.clone()).collect();
        let before = std::mem::replace(&mut self.present, present);
        self.gates.retain(|domain, _| self.present.contains(domain));
        if !before.is_empty() {
            for domain in self.present.difference(&before) {
                let gate = Gate::new(now, &self.settings.gate);
                self.gates.insert(domain.clone(), gate);
            }
        }
        for service in self.services.values_mut() {
            let mut listed = service.pool.tracks.values().filter(|it| it.listed == Listed::Yes);
            service.pool.elsewhere =
                listed.any(|it| !self.gates.contains_key(&it.target.failure_domain));
        }
    }

    fn declare(&mut self, name: &Name, profile: &Profile) {
        match self.services.get_mut(name) {
            Some(service) => service.profile = profile.clone(),
            None => {
                let service = Service::new(profile.clone(), &self.settings.retry);
                self.services.insert(name.clone(), service);
            }
        }
    }

    fn retire(&mut self, declared: &HashSet<Name>) {
        for (name, service) in &mut self.services {
            for track in service.pool.tracks.values_mut() {
                let out = self.out.contains(&track.target.failure_domain);
                track.listed = track.listed.with(out);
            }
            service.retired = !declared.contains(name);
        }
        self.touched.retain(|name| declared.contains(name));
        let busy = |service: &Service| service.pool.tracks.values().any(|it| it.running > 0);
        self.services.retain(|_, it| !it.retired || it.queued() > 0 || busy(it));
    }

    fn reassign(&mut self, now: Time) {
        self.regate(now);
        for service in self.services.values_mut() {
            service.pool.divide();
            let limit = service.profile.warm_limit.max(service.profile.cold_limit);
            for track in service.pool.tracks.values_mut() {
                track.assign(limit, &self.handover);
                track.release(now, &self.handover);
            }
        }
        self.index_all(now);
    }

    fn index_all(&mut self, now: Time) {
        let names: Vec<Name> = self.services.keys().cloned().collect();
        names.iter().for_each(|name| self.index_service(now, name));
        let services = &self.services;
        self.hashes.retain(|_, (name, key)| {
            services.get(name).is_some_and(|it| it.pool.tracks.contains_key(*key))
        });
    }

    pub(crate) fn index_service(&mut self, now: Time, name: &Name) {
        let Some(service) = self.services.get(name) else { return };
        let keys: Vec<TargetKey> = service.pool.tracks.keys().collect();
        keys.into_iter().for_each(|key| self.index(now, name, key));
    }

    fn stage(&self, hash: u64) -> Option<Stage> {
        let (name, key) = self.hashes.get(&hash)?;
        let track = self.services.get(name)?.pool.tracks.get(*key)?;
        Some(track.ramp.stage())
    }

    fn mark(&self, now: Time) -> Mark {
        let mut over = Vec::new();
        for service in self.services.values() {
            let tracks = service.pool.tracks.values();
            let unsettled = tracks.filter(|it| !it.is_settled(now, &service.profile));
            over.extend(unsettled.map(|it| it.hash));
        }
        let ended = self.phase == Phase::Draining && self.jobs.is_empty();
        let generation = match ended && self.remnants.is_empty() {
            true => Generation(u64::MAX),
            false => self.handover.view().generation,
        };
        Mark { generation, over }
    }
}
