//! Which objects stay in force after the store was restored.

use std::collections::BTreeMap;
use std::sync::Arc;

use decision::gateway::hold::{Change, Holds, Stamp, Stamped};

use crate::support::at;

/// An object whose states are counted, or not.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Object {
    count: Option<u64>,
    content: &'static str,
}

impl Stamped for Object {
    fn stamp(&self) -> Option<Stamp> {
        self.count.map(|count| Stamp { incarnation: 1, count })
    }

    fn is_same(&self, other: &Object) -> bool {
        self.content == other.content
    }
}

fn object(count: u64, content: &'static str) -> Object {
    Object { count: Some(count), content }
}

fn uncounted(content: &'static str) -> Object {
    Object { count: None, content }
}

fn name(name: &str) -> Arc<str> {
    name.into()
}

/// Restores a store that lists `listed`, where `known` was in force. Holds end at 100 ms.
fn restore(
    known: &[(&str, Object)],
    listed: &[(&str, Object)],
) -> (Holds<Object>, Vec<Change<Object>>) {
    let mut holds = Holds::default();
    let known: BTreeMap<_, _> =
        known.iter().map(|(it, object)| (name(it), object.clone())).collect();
    let listed = listed.iter().map(|(it, object)| (name(it), object.clone()));
    let changes = holds.restore(at(100), known, listed);
    (holds, changes)
}

#[test]
fn an_older_state_is_held_off_until_the_known_one_is_written_again() {
    let (mut holds, changes) = restore(&[("a", object(5, "new"))], &[("a", object(3, "old"))]);
    assert_eq!(changes, []);
    assert!(!holds.put(&name("a"), &object(4, "between")));
    assert!(holds.put(&name("a"), &object(5, "new")));
    assert!(holds.is_empty());
}

#[test]
fn a_newer_state_comes_into_force_at_once() {
    let (holds, changes) = restore(&[("a", object(5, "known"))], &[("a", object(6, "new"))]);
    assert_eq!(changes, [Change::Put(name("a"), object(6, "new"))]);
    assert!(holds.is_empty());
}

#[test]
fn an_unchanged_state_is_not_put_again() {
    let (holds, changes) = restore(&[("a", object(5, "same"))], &[("a", object(5, "same"))]);
    assert!(changes.is_empty() && holds.is_empty());
}

#[test]
fn a_different_state_of_the_same_count_is_held_off() {
    let (holds, changes) = restore(&[("a", object(5, "draining"))], &[("a", object(5, "ready"))]);
    assert_eq!(changes, []);
    assert_eq!(holds.get("a").and_then(|it| it.known.clone()), Some(object(5, "draining")));
}

#[test]
fn what_the_copy_lacks_stays_until_the_hold_ends() {
    let (mut holds, changes) = restore(&[("a", uncounted("out"))], &[]);
    assert_eq!(changes, []);
    assert_eq!(holds.expire(at(99)), []);
    assert_eq!(holds.expire(at(100)), [Change::Gone(name("a"))]);
}

#[test]
fn the_stored_state_comes_into_force_when_the_hold_ends() {
    let (mut holds, _) = restore(&[("a", object(5, "new"))], &[("a", object(3, "old"))]);
    assert_eq!(holds.expire(at(100)), [Change::Put(name("a"), object(3, "old"))]);
    assert!(holds.is_empty());
}

#[test]
fn an_object_without_a_count_is_as_the_store_has_it() {
    let (holds, changes) = restore(&[("a", uncounted("known"))], &[("a", uncounted("stored"))]);
    assert_eq!(changes, [Change::Put(name("a"), uncounted("stored"))]);
    assert!(holds.is_empty());
}

#[test]
fn a_removed_object_does_not_come_back_by_its_last_state() {
    let mut holds = Holds::default();
    assert!(holds.remove(at(0), &name("a"), Some(&object(5, "last"))));
    let listed = [(name("a"), object(5, "last")), (name("b"), object(1, "other"))];
    let changes = holds.restore(at(100), BTreeMap::new(), listed);
    assert_eq!(changes, [Change::Put(name("b"), object(1, "other"))]);
    assert!(holds.put(&name("a"), &object(6, "alive")));
}

#[test]
fn a_removed_object_that_the_store_removes_again_changes_nothing() {
    let mut holds = Holds::default();
    holds.remove(at(0), &name("a"), Some(&object(5, "last")));
    holds.restore(at(100), BTreeMap::new(), [(name("a"), object(5, "last"))]);
    assert!(!holds.remove(at(10), &name("a"), Some(&object(5, "last"))));
    assert!(holds.is_empty());
}

#[test]
fn a_second_restore_holds_on_to_what_the_first_one_held() {
    let (mut holds, _) = restore(&[("a", object(5, "new"))], &[("a", object(3, "old"))]);
    let in_force = BTreeMap::from([(name("a"), object(5, "new"))]);
    let changes = holds.restore(at(200), in_force, [(name("a"), object(2, "older"))]);
    assert_eq!(changes, []);
    assert_eq!(holds.expire(at(199)), []);
    assert_eq!(holds.expire(at(200)), [Change::Put(name("a"), object(2, "older"))]);
}

#[test]
fn what_a_peer_knows_better_is_held_and_the_rest_is_not() {
    let mut holds: Holds<Object> = Holds::default();
    let known = |count| (Some(object(count, "new")), object(count, "new").stamp());
    let stored = object(5, "stored");
    assert!(!holds.adopt(&name("a"), at(100), known(4), Some(&stored)));
    assert!(!holds.adopt(&name("a"), at(100), known(5), Some(&stored)));
    assert!(holds.adopt(&name("a"), at(100), known(7), Some(&stored)));
    // Of two peers, the one that knows more counts.
    assert!(!holds.adopt(&name("a"), at(100), known(6), Some(&stored)));
    assert!(holds.adopt(&name("b"), at(100), (Some(uncounted("out")), None), None));
    assert!(!holds.adopt(&name("c"), at(100), (None, object(5, "last").stamp()), None));
}
