//! Admission: whether a target has capacity for a request.
//!
//! A request is admitted where its first token is expected in time. One that can't be in time at
//! any target, and may still be of use, is admitted where it makes no other request late. The last
//! slots of each target are reserved for more urgent requests, as long as there are any.

use crate::prelude::*;

/// Last rank that is counted separately. Less urgent ones count as this one.
const LOWEST_RANK: usize = 9;

/// Upper bound of the share of a target's slots reserved for more urgent ranks.
const MAX_RESERVED_SHARE: f64 = 0.5;

/// How the capacity of targets is shared between requests.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Share of a target's slots that is reserved for each more urgent rank.
    pub reserved_share: f64,
    /// Share of a target's slots beyond which requests that can't be in time aren't admitted.
    pub late_share: f64,
    /// Requests of all entries that may wait at a target beyond its slots, if they can still be in
    /// time. Not to be confused with the backlog of an entry.
    pub backlog: u32,
    /// Time after its last request for which a rank counts as requested.
    pub rank_ttl: Duration,
    /// Time on the network between a caller and an entry, both ways, with a new connection. It
    /// counts towards the objective, and the entry can't observe it.
    pub network_time: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            reserved_share: 0.06,
            late_share: 0.6,
            backlog: 2,
            rank_ttl: Duration::from_secs(3),
            network_time: Duration::from_millis(12),
        }
    }
}

/// When each rank was last requested, for one model.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ranks {
    last_requests: [Option<Time>; LOWEST_RANK + 1],
}

impl Ranks {
    /// Records a request of `rank`; 0 is the most urgent.
    pub fn record(&mut self, now: Time, rank: u8) {
        self.last_requests[usize::from(rank).min(LOWEST_RANK)] = Some(now);
    }

    /// Returns how many ranks more urgent than `rank` were requested within the last
    /// [`Settings::rank_ttl`].
    pub fn more_urgent(&self, now: Time, rank: u8, settings: &Settings) -> u32 {
        let ranks = &self.last_requests[..usize::from(rank).min(LOWEST_RANK)];
        let is_recent = |it: &&Option<Time>| it.is_some_and(|at| now.since(at) < settings.rank_ttl);
        u32::try_from(ranks.iter().filter(is_recent).count()).unwrap_or(u32::MAX)
    }
}

/// Expected result of sending a request to a target, as far as admission depends on it.
#[derive(Clone, Copy, Debug)]
pub struct Prospect {
    /// Expected time to the first token, in milliseconds.
    pub first_token_ms: f64,
    /// Time until the first token is late, in milliseconds.
    pub remaining_ms: f64,
    /// Requests of all entries in progress there, this one included.
    pub running: u32,
    /// Largest number of requests that the target runs at once.
    pub slots: u32,
    /// Whether the gaps between events of its stream would be too long.
    pub is_slow: bool,
    /// Whether prefill of its prompt would stall the streams of others for too long.
    pub is_stalling: bool,
}

/// Capacity of a target for a request, with the number of such requests that it could take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Capacity {
    /// The request can be in time.
    InTime(f64),
    /// The request would be late, but makes no other request late.
    Late(f64),
    /// The target has no capacity for the request.
    None,
}

/// Requests that all entries together place within the reporting lag, before they know of each
/// other's.
#[derive(Clone, Copy, Debug)]
pub struct Contention {
    /// Requests that arrive within the reporting lag, for all targets together.
    pub arrivals: f64,
    /// Targets that these requests are spread over.
    pub targets: usize,
}

impl Contention {
    /// Returns how many targets, up to `max`, to compare for one request. If many requests arrive
    /// per target, entries that compare many targets by the same outdated loads all choose the same
    /// one.
    pub fn sample_size(&self, max: usize) -> usize {
        let arrivals_per_target = self.arrivals / self.targets.max(1) as f64;
        match arrivals_per_target {
            it if it < 0.5 => max,
            it if it < 2.0 => max.min(2),
            _ => 1,
        }
    }

    /// Returns whether a request with the random number `draw` (from 0 to 1) is among the
    /// `free_slots` ones that are admitted. Without this limit, all entries would send all their
    /// requests to the few targets that seem to have capacity.
    pub fn admits(&self, free_slots: f64, draw: f64) -> bool {
        free_slots >= self.arrivals || draw * self.arrivals < free_slots
    }
}

/// Returns the capacity that a target has for a request, while `more_urgent` ranks that are more
/// urgent than the request's are requested.
pub fn capacity(prospect: &Prospect, more_urgent: u32, settings: &Settings) -> Capacity {
    let Prospect { first_token_ms, remaining_ms, running, slots, is_slow, is_stalling } = *prospect;
    let slots = f64::from(slots.max(1));
    let reserved = (settings.reserved_share * f64::from(more_urgent)).min(MAX_RESERVED_SHARE);
    let backlog = if more_urgent == 0 { f64::from(settings.backlog) } else { 0.0 };
    let is_in_time = first_token_ms <= remaining_ms && !is_slow;
    let limit =
        if is_in_time { slots * (1.0 - reserved) + backlog } else { slots * settings.late_share };
    let free_slots = limit.max(1.0) - f64::from(running) + 1.0;
    match (free_slots >= 1.0 && !is_stalling, is_in_time) {
        (false, _) => Capacity::None,
        (true, true) => Capacity::InTime(free_slots),
        (true, false) => Capacity::Late(free_slots),
    }
}
