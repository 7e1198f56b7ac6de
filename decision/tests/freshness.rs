//! The freshness rule under random orders of writes, exchanges, losses, pauses and restarts.

#![cfg(test)]

mod fleet;

use decision::clock::Time;
use decision::freshness::{Permit, Stale};
use decision::head::Generation;
use fleet::{Fleet, Mutant};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, TestError, TestRunner};
use rstest::rstest;

const SLOTS: usize = 5;

#[derive(Clone, Debug)]
enum Op {
    Advance(u64),
    Round,
    /// Rounds, the wait of the rule, and one more round.
    Settle,
    Ask(usize, usize),
    Deliver(usize),
    Drop(usize),
    /// Asks the store and all others, and pauses while the answers are on their way.
    Stall(usize),
    Resume(usize),
    Configure(usize),
    Join(usize),
    JoinAll(usize),
    Remove(usize, usize),
    Crash(usize),
    /// Starts a process that reaches the store or not.
    Start(usize, bool),
    /// Splits the slots of the mask off, with the store or without.
    Isolate(usize, bool),
    Heal,
    Store(bool),
}

fn op() -> impl Strategy<Value = Op> {
    let slot = || 0..SLOTS;
    prop_oneof![
        2 => (1_u64..3_600).prop_map(Op::Advance),
        4 => Just(Op::Round),
        4 => Just(Op::Settle),
        1 => (slot(), slot()).prop_map(|(from, to)| Op::Ask(from, to)),
        2 => (0_usize..6).prop_map(Op::Deliver),
        1 => (0_usize..6).prop_map(Op::Drop),
        2 => slot().prop_map(Op::Stall),
        2 => slot().prop_map(Op::Resume),
        4 => slot().prop_map(Op::Configure),
        1 => slot().prop_map(Op::Join),
        2 => slot().prop_map(Op::JoinAll),
        2 => (slot(), slot()).prop_map(|(by, gone)| Op::Remove(by, gone)),
        1 => slot().prop_map(Op::Crash),
        2 => (slot(), any::<bool>()).prop_map(|(slot, reach)| Op::Start(slot, reach)),
        4 => (1..(1 << SLOTS) - 1_usize, any::<bool>()).prop_map(|(side, up)| Op::Isolate(side, up)),
        1 => Just(Op::Heal),
        1 => any::<bool>().prop_map(Op::Store),
    ]
}

fn apply(fleet: &mut Fleet, op: &Op) {
    match *op {
        Op::Advance(millis) => fleet.now += millis * 1_000,
        Op::Round => fleet.round(50),
        Op::Settle => fleet.settle(),
        Op::Ask(from, to) if from != to => fleet.ask(from, to),
        Op::Ask(..) => {}
        Op::Deliver(index) => fleet.deliver(index),
        Op::Drop(index) if index < fleet.wire.len() => drop(fleet.wire.remove(index)),
        Op::Drop(_) => {}
        Op::Stall(slot) => stall(fleet, slot),
        Op::Resume(slot) => fleet.pause(slot, false),
        Op::Configure(slot) => fleet.configure(slot),
        Op::Join(slot) => fleet.join(slot, &[slot]),
        Op::JoinAll(slot) => fleet.join(slot, &[0, 1, 2, 3, 4]),
        Op::Remove(by, gone) => fleet.remove(by, gone),
        Op::Crash(slot) => fleet.processes[slot] = None,
        Op::Start(slot, reach) => {
            fleet.start(slot);
            fleet.reach[slot] = reach;
        }
        Op::Isolate(side, reach) => {
            fleet.split(side);
            for slot in (0..SLOTS).filter(|slot| (side >> slot) & 1 == 1) {
                fleet.reach[slot] = reach;
            }
        }
        Op::Heal => fleet.split(0),
        Op::Store(up) => fleet.store_up = up,
    }
    fleet.check();
}

fn stall(fleet: &mut Fleet, slot: usize) {
    fleet.read(slot);
    (0..SLOTS).filter(|to| *to != slot).for_each(|to| fleet.ask(slot, to));
    fleet.pause(slot, true);
}

/// A fleet of which the first entries are listed, with the listing in force.
fn settled(slots: usize, listed: usize, mutant: Mutant) -> Fleet {
    let mut fleet = Fleet::new(slots, mutant);
    fleet.round(250);
    fleet.join(0, &(0..listed).collect::<Vec<_>>());
    fleet.settle();
    assert_eq!((fleet.declared, fleet.store.generation), (Generation(1), Generation(1)));
    fleet
}

fn run(mutant: Mutant, cases: u32, steps: usize) -> Result<(), String> {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let outcome =
        TestRunner::new(config).run(&(1..=SLOTS, vec(op(), 0..steps)), |(listed, ops)| {
            let outcome = std::panic::catch_unwind(|| {
                let mut fleet = settled(SLOTS, listed, mutant);
                ops.iter().for_each(|op| apply(&mut fleet, op));
            });
            outcome.map_err(|panic| {
                let text = panic.downcast_ref::<String>().cloned().unwrap_or_default();
                TestCaseError::fail(text)
            })
        });
    match outcome {
        Ok(()) => Ok(()),
        Err(TestError::Fail(reason, ops)) => Err(format!("{reason} after {ops:?}")),
        Err(TestError::Abort(reason)) => panic!("{reason}"),
    }
}

/// Nobody is current on an older generation once a newer one was declared in force anywhere, and
/// the generation held never goes back.
#[test]
fn no_entry_is_current_on_an_older_generation_than_one_in_force() {
    run(Mutant::None, 20_000, 60).unwrap();
}

/// Each mechanism of the rule is needed: without it, the same search finds a counterexample.
#[rstest]
#[case::receive_time(Mutant::ReceiveTime)]
#[case::any_incarnation(Mutant::AnyIncarnation)]
#[case::no_previous(Mutant::NoPrevious)]
#[case::no_chain(Mutant::NoChain)]
#[case::no_wait(Mutant::NoWait)]
#[case::all_confirmed(Mutant::AllConfirmed)]
fn the_rule_breaks_without(#[case] mutant: Mutant) {
    let found = run(mutant, 20_000, 60).unwrap_err();
    assert!(found.contains("is current on generation"), "{found}");
    println!("{mutant:?}: {found}");
}

/// With the store down, the entries that see a majority stay current and the others do not.
#[rstest]
fn a_majority_outlives_the_store_and_a_minority_does_not(
    #[values(1, 2, 3, 5, 9)] slots: usize,
    #[values(false, true)] split: bool,
) {
    let mut fleet = settled(slots, slots, Mutant::None);
    fleet.store_up = false;
    let minority = if split { (slots - 1) / 2 } else { 0 };
    fleet.split((1 << minority) - 1);
    for round in 0..14_400 {
        fleet.round(250);
        if round > 24 {
            for slot in 0..slots {
                assert_eq!(fleet.is_current(slot), slot >= minority, "entry {slot}, round {round}");
            }
        }
    }
}

/// The scenarios of `scenarios/freshness`: outages, splits, pauses, restarts and lost answers.
#[test]
fn scenarios_end_as_written() {
    datadriven::walk("tests/scenarios/freshness", |file| {
        let mut fleet = Fleet::new(1, Mutant::None);
        file.run(|case| fleet::scenario::run(&mut fleet, case));
    });
}

/// The last step before bytes leave: nothing is sent by what was known too long ago.
#[test]
fn a_permit_ends_at_its_deadline() {
    let deadline = Time::from_millis(3_000);
    let permit = Permit { generation: Generation::default(), deadline };
    assert_eq!(permit.check(Time::from_millis(2_999)), Ok(()));
    let stale = Err(Stale { held: Generation::default() });
    assert_eq!(permit.check(deadline), stale);
    assert_eq!(permit.check(Time::from_millis(90_000)), stale);
}
