use decision::gateway::fleet::{Member, Report, State};
use decision::gateway::formation::Premise;
use rstest::rstest;

fn premise() -> Premise {
    Premise { born: 1, was: Some(("old".into(), 5)), own: 2_000_000 }
}

fn head(group: &str, epoch: u64, state: State) -> Option<Member> {
    Some(Member { group: group.into(), epoch, rank: 0, state })
}

fn member(group: &str, epoch: u64) -> Option<Member> {
    Some(Member { group: group.into(), epoch, rank: 1, state: State::Ready })
}

#[rstest]
#[case::that_is_free(None, 1, true)]
#[case::whose_replica_serves_no_more(member("old", 5), 1, true)]
#[case::that_was_never_opened(head("other", 5, State::Ready), 1, true)]
#[case::whose_replica_is_broken(head("old", 5, State::Broken), 1, true)]
#[case::that_this_owner_had_join(member("new", 2_000_007), 1, true)]
#[case::that_serves(head("old", 5, State::Open), 1, false)]
#[case::that_serves_what_this_owner_formed(head("new", 2_000_007, State::Open), 1, false)]
#[case::that_ends_what_it_runs(head("old", 5, State::Closing), 1, false)]
#[case::of_another_epoch(member("old", 6), 1, false)]
#[case::of_another_replica(member("other", 5), 1, false)]
#[case::that_started_again(None, 2, false)]
fn an_order_to_join_is_only_for_an_instance(
    #[case] member: Option<Member>,
    #[case] born: u64,
    #[case] given: bool,
) {
    let report = Report { born, staged: Vec::new(), model: None, member, orders: Some(3) };
    assert_eq!(premise().holds(&report), given);
}
