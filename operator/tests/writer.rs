//! Changes take effect as a whole, once, and never undo what another operator stored.

mod support;

use std::collections::BTreeMap;

use decision::declaration::{Declaration, Id, Kind, Workspace};
use decision::head::{Generation, Hash, Head, item_key};
use decision::name::Name;
use futures_util::future::join_all;
use operator::Refusal;
use operator::change::{Applied, Change, Edit};
use operator::writer::{Settings, Writer};
use proptest::prelude::*;
use rstest::rstest;
use serde_json::Value;
use store::Store;
use store::memory::Memory;
use support::{Scheduled, Step};

const NAMES: [&str; 3] = ["a", "b", "c"];

#[cfg(test)]
fn workspace(name: usize, weight: u32) -> Declaration {
    Declaration::Workspace(Workspace { name: Name::new(NAMES[name]).unwrap(), weight })
}

/// An edit of workspace `name` from one weight to another; 0 stands for none.
#[cfg(test)]
fn edit(name: usize, from: u32, to: u32) -> Edit {
    let declared = |weight| (weight > 0).then(|| workspace(name, weight));
    let expected = declared(from).map(|it| Hash::of(&it).unwrap());
    let id = Id { kind: Kind::Workspace, name: Name::new(NAMES[name]).unwrap() };
    Edit { id, expected, declaration: declared(to) }
}

fn change(nonce: u64, edits: Vec<Edit>) -> Change {
    Change { base: Generation(0), nonce, edits }
}

fn writer<S: Store>(store: S) -> Writer<S> {
    Writer::new(store, Settings { sweep_every: 1, ..Settings::default() })
}

#[tokio::test(start_paused = true)]
async fn a_conflict_shows_what_the_other_operator_stored() {
    let writer = writer(Memory::default());
    writer.change(&change(1, vec![edit(0, 0, 1), edit(1, 0, 1)])).await.unwrap();
    writer.change(&change(2, vec![edit(0, 1, 2)])).await.unwrap();
    let other = change(3, vec![edit(0, 1, 3), edit(1, 1, 3)]);
    let Refusal::Conflict { generation, differences } = writer.change(&other).await.unwrap_err()
    else {
        panic!("no conflict");
    };
    assert_eq!((generation, differences.len()), (Generation(2), 1));
    assert_eq!(differences[0].theirs, Some(workspace(0, 2)));
    assert_eq!(differences[0].yours, Some(workspace(0, 3)));
    let applied = writer.change(&change(4, vec![edit(1, 1, 4)])).await.unwrap();
    assert_eq!(applied.generation, Generation(3));
}

#[tokio::test(start_paused = true)]
async fn a_change_that_breaks_a_rule_changes_nothing() {
    let writer = writer(Memory::default());
    let refusal = writer.change(&change(1, vec![edit(0, 0, 1), edit(1, 0, 9_999)])).await;
    assert!(matches!(refusal, Err(Refusal::Invalid { errors }) if errors.len() == 1));
    assert_eq!(writer.configuration().await.unwrap().generation, Generation(0));
}

#[rstest]
#[case::twice(1, vec![edit(0, 0, 1), edit(0, 0, 2)], "workspace/a is edited twice")]
#[case::other(1, vec![Edit { id: edit(1, 0, 1).id, ..edit(0, 0, 1) }],
    "the edit of workspace/b holds workspace/a")]
#[case::nonce(1 << 53, vec![], "nonce 9007199254740992 is not below 2^53")]
#[tokio::test]
async fn a_change_that_contradicts_itself_is_refused(
    #[case] nonce: u64,
    #[case] edits: Vec<Edit>,
    #[case] message: &str,
) {
    let refusal = writer(Memory::default()).change(&change(nonce, edits)).await.unwrap_err();
    assert!(refusal.to_string().ends_with(message), "{refusal}");
}

#[tokio::test(start_paused = true)]
async fn a_change_sent_again_takes_effect_once() {
    let writer = writer(Memory::default());
    let first = change(1, vec![edit(0, 0, 1)]);
    let applied = writer.change(&first).await.unwrap();
    writer.change(&change(2, vec![edit(0, 1, 0)])).await.unwrap();
    assert_eq!(writer.change(&first).await.unwrap(), applied);
    assert_eq!(writer.configuration().await.unwrap().declarations, []);
    for nonce in 3..40 {
        let (from, to) = if nonce % 2 == 1 { (0, 1) } else { (1, 0) };
        let change =
            Change { base: Generation(nonce - 1), ..change(nonce, vec![edit(1, from, to)]) };
        writer.change(&change).await.unwrap();
    }
    let refusal = writer.change(&first).await.unwrap_err();
    assert!(matches!(refusal, Refusal::Stale { .. }), "{refusal}");
}

/// A change of three bodies, interrupted at each of its calls in turn.
#[rstest]
#[tokio::test(start_paused = true)]
async fn an_interrupted_change_takes_effect_as_a_whole_or_not_at_all(
    #[values(Step::Refuse, Step::Lose)] step: Step,
    #[values(0, 1, 2, 3, 4)] at: usize,
) {
    let steps = (0..at).map(|_| Step::Pass(0)).chain([step]).collect();
    let store = Scheduled::new(steps);
    let settings = Settings { attempts: 1, ..Settings::default() };
    let writer = Writer::new(store.clone(), settings);
    let edits = vec![edit(0, 0, 1), edit(1, 0, 1), edit(2, 0, 1)];
    let result = writer.change(&change(1, edits)).await;
    let stored = Writer::new(store.inner, Settings::default()).configuration().await.unwrap();
    match result {
        Ok(_) => assert_eq!(stored.declarations.len(), 3),
        Err(Refusal::Unavailable { .. }) => assert_eq!(stored.declarations, []),
        Err(Refusal::Unknown { .. }) => assert!([0, 3].contains(&stored.declarations.len())),
        Err(refusal) => panic!("{refusal}"),
    }
}

#[tokio::test(start_paused = true)]
async fn old_bodies_are_removed() {
    let store = Memory::default();
    let writer = writer(store.clone());
    for weight in 1..20 {
        writer.change(&change(weight.into(), vec![edit(0, weight - 1, weight)])).await.unwrap();
    }
    let bodies = store.list::<Value>(store::Kind::Declaration).await.unwrap();
    assert!(bodies.objects.len() <= 2, "{bodies:#?}");
}

/// A sweep is paused just before it deletes a body that another operator declares again.
#[tokio::test(start_paused = true)]
async fn a_sweep_deletes_no_body_that_is_declared_again() {
    let deletion = 8;
    let mut steps = vec![Step::Pass(0); deletion];
    steps.push(Step::Pass(200));
    let store = Scheduled::new(steps);
    let (first, second) = (writer(store.clone()), writer(store.clone()));
    first.change(&change(1, vec![edit(0, 0, 1)])).await.unwrap();
    let back = async {
        while store.heads().len() < 2 {
            tokio::task::yield_now().await;
        }
        second.change(&change(3, vec![edit(0, 2, 1)])).await
    };
    let away = change(2, vec![edit(0, 1, 2)]);
    let (away, back) = tokio::join!(first.change(&away), back);
    assert_eq!(
        (away.unwrap().generation, back.unwrap().generation),
        (Generation(2), Generation(3))
    );
    let stored = writer(store.inner).configuration().await.unwrap();
    assert_eq!(stored.declarations, [workspace(0, 1)]);
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        12 => (0u8..8).prop_map(Step::Pass),
        2 => Just(Step::Pass(60)),
        1 => Just(Step::Refuse),
        1 => Just(Step::Lose),
    ];
    prop::collection::vec(step, 0..120)
}

/// For each operator a chain of edits: a workspace, and its old and new weight. An old weight of
/// 3 or more stands for the one that is stored.
fn operators() -> impl Strategy<Value = Vec<Vec<(usize, u32, u32)>>> {
    let edit = (0..2usize, 0u32..12, 0u32..3);
    prop::collection::vec(prop::collection::vec(edit, 1..6), 1..4)
}

type Outcome = (Change, Result<Applied, Refusal>);

#[cfg(test)]
async fn operate(store: Scheduled, edits: Vec<(usize, u32, u32)>, number: u64) -> Vec<Outcome> {
    let writer = writer(store);
    let mut outcomes = Vec::new();
    for (index, (name, from, to)) in edits.into_iter().enumerate() {
        let mut edit = edit(name, from, to);
        if from > 2 {
            let Ok(stored) = writer.configuration().await else { continue };
            edit.expected = stored.set().get(&edit.id).map(|it| Hash::of(it).unwrap());
        }
        let change = change(number * 100 + index as u64 + 1, vec![edit]);
        let result = writer.change(&change).await;
        outcomes.push((change, result));
    }
    outcomes
}

#[cfg(test)]
fn check(heads: &[Head], outcomes: &[Outcome]) -> Result<(), TestCaseError> {
    let changes: BTreeMap<u64, &Change> = outcomes.iter().map(|(it, _)| (it.nonce, it)).collect();
    let mut previous = Head::default();
    for head in heads {
        prop_assert_eq!(head.generation.0, previous.generation.0 + 1);
        let mut expected = previous.items.clone();
        for edit in &changes[&head.nonce].edits {
            let key = item_key(&edit.id);
            prop_assert_eq!(expected.get(&key), edit.expected.as_ref(), "undoes a change");
            match &edit.declaration {
                Some(it) => expected.insert(key, Hash::of(it).unwrap()),
                None => expected.remove(&key),
            };
        }
        prop_assert_eq!(&head.items, &expected, "took effect in part");
        previous = head.clone();
    }
    for (change, result) in outcomes {
        let stored = heads.iter().filter(|head| head.nonce == change.nonce).count();
        prop_assert!(stored <= 1, "took effect twice");
        match result {
            Ok(applied) if applied.changed.is_empty() => prop_assert_eq!(stored, 0),
            Ok(_) => prop_assert_eq!(stored, 1, "a stored change is lost"),
            Err(Refusal::Unknown { .. }) => (),
            Err(refusal) => prop_assert_eq!(stored, 0, "stored, but {}", refusal),
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn operators_that_race_lose_no_change(steps in steps(), operators in operators()) {
        let mut builder = tokio::runtime::Builder::new_current_thread();
        let runtime = builder.enable_time().start_paused(true).build().unwrap();
        let store = Scheduled::new(steps);
        let tasks = operators.into_iter().enumerate();
        let tasks = tasks.map(|(number, edits)| operate(store.clone(), edits, number as u64));
        let outcomes: Vec<Outcome> = runtime.block_on(join_all(tasks)).into_iter().flatten().collect();
        check(&store.heads(), &outcomes)?;
        let fresh = Writer::new(store.inner.clone(), Settings::default());
        let stored = runtime.block_on(fresh.configuration());
        prop_assert!(stored.is_ok(), "a body is gone: {stored:?}");
    }
}
