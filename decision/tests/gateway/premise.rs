use decision::gateway::fleet::{Member, Report, State};
use decision::gateway::formation::{Order, Precondition, Verdict};
use rstest::rstest;

fn place(group: &str, epoch: u64, rank: u32, state: State) -> Option<Member> {
    Some(Member { group: group.into(), epoch, rank, state })
}

/// The verdict of an owner whose first epoch is 6 on an instance that is to join `r7`.
fn verdict(member: Option<Member>, born: u64) -> Verdict {
    let premise = Precondition { incarnation: 1, replica: ("r7".into(), 7), first_epoch: 6 };
    let report =
        Report { incarnation: born, staged: Vec::new(), model: None, member, orders: Some(3) };
    premise.check(&report)
}

#[rstest]
#[case::that_is_free(None)]
#[case::that_is_a_spare(place("s5", 5, 0, State::Ready))]
#[case::that_has_joined_already(place("r7", 7, 1, State::Ready))]
#[case::whose_replica_is_broken(place("r5", 5, 0, State::Broken))]
#[case::that_joins_another_as_its_head(place("r5", 5, 0, State::Joining))]
fn an_order_to_join_is_given_to_an_instance(#[case] member: Option<Member>) {
    assert_eq!(verdict(member, 1), Verdict::Proceed);
}

#[test]
fn no_order_to_join_is_given_to_an_instance_that_does_not_count() {
    let premise = Precondition { incarnation: 1, replica: ("r7".into(), 7), first_epoch: 6 };
    let report =
        Report { incarnation: 1, staged: Vec::new(), model: None, member: None, orders: None };
    assert_eq!(premise.check(&report), Verdict::Mismatch);
}

#[rstest]
#[case::as_its_head(place("r6", 6, 0, State::Ready))]
#[case::as_a_member(place("r6", 6, 1, State::Joining))]
fn what_this_owner_formed_is_left_before_another_is_joined(#[case] member: Option<Member>) {
    let leave = Order::Leave { group: "r6".into(), epoch: 6 };
    assert_eq!(verdict(member, 1), Verdict::LeaveFirst(leave));
}

#[rstest]
#[case::that_serves(place("r5", 5, 0, State::Open), 1)]
#[case::that_serves_what_this_owner_formed(place("r6", 6, 0, State::Open), 1)]
#[case::that_ends_what_it_runs(place("r5", 5, 0, State::Closing), 1)]
#[case::that_may_be_opening(place("r5", 5, 0, State::Ready), 1)]
#[case::whose_head_may_serve(place("r5", 5, 1, State::Ready), 1)]
#[case::whose_head_may_have_been_opened(place("r5", 5, 1, State::Joining), 1)]
#[case::that_started_again(None, 2)]
#[case::that_is_a_member_of_what_this_owner_formed_later(place("r8", 8, 1, State::Ready), 1)]
#[case::that_leads_what_this_owner_formed_later(place("r8", 8, 0, State::Ready), 1)]
#[case::that_joins_what_this_owner_formed_later(place("r8", 8, 0, State::Joining), 1)]
#[case::that_joined_the_replica_of_a_later_owner(place("r9", 9_000_001, 0, State::Joining), 1)]
#[case::that_is_a_spare_of_later(place("s8", 8, 0, State::Ready), 1)]
fn no_order_to_join_is_given_to_an_instance(#[case] member: Option<Member>, #[case] born: u64) {
    assert_eq!(verdict(member, born), Verdict::Mismatch);
}
