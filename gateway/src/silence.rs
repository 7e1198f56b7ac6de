//! When a target, or one stream of it, has been silent for too long.

use decision::prelude::*;

use crate::journal::Event;
use crate::port::Platform;
use crate::request::{Job, millis};
use crate::slot::Slot;

/// Silence of one stream after which it is resumed elsewhere, even if its target sends events of
/// other streams. A route that allows longer pauses has more time.
const STREAM_TIMEOUT: Duration = Duration::from_secs(1);

/// Shortest interval between two checks of a target.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Delay of a timer up to which the entry does not count as busy.
const TIMER_TOLERANCE: Duration = Duration::from_millis(5);

/// Longest time that an entry which was busy waits for data.
const MAX_LATE_TIMER_GRACE: Duration = Duration::from_millis(100);

/// Returns when to check next whether a target is silent.
pub(crate) fn next_check<P: Platform>(job: &Job<P>, slot: &Slot<P>, last_received: Time) -> Time {
    let now = job.shared.now();
    let target_deadline = job.shared.balance().silence_deadline(now, slot.key, &slot.terms);
    let stream_deadline = last_received + stream_timeout(job);
    let soonest = target_deadline.map_or(stream_deadline, |it| it.min(stream_deadline));
    let soonest = soonest.max(now + MIN_CHECK_INTERVAL);
    soonest.min(job.deadline.max(now + MIN_CHECK_INTERVAL))
}

/// Returns when to check again a target that is silent while no other one may take over.
pub(crate) fn next_doubt<P: Platform>(job: &Job<P>) -> Time {
    (job.shared.now() + STREAM_TIMEOUT).min(job.deadline)
}

/// Returns until when to wait for data before a target counts as silent, if the timer for `due`
/// fired late: the entry was busy then, and may not have read yet what arrived meanwhile.
pub(crate) fn late_timer_grace(now: Time, due: Time) -> Option<Time> {
    let late = now.since(due);
    (late > TIMER_TOLERANCE).then(|| now + late.min(MAX_LATE_TIMER_GRACE))
}

/// Checks whether a target, or its stream that last sent data at `last_received`, has been silent
/// for too long. If the target has been, reports it as suspect and closes its idle connections,
/// which may be dead too.
pub(crate) fn check<P: Platform>(job: &Job<P>, slot: &Slot<P>, last_received: Time) -> bool {
    let now = job.shared.now();
    let is_silent = job.shared.balance().check_silence(now, slot.key, &slot.terms);
    if is_silent {
        let silent_ms = millis(now.since(last_received));
        job.shared.journal.note(&Event::Suspect { target: &slot.target.id, silent_ms });
        job.shared.fleet_changed.notify_waiters();
        job.shared.targets.close_idle(slot.target.address);
    }
    is_silent || now.since(last_received) >= stream_timeout(job)
}

fn stream_timeout<P>(job: &Job<P>) -> Duration {
    STREAM_TIMEOUT.max(job.route.max_event_gap.unwrap_or_default())
}

/// Checks the silence of a target that has not responded yet. Only the silence on all its streams
/// counts.
pub(crate) fn check_before_response<P: Platform>(job: &Job<P>, slot: &Slot<P>) -> bool {
    check(job, slot, job.shared.now())
}
