//! Probes: requests for the report of an instance, by which the owner checks whether it is alive.

use std::sync::Arc;

use decision::gateway::balance::tag;
use decision::gateway::formation::Role;
use decision::prelude::*;

use super::{Owner, Result};
use crate::journal::Event;
use crate::port::Platform;

/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(180);

/// Interval between two probes of one instance.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// Interval between two probes of an instance whose replica is being formed.
const FORMING_PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between two probes of an instance that no replica depends on.
const SPARE_PROBE_INTERVAL: Duration = Duration::from_millis(1_300);

/// Longest interval between two probes of a member of a replica that entries keep suspecting though
/// all its members answer. The interval doubles with each answer up to this bound.
const MAX_PROBE_INTERVAL: Duration = Duration::from_millis(1_600);

/// Consecutive probes without an answer after which an instance counts as unreachable.
const MAX_MISSED_PROBES: u32 = 2;

/// Largest response of an instance, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 10;

/// Results of the probes of one instance.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Probe {
    sent_at: Time,
    /// Consecutive probes without an answer.
    misses: u32,
    /// Consecutive probes with an answer.
    answers: u32,
}

impl<P: Platform> Owner<P> {
    /// Probes an instance unless it was probed within `interval`.
    fn probe_if_due(&mut self, now: Time, id: Arc<str>, interval: Duration) {
        let probe = self.probes.entry(id.clone()).or_default();
        if now.since(probe.sent_at) >= interval || probe.sent_at == Time::ZERO {
            probe.sent_at = now;
            self.probe(id);
        }
    }

    /// Probes instances that are missing from the list.
    pub(super) fn probe_unlisted(&mut self, now: Time, unlisted: Vec<(Arc<str>, Role)>) {
        for (id, role) in unlisted {
            let interval = match role {
                Role::Forming => FORMING_PROBE_INTERVAL,
                Role::Member => PROBE_INTERVAL,
                Role::Spare => SPARE_PROBE_INTERVAL,
            };
            self.probe_if_due(now, id, interval);
        }
    }

    /// Probes an instance that didn't answer an order.
    pub(super) fn probe_unresponsive(&mut self, now: Time, id: Arc<str>) {
        self.probe_if_due(now, id, PROBE_INTERVAL);
    }

    /// Probes the members of suspect replicas, except those that are already ending.
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
            self.probe_if_due(now, id, (PROBE_INTERVAL * factor).min(MAX_PROBE_INTERVAL));
        }
        self.probes.retain(|_, it| now.since(it.sent_at) < MAX_PROBE_INTERVAL + PROBE_INTERVAL);
    }

    /// Probes an instance in a task of its own.
    fn probe(&self, id: Arc<str>) {
        let Some(instance) = self.shared.knowledge().fleet.find(&id).cloned() else { return };
        let (shared, results) = (self.shared.clone(), self.results.clone());
        tokio::spawn(async move {
            let request = shared.platform.probe(instance.address);
            let call = shared
                .targets
                .call_once(instance.address, request, PROBE_TIMEOUT, MAX_RESPONSE_BYTES)
                .await;
            let report = call.ok().and_then(|it| shared.platform.report(it.body()).ok());
            // The address may belong to another instance by now.
            let report = report.filter(|it| it.incarnation == instance.incarnation);
            let is_alive = report.is_some();
            if let Some(report) = report {
                shared.knowledge().fleet.observe(&id, report);
                shared.fleet_changed.notify_waiters();
            }
            // The receiver is gone only when the process ends.
            let _sent = results
                .send(Result::Probe { id, incarnation: instance.incarnation, is_alive })
                .await;
        });
    }

    /// Records the result of a probe.
    pub(super) fn record_probe(
        &mut self,
        now: Time,
        id: &Arc<str>,
        incarnation: u64,
        is_alive: bool,
    ) {
        let probe = self.probes.entry(id.clone()).or_default();
        probe.misses = if is_alive { 0 } else { probe.misses + 1 };
        probe.answers = if is_alive { probe.answers + 1 } else { 0 };
        let is_lost = probe.misses >= MAX_MISSED_PROBES;
        for formation in self.formations.values_mut() {
            match (is_alive, is_lost) {
                (true, _) => formation.mark_reachable(now, id, incarnation),
                (false, true) => formation.mark_unreachable(now, id, incarnation),
                (false, false) => {}
            }
        }
        if is_lost {
            let reason = "no answer to probes";
            self.shared.journal.note(&Event::Unreachable { instance: id, reason });
        } else if !is_alive {
            // Probed again at once: a single lost answer must not end a replica.
            self.probes.entry(id.clone()).or_default().sent_at = now;
            self.probe(id.clone());
        }
    }
}
