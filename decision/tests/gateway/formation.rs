use std::sync::Arc;

use decision::gateway::fleet::{Instance, Member, Presence, State};
use decision::gateway::formation::{Formation, Settings};
use proptest::prelude::*;
use rstest::rstest;

use crate::simulation::Simulation;
use crate::support::{at, engine, instance};

/// Two fabric domains in which all replicas serve, and whose loads count from now on.
pub(crate) fn formed(seed: u64) -> Simulation {
    let mut world = Simulation::new(seed, 2, 11);
    world.run(20_000);
    world.start_counting_loads();
    world.run(20_000);
    assert_eq!((world.serving("large"), world.serving("small")), (2, 2));
    world
}

pub(crate) fn head(world: &Simulation) -> Arc<str> {
    world.members()[0].clone()
}

pub(crate) fn last(world: &Simulation) -> Arc<str> {
    let members = world.members();
    members[members.len() - 1].clone()
}

#[test]
fn all_models_are_formed_in_the_lead_time() {
    let mut world = Simulation::new(1, 6, 11);
    world.run(20_000);
    assert_eq!((world.serving("large"), world.serving("small")), (6, 6));
    let bare = world.nodes.values().filter(|it| it.instance.staged.is_empty());
    assert_eq!(bare.count(), 0, "spares have weights before the first request");
}

#[test]
fn a_lost_member_is_replaced_by_a_staged_spare() {
    let mut world = formed(2);
    let lost = last(&world);
    world.kill(&lost);
    // The entry lapses after 3.6 s, the orders and the list take less than a second.
    world.run(5_000);
    assert_eq!((world.serving("large"), world.serving("small")), (2, 2));
    assert_eq!(world.members().len(), 19, "no more was taken than was needed");
}

#[test]
fn a_lost_head_is_replaced() {
    let mut world = formed(3);
    let lost = head(&world);
    world.kill(&lost);
    world.run(9_000);
    assert_eq!((world.serving("large"), world.serving("small")), (2, 2));
}

#[test]
fn a_member_that_is_only_cut_off_from_the_list_stays() {
    let mut world = formed(4);
    let cut = last(&world);
    let before = world.epochs();
    world.set_store_partition(&cut, true);
    world.run(8_000);
    assert_eq!(world.epochs(), before);
    world.set_store_partition(&cut, false);
    world.run(2_000);
    assert_eq!(world.epochs(), before);
}

#[test]
fn a_head_that_is_cut_off_from_the_list_gives_its_place_to_another_member() {
    let mut world = formed(8);
    let cut = head(&world);
    world.set_store_partition(&cut, true);
    world.run(9_000);
    assert_eq!((world.serving("large"), world.serving("small")), (2, 2));
    assert!(!world.is_serving(&cut), "requests still go to the head that isn't listed");
}

/// Whenever the cut heals, the world panics if a member is taken while its head serves.
#[test]
fn replicas_behind_a_cut_are_left_alone_and_go_on_after_it() {
    for millis in (4_000..8_000).step_by(250) {
        let mut world = formed(9);
        let hidden: Vec<Arc<str>> =
            world.nodes.keys().filter(|it| it.starts_with("i0-")).cloned().collect();
        let before = world.members();
        hidden.iter().for_each(|it| world.set_isolation(it, true));
        world.run(millis);
        hidden.iter().for_each(|it| world.set_isolation(it, false));
        world.run(8_000);
        assert_eq!(world.members(), before);
        assert_eq!((world.serving("large"), world.serving("small")), (2, 2));
    }
}

#[test]
fn a_new_owner_takes_over_what_serves() {
    let mut world = formed(5);
    let before = world.members();
    world.replace_owner();
    world.run(5_000);
    assert_eq!(world.members(), before);
    assert_eq!((world.serving("large"), world.serving("small")), (2, 2));
}

/// An owner that was started anew has never seen the members whose entries are gone.
#[rstest]
#[case::that_saw_the_members(Simulation::replace_owner)]
#[case::that_never_saw_them(Simulation::replace_owner_without_list)]
fn a_new_owner_keeps_replicas_whose_members_are_cut_off_from_the_list(
    #[case] replace: fn(&mut Simulation),
) {
    let mut world = formed(10);
    let before = world.members();
    let epochs = world.epochs();
    // Two heads come first, the members of both models after them.
    let cut: Vec<Arc<str>> = before[4..].iter().step_by(3).cloned().collect();
    cut.iter().for_each(|it| world.set_store_partition(it, true));
    world.run(5_000);
    replace(&mut world);
    world.run(5_000);
    assert_eq!(world.epochs(), epochs, "while they are cut off");
    cut.iter().for_each(|it| world.set_store_partition(it, false));
    world.run(5_000);
    assert_eq!(world.epochs(), epochs, "when they are back");
    assert_eq!((world.serving("large"), world.serving("small")), (2, 2));
}

#[test]
fn a_restarted_fabric_domain_is_formed_again_from_its_staged_weights() {
    let mut world = formed(6);
    let all: Vec<Arc<str>> =
        world.nodes.keys().filter(|it| it.starts_with("i0-")).cloned().collect();
    all.iter().for_each(|it| world.restart(it));
    world.run(5_000);
    assert_eq!((world.serving("large"), world.serving("small")), (2, 2));
}

#[test]
fn a_spare_is_staged_again_after_one_was_used() {
    let mut world = formed(7);
    for round in 0..3 {
        let lost = last(&world);
        let fabric = world.nodes[&lost].instance.fabric_domain.clone().unwrap_or_default();
        world.kill(&lost);
        world.add(&format!("n{round}"), &fabric);
        world.run(25_000);
    }
    assert_eq!((world.serving("large"), world.serving("small")), (2, 2));
}

/// After losses and a restart, one fabric domain holds two small replicas and too few instances
/// for a large one, of which the other fabric domain has the only one.
#[test]
fn a_replica_gives_way_to_one_of_a_model_that_is_missed_more() {
    let mut world = formed(0);
    let ids: Vec<Arc<str>> = world.nodes.keys().cloned().collect();
    world.kill(&ids[10]);
    world.run(100);
    world.set_isolation(&ids[6], true);
    world.run(100);
    world.kill(&ids[6]);
    world.run(2_000);
    world.kill(&ids[1]);
    world.run(3_600);
    world.set_isolation(&ids[1], false);
    world.run(800);
    world.kill(&ids[0]);
    world.run(800);
    world.restart(&ids[8]);
    world.run(200);
    ids.iter().for_each(|it| world.restart(it));
    world.run(2_500);
    assert_eq!((world.serving("large"), world.serving("small")), (1, 3));
    world.run(40_000);
    assert_eq!((world.serving("large"), world.serving("small")), (2, 2));
}

/// One fabric domain has weights for a large replica and too few for another, the other one for
/// two small ones. Each has five instances left.
#[test]
fn instances_do_not_stay_spare_while_a_model_is_missed() {
    let mut world = Simulation::new(1, 2, 11);
    world.start_counting_loads();
    for (place, host) in world.nodes.values_mut().enumerate() {
        let large = [0..9, 11..14].iter().any(|it| it.contains(&place));
        host.instance.staged = vec![if large { "large" } else { "small" }.into()];
    }
    world.run(10_000);
    assert_eq!((world.serving("large"), world.serving("small")), (1, 2));
    world.run(100_000);
    assert_eq!((world.serving("large"), world.serving("small")), (2, 2));
}

/// Also across owners, of whom each knows only its own loads.
#[rstest]
#[case::of_one_owner(0)]
#[case::of_owners_that_follow_each_other(3)]
fn loads_stay_within_the_rate_of_the_weight_store(#[case] owners: usize) {
    let mut world = Simulation::new(10, 8, 11);
    world.run(20_000);
    world.start_counting_loads();
    world.load_times.clear();
    let all: Vec<Arc<str>> = world.nodes.keys().cloned().collect();
    all.iter().for_each(|it| world.restart(it));
    world.clear_staged_weights();
    for _ in 0..owners {
        world.run(1_000);
        world.replace_owner();
    }
    world.run(60_000);
    assert!(world.load_times.len() >= 80, "{} loads", world.load_times.len());
    for begin in &world.load_times {
        let within = world.load_times.iter().filter(|it| (*begin..begin + 5_000).contains(*it));
        let count = within.count();
        assert!(count <= 28, "{count} loads in the 5 s from {begin} ms, 5.5 a second are allowed");
    }
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Kill(usize),
    Cut(usize),
    Hide(usize),
    Heal(usize),
    Restart(usize),
    Add(usize),
    Owner,
    Wait,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0..22_usize).prop_map(Event::Kill),
        (0..22_usize).prop_map(Event::Cut),
        (0..22_usize).prop_map(Event::Hide),
        (0..22_usize).prop_map(Event::Heal),
        (0..22_usize).prop_map(Event::Restart),
        (0..2_usize).prop_map(Event::Add),
        Just(Event::Owner),
        Just(Event::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    /// The world panics when an order breaks a rule, however late it is carried out.
    #[test]
    fn no_order_breaks_a_rule(
        seed in 0..1_000_u64,
        lost in 0.0..0.5_f64,
        events in prop::collection::vec((event(), 1..40_u64), 1..24),
    ) {
        let mut world = formed(seed);
        world.late_share = lost;
        let ids: Vec<Arc<str>> = world.nodes.keys().cloned().collect();
        for (place, (event, steps)) in events.into_iter().enumerate() {
            match event {
                Event::Kill(it) => world.kill(&ids[it]),
                Event::Cut(it) => world.set_store_partition(&ids[it], true),
                Event::Hide(it) => world.set_isolation(&ids[it], true),
                Event::Heal(it) => world.set_isolation(&ids[it], false),
                Event::Restart(it) => world.restart(&ids[it]),
                Event::Add(it) => world.add(&format!("n{place}"), &format!("f{it}")),
                Event::Owner => world.replace_owner(),
                Event::Wait => {}
            }
            world.run(steps * 100);
        }
        // Once all is calm and everyone is back, all replicas serve again.
        world.late_share = 0.0;
        ids.iter().for_each(|it| world.restart(it));
        world.run(60_000);
        prop_assert!(world.serving("large") >= 2, "large: {}", world.serving("large"));
        prop_assert!(world.serving("small") >= 2, "small: {}", world.serving("small"));
    }
}

#[test]
fn loads_that_only_count_once_callers_come_are_marked() {
    let instances: Vec<_> = (0..6).map(|it| instance(&format!("i{it}"), "f0")).collect();
    let plan = |staged: bool| {
        let mut formation = Formation::new(1, Settings::default());
        formation.set_loads_exempt(true);
        let instances: Vec<_> = instances
            .iter()
            .map(|it| Instance {
                staged: if staged { vec!["large".into()] } else { Vec::new() },
                ..it.clone()
            })
            .collect();
        let known = || instances.iter().map(|it| (it, Presence::Listed));
        formation.plan(at(0), &engine(), known());
        let actions = formation.plan(at(1_000), &engine(), known());
        assert_eq!(actions.len(), 6);
        actions.into_iter().filter(|it| it.is_exempt_load).count()
    };
    assert_eq!(plan(false), 6);
    assert_eq!(plan(true), 0);
}

#[test]
fn members_of_a_replica_that_ends_are_not_asked_whether_they_live() {
    let member = |rank: u32| Instance {
        model: Some("small".into()),
        staged: vec!["small".into()],
        member: Some(Member {
            group: "r1".into(),
            epoch: 1,
            rank,
            state: if rank == 0 { State::Open } else { State::Ready },
        }),
        ..instance(&format!("i{rank}"), "f0")
    };
    let instances = [member(0), member(1), member(2)];
    let known = || instances.iter().map(|it| (it, Presence::Listed));
    let mut formation = Formation::new(1, Settings::default());
    formation.plan(at(0), &engine(), known());
    assert!(formation.is_complete("i0"));
    formation.mark_unreachable(at(100), &instances[2].id, 1);
    formation.plan(at(100), &engine(), known());
    assert!(!formation.is_complete("i0"));
}
