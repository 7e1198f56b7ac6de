//! What one entry knows of all fabric domains, merged over all probers, as an answer carries it.
//!
//! Most fabric domains are settled: their layout and count have been the same for a while and all
//! their replicas are whole and warm. Those take one byte each. The others travel as digests.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use super::{Digest, Evidence, Known, Verdict};
use crate::gossip::Blob;
use crate::prelude::*;
use crate::target::Temperature;

/// Most fabric domains that one view counts.
pub const MAX_FABRICS: usize = 1_024;

/// Most digests in one view.
pub const MAX_DIGESTS: usize = 128;

/// Bytes of digests in one view, unless a single one is larger.
const DIGEST_BYTES: usize = 2_560;

/// Bytes that a view takes besides its ages and digests, at most.
const OVERHEAD: usize = 20;

/// Time without a change after which a fabric domain is settled, longer than a change takes to
/// reach all entries.
const SETTLE: Duration = Duration::from_secs(5);

/// Time for which an entry asks for digests after ages that it could not read.
const UNREAD: Duration = Duration::from_secs(5);

/// The unit of a settled fabric domain's age.
const AGE_UNIT: Duration = Duration::from_millis(16);

/// Stands for a fabric domain that is not settled, or for no age.
pub(super) const NONE: u8 = u8::MAX;

/// The evidence of one entry on all fabric domains.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Identifies the names, layouts and counts of the fabric domains that `ages` tells of.
    pub key: u64,
    /// For each fabric domain by name, the age of its oldest evidence in units of 16 ms, rounded
    /// up; 255: not settled.
    pub ages: Blob,
    /// Fabric domains that are not settled. Those with a contradiction come first.
    pub digests: Vec<Digest>,
}

/// Why a view was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// It counts too many fabric domains.
    #[error("a view of {0} fabric domains is larger than {MAX_FABRICS}")]
    Fabrics(usize),
    /// It holds too many digests.
    #[error("a view with {0} digests has more than {MAX_DIGESTS}")]
    Digests(usize),
}

impl View {
    /// Bytes that the view takes in an answer, at most.
    pub fn size(&self) -> usize {
        let digests: usize = self.digests.iter().map(Digest::size).sum();
        OVERHEAD + self.ages.0.len() + digests
    }
}

impl Evidence {
    /// What this entry tells of all fabric domains; by digests only, if the asker `wants_digests`.
    pub fn view(&mut self, now: Time, wants_digests: bool) -> View {
        let settings = self.settings;
        let age = |known: &Known| match wants_digests {
            true => NONE,
            false => known.settled(now, settings).map_or(NONE, |at| age(now, at)),
        };
        let ages: Vec<u8> = self.fabrics.values().map(age).collect();
        let key = self.key(&ages, None);
        let digests = self.unsettled(now, &ages);
        let settled = ages.iter().any(|it| *it != NONE);
        View { key, ages: Blob(if settled { ages } else { Vec::new() }), digests }
    }

    /// Takes in the view of another entry, asked for at `sampled`.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if the view breaks a bound. Nothing is learned from it then.
    pub fn learn_view(&mut self, sampled: Time, view: &View) -> Result<(), Refusal> {
        if view.ages.0.len() > MAX_FABRICS {
            return Err(Refusal::Fabrics(view.ages.0.len()));
        }
        if view.digests.len() > MAX_DIGESTS {
            return Err(Refusal::Digests(view.digests.len()));
        }
        self.hear_ages(sampled, view);
        for digest in &view.digests {
            self.hear(sampled, digest);
        }
        Ok(())
    }

    /// Whether this entry could lately not read the ages of others, so that it needs digests.
    pub fn wants_digests(&self, now: Time) -> bool {
        self.unread.is_some_and(|at| now.since(at) < UNREAD)
    }

    fn hear_ages(&mut self, sampled: Time, view: &View) {
        let ages = &view.ages.0;
        if ages.is_empty() {
            return;
        }
        let since = sampled.back(SETTLE);
        let of_now = self.key(ages, None) == view.key;
        let readable = of_now || self.key(ages, Some(since)) == view.key;
        if ages.len() != self.fabrics.len() || !readable {
            self.unread = Some(sampled);
            return;
        }
        for (known, age) in self.fabrics.values_mut().zip(ages) {
            if *age != NONE && (of_now || known.changed <= since) {
                known.hear_settled(sampled, sampled.back(AGE_UNIT * u32::from(*age)));
            }
        }
    }

    /// Identifies the fabric domains that `ages` tells of, as they are known here. Of those that
    /// changed after `before`, if given, as they were known before: others learn of it later.
    fn key(&self, ages: &[u8], before: Option<Time>) -> u64 {
        let mut hasher = Xxh3::new();
        for ((name, known), _) in self.fabrics.iter().zip(ages).filter(|(_, age)| **age != NONE) {
            let (layout, alive) = match before {
                Some(at) if known.changed > at => known.before,
                _ => (known.layout, known.alive.1),
            };
            hasher.update(name.as_str().as_bytes());
            hasher.update(&[0]);
            hasher.update(&layout.0.to_le_bytes());
            hasher.update(&alive.to_le_bytes());
        }
        hasher.digest()
    }

    /// The digests of the fabric domains that `ages` doesn't tell of, as far as there is room.
    ///
    /// Those with a contradiction go first, then those left out longest.
    fn unsettled(&mut self, now: Time, ages: &[u8]) -> Vec<Digest> {
        self.turn += 1;
        let (turn, settings) = (self.turn, self.settings);
        let open = self.fabrics.iter_mut().zip(ages).filter(|(_, age)| **age == NONE);
        let mut open: Vec<_> = open.map(|(fabric, _)| fabric).collect();
        open.sort_by_cached_key(|(_, known)| (!known.is_broken(now, settings), known.turn));
        let mut left = DIGEST_BYTES;
        let mut digests = Vec::new();
        for (name, known) in open.into_iter().take(MAX_DIGESTS) {
            let digest = known.digest(now, name, settings);
            if digest.size() > left && !digests.is_empty() {
                break;
            }
            left = left.saturating_sub(digest.size());
            known.turn = turn;
            digests.push(digest);
        }
        digests
    }
}

impl Known {
    /// The time of the oldest evidence, if all replicas that may serve are whole and warm and
    /// nothing has changed for a while.
    fn settled(&self, now: Time, settings: super::Settings) -> Option<Time> {
        if now < self.changed + SETTLE {
            return None;
        }
        let serving = self.replicas.values().filter(|it| it.replica.state.serves());
        serving.map(|it| it.verdict(settings)).try_fold(self.alive.0, |oldest, verdict| {
            match verdict {
                Verdict::Whole { at, temperature: Temperature::Warm } => Some(oldest.min(at)),
                _ => None,
            }
        })
    }

    /// Notes at `now` that the layout or the count is about to change.
    pub(super) fn change(&mut self, now: Time) {
        if now >= self.changed + SETTLE {
            self.before = (self.layout, self.alive.1);
        }
        self.changed = now;
    }

    /// Takes in that all was whole and warm at `at`, told after `sampled`.
    fn hear_settled(&mut self, sampled: Time, at: Time) {
        self.hear_count(sampled, at, self.alive.1);
        let serving = self.replicas.values_mut().filter(|it| it.replica.state.serves());
        for judged in serving {
            judged.take(Verdict::Whole { at, temperature: Temperature::Warm });
        }
    }

    fn is_broken(&self, now: Time, settings: super::Settings) -> bool {
        let mut verdicts = self.replicas.values().map(|it| it.verdict(settings));
        verdicts.any(|it| matches!(it, Verdict::Broken { at } if now < at + settings.age_limit))
    }
}

/// The age of `at` in units, rounded up.
pub(super) fn age(now: Time, at: Time) -> u8 {
    let units = now.since(at).as_micros().div_ceil(AGE_UNIT.as_micros());
    u8::try_from(units).unwrap_or(NONE)
}

/// The time of an age that another entry wrote at `sampled` or later.
pub(super) fn time(sampled: Time, age: u8) -> Option<Time> {
    (age != NONE).then(|| sampled.back(AGE_UNIT * u32::from(age)))
}
