use decision::gateway::fleet::{Member, Report, State};
use decision::gateway::formation::Premise;
use rstest::rstest;

fn premise() -> Premise {
    Premise { born: 1, was: Some(("old".into(), 5)), joins: ("new".into(), 7) }
}

fn member(group: &str, epoch: u64, state: State) -> Option<Member> {
    Some(Member { group: group.into(), epoch, rank: 0, state })
}

#[rstest]
#[case::that_is_free(None, 1, true)]
#[case::whose_replica_serves_no_more(member("old", 5, State::Ready), 1, true)]
#[case::whose_replica_is_broken(member("old", 5, State::Broken), 1, true)]
#[case::that_has_joined_already(member("new", 7, State::Joining), 1, true)]
#[case::that_serves(member("old", 5, State::Open), 1, false)]
#[case::that_ends_what_it_runs(member("old", 5, State::Closing), 1, false)]
#[case::of_another_epoch(member("old", 6, State::Ready), 1, false)]
#[case::of_another_replica(member("other", 5, State::Ready), 1, false)]
#[case::that_started_again(None, 2, false)]
fn an_order_to_join_is_only_for_an_instance(
    #[case] member: Option<Member>,
    #[case] born: u64,
    #[case] given: bool,
) {
    let report = Report { born, staged: Vec::new(), model: None, member, orders: Some(3) };
    assert_eq!(premise().holds(&report), given);
}

#[test]
fn an_instance_that_was_free_is_not_taken_from_a_replica_that_it_joined_since() {
    let premise = Premise { was: None, ..premise() };
    let member = member("other", 6, State::Ready);
    let report = Report { born: 1, staged: Vec::new(), model: None, member, orders: None };
    assert!(!premise.holds(&report));
}
