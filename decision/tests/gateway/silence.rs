//! How long plain targets may be silent, and which target may take over the work of a silent one.

use std::sync::Arc;

use decision::gateway::balance::{
    Balancer, Choice, Completion, Key, Patience, Requirements, Settings,
};
use decision::prelude::*;
use rstest::rstest;

use crate::support::{at, ms, target};

/// The slack beyond what is known of a plain target.
const SLACK: Duration = Duration::from_millis(30);

fn plain(names: &[&str]) -> Balancer {
    let mut balance = Balancer::new(Settings::default());
    let targets = names.iter().map(|it| (target(it, "a", None), Duration::ZERO));
    balance.set_targets(at(0), &Arc::from("plain"), None, 0.0, targets);
    balance
}

fn send(balance: &mut Balancer, excluded: &[Key]) -> Key {
    let requirements = Requirements { excluded: excluded.to_vec(), ..Requirements::default() };
    let choice = balance.choose(at(0), "plain", &requirements);
    assert!(matches!(choice, Choice::Send(..)), "not sent: {choice:?}");
    if let Choice::Send(key, _) = choice { key } else { Key::default() }
}

fn patience() -> Patience {
    Patience { first_event: ms(400), event_gap: Some(ms(250)) }
}

/// Returns for how long the target may be silent after an event at 1,000 ms.
fn allowed(balance: &Balancer, key: Key, patience: Patience) -> Option<Duration> {
    let terms = balance.terms(key, patience)?;
    balance.silence_deadline(at(1_000), key, &terms).map(|it| it.since(at(1_000)))
}

/// Guards against streams that are taken from a plain target 30 ms after an event.
#[rstest]
#[case::as_its_route_allows(patience(), None, Some(ms(250) + SLACK))]
#[case::as_it_has_shown(patience(), Some(ms(700)), Some(ms(700) + SLACK))]
#[case::longer_than_it_has_shown(patience(), Some(ms(60)), Some(ms(250) + SLACK))]
#[case::without_a_bound(Patience { event_gap: None, ..patience() }, None, None)]
fn a_plain_target_may_pause_between_events(
    #[case] patience: Patience,
    #[case] shown: Option<Duration>,
    #[case] expected: Option<Duration>,
) {
    let mut balance = plain(&["x"]);
    let key = send(&mut balance, &[]);
    shown.into_iter().for_each(|it| balance.record_pass(at(1_000), key, it));
    balance.record_activity(at(1_000), key);
    assert_eq!(allowed(&balance, key, patience), expected);
}

#[test]
fn a_pause_that_was_shown_long_ago_counts_no_more() {
    let mut balance = plain(&["x"]);
    let key = send(&mut balance, &[]);
    balance.record_pass(at(1_000), key, ms(700));
    balance.record_activity(at(11_000), key);
    let terms = balance.terms(key, patience()).expect("a target at work");
    assert_eq!(balance.silence_deadline(at(11_000), key, &terms), Some(at(11_280)));
}

/// Guards against plain targets that count as silent 120 ms after a request.
#[test]
fn a_plain_target_has_the_time_of_its_route_before_the_first_event() {
    let mut balance = plain(&["x"]);
    let key = send(&mut balance, &[]);
    let terms = balance.terms(key, patience()).expect("a target at work");
    assert!(!balance.check_silence(at(400), key, &terms));
    assert!(balance.check_silence(at(600), key, &terms));
}

/// Guards against streams that are given up for a target that can't be reached.
#[rstest]
#[case::refused_connections(Completion::Unreached, false)]
#[case::broke_off(Completion::Failed, true)]
#[case::refused_a_request(Completion::Refused, true)]
fn a_target_that_was_not_reached_last_takes_nothing_over(
    #[case] completion: Completion,
    #[case] expected: bool,
) {
    let mut balance = plain(&["x", "y"]);
    let first = send(&mut balance, &[]);
    let other = send(&mut balance, &[first]);
    let takes_over = |balance: &Balancer| {
        balance.has_alternative(at(1), "plain", &Requirements::default(), first)
    };
    assert!(takes_over(&balance));
    balance.finish_attempt(at(1), other, 0, completion);
    assert_eq!(takes_over(&balance), expected);
    let other = send(&mut balance, &[first]);
    balance.finish_attempt(at(1), other, 0, Completion::Answered);
    assert!(takes_over(&balance));
}
