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

/// Guards against living entries that don't hear each other, as they try dead ones in turn.
#[rstest]
#[case::six(6)]
#[case::twenty(20)]
fn dead_entries_that_rank_first_are_tried_ever_less_often(#[case] dead: usize) {
    let names: Vec<String> = (0..dead).map(|it| format!("dead-{it:03}")).collect();
    let living = ENTRIES.into_iter().map(|(name, millicores)| Rank::new(name, millicores));
    let dead_ranks = names.iter().map(|it| Rank::new(it, 900));
    let ranks: Vec<Rank<'_>> = dead_ranks.chain(living).collect();
    let mut liveness = Liveness::default();
    let settings = Settings::default();
    let mut in_vain = 0;
    for now in (0..600_000).step_by(50) {
        let hub = hubs(at(now), "a", ranks.iter().copied(), &mut liveness, &settings)[0];
        if hub.starts_with("dead") {
            liveness.record_sent(at(now), hub);
            in_vain += u32::from(now >= 540_000);
        }
    }
    // A minute has 1,200 rounds; a try takes ten until the entry is silent.
    assert!(in_vain as usize <= dead * 20, "{in_vain} rounds of the last minute");
}

/// Guards against a hub that is back and passed over for as long as it was away.
#[test]
fn a_suspect_that_a_peer_hears_is_tried_again_soon() {
    let mut liveness = Liveness::default();
    let settings = Settings::default();
    for now in (0..60_000).step_by(50) {
        if hub(now, "a", &mut liveness) == "b" {
            liveness.record_sent(at(now), "b");
        }
    }
    let tried = |liveness: &mut Liveness| {
        (60_000..90_000).step_by(50).find(|it| hub(*it, "a", liveness) == "b")
    };
    let without = tried(&mut liveness);
    liveness.record_reported(at(60_000), "b", &settings);
    let with = tried(&mut liveness);
    assert!(without > Some(62_000) || without.is_none(), "{without:?}");
    assert!(with <= Some(62_000), "{with:?}");
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
