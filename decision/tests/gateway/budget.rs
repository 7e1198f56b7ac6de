use decision::gateway::budget::{Budget, Settings};
use decision::prelude::*;

use crate::support::{at, ms};

/// Sends a retry if the budget allows one.
fn try_retry(budget: &mut Budget, now: Time, entries: usize) -> bool {
    let has_room = budget.usage(now, entries).has_room();
    if has_room {
        budget.record_retry(now);
    }
    has_room
}

fn budget() -> Budget {
    Budget::new(Settings { ratio: 0.2, window: ms(10_000), slack: 8.0 })
}

#[test]
fn slack_is_split_over_entries() {
    let mut budget = budget();
    assert!(try_retry(&mut budget, at(0), 4));
    assert!(try_retry(&mut budget, at(0), 4));
    assert!(!try_retry(&mut budget, at(0), 4));
}

#[test]
fn each_request_adds_its_part() {
    let mut budget = budget();
    (0..10).for_each(|_| budget.record_request(at(0)));
    let retried = (0..100).filter(|_| try_retry(&mut budget, at(1), 4)).count();
    assert_eq!(retried, 4);
}

#[test]
fn repeats_within_any_window_stay_within_the_budget() {
    let mut budget = budget();
    let mut retried = Vec::new();
    for now in (0..40_000).step_by(100) {
        if try_retry(&mut budget, at(now), 4) {
            retried.push(now);
        }
    }
    for start in (0..40_000).step_by(100) {
        let within = retried.iter().filter(|it| (start..start + 10_000).contains(*it)).count();
        assert!(within <= 2, "{within} retries in the window from {start} ms");
    }
    assert!(retried.len() >= 6, "the budget recovers: {retried:?}");
}

/// Guards against retries that requests before the window would earn.
#[test]
fn requests_older_than_the_window_earn_no_retries() {
    let mut budget = budget();
    (0..100).for_each(|_| budget.record_request(at(0)));
    let allowed = |budget: &mut Budget, now| budget.usage(at(now), usize::MAX).allowed;
    assert!(allowed(&mut budget, 10_000) >= 20.0);
    assert!(allowed(&mut budget, 10_001) < 1.0);
}
