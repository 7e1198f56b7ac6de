//! What entries tell each other of crashes.

use serde::{Deserialize, Serialize};

use super::{Quarantine, Suspicion};
use crate::gateway::prompt::Part;
use crate::prelude::*;

/// Differences of reported times up to this come from the time that reports take.
const MAX_TRANSIT_TIME: Duration = Duration::from_millis(100);

/// What an entry knows of crashes, of survivals of the suspected parts, and of the quarantine.
/// Written as an array, so the order of the fields counts. All ages are in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Known crashes.
    pub crashes: Vec<Report>,
    /// Suspected parts that were survived, with the age of the last survival.
    pub survivals: Vec<(Part, u32)>,
    /// Parts that are quarantined, and for how long they have been.
    pub verdicts: Vec<(Part, u32)>,
}

/// A crash, or a part of its suspects.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Tag of the start of the target that crashed.
    pub target: u32,
    /// Time since the crash.
    pub age_ms: u32,
    /// Parts that may have caused it.
    pub suspects: Vec<(Part, Suspicion)>,
}

impl Evidence {
    /// Returns whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.survivals.is_empty() && self.verdicts.is_empty()
    }

    /// Splits this into pieces with up to `max_parts` parts each.
    pub fn split(self, max_parts: usize) -> Vec<Evidence> {
        let mut pieces = Vec::new();
        let mut suspects = Vec::new();
        for Report { target, age_ms, suspects: all } in self.crashes {
            let part = |it: &[(Part, Suspicion)]| Report { target, age_ms, suspects: it.to_vec() };
            suspects.extend(all.chunks(max_parts).map(part));
        }
        let mut piece = Evidence::default();
        let mut room = max_parts;
        for report in suspects {
            if report.suspects.len() > room {
                pieces.push(std::mem::take(&mut piece));
                room = max_parts;
            }
            room -= report.suspects.len();
            piece.crashes.push(report);
        }
        pieces.push(piece);
        let survivals = self.survivals.chunks(max_parts);
        pieces
            .extend(survivals.map(|it| Evidence { survivals: it.to_vec(), ..Evidence::default() }));
        let verdicts = self.verdicts.chunks(max_parts);
        pieces.extend(verdicts.map(|it| Evidence { verdicts: it.to_vec(), ..Evidence::default() }));
        pieces.retain(|it| !it.is_empty());
        pieces
    }
}

impl Quarantine {
    /// Returns what peers should know that is newer than `version`, and all verdicts.
    pub fn evidence(&self, now: Time, version: u64) -> Evidence {
        let age = |at: Time| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
        let crashes = self.crashes.iter().filter(|(_, it)| it.version > version);
        let with_suspects = crashes.filter(|(_, it)| !it.suspects.is_empty());
        let crashes = with_suspects.map(|(target, crash)| Report {
            target: *target,
            age_ms: age(crash.at),
            suspects: crash.suspects.iter().map(|(part, it)| (*part, *it)).collect(),
        });
        let cleared = self.cleared.iter().filter(|(_, it)| it.version > version);
        Evidence {
            crashes: crashes.collect(),
            survivals: cleared.map(|(part, it)| (*part, age(it.survived_at))).collect(),
            verdicts: self.verdicts.values().map(|it| (it.part, age(it.since))).collect(),
        }
    }

    /// Merges what a peer knows. Returns the parts that are new in the quarantine, and those that
    /// left it.
    pub fn merge(&mut self, now: Time, evidence: &Evidence) -> (Vec<Part>, Vec<Part>) {
        let time = |age_ms: u32| now.back(Duration::from_millis(u64::from(age_ms)));
        let mut released = Vec::new();
        for (part, age_ms) in &evidence.survivals {
            if self.is_news(*part, time(*age_ms)) && self.clear(*part, time(*age_ms)) {
                released.push(*part);
            }
        }
        for report in &evidence.crashes {
            let at = time(report.age_ms);
            if now.since(at) < self.settings.window {
                self.add_suspects(now, report.target, at, report.suspects.iter().copied());
            }
        }
        let verdicts = evidence.verdicts.iter();
        let new = verdicts.filter(|(part, age)| self.adopt(now, *part, time(*age)));
        (new.map(|it| it.0).collect(), released)
    }

    /// Returns whether a survival that a peer reports is later than the known one. The times of its
    /// reports vary by the time that they take.
    fn is_news(&self, part: Part, at: Time) -> bool {
        self.survivals.get(&part).is_none_or(|it| at.since(*it) > MAX_TRANSIT_TIME)
    }
}
