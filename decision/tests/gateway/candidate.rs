use decision::gateway::candidate::{Candidate, Settings, defers_to_holder, takeover_delay};
use rstest::rstest;

use crate::support::ms;

const SETTINGS: Settings =
    Settings { base_delay: ms(250), delay_per_rank: ms(700), minority_delay: ms(4_000) };

fn candidate(name: &str) -> Candidate {
    Candidate { name: name.to_owned(), millicores: 250, has_store: true, has_history: true }
}

#[test]
fn candidates_wait_in_the_order_of_their_names() {
    let peers = [candidate("a"), candidate("c")];
    assert_eq!(takeover_delay(&SETTINGS, &candidate("b"), &peers, 2, 3), Some(ms(950)));
}

#[test]
fn an_entry_without_history_comes_after_those_with_history() {
    let fresh = Candidate { has_history: false, ..candidate("a") };
    assert_eq!(takeover_delay(&SETTINGS, &fresh, &[candidate("b")], 1, 2), Some(ms(950)));
    assert_eq!(takeover_delay(&SETTINGS, &candidate("b"), &[fresh], 1, 2), Some(ms(250)));
}

#[test]
fn the_strongest_entry_comes_first() {
    let strong = Candidate { millicores: 500, ..candidate("z") };
    assert_eq!(takeover_delay(&SETTINGS, &strong, &[candidate("a")], 1, 2), Some(ms(250)));
    assert_eq!(takeover_delay(&SETTINGS, &candidate("a"), &[strong], 1, 2), Some(ms(950)));
}

#[test]
fn an_entry_without_the_store_is_no_candidate() {
    let without_store = Candidate { has_store: false, ..candidate("a") };
    assert_eq!(takeover_delay(&SETTINGS, &without_store, &[candidate("b")], 1, 2), None);
    assert_eq!(takeover_delay(&SETTINGS, &candidate("b"), &[without_store], 1, 2), Some(ms(250)));
}

#[test]
fn an_entry_in_a_minority_waits_longer() {
    assert_eq!(
        takeover_delay(&SETTINGS, &candidate("a"), &[candidate("b")], 1, 5),
        Some(ms(4_250))
    );
    assert_eq!(takeover_delay(&SETTINGS, &candidate("a"), &[candidate("b")], 1, 4), Some(ms(250)));
}

#[rstest]
#[case::acquired_since_the_last_read(2, Some(1), true, true)]
#[case::not_read_before(2, None, true, true)]
#[case::already_waited_for(2, Some(2), true, false)]
#[case::dead(2, Some(1), false, false)]
fn a_candidate_defers_to_a_new_holder(
    #[case] fence: u64,
    #[case] known: Option<u64>,
    #[case] is_holder_alive: bool,
    #[case] is_deferred: bool,
) {
    assert_eq!(defers_to_holder(fence, known, is_holder_alive), is_deferred);
}
