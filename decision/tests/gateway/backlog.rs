//! Which requests wait for a free slot, and in which order they are dispatched.

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

/// Dispatches up to `free_slots` requests, and returns their names in order.
fn dispatch(backlog: &mut Backlog<&'static str>, free_slots: usize) -> Vec<&'static str> {
    let mut remaining = free_slots;
    let dispatched = backlog.dispatch(|_| {
        let free = remaining > 0;
        remaining = remaining.saturating_sub(1);
        free.then_some(())
    });
    dispatched.into_iter().map(|(name, ())| name).collect()
}

#[test]
fn urgent_requests_go_first_and_equal_ones_in_order_of_arrival() {
    let mut backlog = Backlog::default();
    for (rank, name) in [(2, "c"), (1, "b1"), (0, "a"), (1, "b2")] {
        assert!(backlog.push(waiter(rank, "w", 100), name).is_some());
    }
    assert_eq!(dispatch(&mut backlog, 2), ["a", "b1"]);
    assert_eq!(dispatch(&mut backlog, 9), ["b2", "c"]);
    assert!(backlog.is_empty() && !backlog.has_waiting(&lane("large")));
}

#[test]
fn a_busy_workspace_does_not_delay_others() {
    let mut backlog = Backlog::default();
    for _ in 0..20 {
        backlog.push(waiter(1, "large", 4_000), "large");
    }
    for name in ["small", "other"] {
        backlog.push(waiter(1, name, 4_000), name);
    }
    let first = dispatch(&mut backlog, 4);
    assert!(first.contains(&"small") && first.contains(&"other"), "{first:?}");
}

#[test]
fn a_request_that_does_not_fit_keeps_its_position_and_lets_others_pass() {
    let mut backlog = Backlog::default();
    for name in ["first", "second", "third"] {
        backlog.push(waiter(1, "w", 100), name);
    }
    let dispatched = backlog.dispatch(|it| (*it == "second").then_some(()));
    assert_eq!(dispatched.len(), 1);
    assert_eq!(dispatch(&mut backlog, 9), ["first", "third"]);
}

#[test]
fn models_do_not_wait_for_each_other() {
    let mut backlog = Backlog::default();
    backlog.push(waiter(0, "w", 100), "large");
    backlog.push(Waiter { lane: lane("small"), ..waiter(5, "w", 100) }, "small");
    let dispatched = backlog.dispatch(|it| (*it == "small").then_some(()));
    assert_eq!(dispatched.len(), 1);
    assert!(backlog.has_waiting(&lane("large")) && !backlog.has_waiting(&lane("small")));
}

#[test]
fn a_full_backlog_refuses_requests() {
    let mut backlog = Backlog::new(Settings { capacity: 2 });
    let tickets: Vec<_> = (0..3).map(|_| backlog.push(waiter(1, "w", 1), "a")).collect();
    assert_eq!(tickets.iter().flatten().count(), 2);
    assert_eq!(tickets[0].and_then(|it| backlog.remove(it)), Some("a"));
    assert_eq!(tickets[0].and_then(|it| backlog.remove(it)), None);
    assert!(backlog.push(waiter(1, "w", 1), "b").is_some());
}

proptest! {
    /// Each request is either dispatched or removed, exactly once.
    #[test]
    fn every_request_is_dispatched_or_removed_once(
        steps in prop::collection::vec((0_u8..4, 0_u8..4, 0_u64..100_000, 0_usize..3), 1..200),
    ) {
        let mut backlog = Backlog::new(Settings { capacity: 50 });
        let (mut accepted, mut dispatched, mut removed) = (Vec::new(), 0, 0);
        for (index, (rank, workspace, cost, free_slots)) in steps.into_iter().enumerate() {
            let it = waiter(rank * 80, ["a", "b", "", "ö"][usize::from(workspace)], cost);
            accepted.extend(backlog.push(it, "x"));
            dispatched += dispatch(&mut backlog, free_slots).len();
            if index % 5 == 0 && let Some(ticket) = accepted.pop() {
                removed += usize::from(backlog.remove(ticket).is_some());
                accepted.push(ticket);
            }
        }
        loop {
            let more = dispatch(&mut backlog, 8).len();
            dispatched += more;
            if more == 0 {
                break;
            }
        }
        prop_assert!(backlog.is_empty());
        prop_assert_eq!(dispatched + removed, accepted.len());
    }
}
