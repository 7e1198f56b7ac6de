//! The mirror of the store, with lists and changes that arrive late, twice and in any order.

use std::collections::BTreeMap;
use std::sync::{Arc, Weak};

use decision::gateway::config::{Config, Workspace};
use decision::gateway::era::{Era, Version};
use decision::prelude::*;
use gateway::memory::Limiter;
use gateway::mirror::{Mirror, Update};
use gateway::port::{Changes, Item, Kind, Object};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng as _, SeedableRng as _};

const KIND: Kind = Kind::Evacuations;

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

/// Returns a revision of the only era of these tests.
fn version(revision: u64) -> Version {
    Version { era: Era::default(), revision }
}

fn item(name: &str, revision: u64) -> Item {
    Item { name: name.into(), revision, object: Object::Evacuation }
}

fn changes(revision: u64, put: &[Item], gone: &[&str]) -> Changes {
    let gone = gone.iter().map(|it| Arc::from(*it)).collect();
    Changes { put: put.to_vec(), gone, revision }
}

/// Returns a mirror with a list of `items` at `revision`, read at that time.
fn mirror_with_list(revision: u64, items: &[Item]) -> Mirror {
    let mut mirror = Mirror::default();
    list(&mut mirror, revision, items);
    mirror
}

fn list(mirror: &mut Mirror, revision: u64, items: &[Item]) {
    drop(mirror.apply_list(KIND, version(revision), at(revision), items, Time::ZERO));
}

/// Applies changes that were requested at the time of their revision.
fn change(mirror: &mut Mirror, changes: &Changes) {
    drop(mirror.apply_changes(KIND, Era::default(), at(changes.revision), changes));
}

/// Returns the known objects, each with its revision.
fn known(mirror: &Mirror) -> BTreeMap<Arc<str>, u64> {
    let items = mirror.update_since(KIND, None).and_then(|it| it.list).unwrap_or_default();
    items.into_iter().map(|it| (it.name, it.revision)).collect()
}

fn objects(items: &[(&str, u64)]) -> BTreeMap<Arc<str>, u64> {
    items.iter().map(|(name, revision)| (Arc::from(*name), *revision)).collect()
}

#[test]
fn an_older_list_is_rejected() {
    let mut mirror = mirror_with_list(9, &[item("a", 8)]);
    list(&mut mirror, 7, &[item("a", 3), item("b", 5)]);
    assert_eq!(known(&mirror), objects(&[("a", 8)]));
    assert_eq!(mirror.watch_version(KIND), Some(version(9)));
}

#[test]
fn an_older_list_is_rejected_while_a_new_list_is_required() {
    let mut mirror = mirror_with_list(9, &[item("a", 8)]);
    mirror.require_list(KIND);
    assert_eq!(mirror.watch_version(KIND), None);
    list(&mut mirror, 7, &[item("a", 3), item("b", 5)]);
    assert_eq!(mirror.watch_version(KIND), None);
    list(&mut mirror, 10, &[item("a", 8), item("c", 10)]);
    assert_eq!(known(&mirror), objects(&[("a", 8), ("c", 10)]));
    assert_eq!(mirror.watch_version(KIND), Some(version(10)));
}

#[test]
fn outdated_lists_and_changes_do_not_advance_the_confirmation() {
    let mut mirror = mirror_with_list(9, &[item("a", 8)]);
    drop(mirror.apply_changes(KIND, Era::default(), at(50), &changes(7, &[item("a", 6)], &[])));
    drop(mirror.apply_list(KIND, version(7), at(60), &[], Time::ZERO));
    drop(mirror.apply_changes(KIND, Era::default(), at(70), &changes(8, &[], &[])));
    assert_eq!(mirror.confirmed_at(KIND), Some(at(9)));
    drop(mirror.apply_changes(KIND, Era::default(), at(80), &changes(9, &[], &[])));
    assert_eq!(mirror.confirmed_at(KIND), Some(at(80)));
}

#[test]
fn an_object_is_not_replaced_by_an_older_one() {
    let mut mirror = mirror_with_list(9, &[item("a", 8)]);
    change(&mut mirror, &changes(10, &[item("a", 6), item("b", 10)], &[]));
    assert_eq!(known(&mirror), objects(&[("a", 8), ("b", 10)]));
}

#[test]
fn an_older_put_does_not_bring_back_a_removed_object() {
    let mut mirror = mirror_with_list(9, &[]);
    change(&mut mirror, &changes(10, &[item("a", 6)], &[]));
    assert_eq!(known(&mirror), objects(&[]));
    change(&mut mirror, &changes(12, &[item("a", 11)], &[]));
    assert_eq!(known(&mirror), objects(&[("a", 11)]));
}

#[test]
fn a_removal_after_the_known_revision_of_an_object_applies() {
    let mut mirror = mirror_with_list(9, &[item("a", 8), item("b", 7)]);
    change(&mut mirror, &changes(10, &[], &["a"]));
    assert_eq!(known(&mirror), objects(&[("b", 7)]));
}

/// The pages of a list are read one after the other, and its revision is that of the first page.
#[test]
fn an_object_from_a_later_page_of_a_list_survives_an_earlier_removal() {
    let mut mirror = mirror_with_list(9, &[item("a", 8), item("b", 12)]);
    change(&mut mirror, &changes(11, &[], &["b"]));
    assert_eq!(known(&mirror), objects(&[("a", 8), ("b", 12)]));
    list(&mut mirror, 11, &[]);
    assert_eq!(known(&mirror), objects(&[("b", 12)]));
}

#[test]
fn changes_before_the_first_list_are_ignored() {
    let mut mirror = Mirror::default();
    change(&mut mirror, &changes(9, &[item("a", 8)], &[]));
    assert_eq!(mirror.watch_version(KIND), None);
    assert!(mirror.update_since(KIND, None).is_none());
}

#[test]
fn a_list_without_differences_yields_no_changes() {
    let items = [item("a", 8), item("b", 7)];
    let mut mirror = mirror_with_list(9, &items);
    assert_eq!(
        mirror.apply_list(KIND, version(10), at(10), &items, Time::ZERO).map(|it| it.is_empty()),
        Ok(true)
    );
    assert_eq!(mirror.watch_version(KIND), Some(version(10)));
}

/// A store with all its events, so that its objects at each revision are known.
struct Store {
    /// One event per revision: the name, and whether it was put or removed. `None` is a change of
    /// another kind.
    events: Vec<Option<(Arc<str>, bool)>>,
}

impl Store {
    fn write(&mut self, rng: &mut Pcg64Mcg) {
        let name = ["a", "b", "c", "d"][below(rng, 4)];
        // Some changes are of another kind.
        let event = (below(rng, 3) > 0).then(|| (Arc::from(name), below(rng, 3) > 0));
        self.events.push(event);
    }

    fn revision(&self) -> u64 {
        self.events.len() as u64
    }

    /// Returns the objects at a revision.
    fn objects_at(&self, revision: u64) -> BTreeMap<Arc<str>, u64> {
        let mut objects = BTreeMap::new();
        for (at, event) in (1..=revision).zip(&self.events) {
            match event {
                Some((name, true)) => drop(objects.insert(name.clone(), at)),
                Some((name, false)) => drop(objects.remove(name)),
                None => {}
            }
        }
        objects
    }

    fn list(&self) -> Update {
        let objects = self.objects_at(self.revision());
        let items = objects.iter().map(|(name, revision)| item(name, *revision)).collect();
        let changes = changes(self.revision(), &[], &[]);
        Update { kind: KIND, list: Some(items), changes }
    }

    /// Returns the last change of each object after a revision.
    fn watch(&self, since: u64) -> Update {
        let objects = self.objects_at(self.revision());
        let later = (1..).zip(&self.events).skip(since as usize);
        let names: std::collections::BTreeSet<&str> =
            later.filter_map(|(_, it)| it.as_ref()).map(|(name, _)| &**name).collect();
        let put: Vec<Item> =
            names.iter().filter_map(|it| Some(item(it, *objects.get(*it)?))).collect();
        let gone: Vec<&str> =
            names.iter().copied().filter(|it| !objects.contains_key(*it)).collect();
        Update { kind: KIND, list: None, changes: changes(self.revision(), &put, &gone) }
    }
}

fn below(rng: &mut Pcg64Mcg, limit: u64) -> usize {
    (rng.next_u64() % limit) as usize
}

fn apply(mirror: &mut Mirror, update: &Update) {
    match &update.list {
        Some(items) => list(mirror, update.changes.revision, items),
        None => change(mirror, &update.changes),
    }
}

/// Guards against an update that applies to another state than the one it was made for. Two entries
/// list and watch a store and read from each other, and the responses arrive late and in any order.
#[test]
fn the_mirror_equals_the_store_at_its_revision() {
    // The second size has room for one removal.
    for bytes in [64_000_000, 8_000] {
        compare_mirrors_with_store(bytes);
    }
}

fn compare_mirrors_with_store(bytes: usize) {
    for seed in 0..400 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut store = Store { events: Vec::new() };
        (0..5).for_each(|_| store.write(&mut rng));
        let mut mirrors = [0, 1].map(|_| Mirror::new(Limiter::new(bytes)));
        mirrors.iter_mut().for_each(|it| apply(it, &store.list()));
        let mut responses: Vec<(usize, Update)> = Vec::new();
        for step in 0..300 {
            let own = below(&mut rng, 2);
            let since = mirrors[own].watch_version(KIND);
            match (below(&mut rng, 8), since) {
                (0 | 1, _) => store.write(&mut rng),
                (2, _) => responses.push((own, store.list())),
                (3, Some(since)) => responses.push((own, store.watch(since.revision))),
                (4, _) => {
                    responses.extend(mirrors[1 - own].update_since(KIND, since).map(|it| (own, it)))
                }
                (5, _) if below(&mut rng, 6) == 0 => mirrors[own].require_list(KIND),
                _ if responses.is_empty() => {}
                _ => {
                    let (to, update) =
                        responses.swap_remove(below(&mut rng, responses.len() as u64));
                    let before = known(&mirrors[to]);
                    apply(&mut mirrors[to], &update);
                    let Some(known_version) = mirrors[to].watch_version(KIND) else { continue };
                    let objects = store.objects_at(known_version.revision);
                    let after = known(&mirrors[to]);
                    assert_eq!(
                        after, objects,
                        "seed {seed}, step {step}, {update:?} on {before:?}"
                    );
                }
            }
        }
    }
}

/// Guards against a memory that fills with configurations that later ones have replaced.
#[test]
fn replaced_configurations_are_not_kept_for_peers() {
    let mut mirror = Mirror::default();
    drop(mirror.apply_list(Kind::Config, version(1), at(1), &[], Time::ZERO));
    let mut configurations: Vec<Weak<str>> = Vec::new();
    for revision in 2..=200 {
        let name: Arc<str> = format!("w{revision}").into();
        configurations.push(Arc::downgrade(&name));
        let workspace = Workspace { name, keys: Vec::new(), priority: None };
        let config = Config { workspaces: vec![workspace], ..Config::default() };
        let object = Object::Config(Box::new(config));
        let changes = changes(revision, &[Item { name: "main".into(), revision, object }], &[]);
        drop(mirror.apply_changes(Kind::Config, Era::default(), at(revision), &changes));
    }
    let kept = configurations.iter().filter(|it| it.upgrade().is_some()).count();
    assert_eq!(kept, 1);
    let update = mirror.update_since(Kind::Config, Some(version(7)));
    let update = update.expect("the kind was listed");
    assert!(update.list.is_none(), "a peer that lags behind gets the last change only");
    assert_eq!(update.changes.put.len(), 1);
}

/// Guards against removals that fill the memory, and against peers that miss those forgotten.
#[test]
fn removals_of_all_kinds_are_kept_up_to_a_bound_in_bytes() {
    let limiter = Limiter::new(640_000);
    let mut mirror = Mirror::new(limiter.clone());
    let kinds = [Kind::Evacuations, Kind::Quarantines];
    let names: Vec<String> = (0..500).map(|it| format!("object-{it}")).collect();
    let items: Vec<Item> = names.iter().map(|it| item(it, 1)).collect();
    for kind in kinds {
        drop(mirror.apply_list(kind, version(1), at(1), &items, Time::ZERO));
    }
    for (revision, name) in (2..).zip(&names) {
        for kind in kinds {
            let changes = changes(revision, &[], &[name]);
            drop(mirror.apply_changes(kind, Era::default(), at(revision), &changes));
        }
        assert!(limiter.used() <= 10_000, "{} bytes are kept", limiter.used());
    }
    for kind in kinds {
        assert!(mirror.has_update(kind, Some(version(2))));
        let listed = mirror.update_since(kind, Some(version(2))).and_then(|it| it.list);
        assert_eq!(listed.map(|it| it.len()), Some(0));
        let recent = mirror.update_since(kind, Some(version(500))).expect("the kind was listed");
        assert!(recent.list.is_none());
        assert_eq!(recent.changes.gone, [Arc::from("object-499")]);
    }
}

/// Guards against a peer that is told nothing of a removal for which no memory was left.
#[test]
fn a_removal_without_memory_makes_peers_list_the_kind() {
    let limiter = Limiter::new(640_000);
    let mut mirror = Mirror::new(limiter.clone());
    list(&mut mirror, 9, &[item("a", 8), item("b", 7)]);
    let _buffered = limiter.reserve(640_000).expect("nothing is reserved");
    change(&mut mirror, &changes(10, &[], &["a"]));
    assert!(mirror.has_update(KIND, Some(version(9))));
    let listed = mirror.update_since(KIND, Some(version(9))).and_then(|it| it.list);
    assert_eq!(listed.map(|it| it.len()), Some(1));
}
