//! Positive evidence that replicas are whole.
//!
//! A replica serves only while every one of its members was lately seen with the same replica,
//! epoch and process. Silence is never evidence.

mod digest;
pub mod standby;
mod view;

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

use crate::fabric::{Fabric, Layout, Replica, State};
use crate::prelude::*;
use crate::probe::Reports;
use crate::report::{self, Report};
use crate::target::{Phase, Target, Temperature};

pub use digest::{Digest, Verdict};
pub use view::{MAX_DIGESTS, MAX_FABRICS, Refusal, View};

/// Bounds of evidence.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Age at which evidence no longer lets a replica serve.
    pub age_limit: Duration,
    /// Positive evidence counts only if it is this much younger than the last contradiction.
    pub slack: Duration,
}

/// What one entry knows of all replicas.
#[derive(Clone, Debug)]
pub struct Evidence {
    settings: Settings,
    fabrics: BTreeMap<Name, Known>,
    out: Out,
    /// When ages that another entry told could last not be read.
    unread: Option<Time>,
    /// Counts the views that were told.
    turn: u64,
}

/// Why a replica takes no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Reason {
    /// It is not in a state that serves.
    #[error("its state is {0}")]
    State(&'static str),
    /// A member was seen out of its place.
    #[error("a member was seen restarted or in another replica {} ms ago", .0.as_millis())]
    Broken(Duration),
    /// Some member has been silent.
    #[error("all its members were last seen in place {} ms ago", .0.as_millis())]
    Silent(Duration),
    /// Its members were never seen in place together.
    #[error("its members have not been seen in place together yet")]
    Never,
    /// Operators have taken its failure domain or one of its instances out.
    #[error("operators have taken its failure domain or an instance out")]
    Out,
}

/// What operators have taken out. Its replicas take no new work, whatever their owners write.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Out {
    /// Failure domains.
    pub failure_domains: BTreeSet<Name>,
    /// Instances.
    pub instances: BTreeSet<Name>,
}

#[derive(Clone, Debug, Default)]
struct Known {
    layout: Layout,
    /// The layout was the store's latest at this time.
    confirmed: Time,
    /// Instances that answer and stay, and when that was counted.
    alive: (Time, u16),
    /// When this entry itself counted them last.
    counted: Option<Time>,
    /// When an entry other than this one last counted them, as far as this one was told.
    told: Option<Time>,
    /// When another entry last told of a newer layout.
    ahead: Option<Time>,
    /// When the layout or the count last changed here.
    changed: Time,
    /// The layout and the count before, when they had not changed for a while.
    before: (Layout, u16),
    /// The view that last told of it by a digest.
    turn: u64,
    replicas: BTreeMap<Name, Judged>,
}

#[derive(Clone, Debug)]
struct Judged {
    replica: Replica,
    /// When this entry learned of the replica's state.
    learned: Time,
    whole: Option<(Time, Temperature)>,
    broken: Option<Time>,
}

/// Whether `report` shows `member` in its place in `replica`.
pub fn in_place(name: &Name, replica: &Replica, rank: usize, report: &Report) -> bool {
    replica.members.get(rank).is_some_and(|member| {
        report.instance == member.instance
            && report.process == member.process
            && report.replica.as_ref() == Some(name)
            && report.epoch == replica.epoch
            && usize::try_from(report.rank) == Ok(rank)
            && usize::try_from(report.size) == Ok(replica.members.len())
    })
}

/// Judges a replica by the answers in `reports` whose probes left after `since`.
pub fn judge(name: &Name, replica: &Replica, reports: &Reports, since: Time) -> Verdict {
    let mut oldest = None::<Time>;
    let mut known = true;
    for (rank, member) in replica.members.iter().enumerate() {
        let Some(answer) = reports.answer(&member.instance).filter(|it| it.at >= since) else {
            known = false;
            continue;
        };
        let report = &answer.report;
        if !in_place(name, replica, rank, report) || report.state == report::State::Idle {
            return Verdict::Broken { at: answer.at };
        }
        known &= report.state == report::State::Ready;
        oldest = Some(oldest.map_or(answer.at, |it| it.min(answer.at)));
    }
    match oldest {
        Some(at) if known => Verdict::Whole { at, temperature: temperature(replica, reports) },
        _ => Verdict::Unknown,
    }
}

/// Only rank 0 takes requests, so only it knows how much the replica bears.
fn temperature(replica: &Replica, reports: &Reports) -> Temperature {
    let first = replica.members.first().and_then(|it| reports.answer(&it.instance));
    match first {
        Some(answer) if !answer.report.cold => Temperature::Warm,
        _ => Temperature::Cold,
    }
}

impl Evidence {
    /// Knows nothing yet.
    pub fn new(settings: Settings) -> Evidence {
        Evidence { settings, fabrics: BTreeMap::new(), out: Out::default(), unread: None, turn: 0 }
    }

    /// Takes in a fabric domain's object. Older layouts than the known one are ignored.
    ///
    /// `confirmed` is a time by this clock at which the object was the store's latest.
    pub fn learn(&mut self, now: Time, confirmed: Time, name: &Name, fabric: &Fabric) {
        let known = self.fabrics.entry(name.clone()).or_default();
        match fabric.layout.cmp(&known.layout) {
            Ordering::Less => {}
            Ordering::Equal => known.confirmed = known.confirmed.max(confirmed),
            Ordering::Greater => known.replace(now, confirmed, fabric),
        }
    }

    /// Forgets a fabric domain whose object is gone.
    pub fn forget(&mut self, name: &Name) {
        self.fabrics.remove(name);
    }

    /// Takes in what operators have taken out, by the configuration that this entry acts on.
    pub fn exclude(&mut self, out: Out) {
        self.out = out;
    }

    /// What keeps the replica `name` from taking new work at `now`. Empty if nothing does. None if
    /// there is no such replica.
    pub fn explain(&self, now: Time, name: &Name) -> Option<Vec<Reason>> {
        let judged = self.fabrics.values().find_map(|it| it.replicas.get(name))?;
        let mut reasons = Vec::new();
        if !judged.replica.state.serves() {
            reasons.push(Reason::State(judged.replica.state.as_str()));
        } else if judged.temperature(now, self.settings).is_none() {
            let whole = judged.whole.map(|(at, _)| now.since(at));
            reasons.push(match judged.broken.map(|at| now.since(at)) {
                Some(age) if whole.is_none_or(|it| it + self.settings.slack >= age) => {
                    Reason::Broken(age)
                }
                _ => whole.map_or(Reason::Never, Reason::Silent),
            });
        }
        if self.out.takes(&judged.replica) {
            reasons.push(Reason::Out);
        }
        Some(reasons)
    }

    /// Takes in that every known layout was the store's latest at `confirmed`.
    pub fn confirm(&mut self, confirmed: Time) {
        for known in self.fabrics.values_mut() {
            known.confirmed = known.confirmed.max(confirmed);
        }
    }

    /// Judges the replicas of `fabric` by this entry's own probes.
    pub fn judge(&mut self, now: Time, fabric: &Name, reports: &Reports) {
        let since = now.back(self.settings.age_limit);
        let Some(known) = self.fabrics.get_mut(fabric) else { return };
        for (name, judged) in &mut known.replicas {
            if !judged.replica.state.serves() {
                continue;
            }
            let verdict = judge(name, &judged.replica, reports, since.max(judged.learned));
            judged.take(verdict.no_later_than(known.confirmed));
        }
    }

    /// Takes in how many instances of `fabric` answer this entry's own probes and stay.
    pub fn count(&mut self, now: Time, fabric: &Name, alive: u16) {
        if let Some(known) = self.fabrics.get_mut(fabric) {
            known.counted = Some(now);
            known.counts(now, now, alive);
        }
    }

    /// What this entry has to tell others about `fabric`.
    pub fn digest(&self, now: Time, fabric: &Name) -> Option<Digest> {
        Some(self.fabrics.get(fabric)?.digest(now, fabric, self.settings))
    }

    /// Takes in what another entry told. Answers whether the layout is newer than the known one,
    /// in which case its object must be fetched.
    ///
    /// `sampled` is a time by this clock that lies before the other entry made the digest, such
    /// as the time at which this entry asked for it.
    pub fn hear(&mut self, sampled: Time, digest: &Digest) -> bool {
        let Some(known) = self.fabrics.get_mut(&digest.fabric) else { return true };
        if digest.layout != known.layout {
            let newer = digest.layout > known.layout;
            known.ahead = if newer { known.ahead.max(Some(sampled)) } else { known.ahead };
            return newer;
        }
        if let Some(at) = view::time(sampled, digest.age) {
            known.hear_count(sampled, at, digest.alive);
        }
        if digest.verdicts.len() == known.replicas.len() {
            for (judged, byte) in known.replicas.values_mut().zip(&digest.verdicts) {
                judged.take(Verdict::decode(*byte, sampled));
            }
        }
        false
    }

    /// Whether an entry other than this one counted the instances of `fabric` at `since` or later.
    pub fn is_told(&self, fabric: &Name, since: Time) -> bool {
        self.fabrics.get(fabric).and_then(|it| it.told).is_some_and(|at| at >= since)
    }

    /// Whether `fabric` is not known, or another entry told of a newer layout at `since` or later.
    pub fn is_behind(&self, fabric: &Name, since: Time) -> bool {
        let known = self.fabrics.get(fabric);
        known.is_none_or(|it| it.ahead.is_some_and(|at| at >= since))
    }

    /// The instances of `fabric` that answer and stay, if counted at `since` or later.
    pub fn alive(&self, fabric: &Name, since: Time) -> Option<u16> {
        let (at, alive) = self.fabrics.get(fabric)?.alive;
        (at >= since).then_some(alive)
    }

    /// The replicas of `fabric`, whether each may serve at `now`, and when it was last seen whole
    /// or, if never, when it was learned of.
    pub fn replicas(
        &self,
        now: Time,
        fabric: &Name,
    ) -> impl Iterator<Item = (&Replica, bool, Time)> {
        let judged = self.fabrics.get(fabric).into_iter().flat_map(|it| it.replicas.values());
        judged.map(move |it| {
            let seen = it.whole.map_or(it.learned, |(at, _)| at);
            (&it.replica, it.temperature(now, self.settings).is_some(), seen)
        })
    }

    /// The replicas of `fabric` that are whole at `now`.
    pub fn whole(&self, now: Time, fabric: &Name) -> Vec<Name> {
        let judged = self.fabrics.get(fabric).into_iter().flat_map(|it| &it.replicas);
        let whole = judged.filter(|(_, it)| it.temperature(now, self.settings).is_some());
        whole.map(|(name, _)| name.clone()).collect()
    }

    /// Whether `replica` may serve at `now`.
    pub fn serves(&self, now: Time, fabric: &Name, replica: &Name) -> bool {
        self.fabrics.get(fabric).is_some_and(|known| {
            let judged = known.replicas.get(replica);
            judged.is_some_and(|it| it.temperature(now, self.settings).is_some())
        })
    }

    /// The targets of all fabric domains that may serve at `now`, and those that drain.
    pub fn targets(&self, now: Time) -> Vec<Target> {
        let all = self.fabrics.values().flat_map(|known| &known.replicas);
        let targets = all.filter_map(|(name, judged)| {
            let mut target = judged.target(now, name, self.settings)?;
            if self.out.takes(&judged.replica) {
                target.phase = Phase::Draining;
            }
            Some(target)
        });
        targets.collect()
    }
}

impl Out {
    /// Whether `replica` or a member of it has been taken out.
    fn takes(&self, replica: &Replica) -> bool {
        self.failure_domains.contains(&replica.failure_domain)
            || replica.members.iter().any(|it| self.instances.contains(&it.instance))
    }
}

impl Known {
    fn replace(&mut self, now: Time, confirmed: Time, fabric: &Fabric) {
        let mut old = std::mem::take(&mut self.replicas);
        let replicas = fabric.replicas.iter().map(|(name, replica)| {
            let kept = old.remove(name).filter(|it| it.replica.state.serves());
            let fresh =
                Judged { replica: replica.clone(), learned: now, whole: None, broken: None };
            let judged = match kept {
                Some(kept) => Judged { replica: replica.clone(), ..kept },
                None => fresh,
            };
            (name.clone(), judged)
        });
        self.replicas = replicas.collect();
        self.change(now);
        self.layout = fabric.layout;
        self.confirmed = confirmed;
        self.ahead = None;
    }

    fn digest(&self, now: Time, name: &Name, settings: Settings) -> Digest {
        let verdicts = self.replicas.values().map(|it| it.verdict(settings));
        Digest {
            fabric: name.clone(),
            layout: self.layout,
            alive: self.alive.1,
            age: view::age(now, self.alive.0),
            verdicts: verdicts.map(|it| it.encode(now)).collect(),
        }
    }

    /// Takes in a count of `at`, which this entry learns of at `now`.
    fn counts(&mut self, now: Time, at: Time, alive: u16) {
        if at < self.alive.0 {
            return;
        }
        if alive != self.alive.1 {
            self.change(now);
        }
        self.alive = (at, alive);
    }

    /// Takes in a count of `at` by some entry, told after `sampled`. Its own counts that come back
    /// are no newer than its last one and tell it nothing.
    fn hear_count(&mut self, sampled: Time, at: Time, alive: u16) {
        if self.counted.is_none_or(|own| own < at) {
            self.told = self.told.max(Some(at));
        }
        self.counts(sampled, at, alive);
    }
}

impl Judged {
    fn take(&mut self, verdict: Verdict) {
        match verdict {
            Verdict::Unknown => {}
            Verdict::Whole { at, temperature } => {
                if self.whole.is_none_or(|(known, _)| known <= at) {
                    self.whole = Some((at, temperature));
                }
            }
            Verdict::Broken { at } => self.broken = self.broken.max(Some(at)),
        }
    }

    fn verdict(&self, settings: Settings) -> Verdict {
        match (self.whole, self.broken) {
            (Some((at, temperature)), broken)
                if broken.is_none_or(|it| it + settings.slack < at) =>
            {
                Verdict::Whole { at, temperature }
            }
            (_, Some(at)) => Verdict::Broken { at },
            _ => Verdict::Unknown,
        }
    }

    fn temperature(&self, now: Time, settings: Settings) -> Option<Temperature> {
        if !self.replica.state.serves() {
            return None;
        }
        match self.verdict(settings) {
            Verdict::Whole { at, temperature } if now < at + settings.age_limit => {
                match self.replica.state {
                    State::Warm => Some(temperature),
                    _ => Some(Temperature::Cold),
                }
            }
            _ => None,
        }
    }

    fn target(&self, now: Time, name: &Name, settings: Settings) -> Option<Target> {
        let (temperature, phase) = match self.replica.state {
            State::Draining => (Temperature::Cold, Phase::Draining),
            _ => (self.temperature(now, settings)?, Phase::Serving),
        };
        let first = self.replica.members.first()?;
        Some(Target {
            name: name.clone(),
            service: self.replica.service.clone(),
            failure_domain: self.replica.failure_domain.clone(),
            address: first.address,
            process: first.process,
            epoch: self.replica.epoch,
            temperature,
            phase,
        })
    }
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { age_limit: Duration::from_secs(3), slack: Duration::from_millis(200) }
    }
}
