//! The mirror of the store, with lists and changes that arrive late, twice and in any order.

use std::collections::BTreeMap;
use std::sync::Arc;

use decision::prelude::*;
use gateway::mirror::{Mirror, News};
use gateway::port::{Changes, Item, Kind, Object};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng as _, SeedableRng as _};

const KIND: Kind = Kind::Evacuations;

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

fn item(name: &str, revision: u64) -> Item {
    Item { name: name.into(), revision, object: Object::Evacuation }
}

fn changes(revision: u64, put: &[Item], gone: &[&str]) -> Changes {
    let gone = gone.iter().map(|it| Arc::from(*it)).collect();
    Changes { put: put.to_vec(), gone, revision }
}

/// Returns a mirror with a list of `items` at `revision`, read at that time.
fn listed(revision: u64, items: &[Item]) -> Mirror {
    let mut mirror = Mirror::default();
    list(&mut mirror, revision, items);
    mirror
}

fn list(mirror: &mut Mirror, revision: u64, items: &[Item]) {
    drop(mirror.list(KIND, revision, at(revision), items));
}

/// Applies changes that were requested at the time of their revision.
fn change(mirror: &mut Mirror, changes: &Changes) {
    drop(mirror.change(KIND, at(changes.revision), changes));
}

/// Returns the known objects, each with its revision.
fn known(mirror: &Mirror) -> BTreeMap<Arc<str>, u64> {
    let items = mirror.news(KIND, None).and_then(|it| it.list).unwrap_or_default();
    items.into_iter().map(|it| (it.name, it.revision)).collect()
}

fn objects(items: &[(&str, u64)]) -> BTreeMap<Arc<str>, u64> {
    items.iter().map(|(name, revision)| (Arc::from(*name), *revision)).collect()
}

#[test]
fn an_older_list_replaces_nothing() {
    let mut mirror = listed(9, &[item("a", 8)]);
    list(&mut mirror, 7, &[item("a", 3), item("b", 5)]);
    assert_eq!(known(&mirror), objects(&[("a", 8)]));
    assert_eq!(mirror.revision(KIND), Some(9));
}

#[test]
fn an_older_list_replaces_nothing_after_the_history_is_cut() {
    let mut mirror = listed(9, &[item("a", 8)]);
    mirror.cut(KIND);
    assert_eq!(mirror.revision(KIND), None);
    list(&mut mirror, 7, &[item("a", 3), item("b", 5)]);
    assert_eq!(mirror.revision(KIND), None);
    list(&mut mirror, 10, &[item("a", 8), item("c", 10)]);
    assert_eq!(known(&mirror), objects(&[("a", 8), ("c", 10)]));
    assert_eq!(mirror.revision(KIND), Some(10));
}

#[test]
fn what_ends_before_what_is_known_confirms_nothing() {
    let mut mirror = listed(9, &[item("a", 8)]);
    drop(mirror.change(KIND, at(50), &changes(7, &[item("a", 6)], &[])));
    drop(mirror.list(KIND, 7, at(60), &[]));
    drop(mirror.change(KIND, at(70), &changes(8, &[], &[])));
    assert_eq!(mirror.known(KIND), Some(at(9)));
    drop(mirror.change(KIND, at(80), &changes(9, &[], &[])));
    assert_eq!(mirror.known(KIND), Some(at(80)));
}

#[test]
fn an_object_is_not_replaced_by_an_older_one() {
    let mut mirror = listed(9, &[item("a", 8)]);
    change(&mut mirror, &changes(10, &[item("a", 6), item("b", 10)], &[]));
    assert_eq!(known(&mirror), objects(&[("a", 8), ("b", 10)]));
}

#[test]
fn an_older_put_revives_nothing_that_is_gone() {
    let mut mirror = listed(9, &[]);
    change(&mut mirror, &changes(10, &[item("a", 6)], &[]));
    assert_eq!(known(&mirror), objects(&[]));
    change(&mut mirror, &changes(12, &[item("a", 11)], &[]));
    assert_eq!(known(&mirror), objects(&[("a", 11)]));
}

#[test]
fn what_is_gone_later_than_it_is_known_is_gone_whenever_that_was_asked() {
    let mut mirror = listed(9, &[item("a", 8), item("b", 7)]);
    change(&mut mirror, &changes(10, &[], &["a"]));
    assert_eq!(known(&mirror), objects(&[("b", 7)]));
}

/// The pages of a list are read one after the other, and its revision is that of the first page.
#[test]
fn an_object_of_a_later_part_of_a_list_stays_although_it_was_gone_before() {
    let mut mirror = listed(9, &[item("a", 8), item("b", 12)]);
    change(&mut mirror, &changes(11, &[], &["b"]));
    assert_eq!(known(&mirror), objects(&[("a", 8), ("b", 12)]));
    list(&mut mirror, 11, &[]);
    assert_eq!(known(&mirror), objects(&[("b", 12)]));
}

#[test]
fn changes_of_what_was_never_listed_are_no_list() {
    let mut mirror = Mirror::default();
    change(&mut mirror, &changes(9, &[item("a", 8)], &[]));
    assert_eq!(mirror.revision(KIND), None);
    assert!(mirror.news(KIND, None).is_none());
}

#[test]
fn what_is_listed_again_is_no_news() {
    let items = [item("a", 8), item("b", 7)];
    let mut mirror = listed(9, &items);
    assert_eq!(mirror.list(KIND, 10, at(10), &items).map(|it| it.is_empty()), Ok(true));
    assert_eq!(mirror.revision(KIND), Some(10));
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
    fn held(&self, revision: u64) -> BTreeMap<Arc<str>, u64> {
        let mut held = BTreeMap::new();
        for (at, event) in (1..=revision).zip(&self.events) {
            match event {
                Some((name, true)) => drop(held.insert(name.clone(), at)),
                Some((name, false)) => drop(held.remove(name)),
                None => {}
            }
        }
        held
    }

    fn list(&self) -> News {
        let held = self.held(self.revision());
        let items = held.iter().map(|(name, revision)| item(name, *revision)).collect();
        let changes = changes(self.revision(), &[], &[]);
        News { kind: KIND, list: Some(items), changes }
    }

    /// Returns the last change of each object after a revision.
    fn watch(&self, since: u64) -> News {
        let held = self.held(self.revision());
        let later = (1..).zip(&self.events).skip(since as usize);
        let names: std::collections::BTreeSet<&str> =
            later.filter_map(|(_, it)| it.as_ref()).map(|(name, _)| &**name).collect();
        let put: Vec<Item> =
            names.iter().filter_map(|it| Some(item(it, *held.get(*it)?))).collect();
        let gone: Vec<&str> = names.iter().copied().filter(|it| !held.contains_key(*it)).collect();
        News { kind: KIND, list: None, changes: changes(self.revision(), &put, &gone) }
    }
}

fn below(rng: &mut Pcg64Mcg, limit: u64) -> usize {
    (rng.next_u64() % limit) as usize
}

fn hear(mirror: &mut Mirror, news: &News) {
    match &news.list {
        Some(items) => list(mirror, news.changes.revision, items),
        None => change(mirror, &news.changes),
    }
}

/// Guards against an update that applies to another state than the one it was made for. Two entries
/// list and watch a store and read from each other, and the responses arrive late and in any order.
#[test]
fn what_is_known_is_always_what_the_store_held_at_its_revision() {
    for seed in 0..400 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut store = Store { events: Vec::new() };
        (0..5).for_each(|_| store.write(&mut rng));
        let mut mirrors = [Mirror::default(), Mirror::default()];
        mirrors.iter_mut().for_each(|it| hear(it, &store.list()));
        let mut answers: Vec<(usize, News)> = Vec::new();
        for step in 0..300 {
            let own = below(&mut rng, 2);
            let since = mirrors[own].revision(KIND);
            match (below(&mut rng, 8), since) {
                (0 | 1, _) => store.write(&mut rng),
                (2, _) => answers.push((own, store.list())),
                (3, Some(since)) => answers.push((own, store.watch(since))),
                (4, _) => answers.extend(mirrors[1 - own].news(KIND, since).map(|it| (own, it))),
                (5, _) if below(&mut rng, 6) == 0 => mirrors[own].cut(KIND),
                _ if answers.is_empty() => {}
                _ => {
                    let (to, news) = answers.swap_remove(below(&mut rng, answers.len() as u64));
                    let before = known(&mirrors[to]);
                    hear(&mut mirrors[to], &news);
                    let Some(revision) = mirrors[to].revision(KIND) else { continue };
                    let held = store.held(revision);
                    let after = known(&mirrors[to]);
                    assert_eq!(after, held, "seed {seed}, step {step}, {news:?} on {before:?}");
                }
            }
        }
    }
}
