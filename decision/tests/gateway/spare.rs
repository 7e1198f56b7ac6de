//! Tests of spares, each of which is the only member of a replica that never serves.

use decision::gateway::fleet::{Instance, Member, Presence, State};
use decision::gateway::formation::{Formation, Order, Settings};

use crate::support::{at, engine, instance};

/// The spare's replica has as many members as a serving replica of the model.
#[test]
fn a_spare_of_a_model_of_one_instance_is_not_opened() {
    let mut engine = engine();
    engine.models[1].size = 1;
    let member =
        Member { group: "s1000001".into(), epoch: 1_000_001, rank: 0, state: State::Ready };
    let spare = Instance {
        member: Some(member),
        model: Some("small".into()),
        staged: vec!["small".into()],
        ..instance("i0-00", "f0")
    };
    let mut formation = Formation::new(2, Settings::default());
    let actions = formation.plan(at(10_000), &engine, [(&spare, Presence::Listed)]);
    let orders: Vec<Order> = actions.into_iter().map(|it| it.order).collect();
    assert!(!orders.iter().any(|it| matches!(it, Order::Open { .. })), "{orders:?}");
    assert!(orders.iter().any(|it| matches!(it, Order::Join { .. })), "{orders:?}");
}
