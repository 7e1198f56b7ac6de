use std::sync::Arc;

use decision::gateway::fleet::{Instance, Member, Presence, State};
use decision::gateway::formation::{Formation, Settings};
use proptest::prelude::*;
use rstest::rstest;

use crate::simulation::Simulation;
use crate::support::{at, engine, instance};

/// Creates two fabric domains in which all replicas serve. Weight loads count against the load rate
/// from then on.
pub(crate) fn formed(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seed, 2, 11);
    simulation.run(20_000);
    simulation.start_counting_loads();
    simulation.run(20_000);
    assert_eq!((simulation.serving("large"), simulation.serving("small")), (2, 2));
    simulation
}

/// Returns the head with the lowest identifier.
pub(crate) fn head(simulation: &Simulation) -> Arc<str> {
    simulation.members()[0].clone()
}

/// Returns the member with the highest rank; of several, the one with the highest identifier.
pub(crate) fn last(simulation: &Simulation) -> Arc<str> {
    let members = simulation.members();
    members[members.len() - 1].clone()
}

#[test]
fn replicas_of_all_models_form_within_the_lead_time() {
    let mut simulation = Simulation::new(1, 6, 11);
    simulation.run(20_000);
    assert_eq!((simulation.serving("large"), simulation.serving("small")), (6, 6));
    let unstaged = simulation.nodes.values().filter(|it| it.instance.staged.is_empty());
    assert_eq!(unstaged.count(), 0, "spares have weights before the first request");
}

#[test]
fn a_lost_member_is_replaced_by_a_staged_spare() {
    let mut simulation = formed(2);
    let lost = last(&simulation);
    simulation.kill(&lost);
    // The list entry expires after 3.6 s. The orders and the list take less than a second.
    simulation.run(5_000);
    assert_eq!((simulation.serving("large"), simulation.serving("small")), (2, 2));
    assert_eq!(simulation.members().len(), 19, "the spare is the only instance added");
}

#[test]
fn a_lost_head_is_replaced() {
    let mut simulation = formed(3);
    let lost = head(&simulation);
    simulation.kill(&lost);
    simulation.run(9_000);
    assert_eq!((simulation.serving("large"), simulation.serving("small")), (2, 2));
}

#[test]
fn a_member_that_is_only_cut_off_from_the_store_stays() {
    let mut simulation = formed(4);
    let unlisted = last(&simulation);
    let before = simulation.epochs();
    simulation.set_store_partition(&unlisted, true);
    simulation.run(8_000);
    assert_eq!(simulation.epochs(), before);
    simulation.set_store_partition(&unlisted, false);
    simulation.run(2_000);
    assert_eq!(simulation.epochs(), before);
}

#[test]
fn a_head_that_is_cut_off_from_the_store_is_replaced() {
    let mut simulation = formed(8);
    let unlisted = head(&simulation);
    simulation.set_store_partition(&unlisted, true);
    simulation.run(9_000);
    assert_eq!((simulation.serving("large"), simulation.serving("small")), (2, 2));
    assert!(!simulation.is_serving(&unlisted), "requests still go to the unlisted head");
}

/// The simulation panics if a member joins another replica while its head serves, whenever the
/// partition ends.
#[test]
fn replicas_behind_a_partition_are_kept_and_resume_after_it() {
    for millis in (4_000..8_000).step_by(250) {
        let mut simulation = formed(9);
        let isolated: Vec<Arc<str>> =
            simulation.nodes.keys().filter(|it| it.starts_with("i0-")).cloned().collect();
        let before = simulation.members();
        isolated.iter().for_each(|it| simulation.set_isolation(it, true));
        simulation.run(millis);
        isolated.iter().for_each(|it| simulation.set_isolation(it, false));
        simulation.run(8_000);
        assert_eq!(simulation.members(), before);
        assert_eq!((simulation.serving("large"), simulation.serving("small")), (2, 2));
    }
}

#[test]
fn a_new_owner_takes_over_what_serves() {
    let mut simulation = formed(5);
    let before = simulation.members();
    simulation.replace_owner();
    simulation.run(5_000);
    assert_eq!(simulation.members(), before);
    assert_eq!((simulation.serving("large"), simulation.serving("small")), (2, 2));
}

/// An owner in a new process has never seen the members that are no longer listed.
#[rstest]
#[case::that_saw_the_members(Simulation::replace_owner)]
#[case::that_never_saw_them(Simulation::replace_owner_without_list)]
fn a_new_owner_keeps_replicas_whose_members_are_cut_off_from_the_store(
    #[case] replace: fn(&mut Simulation),
) {
    let mut simulation = formed(10);
    let before = simulation.members();
    let epochs = simulation.epochs();
    // The four heads come first, then other members of both models.
    let unlisted: Vec<Arc<str>> = before[4..].iter().step_by(3).cloned().collect();
    unlisted.iter().for_each(|it| simulation.set_store_partition(it, true));
    simulation.run(5_000);
    replace(&mut simulation);
    simulation.run(5_000);
    assert_eq!(simulation.epochs(), epochs, "during the partition");
    unlisted.iter().for_each(|it| simulation.set_store_partition(it, false));
    simulation.run(5_000);
    assert_eq!(simulation.epochs(), epochs, "after the partition");
    assert_eq!((simulation.serving("large"), simulation.serving("small")), (2, 2));
}

#[test]
fn a_restarted_fabric_domain_is_formed_again_from_its_staged_weights() {
    let mut simulation = formed(6);
    let all: Vec<Arc<str>> =
        simulation.nodes.keys().filter(|it| it.starts_with("i0-")).cloned().collect();
    all.iter().for_each(|it| simulation.restart(it));
    simulation.run(5_000);
    assert_eq!((simulation.serving("large"), simulation.serving("small")), (2, 2));
}

#[test]
fn a_spare_is_staged_again_after_one_was_used() {
    let mut simulation = formed(7);
    for round in 0..3 {
        let lost = last(&simulation);
        let fabric_domain =
            simulation.nodes[&lost].instance.fabric_domain.clone().unwrap_or_default();
        simulation.kill(&lost);
        simulation.add(&format!("n{round}"), &fabric_domain);
        simulation.run(25_000);
    }
    assert_eq!((simulation.serving("large"), simulation.serving("small")), (2, 2));
}

/// After losses and a restart, one fabric domain has two small replicas and too few free instances
/// for a large one. The only large replica is in the other fabric domain.
#[test]
fn a_replica_is_ended_for_a_model_further_below_its_share() {
    let mut simulation = formed(0);
    let ids: Vec<Arc<str>> = simulation.nodes.keys().cloned().collect();
    simulation.kill(&ids[10]);
    simulation.run(100);
    simulation.set_isolation(&ids[6], true);
    simulation.run(100);
    simulation.kill(&ids[6]);
    simulation.run(2_000);
    simulation.kill(&ids[1]);
    simulation.run(3_600);
    simulation.set_isolation(&ids[1], false);
    simulation.run(800);
    simulation.kill(&ids[0]);
    simulation.run(800);
    simulation.restart(&ids[8]);
    simulation.run(200);
    ids.iter().for_each(|it| simulation.restart(it));
    simulation.run(2_500);
    assert_eq!((simulation.serving("large"), simulation.serving("small")), (1, 3));
    simulation.run(40_000);
    assert_eq!((simulation.serving("large"), simulation.serving("small")), (2, 2));
}

/// One fabric domain has weights for a large replica but not for a second one, the other fabric
/// domain has weights for two small ones. Five instances stay free in each.
#[test]
fn instances_do_not_stay_spare_while_a_model_is_below_its_share() {
    let mut simulation = Simulation::new(1, 2, 11);
    simulation.start_counting_loads();
    for (index, node) in simulation.nodes.values_mut().enumerate() {
        let is_large = [0..9, 11..14].iter().any(|it| it.contains(&index));
        node.instance.staged = vec![if is_large { "large" } else { "small" }.into()];
    }
    simulation.run(10_000);
    assert_eq!((simulation.serving("large"), simulation.serving("small")), (1, 2));
    simulation.run(100_000);
    assert_eq!((simulation.serving("large"), simulation.serving("small")), (2, 2));
}

/// The limit holds across owners too, although each knows only its own loads.
#[rstest]
#[case::of_one_owner(0)]
#[case::of_owners_that_follow_each_other(3)]
fn loads_stay_within_the_rate_of_the_weight_store(#[case] owners: usize) {
    let mut simulation = Simulation::new(10, 8, 11);
    simulation.run(20_000);
    simulation.start_counting_loads();
    simulation.load_times.clear();
    let all: Vec<Arc<str>> = simulation.nodes.keys().cloned().collect();
    all.iter().for_each(|it| simulation.restart(it));
    simulation.clear_staged_weights();
    for _ in 0..owners {
        simulation.run(1_000);
        simulation.replace_owner();
    }
    simulation.run(60_000);
    assert!(simulation.load_times.len() >= 80, "{} loads", simulation.load_times.len());
    for start in &simulation.load_times {
        let within =
            simulation.load_times.iter().filter(|it| (*start..start + 5_000).contains(*it));
        let count = within.count();
        assert!(count <= 28, "{count} loads in the 5 s from {start} ms, 5.5 a second are allowed");
    }
}

/// An event of the property test. The number chooses the instance, or for [`Event::Add`] the fabric
/// domain.
#[derive(Clone, Copy, Debug)]
enum Event {
    Kill(usize),
    Partition(usize),
    Isolate(usize),
    Reconnect(usize),
    Restart(usize),
    Add(usize),
    ReplaceOwner,
    Wait,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0..22_usize).prop_map(Event::Kill),
        (0..22_usize).prop_map(Event::Partition),
        (0..22_usize).prop_map(Event::Isolate),
        (0..22_usize).prop_map(Event::Reconnect),
        (0..22_usize).prop_map(Event::Restart),
        (0..2_usize).prop_map(Event::Add),
        Just(Event::ReplaceOwner),
        Just(Event::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    /// The simulation panics if an order breaks a rule of replicas, however late it is carried out.
    #[test]
    fn no_order_breaks_a_rule(
        seed in 0..1_000_u64,
        late_share in 0.0..0.5_f64,
        events in prop::collection::vec((event(), 1..40_u64), 1..24),
    ) {
        let mut simulation = formed(seed);
        simulation.late_share = late_share;
        let ids: Vec<Arc<str>> = simulation.nodes.keys().cloned().collect();
        for (place, (event, steps)) in events.into_iter().enumerate() {
            match event {
                Event::Kill(it) => simulation.kill(&ids[it]),
                Event::Partition(it) => simulation.set_store_partition(&ids[it], true),
                Event::Isolate(it) => simulation.set_isolation(&ids[it], true),
                Event::Reconnect(it) => simulation.set_isolation(&ids[it], false),
                Event::Restart(it) => simulation.restart(&ids[it]),
                Event::Add(it) => simulation.add(&format!("n{place}"), &format!("f{it}")),
                Event::ReplaceOwner => simulation.replace_owner(),
                Event::Wait => {}
            }
            simulation.run(steps * 100);
        }
        // Without late orders and with all instances back, all replicas serve again.
        simulation.late_share = 0.0;
        ids.iter().for_each(|it| simulation.restart(it));
        simulation.run(60_000);
        prop_assert!(simulation.serving("large") >= 2, "large: {}", simulation.serving("large"));
        prop_assert!(simulation.serving("small") >= 2, "small: {}", simulation.serving("small"));
    }
}

#[test]
fn loads_before_the_first_request_are_marked_as_exempt() {
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
fn members_of_an_ending_replica_are_not_probed() {
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
