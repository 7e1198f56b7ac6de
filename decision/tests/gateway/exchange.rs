use decision::gateway::exchange::{Liveness, Rank, Settings, hubs};
use rstest::rstest;

use crate::support::{at, ms};

const ENTRIES: [(&str, u32); 4] = [("a", 120), ("b", 500), ("c", 120), ("d", 500)];

fn ranks() -> impl Iterator<Item = Rank<'static>> {
    ENTRIES.into_iter().map(|(name, millicores)| Rank::new(name, millicores))
}

fn hub(now: u64, own: &str, silence: &mut Liveness) -> &'static str {
    hubs(at(now), own, ranks(), silence, &Settings::default())[0]
}

#[test]
fn the_strongest_entry_is_the_hub() {
    let mut silence = Liveness::default();
    assert_eq!(hubs(at(1), "a", ranks(), &mut silence, &Settings::default()), ["b", "d"]);
}

#[test]
fn a_hub_that_says_nothing_is_followed_by_the_next() {
    let mut silence = Liveness::default();
    silence.record_sent(at(1_000), "b");
    silence.record_sent(at(1_400), "b");
    assert_eq!(hub(1_499, "a", &mut silence), "b");
    assert_eq!(hub(1_500, "a", &mut silence), "d");
    // Once that is forgotten, it is tried again.
    assert_eq!(hub(3_500, "a", &mut silence), "b");
}

#[test]
fn a_hub_that_speaks_again_is_the_hub_at_once() {
    let mut silence = Liveness::default();
    silence.record_sent(at(1_000), "b");
    assert_eq!(hub(1_500, "a", &mut silence), "d");
    silence.record_received("b");
    assert_eq!(hub(1_501, "a", &mut silence), "b");
}

#[test]
fn an_entry_is_its_own_hub_when_all_before_it_are_silent() {
    let mut silence = Liveness::default();
    silence.record_sent(at(1_000), "b");
    silence.record_sent(at(1_000), "d");
    assert_eq!(hub(1_500, "a", &mut silence), "a");
}

#[rstest]
#[case::a_few(6, 75)]
#[case::a_failure_domain(40, 80)]
#[case::a_large_one(400, 800)]
fn what_a_hub_spends_has_a_bound(#[case] entries: usize, #[case] pause: u64) {
    assert_eq!(Settings::default().round_interval(entries), ms(pause));
}
