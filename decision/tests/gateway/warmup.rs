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
        let shares = entries.iter().map(|own| share(rate, target, *own, &entries));
        let sum = f64::from(shares.sum::<u32>());
        assert!(sum <= rate, "{sum} of {rate}");
        assert!(sum >= (rate * 0.9).floor(), "{sum} of {rate}");
    }
}

#[test]
fn other_targets_are_left_to_other_entries() {
    let entries: Vec<u64> = (0..40).collect();
    let own = |target| share(2.3, target, 0, &entries) > 0;
    let count = (0..400).filter(|it| own(*it)).count();
    assert!((5..60).contains(&count), "{count} of 400 targets, 20 expected");
}

#[test]
fn a_limiter_keeps_to_its_share_in_any_second() {
    let mut limiter = Limiter::default();
    let mut sent = Vec::new();
    for millis in (0..5_000).step_by(10) {
        if limiter.has_room(at(millis), 4) {
            limiter.record_sent(at(millis));
            sent.push(millis);
        }
    }
    for begin in (0..5_000).step_by(10) {
        let within = sent.iter().filter(|it| (begin..begin + 1_000).contains(*it)).count();
        assert!(within <= 4, "{within} requests in the second from {begin} ms");
    }
}
