//! Owners that act at the same time, on lists that lag, by orders that come late.

use std::sync::Arc;

use rand::RngExt as _;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use rstest::rstest;

use crate::allotment::demands;
use crate::formation::{formed, head, last};
use crate::simulation::{Conditions, Simulation};

/// Days of one kind of site.
const DAYS: u64 = 100;

/// Events of a day.
const EVENTS: usize = 24;

/// A day at a site, and the replicas that serve once all is calm and everyone is back. The world
/// panics when an order breaks a rule.
fn day(seed: u64, fencing: bool, refusal: f64) -> (usize, usize) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut world = formed(seed);
    world.conditions = Conditions { fencing, refusal, ..Conditions::slow() };
    world.late_share = [0.0, 0.1, 0.3][random.random_range(0..3)];
    world.elect(1_000);
    let ids: Vec<Arc<str>> = world.nodes.keys().cloned().collect();
    for _ in 0..EVENTS {
        trouble(&mut world, &mut random, &ids);
        let most = if random.random_bool(0.5) { 12 } else { 80 };
        let steps = random.random_range(1..most);
        world.run(50 * steps);
    }
    world.conditions = Conditions { fencing, ..Conditions::default() };
    world.late_share = 0.0;
    ids.iter().for_each(|it| world.restart(it));
    world.run(60_000);
    (world.serving("large"), world.serving("small"))
}

#[rstest]
#[case::and_instances_check_tokens(true, 0.0)]
#[case::and_instances_check_nothing(false, 0.0)]
#[case::and_busy_instances_refuse_half(true, 0.5)]
#[case::and_busy_instances_refuse_all(true, 1.0)]
#[case::and_instances_refuse_and_check_nothing(false, 1.0)]
fn no_order_breaks_a_rule_while_owners_overlap(#[case] fencing: bool, #[case] refusal: f64) {
    for seed in 0..DAYS {
        let (large, small) = day(seed, fencing, refusal);
        // Demand moves instances between models. As many serve as two replicas of each take.
        let instances = 6 * large + 3 * small;
        let serve = large >= 1 && small >= 1 && instances >= 18;
        assert!(serve, "seed {seed}: {large} large ones, {small} small ones");
    }
}

fn trouble(world: &mut Simulation, random: &mut Pcg64Mcg, ids: &[Arc<str>]) {
    let id = &ids[random.random_range(0..ids.len())];
    match random.random_range(0..13) {
        0 => world.kill(id),
        1 => world.restart(id),
        2 => world.set_store_partition(id, true),
        3 => world.set_isolation(id, true),
        4 => world.drain(id),
        5 | 6 => world.elect(random.random_range(0..2_000)),
        7 => world.freeze_owner(5_000),
        8 => world.mislead(id),
        9 => ids.iter().for_each(|it| world.restart(it)),
        10 => world.demands = demands(2.0, 0.9, 1.0, 0.0),
        11 => world.demands = demands(1.0, 0.0, 4.0, 0.9),
        _ => ids.iter().for_each(|it| world.set_isolation(it, false)),
    }
}

/// All instances of the first fabric domain start anew.
fn start_anew(world: &mut Simulation) {
    let ids: Vec<Arc<str>> = world.nodes.keys().cloned().collect();
    ids.iter().filter(|it| it.starts_with("i0-")).for_each(|it| world.restart(it));
}

/// The first fabric domain starts anew, and runs until a replica there is ready to be opened.
fn ready_again(world: &mut Simulation) -> Arc<str> {
    start_anew(world);
    for _ in 0..200 {
        let ready = world.ready_heads();
        if let Some(head) = ready.first() {
            return head.clone();
        }
        world.run(50);
    }
    unreachable!("no replica was formed")
}

#[test]
fn a_head_that_refuses_to_leave_while_it_closes_is_not_taken() {
    let mut world = formed(1);
    let head = head(&world);
    world.conditions = Conditions { refusal: 1.0, closing: 6_000..=6_000, ..Conditions::default() };
    world.drain(&head);
    world.run(10_000);
}

#[test]
fn a_head_that_refuses_to_leave_while_it_opens_is_not_taken() {
    let mut world = formed(1);
    world.conditions.refusal = 1.0;
    let head = ready_again(&mut world);
    let member = world.nodes[&head].members[1].clone();
    world.run(150);
    world.restart(&member);
    world.run(10_000);
}

#[test]
fn a_head_that_an_older_owner_opens_is_not_taken() {
    let mut world = formed(1);
    let head = ready_again(&mut world);
    let member = world.nodes[&head].members[1].clone();
    world.conditions.travel = 300..=300;
    world.run(150);
    world.restart(&member);
    world.run(50);
    world.conditions.travel = 800..=800;
    world.elect(0);
    world.run(2_000);
}

/// What it counts does not change when it begins to serve.
#[test]
fn a_head_whose_opening_has_begun_is_not_taken() {
    let mut world = formed(1);
    let head = ready_again(&mut world);
    let member = world.nodes[&head].members[1].clone();
    world.conditions.travel = 100..=100;
    world.run(150);
    world.restart(&member);
    world.run(50);
    world.conditions.travel = 250..=250;
    world.elect(0);
    world.run(2_000);
}

/// A new owner that listed the instances before they took the joins of the owner before it, and
/// whose own joins are refused or come late. `travel` is how long its first calls take, and the
/// others.
fn overtaken(refusal: f64, lost_share: f64, travel: [u64; 2]) -> Simulation {
    let [first, others] = travel;
    let mut world = formed(1);
    start_anew(&mut world);
    world.run(150);
    world.conditions = Conditions { travel: 100..=100, refusal, ..Conditions::default() };
    // The owner asks for 100 ms before it orders.
    world.run(200);
    world.late_share = lost_share;
    world.conditions.travel = first..=first;
    world.elect(0);
    world.run(400);
    world.conditions.travel = others..=others;
    world.run(900);
    world.late_share = 0.0;
    world.run(5_000);
    world
}

#[rstest]
#[case::that_is_told_so([100, 100])]
#[case::that_is_told_nothing_at_first([310, 260])]
fn a_head_that_its_owner_opens_is_not_taken_by_it(#[case] travel: [u64; 2]) {
    overtaken(1.0, 0.0, travel);
}

#[rstest]
#[case::if_its_joins_are_late(0.0, 1.0, [100, 100])]
#[case::if_its_joins_are_refused(1.0, 0.0, [310, 250])]
fn an_owner_orders_an_instance_for_one_replica_at_a_time(
    #[case] refusal: f64,
    #[case] lost_share: f64,
    #[case] travel: [u64; 2],
) {
    let world = overtaken(refusal, lost_share, travel);
    assert_eq!(world.torn, []);
}

/// Its list shows the member as one that still joins the replica that the owner before it formed.
#[test]
fn a_member_whose_head_was_opened_is_not_taken_by_an_owner_that_slept() {
    let mut world = formed(1);
    start_anew(&mut world);
    world.run(150);
    world.conditions.travel = 100..=100;
    world.run(200);
    world.conditions.travel = 310..=310;
    world.elect(0);
    world.run(450);
    world.conditions.travel = 20..=20;
    world.freeze_owner(5_000);
    world.run(10_000);
}

/// The news of its join came before the list that the owner read, and was taken after it.
#[rstest]
#[case::by_a_new_owner(true)]
#[case::by_the_owner_that_formed_its_replica(false)]
fn a_head_that_older_news_show_as_free_is_not_taken(#[case] new: bool) {
    let mut world = formed(1);
    let (head, member) = (head(&world), last(&world));
    if new {
        world.elect(0);
    }
    world.mislead(&head);
    world.restart(&member);
    world.run(10_000);
}

/// It has taken as many orders since as the earlier start had.
#[test]
fn a_head_is_not_taken_by_an_order_to_its_earlier_start() {
    let mut world = formed(1);
    world.conditions =
        Conditions { fencing: false, late: 12_000..=12_000, ..Conditions::default() };
    let head = ready_again(&mut world);
    let member = world.nodes[&head].members[1].clone();
    world.restart(&member);
    world.run(50);
    world.elect(2_000);
    world.run(100);
    world.late_share = 1.0;
    world.run(50);
    world.late_share = 0.0;
    start_anew(&mut world);
    world.freeze_owner(60_000);
    world.run(20_000);
}
