//! How a world behaves: delays, refusals, and whether instances check fencing tokens.

use std::ops::RangeInclusive;

use rand::RngExt as _;
use rand_pcg::Pcg64Mcg;

/// Delays in milliseconds, and what instances refuse.
#[derive(Clone, Debug)]
pub(crate) struct Conditions {
    /// By how much an owner's view of the list lags.
    pub(crate) lag: RangeInclusive<u64>,
    /// Time until an order arrives.
    pub(crate) travel: RangeInclusive<u64>,
    /// Time until an order arrives whose answer is lost.
    pub(crate) late: RangeInclusive<u64>,
    /// How old a report is when it is made.
    pub(crate) report_lag: RangeInclusive<u64>,
    /// Time for the requests of a head that stops.
    pub(crate) closing: RangeInclusive<u64>,
    /// Whether instances refuse orders of owners that another one followed.
    pub(crate) fencing: bool,
    /// Share of the orders that an instance refuses while it carries out another one.
    pub(crate) refusal: f64,
}

impl Default for Conditions {
    fn default() -> Conditions {
        Conditions {
            lag: 150..=150,
            travel: 1..=10,
            late: 2_000..=12_000,
            report_lag: 1..=1,
            closing: 500..=500,
            fencing: true,
            refusal: 0.0,
        }
    }
}

impl Conditions {
    /// Orders and news take long.
    pub(crate) fn slow() -> Conditions {
        Conditions {
            lag: 100..=1_500,
            travel: 5..=900,
            closing: 100..=4_000,
            ..Conditions::default()
        }
    }
}

/// A delay out of `range`. Short ones are as frequent as long ones by their order of magnitude.
pub(crate) fn delay(random: &mut Pcg64Mcg, range: &RangeInclusive<u64>) -> u64 {
    let (least, most) = (*range.start() as f64, *range.end() as f64);
    (least * (most / least).powf(random.random_range(0.0..=1.0))).round() as u64
}
