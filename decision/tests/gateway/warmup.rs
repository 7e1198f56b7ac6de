use decision::gateway::warmup::{Limiter, share};
use rstest::rstest;

use crate::support::at;

#[rstest]
#[case(22.0, 5)]
#[case(30.5, 79)]
#[case(59.0, 9)]
#[case(2.0, 9)]
#[case(100.0, 1)]
fn entries_together_stay_within_the_rate(#[case] rate: f64, #[case] count: u64) {
    let entries: Vec<u64> = (0..count).map(|it| it * 7_919).collect();
    for target in 0..20 {
        let shares = entries.iter().map(|entry| share(rate, target, *entry, &entries));
        let total = f64::from(shares.sum::<u32>());
        assert!(total <= rate, "{total} of {rate}");
        assert!(total >= (rate * 0.9).floor(), "{total} of {rate}");
    }
}

/// Guards against the whole rate for an entry that knows no other one.
#[test]
fn an_entry_that_is_not_listed_has_no_share_of_a_cold_target() {
    assert_eq!(share(22.0, 1, 99, &[1, 2, 3]), 0);
    assert_eq!(share(22.0, 1, 99, &[]), 0);
}

#[test]
fn other_targets_are_left_to_other_entries() {
    let entries: Vec<u64> = (0..40).collect();
    let has_share = |target| share(2.3, target, 0, &entries) > 0;
    let count = (0..400).filter(|it| has_share(*it)).count();
    assert!((5..60).contains(&count), "{count} of 400 targets, 20 expected");
}

#[test]
fn a_limiter_keeps_to_its_share_in_any_second() {
    let mut limiter = Limiter::default();
    let mut sent = Vec::new();
    for now in (0..5_000).step_by(10) {
        if limiter.has_room(at(now), 4) {
            limiter.record_sent(at(now));
            sent.push(now);
        }
    }
    for start in (0..5_000).step_by(10) {
        let within = sent.iter().filter(|it| (start..start + 1_000).contains(*it)).count();
        assert!(within <= 4, "{within} requests in the second from {start} ms");
    }
}
