//! Decides which parts of prompts are no longer sent to replicas, since each replica that begins to
//! write an answer on them crashes.
//!
//! Any part of any request that a replica ran may have crashed it. Entries exchange what they know
//! as [`Evidence`], which may be merged in any order and any number of times:
//!
//! - A crash makes suspects of the parts of all requests that the replica had begun to run or might
//!   have, at all entries. A crash that a quarantined part explains makes no others suspect.
//! - A request that is answered clears its parts of all crashes before.
//! - A part that stands in enough crashes, more than any other, is quarantined.

mod crash;
mod evidence;
mod suspect;

use std::collections::{BTreeMap, HashMap};

pub use self::crash::Suspicion;
use self::crash::{Clearance, Crash};
pub use self::evidence::{Evidence, Report};
use super::prompt::Part;
use crate::prelude::*;

/// Most crashes that are kept; the oldest one goes first.
const MAX_CRASHES: usize = 64;

/// Time for which a target that answered a check is not checked again.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Most parts whose last survival is kept.
const MAX_SURVIVALS: usize = 4_096;

/// Time for which peers are told that a part was survived. One that suspects it later is told again
/// when it says so.
const CLEARED_RETENTION: Duration = Duration::from_secs(10);

/// Most parts of which peers are told that they were survived. The next request that is answered
/// clears others again.
const MAX_CLEARED: usize = 1_024;

/// Most parts that are quarantined at the same time.
pub const MAX_QUARANTINED: usize = 256;

/// Settings of the quarantine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Crashes after which a part is quarantined.
    pub min_crashes: usize,
    /// Crashes that follow within this time count as one, as replicas may fail together.
    pub min_gap: Duration,
    /// Time for which a replica writes on a part before the part counts as survived, though the
    /// answer is not complete.
    pub survival_time: Duration,
    /// Age of a crash at which it counts: by then, all entries have reported what cleared the parts.
    pub settle_time: Duration,
    /// Age of a crash at which it no longer counts.
    pub window: Duration,
    /// Time for which a part is quarantined.
    pub duration: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            min_crashes: 3,
            min_gap: Duration::from_millis(100),
            survival_time: Duration::from_secs(2),
            settle_time: Duration::from_millis(300),
            window: Duration::from_secs(120),
            duration: Duration::from_secs(600),
        }
    }
}

/// A part that is quarantined.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Verdict {
    /// The part.
    pub part: Part,
    /// Since when it is quarantined, as far as this entry knows.
    pub since: Time,
    /// Crashes that led to it, those at the same moment counted once; 0 if another entry or the
    /// store reported it.
    pub crashes: usize,
}

/// What one entry knows of crashes and of the parts that caused them.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    settings: Settings,
    /// Crashes by the tag of the target's start.
    crashes: BTreeMap<u32, Crash>,
    /// Targets that lost requests, and may have crashed.
    unconfirmed: BTreeMap<u32, Crash>,
    /// Targets that lost requests and answered a check, with the time of the last check.
    alive: BTreeMap<u32, Time>,
    /// When a request with the part was last answered.
    survivals: HashMap<Part, Time>,
    /// Parts that were suspected or quarantined until they were survived.
    cleared: BTreeMap<Part, Clearance>,
    verdicts: BTreeMap<Part, Verdict>,
    /// When the next crash has settled.
    judge_at: Option<Time>,
    /// Changes of what peers should know.
    version: u64,
}

impl Quarantine {
    /// Replaces the settings.
    pub fn set_settings(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Returns the number of changes so far of what peers should know.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the first part of a prompt that is quarantined.
    pub fn find(&self, prompt: &[Part]) -> Option<Part> {
        prompt.iter().copied().find(|it| self.verdicts.contains_key(it))
    }

    /// Returns the parts that are quarantined.
    pub fn verdicts(&self) -> impl Iterator<Item = &Verdict> {
        self.verdicts.values()
    }

    /// Records that `target` lost a request before the parts of `prompt` counted as survived.
    /// `is_first` tells whether the request was lost for the first time. Returns whether the target
    /// lost its first request, so that it has to be checked whether it crashed.
    pub fn record_loss(&mut self, now: Time, target: u32, prompt: &[Part], is_first: bool) -> bool {
        if prompt.is_empty() {
            return false;
        }
        let suspects = (0..=u8::MAX)
            .zip(prompt)
            .map(|(position, part)| (*part, Suspicion { position, is_first }));
        if self.crashes.contains_key(&target) {
            self.add_suspects(now, target, now, suspects);
            return false;
        }
        let is_checked =
            self.alive.get(&target).is_some_and(|it| now.since(*it) < MIN_CHECK_INTERVAL);
        if is_checked || self.unconfirmed.len() >= MAX_CRASHES {
            return false;
        }
        let is_unknown = !self.unconfirmed.contains_key(&target);
        let crash = self.unconfirmed.entry(target).or_insert_with(|| Crash::new(now, now));
        for (part, suspicion) in suspects {
            crash.insert(part, suspicion);
        }
        is_unknown
    }

    /// Records whether a target that lost requests crashed. Returns the number of suspected parts.
    pub fn record_check(&mut self, now: Time, target: u32, has_crashed: bool) -> usize {
        let Some(crash) = self.unconfirmed.remove(&target) else { return 0 };
        if !has_crashed {
            self.alive.retain(|_, it| now.since(*it) < MIN_CHECK_INTERVAL);
            self.alive.insert(target, now);
            return 0;
        }
        self.add_suspects(now, target, crash.at, crash.suspects.into_iter());
        self.crashes.get(&target).map_or(0, |it| it.suspects.len())
    }

    /// Records that a request with `prompt` was answered, or that the target has written on it for
    /// long enough. Returns the parts that leave the quarantine by that.
    pub fn record_survival(&mut self, now: Time, prompt: &[Part]) -> Vec<Part> {
        if self.survivals.len() + prompt.len() > MAX_SURVIVALS {
            self.drop_old_survivals();
        }
        prompt.iter().copied().filter(|it| self.clear(*it, now)).collect()
    }

    /// Records that a part was survived at `at`. Returns whether it leaves the quarantine.
    fn clear(&mut self, part: Part, at: Time) -> bool {
        let last = self.survivals.entry(part).or_insert(at);
        *last = at.max(*last);
        let mut was_suspect = false;
        for crash in self.crashes.values_mut().filter(|it| it.at < at) {
            was_suspect |= crash.suspects.remove(&part).is_some();
        }
        let is_released = self.verdicts.get(&part).is_some_and(|it| it.since < at);
        if is_released {
            self.verdicts.remove(&part);
        }
        if was_suspect || is_released {
            self.note_cleared(part, at, at);
            // Another part may stand out now.
            self.judge_at = Some(self.judge_at.map_or(at, |it| it.min(at)));
        }
        is_released
    }

    /// Lets peers know that a part was survived.
    fn note_cleared(&mut self, part: Part, survived_at: Time, noted_at: Time) {
        self.version += 1;
        if self.cleared.len() < MAX_CLEARED || self.cleared.contains_key(&part) {
            let version = self.version;
            self.cleared.insert(part, Clearance { survived_at, noted_at, version });
        }
    }

    /// Keeps the later half of the survivals.
    fn drop_old_survivals(&mut self) {
        let mut times: Vec<Time> = self.survivals.values().copied().collect();
        let (_, median, _) = times.select_nth_unstable(MAX_SURVIVALS / 2);
        let median = *median;
        self.survivals.retain(|_, it| *it > median);
    }

    /// Quarantines a part that the store lists, or that a peer has quarantined since `since`.
    /// Returns whether that is new.
    pub fn adopt(&mut self, now: Time, part: Part, since: Time) -> bool {
        let is_cleared = self.survivals.get(&part).is_some_and(|it| *it >= since);
        if is_cleared || now.since(since) >= self.settings.duration {
            return false;
        }
        if let Some(verdict) = self.verdicts.get_mut(&part) {
            verdict.since = verdict.since.min(since);
            return false;
        }
        self.quarantine(Verdict { part, since, crashes: 0 })
    }

    /// Returns false if there is no room for `verdict`.
    fn quarantine(&mut self, verdict: Verdict) -> bool {
        if self.verdicts.len() >= MAX_QUARANTINED {
            return false;
        }
        self.verdicts.insert(verdict.part, verdict);
        let verdicts = &self.verdicts;
        self.crashes.values_mut().for_each(|it| it.explain(|part| verdicts.contains_key(&part)));
        self.version += 1;
        true
    }

    /// Releases a part that an operator removed from the store, at all entries.
    pub fn lift(&mut self, now: Time, part: Part) -> bool {
        self.clear(part, now)
    }

    /// Drops what is too old, and returns the parts whose quarantine is over.
    pub fn expire(&mut self, now: Time) -> Vec<Part> {
        let Settings { window, duration, .. } = self.settings;
        self.crashes.retain(|_, it| now.since(it.at) < window);
        self.unconfirmed.retain(|_, it| now.since(it.at) < window);
        self.cleared.retain(|_, it| now.since(it.noted_at) < CLEARED_RETENTION);
        let lapsed = self.verdicts.values().filter(|it| now.since(it.since) >= duration);
        let lapsed: Vec<Part> = lapsed.map(|it| it.part).collect();
        for part in &lapsed {
            self.verdicts.remove(part);
        }
        lapsed
    }

    /// Quarantines the parts that have crashed enough replicas, once the crashes have settled.
    /// Returns them.
    pub fn judge(&mut self, now: Time) -> Vec<Verdict> {
        let mut new = Vec::new();
        if self.judge_at.is_none_or(|it| now < it) {
            return new;
        }
        self.judge_at = None;
        let settings = self.settings;
        let has_settled = |it: &&Crash| now.since(it.known_at) >= settings.settle_time;
        while let Some(suspect) =
            suspect::prime(self.crashes.values().filter(has_settled), &settings)
        {
            let crashes = suspect.crashes(&settings);
            let verdict = Verdict { part: suspect.part, since: now, crashes };
            if !self.quarantine(verdict) {
                break;
            }
            new.push(verdict);
        }
        let unsettled = self.crashes.values().map(|it| it.known_at + self.settings.settle_time);
        self.judge_at = unsettled.filter(|it| *it > now).min();
        new
    }

    /// Adds those of `suspects` to the crash of `target` at `at` that are neither cleared nor
    /// made up for by a quarantined part.
    fn add_suspects(
        &mut self,
        now: Time,
        target: u32,
        at: Time,
        suspects: impl Iterator<Item = (Part, Suspicion)>,
    ) {
        let crash = self.crashes.entry(target).or_insert_with(|| Crash::new(at, now));
        let mut has_new = false;
        let mut cleared = Vec::new();
        for (part, suspicion) in suspects {
            if let Some(survived_at) = self.survivals.get(&part).filter(|it| **it > crash.at) {
                cleared.push((part, *survived_at));
            } else if !crash.is_explained || self.verdicts.contains_key(&part) {
                has_new |= crash.insert(part, suspicion);
            }
        }
        if has_new {
            self.version += 1;
            crash.version = self.version;
            crash.known_at = now;
            crash.explain(|part| self.verdicts.contains_key(&part));
            let settled_at = now + self.settings.settle_time;
            self.judge_at = Some(self.judge_at.map_or(settled_at, |it| it.min(settled_at)));
        }
        for (part, survived_at) in cleared {
            if !self.cleared.contains_key(&part) {
                self.note_cleared(part, survived_at, now);
            }
        }
        self.drop_oldest_crash();
    }

    fn drop_oldest_crash(&mut self) {
        if self.crashes.len() <= MAX_CRASHES {
            return;
        }
        let oldest = self.crashes.iter().min_by_key(|(_, it)| it.at).map(|(tag, _)| *tag);
        if let Some(oldest) = oldest {
            self.crashes.remove(&oldest);
        }
    }
}
