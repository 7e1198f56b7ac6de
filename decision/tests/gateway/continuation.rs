use decision::gateway::continuation::{Continuation, Event, Head, Rejection, Verdict};
use proptest::prelude::*;
use rstest::rstest;

const HEAD: Head = Head { status: 200, is_event_stream: true, has_stamp: true, is_framed: true };

/// Ids of the stream of a target, with which a faulty one begins, skips or repeats at will.
#[derive(Clone, Debug)]
struct Target {
    shift: i64,
    length: usize,
    has_error: bool,
}

fn targets() -> impl Strategy<Value = Vec<Target>> {
    let target =
        (prop_oneof![3 => Just(0), 1 => -4..=4_i64], 0..12_usize, prop::bool::weighted(0.2));
    let target = target.prop_map(|(shift, length, has_error)| Target { shift, length, has_error });
    prop::collection::vec(target, 1..6)
}

fn piece(id: &str) -> Event<'_> {
    Event { id: Some(id), has_data: true, is_malformed: false }
}

proptest! {
    #[test]
    fn a_caller_gets_consecutive_events_whatever_later_targets_send(targets in targets()) {
        let mut continuation = Continuation::default();
        let mut caller: Vec<i64> = Vec::new();
        for (place, target) in targets.iter().enumerate() {
            let first = place == 0;
            continuation.begin(HEAD);
            let begin = caller.last().map_or(1, |it| it + 1);
            // One event doesn't show yet how ids rise.
            let shift = if caller.len() < 2 { 0 } else { target.shift };
            if target.has_error && !first {
                let error = Event { id: None, has_data: true, is_malformed: false };
                prop_assert!(caller.is_empty() || continuation.check(&error).is_err());
                continue;
            }
            for id in (begin + shift).max(1)..begin + shift + target.length as i64 {
                match continuation.check(&piece(&id.to_string())) {
                    Ok(Verdict::Forward) => caller.push(id),
                    Ok(Verdict::Skip) => {}
                    Err(_) => break,
                }
            }
        }
        prop_assert!(caller.iter().copied().eq(1..=caller.len() as i64), "{caller:?}");
    }
}

#[rstest]
#[case::no_numbers(&["a", "b"], "c", Ok(Verdict::Forward))]
#[case::same_text(&["a", "b"], "b", Ok(Verdict::Skip))]
#[case::text_after_numbers(&["1", "2"], "c", Err(Rejection::StartsAgain))]
#[case::larger_steps(&["4", "8"], "16", Ok(Verdict::Forward))]
#[case::one_event(&["7"], "9", Ok(Verdict::Forward))]
#[case::gap(&["7", "8"], "10", Err(Rejection::EventsMissing))]
fn the_first_event_of_the_next_target(
    #[case] passed: &[&str],
    #[case] id: &str,
    #[case] verdict: Result<Verdict, Rejection>,
) {
    let mut continuation = Continuation::default();
    continuation.begin(HEAD);
    passed.iter().for_each(|it| assert_eq!(continuation.check(&piece(it)), Ok(Verdict::Forward)));
    continuation.begin(HEAD);
    assert_eq!(continuation.check(&piece(id)), verdict);
}
