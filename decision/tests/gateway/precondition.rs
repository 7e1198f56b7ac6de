//! Tests of the precondition under which an instance is ordered to join a replica.

use decision::gateway::fleet::{Member, Report, State};
use decision::gateway::formation::{Order, Precondition, Verdict};
use rstest::rstest;

/// Returns a membership in the replica `group`.
fn membership(group: &str, epoch: u64, rank: u32, state: State) -> Option<Member> {
    Some(Member { group: group.into(), epoch, rank, state })
}

/// Returns the verdict of an owner whose first epoch is 6 on an instance that is to join replica
/// `r7`.
fn verdict(member: Option<Member>, incarnation: u64) -> Verdict {
    let precondition = Precondition { incarnation: 1, replica: ("r7".into(), 7), first_epoch: 6 };
    let report = Report { incarnation, staged: Vec::new(), model: None, member, orders: Some(3) };
    precondition.check(&report)
}

#[rstest]
#[case::that_is_free(None)]
#[case::that_is_a_spare(membership("s5", 5, 0, State::Ready))]
#[case::that_has_joined_already(membership("r7", 7, 1, State::Ready))]
#[case::whose_replica_is_broken(membership("r5", 5, 0, State::Broken))]
#[case::that_joins_another_as_its_head(membership("r5", 5, 0, State::Joining))]
fn an_order_to_join_is_given_to_an_instance(#[case] member: Option<Member>) {
    assert_eq!(verdict(member, 1), Verdict::Proceed);
}

#[test]
fn no_order_to_join_is_given_to_an_instance_that_does_not_count_its_orders() {
    let precondition = Precondition { incarnation: 1, replica: ("r7".into(), 7), first_epoch: 6 };
    let report =
        Report { incarnation: 1, staged: Vec::new(), model: None, member: None, orders: None };
    assert_eq!(precondition.check(&report), Verdict::Mismatch);
}

#[rstest]
#[case::as_its_head(membership("r6", 6, 0, State::Ready))]
#[case::as_a_member(membership("r6", 6, 1, State::Joining))]
fn a_replica_of_this_owner_is_left_before_another_is_joined(#[case] member: Option<Member>) {
    let leave = Order::Leave { group: "r6".into(), epoch: 6 };
    assert_eq!(verdict(member, 1), Verdict::LeaveFirst(leave));
}

#[rstest]
#[case::that_serves(membership("r5", 5, 0, State::Open), 1)]
#[case::that_serves_a_replica_of_this_owner(membership("r6", 6, 0, State::Open), 1)]
#[case::that_finishes_its_requests(membership("r5", 5, 0, State::Closing), 1)]
#[case::that_may_be_opening(membership("r5", 5, 0, State::Ready), 1)]
#[case::whose_head_may_serve(membership("r5", 5, 1, State::Ready), 1)]
#[case::whose_head_may_have_been_opened(membership("r5", 5, 1, State::Joining), 1)]
#[case::that_was_restarted(None, 2)]
#[case::that_is_a_member_of_a_later_replica_of_this_owner(membership("r8", 8, 1, State::Ready), 1)]
#[case::that_leads_a_later_replica_of_this_owner(membership("r8", 8, 0, State::Ready), 1)]
#[case::that_joins_a_later_replica_of_this_owner(membership("r8", 8, 0, State::Joining), 1)]
#[case::that_joined_the_replica_of_a_later_owner(membership("r9", 9_000_001, 0, State::Joining), 1)]
#[case::that_became_a_spare_later(membership("s8", 8, 0, State::Ready), 1)]
fn no_order_to_join_is_given_to_an_instance(
    #[case] member: Option<Member>,
    #[case] incarnation: u64,
) {
    assert_eq!(verdict(member, incarnation), Verdict::Mismatch);
}
