use decision::gateway::budget::{Budget, Settings};
use decision::prelude::*;

use crate::support::{at, ms};

/// Sends a repeat if there is one left.
fn spend(budget: &mut Budget, now: Time, entries: usize) -> bool {
    let room = budget.has_room(now, entries);
    if room {
        budget.record_retry(now);
    }
    room
}

fn budget() -> Budget {
    Budget::new(Settings { ratio: 0.2, window: ms(10_000), slack: 8.0 })
}

#[test]
fn slack_is_split_over_entries() {
    let mut budget = budget();
    assert!(spend(&mut budget, at(0), 4));
    assert!(spend(&mut budget, at(0), 4));
    assert!(!spend(&mut budget, at(0), 4));
}

#[test]
fn each_request_adds_its_part() {
    let mut budget = budget();
    (0..10).for_each(|_| budget.record_request(at(0)));
    let spent = (0..100).filter(|_| spend(&mut budget, at(1), 4)).count();
    assert_eq!(spent, 4);
}

#[test]
fn repeats_within_any_window_stay_within_the_budget() {
    let mut budget = budget();
    let mut spent = Vec::new();
    for millis in (0..40_000).step_by(100) {
        if spend(&mut budget, at(millis), 4) {
            spent.push(millis);
        }
    }
    for begin in (0..40_000).step_by(100) {
        let within = spent.iter().filter(|it| (begin..begin + 10_000).contains(*it)).count();
        assert!(within <= 2, "{within} repeats in the window from {begin} ms");
    }
    assert!(spent.len() >= 6, "the budget comes back: {spent:?}");
}
