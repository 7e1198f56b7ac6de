//! Counters and histograms of one entry, as text.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Upper bounds of the histograms' buckets, in seconds.
const BUCKETS: [f64; 9] = [0.01, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4];

/// Most series of one name, so that names from outside can't grow it.
const MAX_SERIES: usize = 256;

/// Counters and histograms.
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
    counts: [u64; BUCKETS.len()],
    count: u64,
    sum: f64,
}

impl Metrics {
    /// Counts one of `name` with `labels`, written as in the text format.
    pub(crate) fn count(&self, name: &'static str, labels: &str) {
        let mut state = self.state();
        let room = state.counters.len() < MAX_SERIES;
        let key = (name, if room { labels.to_owned() } else { String::new() });
        *state.counters.entry(key).or_default() += 1;
    }

    /// Adds a duration to the histogram `name` with `labels`.
    pub(crate) fn time(&self, name: &'static str, labels: &str, time: Duration) {
        let mut state = self.state();
        let room = state.histograms.len() < MAX_SERIES;
        let key = (name, if room { labels.to_owned() } else { String::new() });
        let histogram = state.histograms.entry(key).or_default();
        let seconds = time.as_secs_f64();
        for (count, bound) in histogram.counts.iter_mut().zip(BUCKETS) {
            *count += u64::from(seconds <= bound);
        }
        histogram.count += 1;
        histogram.sum += seconds;
    }

    /// All of them in the Prometheus text format, with `gauges` added.
    pub(crate) fn text(&self, gauges: &[(&'static str, f64)]) -> String {
        let state = self.state();
        let mut text = String::new();
        for ((name, labels), count) in &state.counters {
            line(&mut text, name, labels, *count as f64);
        }
        for ((name, labels), histogram) in &state.histograms {
            let separator = if labels.is_empty() { "" } else { "," };
            for (count, bound) in histogram.counts.iter().zip(BUCKETS) {
                let labels = format!("{labels}{separator}le=\"{bound}\"");
                line(&mut text, &format!("{name}_bucket"), &labels, *count as f64);
            }
            let all = format!("{labels}{separator}le=\"+Inf\"");
            line(&mut text, &format!("{name}_bucket"), &all, histogram.count as f64);
            line(&mut text, &format!("{name}_sum"), labels, histogram.sum);
            line(&mut text, &format!("{name}_count"), labels, histogram.count as f64);
        }
        for (name, value) in gauges {
            line(&mut text, name, "", *value);
        }
        text
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn line(text: &mut String, name: &str, labels: &str, value: f64) {
    let labels = if labels.is_empty() { String::new() } else { format!("{{{labels}}}") };
    if writeln!(text, "{name}{labels} {value}").is_err() {
        text.clear();
    }
}
