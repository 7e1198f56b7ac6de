//! A budget of repeats that holds over all entries together: each keeps to its own part.

use std::collections::VecDeque;

use crate::prelude::*;

/// Parts that a window is counted in.
const PARTS: u32 = 20;

/// How many repeats are allowed.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Repeats allowed for each request within a window.
    pub ratio: f64,
    /// Length of the window.
    pub window: Duration,
    /// Repeats allowed besides, over all entries.
    pub slack: f64,
}

/// Counts one service's requests and repeats at one entry.
#[derive(Clone, Debug)]
pub struct Budget {
    settings: Settings,
    parts: VecDeque<Part>,
}

#[derive(Clone, Copy, Debug)]
struct Part {
    begin: Time,
    requests: u32,
    repeats: u32,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { ratio: 0.2, window: Duration::from_secs(10), slack: 100.0 }
    }
}

impl Budget {
    /// An empty window.
    pub fn new(settings: Settings) -> Budget {
        Budget { settings, parts: VecDeque::new() }
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: Time) {
        self.part(now).requests += 1;
    }

    /// Whether this entry's part has a repeat left. The slack is split over `entries`.
    pub fn has_room(&mut self, now: Time, entries: usize) -> bool {
        self.part(now);
        let requests: u32 = self.parts.iter().map(|it| it.requests).sum();
        let repeats: u32 = self.parts.iter().map(|it| it.repeats).sum();
        let slack = self.settings.slack / entries.max(1) as f64;
        let allowed = self.settings.ratio * f64::from(requests) + slack;
        f64::from(repeats) + 1.0 <= allowed
    }

    /// Counts a repeat that is sent.
    pub fn record_retry(&mut self, now: Time) {
        self.part(now).repeats += 1;
    }

    /// The part of the window that `now` falls into. Older parts than the window go.
    fn part(&mut self, now: Time) -> &mut Part {
        let window = self.settings.window;
        let length = window / PARTS;
        while self.parts.front().is_some_and(|it| now.since(it.begin) > window + length) {
            self.parts.pop_front();
        }
        if self.parts.back().is_none_or(|it| now.since(it.begin) >= length) {
            self.parts.push_back(Part { begin: now, requests: 0, repeats: 0 });
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }
}
