//! Speed of targets and models that deviate from the cost model.

use decision::gateway::balance::speed::{Baseline, Slowness, combined_factor};

use crate::support::at;

/// Duration of a pass by the cost model, in milliseconds.
const PASS_MS: f64 = 40.0;

/// Records passes of a target that take `factor` times as long as stated, from `from` on for a
/// second or at least 8 passes. Returns the time of the last one, in milliseconds.
fn record_passes(slowness: &mut Slowness, baseline: &mut Baseline, from: u64, factor: f64) -> u64 {
    let pass_ms = (PASS_MS * factor) as u64;
    let passes = (1_000 / pass_ms).max(8);
    for index in 1..=passes {
        slowness.record_pass(at(from + index * pass_ms), baseline, PASS_MS, PASS_MS * factor);
    }
    from + passes * pass_ms
}

#[test]
fn unexplained_first_token_time_is_learned_at_once_and_outliers_hardly_count() {
    let mut baseline = Baseline::default();
    baseline.record_first_token(60.0, 480.0);
    baseline.record_first_token(60.0, 180.0);
    assert_eq!(baseline.overhead_ms(), 120.0);
    for _ in 0..200 {
        baseline.record_first_token(60.0, 180.0);
    }
    baseline.record_first_token(60.0, 9_000.0);
    assert!((baseline.overhead_ms() - 120.0).abs() < 2.0, "{baseline:?}");
    for _ in 0..200 {
        baseline.record_first_token(60.0, 260.0);
    }
    assert!((baseline.overhead_ms() - 200.0).abs() < 5.0, "{baseline:?}");
}

#[test]
fn a_slow_target_is_known_within_a_second_and_tried_again_later() {
    let (mut baseline, mut slow, none) =
        (Baseline::default(), Slowness::default(), Slowness::default());
    let end = record_passes(&mut slow, &mut baseline, 0, 8.0);
    let known = combined_factor(at(end), &slow, &none);
    assert!((5.0..=8.5).contains(&known), "{known}");
    assert_eq!(combined_factor(at(end + 10_000), &slow, &none), 1.0);
    assert!(
        baseline.pass_factor() < 1.6,
        "one slow target does not change the baseline of its model: {baseline:?}"
    );
}

#[test]
fn uniformly_long_passes_change_the_baseline_and_make_no_target_slow() {
    let (mut baseline, none) = (Baseline::default(), Slowness::default());
    let mut targets = [Slowness::default(); 3];
    for round in 0..10 {
        for target in &mut targets {
            record_passes(target, &mut baseline, round * 1_000, 1.5);
        }
    }
    assert!((baseline.pass_factor() - 1.5).abs() < 0.1, "{baseline:?}");
    for target in &targets {
        assert_eq!(combined_factor(at(10_000), target, &none), 1.0);
    }
}

#[test]
fn slowness_seen_from_one_failure_domain_holds_there() {
    let mut baseline = Baseline::default();
    let (mut here, mut elsewhere) = (Slowness::default(), Slowness::default());
    let end = record_passes(&mut here, &mut baseline, 0, 6.0);
    elsewhere.set_reported(at(end), 10);
    assert!(combined_factor(at(end), &here, &elsewhere) > 4.0);
    assert_eq!(combined_factor(at(end), &elsewhere, &elsewhere), 1.0);
}

#[test]
fn invalid_reports_and_measurements_change_little_or_nothing() {
    let (mut baseline, mut slowness) = (Baseline::default(), Slowness::default());
    slowness.record_pass(at(1), &mut baseline, 0.0, 40.0);
    slowness.record_pass(at(1), &mut baseline, PASS_MS, f64::NAN);
    slowness.record_pass(at(1), &mut baseline, PASS_MS, f64::INFINITY);
    assert_eq!((slowness.factor(at(1)), slowness.tenths(at(1))), (1.0, 0));
    slowness.set_reported(at(1), u8::MAX);
    assert!(slowness.factor(at(1)) <= 25.0);
    baseline.record_first_token(f64::INFINITY, 10.0);
    assert_eq!(baseline.overhead_ms(), 0.0);
}
