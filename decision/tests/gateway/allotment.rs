//! Instances move between models by demand and by missed requests.

use std::sync::Arc;

use decision::gateway::allotment::{Allotment, Settings};
use decision::gateway::demand::Demand;

use crate::formation::formed;
use crate::simulation::Simulation;
use crate::support::{at, engine};

/// Demand for the two models: the replicas that the work keeps busy, and the fraction of requests
/// that are missed.
pub(crate) fn demands(
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

/// Returns a simulation of six fabric domains, each with one replica of each model and two spares.
fn simulation(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seed, 6, 11);
    simulation.run(20_000);
    simulation.start_counting_loads();
    simulation.demands = demands(3.0, 0.0, 3.0, 0.0);
    simulation.run(10_000);
    assert_eq!((simulation.serving("large"), simulation.serving("small")), (6, 6));
    simulation.load_times.clear();
    simulation
}

#[test]
fn the_average_rises_faster_than_it_falls() {
    let mut allotment = Allotment::default();
    allotment.observe(at(0), demands(2.0, 0.0, 2.0, 0.0));
    let initial = allotment.wanted_replicas("small");
    for step in 1..=40 {
        allotment.observe(at(step * 100), demands(2.0, 0.0, 8.0, 0.0));
    }
    let peak = allotment.wanted_replicas("small");
    assert!(peak > 2.5 * initial, "{peak} {initial}");
    for step in 41..=80 {
        allotment.observe(at(step * 100), demands(2.0, 0.0, 2.0, 0.0));
    }
    assert!(allotment.wanted_replicas("small") > 0.6 * peak);
}

#[test]
fn shares_of_the_configuration_hold_until_demand_is_known_and_none_is_starved_later() {
    let (engine, mut allotment) = (engine(), Allotment::default());
    let shares = |allotment: &Allotment, now| {
        allotment.apply(at(now), &engine).models.iter().map(|it| it.share).collect::<Vec<_>>()
    };
    assert_eq!(shares(&allotment, 0), [0.67, 0.33]);
    allotment.observe(at(0), demands(0.0, 0.0, 4.0, 0.0));
    assert_eq!(shares(&allotment, 100), [0.67, 0.33]);
    let followed = shares(&allotment, 5_000);
    assert!(followed[0] > 0.1 && followed[1] > followed[0], "{followed:?}");
}

#[test]
fn implausible_demand_is_bounded() {
    let mut allotment = Allotment::new(Settings::default());
    for (step, invalid) in [f64::NAN, f64::INFINITY, -1.0, 1e300].into_iter().enumerate() {
        allotment.observe(at(step as u64), demands(invalid, invalid, invalid, invalid));
        let replicas = allotment.wanted_replicas("large");
        assert!(replicas.is_finite() && replicas >= 0.0, "{replicas}");
        assert!((0.0..=1.0).contains(&allotment.missed_ratio("large")));
    }
    // The clock doesn't advance, and the model is unknown.
    allotment.observe(at(0), demands(1.0, 0.0, 1.0, 0.0));
    assert!(allotment.wanted_replicas("unknown").is_finite());
}

#[test]
fn instances_move_to_the_model_with_missed_requests_and_no_stream_is_cut() {
    let mut simulation = simulation(21);
    simulation.demands = demands(1.0, 0.0, 8.0, 0.5);
    simulation.run(40_000);
    let (large, small) = (simulation.serving("large"), simulation.serving("small"));
    assert!(
        (1..=4).contains(&large) && small >= 10,
        "large replicas: {large}, small replicas: {small}"
    );
    simulation.demands = demands(1.0, 0.0, 8.0, 0.0);
    let before = simulation.epochs();
    simulation.run(20_000);
    assert_eq!(simulation.epochs(), before, "no instance moves once no requests are missed");
}

#[test]
fn instances_move_to_a_larger_model_too() {
    let mut simulation = simulation(22);
    simulation.demands = demands(1.0, 0.0, 8.0, 0.5);
    simulation.run(40_000);
    let before = simulation.serving("large");
    simulation.demands = demands(5.5, 0.5, 1.0, 0.0);
    simulation.run(60_000);
    assert!(
        simulation.serving("large") > before,
        "large replicas: {}",
        simulation.serving("large")
    );
}

#[test]
fn a_healthy_fleet_is_left_alone() {
    for (large, small) in [(0.5, 5.0), (5.0, 0.5), (3.0, 3.0)] {
        let mut simulation = simulation(23);
        let before = simulation.epochs();
        simulation.demands = demands(large, 0.02, small, 0.05);
        simulation.run(40_000);
        assert_eq!(simulation.epochs(), before);
        assert!(simulation.load_times.is_empty(), "{} loads", simulation.load_times.len());
    }
}

#[test]
fn a_short_burst_begins_no_load() {
    let mut simulation = simulation(24);
    simulation.demands = demands(1.0, 0.0, 8.0, 0.5);
    simulation.run(1_500);
    simulation.demands = demands(3.0, 0.0, 3.0, 0.0);
    simulation.run(20_000);
    assert!(simulation.load_times.is_empty(), "{} loads", simulation.load_times.len());
}

#[test]
fn a_move_whose_owner_dies_is_finished_by_the_next_owner() {
    for elapsed in (2_000..22_000).step_by(1_300) {
        let mut simulation = simulation(25);
        simulation.demands = demands(1.0, 0.0, 8.0, 0.5);
        simulation.run(elapsed);
        simulation.replace_owner();
        simulation.run(45_000);
        let (large, small) = (simulation.serving("large"), simulation.serving("small"));
        assert!(
            large >= 1 && small >= 9,
            "owner replaced after {elapsed} ms: {large} large and {small} small replicas"
        );
    }
}

#[test]
fn replicas_stay_while_no_demand_is_reported() {
    let mut simulation = formed(26);
    let before = simulation.epochs();
    simulation.demands = demands(1.0, 0.3, 1.0, 0.0);
    simulation.run(1_000);
    simulation.demands.clear();
    simulation.run(20_000);
    assert_eq!(simulation.epochs(), before);
}
