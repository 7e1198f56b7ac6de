//! This entry's share of the slack of all retry budgets. The shares of all entries, and of their
//! earlier starts, add up to the slack within any window.

use std::collections::VecDeque;

use crate::prelude::*;

/// Share of one start of an entry, by the list of entries that it knows.
///
/// An entry that has just started can't know what its earlier start has spent, and one that the
/// others don't list isn't counted by them: both have no share, until a window has passed.
#[derive(Clone, Debug)]
pub struct Share {
    /// Whether all entries start for the first time, so that none has an earlier start.
    is_first_start: bool,
    /// When what this entry knows of the store was last up to date. Absent before the first time.
    confirmed_at: Option<Time>,
    /// When the share begins. Absent until this entry was listed.
    begins_at: Option<Time>,
    /// Since when the list lacks this entry.
    unlisted_since: Option<Time>,
    /// Lengths of the current list, last, and of earlier longer ones.
    lengths: VecDeque<Length>,
}

/// Length of a list of entries.
#[derive(Clone, Copy, Debug)]
struct Length {
    entries: usize,
    /// When a shorter list replaced it. Absent for the current list.
    replaced_at: Option<Time>,
}

impl Share {
    /// Returns the share of an entry that knows no list yet. `is_first_start` is set when all
    /// entries start for the first time.
    pub fn new(is_first_start: bool) -> Share {
        Share {
            is_first_start,
            confirmed_at: None,
            begins_at: None,
            unlisted_since: None,
            lengths: VecDeque::new(),
        }
    }

    /// Records a list of `entries`, and whether it names this one. `window` is that of the budgets.
    pub fn record_list(&mut self, now: Time, window: Duration, entries: usize, is_listed: bool) {
        self.record_length(now, window, entries);
        if !is_listed {
            self.unlisted_since.get_or_insert(now);
            return;
        }
        let absence = self.unlisted_since.take().map(|it| now.since(it));
        match self.begins_at {
            None if self.is_first_start => self.begins_at = Some(now),
            None => self.begins_at = Some(now + window),
            // The others no longer count an entry that was missing for a window.
            Some(_) if absence.is_some_and(|it| it >= window) => {
                self.begins_at = Some(now + window);
            }
            Some(_) => {}
        }
    }

    /// Records that what this entry knows of the store was up to date at `confirmed_at`.
    pub fn record_confirmation(&mut self, confirmed_at: Option<Time>) {
        self.confirmed_at = self.confirmed_at.max(confirmed_at);
    }

    /// Returns the share, from 0 to 1.
    pub fn fraction(&self, now: Time, window: Duration) -> f64 {
        let has_begun = self.begins_at.is_some_and(|it| now >= it);
        let is_listed = self.unlisted_since.is_none();
        // The others count this entry for a window after it was last listed.
        let is_fresh = self.confirmed_at.is_some_and(|it| now.since(it) < window);
        if !(has_begun && is_listed && is_fresh) {
            return 0.0;
        }
        1.0 / self.entries(now, window).max(1) as f64
    }

    /// Returns the largest number of entries that were listed at the same time within the last
    /// window. Entries that are gone may have spent their share in it.
    pub fn entries(&self, now: Time, window: Duration) -> usize {
        let recent = self.lengths.iter().filter(|it| it.is_recent(now, window));
        recent.map(|it| it.entries).max().unwrap_or(0)
    }

    fn record_length(&mut self, now: Time, window: Duration, entries: usize) {
        if let Some(current) = self.lengths.back_mut() {
            current.replaced_at.get_or_insert(now);
        }
        self.lengths.retain(|it| it.entries > entries && it.is_recent(now, window));
        self.lengths.push_back(Length { entries, replaced_at: None });
    }
}

impl Length {
    fn is_recent(&self, now: Time, window: Duration) -> bool {
        self.replaced_at.is_none_or(|it| now.since(it) < window)
    }
}
