//! Whether a target has room for a request, by what its callers need.
//!
//! A request is taken where its first token comes in time. One that can't be in time anywhere, and
//! may still be of use, is taken where it makes nobody else late. The last slots of each target
//! are kept for the more urgent, as far as there are such requests.

use crate::prelude::*;

/// Lowest rank that is told apart. All behind it count as this one.
const LOWEST: usize = 9;

/// Part of a target's slots that are kept at most, however many more urgent ranks there are.
const MOST_KEPT: f64 = 0.5;

/// How room is shared.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Part of a target's slots that each more urgent rank has for itself.
    pub reserve: f64,
    /// Part of a target's slots beyond which nothing is taken that can't be in time.
    pub late: f64,
    /// Requests beyond a target's slots that may wait at it, over all entries, if they can be in
    /// time nevertheless.
    pub backlog: u32,
    /// Time for which a rank counts as asked for after its last request.
    pub asked: Duration,
    /// Time between a caller and an entry, both ways, with a new connection, that counts towards
    /// an objective and that the entry doesn't see.
    pub way: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            reserve: 0.06,
            late: 0.6,
            backlog: 2,
            asked: Duration::from_secs(3),
            way: Duration::from_millis(12),
        }
    }
}

/// The ranks that were asked for lately, for one model.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ranks {
    last: [Option<Time>; LOWEST + 1],
}

impl Ranks {
    /// Notes a request of this rank; 0 is the most urgent.
    pub fn record(&mut self, now: Time, rank: u8) {
        self.last[usize::from(rank).min(LOWEST)] = Some(now);
    }

    /// How many more urgent ranks were asked for lately.
    pub fn more_urgent(&self, now: Time, rank: u8, settings: &Settings) -> u32 {
        let above = &self.last[..usize::from(rank).min(LOWEST)];
        let lately = |it: &&Option<Time>| it.is_some_and(|at| now.since(at) < settings.asked);
        u32::try_from(above.iter().filter(lately).count()).unwrap_or(u32::MAX)
    }
}

/// What a target would do with a request.
#[derive(Clone, Copy, Debug)]
pub struct Prospect {
    /// Milliseconds to its first token.
    pub first_ms: f64,
    /// Milliseconds within which that is in time.
    pub left_ms: f64,
    /// Requests in progress, this one included.
    pub running: u32,
    /// Requests that the target runs at once.
    pub slots: u32,
    /// Whether its stream would be late for the pauses between its events.
    pub slow: bool,
    /// Whether reading its prompt would halt the streams of others for too long.
    pub halting: bool,
}

/// The room that a target has for a request and others like it: in how many places.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Capacity {
    /// It can be in time.
    InTime(f64),
    /// It can't, and makes nobody else late.
    Late(f64),
    /// None.
    None,
}

/// What all entries may do before any of them hears of it.
#[derive(Clone, Copy, Debug)]
pub struct Contention {
    /// Requests that arrive meanwhile, for all targets together.
    pub arrivals: f64,
    /// Targets that these are spread over.
    pub targets: usize,
}

impl Contention {
    /// How many targets are compared, of `most`. Entries that all compare many by the same old
    /// word all choose the same one.
    pub fn sample_size(&self, most: usize) -> usize {
        let each = self.arrivals / self.targets.max(1) as f64;
        match each {
            it if it < 0.5 => most,
            it if it < 2.0 => most.min(2),
            _ => 1,
        }
    }

    /// Whether a request with this draw is among those for which there are `places`. Without that,
    /// all entries would send all that they have to the few targets that seem to have room.
    pub fn admits(&self, places: f64, draw: f64) -> bool {
        places >= self.arrivals || draw * self.arrivals < places
    }
}

/// The room that a target has for a request below which `above` more urgent ranks are asked for.
pub fn capacity(prospect: &Prospect, above: u32, settings: &Settings) -> Capacity {
    let Prospect { first_ms, left_ms, running, slots, slow, halting } = *prospect;
    let slots = f64::from(slots.max(1));
    let kept = (settings.reserve * f64::from(above)).min(MOST_KEPT);
    let backlog = if above == 0 { f64::from(settings.backlog) } else { 0.0 };
    let in_time = first_ms <= left_ms && !slow;
    let limit = if in_time { slots * (1.0 - kept) + backlog } else { slots * settings.late };
    let places = limit.max(1.0) - f64::from(running) + 1.0;
    match (places >= 1.0 && !halting, in_time) {
        (false, _) => Capacity::None,
        (true, true) => Capacity::InTime(places),
        (true, false) => Capacity::Late(places),
    }
}
