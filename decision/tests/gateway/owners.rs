//! Tests with several owners at once, whose views of the list lag and whose orders arrive late.
//!
//! The simulation panics when an order breaks a rule, so that a test that only runs it checks the
//! rules too.

use std::sync::Arc;

use rand::RngExt as _;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use rstest::rstest;

use crate::allotment::demands;
use crate::formation::{formed, head, last};
use crate::simulation::{Conditions, Simulation};

/// Seeds that each case of the random search runs.
const SEEDS: u64 = 100;

/// Faults that one run injects.
const FAULTS_PER_RUN: usize = 24;

/// Injects random faults, ends them, restarts all instances and returns how many large and how many
/// small replicas serve a minute later.
fn run_with_faults(seed: u64, has_fencing: bool, refusal_share: f64) -> (usize, usize) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut simulation = formed(seed);
    simulation.conditions = Conditions { has_fencing, refusal_share, ..Conditions::slow() };
    simulation.late_share = [0.0, 0.1, 0.3][random.random_range(0..3)];
    simulation.elect(1_000);
    let ids: Vec<Arc<str>> = simulation.nodes.keys().cloned().collect();
    for _ in 0..FAULTS_PER_RUN {
        inject_fault(&mut simulation, &mut random, &ids);
        let max_steps = if random.random_bool(0.5) { 12 } else { 80 };
        let steps = random.random_range(1..max_steps);
        simulation.run(50 * steps);
    }
    simulation.conditions = Conditions { has_fencing, ..Conditions::default() };
    simulation.late_share = 0.0;
    ids.iter().for_each(|it| simulation.restart(it));
    simulation.run(60_000);
    (simulation.serving("large"), simulation.serving("small"))
}

#[rstest]
#[case::and_instances_check_tokens(true, 0.0)]
#[case::and_instances_check_nothing(false, 0.0)]
#[case::and_busy_instances_refuse_half(true, 0.5)]
#[case::and_busy_instances_refuse_all(true, 1.0)]
#[case::and_instances_refuse_and_check_nothing(false, 1.0)]
fn no_order_breaks_a_rule_while_owners_overlap(
    #[case] has_fencing: bool,
    #[case] refusal_share: f64,
) {
    for seed in 0..SEEDS {
        let (large, small) = run_with_faults(seed, has_fencing, refusal_share);
        // Demand may have moved instances from one model to the other, but at least as many must
        // serve as two replicas of each model have.
        let instances = 6 * large + 3 * small;
        let is_served = large >= 1 && small >= 1 && instances >= 18;
        assert!(is_served, "seed {seed}: {large} large and {small} small replicas serve");
    }
}

/// Injects a random fault, or ends the isolation of all instances. The fault affects a random
/// instance, all instances, the owner or the demand.
fn inject_fault(simulation: &mut Simulation, random: &mut Pcg64Mcg, ids: &[Arc<str>]) {
    let id = &ids[random.random_range(0..ids.len())];
    match random.random_range(0..13) {
        0 => simulation.kill(id),
        1 => simulation.restart(id),
        2 => simulation.set_store_partition(id, true),
        3 => simulation.set_isolation(id, true),
        4 => simulation.drain(id),
        5 | 6 => simulation.elect(random.random_range(0..2_000)),
        7 => simulation.pause_owner(5_000),
        8 => simulation.make_record_stale(id),
        9 => ids.iter().for_each(|it| simulation.restart(it)),
        10 => simulation.demands = demands(2.0, 0.9, 1.0, 0.0),
        11 => simulation.demands = demands(1.0, 0.0, 4.0, 0.9),
        _ => ids.iter().for_each(|it| simulation.set_isolation(it, false)),
    }
}

/// Restarts all instances of the first fabric domain.
fn restart_first_domain(simulation: &mut Simulation) {
    let ids: Vec<Arc<str>> = simulation.nodes.keys().cloned().collect();
    ids.iter().filter(|it| it.starts_with("i0-")).for_each(|it| simulation.restart(it));
}

/// Restarts the first fabric domain and runs until a replica there is ready to be opened. Returns
/// its head.
fn restart_until_ready(simulation: &mut Simulation) -> Arc<str> {
    restart_first_domain(simulation);
    for _ in 0..200 {
        let ready = simulation.ready_heads();
        if let Some(head) = ready.first() {
            return head.clone();
        }
        simulation.run(50);
    }
    unreachable!("no replica is ready 10 s after the restart")
}

#[test]
fn a_head_that_refuses_to_leave_while_it_closes_is_not_reassigned() {
    let mut simulation = formed(1);
    let head = head(&simulation);
    simulation.conditions =
        Conditions { refusal_share: 1.0, close_time: 6_000..=6_000, ..Conditions::default() };
    simulation.drain(&head);
    simulation.run(10_000);
}

#[test]
fn a_head_that_refuses_to_leave_while_it_opens_is_not_reassigned() {
    let mut simulation = formed(1);
    simulation.conditions.refusal_share = 1.0;
    let head = restart_until_ready(&mut simulation);
    let member = simulation.nodes[&head].members[1].clone();
    simulation.run(150);
    simulation.restart(&member);
    simulation.run(10_000);
}

#[test]
fn a_head_that_an_earlier_owner_opens_is_not_reassigned() {
    let mut simulation = formed(1);
    let head = restart_until_ready(&mut simulation);
    let member = simulation.nodes[&head].members[1].clone();
    simulation.conditions.latency = 300..=300;
    simulation.run(150);
    simulation.restart(&member);
    simulation.run(50);
    simulation.conditions.latency = 800..=800;
    simulation.elect(0);
    simulation.run(2_000);
}

/// The change from ready to serving is no order, so the head's order count doesn't show it.
#[test]
fn a_head_whose_opening_has_begun_is_not_reassigned() {
    let mut simulation = formed(1);
    let head = restart_until_ready(&mut simulation);
    let member = simulation.nodes[&head].members[1].clone();
    simulation.conditions.latency = 100..=100;
    simulation.run(150);
    simulation.restart(&member);
    simulation.run(50);
    simulation.conditions.latency = 250..=250;
    simulation.elect(0);
    simulation.run(2_000);
}

/// Elects an owner whose view of the list is older than the joins of its predecessor, and whose own
/// joins are refused or arrive late. `latencies` are the milliseconds that a call takes in its first
/// 400 ms, and later.
fn elect_during_joins(refusal_share: f64, late_share: f64, latencies: [u64; 2]) -> Simulation {
    let [first, later] = latencies;
    let mut simulation = formed(1);
    restart_first_domain(&mut simulation);
    simulation.run(150);
    simulation.conditions =
        Conditions { latency: 100..=100, refusal_share, ..Conditions::default() };
    // Before it sends an order, the owner waits 100 ms for the report that it requested.
    simulation.run(200);
    simulation.late_share = late_share;
    simulation.conditions.latency = first..=first;
    simulation.elect(0);
    simulation.run(400);
    simulation.conditions.latency = later..=later;
    simulation.run(900);
    simulation.late_share = 0.0;
    simulation.run(5_000);
    simulation
}

#[rstest]
#[case::when_reports_arrive_in_time([100, 100])]
#[case::when_the_first_reports_time_out([310, 260])]
fn a_head_that_its_owner_opens_is_not_reassigned_by_it(#[case] latencies: [u64; 2]) {
    elect_during_joins(1.0, 0.0, latencies);
}

#[rstest]
#[case::if_its_joins_are_late(0.0, 1.0, [100, 100])]
#[case::if_its_joins_are_refused(1.0, 0.0, [310, 250])]
fn an_owner_orders_an_instance_for_one_replica_at_a_time(
    #[case] refusal_share: f64,
    #[case] late_share: f64,
    #[case] latencies: [u64; 2],
) {
    let simulation = elect_during_joins(refusal_share, late_share, latencies);
    assert_eq!(simulation.conflicting_orders, []);
}

/// The paused owner's list still shows the member as joining the replica of the previous owner.
#[test]
fn a_member_whose_head_was_opened_is_not_reassigned_by_an_owner_that_was_paused() {
    let mut simulation = formed(1);
    restart_first_domain(&mut simulation);
    simulation.run(150);
    simulation.conditions.latency = 100..=100;
    simulation.run(200);
    simulation.conditions.latency = 310..=310;
    simulation.elect(0);
    simulation.run(450);
    simulation.conditions.latency = 20..=20;
    simulation.pause_owner(5_000);
    simulation.run(10_000);
}

/// The record of the join reached the owner before a whole list that is older than the join, and
/// that list replaced it.
#[rstest]
#[case::by_a_new_owner(true)]
#[case::by_the_owner_that_formed_its_replica(false)]
fn a_head_that_an_older_record_shows_as_free_is_not_reassigned(#[case] is_new: bool) {
    let mut simulation = formed(1);
    let (head, member) = (head(&simulation), last(&simulation));
    if is_new {
        simulation.elect(0);
    }
    simulation.make_record_stale(&head);
    simulation.restart(&member);
    simulation.run(10_000);
}

/// Since its restart the head has accepted as many orders as before it, so that the order count
/// alone doesn't tell the two starts apart.
#[test]
fn a_head_is_not_reassigned_by_an_order_to_its_earlier_start() {
    let mut simulation = formed(1);
    simulation.conditions =
        Conditions { has_fencing: false, late_latency: 12_000..=12_000, ..Conditions::default() };
    let head = restart_until_ready(&mut simulation);
    let member = simulation.nodes[&head].members[1].clone();
    simulation.restart(&member);
    simulation.run(50);
    simulation.elect(2_000);
    simulation.run(100);
    simulation.late_share = 1.0;
    simulation.run(50);
    simulation.late_share = 0.0;
    restart_first_domain(&mut simulation);
    simulation.pause_owner(60_000);
    simulation.run(20_000);
}
