//! The conditions of a simulation: delays, refusals, and whether instances check fencing tokens.

use std::ops::RangeInclusive;

use rand::RngExt as _;
use rand_pcg::Pcg64Mcg;

/// Ranges of delays in milliseconds, and which orders instances refuse.
#[derive(Clone, Debug)]
pub(crate) struct Conditions {
    /// Age of an owner's view of the list, drawn once for each owner.
    pub(crate) view_lag: RangeInclusive<u64>,
    /// Time until an order, a probe or a request for a report arrives.
    pub(crate) latency: RangeInclusive<u64>,
    /// Time until a delayed order arrives, so long that its answer is not awaited any more.
    pub(crate) late_latency: RangeInclusive<u64>,
    /// Age of the state that a report shows when it is sent.
    pub(crate) report_age: RangeInclusive<u64>,
    /// Time that a closing head needs to finish its requests.
    pub(crate) close_time: RangeInclusive<u64>,
    /// Whether instances refuse an order whose fencing token is lower than one that they have seen.
    pub(crate) has_fencing: bool,
    /// Share of the orders that an instance refuses while it carries out another order.
    pub(crate) refusal_share: f64,
}

impl Default for Conditions {
    fn default() -> Conditions {
        Conditions {
            view_lag: 150..=150,
            latency: 1..=10,
            late_latency: 2_000..=12_000,
            report_age: 1..=1,
            close_time: 500..=500,
            has_fencing: true,
            refusal_share: 0.0,
        }
    }
}

impl Conditions {
    /// Returns conditions under which orders, lists and the end of requests take long.
    pub(crate) fn slow() -> Conditions {
        Conditions {
            view_lag: 100..=1_500,
            latency: 5..=900,
            close_time: 100..=4_000,
            ..Conditions::default()
        }
    }
}

/// Draws a number of milliseconds from `range`, evenly distributed on a logarithmic scale. `range`
/// starts above 0.
pub(crate) fn draw_millis(random: &mut Pcg64Mcg, range: &RangeInclusive<u64>) -> u64 {
    let (min, max) = (*range.start() as f64, *range.end() as f64);
    (min * (max / min).powf(random.random_range(0.0..=1.0))).round() as u64
}
