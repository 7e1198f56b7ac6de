//! Decides with which peers an entry exchanges the load that it has in progress.
//!
//! Up to [`Settings::max_mesh_entries`] entries all send to each other. With more, the entries of a
//! failure domain send to one of them, their hub, and receive from it the total load of all other
//! entries; hubs send each other the totals of their failure domains. So an entry sends to one peer
//! and receives from one, however many entries there are. The traffic of a hub grows with the
//! entries of its failure domain until [`Settings::round_interval`] exceeds its minimum; from there
//! on, the hub sends less often instead.

use std::cmp::Reverse;
use std::collections::HashMap;

use crate::prelude::*;

/// Sizes and times of the exchange between entries.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Largest number of entries that all send to each other, without hubs.
    pub max_mesh_entries: usize,
    /// Time after which an entry that was sent something and hasn't answered is suspect, so that it
    /// can't be a hub.
    pub silence_timeout: Duration,
    /// Time for which an entry stays suspect before it is tried again, at first. It doubles with each
    /// try in vain.
    pub suspect_time: Duration,
    /// Longest time for which an entry stays suspect.
    pub max_suspect_time: Duration,
    /// Age of the load that an entry receives directly from the entry that it belongs to.
    pub direct_lag: Duration,
    /// Shortest interval between two rounds of a hub.
    pub min_round_interval: Duration,
    /// Time that each entry that a hub sends to adds to the interval, once the sum exceeds the
    /// shortest interval.
    pub interval_per_entry: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            max_mesh_entries: 13,
            silence_timeout: Duration::from_millis(500),
            suspect_time: Duration::from_secs(2),
            max_suspect_time: Duration::from_secs(64),
            direct_lag: Duration::from_millis(40),
            min_round_interval: Duration::from_millis(75),
            interval_per_entry: Duration::from_millis(2),
        }
    }
}

impl Settings {
    /// Returns whether so many `entries` exchange their load through hubs.
    pub fn has_hubs(&self, entries: usize) -> bool {
        entries > self.max_mesh_entries
    }

    /// Returns the average age of what entries know of each other's load: the time to send it, add
    /// it up at the hubs and send it on.
    pub fn lag(&self, entries: usize, domains: usize) -> Duration {
        if !self.has_hubs(entries) {
            return self.direct_lag;
        }
        let interval = self.round_interval(entries / domains.max(1));
        self.direct_lag + if domains > 1 { interval * 2 } else { interval }
    }

    /// Returns the interval between two rounds of a hub that sends to `entries`.
    pub fn round_interval(&self, entries: usize) -> Duration {
        let entries = u32::try_from(entries).unwrap_or(u32::MAX);
        self.min_round_interval.max(self.interval_per_entry.saturating_mul(entries))
    }
}

/// Position of an entry in the order in which entries take on work for others: those with the
/// highest CPU limit first, then by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank<'a> {
    millicores: Reverse<u32>,
    name: &'a str,
}

impl<'a> Rank<'a> {
    /// Returns the rank of the entry called `name` with a CPU limit of `millicores`.
    pub fn new(name: &'a str, millicores: u32) -> Rank<'a> {
        Rank { millicores: Reverse(millicores), name }
    }

    /// Returns the entry's name.
    pub fn name(&self) -> &'a str {
        self.name
    }
}

/// Tracks which entries don't answer.
#[derive(Debug, Default)]
pub struct Liveness {
    /// When the first message was sent to an entry that hasn't answered since.
    unanswered: HashMap<String, Time>,
    /// Entries that didn't answer the last time that they were tried.
    suspicions: HashMap<String, Suspicion>,
}

/// An entry that doesn't answer.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    /// Until when it isn't tried again.
    until: Time,
    /// Time between the last two tries.
    delay: Duration,
}

impl Liveness {
    /// Records that a message was sent to an entry.
    pub fn record_sent(&mut self, now: Time, name: &str) {
        if !self.unanswered.contains_key(name) {
            self.unanswered.insert(name.to_owned(), now);
        }
    }

    /// Records that a message was received from an entry.
    pub fn record_received(&mut self, name: &str) {
        self.unanswered.remove(name);
        self.suspicions.remove(name);
    }

    /// Records that a peer hears an entry. If the entry is suspect, it is tried again as soon as one
    /// that has just become suspect.
    pub fn record_reported(&mut self, now: Time, name: &str, settings: &Settings) {
        let Some(suspicion) = self.suspicions.get_mut(name) else { return };
        suspicion.delay = suspicion.delay.min(settings.suspect_time);
        suspicion.until = suspicion.until.min(now + settings.suspect_time);
    }

    /// Returns whether an entry doesn't answer, so that another one takes its place as hub.
    pub fn is_silent(&mut self, now: Time, name: &str, settings: &Settings) -> bool {
        let is_overdue = |sent: &Time| now.since(*sent) >= settings.silence_timeout;
        if self.unanswered.get(name).is_some_and(is_overdue) {
            self.unanswered.remove(name);
            self.suspect(now, name, settings);
        }
        self.suspicions.get(name).is_some_and(|it| now < it.until)
    }

    /// Suspects an entry, for twice as long as the last time. Forgets entries that were not tried
    /// for a long time.
    fn suspect(&mut self, now: Time, name: &str, settings: &Settings) {
        self.suspicions.retain(|_, it| now < it.until + settings.max_suspect_time);
        let last = self.suspicions.get(name).map(|it| it.delay);
        let delay = last.map_or(settings.suspect_time, |it| it * 2).min(settings.max_suspect_time);
        self.suspicions.insert(name.to_owned(), Suspicion { until: now + delay, delay });
    }
}

/// Returns the names of the first two entries by rank that may be hubs, the hub first. `own` is
/// always eligible, since an entry sends nothing to itself.
pub fn hubs<'a>(
    now: Time,
    own: &str,
    entries: impl IntoIterator<Item = Rank<'a>>,
    liveness: &mut Liveness,
    settings: &Settings,
) -> Vec<&'a str> {
    let mut ranks: Vec<Rank<'a>> = entries.into_iter().collect();
    ranks.sort_unstable();
    let names = ranks.iter().map(Rank::name);
    let responsive = names.filter(|it| *it == own || !liveness.is_silent(now, it, settings));
    responsive.take(2).collect()
}
