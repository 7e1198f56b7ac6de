//! Tests of when an owner opens a replica.

use decision::gateway::fleet::{Instance, Member, Presence, State};
use decision::gateway::formation::{Formation, Order, Settings};

use crate::support::{at, engine, instance};

/// Returns the members, all ready, of a replica of the small model with this epoch.
fn ready_members(epoch: u64) -> Vec<Instance> {
    let member = |rank: u32| Instance {
        model: Some("small".into()),
        staged: vec!["small".into()],
        member: Some(Member {
            group: format!("r{epoch}").into(),
            epoch,
            rank,
            state: State::Ready,
        }),
        ..instance(&format!("i{rank}"), "f0")
    };
    (0..3).map(member).collect()
}

/// Plans once and returns the orders.
fn plan(formation: &mut Formation, now: u64, instances: &[Instance]) -> Vec<Order> {
    let known = instances.iter().map(|it| (it, Presence::Listed));
    formation.plan(at(now), &engine(), known).into_iter().map(|it| it.order).collect()
}

/// Returns whether any of `orders` opens a replica.
fn opens(orders: &[Order]) -> bool {
    orders.iter().any(|it| matches!(it, Order::Open { .. }))
}

#[test]
fn a_replica_is_opened_once_the_lease_was_read_after_it_was_ready() {
    let mut formation = Formation::new(1, Settings::default());
    let free: Vec<Instance> =
        ready_members(0).into_iter().map(|it| Instance { member: None, ..it }).collect();
    let joins = plan(&mut formation, 0, &free);
    let Some(Order::Join { epoch, members, .. }) = joins.first() else { panic!("{joins:?}") };
    let mut instances = ready_members(*epoch);
    for instance in &mut instances {
        let rank = members.iter().position(|member| *member == instance.id).unwrap_or_default();
        if let Some(member) = &mut instance.member {
            member.rank = u32::try_from(rank).unwrap_or_default();
        }
    }
    formation.confirm_lease(at(900));
    assert!(
        !opens(&plan(&mut formation, 1_000, &instances)),
        "opened after a lease read that precedes readiness"
    );
    assert!(formation.is_waiting_for_lease());
    formation.confirm_lease(at(1_001));
    assert!(opens(&plan(&mut formation, 1_010, &instances)));
    assert!(!formation.is_waiting_for_lease());
}

#[test]
fn a_replica_that_an_earlier_owner_did_not_open_is_left_and_not_opened() {
    let mut formation = Formation::new(2, Settings::default());
    let instances = ready_members(1_000_001);
    formation.confirm_lease(at(0));
    assert_eq!(plan(&mut formation, 0, &instances), []);
    formation.confirm_lease(at(900));
    let mut orders = plan(&mut formation, 900, &instances);
    orders.extend(plan(&mut formation, 950, &instances));
    assert!(!opens(&orders), "{orders:?}");
    let leave = Order::Leave { group: "r1000001".into(), epoch: 1_000_001 };
    assert!(orders.contains(&leave), "{orders:?}");
}
