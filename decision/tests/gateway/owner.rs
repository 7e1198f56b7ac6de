//! Tests of how an owner treats replicas that other owners formed.

use decision::gateway::fleet::{Instance, Member, Phase, Presence, State};
use decision::gateway::formation::{Formation, Order, Settings};
use rstest::rstest;

use crate::support::{at, engine, instance};

/// Returns an instance that is a member of the replica with this epoch.
fn member(epoch: u64) -> Instance {
    let member = Member { group: format!("r{epoch}").into(), epoch, rank: 1, state: State::Ready };
    Instance { member: Some(member), ..instance("i", "f") }
}

#[rstest]
#[case::of_an_earlier_owner(1_000_005, false)]
#[case::of_its_own(2_999_999, false)]
#[case::of_a_later_owner(3_000_000, true)]
#[case::whose_epoch_no_owner_can_have(u64::MAX, false)]
fn an_owner_is_superseded_when_the_list_shows_a_replica(
    #[case] epoch: u64,
    #[case] is_superseded: bool,
) {
    let formation = Formation::new(2, Settings::default());
    assert_eq!(formation.is_superseded(&member(epoch)), is_superseded);
}

/// For a model of one instance, a spare looks like a complete replica.
#[test]
fn a_spare_of_an_earlier_owner_is_not_opened() {
    let mut engine = engine();
    engine.models[1].size = 1;
    let membership =
        Member { group: "s1000001".into(), epoch: 1_000_001, rank: 0, state: State::Ready };
    let spare = Instance {
        model: Some("small".into()),
        staged: vec!["small".into()],
        member: Some(membership),
        phase: Phase::Ready,
        ..instance("i", "f")
    };
    let mut formation = Formation::new(2, Settings::default());
    let actions = formation.plan(at(1_000), &engine, [(&spare, Presence::Listed)]);
    let opens = |it: &Order| matches!(it, Order::Open { .. });
    assert!(!actions.iter().any(|it| opens(&it.order)), "{actions:?}");
}
