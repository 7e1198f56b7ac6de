use decision::gateway::grace::{Grace, Longest, Sample, Settings};
use decision::prelude::*;
use rstest::rstest;

use crate::support::{at, ms};

/// A grace period of 8 s that began after 100 s.
fn grace() -> Grace {
    Grace::new(at(100_000), ms(8_000), Settings::default())
}

#[test]
fn what_is_left_is_answered_before_the_process_ends_and_that_before_it_is_killed() {
    let grace = grace();
    assert!(at(102_000) < grace.accepts_until(), "the platform takes 2 s to notice");
    assert!(grace.accepts_until() < grace.closes_at());
    assert!(grace.closes_at() < grace.ends_at());
    assert!(grace.ends_at() < at(108_000));
}

#[test]
fn a_grace_period_of_nothing_ends_as_it_begins() {
    let grace = Grace::new(at(100_000), Duration::ZERO, Settings::default());
    assert_eq!(grace.accepts_until(), at(100_000));
    assert_eq!((grace.closes_at(), grace.ends_at()), (at(100_000), at(100_000)));
}

#[rstest]
#[case::its_limit_fits(at(106_000), at(107_400), Some(ms(9_000)), true)]
#[case::such_requests_fit(at(106_000), at(120_000), Some(ms(1_000)), true)]
#[case::such_requests_do_not_fit(at(107_000), at(120_000), Some(ms(1_000)), false)]
#[case::it_can_be_slower_than_all_before(at(106_400), at(120_000), Some(ms(1_000)), false)]
#[case::unknown_before_callers_can_know(at(102_000), at(120_000), None, true)]
#[case::unknown_and_late(at(103_000), at(120_000), None, false)]
#[case::nothing_is_left(at(107_501), at(120_000), Some(Duration::ZERO), false)]
fn a_request_is_passed_on_if_it_can_end_in_time(
    #[case] now: Time,
    #[case] limit: Time,
    #[case] longest: Option<Duration>,
    #[case] admitted: bool,
) {
    assert_eq!(grace().admits(now, limit, longest), admitted);
}

fn sample(first: u64, writing: u64, tokens: u64) -> Sample {
    Sample { first: ms(first), writing: ms(writing), tokens }
}

#[test]
fn a_request_is_expected_to_take_as_long_as_the_slowest_of_its_route_for_as_many_tokens() {
    let mut longest = Longest::default();
    let (near, far) = ("near".into(), "far".into());
    longest.record(at(0), &near, sample(200, 1_000, 100));
    longest.record(at(10), &near, sample(900, 10, 10));
    longest.record(at(20), &far, sample(5_000, 0, 0));
    assert_eq!(longest.expected(at(30), "near", 0), Some(ms(910)));
    assert_eq!(longest.expected(at(30), "near", 200), Some(ms(2_900)));
    assert_eq!(longest.expected(at(30), "far", 0), Some(ms(5_000)));
    assert_eq!(longest.expected(at(30), "other", 0), None);
}

/// Guards against one slow request that counts for ever, and against an old fast one that lets
/// everything pass.
#[test]
fn what_was_long_ago_is_forgotten() {
    let mut longest = Longest::default();
    let route = "route".into();
    longest.record(at(0), &route, sample(5_000, 0, 0));
    longest.record(at(61_000), &route, sample(100, 0, 0));
    assert_eq!(longest.expected(at(61_000), "route", 0), Some(ms(5_000)));
    assert_eq!(longest.expected(at(122_000), "route", 0), Some(ms(100)));
    assert_eq!(longest.expected(at(250_000), "route", 0), None);
}

#[test]
fn the_times_of_routes_stay_bounded() {
    let mut longest = Longest::default();
    let name = |it: u64| format!("route {it}").as_str().into();
    for number in 0..2_000 {
        longest.record(at(number), &name(number), sample(1, 0, 0));
    }
    let known = |now, it: &u64| longest.expected(at(now), &format!("route {it}"), 0).is_some();
    assert_eq!((0..2_000).filter(|it| known(2_000, it)).count(), 1_024);
    longest.record(at(200_000), &name(5_000), sample(1, 0, 0));
    assert!(longest.expected(at(200_000), "route 5000", 0).is_some(), "no room for a new route");
}
