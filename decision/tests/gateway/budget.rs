use decision::gateway::budget::{Budget, Settings, Share};
use decision::prelude::*;
use rstest::rstest;

use crate::support::{at, ms};

/// Sends a retry if the budget allows one.
fn try_retry(budget: &mut Budget, now: Time, share: f64) -> bool {
    let has_room = budget.usage(now, share).has_room();
    if has_room {
        budget.record_retry(now);
    }
    has_room
}

fn budget() -> Budget {
    Budget::new(Settings { ratio: 0.2, window: ms(10_000), slack: 8.0 })
}

#[test]
fn slack_is_split_over_entries() {
    let mut budget = budget();
    assert!(try_retry(&mut budget, at(0), 0.25));
    assert!(try_retry(&mut budget, at(0), 0.25));
    assert!(!try_retry(&mut budget, at(0), 0.25));
}

#[test]
fn each_request_adds_its_part() {
    let mut budget = budget();
    (0..100).for_each(|_| budget.record_request(at(0)));
    let retried = (0..100).filter(|_| try_retry(&mut budget, at(1), 0.25)).count();
    // Nine tenths of 20, and a quarter of the slack.
    assert_eq!(retried, 18 + 2);
}

#[test]
fn repeats_within_any_window_stay_within_the_budget() {
    let mut budget = budget();
    let mut retried = Vec::new();
    for now in (0..40_000).step_by(100) {
        if try_retry(&mut budget, at(now), 0.25) {
            retried.push(now);
        }
    }
    for start in (0..40_000).step_by(100) {
        let within = retried.iter().filter(|it| (start..start + 10_000).contains(*it)).count();
        assert!(within <= 2, "{within} retries in the window from {start} ms");
    }
    assert!(retried.len() >= 6, "the budget recovers: {retried:?}");
}

#[test]
fn a_retry_that_is_taken_back_leaves_room_for_another() {
    let mut budget = budget();
    assert!(try_retry(&mut budget, at(0), 0.125));
    budget.record_request(at(900));
    assert!(!try_retry(&mut budget, at(900), 0.125));
    budget.cancel_retry(at(0));
    assert!(try_retry(&mut budget, at(900), 0.125));
    budget.cancel_retry(at(900));
    budget.record_request(at(30_000));
    budget.cancel_retry(at(900));
    assert_eq!(budget.usage(at(30_000), 0.125).retries, 0);
}

#[test]
fn a_budget_is_in_use_until_a_window_has_passed() {
    let mut budget = budget();
    assert!(!budget.is_in_use(at(0)));
    budget.record_request(at(1_000));
    assert!(budget.is_in_use(at(11_000)));
    assert!(!budget.is_in_use(at(12_000)));
}

/// Guards against limits that stay as they were at the first request.
#[test]
fn new_limits_are_in_force_at_once() {
    let mut budget = budget();
    assert!(try_retry(&mut budget, at(0), 0.25));
    budget.set_settings(Settings { slack: 4.0, ratio: 0.0, window: ms(10_000) });
    assert!(!try_retry(&mut budget, at(1), 0.25));
}

/// Guards against retries that requests before the window would earn.
#[test]
fn requests_older_than_the_window_earn_no_retries() {
    let mut budget = budget();
    (0..100).for_each(|_| budget.record_request(at(0)));
    let allowed = |budget: &mut Budget, now| budget.usage(at(now), 0.0).allowed;
    assert_eq!(allowed(&mut budget, 4_900).round(), 18.0);
    assert_eq!(allowed(&mut budget, 10_001), 0.0);
}

const WINDOW: Duration = ms(10_000);

/// Returns the share of an entry that has restarted at 0 and knows `entries`, itself among them.
fn restarted(entries: usize) -> Share {
    let mut share = Share::new(false);
    share.record_list(at(0), WINDOW, entries, true);
    share.record_confirmation(Some(at(0)));
    share
}

/// Confirms at `now` what the entry knows, and returns the share then.
fn fraction(share: &mut Share, now: u64) -> f64 {
    share.record_confirmation(Some(at(now)));
    share.fraction(at(now), WINDOW)
}

#[test]
fn a_restarted_entry_has_no_share_of_the_slack_for_a_window() {
    let mut share = restarted(4);
    assert_eq!(fraction(&mut share, 9_999), 0.0);
    assert_eq!(fraction(&mut share, 10_000), 0.25);
}

#[test]
fn on_the_first_start_of_all_entries_the_share_begins_with_the_list() {
    let mut share = Share::new(true);
    assert_eq!(fraction(&mut share, 0), 0.0);
    share.record_list(at(500), WINDOW, 3, false);
    assert_eq!(fraction(&mut share, 500), 0.0);
    share.record_list(at(600), WINDOW, 4, true);
    assert_eq!(fraction(&mut share, 600), 0.25);
}

#[test]
fn an_entry_that_knows_no_list_has_no_share() {
    let share = Share::new(false);
    assert_eq!(share.fraction(at(60_000), WINDOW), 0.0);
}

#[test]
fn entries_that_lapse_still_count_for_a_window() {
    let mut share = restarted(10);
    share.record_list(at(20_000), WINDOW, 2, true);
    assert_eq!(fraction(&mut share, 29_999), 0.1);
    assert_eq!(fraction(&mut share, 30_000), 0.5);
}

#[test]
fn a_longer_list_counts_at_once() {
    let mut share = restarted(2);
    share.record_list(at(20_000), WINDOW, 10, true);
    assert_eq!(fraction(&mut share, 20_000), 0.1);
}

#[test]
fn an_entry_that_is_not_listed_has_no_share() {
    let mut share = restarted(4);
    share.record_list(at(20_000), WINDOW, 3, false);
    assert_eq!(fraction(&mut share, 20_000), 0.0);
    share.record_list(at(22_000), WINDOW, 4, true);
    assert_eq!(fraction(&mut share, 22_000), 0.25, "the others still count it");
    share.record_list(at(30_000), WINDOW, 3, false);
    share.record_list(at(40_000), WINDOW, 4, true);
    assert_eq!(fraction(&mut share, 49_999), 0.0, "the others had dropped it");
    assert_eq!(fraction(&mut share, 50_000), 0.25);
}

#[test]
fn an_entry_that_is_cut_off_for_a_window_has_no_share() {
    let mut share = restarted(4);
    assert_eq!(fraction(&mut share, 20_000), 0.25);
    assert_eq!(share.fraction(at(29_999), WINDOW), 0.25);
    assert_eq!(share.fraction(at(30_000), WINDOW), 0.0);
}

/// Entries that are played together, and their load.
#[derive(Clone, Copy, Debug)]
struct Fleet {
    entries: usize,
    /// Requests per second to one entry.
    rate: f64,
    slack: f64,
}

const LARGE: Fleet = Fleet { entries: 64, rate: 5.0, slack: 312.0 };

const SMALL: Fleet = Fleet { entries: 9, rate: 25.0, slack: 136.0 };

/// Milliseconds from one step to the next.
const STEP: u64 = 25;

/// One start of an entry.
struct Entry {
    budget: Budget,
    share: Share,
}

impl Entry {
    fn start(fleet: Fleet, is_first: bool, now: u64) -> Entry {
        let settings = Settings { ratio: 0.2, window: WINDOW, slack: fleet.slack };
        let mut share = Share::new(is_first);
        share.record_list(at(now), WINDOW, fleet.entries, true);
        Entry { budget: Budget::new(settings), share }
    }

    /// Sends a retry if the budget and the share allow one.
    fn try_retry(&mut self, now: u64) -> bool {
        let share = fraction(&mut self.share, now);
        try_retry(&mut self.budget, at(now), share)
    }
}

/// Random numbers from 0 to 1.
struct Random(u64);

impl Random {
    fn draw(&mut self) -> f64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// Plays entries that all want to retry each request all the time; at `restarts`, a part of them
/// loses what it knows. Returns by how many retries the worst window exceeds what is allowed, as
/// part of the latter.
fn worst_excess(seed: u64, fleet: Fleet, swing: f64, restarts: &[(u64, f64)]) -> f64 {
    let mut random = Random(seed);
    let mut entries: Vec<Entry> =
        (0..fleet.entries).map(|_| Entry::start(fleet, true, 0)).collect();
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for now in (0..40_000).step_by(STEP as usize) {
        for (_, part) in restarts.iter().filter(|(at, _)| *at == now) {
            let count = (fleet.entries as f64 * part) as usize;
            entries.iter_mut().take(count).for_each(|it| *it = Entry::start(fleet, false, now));
        }
        let wave = 1.0 + swing * (now as f64 / 13_000.0 * std::f64::consts::TAU).sin();
        let probability = fleet.rate * wave * STEP as f64 / 1_000.0;
        for entry in &mut entries {
            if random.draw() < probability {
                entry.budget.record_request(at(now));
                requests.push(now);
            }
            while entry.try_retry(now) {
                retries.push(now);
            }
        }
    }
    let within = |times: &[u64], start: u64, end: u64| {
        (times.partition_point(|it| *it < end) - times.partition_point(|it| *it < start)) as f64
    };
    let excess = (0..30_000_u64).step_by(100).map(|start| {
        let windows = [0, 5_000, 10_000].map(|earlier| {
            within(
                &requests,
                start.saturating_sub(earlier),
                (start + 10_000).saturating_sub(earlier),
            )
        });
        let allowed = 0.2 * windows.into_iter().fold(0.0, f64::max) + fleet.slack;
        within(&retries, start, start + 10_000) / allowed - 1.0
    });
    excess.fold(f64::MIN, f64::max)
}

/// Guards against a slack that each start of an entry spends anew.
#[rstest]
#[case::without_restart(LARGE, 0.0, &[])]
#[case::without_restart_in_waves(LARGE, 0.55, &[])]
#[case::all_once(LARGE, 0.0, &[(15_000, 1.0)])]
#[case::all_again_and_again(LARGE, 0.55, &[(12_000, 1.0), (15_000, 1.0), (18_000, 1.0), (26_000, 1.0)])]
#[case::a_third_in_turn(LARGE, 0.55, &[(11_000, 0.3), (14_000, 0.3), (17_000, 0.3), (20_000, 0.3)])]
#[case::few_entries(SMALL, 0.0, &[])]
#[case::few_entries_in_waves(SMALL, 0.55, &[])]
#[case::few_entries_all_early(SMALL, 0.0, &[(4_300, 1.0)])]
#[case::few_entries_all_twice(SMALL, 0.0, &[(6_000, 1.0), (15_000, 1.0)])]
fn all_entries_together_keep_to_the_budget_over_restarts(
    #[case] fleet: Fleet,
    #[case] swing: f64,
    #[case] restarts: &[(u64, f64)],
) {
    for seed in 0..10 {
        let excess = worst_excess(seed, fleet, swing, restarts);
        assert!(excess <= 0.0, "seed {seed}: {:.1} in 100 too many", 100.0 * excess);
    }
}
