//! Parts of prompts that crash replicas: collects the evidence at this entry, and keeps the
//! decisions of all entries in the store (see [`decision::gateway::quarantine`]).

use std::collections::BTreeMap;
use std::sync::Arc;

use decision::gateway::balance::{Target, hash, tag};
use decision::gateway::prompt::Part;
use decision::gateway::quarantine::{self, Evidence};
use decision::prelude::*;
use http::StatusCode;
use serde_json::json;
use tokio::time::sleep;

use crate::error::Call;
use crate::follow;
use crate::journal::Event;
use crate::port::{Changes, Condition, Head, Kind, Outgoing, Platform, Write};
use crate::refusal::Denial;
use crate::slot::Slot;
use crate::state::Shared;

/// Added to the time since the start of the process, so that what peers report of the time before
/// it has a time too.
const HISTORY: Duration = Duration::from_secs(2 * 86_400);

/// Interval at which evidence is judged and the store is brought in line with the decisions.
const JUDGE_INTERVAL: Duration = Duration::from_millis(100);

/// Time in which a target must answer the check whether it crashed.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Largest report of a target, in bytes.
const MAX_REPORT_BYTES: usize = 64 << 10;

/// Timeout of a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay after a call to the store before the next one: its effect then shows in the mirror.
const STORE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Longest delay before one of the first entries of a failure domain writes a decision. Only one of
/// all entries has to.
const FIRST_WRITE_DELAY: Duration = Duration::from_millis(400);

/// Shortest and longest delay before another entry does.
const LATER_WRITE_DELAY: [Duration; 2] = [Duration::from_secs(1), Duration::from_secs(5)];

/// Decides whether a request may be sent. Logs and counts it if a part of its prompt may not.
///
/// # Errors
///
/// Returns [`Denial::Quarantined`] then.
pub(crate) fn check<P>(shared: &Shared<P>, head: &Head) -> Result<(), Denial> {
    let Some(part) = shared.quarantine().find(&head.prompt) else { return Ok(()) };
    shared.metrics.count("rhubarblatch_withheld_requests_total", "");
    shared.journal.note(&Event::Withheld {
        request: &head.id,
        part: part.to_string(),
        model: part.model,
    });
    Err(Denial::Quarantined)
}

/// Records that a target broke an attempt off, for the first time for its request if `is_first` is
/// set. Checks whether the target crashed.
pub(crate) fn record_loss<P: Platform>(
    shared: &Arc<Shared<P>>,
    slot: &Slot<P>,
    prompt: &[Part],
    is_first: bool,
) {
    let target = target_tag(&slot.target);
    if shared.quarantine().record_loss(now(shared), target, prompt, is_first) {
        tokio::spawn(check_target(shared.clone(), slot.target.clone()));
    }
}

/// Records that a target sent events of an answer, which shows after some time that the prompt
/// didn't crash it.
pub(crate) fn record_event<P>(shared: &Shared<P>, slot: &mut Slot<P>, prompt: &[Part]) {
    let survival_time = quarantine::Settings::default().survival_time;
    if !slot.is_survived && slot.writing_time().is_some_and(|it| it >= survival_time) {
        record_answer(shared, slot, prompt);
    }
}

/// Records that a target answered a request.
pub(crate) fn record_answer<P>(shared: &Shared<P>, slot: &mut Slot<P>, prompt: &[Part]) {
    slot.is_survived = true;
    let released = shared.quarantine().record_survival(now(shared), prompt);
    released.into_iter().for_each(|it| report_released(shared, it, "answered"));
}

/// Merges what a peer knows.
pub(crate) fn merge<P>(shared: &Shared<P>, evidence: &Evidence) {
    let (new, released) = shared.quarantine().merge(now(shared), evidence);
    new.into_iter().for_each(|it| report_quarantined(shared, it, "peer", 0));
    released.into_iter().for_each(|it| report_released(shared, it, "answered elsewhere"));
}

/// Returns what peers should know that is newer than `version`, and its version.
pub(crate) fn evidence<P>(shared: &Shared<P>, version: u64) -> (u64, Evidence) {
    let quarantine = shared.quarantine();
    (quarantine.version(), quarantine.evidence(now(shared), version))
}

/// Applies changes of the parts that the store lists as quarantined.
pub(crate) fn apply_stored<P>(shared: &Shared<P>, changes: &Changes) {
    let now = now(shared);
    for part in changes.put.iter().filter_map(|it| Part::from_name(&it.name)) {
        if shared.quarantine().adopt(now, part, now) {
            report_quarantined(shared, part, "store", 0);
        }
    }
    for part in changes.gone.iter().filter_map(|it| Part::from_name(it)) {
        if shared.quarantine().lift(now, part) {
            report_released(shared, part, "removed from the store");
        }
    }
}

/// Judges the evidence, and brings the store in line with the decisions, until the process ends.
pub(crate) async fn run<P: Platform>(shared: Arc<Shared<P>>) {
    let mut surplus = BTreeMap::new();
    let mut next_call_at = Time::ZERO;
    loop {
        sleep(JUDGE_INTERVAL).await;
        judge(&shared);
        if shared.now() < next_call_at || !shared.is_store_up() {
            continue;
        }
        let Some(request) = next_store_call(&shared, &mut surplus) else { continue };
        match follow::send_to_store(&shared, request, STORE_TIMEOUT).await {
            Ok(reply) if is_settled(reply.status) => {}
            Ok(reply) => report_failure(&shared, &follow::Error::Status(reply.status)),
            Err(error) => report_failure(&shared, &error),
        }
        next_call_at = shared.now() + STORE_RETRY_DELAY;
    }
}

/// Returns whether the store took a change, or another entry had made it before.
fn is_settled(status: StatusCode) -> bool {
    status.is_success() || status == StatusCode::CONFLICT || status == StatusCode::NOT_FOUND
}

fn report_failure<P>(shared: &Shared<P>, error: &follow::Error) {
    let reason = error.to_string();
    let event = Event::Lost { dependency: "store", kind: Kind::Quarantines, reason: &reason };
    shared.journal.note(&event);
}

fn judge<P>(shared: &Shared<P>) {
    let now = now(shared);
    let (new, lapsed) = {
        let mut quarantine = shared.quarantine();
        (quarantine.judge(now), quarantine.expire(now))
    };
    for verdict in new {
        report_quarantined(shared, verdict.part, "crashes", verdict.crashes);
    }
    lapsed.into_iter().for_each(|it| report_released(shared, it, "its time is over"));
}

/// Returns the next call that brings the store in line with the decisions, if it is this entry's
/// turn. `surplus` holds since when the store lists parts that are not quarantined any more.
fn next_store_call<P: Platform>(
    shared: &Shared<P>,
    surplus: &mut BTreeMap<Part, Time>,
) -> Option<Outgoing> {
    let now = now(shared);
    let due = |part: Part, since: Time| now.since(since) >= write_delay(shared, part);
    let quarantine = shared.quarantine();
    let verdicts: BTreeMap<Part, Time> =
        quarantine.verdicts().map(|it| (it.part, it.since)).collect();
    drop(quarantine);
    let mirror = shared.mirror();
    let stored: BTreeMap<Part, u64> = mirror
        .items(Kind::Quarantines)
        .filter_map(|it| Some((Part::from_name(&it.name)?, it.revision)))
        .collect();
    let is_stored = |part: &Part| mirror.stored(Kind::Quarantines, &part.name()).is_some();
    let missing = verdicts.iter().find(|(part, since)| !is_stored(part) && due(**part, **since));
    let missing = missing.map(|(part, _)| *part);
    drop(mirror);
    surplus.retain(|part, _| stored.contains_key(part) && !verdicts.contains_key(part));
    for part in stored.keys().filter(|it| !verdicts.contains_key(it)) {
        surplus.entry(*part).or_insert(now);
    }
    let store = shared.settings().store;
    if let Some(part) = missing {
        let value = json!({"part": part.to_string(), "model": part.model});
        let write = Write {
            kind: Kind::Quarantines,
            name: &part.name(),
            condition: Condition::Absent,
            value,
        };
        return Some(shared.platform.put(store, &write));
    }
    if verdicts.len() >= quarantine::MAX_QUARANTINED {
        // The rest of the stored parts had no room.
        return None;
    }
    let (part, _) = surplus.iter().find(|(part, since)| due(**part, **since))?;
    let revision = *stored.get(part)?;
    Some(shared.platform.delete(store, Kind::Quarantines, &part.name(), revision))
}

/// Returns how long this entry leaves the write of a decision on `part` to others.
fn write_delay<P>(shared: &Shared<P>, part: Part) -> Duration {
    let share = (hash(&shared.settings().instance) ^ part.id) % 1_000;
    let share = share as f64 / 1_000.0;
    let [min, max] = LATER_WRITE_DELAY;
    match shared.is_reader_candidate() {
        true => FIRST_WRITE_DELAY.mul_f64(share),
        false => min + (max - min).mul_f64(share),
    }
}

/// Checks whether `target` crashed: its process is gone, or another one answers in its place. One
/// that can't be reached in time may be cut off from this entry alone.
async fn check_target<P: Platform>(shared: Arc<Shared<P>>, target: Target) {
    let request = shared.platform.probe(target.address);
    let answer =
        shared.targets.call_once(target.address, request, CHECK_TIMEOUT, MAX_REPORT_BYTES).await;
    let has_crashed = match answer {
        Ok(answer) => {
            let report = shared.platform.report(answer.body());
            report.is_ok_and(|it| it.incarnation != target.incarnation.0)
        }
        Err(Call::Timeout | Call::Slow | Call::Malformed(_)) => false,
        Err(Call::Connect(error)) => error.kind() != std::io::ErrorKind::TimedOut,
        Err(_) => true,
    };
    let checked = target_tag(&target);
    let suspects = shared.quarantine().record_check(now(&shared), checked, has_crashed);
    shared.journal.note(&Event::Checked { target: &target.id, crashed: has_crashed, suspects });
    let labels = format!("crashed=\"{has_crashed}\"");
    shared.metrics.count("rhubarblatch_checked_targets_total", &labels);
    if has_crashed {
        shared.load_changed.notify_one();
    }
}

fn report_quarantined<P>(shared: &Shared<P>, part: Part, source: &str, crashes: usize) {
    let event = Event::Quarantined { part: part.to_string(), model: part.model, source, crashes };
    shared.journal.note(&event);
    shared.metrics.count("rhubarblatch_quarantined_parts_total", "");
}

fn report_released<P>(shared: &Shared<P>, part: Part, reason: &str) {
    let event = Event::Released { part: part.to_string(), model: part.model, reason };
    shared.journal.note(&event);
    shared.metrics.count("rhubarblatch_released_parts_total", "");
}

/// Returns the tag by which entries identify one start of a target.
fn target_tag(target: &Target) -> u32 {
    tag(&format!("{}/{}", target.id, target.incarnation.0))
}

fn now<P>(shared: &Shared<P>) -> Time {
    shared.now() + HISTORY
}
