//! Entries before a store that is restored from older copies, with responses that arrive late and
//! in any order. What is in force never goes back within the hold, and in the end every entry has
//! what the store has.

use std::collections::BTreeMap;
use std::sync::Arc;

use decision::gateway::config::Config;
use decision::gateway::era::{Era, Observation, Version};
use decision::gateway::fleet::{Instance, Phase};
use decision::gateway::hold::Stamped as _;
use decision::prelude::*;
use gateway::mirror::{Mirror, Update};
use gateway::port::{Changes, Item, Kind, Object};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng as _, SeedableRng as _};

/// Runs of the search, each with a seed of its own.
const SEEDS: u64 = 300;

/// Steps of a run.
const STEPS: u64 = 400;

/// Steps for which something is held.
const HOLD_STEPS: u64 = 60;

/// Names of the instances.
const INSTANCES: [&str; 4] = ["a", "b", "c", "d"];

const KINDS: [Kind; 2] = [Kind::Config, Kind::Instances];

fn at(step: u64) -> Time {
    Time::from_millis(step)
}

fn instance(name: &str, sequence: u64) -> Object {
    Object::Instance(Box::new(Instance {
        id: name.into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], 1).into(),
        failure_domain: "a".into(),
        phase: Phase::Ready,
        slots: sequence as u32,
        warmup_left: Duration::ZERO,
        fabric_domain: None,
        staged: Vec::new(),
        model: None,
        member: None,
        incarnation: 1,
        sequence: Some(sequence),
    }))
}

fn config(version: u64) -> Object {
    Object::Config(Box::new(Config {
        version,
        routes: Vec::new(),
        services: Vec::new(),
        limits: Default::default(),
        workspaces: Vec::new(),
    }))
}

/// The objects of both kinds by name.
type Objects = BTreeMap<(u8, Arc<str>), Item>;

fn place(kind: Kind) -> u8 {
    u8::from(kind == Kind::Instances)
}

/// A store whose writers write again what it has lost.
struct Store {
    era: u64,
    revision: u64,
    objects: Objects,
    /// Changes of the current era, and those before the copy that it began with.
    history: Vec<(u64, u8, Arc<str>)>,
    copies: Vec<(u64, Objects)>,
    /// What the writers last wrote: the version, and the state of each instance.
    version: u64,
    sequences: BTreeMap<Arc<str>, (u64, bool)>,
}

impl Store {
    fn new() -> Store {
        let sequences = INSTANCES.iter().map(|it| (Arc::from(*it), (1, true))).collect();
        let mut store = Store {
            era: 1,
            revision: 0,
            objects: Objects::new(),
            history: Vec::new(),
            copies: Vec::new(),
            version: 1,
            sequences,
        };
        store.write_all_again();
        store
    }

    fn put(&mut self, kind: Kind, name: &str, object: Object) {
        self.revision += 1;
        let name: Arc<str> = name.into();
        let item = Item { name: name.clone(), revision: self.revision, object };
        self.history.push((self.revision, place(kind), name.clone()));
        self.objects.insert((place(kind), name), item);
    }

    /// A writer writes something new.
    fn write(&mut self, random: &mut Pcg64Mcg) {
        if below(random, 4) == 0 {
            self.version += 1 + below(random, 3) as u64;
            return self.put(Kind::Config, "main", config(self.version));
        }
        let name = INSTANCES[below(random, 4)];
        let (sequence, is_listed) = self.sequences.get(name).copied().unwrap_or_default();
        self.sequences.insert(name.into(), (sequence + 1, true));
        if is_listed && below(random, 4) == 0 {
            self.sequences.insert(name.into(), (sequence, false));
            self.remove(name);
        } else {
            self.put(Kind::Instances, name, instance(name, sequence + 1));
        }
    }

    fn remove(&mut self, name: &str) {
        let key = (place(Kind::Instances), Arc::from(name));
        if self.objects.remove(&key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.0, key.1));
        }
    }

    /// The writers notice what the store has lost, and write it again.
    fn write_all_again(&mut self) {
        if self.stored(Kind::Config, "main") != Some(self.version) {
            self.put(Kind::Config, "main", config(self.version));
        }
        for (name, (sequence, is_listed)) in self.sequences.clone() {
            match self.stored(Kind::Instances, &name) {
                Some(_) if !is_listed => self.remove(&name),
                stored if is_listed && stored != Some(sequence) => {
                    self.put(Kind::Instances, &name, instance(&name, sequence));
                }
                _ => {}
            }
        }
    }

    /// Returns the count of the stored state of an object.
    fn stored(&self, kind: Kind, name: &str) -> Option<u64> {
        self.objects.get(&(place(kind), name.into()))?.stamp().map(|it| it.count)
    }

    fn restore(&mut self, random: &mut Pcg64Mcg) {
        let index = below(random, self.copies.len() as u64);
        let (revision, objects) = self.copies[index].clone();
        self.copies.truncate(index + 1);
        self.history.retain(|(it, ..)| *it <= revision);
        (self.revision, self.objects) = (revision, objects);
        self.era += 1;
    }

    fn list(&self, kind: Kind) -> Update {
        let items = self.objects.iter().filter(|((it, _), _)| *it == place(kind));
        let changes = Changes { revision: self.revision, ..Changes::default() };
        Update { kind, list: Some(items.map(|(_, it)| it.clone()).collect()), changes }
    }

    /// Returns the changes after a revision, unless the store doesn't have it.
    fn watch(&self, kind: Kind, since: u64) -> Option<Update> {
        if since > self.revision {
            return None;
        }
        let mut changes = Changes { revision: self.revision, ..Changes::default() };
        let later = self.history.iter().filter(|(it, of, _)| *it > since && *of == place(kind));
        let names: std::collections::BTreeSet<Arc<str>> =
            later.map(|(_, _, name)| name.clone()).collect();
        for name in names {
            match self.objects.get(&(place(kind), name.clone())) {
                Some(item) => changes.put.push(item.clone()),
                None => changes.gone.push(name),
            }
        }
        Some(Update { kind, list: None, changes })
    }
}

/// A response that is on its way to an entry.
struct Response {
    to: usize,
    era: u64,
    /// The era in which it was asked for, which its changes follow on.
    base: Era,
    is_from_peer: bool,
    update: Option<Update>,
    kind: Kind,
}

struct Entry {
    mirror: Mirror,
    /// The highest count of each object that was in force, until a hold of it ends unwritten.
    highest: BTreeMap<(u8, Arc<str>), u64>,
}

fn below(random: &mut Pcg64Mcg, limit: u64) -> usize {
    (random.next_u64() % limit) as usize
}

/// Returns the counts of all objects in force at an entry.
fn in_force(mirror: &Mirror) -> BTreeMap<(u8, Arc<str>), u64> {
    let counts = KINDS.iter().flat_map(|kind| {
        mirror.items(*kind).map(|it| {
            ((place(*kind), it.name.clone()), it.stamp().map(|it| it.count).unwrap_or_default())
        })
    });
    counts.collect()
}

impl Entry {
    /// Takes a response as the followers of the store and of a peer do.
    fn receive(&mut self, step: u64, response: &Response) {
        let era = Era(response.era);
        let observation = match response.is_from_peer {
            true => self.mirror.observe_peer_era(era),
            false => self.mirror.observe_era(Some(era)),
        };
        if matches!(observation, Observation::Unconfirmed(_) | Observation::Outdated(_)) {
            return;
        }
        let Some(Update { kind, list, changes }) = &response.update else {
            return self.mirror.require_list(response.kind);
        };
        let version = Version { era, revision: changes.revision };
        match list {
            Some(items) => {
                drop(self.mirror.apply_list(
                    *kind,
                    version,
                    at(step),
                    items,
                    at(step + HOLD_STEPS),
                ));
            }
            None if response.base == era => {
                drop(self.mirror.apply_changes(*kind, era, at(step), changes));
            }
            None => {}
        }
    }

    /// Ends the holds whose time is over, after which an older state may be in force.
    fn expire(&mut self, step: u64) {
        for (kind, changes) in self.mirror.expire_holds(at(step)) {
            for name in changes.put.iter().map(|it| &it.name).chain(&changes.gone) {
                self.highest.remove(&(place(kind), name.clone()));
            }
        }
    }

    /// Checks that nothing went back.
    fn check(&mut self, case: &str) {
        let now = in_force(&self.mirror);
        for (key, count) in now {
            let highest = self.highest.entry(key.clone()).or_default();
            assert!(count >= *highest, "{case}: {key:?} from {highest} to {count}");
            *highest = count;
        }
    }
}

fn run(seed: u64) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut store = Store::new();
    let entry = || Entry { mirror: Mirror::default(), highest: BTreeMap::new() };
    let mut entries: Vec<Entry> = (0..2 + below(&mut random, 4)).map(|_| entry()).collect();
    let mut responses: Vec<Response> = Vec::new();
    for step in 0..STEPS {
        let to = below(&mut random, entries.len() as u64);
        let kind = KINDS[below(&mut random, 2)];
        let since = entries[to].mirror.watch_version(kind);
        match (below(&mut random, 12), since) {
            (0 | 1, _) => store.write(&mut random),
            (2, _) => store.copies.push((store.revision, store.objects.clone())),
            (3, _) if below(&mut random, 5) == 0 && !store.copies.is_empty() => {
                store.restore(&mut random);
            }
            (4, _) if below(&mut random, 3) == 0 => store.write_all_again(),
            (5 | 6, Some(since)) => responses.push(Response {
                to,
                era: store.era,
                base: since.era,
                is_from_peer: false,
                update: store.watch(kind, since.revision),
                kind,
            }),
            (5..=7, _) => responses.push(Response {
                to,
                era: store.era,
                base: Era(store.era),
                is_from_peer: false,
                update: Some(store.list(kind)),
                kind,
            }),
            (8, _) => {
                let from = &entries[(to + 1) % entries.len()].mirror;
                let (era, base) = (from.era(), entries[to].mirror.era());
                let update = from.update_since(kind, since);
                responses.extend(update.map(|update| Response {
                    to,
                    era: era.0,
                    base,
                    is_from_peer: true,
                    update: Some(update),
                    kind,
                }));
            }
            _ if responses.is_empty() => {}
            _ => {
                let index = below(&mut random, responses.len() as u64);
                let response = responses.swap_remove(index);
                entries[response.to].receive(step, &response);
                entries[response.to].check(&format!("seed {seed}, step {step}"));
            }
        }
        entries.iter_mut().for_each(|it| it.expire(step));
    }
    settle(&mut store, &mut entries, &format!("seed {seed}"));
}

/// Lets the writers write again what is lost and the holds end, and compares all entries with the
/// store.
fn settle(store: &mut Store, entries: &mut [Entry], case: &str) {
    store.write_all_again();
    for entry in entries {
        // The first response may only tell the era.
        for _ in 0..2 {
            for kind in KINDS {
                let response = Response {
                    to: 0,
                    era: store.era,
                    base: Era(store.era),
                    is_from_peer: false,
                    update: Some(store.list(kind)),
                    kind,
                };
                entry.receive(STEPS, &response);
            }
        }
        entry.mirror.expire_holds(at(STEPS + HOLD_STEPS));
        let stored = store
            .objects
            .iter()
            .map(|(key, item)| (key.clone(), item.stamp().map(|it| it.count).unwrap_or_default()));
        assert_eq!(in_force(&entry.mirror), stored.collect(), "{case}");
        assert!(KINDS.iter().all(|it| entry.mirror.held_count(*it) == 0), "{case}");
    }
}

#[test]
fn nothing_goes_back_over_restores_and_all_entries_end_like_the_store() {
    (0..SEEDS).for_each(run);
}
