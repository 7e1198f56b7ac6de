use std::sync::Arc;

use decision::gateway::registration::{Absences, Settings};

use crate::support::at;

fn names(count: usize) -> Vec<Arc<str>> {
    (0..count).map(|it| format!("e{it:04}").into()).collect()
}

/// Guards against registrations of living entries that are removed.
#[test]
fn an_entry_that_is_heard_now_and_then_stays_registered() {
    let mut absences = Absences::default();
    for second in 0..600 {
        let is_heard = |_: &str| second % 50 == 0;
        let lapsed = absences.lapsed(at(second * 1_000), names(3), is_heard, &Settings::default());
        assert!(lapsed.is_empty(), "{lapsed:?} at {second} s");
    }
}

/// Guards against a new decider that removes entries which it hasn't heard yet.
#[test]
fn absences_count_from_when_this_entry_decides() {
    let mut absences = Absences::default();
    let lapsed = |absences: &mut Absences, second: u64| {
        absences.lapsed(at(second * 1_000), names(2), |_| false, &Settings::default()).len()
    };
    assert_eq!(lapsed(&mut absences, 100), 0);
    assert_eq!(lapsed(&mut absences, 159), 0);
    absences.clear();
    assert_eq!(lapsed(&mut absences, 160), 0);
    assert_eq!(lapsed(&mut absences, 220), 2);
}

/// Guards against registrations of dead entries that stay for ever, and against bursts of writes.
#[test]
fn a_thousand_dead_entries_are_removed_a_few_at_a_time() {
    let mut absences = Absences::default();
    let mut registered = names(1_003);
    let is_heard = |name: &str| name < "e0003";
    for second in (0..1_400).step_by(5) {
        let now = at(second * 1_000);
        let lapsed = absences.lapsed(now, registered.clone(), is_heard, &Settings::default());
        assert!(lapsed.len() <= Settings::default().max_removals);
        registered.retain(|it| !lapsed.contains(it));
    }
    assert_eq!(registered, names(3));
}
