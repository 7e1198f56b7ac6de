use decision::gateway::exchange::{Liveness, Rank, Settings, hubs};
use rstest::rstest;

use crate::support::{at, ms};

const ENTRIES: [(&str, u32); 4] = [("a", 120), ("b", 500), ("c", 120), ("d", 500)];

fn ranks() -> impl Iterator<Item = Rank<'static>> {
    ENTRIES.into_iter().map(|(name, millicores)| Rank::new(name, millicores))
}

fn hub(now: u64, own: &str, liveness: &mut Liveness) -> &'static str {
    hubs(at(now), own, ranks(), liveness, &Settings::default())[0]
}

#[test]
fn the_strongest_entry_is_the_hub() {
    let mut liveness = Liveness::default();
    assert_eq!(hubs(at(1), "a", ranks(), &mut liveness, &Settings::default()), ["b", "d"]);
}

#[test]
fn a_hub_that_does_not_answer_is_replaced_by_the_next_entry() {
    let mut liveness = Liveness::default();
    liveness.record_sent(at(1_000), "b");
    liveness.record_sent(at(1_400), "b");
    assert_eq!(hub(1_499, "a", &mut liveness), "b");
    assert_eq!(hub(1_500, "a", &mut liveness), "d");
    // The suspicion has expired, so the entry is tried again.
    assert_eq!(hub(3_500, "a", &mut liveness), "b");
}

#[test]
fn a_hub_that_answers_again_is_reinstated_at_once() {
    let mut liveness = Liveness::default();
    liveness.record_sent(at(1_000), "b");
    assert_eq!(hub(1_500, "a", &mut liveness), "d");
    liveness.record_received("b");
    assert_eq!(hub(1_501, "a", &mut liveness), "b");
}

#[test]
fn an_entry_is_its_own_hub_when_no_entry_before_it_answers() {
    let mut liveness = Liveness::default();
    liveness.record_sent(at(1_000), "b");
    liveness.record_sent(at(1_000), "d");
    assert_eq!(hub(1_500, "a", &mut liveness), "a");
}

#[rstest]
#[case::a_few(6, 75)]
#[case::a_failure_domain(40, 80)]
#[case::a_large_one(400, 800)]
fn the_round_interval_grows_with_the_entries_of_a_hub(
    #[case] entries: usize,
    #[case] interval: u64,
) {
    assert_eq!(Settings::default().round_interval(entries), ms(interval));
}
