//! The lifecycle of one replica: when its owner moves it to the next state.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::evidence::{Verdict, in_place, judge};
use crate::fabric::{Member, Replica, State};
use crate::lease::Held;
use crate::prelude::*;
use crate::probe::Reports;
use crate::report;
use crate::target::Temperature;

/// Times in the lifecycle of a replica.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time after the store took a change until every entry has stopped serving the replica.
    /// Must exceed [`crate::evidence::Settings::age_limit`].
    pub out_of_service: Duration,
    /// Silence after which a member counts as dead.
    pub dead_after: Duration,
    /// Age at which a report no longer counts.
    pub report_age: Duration,
    /// How far the load figures of a report lag.
    pub report_lag: Duration,
    /// Longest time from the first load order until every member is ready.
    pub load_limit: Duration,
    /// Longest time that a draining replica may take to end its requests.
    pub drain_limit: Duration,
}

/// An instance of the platform's list. A hint that lags.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// Its engine's address.
    pub address: SocketAddr,
    /// The failure domain it runs in.
    pub failure_domain: Name,
    /// Its accelerators.
    pub accelerators: u32,
    /// Whether it takes new work: neither the platform nor operators are taking it out.
    pub stays: bool,
}

/// What the owner of a fabric domain knows besides the store's object.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// The present time.
    pub now: Time,
    /// The owner's lease.
    pub held: Held,
    /// Since when this entry has run without a pause. Silence before that proves nothing.
    pub awake: Time,
    /// What engines answered to this entry.
    pub reports: &'a Reports,
    /// The platform's list of the fabric domain's instances.
    pub listed: &'a BTreeMap<Name, Listed>,
    /// When this entry learned of each replica's state.
    pub since: &'a BTreeMap<Name, (State, Time)>,
    /// When any entry last saw each replica whole.
    pub whole: &'a BTreeMap<Name, Time>,
    /// Times to keep.
    pub settings: &'a Settings,
}

/// What becomes of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// Stays as it is.
    Stay,
    /// Enters a later state.
    Enter(State),
    /// Leaves the object. Its instances are free.
    Remove,
}

/// Whether the owner still wants a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Wish {
    /// It is to serve.
    Keep,
    /// It is to drain.
    Drain,
}

/// Whether instances are at hand to replace a silent member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Spare {
    /// There are.
    Ready,
    /// There are none: a dead replica may as well wait for its members to return.
    Lacking,
}

/// Decides the next step of `replica`.
pub(crate) fn step(
    context: &Context<'_>,
    name: &Name,
    replica: &Replica,
    wish: Wish,
    spare: Spare,
) -> Step {
    match replica.state {
        State::Claimed => claimed(context, replica, wish),
        State::Loading => loading(context, name, replica, wish),
        State::Cold | State::Warm => serving(context, name, replica, wish, spare),
        State::Draining => draining(context, name, replica, wish),
        State::Released => released(context, name, replica),
    }
}

fn claimed(context: &Context<'_>, replica: &Replica, wish: Wish) -> Step {
    if wish == Wish::Drain || context.restarted(replica) || context.silent(replica) {
        return Step::Remove;
    }
    let idle = |it: &Member| {
        let report = context.report(it);
        report.is_some_and(|it| it.state == report::State::Idle && it.replica.is_none())
    };
    match replica.members.iter().all(idle) {
        true => Step::Enter(State::Loading),
        false => Step::Stay,
    }
}

fn loading(context: &Context<'_>, name: &Name, replica: &Replica, wish: Wish) -> Step {
    let late = context.elapsed(name) >= context.settings.load_limit;
    let failed = context.restarted(replica) || context.silent(replica) || late;
    if wish == Wish::Drain || failed || abandoned(context, name, replica) {
        return Step::Enter(State::Released);
    }
    match judge(name, replica, context.reports, context.oldest()) {
        Verdict::Whole { .. } => Step::Enter(State::Cold),
        _ => Step::Stay,
    }
}

/// Whether an earlier owner left the loading half ordered. Its orders can't be sent again under
/// the present epoch, because every member must report the same one.
fn abandoned(context: &Context<'_>, name: &Name, replica: &Replica) -> bool {
    replica.epoch < context.held.epoch
        && replica.members.iter().enumerate().any(|(rank, it)| {
            let report = context.reports.fresh(&it.instance, context.held.since);
            report.is_some_and(|it| !in_place(name, replica, rank, it))
        })
}

fn serving(
    context: &Context<'_>,
    name: &Name,
    replica: &Replica,
    wish: Wish,
    spare: Spare,
) -> Step {
    let since = context.oldest().max(context.entered(name));
    let verdict = judge(name, replica, context.reports, since);
    if matches!(verdict, Verdict::Broken { .. }) {
        return Step::Enter(State::Released);
    }
    if wish == Wish::Drain {
        return Step::Enter(State::Draining);
    }
    if spare == Spare::Ready && context.unseen(name) && context.silent(replica) {
        return Step::Enter(State::Released);
    }
    match verdict {
        Verdict::Whole { temperature: Temperature::Warm, .. } if replica.state == State::Cold => {
            Step::Enter(State::Warm)
        }
        _ => Step::Stay,
    }
}

/// A draining replica that is wanted again returns to serving without a load.
fn draining(context: &Context<'_>, name: &Name, replica: &Replica, wish: Wish) -> Step {
    let entered = context.entered(name);
    let broken = matches!(judge(name, replica, context.reports, entered), Verdict::Broken { .. });
    let late = context.elapsed(name) >= context.settings.drain_limit;
    if broken || context.silent(replica) || late {
        return Step::Enter(State::Released);
    }
    if wish == Wish::Keep {
        return Step::Enter(State::Cold);
    }
    let quiet = entered + context.settings.out_of_service + context.settings.report_lag;
    let done = |it: &Member| {
        context.reports.fresh(&it.instance, quiet).is_some_and(|report| report.running == 0)
    };
    match replica.members.iter().all(done) {
        true => Step::Enter(State::Released),
        false => Step::Stay,
    }
}

fn released(context: &Context<'_>, name: &Name, replica: &Replica) -> Step {
    if !context.is_out(name) {
        return Step::Stay;
    }
    let settled = context.entered(name) + context.settings.out_of_service;
    let gone = |it: &Member| match context.reports.fresh(&it.instance, settled) {
        Some(report) => report.replica.as_ref() != Some(name),
        None => context.mute(it),
    };
    match replica.members.iter().all(gone) {
        true => Step::Remove,
        false => Step::Stay,
    }
}

impl Context<'_> {
    /// The report of `member`, unless it is too old.
    pub(crate) fn report(&self, member: &Member) -> Option<&report::Report> {
        self.reports.fresh(&member.instance, self.oldest())
    }

    /// Whether every entry has stopped serving the released replica.
    pub(crate) fn is_out(&self, name: &Name) -> bool {
        self.elapsed(name) >= self.settings.out_of_service
    }

    /// Whether neither the platform nor operators are taking the member's instance out.
    pub(crate) fn stays(&self, member: &Member) -> bool {
        self.listed.get(&member.instance).is_none_or(|it| it.stays)
    }

    /// How much a replica is worth keeping. Those that lost a member are worth least; one that
    /// drains is worth more than one that has yet to load.
    pub(crate) fn worth(&self, name: &Name, replica: &Replica) -> u8 {
        match replica.state {
            State::Cold | State::Warm if self.unseen(name) => 0,
            State::Released => 0,
            State::Claimed => 1,
            State::Loading => 2,
            State::Draining => 3,
            State::Cold => 4,
            State::Warm => 5,
        }
    }

    fn oldest(&self) -> Time {
        self.now.back(self.settings.report_age)
    }

    /// When this owner learned of the replica's state, or now if it just did.
    fn entered(&self, name: &Name) -> Time {
        self.since.get(name).map_or(self.now, |(_, at)| *at)
    }

    fn elapsed(&self, name: &Name) -> Duration {
        self.now.since(self.entered(name))
    }

    /// Whether a member's process is not the one that was claimed.
    fn restarted(&self, replica: &Replica) -> bool {
        let mut members = replica.members.iter();
        members.any(|it| self.report(it).is_some_and(|report| report.process != it.process))
    }

    /// Whether a member has been silent for so long that it counts as dead.
    fn silent(&self, replica: &Replica) -> bool {
        replica.members.iter().any(|it| self.mute(it))
    }

    fn mute(&self, member: &Member) -> bool {
        let last = self.reports.answer(&member.instance).map_or(Time::ZERO, |it| it.at);
        self.now.since(last.max(self.listening())) >= self.settings.dead_after
    }

    /// Whether no entry saw the replica whole for so long that it counts as dead.
    fn unseen(&self, name: &Name) -> bool {
        let last = self.whole.get(name).copied().unwrap_or(Time::ZERO);
        let last = last.max(self.entered(name)).max(self.listening());
        self.now.since(last) >= self.settings.dead_after
    }

    /// Since when this entry has probed every instance without a pause.
    fn listening(&self) -> Time {
        self.held.since.max(self.awake)
    }
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            out_of_service: Duration::from_secs(4),
            dead_after: Duration::from_secs(10),
            report_age: Duration::from_secs(3),
            report_lag: Duration::from_secs(1),
            load_limit: Duration::from_secs(1_800),
            drain_limit: Duration::from_secs(3_600),
        }
    }
}
