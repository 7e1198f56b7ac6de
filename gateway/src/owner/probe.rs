//! Asks instances whether they live.

use std::sync::Arc;

use decision::gateway::balance::tag;
use decision::gateway::formation::Role;
use decision::prelude::*;

use super::{Owner, Result};
use crate::journal::Event;
use crate::port::Platform;

/// Longest time for a question whether an instance lives.
const PROBE: Duration = Duration::from_millis(180);

/// Pause between two questions to one instance.
const PROBE_PAUSE: Duration = Duration::from_millis(400);

/// The same, for an instance whose replica forms.
const FORMING_PAUSE: Duration = Duration::from_millis(100);

/// The same, for an instance that no replica depends on.
const SPARE_PAUSE: Duration = Duration::from_millis(1_300);

/// Longest pause between two questions to a member of a replica that entries suspect again and
/// again though all its members answer. The pause doubles with each answer up to it.
const PROBE_LIMIT: Duration = Duration::from_millis(1_600);

/// Questions without an answer after which an instance counts as lost.
const MISSES: u32 = 2;

/// Longest answer of an instance, in bytes.
const MAX_ANSWER: usize = 1 << 20;

/// What is known of an instance by asking it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Probe {
    at: Time,
    misses: u32,
    /// Answers in a row.
    answers: u32,
}

impl<P: Platform> Owner<P> {
    /// Asks an instance whether it lives, unless it was asked a moment ago.
    fn ask(&mut self, now: Time, id: Arc<str>, pause: Duration) {
        let probe = self.probes.entry(id.clone()).or_default();
        if now.since(probe.at) >= pause || probe.at == Time::ZERO {
            probe.at = now;
            self.probe(id);
        }
    }

    /// Asks instances whose entries are gone.
    pub(super) fn ask_doubtful(&mut self, now: Time, doubtful: Vec<(Arc<str>, Role)>) {
        for (id, doubt) in doubtful {
            let pause = match doubt {
                Role::Forming => FORMING_PAUSE,
                Role::Member => PROBE_PAUSE,
                Role::Spare => SPARE_PAUSE,
            };
            self.ask(now, id, pause);
        }
    }

    /// Asks an instance that did not answer to an order.
    pub(super) fn ask_silent(&mut self, now: Time, id: Arc<str>) {
        self.ask(now, id, PROBE_PAUSE);
    }

    /// Asks the members of suspect replicas whether they live. What ends already is left alone.
    pub(super) fn probe_suspects(&mut self, now: Time) {
        let mut tags = self.shared.peers.suspect_tags(now);
        let balance = self.shared.balance();
        tags.extend(balance.suspects().map(|it| tag(&it.id)));
        let suspects: Vec<Vec<Arc<str>>> = balance
            .targets()
            .filter(|(it, _)| it.model.is_some() && tags.contains(&tag(&it.id)))
            .filter(|(it, _)| {
                self.formations.values().any(|formation| formation.is_complete(&it.id))
            })
            .map(|(it, _)| it.members.clone())
            .collect();
        drop(balance);
        for id in suspects.into_iter().flatten() {
            let answers = self.probes.get(&id).map_or(0, |it| it.answers);
            let factor = 1 << answers.saturating_sub(1).min(8);
            self.ask(now, id, (PROBE_PAUSE * factor).min(PROBE_LIMIT));
        }
        self.probes.retain(|_, it| now.since(it.at) < PROBE_LIMIT + PROBE_PAUSE);
    }

    fn probe(&self, id: Arc<str>) {
        let Some(instance) = self.shared.knowledge().fleet.find(&id).cloned() else { return };
        let (shared, results) = (self.shared.clone(), self.results.clone());
        tokio::spawn(async move {
            let request = shared.platform.probe(instance.address);
            let call = shared.targets.call_once(instance.address, request, PROBE, MAX_ANSWER).await;
            let report = call.ok().and_then(|it| shared.platform.report(it.body()).ok());
            // Another instance may have its address by now.
            let report = report.filter(|it| it.incarnation == instance.incarnation);
            let alive = report.is_some();
            if let Some(report) = report {
                shared.knowledge().fleet.observe(&id, report);
                shared.fleet_changed.notify_waiters();
            }
            // Without a receiver the process ends.
            let _sent =
                results.send(Result::Probe { id, incarnation: instance.incarnation, alive }).await;
        });
    }

    pub(super) fn probed(&mut self, now: Time, id: &Arc<str>, incarnation: u64, alive: bool) {
        let probe = self.probes.entry(id.clone()).or_default();
        probe.misses = if alive { 0 } else { probe.misses + 1 };
        probe.answers = if alive { probe.answers + 1 } else { 0 };
        let lost = probe.misses >= MISSES;
        for formation in self.formations.values_mut() {
            match (alive, lost) {
                (true, _) => formation.mark_reachable(now, id, incarnation),
                (false, true) => formation.mark_unreachable(now, id, incarnation),
                (false, false) => {}
            }
        }
        if lost {
            let reason = "no answer to questions";
            self.shared.journal.note(&Event::Unreachable { instance: id, reason });
        } else if !alive {
            // Asked again at once: one lost answer must not end a replica.
            self.probes.entry(id.clone()).or_default().at = now;
            self.probe(id.clone());
        }
    }
}
