//! Which engines to ask for a report, and what they answered last.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::prelude::*;
use crate::report::Report;

/// Bounds of probing.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time between two probes of one instance.
    pub interval: Duration,
    /// Time after which a probe without an answer counts as lost.
    pub timeout: Duration,
    /// Silence that ends a row of answers.
    pub gap: Duration,
}

/// The instances that one entry probes, with their last answers.
#[derive(Clone, Debug)]
pub struct Reports {
    settings: Settings,
    entries: BTreeMap<Name, Entry>,
}

/// A probe to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Probe {
    /// The instance to ask.
    pub instance: Name,
    /// Its engine's address.
    pub address: SocketAddr,
}

/// An engine's last answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// When the probe was sent. What it says held at that time or later.
    pub at: Time,
    /// What the engine said.
    pub report: Report,
}

#[derive(Clone, Debug)]
struct Entry {
    address: SocketAddr,
    asked: Option<Time>,
    waiting: bool,
    answer: Option<Answer>,
    /// When the present row of answers without a gap began.
    row: Time,
}

impl Reports {
    /// An empty reports.
    pub fn new(settings: Settings) -> Reports {
        Reports { settings, entries: BTreeMap::new() }
    }

    /// Sets the instances to probe. Answers of others are forgotten.
    pub fn watch(&mut self, wanted: BTreeMap<Name, SocketAddr>) {
        self.entries.retain(|name, it| wanted.get(name) == Some(&it.address));
        for (name, address) in wanted {
            let entry =
                Entry { address, asked: None, waiting: false, answer: None, row: Time::ZERO };
            self.entries.entry(name).or_insert(entry);
        }
    }

    /// The probes to send now.
    pub fn due(&mut self, now: Time) -> Vec<Probe> {
        let settings = self.settings;
        let due = self.entries.iter_mut().filter_map(|(name, it)| {
            let pause = if it.waiting { settings.timeout } else { settings.interval };
            if it.asked.is_some_and(|at| now < at + pause) {
                return None;
            }
            it.asked = Some(now);
            it.waiting = true;
            Some(Probe { instance: name.clone(), address: it.address })
        });
        due.collect()
    }

    /// Takes in the answer to the probe of `instance` that was sent at `sent`.
    ///
    /// Answers that cross are ordered by the time of their probes.
    pub fn answered(&mut self, sent: Time, instance: &Name, report: Report) {
        let Some(entry) = self.entries.get_mut(instance) else { return };
        entry.waiting = false;
        let newer = entry.answer.as_ref().is_none_or(|it| it.at <= sent);
        if newer && report.instance == *instance {
            let last = entry.answer.as_ref().map(|it| it.at);
            if last.is_none_or(|it| sent.since(it) > self.settings.gap) {
                entry.row = sent;
            }
            entry.answer = Some(Answer { at: sent, report });
        }
    }

    /// Takes in that the last probe of `instance` failed.
    pub fn failed(&mut self, instance: &Name) {
        if let Some(entry) = self.entries.get_mut(instance) {
            entry.waiting = false;
        }
    }

    /// The last answer of `instance`.
    pub fn answer(&self, instance: &Name) -> Option<&Answer> {
        self.entries.get(instance)?.answer.as_ref()
    }

    /// Whether `instance` has answered without a gap from `since` to within a gap of `now`.
    pub fn steady(&self, instance: &Name, since: Time, now: Time) -> bool {
        self.entries.get(instance).is_some_and(|it| {
            let answer = it.answer.as_ref();
            it.row <= since && answer.is_some_and(|it| now.since(it.at) <= self.settings.gap)
        })
    }

    /// The last answer of `instance` if its probe left after `since`.
    pub fn fresh(&self, instance: &Name, since: Time) -> Option<&Report> {
        self.answer(instance).filter(|it| it.at >= since).map(|it| &it.report)
    }
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            interval: Duration::from_millis(500),
            timeout: Duration::from_secs(1),
            gap: Duration::from_secs(3),
        }
    }
}
