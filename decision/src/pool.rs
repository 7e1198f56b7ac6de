//! The targets of one service, indexed by whether this entry may send to them.

use std::collections::HashMap;
use std::sync::Arc;

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::Rng;
use slotmap::{SecondaryMap, SlotMap};

use crate::declaration::{Profile, Repeat};
use crate::gate::Gate;
use crate::prefix;
use crate::prelude::*;
use crate::target::Target;
use crate::track::{Lane, Listed, Track};

slotmap::new_key_type! {
    /// Identifies a target within its service at this entry.
    pub struct TargetKey;
}

/// Picks tried before a random choice settles for a target that the retry would rather avoid.
const MAX_PICKS: usize = 8;

/// What a request needs of a target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Want<'a> {
    pub(crate) prompt: Prompt,
    pub(crate) prefix: &'a [u64],
    /// Failure domain of the attempt that failed before.
    pub(crate) avoid: Option<&'a Name>,
    pub(crate) spill: Spill,
}

/// Whether a long prompt may go to any target, as too many wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Spill {
    No,
    Yes,
}

/// Whether a prompt's prefill counts against the target's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Prompt {
    Short,
    Long(u32),
}

/// The targets of one service.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    pub(crate) tracks: SlotMap<TargetKey, Track>,
    pub(crate) prefix: prefix::Index,
    names: HashMap<Name, TargetKey>,
    sets: [Set; 6],
    /// Whether short prompts keep off the targets of long ones while others are free.
    pub(crate) isolation: Isolation,
    /// Whether some target is in a failure domain without a gate.
    pub(crate) elsewhere: bool,
}

/// Keys with insertion, removal and random access in constant time.
#[derive(Debug, Default)]
struct Set {
    keys: Vec<TargetKey>,
    at: SecondaryMap<TargetKey, u32>,
}

const NEAR: usize = 0;
const FAR: usize = 1;
const LONG: usize = 2;
const OPEN: usize = 4;
const LANE: usize = 5;

/// One target in so many takes the long prompts.
const LANE_PART: usize = 4;

/// Whether short prompts keep off the targets of long ones while others are free.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Isolation {
    #[default]
    Off,
    On,
}

impl Pool {
    /// The key of the target called `name`.
    pub(crate) fn key(&self, name: &Name) -> Option<TargetKey> {
        self.names.get(name).copied()
    }

    /// The key of a listed target, which is added if it was not known.
    pub(crate) fn put(&mut self, now: Time, target: &Arc<Target>) -> TargetKey {
        if let Some(key) = self.key(&target.name) {
            return key;
        }
        let key = self.tracks.insert(Track::new(now, target.clone()));
        self.names.insert(target.name.clone(), key);
        key
    }

    /// Removes a target that left the list and has nothing in progress.
    pub(crate) fn prune(&mut self, key: TargetKey) {
        if !self.tracks.get(key).is_some_and(Track::is_over) {
            return;
        }
        self.sets.iter_mut().for_each(|set| set.remove(key));
        if let Some(track) = self.tracks.remove(key) {
            self.names.remove(&track.target.name);
            self.prefix.forget(key);
        }
    }

    /// Chooses the targets that take the long prompts, equally at every entry.
    pub(crate) fn divide(&mut self) {
        let open = self.tracks.values().filter(|it| it.listed == Listed::Yes);
        let mut hashes: Vec<u64> = open.map(|it| it.hash).collect();
        hashes.sort_unstable();
        let last = hashes.len().div_ceil(LANE_PART).checked_sub(1);
        let bound = last.and_then(|it| hashes.get(it)).copied();
        for track in self.tracks.values_mut() {
            let long = bound.is_some_and(|bound| track.hash <= bound);
            track.lane = if long { Lane::Long } else { Lane::Short };
        }
    }

    /// Brings the index up to date with the state of one target.
    ///
    /// A target behind a closed `gate` is not free, unless all targets are behind gates.
    pub(crate) fn index(
        &mut self,
        now: Time,
        key: TargetKey,
        profile: &Profile,
        own: &Name,
        gate: Option<&Gate>,
    ) {
        let Some(track) = self.tracks.get(key) else { return };
        let repeats = profile.repeat == Repeat::Idempotent;
        let closed = gate.is_some_and(|it| !repeats || !it.admits(now)) && self.elsewhere;
        let free = track.is_free(now, profile) && !closed;
        let long = free && track.takes_long();
        let place = if track.target.failure_domain == *own { NEAR } else { FAR };
        self.sets[OPEN].set(key, track.is_open(now));
        let apart = track.lane == Lane::Long && self.isolation == Isolation::On;
        self.sets[place].set(key, free && !apart);
        self.sets[LANE].set(key, free && apart);
        self.sets[place + LONG].set(key, long);
    }

    /// Whether this entry has a free slot for any request.
    pub(crate) fn has_free(&self, prompt: Prompt) -> bool {
        let base = base(prompt);
        let lane = base == 0 && !self.sets[LANE].keys.is_empty();
        lane || !self.sets[base + NEAR].keys.is_empty() || !self.sets[base + FAR].keys.is_empty()
    }

    /// Whether some target takes new work.
    pub(crate) fn is_any_open(&self) -> bool {
        !self.sets[OPEN].keys.is_empty()
    }

    /// A random target that takes such requests, with a free slot or without.
    pub(crate) fn any_open(&self, prompt: Prompt, random: &mut Pcg64Mcg) -> Option<&Track> {
        let keys = &self.sets[OPEN].keys;
        let pick = |random: &mut Pcg64Mcg| keys.get(below(random, keys.len()));
        let lane = |track: &&Track| prompt == Prompt::Short || track.lane == Lane::Long;
        let mut picks = (0..MAX_PICKS).filter_map(|_| self.tracks.get(*pick(random)?));
        picks.find(lane)
    }

    /// Whether the roster gives this entry any slot, usable now or later.
    pub(crate) fn has_slot(&self) -> bool {
        let open = self.sets[OPEN].keys.iter().filter_map(|key| self.tracks.get(*key));
        open.into_iter().any(|track| !track.slots.is_empty())
    }

    /// Whether this entry may ever send such a request under the present shares.
    pub(crate) fn has_share(&self, now: Time, prompt: Prompt, profile: &Profile) -> bool {
        let shared = |track: &Track| match prompt {
            Prompt::Short => track.share(now, profile) > 0,
            Prompt::Long(_) => track.takes_long() && track.share(now, profile) > 0,
        };
        let open = self.sets[OPEN].keys.iter().filter_map(|key| self.tracks.get(*key));
        open.into_iter().any(shared)
    }

    /// The target that takes the request, if this entry has a free slot for it.
    pub(crate) fn choose(
        &self,
        want: Want<'_>,
        profile: &Profile,
        random: &mut Pcg64Mcg,
    ) -> Option<TargetKey> {
        if want.avoid.is_none()
            && let Some(key) = self.cached(want, profile)
        {
            return Some(key);
        }
        let sets: &[usize] = match want.prompt {
            Prompt::Short => &[NEAR, FAR, LANE],
            Prompt::Long(_) => &[LONG + NEAR, LONG + FAR],
        };
        let mut pick = |want: Want<'_>| {
            sets.iter().find_map(|set| self.lighter(&self.sets[*set], want, profile, random))
        };
        pick(want).or_else(|| want.avoid.and_then(|_| pick(want.anywhere())))
    }

    fn cached(&self, want: Want<'_>, profile: &Profile) -> Option<TargetKey> {
        let base = base(want.prompt);
        let free = |key: &TargetKey| {
            let lane = base == 0 && self.sets[LANE].contains(*key);
            lane || self.sets[base + NEAR].contains(*key) || self.sets[base + FAR].contains(*key)
        };
        let fits = |key: &TargetKey| self.fits(*key, want, profile);
        self.prefix.find(want.prefix).filter(free).find(fits)
    }

    fn lighter(
        &self,
        set: &Set,
        want: Want<'_>,
        profile: &Profile,
        random: &mut Pcg64Mcg,
    ) -> Option<TargetKey> {
        let first = self.pick(set, want, profile, random)?;
        let second = self.pick(set, want, profile, random)?;
        let load = |key: TargetKey| self.tracks.get(key).map(|it| (it.prefill, it.load()));
        Some(if load(second) < load(first) { second } else { first })
    }

    fn pick(
        &self,
        set: &Set,
        want: Want<'_>,
        profile: &Profile,
        random: &mut Pcg64Mcg,
    ) -> Option<TargetKey> {
        if set.keys.is_empty() {
            return None;
        }
        let fits = |key: &TargetKey| self.fits(*key, want, profile);
        let mut picks = (0..MAX_PICKS).map(|_| set.keys[below(random, set.keys.len())]);
        let all = || set.keys.iter().copied().find(fits);
        picks.find(fits).or_else(all)
    }

    fn fits(&self, key: TargetKey, want: Want<'_>, profile: &Profile) -> bool {
        let Some(track) = self.tracks.get(key) else { return false };
        let room = match want.prompt {
            Prompt::Short => true,
            Prompt::Long(tokens) => {
                let lane = track.lane == Lane::Long || want.spill == Spill::Yes;
                lane && track.fits(tokens, profile)
            }
        };
        room && want.avoid.is_none_or(|domain| track.target.failure_domain != *domain)
    }
}

impl Want<'_> {
    fn anywhere(self) -> Self {
        Want { avoid: None, ..self }
    }
}

impl Set {
    fn contains(&self, key: TargetKey) -> bool {
        self.at.contains_key(key)
    }

    fn set(&mut self, key: TargetKey, member: bool) {
        match member {
            true => self.insert(key),
            false => self.remove(key),
        }
    }

    fn insert(&mut self, key: TargetKey) {
        if !self.contains(key) {
            self.at.insert(key, self.keys.len() as u32);
            self.keys.push(key);
        }
    }

    fn remove(&mut self, key: TargetKey) {
        let Some(at) = self.at.remove(key) else { return };
        self.keys.swap_remove(at as usize);
        if let Some(moved) = self.keys.get(at as usize) {
            self.at.insert(*moved, at);
        }
    }
}

fn base(prompt: Prompt) -> usize {
    match prompt {
        Prompt::Short => 0,
        Prompt::Long(_) => LONG,
    }
}

/// A uniform index below `len`, which must not be zero.
pub(crate) fn below(random: &mut Pcg64Mcg, len: usize) -> usize {
    ((u128::from(random.next_u64()) * len as u128) >> 64) as usize
}
