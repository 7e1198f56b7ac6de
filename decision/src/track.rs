//! What this entry knows of one target and has in progress on it.

use std::sync::Arc;

use crate::declaration::Profile;
use crate::handover::{Handover, Slot};
use crate::head::Generation;
use crate::prelude::*;
use crate::ramp::Ramp;
use crate::share;
use crate::target::{Phase, Target, Temperature};

/// First slots of a target that carry the right to send it long prompts.
pub(crate) const LONG_RIGHTS: u32 = 4;

/// A target's own report of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Requests in progress.
    pub running: u32,
    /// When the target took the report, at the earliest.
    pub taken: Time,
}

/// One target at this entry.
#[derive(Debug)]
pub(crate) struct Track {
    pub(crate) target: Arc<Target>,
    pub(crate) hash: u64,
    pub(crate) slots: Vec<Slot>,
    /// Slots that this entry lost while it still waited for their earlier holders.
    pub(crate) lost: Vec<Slot>,
    pub(crate) ramp: Ramp,
    pub(crate) running: u32,
    pub(crate) prefill: u32,
    /// Requests sent, and ended, since the last report.
    pub(crate) sent: u32,
    pub(crate) ended: u32,
    pub(crate) listed: Listed,
    /// Whether long prompts go to this target.
    pub(crate) lane: Lane,
    pub(crate) ejected_until: Option<Time>,
    /// Smoothed time to the first token, in microseconds. Zero: none measured.
    pub(crate) first_token: f32,
    /// The roster generation and the limit for which the slots were assigned.
    assigned: Option<(Generation, u32)>,
    report: Report,
    last_empty: Time,
}

/// Whether the target may take new work. What is in progress ends by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Listed {
    /// It is in the list of targets that may serve.
    Yes,
    /// It is in the list, but operators took its failure domain out.
    Out,
    /// It left the list.
    No,
}

/// Which prompts a target takes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Lane {
    Short,
    Long,
}

impl Listed {
    /// The same place in the list, in a failure domain that is out or in.
    pub(crate) fn with(self, out: bool) -> Listed {
        match self {
            Listed::No => Listed::No,
            Listed::Yes | Listed::Out if out => Listed::Out,
            Listed::Yes | Listed::Out => Listed::Yes,
        }
    }
}

impl Track {
    pub(crate) fn new(now: Time, target: Arc<Target>) -> Track {
        Track {
            hash: share::mix(share::hash(&target.service)) ^ share::hash(&target.name),
            ramp: Ramp::new(now, target.process),
            slots: Vec::new(),
            lost: Vec::new(),
            running: 0,
            prefill: 0,
            sent: 0,
            ended: 0,
            listed: Listed::Yes,
            lane: Lane::Short,
            ejected_until: None,
            first_token: 0.0,
            assigned: None,
            report: Report::default(),
            last_empty: Time::ZERO,
            target,
        }
    }

    /// Takes the target's state as listed. Another process begins its ramp anew.
    pub(crate) fn renew(&mut self, now: Time, target: Arc<Target>) {
        let cooled =
            self.target.temperature == Temperature::Warm && target.temperature == Temperature::Cold;
        if self.ramp.stage().process != target.process {
            self.ramp = Ramp::new(now, target.process);
        } else if cooled {
            self.ramp.cool(now);
        }
        self.target = target;
    }

    /// Takes the slots that the roster gives to this entry.
    pub(crate) fn assign(&mut self, limit: u32, handover: &Handover) {
        let basis = Some((handover.view().generation, limit));
        if self.assigned == basis {
            return;
        }
        self.assigned = basis;
        let slots = handover.assign(self.hash, limit, &self.slots);
        let old = std::mem::replace(&mut self.slots, slots);
        let kept = |slot: &Slot| self.slots.iter().any(|it| it.index == slot.index);
        self.lost.extend(old.into_iter().filter(|slot| !slot.is_ready() && !kept(slot)));
    }

    /// Frees the slots whose earlier holders are done.
    pub(crate) fn release(&mut self, now: Time, handover: &Handover) {
        handover.release(now, self.hash, &mut self.slots);
        handover.release(now, self.hash, &mut self.lost);
        self.lost.retain(|slot| !slot.is_ready());
    }

    /// Drops all slots, as this entry missed a roster.
    pub(crate) fn void(&mut self) {
        self.slots.clear();
        self.lost.clear();
        self.assigned = None;
    }

    /// The slots that are this entry's and those that it waited for.
    pub(crate) fn held(&mut self) -> impl Iterator<Item = &mut Slot> {
        self.slots.iter_mut().chain(&mut self.lost)
    }

    /// Whether the target left the list and nothing here depends on it any more.
    pub(crate) fn is_over(&self) -> bool {
        let waits = self.slots.iter().any(|slot| !slot.is_ready());
        self.listed == Listed::No && self.running == 0 && self.lost.is_empty() && !waits
    }

    /// Whether nothing of an earlier roster's shares is left on the target by this entry.
    pub(crate) fn is_settled(&self, now: Time, profile: &Profile) -> bool {
        self.lost.is_empty() && self.running <= self.share(now, profile)
    }

    /// Requests that all entries together may have on the target.
    pub(crate) fn limit(&self, now: Time, profile: &Profile) -> u32 {
        let temperature = self.target.temperature;
        self.ramp.limit(now, temperature, profile.cold_limit, profile.warm_limit)
    }

    /// Requests that this entry may have on the target.
    pub(crate) fn share(&self, now: Time, profile: &Profile) -> u32 {
        let limit = self.limit(now, profile);
        self.ready(limit)
    }

    /// Slots below `limit` that this entry may use.
    pub(crate) fn ready(&self, limit: u32) -> u32 {
        let usable = |slot: &&Slot| slot.index < limit && slot.is_ready();
        self.slots.iter().filter(usable).count() as u32
    }

    /// Whether the target takes one more request of this entry.
    pub(crate) fn is_free(&self, now: Time, profile: &Profile) -> bool {
        self.is_open(now) && self.running < self.share(now, profile)
    }

    /// Whether the target takes new work at all.
    pub(crate) fn is_open(&self, now: Time) -> bool {
        self.phase() == Phase::Serving && self.ejected_until.is_none_or(|until| until <= now)
    }

    /// Whether the target takes new work, apart from holds and ejection.
    pub(crate) fn phase(&self) -> Phase {
        match self.listed {
            Listed::Yes => self.target.phase,
            Listed::Out | Listed::No => Phase::Draining,
        }
    }

    /// Whether this entry may send long prompts: it holds one of the target's first slots.
    pub(crate) fn takes_long(&self) -> bool {
        self.ready(LONG_RIGHTS) > 0
    }

    /// Whether the prefill of `tokens` more prompt tokens fits this entry's part of the limit. A
    /// prompt alone always does.
    pub(crate) fn fits(&self, tokens: u32, profile: &Profile) -> bool {
        let part = profile.prefill_tokens / LONG_RIGHTS * self.ready(LONG_RIGHTS);
        self.prefill == 0 || self.prefill.saturating_add(tokens) <= part
    }

    /// Takes a report unless it is older than the last one.
    pub(crate) fn note(&mut self, report: Report) {
        if report.taken >= self.report.taken {
            self.report = report;
            self.sent = 0;
            self.ended = 0;
        }
        if report.running == 0 {
            self.last_empty = self.last_empty.max(report.taken);
        }
    }

    /// When the target was last seen without any request.
    pub(crate) fn last_empty(&self) -> Time {
        self.last_empty
    }

    /// The target's estimated load: the last report and what was sent and ended since.
    pub(crate) fn load(&self) -> u32 {
        (self.report.running + self.sent).saturating_sub(self.ended).max(self.running)
    }

    /// Smooths a measured time to the first token, in part of what was expected.
    pub(crate) fn measure(&mut self, ratio: f32) {
        const WEIGHT: f32 = 0.2;
        self.first_token = match self.first_token {
            0.0 => ratio,
            old => old + WEIGHT * (ratio - old),
        };
    }
}
