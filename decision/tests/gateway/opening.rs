//! When an owner opens a replica.

use decision::gateway::fleet::{Instance, Member, Presence, State};
use decision::gateway::formation::{Formation, Order, Settings};

use crate::support::{at, engine, instance};

/// The instances of a small replica with this epoch, whose members are all ready.
fn ready(epoch: u64) -> Vec<Instance> {
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

/// The orders of one plan.
fn orders(formation: &mut Formation, now: u64, instances: &[Instance]) -> Vec<Order> {
    let known = instances.iter().map(|it| (it, Presence::Listed));
    formation.plan(at(now), &engine(), known).into_iter().map(|it| it.order).collect()
}

fn opens(orders: &[Order]) -> bool {
    orders.iter().any(|it| matches!(it, Order::Open { .. }))
}

#[test]
fn a_replica_is_opened_once_the_lease_was_read_after_it_was_ready() {
    let mut formation = Formation::new(1, Settings::default());
    let free: Vec<Instance> =
        ready(0).into_iter().map(|it| Instance { member: None, ..it }).collect();
    let joins = orders(&mut formation, 0, &free);
    let Some(Order::Join { epoch, members, .. }) = joins.first() else { panic!("{joins:?}") };
    let mut ready = ready(*epoch);
    for it in &mut ready {
        let rank = members.iter().position(|member| *member == it.id).unwrap_or_default();
        if let Some(member) = &mut it.member {
            member.rank = u32::try_from(rank).unwrap_or_default();
        }
    }
    formation.confirm_lease(at(900));
    assert!(!opens(&orders(&mut formation, 1_000, &ready)), "opened by a reading of before");
    assert!(formation.is_waiting_for_lease());
    formation.confirm_lease(at(1_001));
    assert!(opens(&orders(&mut formation, 1_010, &ready)));
    assert!(!formation.is_waiting_for_lease());
}

#[test]
fn a_replica_that_an_earlier_owner_did_not_open_is_left_and_not_opened() {
    let mut formation = Formation::new(2, Settings::default());
    let instances = ready(1_000_001);
    formation.confirm_lease(at(0));
    assert_eq!(orders(&mut formation, 0, &instances), []);
    formation.confirm_lease(at(900));
    let mut all = orders(&mut formation, 900, &instances);
    all.extend(orders(&mut formation, 950, &instances));
    assert!(!opens(&all), "{all:?}");
    let leave = Order::Leave { group: "r1000001".into(), epoch: 1_000_001 };
    assert!(all.contains(&leave), "{all:?}");
}
