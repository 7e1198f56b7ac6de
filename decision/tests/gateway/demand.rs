//! Demand is counted by each entry and added up over all entries.

use decision::gateway::demand::{self, Demand, Demands, MAX_MODELS, Tracker};

use crate::support::{at, ms};

fn is_near(value: f64, expected: f64) -> bool {
    (value - expected).abs() <= 0.1 * expected
}

/// Records `per_second` requests per second for four seconds, and returns the end of that time.
fn record_requests(tracker: &mut Tracker, from: u64, per_second: u64, work: u64) -> u64 {
    for index in 0..4 * per_second {
        tracker.record_request(at(from + index * 1_000 / per_second), 7, ms(work));
    }
    from + 4_000
}

#[test]
fn the_rate_follows_a_burst_and_decays_after_it() {
    let mut tracker = Tracker::default();
    let steady_end = record_requests(&mut tracker, 0, 20, 50);
    let Demand { requests, work, .. } = tracker.total_of(at(steady_end), 7);
    assert!(is_near(requests, 20.0) && is_near(work, 1.0), "{requests} {work}");
    let burst_end = record_requests(&mut tracker, steady_end, 40, 50);
    assert!(is_near(tracker.total_of(at(burst_end), 7).requests, 40.0));
    assert!(tracker.total_of(at(burst_end + 10_000), 7).requests < 0.1);
}

#[test]
fn reports_of_peers_are_added_until_they_expire() {
    let mut tracker = Tracker::default();
    let report = Demands::from([(7, Demand { requests: 30.0, work: 2.0, missed: 1.0 })]);
    tracker.record_peer(at(0), 1, report.clone());
    tracker.record_peer(at(0), 2, report.clone());
    tracker.record_peer(at(1_500), 2, report);
    assert_eq!(tracker.total_of(at(1_500), 7), Demand { requests: 60.0, work: 4.0, missed: 2.0 });
    assert_eq!(tracker.total_of(at(2_500), 7), Demand { requests: 30.0, work: 2.0, missed: 1.0 });
    assert!(tracker.total_of(at(4_000), 7).requests == 0.0);
}

#[test]
fn a_hub_excludes_the_demand_that_the_receiver_reported() {
    let report =
        |requests| Demands::from([(7, Demand { requests, work: requests / 10.0, missed: 0.0 })]);
    let mut total = Demands::new();
    for requests in [10.0, 20.0, 30.0] {
        demand::add(&mut total, &report(requests));
    }
    assert_eq!(demand::subtract(&total, &report(20.0)), report(40.0));
}

#[test]
fn implausible_reports_are_bounded() {
    let mut tracker = Tracker::default();
    let invalid = |requests, work| Demand { requests, work, missed: work };
    let reports = [invalid(f64::NAN, -1.0), invalid(f64::INFINITY, 1e300), invalid(-5.0, f64::NAN)];
    let reports = (0..).zip(reports).collect::<Demands>();
    tracker.record_peer(at(0), 1, reports);
    let total = tracker.total(at(0));
    assert!(total.values().all(|it| it.requests.is_finite() && (0.0..=1e5).contains(&it.work)));
    let many: Demands = (0..10_000).map(|it| (it, invalid(1.0, 1.0))).collect();
    tracker.record_peer(at(0), 2, many);
    assert!(tracker.total(at(0)).len() <= MAX_MODELS);
    for model in 0..1_000 {
        tracker.record_request(at(0), model, ms(1));
    }
    assert!(tracker.local(at(0)).len() <= MAX_MODELS);
}
