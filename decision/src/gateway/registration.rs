//! Decides which registrations of entries that are gone are removed from the store.
//!
//! In each failure domain one entry decides: the one that would be its hub, which hears all living
//! ones. An entry that lives and was only cut off from it registers itself again.

use std::collections::HashMap;
use std::sync::Arc;

use crate::prelude::*;

/// Times and sizes of the removal.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time for which an entry must not have been heard before its registration is removed. It
    /// exceeds a restart and the outages after which entries come back by themselves.
    pub absence: Duration,
    /// Largest number of registrations that are removed at a time.
    pub max_removals: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { absence: Duration::from_secs(60), max_removals: 4 }
    }
}

/// Tracks the entries of a failure domain that are registered and not heard.
#[derive(Debug, Default)]
pub struct Absences {
    /// Since when an entry has not been heard.
    since: HashMap<Arc<str>, Time>,
}

impl Absences {
    /// Forgets what was tracked: this entry doesn't hear the others, or another one decides.
    pub fn clear(&mut self) {
        self.since.clear();
    }

    /// Returns the entries of those `registered` whose registrations are to be removed, the longest
    /// absent first. `is_heard` tells whether an entry is heard now.
    pub fn lapsed(
        &mut self,
        now: Time,
        registered: impl IntoIterator<Item = Arc<str>>,
        is_heard: impl Fn(&str) -> bool,
        settings: &Settings,
    ) -> Vec<Arc<str>> {
        let absent = registered.into_iter().filter(|it| !is_heard(it));
        self.since = absent
            .map(|name| {
                let since = self.since.get(&name).copied().unwrap_or(now);
                (name, since)
            })
            .collect();
        let is_over = |since: &Time| now.since(*since) >= settings.absence;
        let mut lapsed: Vec<(Time, Arc<str>)> = self
            .since
            .iter()
            .filter(|(_, since)| is_over(since))
            .map(|(name, since)| (*since, name.clone()))
            .collect();
        lapsed.sort_unstable();
        lapsed.truncate(settings.max_removals);
        lapsed.into_iter().map(|(_, name)| name).collect()
    }
}
