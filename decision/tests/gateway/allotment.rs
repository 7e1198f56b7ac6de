//! Instances that follow what callers ask for and what they get.

use std::sync::Arc;

use decision::gateway::allotment::{Allotment, Settings};
use decision::gateway::demand::Demand;

use crate::formation::formed;
use crate::simulation::Simulation;
use crate::support::{at, engine};

/// Replicas' worth of work for each of the two models, and the part of its requests that is missed.
pub(crate) fn asked(
    large: f64,
    large_missed: f64,
    small: f64,
    small_missed: f64,
) -> Vec<(Arc<str>, Demand)> {
    let demand = |work: f64, missed: f64| Demand { requests: 100.0, work, missed: 100.0 * missed };
    vec![
        ("large".into(), demand(large, large_missed)),
        ("small".into(), demand(small, small_missed)),
    ]
}

/// Six fabric domains with one replica of each model and two spares.
fn world(seed: u64) -> Simulation {
    let mut world = Simulation::new(seed, 6, 11);
    world.run(20_000);
    world.start_counting_loads();
    world.demands = asked(3.0, 0.0, 3.0, 0.0);
    world.run(10_000);
    assert_eq!((world.serving("large"), world.serving("small")), (6, 6));
    world.load_times.clear();
    world
}

#[test]
fn a_higher_demand_is_believed_sooner_than_a_lower_one() {
    let mut allotment = Allotment::default();
    allotment.observe(at(0), asked(2.0, 0.0, 2.0, 0.0));
    let calm = allotment.wanted_replicas("small");
    for step in 1..=40 {
        allotment.observe(at(step * 100), asked(2.0, 0.0, 8.0, 0.0));
    }
    let high = allotment.wanted_replicas("small");
    assert!(high > 2.5 * calm, "{high} {calm}");
    for step in 41..=80 {
        allotment.observe(at(step * 100), asked(2.0, 0.0, 2.0, 0.0));
    }
    assert!(allotment.wanted_replicas("small") > 0.6 * high);
}

#[test]
fn shares_of_the_configuration_hold_until_demand_is_known_and_none_is_starved_later() {
    let (engine, mut allotment) = (engine(), Allotment::default());
    let shares = |allotment: &Allotment, now| {
        allotment.apply(at(now), &engine).models.iter().map(|it| it.share).collect::<Vec<_>>()
    };
    assert_eq!(shares(&allotment, 0), [0.67, 0.33]);
    allotment.observe(at(0), asked(0.0, 0.0, 4.0, 0.0));
    assert_eq!(shares(&allotment, 100), [0.67, 0.33]);
    let known = shares(&allotment, 5_000);
    assert!(known[0] > 0.1 && known[1] > known[0], "{known:?}");
}

#[test]
fn demand_that_makes_no_sense_is_not_believed() {
    let mut allotment = Allotment::new(Settings::default());
    for (step, wrong) in [f64::NAN, f64::INFINITY, -1.0, 1e300].into_iter().enumerate() {
        allotment.observe(at(step as u64), asked(wrong, wrong, wrong, wrong));
        let wanted = allotment.wanted_replicas("large");
        assert!(wanted.is_finite() && wanted >= 0.0, "{wanted}");
        assert!((0.0..=1.0).contains(&allotment.missed_ratio("large")));
    }
    // A clock that doesn't go on, and a model that nobody knows.
    allotment.observe(at(0), asked(1.0, 0.0, 1.0, 0.0));
    assert!(allotment.wanted_replicas("unknown").is_finite());
}

#[test]
fn instances_move_to_the_model_whose_callers_are_badly_off_and_no_stream_is_cut() {
    let mut world = world(21);
    world.demands = asked(1.0, 0.0, 8.0, 0.5);
    world.run(40_000);
    let (large, small) = (world.serving("large"), world.serving("small"));
    assert!((1..=4).contains(&large) && small >= 10, "{large} large ones, {small} small ones");
    world.demands = asked(1.0, 0.0, 8.0, 0.0);
    let before = world.epochs();
    world.run(20_000);
    assert_eq!(world.epochs(), before, "nothing moves once callers are well off");
}

#[test]
fn instances_move_to_a_larger_model_too() {
    let mut world = world(22);
    world.demands = asked(1.0, 0.0, 8.0, 0.5);
    world.run(40_000);
    let before = world.serving("large");
    world.demands = asked(5.5, 0.5, 1.0, 0.0);
    world.run(60_000);
    assert!(world.serving("large") > before, "{} large ones", world.serving("large"));
}

#[test]
fn a_healthy_fleet_is_left_alone() {
    for (large, small) in [(0.5, 5.0), (5.0, 0.5), (3.0, 3.0)] {
        let mut world = world(23);
        let before = world.epochs();
        world.demands = asked(large, 0.02, small, 0.05);
        world.run(40_000);
        assert_eq!(world.epochs(), before);
        assert!(world.load_times.is_empty(), "{} loads", world.load_times.len());
    }
}

#[test]
fn a_short_burst_begins_no_load() {
    let mut world = world(24);
    world.demands = asked(1.0, 0.0, 8.0, 0.5);
    world.run(1_500);
    world.demands = asked(3.0, 0.0, 3.0, 0.0);
    world.run(20_000);
    assert!(world.load_times.is_empty(), "{} loads", world.load_times.len());
}

#[test]
fn a_move_whose_owner_dies_midway_is_ended_by_the_next_one() {
    for millis in (2_000..22_000).step_by(1_300) {
        let mut world = world(25);
        world.demands = asked(1.0, 0.0, 8.0, 0.5);
        world.run(millis);
        world.replace_owner();
        world.run(45_000);
        let (large, small) = (world.serving("large"), world.serving("small"));
        assert!(large >= 1 && small >= 9, "after {millis}: {large} large, {small} small");
    }
}

#[test]
fn what_serves_stays_while_no_peer_tells_of_demand() {
    let mut world = formed(26);
    let before = world.epochs();
    world.demands = asked(1.0, 0.3, 1.0, 0.0);
    world.run(1_000);
    world.demands.clear();
    world.run(20_000);
    assert_eq!(world.epochs(), before);
}
