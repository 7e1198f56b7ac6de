//! Whom an entry tells what it has in progress.
//!
//! A few entries all tell each other. Of many, those of one failure domain tell one of them, their
//! hub, and hear from it what all the others have in progress together; hubs tell each other the
//! sums of their failure domains. So an entry tells one and hears from one, however many there are.
//! What a hub sends and hears grows with the entries of its failure domain up to
//! [`Settings::round_interval`], and from there on it speaks less often instead.

use std::cmp::Reverse;
use std::collections::HashMap;

use crate::prelude::*;

/// How entries tell each other.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Entries that all tell each other.
    pub max_mesh_entries: usize,
    /// Time after which an entry that was told something, and says nothing, is no hub.
    pub silence_timeout: Duration,
    /// Time for which such an entry is not told anything.
    pub suspect_time: Duration,
    /// Age of what an entry is told by another one itself.
    pub direct_lag: Duration,
    /// Shortest pause between two rounds of a hub.
    pub min_round_interval: Duration,
    /// Part of that pause for each entry that a hub tells.
    pub interval_per_entry: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            max_mesh_entries: 13,
            silence_timeout: Duration::from_millis(500),
            suspect_time: Duration::from_secs(2),
            direct_lag: Duration::from_millis(40),
            min_round_interval: Duration::from_millis(75),
            interval_per_entry: Duration::from_millis(2),
        }
    }
}

impl Settings {
    /// Whether `entries` are so many that hubs stand between them.
    pub fn has_hubs(&self, entries: usize) -> bool {
        entries > self.max_mesh_entries
    }

    /// Age of what entries know of each other's work, on average: as long as it takes to be told,
    /// added up, and told on.
    pub fn lag(&self, entries: usize, domains: usize) -> Duration {
        if !self.has_hubs(entries) {
            return self.direct_lag;
        }
        let pause = self.round_interval(entries / domains.max(1));
        self.direct_lag + if domains > 1 { pause * 2 } else { pause }
    }

    /// Pause between two rounds of a hub that tells `entries`.
    pub fn round_interval(&self, entries: usize) -> Duration {
        let entries = u32::try_from(entries).unwrap_or(u32::MAX);
        self.min_round_interval.max(self.interval_per_entry.saturating_mul(entries))
    }
}

/// An entry in the order in which entries take on work for others: the strongest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank<'a> {
    millicores: Reverse<u32>,
    name: &'a str,
}

impl<'a> Rank<'a> {
    /// The rank of the entry called `name`, with so many thousandths of a core.
    pub fn new(name: &'a str, millicores: u32) -> Rank<'a> {
        Rank { millicores: Reverse(millicores), name }
    }

    /// The entry's name.
    pub fn name(&self) -> &'a str {
        self.name
    }
}

/// Entries that don't answer.
#[derive(Debug, Default)]
pub struct Liveness {
    /// Since when the entry was told something without a word from it.
    told: HashMap<String, Time>,
    doubted: HashMap<String, Time>,
}

impl Liveness {
    /// Notes that an entry was told something.
    pub fn record_sent(&mut self, now: Time, name: &str) {
        if !self.told.contains_key(name) {
            self.told.insert(name.to_owned(), now);
        }
    }

    /// Notes that an entry was heard.
    pub fn record_received(&mut self, name: &str) {
        self.told.remove(name);
        self.doubted.remove(name);
    }

    /// Whether an entry is silent, so that another one takes its place.
    pub fn is_silent(&mut self, now: Time, name: &str, settings: &Settings) -> bool {
        self.doubted.retain(|_, until| now < *until);
        let silent = |told: &Time| now.since(*told) >= settings.silence_timeout;
        if self.told.get(name).is_some_and(silent) {
            self.told.remove(name);
            self.doubted.insert(name.to_owned(), now + settings.suspect_time);
        }
        self.doubted.contains_key(name)
    }
}

/// The first two of the entries, by rank, that may be hubs. An entry is not silent to itself.
pub fn hubs<'a>(
    now: Time,
    own: &str,
    entries: impl IntoIterator<Item = Rank<'a>>,
    silence: &mut Liveness,
    settings: &Settings,
) -> Vec<&'a str> {
    let mut ranks: Vec<Rank<'a>> = entries.into_iter().collect();
    ranks.sort_unstable();
    let names = ranks.iter().map(Rank::name);
    let speak = names.filter(|it| *it == own || !silence.is_silent(now, it, settings));
    speak.take(2).collect()
}
