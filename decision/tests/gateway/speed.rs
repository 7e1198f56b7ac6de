//! What is learnt of targets that are not as the cost model says.

use decision::gateway::balance::speed::{Baseline, Slowness, factor};

use crate::support::at;

/// Milliseconds of a pass by the cost model.
const PASS: f64 = 40.0;

/// A target whose passes take `times` as long as stated, seen for a second from `from` on.
fn watch(slowness: &mut Slowness, norm: &mut Baseline, from: u64, times: f64) -> u64 {
    let pass = (PASS * times) as u64;
    let passes = (1_000 / pass).max(8);
    for place in 1..=passes {
        slowness.passed(at(from + place * pass), norm, PASS, PASS * times);
    }
    from + passes * pass
}

#[test]
fn a_start_that_the_load_does_not_explain_is_learnt_at_once_and_outliers_hardly_count() {
    let mut norm = Baseline::default();
    norm.started(60.0, 480.0);
    norm.started(60.0, 180.0);
    assert_eq!(norm.start_ms(), 120.0);
    for _ in 0..200 {
        norm.started(60.0, 180.0);
    }
    norm.started(60.0, 9_000.0);
    assert!((norm.start_ms() - 120.0).abs() < 2.0, "{norm:?}");
    for _ in 0..200 {
        norm.started(60.0, 260.0);
    }
    assert!((norm.start_ms() - 200.0).abs() < 5.0, "{norm:?}");
}

#[test]
fn a_slow_target_is_known_within_a_second_and_tried_again_later() {
    let (mut norm, mut slow, none) =
        (Baseline::default(), Slowness::default(), Slowness::default());
    let end = watch(&mut slow, &mut norm, 0, 8.0);
    let known = factor(at(end), &slow, &none);
    assert!((5.0..=8.5).contains(&known), "{known}");
    assert_eq!(factor(at(end + 10_000), &slow, &none), 1.0);
    assert!(norm.stretch() < 1.6, "one slow target says nothing of its model: {norm:?}");
}

#[test]
fn passes_that_are_longer_everywhere_are_the_models_and_make_no_target_slow() {
    let (mut norm, none) = (Baseline::default(), Slowness::default());
    let mut targets = [Slowness::default(); 3];
    for round in 0..10 {
        for target in &mut targets {
            watch(target, &mut norm, round * 1_000, 1.5);
        }
    }
    assert!((norm.stretch() - 1.5).abs() < 0.1, "{norm:?}");
    for target in &targets {
        assert_eq!(factor(at(10_000), target, &none), 1.0);
    }
}

#[test]
fn what_callers_of_one_failure_domain_see_holds_there() {
    let mut norm = Baseline::default();
    let (mut here, mut elsewhere) = (Slowness::default(), Slowness::default());
    let end = watch(&mut here, &mut norm, 0, 6.0);
    elsewhere.told(at(end), 10);
    assert!(factor(at(end), &here, &elsewhere) > 4.0);
    assert_eq!(factor(at(end), &elsewhere, &elsewhere), 1.0);
}

#[test]
fn words_and_measurements_that_make_no_sense_change_nothing_or_little() {
    let (mut norm, mut slowness) = (Baseline::default(), Slowness::default());
    slowness.passed(at(1), &mut norm, 0.0, 40.0);
    slowness.passed(at(1), &mut norm, PASS, f64::NAN);
    slowness.passed(at(1), &mut norm, PASS, f64::INFINITY);
    assert_eq!((slowness.factor(at(1)), slowness.tenths(at(1))), (1.0, 0));
    slowness.told(at(1), u8::MAX);
    assert!(slowness.factor(at(1)) <= 25.0);
    norm.started(f64::INFINITY, 10.0);
    assert_eq!(norm.start_ms(), 0.0);
}
