//! How a kind is read after answers that can't be taken.

use std::time::Duration;

use decision::gateway::reading::{Outcome, Reading, Way};
use rstest::rstest;

const FIRST: Duration = Duration::from_secs(1);

/// Returns the ways of the tries that end in `outcomes`, and of the one after them.
fn ways(outcomes: &[Outcome]) -> Vec<Way> {
    let mut reading = Reading::default();
    let mut ways = vec![reading.way()];
    for outcome in outcomes {
        reading.record(*outcome);
        ways.push(reading.way());
    }
    ways
}

/// Guards against a try that is repeated as it was.
#[rstest]
#[case::untaken(&[Outcome::Untaken; 3], &[Way::Watch, Way::List, Way::Objects, Way::Watch])]
#[case::unanswered(&[Outcome::Unanswered; 3], &[Way::Watch, Way::Watch, Way::List, Way::Watch])]
#[case::listed(&[Outcome::Untaken, Outcome::Taken], &[Way::Watch, Way::List, Way::Watch])]
#[case::by_object(
    &[Outcome::Untaken, Outcome::Untaken, Outcome::Taken, Outcome::Untaken],
    &[Way::Watch, Way::List, Way::Objects, Way::Watch, Way::List],
)]
fn a_try_that_fails_is_followed_by_another_way(#[case] outcomes: &[Outcome], #[case] next: &[Way]) {
    assert_eq!(ways(outcomes), next);
}

/// Guards against lists without a pause where every watch fails.
#[test]
fn only_the_first_list_in_place_of_a_watch_comes_at_once() {
    let mut reading = Reading::default();
    reading.record(Outcome::Untaken);
    assert!(reading.is_urgent());
    for _ in 0..5 {
        reading.record(Outcome::Taken);
        reading.record(Outcome::Untaken);
        assert_eq!(reading.way(), Way::List);
        assert!(!reading.is_urgent());
    }
}

/// Guards against an answer that is always too slow for its time limit.
#[test]
fn a_try_has_more_time_than_the_one_before_up_to_a_bound() {
    let mut reading = Reading::default();
    let mut limits = vec![reading.time_limit(FIRST).as_secs()];
    for _ in 0..40 {
        reading.record(Outcome::Untaken);
        limits.push(reading.time_limit(FIRST).as_secs());
    }
    assert_eq!(limits[..5], [1, 2, 4, 8, 8]);
    assert_eq!(limits[40], 8);
    reading.record(Outcome::Unanswered);
    assert_eq!(reading.way(), Way::Watch);
    reading.record(Outcome::Taken);
    assert_eq!(reading.time_limit(FIRST), FIRST);
}
