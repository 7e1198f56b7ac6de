//! Which parts of prompts are quarantined.

use decision::gateway::prompt::Part;
use decision::gateway::quarantine::{
    Evidence, MAX_QUARANTINED, Quarantine, Report, Settings, Suspicion,
};
use decision::prelude::*;
use proptest::prelude::*;
use rstest::rstest;

use self::play::Play;

#[path = "quarantine/play.rs"]
mod play;

const SHARED: Part = part(1);
const FATAL: Part = part(2);
const OTHER: Part = part(3);

const fn part(id: u64) -> Part {
    Part { model: 7, id }
}

/// Some time after the start, so that there is a time before it.
fn at(millis: u64) -> Time {
    Time::from_millis(1_000_000 + millis)
}

/// Records that `target` crashed with a request of `prompt`.
fn crash(quarantine: &mut Quarantine, now: Time, target: u32, prompt: &[Part]) {
    quarantine.record_loss(now, target, prompt, true);
    quarantine.record_check(now, target, true);
}

/// Tells every entry what the others know.
fn exchange(now: Time, entries: &mut [Quarantine]) {
    let known: Vec<Evidence> = entries.iter().map(|it| it.evidence(now, 0)).collect();
    for entry in entries {
        for piece in known.iter().flat_map(|it| it.clone().split(5)) {
            entry.merge(now, &piece);
        }
    }
}

/// Judges once everything has settled, and returns the parts.
fn judge(now: Time, quarantine: &mut Quarantine) -> Vec<Part> {
    quarantine.judge(now + Settings::default().settle_time).iter().map(|it| it.part).collect()
}

#[test]
fn a_part_under_which_three_replicas_crashed_at_three_entries_is_quarantined_by_all() {
    let mut entries = [(); 3].map(|()| Quarantine::default());
    for (entry, target) in (0..3).zip(10..) {
        crash(&mut entries[entry], at(200 * entry as u64), target, &[SHARED, FATAL]);
    }
    entries[0].record_survival(at(450), &[SHARED, OTHER]);
    exchange(at(500), &mut entries);
    exchange(at(600), &mut entries);
    for entry in &mut entries {
        assert_eq!(judge(at(600), entry), [FATAL]);
        assert_eq!(entry.find(&[SHARED, FATAL]), Some(FATAL));
        assert_eq!(entry.find(&[SHARED, OTHER]), None);
    }
}

#[test]
fn two_crashes_are_not_enough() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, at(0), 10, &[FATAL]);
    crash(&mut quarantine, at(200), 11, &[FATAL]);
    assert!(judge(at(200), &mut quarantine).is_empty());
}

/// Guards against a part of a sound request that is withheld since it was sent on with a fatal one.
#[test]
fn a_request_that_is_sent_on_from_crash_to_crash_counts_once() {
    let mut quarantine = Quarantine::default();
    for (step, target) in (0..3).zip(10..) {
        quarantine.record_loss(at(step * 200), target, &[OTHER], step == 0);
        quarantine.record_check(at(step * 200), target, true);
    }
    assert!(judge(at(600), &mut quarantine).is_empty());
}

#[test]
fn a_target_that_answers_a_check_has_not_crashed() {
    let mut quarantine = Quarantine::default();
    for target in 10..20 {
        let now = at(u64::from(target) * 200);
        assert!(quarantine.record_loss(now, target, &[FATAL], true), "the first loss is checked");
        assert!(!quarantine.record_loss(now, target, &[FATAL], true), "the second is not");
        quarantine.record_check(now, target, false);
    }
    assert!(judge(at(5_000), &mut quarantine).is_empty());
    assert!(quarantine.evidence(at(5_000), 0).is_empty());
}

/// Guards against a part of sound requests that is withheld when a failure domain fails.
#[test]
fn replicas_that_crash_together_count_as_one_crash() {
    let mut quarantine = Quarantine::default();
    for (step, target) in (0..8).zip(10..) {
        crash(&mut quarantine, at(step * 10), target, &[OTHER]);
    }
    assert!(judge(at(100), &mut quarantine).is_empty());
}

#[rstest]
#[case::between(at(300), 0)]
#[case::before(at(0), 1)]
#[case::after(at(900), 0)]
fn a_part_that_a_request_survived_after_a_crash_is_not_held_responsible_for_it(
    #[case] survived_at: Time,
    #[case] quarantined: usize,
) {
    let mut quarantine = Quarantine::default();
    quarantine.record_survival(survived_at, &[OTHER]);
    for (step, target) in (0..3).zip(10..) {
        crash(&mut quarantine, at(200 + step * 200), target, &[OTHER]);
    }
    assert_eq!(judge(at(900), &mut quarantine).len(), quarantined);
}

#[test]
fn of_parts_that_always_come_together_the_last_one_is_quarantined() {
    let mut quarantine = Quarantine::default();
    for (step, target) in (0..3).zip(10..) {
        crash(&mut quarantine, at(step * 200), target, &[SHARED, FATAL]);
    }
    assert_eq!(judge(at(600), &mut quarantine), [FATAL]);
}

#[test]
fn parts_of_separate_requests_with_the_same_crashes_wait_for_more_of_them() {
    let mut quarantine = Quarantine::default();
    for (step, target) in (0..3).zip(10..) {
        crash(&mut quarantine, at(step * 200), target, &[FATAL]);
        crash(&mut quarantine, at(step * 200), target, &[OTHER]);
    }
    assert!(judge(at(600), &mut quarantine).is_empty());
    crash(&mut quarantine, at(1_000), 20, &[FATAL]);
    assert_eq!(judge(at(1_000), &mut quarantine), [FATAL]);
    for (step, target) in (0..2).zip(30..) {
        crash(&mut quarantine, at(1_500 + step * 200), target, &[FATAL]);
        crash(&mut quarantine, at(1_500 + step * 200), target, &[OTHER]);
    }
    assert!(judge(at(2_500), &mut quarantine).is_empty(), "the known part explains them");
}

#[test]
fn a_part_is_quarantined_as_soon_as_those_with_as_many_crashes_are_cleared() {
    let mut quarantine = Quarantine::default();
    for (step, target) in (0..3).zip(10..) {
        crash(&mut quarantine, at(step * 200), target, &[FATAL]);
        crash(&mut quarantine, at(step * 200), target, &[OTHER]);
    }
    assert!(judge(at(600), &mut quarantine).is_empty());
    quarantine.record_survival(at(1_000), &[OTHER]);
    assert_eq!(judge(at(1_000), &mut quarantine), [FATAL]);
}

#[test]
fn a_quarantine_lapses_and_so_does_old_evidence() {
    let settings = Settings::default();
    let mut quarantine = Quarantine::default();
    for (step, target) in (0..3).zip(10..) {
        crash(&mut quarantine, at(step * 200), target, &[FATAL]);
    }
    assert_eq!(judge(at(600), &mut quarantine), [FATAL]);
    crash(&mut quarantine, at(700), 20, &[OTHER]);
    assert_eq!(quarantine.expire(at(600) + settings.window * 2), []);
    assert!(quarantine.evidence(at(600) + settings.window * 2, 0).crashes.is_empty());
    assert_eq!(quarantine.expire(at(1_000) + settings.duration), [FATAL]);
    assert_eq!(quarantine.find(&[FATAL]), None);
}

#[test]
fn a_part_that_is_answered_after_all_leaves_the_quarantine_at_all_entries() {
    let mut entries = [(); 2].map(|()| Quarantine::default());
    entries[0].adopt(at(0), FATAL, at(0));
    exchange(at(100), &mut entries);
    assert_eq!(entries[1].find(&[FATAL]), Some(FATAL));
    assert_eq!(entries[0].record_survival(at(500), &[FATAL]), [FATAL]);
    exchange(at(600), &mut entries);
    exchange(at(700), &mut entries);
    assert!(entries.iter().all(|it| it.find(&[FATAL]).is_none()));
}

/// Guards against evidence that ends with the process that collected it.
#[test]
fn a_restarted_entry_learns_crashes_and_verdicts_of_before_its_start() {
    let mut entries = [(); 2].map(|()| Quarantine::default());
    entries[0].adopt(at(0), OTHER, at(0));
    crash(&mut entries[0], at(0), 10, &[FATAL]);
    crash(&mut entries[0], at(200), 11, &[FATAL]);
    let told = entries[0].evidence(at(60_000), 0);
    // Its clock began much later.
    let now = Time::from_millis(300_000);
    entries[1].merge(now, &told);
    assert_eq!(entries[1].find(&[OTHER]), Some(OTHER));
    crash(&mut entries[1], now, 12, &[FATAL]);
    assert_eq!(judge(now, &mut entries[1]), [FATAL]);
}

#[test]
fn what_is_kept_and_sent_is_bounded() {
    let mut quarantine = Quarantine::default();
    for round in 0..500_u32 {
        let now = at(u64::from(round) * 10);
        let prompt: Vec<Part> = (0..32).map(|it| part(u64::from(round) * 100 + it)).collect();
        for shift in 0..20 {
            let shifted: Vec<Part> =
                prompt.iter().map(|it| part(it.id + shift * 100_000)).collect();
            quarantine.record_loss(now, round, &shifted, true);
        }
        quarantine.record_check(now, round, true);
        quarantine.record_survival(now, &prompt);
        quarantine.adopt(now, part(u64::from(round) + 9_000_000), now);
    }
    let evidence = quarantine.evidence(at(5_000), 0);
    assert_eq!(evidence.crashes.len(), 64);
    assert!(evidence.crashes.iter().all(|it| it.suspects.len() <= 256));
    assert_eq!(evidence.verdicts.len(), MAX_QUARANTINED);
    let all: usize = evidence.crashes.iter().map(|it| it.suspects.len()).sum();
    let pieces = evidence.split(60);
    let parts = |it: &Evidence| {
        let suspects: usize = it.crashes.iter().map(|it| it.suspects.len()).sum();
        suspects + it.survivals.len() + it.verdicts.len()
    };
    assert!(pieces.iter().all(|it| parts(it) <= 60));
    let sent = |it: &Evidence| it.crashes.iter().map(|it| it.suspects.len()).sum::<usize>();
    assert_eq!(pieces.iter().map(sent).sum::<usize>(), all);
}

#[test]
fn only_what_is_new_is_told_between_complete_reports() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, at(0), 10, &[FATAL, OTHER]);
    let version = quarantine.version();
    assert_eq!(quarantine.evidence(at(0), version), Evidence::default());
    crash(&mut quarantine, at(200), 11, &[FATAL]);
    quarantine.record_survival(at(300), &[OTHER]);
    let news = quarantine.evidence(at(300), version);
    assert_eq!(news.crashes.iter().map(|it| it.target).collect::<Vec<u32>>(), [11]);
    assert_eq!(news.survivals, [(OTHER, 0)]);
    // A peer that suspects the part later is told again.
    quarantine.expire(at(60_000));
    assert_eq!(quarantine.evidence(at(60_000), 0).survivals, []);
    let suspicion = Suspicion::default();
    let report = Report { target: 10, age_ms: 60_000, suspects: vec![(OTHER, suspicion)] };
    quarantine.merge(at(60_000), &Evidence { crashes: vec![report], ..Evidence::default() });
    assert_eq!(quarantine.evidence(at(60_000), 0).survivals, [(OTHER, 59_700)]);
}

#[test]
fn what_is_known_already_is_not_told_again() {
    let mut entries = [(); 3].map(|()| Quarantine::default());
    crash(&mut entries[0], at(0), 10, &[SHARED, FATAL]);
    entries[1].record_survival(at(50), &[SHARED]);
    for round in 1..4 {
        exchange(at(round * 100), &mut entries);
    }
    let versions = entries.each_ref().map(Quarantine::version);
    for round in 4..40 {
        exchange(at(round * 100), &mut entries);
    }
    assert_eq!(entries.each_ref().map(Quarantine::version), versions);
}

/// Guards against sound parts that are withheld, and a fatal one that isn't, at a load of sound
/// requests, crashes by chance and whole failure domains that crash.
#[rstest]
#[case::entries_7(7, 100.0, 40)]
#[case::entries_60(60, 400.0, 10)]
fn only_the_fatal_part_is_quarantined_under_load(
    #[case] entries: usize,
    #[case] rate: f64,
    #[case] seeds: u64,
) {
    for seed in 0..seeds {
        let result = Play::new(seed, entries, rate).run();
        assert_eq!(result.sound, [], "seed {seed}: sound parts were quarantined");
        assert!(result.late <= 3, "seed {seed}: {result:?}");
    }
}

fn reports() -> impl Strategy<Value = Vec<Report>> {
    let suspects = proptest::collection::vec((0..6_u64, 0..3_u8, any::<bool>()), 0..4);
    let report = (0..8_u32, 0..5_000_u32, suspects).prop_map(|(target, age_ms, suspects)| {
        let suspects = suspects
            .into_iter()
            .map(|(id, position, is_first)| (part(id), Suspicion { position, is_first }));
        Report { target, age_ms, suspects: suspects.collect() }
    });
    proptest::collection::vec(report, 0..12)
}

proptest! {
    #[test]
    fn evidence_has_the_same_result_in_any_order_and_number(
        reports in reports(),
        survivals in proptest::collection::vec((0..6_u64, 0..5_000_u32), 0..4),
    ) {
        // One time for each target and part: entries differ by no more than the time of a message.
        let crashes: Vec<Report> =
            reports.into_iter().map(|it| Report { age_ms: it.target * 500, ..it }).collect();
        let survivals: std::collections::BTreeMap<u64, u32> = survivals.into_iter().collect();
        let survivals: Vec<(Part, u32)> =
            survivals.into_iter().map(|(id, age)| (part(id), age)).collect();
        let all = Evidence { crashes, survivals, verdicts: Vec::new() };
        let mut forward = Quarantine::default();
        forward.merge(at(0), &all);
        let mut backward = Quarantine::default();
        let mut pieces = all.clone().split(1);
        pieces.reverse();
        pieces.extend(pieces.clone());
        pieces.iter().for_each(|it| drop(backward.merge(at(0), it)));
        prop_assert_eq!(judge(at(0), &mut forward), judge(at(0), &mut backward));
    }
}
