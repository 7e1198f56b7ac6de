//! What callers ask for, counted and added up.

use decision::gateway::demand::{self, Demand, Demands, MAX_MODELS, Tracker};

use crate::support::{at, ms};

fn near(value: f64, wanted: f64) -> bool {
    (value - wanted).abs() <= 0.1 * wanted
}

/// `per_second` requests a second for four seconds from `from` on.
fn ask(ledger: &mut Tracker, from: u64, per_second: u64, work: u64) -> u64 {
    for place in 0..4 * per_second {
        ledger.record_request(at(from + place * 1_000 / per_second), 7, ms(work));
    }
    from + 4_000
}

#[test]
fn arrivals_are_a_rate_that_follows_a_burst_and_fades_after_it() {
    let mut ledger = Tracker::default();
    let calm = ask(&mut ledger, 0, 20, 50);
    let Demand { requests, work, .. } = ledger.total_of(at(calm), 7);
    assert!(near(requests, 20.0) && near(work, 1.0), "{requests} {work}");
    let burst = ask(&mut ledger, calm, 40, 50);
    assert!(near(ledger.total_of(at(burst), 7).requests, 40.0));
    assert!(ledger.total_of(at(burst + 10_000), 7).requests < 0.1);
}

#[test]
fn what_peers_tell_is_added_until_they_are_silent() {
    let mut ledger = Tracker::default();
    let told = Demands::from([(7, Demand { requests: 30.0, work: 2.0, missed: 1.0 })]);
    ledger.record_peer(at(0), 1, told.clone());
    ledger.record_peer(at(0), 2, told.clone());
    ledger.record_peer(at(1_500), 2, told);
    assert_eq!(ledger.total_of(at(1_500), 7), Demand { requests: 60.0, work: 4.0, missed: 2.0 });
    assert_eq!(ledger.total_of(at(2_500), 7), Demand { requests: 30.0, work: 2.0, missed: 1.0 });
    assert!(ledger.total_of(at(4_000), 7).requests == 0.0);
}

#[test]
fn a_hub_tells_an_entry_what_others_ask_for_and_not_what_it_said_itself() {
    let part =
        |requests| Demands::from([(7, Demand { requests, work: requests / 10.0, missed: 0.0 })]);
    let mut all = Demands::new();
    for requests in [10.0, 20.0, 30.0] {
        demand::add(&mut all, &part(requests));
    }
    assert_eq!(demand::subtract(&all, &part(20.0)), part(40.0));
}

#[test]
fn nonsense_from_a_peer_is_bounded() {
    let mut ledger = Tracker::default();
    let wrong = |requests, work| Demand { requests, work, missed: work };
    let told = [wrong(f64::NAN, -1.0), wrong(f64::INFINITY, 1e300), wrong(-5.0, f64::NAN)];
    let told = (0..).zip(told).collect::<Demands>();
    ledger.record_peer(at(0), 1, told);
    let all = ledger.total(at(0));
    assert!(all.values().all(|it| it.requests.is_finite() && (0.0..=1e5).contains(&it.work)));
    let many: Demands = (0..10_000).map(|it| (it, wrong(1.0, 1.0))).collect();
    ledger.record_peer(at(0), 2, many);
    assert!(ledger.total(at(0)).len() <= MAX_MODELS);
    for model in 0..1_000 {
        ledger.record_request(at(0), model, ms(1));
    }
    assert!(ledger.local(at(0)).len() <= MAX_MODELS);
}
