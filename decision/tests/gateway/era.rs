//! Which era a response of the store belongs to.

use decision::gateway::era::{Era, Observation, Tracker, Version};
use rstest::rstest;

fn tracker(era: u64) -> Tracker {
    let mut tracker = Tracker::default();
    tracker.observe(Some(Era(era)));
    tracker
}

#[test]
fn the_first_response_tells_the_era() {
    let mut tracker = Tracker::default();
    assert_eq!(tracker.observe(Some(Era(7))), Observation::Current(Era(7)));
    assert_eq!(tracker.known(), Era(7));
}

#[rstest]
#[case::next(8)]
#[case::a_thousand_later(1_007)]
#[case::the_last(u64::MAX)]
fn a_later_era_needs_two_responses(#[case] later: u64) {
    let mut tracker = tracker(7);
    assert_eq!(tracker.observe(Some(Era(later))), Observation::Unconfirmed(Era(later)));
    assert_eq!(tracker.known(), Era(7));
    let restored = Observation::Restored { from: Era(7), to: Era(later) };
    assert_eq!(tracker.observe(Some(Era(later))), restored);
    assert_eq!(tracker.observe(Some(Era(7))), Observation::Outdated(Era(7)));
}

#[test]
fn a_response_of_the_known_era_takes_back_a_claim() {
    let mut tracker = tracker(7);
    for _ in 0..3 {
        assert_eq!(tracker.observe(Some(Era(9))), Observation::Unconfirmed(Era(9)));
        assert_eq!(tracker.observe(Some(Era(7))), Observation::Current(Era(7)));
    }
    assert_eq!(tracker.known(), Era(7));
}

#[test]
fn a_response_without_an_era_counts_as_one_of_the_known_era() {
    assert_eq!(tracker(7).observe(None), Observation::Current(Era(7)));
}

#[test]
fn a_peer_is_believed_at_once() {
    let mut tracker = tracker(7);
    assert_eq!(tracker.observe_peer(Era(6)), Observation::Outdated(Era(6)));
    let restored = Observation::Restored { from: Era(7), to: Era(8) };
    assert_eq!(tracker.observe_peer(Era(8)), restored);
}

#[test]
fn a_lower_revision_shows_a_restore_only_if_no_era_is_stated() {
    assert_eq!(tracker(7).observe_revision(20, 10), None);
    let mut silent = Tracker::default();
    silent.observe(None);
    assert_eq!(silent.observe_revision(20, 20), None);
    let restored = Observation::Restored { from: Era(0), to: Era(1) };
    assert_eq!(silent.observe_revision(20, 10), Some(restored));
}

#[test]
fn every_revision_of_a_later_era_is_later() {
    let version = |era, revision| Version { era: Era(era), revision };
    assert!(version(2, 1) > version(1, 900));
    assert!(version(2, 2) > version(2, 1));
}

/// Guards against a fencing token that is given out twice.
#[test]
fn the_first_token_of_an_era_is_above_those_of_the_era_before() {
    let first = |era| Era(era).first_fence().expect("an era with tokens of its own");
    assert!(first(3) > first(2) + 60_000);
    assert_eq!(Era(u64::MAX).first_fence(), None);
    assert!(first(65_535) <= u64::from(u32::MAX));
}
