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
    let others = [candidate("a"), candidate("c")];
    assert_eq!(takeover_delay(&SETTINGS, &candidate("b"), &others, 2, 3), Some(ms(950)));
}

#[test]
fn an_entry_that_has_just_started_comes_after_those_that_know_more() {
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
fn nobody_waits_for_an_entry_without_the_store_and_it_takes_nothing() {
    let away = Candidate { has_store: false, ..candidate("a") };
    assert_eq!(takeover_delay(&SETTINGS, &away, &[candidate("b")], 1, 2), None);
    assert_eq!(takeover_delay(&SETTINGS, &candidate("b"), &[away], 1, 2), Some(ms(250)));
}

#[test]
fn an_entry_that_hears_few_of_the_others_leaves_it_to_them() {
    assert_eq!(
        takeover_delay(&SETTINGS, &candidate("a"), &[candidate("b")], 1, 5),
        Some(ms(4_250))
    );
    assert_eq!(takeover_delay(&SETTINGS, &candidate("a"), &[candidate("b")], 1, 4), Some(ms(250)));
}

#[rstest]
#[case::who_has_just_won(2, Some(1), true, true)]
#[case::who_was_never_seen_before(2, None, true, true)]
#[case::who_was_waited_for(2, Some(2), true, false)]
#[case::whose_process_is_gone(2, Some(1), false, false)]
fn the_lease_is_left_to_a_holder(
    #[case] fence: u64,
    #[case] known: Option<u64>,
    #[case] lives: bool,
    #[case] left: bool,
) {
    assert_eq!(defers_to_holder(fence, known, lives), left);
}
