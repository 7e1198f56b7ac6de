use std::collections::HashMap;
use std::sync::Arc;

use decision::gateway::balance::{
    Balancer, Choice, Completion, Key, Load, Partition, Patience, Requirements, Settings, Target,
    hash, tag,
};
use decision::gateway::demand::{Demand, Demands};
use decision::gateway::engine::Engine;
use decision::prelude::*;
use rstest::rstest;

use crate::support::{at, engine, ms, target};

fn service() -> Arc<str> {
    "models".into()
}

fn balance(targets: &[Target]) -> Balancer {
    let mut balance = Balancer::new(Settings { failure_domain: "a".into(), ..Settings::default() });
    set_targets(&mut balance, at(0), targets, Duration::ZERO);
    balance
}

fn set_targets(balance: &mut Balancer, now: Time, targets: &[Target], cold: Duration) {
    let targets = targets.iter().cloned().map(|it| (it, cold));
    balance.set_targets(now, &service(), Some(&engine()), 10.0, targets);
}

fn requirements() -> Requirements {
    Requirements {
        model: Some("large".into()),
        prompt_tokens: 1_000,
        objective: ms(400),
        ..Requirements::default()
    }
}

fn send(balance: &mut Balancer, now: Time, requirements: &Requirements) -> Key {
    let choice = balance.choose(now, "models", requirements);
    assert!(matches!(choice, Choice::Send(..)), "not sent: {choice:?}");
    if let Choice::Send(key, _) = choice { key } else { Key::default() }
}

fn id(balance: &Balancer, key: Key) -> Arc<str> {
    balance.target(key).map(|it| it.id.clone()).unwrap_or_default()
}

/// Checks the silence of a target on the terms that hold at present.
fn is_silent(balance: &mut Balancer, now: Time, key: Key) -> bool {
    let terms = balance.terms(key, Patience::default());
    assert!(terms.is_some(), "no target at work");
    terms.is_some_and(|it| balance.check_silence(now, key, &it))
}

#[test]
fn a_request_goes_only_to_its_model() {
    let mut balance = balance(&[target("l", "a", Some("large")), target("s", "a", Some("small"))]);
    for _ in 0..4 {
        let key = send(&mut balance, at(0), &requirements());
        assert_eq!(&*id(&balance, key), "l");
    }
    let requirements = Requirements { model: Some("other".into()), ..requirements() };
    assert_eq!(balance.choose(at(0), "models", &requirements), Choice::NoTarget);
}

#[test]
fn work_spreads_over_targets() {
    let mut balance = balance(&[target("x", "a", Some("large")), target("y", "a", Some("large"))]);
    let keys: Vec<Key> = (0..6).map(|_| send(&mut balance, at(0), &requirements())).collect();
    let x = keys.iter().filter(|it| &*id(&balance, **it) == "x").count();
    assert_eq!(x, 3);
}

#[test]
fn loads_of_peers_count() {
    let mut balance = balance(&[target("x", "a", Some("large")), target("y", "a", Some("large"))]);
    let busy = Load { running: 4, ..Load::default() };
    balance.set_peer_loads(at(0), 1, Partition::default(), &HashMap::from([(tag("x"), busy)]));
    for _ in 0..3 {
        let key = send(&mut balance, at(0), &requirements());
        assert_eq!(&*id(&balance, key), "y");
    }
    // A report older than 2 s is ignored, since its peer may be gone with its requests.
    let key = send(&mut balance, at(5_000), &requirements());
    assert_eq!(&*id(&balance, key), "x");
}

#[test]
fn a_full_target_gets_no_more_than_its_backlog() {
    let mut balance = balance(&[target("x", "a", Some("large"))]);
    let requirements = Requirements { objective: ms(60_000), ..requirements() };
    let sent = (0..20)
        .filter(|_| matches!(balance.choose(at(0), "models", &requirements), Choice::Send(..)))
        .count();
    assert_eq!(sent, 4 + Settings::default().admission.backlog as usize);
}

#[test]
fn a_resumed_stream_is_placed_where_others_wait() {
    let mut balance = balance(&[target("x", "a", Some("large"))]);
    for _ in 0..20 {
        balance.choose(at(0), "models", &requirements());
    }
    assert!(matches!(balance.choose(at(0), "models", &requirements()), Choice::Busy(_)));
    send(&mut balance, at(0), &Requirements { is_resumed: true, ..requirements() });
}

/// Returns the balancer of the entry `a` of five, before a cold target.
fn balance_before_cold(earlier_start_until: Time) -> Balancer {
    let settings = Settings {
        failure_domain: "a".into(),
        entry_hash: hash("a"),
        earlier_start_until,
        ..Settings::default()
    };
    let mut balance = Balancer::new(settings);
    balance.set_entries(["a", "b", "c", "d", "e"]);
    let cold = Target { slots: 100, ..target("x", "a", Some("large")) };
    set_targets(&mut balance, at(0), &[cold], ms(3_000));
    balance
}

/// Returns how many of 20 requests are sent at `now`.
fn count(balance: &mut Balancer, now: Time) -> usize {
    let choices = (0..20).map(|_| balance.choose(now, "models", &requirements()));
    choices.filter(|it| matches!(it, Choice::Send(..))).count()
}

/// Guards against a rate of cold targets that each start of an entry uses anew.
#[test]
fn a_restarted_entry_sends_nothing_to_a_cold_target_for_a_second() {
    let mut balance = balance_before_cold(at(1_000));
    assert_eq!(count(&mut balance, at(999)), 0);
    assert!(count(&mut balance, at(1_000)) > 0);
}

#[test]
fn a_cold_target_stays_within_its_rate_over_all_entries() {
    let mut balance = balance_before_cold(Time::ZERO);
    // Nine tenths of 10 requests per second, over five entries.
    let first = count(&mut balance, at(0));
    assert!((1..=2).contains(&first), "{first}");
    assert_eq!(count(&mut balance, at(500)), 0);
    assert_eq!(count(&mut balance, at(1_100)), first);
    assert!(count(&mut balance, at(3_100)) > 2, "warm again");
}

#[test]
fn a_silent_target_is_suspect_and_tried_once_after_a_pause() {
    let mut balance = balance(&[target("x", "a", Some("large"))]);
    let key = send(&mut balance, at(0), &requirements());
    balance.finish_prefill(key, 1_000);
    balance.record_activity(at(100), key);
    assert!(!is_silent(&mut balance, at(150), key));
    assert!(is_silent(&mut balance, at(600), key));
    assert_eq!(balance.suspects().count(), 1);
    assert!(matches!(balance.choose(at(700), "models", &requirements()), Choice::Busy(_)));
    send(&mut balance, at(1_200), &requirements());
    assert!(
        matches!(balance.choose(at(1_210), "models", &requirements()), Choice::Busy(_)),
        "one trial"
    );
    balance.record_activity(at(1_300), key);
    assert_eq!(balance.suspects().count(), 0);
    send(&mut balance, at(1_301), &requirements());
}

#[test]
fn activity_seen_by_a_peer_keeps_a_target_from_being_suspect() {
    let mut balance = balance(&[target("x", "a", Some("large"))]);
    let key = send(&mut balance, at(0), &requirements());
    let active = Load { running: 1, quiet_ms: 20, ..Load::default() };
    balance.set_peer_loads(at(400), 1, Partition::default(), &HashMap::from([(tag("x"), active)]));
    assert!(!is_silent(&mut balance, at(500), key));
    assert!(is_silent(&mut balance, at(2_000), key));
}

#[test]
fn prefill_of_unreported_prompts_does_not_make_a_target_suspect() {
    let is_suspect = |requests: f64| {
        let mut balance = balance(&[target("x", "a", Some("large"))]);
        balance.set_peer_lag(ms(250));
        balance.record_request(at(0), "models", &requirements());
        let demand = Demand { requests, ..Demand::default() };
        balance.set_peer_demand(at(0), 1, Demands::from([(tag("large"), demand)]));
        let key = send(&mut balance, at(0), &requirements());
        balance.finish_prefill(key, 1_000);
        balance.record_activity(at(100), key);
        is_silent(&mut balance, at(300), key)
    };
    assert!(is_suspect(0.0));
    assert!(!is_suspect(20.0));
    // Prefill between two events is bounded, however high the demand is.
    let mut balance = balance(&[target("x", "a", Some("large"))]);
    let max_demand = Demand { requests: 1e6, ..Demand::default() };
    balance.record_request(at(0), "models", &requirements());
    balance.set_peer_demand(at(0), 1, Demands::from([(tag("large"), max_demand)]));
    let key = send(&mut balance, at(0), &requirements());
    balance.record_activity(at(100), key);
    assert!(is_silent(&mut balance, at(700), key));
}

/// Returns a balancer that knows that first tokens take 400 ms more than the load explains.
fn learned() -> (Balancer, [Target; 1]) {
    let targets = [target("x", "a", Some("large"))];
    let mut balance = balance(&targets);
    for _ in 0..3 {
        if let Choice::Send(key, forecast) = balance.choose(at(0), "models", &requirements()) {
            balance.finish_prefill(key, 1_000);
            balance.record_first_token(key, &forecast, ms(400));
            balance.finish_attempt(at(0), key, 0, Completion::Answered);
        }
    }
    (balance, targets)
}

#[test]
fn silence_within_the_learned_overhead_does_not_make_a_target_suspect() {
    let (mut balance, _) = learned();
    let key = send(&mut balance, at(1_000), &requirements());
    assert!(!is_silent(&mut balance, at(1_400), key));
    assert!(is_silent(&mut balance, at(2_000), key));
}

#[test]
fn a_target_that_peers_report_as_slow_is_avoided_until_the_report_decays() {
    let targets = ["x", "y", "z"].map(|it| Target { slots: 20, ..target(it, "a", Some("large")) });
    let mut balance = balance(&targets);
    let slow = Load { running: 1, slowness: 80, ..Load::default() };
    balance.set_peer_loads(at(0), 1, Partition::default(), &HashMap::from([(tag("x"), slow)]));
    let mut send_and_finish = |now| {
        let key = send(&mut balance, at(now), &requirements());
        balance.finish_prefill(key, 1_000);
        balance.finish_attempt(at(now), key, 0, Completion::Answered);
        id(&balance, key)
    };
    for _ in 0..20 {
        assert_ne!(&*send_and_finish(0), "x");
    }
    // The report has decayed, so the target is tried again.
    assert!((0..40).any(|_| &*send_and_finish(12_000) == "x"));
}

#[test]
fn a_target_that_fails_is_avoided() {
    let mut balance = balance(&[target("x", "a", None), target("y", "a", None)]);
    let requirements = Requirements { objective: ms(400), ..Requirements::default() };
    for _ in 0..10 {
        let key = send(&mut balance, at(0), &requirements);
        let completion =
            if &*id(&balance, key) == "x" { Completion::Failed } else { Completion::Answered };
        balance.finish_attempt(at(0), key, 0, completion);
    }
    for _ in 0..5 {
        let key = send(&mut balance, at(1), &requirements);
        assert_eq!(&*id(&balance, key), "y");
        balance.finish_attempt(at(1), key, 0, Completion::Answered);
    }
}

#[test]
fn a_target_that_left_the_list_gets_nothing_and_its_work_is_still_subtracted() {
    let mut balance = balance(&[target("x", "a", Some("large"))]);
    let key = send(&mut balance, at(0), &requirements());
    set_targets(&mut balance, at(1), &[], Duration::ZERO);
    assert_eq!(balance.choose(at(1), "models", &requirements()), Choice::NoTarget);
    assert!(balance.target(key).is_some());
    balance.finish_attempt(at(2), key, 0, Completion::Answered);
    assert!(balance.target(key).is_none());
}

/// Guards against a service that leaves the configuration and makes its targets silent at once.
#[rstest]
#[case::before_the_first_event(None)]
#[case::between_events(Some(at(50)))]
fn work_of_a_dropped_service_keeps_its_silence_limit(#[case] event: Option<Time>) {
    let play = |is_dropped: bool| {
        let mut balance = balance(&[target("x", "a", Some("large"))]);
        let key = send(&mut balance, at(0), &requirements());
        event.into_iter().for_each(|it| balance.record_activity(it, key));
        if is_dropped {
            balance.retain_services(&["other".into()]);
        }
        (balance, key)
    };
    let (kept, key) = play(false);
    let terms = kept.terms(key, Patience::default()).expect("a target at work");
    let deadline = kept.silence_deadline(at(60), key, &terms);
    let (mut dropped, key) = play(true);
    assert_eq!(dropped.silence_deadline(at(60), key, &terms), deadline);
    assert!(!is_silent(&mut dropped, at(60), key));
    assert_eq!(dropped.choose(at(60), "models", &requirements()), Choice::NoTarget);
    assert_eq!(dropped.targets().count(), 0);
    dropped.finish_attempt(at(70), key, 0, Completion::Answered);
    dropped.retain_services(&["other".into()]);
    assert!(dropped.target(key).is_none());
    assert_eq!(dropped.silence_deadline(at(80), key, &terms), None, "nothing is known of it");
}

/// Guards against a faster engine, or fewer models, in a later configuration that cut what runs by the former one.
#[rstest]
#[case::faster(|it: &mut Engine| it.step_ms = 0.01)]
#[case::more_slots(|it: &mut Engine| it.slots = 100)]
#[case::without_its_model(|it: &mut Engine| it.models.clear())]
#[case::without_cost(|it: &mut Engine| *it = Engine::default())]
fn a_later_engine_does_not_shorten_the_silence_of_work(#[case] change: fn(&mut Engine)) {
    let (mut balance, targets) = learned();
    let requirements = Requirements { is_resumed: true, ..requirements() };
    let keys = [0; 9].map(|_| send(&mut balance, at(1_000), &requirements));
    let key = keys[0];
    let terms = balance.terms(key, Patience::default()).expect("a target at work");
    let deadline = balance.silence_deadline(at(1_000), key, &terms);
    let mut engine = engine();
    change(&mut engine);
    let targets = targets.map(|it| (Target { slots: engine.slots * 4 / 26, ..it }, Duration::ZERO));
    balance.set_targets(at(1_001), &service(), Some(&engine), 10.0, targets);
    assert!(balance.silence_deadline(at(1_001), key, &terms) >= deadline);
    let later = balance.terms(key, Patience::default()).expect("a target at work");
    assert!(balance.silence_deadline(at(1_001), key, &later) < deadline, "nothing was shortened");
}

/// Guards against work at a target that leaves, cut since nobody heeds what peers hear from it.
#[rstest]
#[case::alone(&[], false)]
#[case::beside_its_next_start(&[Target { incarnation: (2, 1), ..target("x", "a", Some("large")) }], true)]
fn activity_seen_by_a_peer_counts_for_work_at_an_unlisted_target(
    #[case] listed: &[Target],
    #[case] silent: bool,
) {
    let mut balance = balance(&[target("x", "a", Some("large"))]);
    let key = send(&mut balance, at(0), &requirements());
    set_targets(&mut balance, at(10), listed, Duration::ZERO);
    let active = Load { running: 1, quiet_ms: 20, ..Load::default() };
    balance.set_peer_loads(at(400), 1, Partition::default(), &HashMap::from([(tag("x"), active)]));
    assert_eq!(is_silent(&mut balance, at(500), key), silent);
}

/// Guards against a target that counts as idle, and as never silent, since it was unlisted for a moment.
#[rstest]
#[case::emptied_list(|it: &mut Balancer| set_targets(it, at(1), &[], Duration::ZERO))]
#[case::dropped_service(|it: &mut Balancer| it.retain_services(&[]))]
fn a_target_that_is_listed_again_keeps_the_work_that_it_has(#[case] unlist: fn(&mut Balancer)) {
    let targets = [target("x", "a", Some("large"))];
    let mut balance = balance(&targets);
    let key = send(&mut balance, at(0), &requirements());
    balance.mark_suspect(at(1), key);
    unlist(&mut balance);
    assert!(!balance.is_listed(key));
    set_targets(&mut balance, at(2), &targets, Duration::ZERO);
    assert!(balance.is_listed(key));
    assert_eq!(balance.suspects().count(), 1);
    let running: Vec<u32> = balance.targets().map(|(_, load)| load.running).collect();
    assert_eq!(running, [1]);
}

#[test]
fn a_restarted_target_is_another_one() {
    let mut balance = balance(&[target("x", "a", Some("large"))]);
    let key = send(&mut balance, at(0), &requirements());
    let restarted = Target { incarnation: (2, 1), ..target("x", "a", Some("large")) };
    set_targets(&mut balance, at(1), &[restarted], Duration::ZERO);
    assert_ne!(send(&mut balance, at(1), &requirements()), key);
}

#[test]
fn excluded_targets_are_not_chosen() {
    let mut balance = balance(&[target("x", "a", Some("large"))]);
    let key = send(&mut balance, at(0), &requirements());
    let requirements = Requirements { excluded: vec![key], ..requirements() };
    assert_eq!(balance.choose(at(0), "models", &requirements), Choice::NoTarget);
}

#[test]
fn only_another_target_that_takes_requests_is_an_alternative() {
    let targets = ["x", "y"].map(|it| target(it, "a", Some("large")));
    let mut balance = balance(&targets);
    let has_alternative = |balance: &Balancer, requirements: &Requirements, key: Key| {
        balance.has_alternative(at(1), "models", requirements, key)
    };
    let keys = [0; 2].map(|_| send(&mut balance, at(0), &requirements()));
    assert!(has_alternative(&balance, &requirements(), keys[0]));
    let excluded = Requirements { excluded: vec![keys[1]], ..requirements() };
    assert!(!has_alternative(&balance, &excluded, keys[0]));
    let other = Requirements { model: Some("small".into()), ..requirements() };
    assert!(!has_alternative(&balance, &other, keys[0]));
    balance.mark_suspect(at(0), keys[1]);
    assert!(!has_alternative(&balance, &requirements(), keys[0]));
    set_targets(&mut balance, at(1), &targets[..1], Duration::ZERO);
    assert!(!has_alternative(&balance, &requirements(), keys[0]));
}
