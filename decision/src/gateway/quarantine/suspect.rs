//! Compares the parts that may have caused crashes.

use std::collections::BTreeMap;

use super::Settings;
use super::crash::Crash;
use crate::gateway::prompt::Part;
use crate::prelude::*;

/// Crashes beyond the required ones after which one of several parts with as many crashes is
/// quarantined. Of parts that always come together, the last one is at once: those before it are
/// shared by more requests.
const MAX_EXTRA_CRASHES: usize = 2;

/// A part with the crashes that it may have caused and that nothing else explains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Suspect {
    pub(super) part: Part,
    /// Times of the crashes, in their order.
    times: Vec<Time>,
    /// Those of them that were the first one of a request with the part.
    first_times: Vec<Time>,
    /// Position of the part in its prompts.
    position: u8,
}

impl Suspect {
    fn new(part: Part) -> Suspect {
        Suspect { part, times: Vec::new(), first_times: Vec::new(), position: 0 }
    }

    /// Returns the number of crashes, where replicas that crash together count once.
    pub(super) fn crashes(&self, settings: &Settings) -> usize {
        count_apart(&self.times, settings.min_gap)
    }

    /// Returns whether this part always came with `later`, and before it in the prompts.
    fn precedes(&self, later: &Suspect) -> bool {
        self.position < later.position && self.times == later.times
    }
}

/// Returns the part to quarantine: the one with the most crashes, once there are enough of them.
pub(super) fn prime<'a>(
    crashes: impl Iterator<Item = &'a Crash>,
    settings: &Settings,
) -> Option<Suspect> {
    let suspects = suspects(crashes);
    let most = suspects.iter().map(|it| it.crashes(settings)).max()?;
    let has_most = |it: &&Suspect| it.crashes(settings) == most;
    let leaders: Vec<&Suspect> = suspects.iter().filter(has_most).collect();
    let prime = *leaders.iter().max_by_key(|it| (it.position, it.part))?;
    let is_alone = leaders.iter().all(|it| *it == prime || it.precedes(prime));
    let required = settings.min_crashes + if is_alone { 0 } else { MAX_EXTRA_CRASHES };
    let requests = count_apart(&prime.first_times, settings.min_gap);
    (most >= required && requests >= settings.min_crashes).then(|| prime.clone())
}

/// Collects the suspects of all crashes that no quarantined part explains.
fn suspects<'a>(crashes: impl Iterator<Item = &'a Crash>) -> Vec<Suspect> {
    let mut crashes: Vec<&Crash> = crashes.filter(|it| !it.is_explained).collect();
    crashes.sort_by_key(|it| it.at);
    let mut suspects: BTreeMap<Part, Suspect> = BTreeMap::new();
    for crash in crashes {
        for (part, suspicion) in &crash.suspects {
            let suspect = suspects.entry(*part).or_insert_with(|| Suspect::new(*part));
            suspect.times.push(crash.at);
            suspect.first_times.extend(suspicion.is_first.then_some(crash.at));
            suspect.position = suspicion.position.max(suspect.position);
        }
    }
    suspects.into_values().collect()
}

/// Counts the times, in their order, that are at least `gap` after the last one that was counted.
fn count_apart(times: &[Time], gap: Duration) -> usize {
    let mut last: Option<Time> = None;
    let mut count = 0;
    for time in times {
        if last.is_none_or(|it| time.since(it) >= gap) {
            last = Some(*time);
            count += 1;
        }
    }
    count
}
