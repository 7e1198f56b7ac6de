//! Who waits for a place, and in which order places are given.

use std::sync::Arc;

use decision::gateway::backlog::{Backlog, Lane, Settings, Waiter};
use proptest::prelude::*;

fn lane(model: &str) -> Lane {
    ("models".into(), Some(model.into()))
}

fn waiter(rank: u8, workspace: &str, cost: u64) -> Waiter {
    let workspace: Arc<str> = workspace.into();
    Waiter { lane: lane("large"), rank, workspace: Some(workspace), cost }
}

/// Gives `places` places, one after the other, and says who got them.
fn give(line: &mut Backlog<&'static str>, places: usize) -> Vec<&'static str> {
    let mut left = places;
    let placed = line.dispatch(|_| {
        let free = left > 0;
        left = left.saturating_sub(1);
        free.then_some(())
    });
    placed.into_iter().map(|(name, ())| name).collect()
}

#[test]
fn the_more_urgent_go_first_and_then_who_came_first() {
    let mut line = Backlog::default();
    for (rank, name) in [(2, "c"), (1, "b1"), (0, "a"), (1, "b2")] {
        assert!(line.push(waiter(rank, "w", 100), name).is_some());
    }
    assert_eq!(give(&mut line, 2), ["a", "b1"]);
    assert_eq!(give(&mut line, 9), ["b2", "c"]);
    assert!(line.is_empty() && !line.has_waiting(&lane("large")));
}

#[test]
fn a_workspace_that_presses_does_not_hold_up_the_others() {
    let mut line = Backlog::default();
    for _ in 0..20 {
        line.push(waiter(1, "large", 4_000), "large");
    }
    for name in ["small", "other"] {
        line.push(waiter(1, name, 4_000), name);
    }
    let first = give(&mut line, 4);
    assert!(first.contains(&"small") && first.contains(&"other"), "{first:?}");
}

#[test]
fn who_does_not_fit_keeps_the_place_and_lets_others_by() {
    let mut line = Backlog::default();
    for name in ["first", "second", "third"] {
        line.push(waiter(1, "w", 100), name);
    }
    let placed = line.dispatch(|it| (*it == "second").then_some(()));
    assert_eq!(placed.len(), 1);
    assert_eq!(give(&mut line, 9), ["first", "third"]);
}

#[test]
fn models_do_not_wait_for_each_other() {
    let mut line = Backlog::default();
    line.push(waiter(0, "w", 100), "large");
    line.push(Waiter { lane: lane("small"), ..waiter(5, "w", 100) }, "small");
    let placed = line.dispatch(|it| (*it == "small").then_some(()));
    assert_eq!(placed.len(), 1);
    assert!(line.has_waiting(&lane("large")) && !line.has_waiting(&lane("small")));
}

#[test]
fn no_more_wait_than_are_allowed() {
    let mut line = Backlog::new(Settings { capacity: 2 });
    let tickets: Vec<_> = (0..3).map(|_| line.push(waiter(1, "w", 1), "a")).collect();
    assert_eq!(tickets.iter().flatten().count(), 2);
    assert_eq!(tickets[0].and_then(|it| line.remove(it)), Some("a"));
    assert_eq!(tickets[0].and_then(|it| line.remove(it)), None);
    assert!(line.push(waiter(1, "w", 1), "b").is_some());
}

proptest! {
    /// Everyone who waits is given a place once, or leaves; nobody twice and nobody never.
    #[test]
    fn everyone_is_answered_once(
        steps in prop::collection::vec((0_u8..4, 0_u8..4, 0_u64..100_000, 0_usize..3), 1..200),
    ) {
        let mut line = Backlog::new(Settings { capacity: 50 });
        let (mut entered, mut answered, mut left) = (Vec::new(), 0, 0);
        for (place, (rank, workspace, cost, places)) in steps.into_iter().enumerate() {
            let it = waiter(rank * 80, ["a", "b", "", "ö"][usize::from(workspace)], cost);
            entered.extend(line.push(it, "x"));
            answered += give(&mut line, places).len();
            if place % 5 == 0 && let Some(ticket) = entered.pop() {
                left += usize::from(line.remove(ticket).is_some());
                entered.push(ticket);
            }
        }
        loop {
            let more = give(&mut line, 8).len();
            answered += more;
            if more == 0 {
                break;
            }
        }
        prop_assert!(line.is_empty());
        prop_assert_eq!(answered + left, entered.len());
    }
}
