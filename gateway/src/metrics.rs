//! Counters and histograms of one entry, in the Prometheus text format.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Upper bounds of the histograms' buckets, in seconds.
const BUCKET_BOUNDS_SECONDS: [f64; 9] = [0.01, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4];

/// Limit of the counters, and of the histograms, so that label values from callers can't grow them
/// without bound. Further label values are counted without labels.
const MAX_SERIES: usize = 256;

/// Counters and histograms, by name and labels.
#[derive(Debug, Default)]
pub(crate) struct Metrics {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    counters: BTreeMap<(&'static str, String), u64>,
    histograms: BTreeMap<(&'static str, String), Histogram>,
}

#[derive(Clone, Debug, Default)]
struct Histogram {
    counts: [u64; BUCKET_BOUNDS_SECONDS.len()],
    count: u64,
    sum: f64,
}

impl Metrics {
    /// Increments the counter `name` with `labels`, which are written as in the text format.
    pub(crate) fn count(&self, name: &'static str, labels: &str) {
        self.add(name, labels, 1);
    }

    /// Adds `amount` to the counter `name` with `labels`.
    pub(crate) fn add(&self, name: &'static str, labels: &str, amount: u64) {
        let mut state = self.state();
        let has_room = state.counters.len() < MAX_SERIES;
        let key = (name, if has_room { labels.to_owned() } else { String::new() });
        *state.counters.entry(key).or_default() += amount;
    }

    /// Adds `time` to the histogram `name` with `labels`.
    pub(crate) fn time(&self, name: &'static str, labels: &str, time: Duration) {
        let mut state = self.state();
        let has_room = state.histograms.len() < MAX_SERIES;
        let key = (name, if has_room { labels.to_owned() } else { String::new() });
        let histogram = state.histograms.entry(key).or_default();
        let seconds = time.as_secs_f64();
        for (count, bound) in histogram.counts.iter_mut().zip(BUCKET_BOUNDS_SECONDS) {
            *count += u64::from(seconds <= bound);
        }
        histogram.count += 1;
        histogram.sum += seconds;
    }

    /// Returns all counters, histograms and the given `gauges` in the Prometheus text format.
    pub(crate) fn text(&self, gauges: &[(&'static str, f64)]) -> String {
        let state = self.state();
        let mut text = String::new();
        for ((name, labels), count) in &state.counters {
            write_line(&mut text, name, labels, *count as f64);
        }
        for ((name, labels), histogram) in &state.histograms {
            let separator = if labels.is_empty() { "" } else { "," };
            for (count, bound) in histogram.counts.iter().zip(BUCKET_BOUNDS_SECONDS) {
                let labels = format!("{labels}{separator}le=\"{bound}\"");
                write_line(&mut text, &format!("{name}_bucket"), &labels, *count as f64);
            }
            let total_labels = format!("{labels}{separator}le=\"+Inf\"");
            write_line(&mut text, &format!("{name}_bucket"), &total_labels, histogram.count as f64);
            write_line(&mut text, &format!("{name}_sum"), labels, histogram.sum);
            write_line(&mut text, &format!("{name}_count"), labels, histogram.count as f64);
        }
        for (name, value) in gauges {
            write_line(&mut text, name, "", *value);
        }
        text
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn write_line(text: &mut String, name: &str, labels: &str, value: f64) {
    let labels = if labels.is_empty() { String::new() } else { format!("{{{labels}}}") };
    if writeln!(text, "{name}{labels} {value}").is_err() {
        text.clear();
    }
}
