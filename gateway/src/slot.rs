//! Slots that requests occupy at targets.

use std::sync::Arc;

use decision::gateway::balance::{Completion, Forecast, Key, Target, Terms};
use decision::prelude::*;

use crate::state::Shared;

/// Slot of one attempt of a request at a target. The balancer counts the attempt as running until
/// the slot is finished or dropped.
pub(crate) struct Slot<P> {
    shared: Arc<Shared<P>>,
    /// Key of the target in the balancer.
    pub(crate) key: Key,
    /// The target as it was listed when it was chosen.
    pub(crate) target: Target,
    /// What the target was known to need when it was chosen.
    pub(crate) terms: Terms,
    /// Forecast at the time when the target was chosen.
    pub(crate) forecast: Forecast,
    /// Prompt tokens that the target is still expected to process; 0 after the first event.
    prompt_tokens: u64,
    started_at: Time,
    first_event_at: Option<Time>,
    /// Whether the target has answered for so long that the request's prompt didn't crash it.
    pub(crate) is_survived: bool,
    last_event_at: Option<Time>,
    event_count: u32,
    /// Whether this entry waited for its caller before it read the next event.
    is_next_gap_ignored: bool,
    is_finished: bool,
}

impl<P> Slot<P> {
    /// Returns a slot at `target`, for which the balancer already counts the attempt with
    /// `prompt_tokens`.
    pub(crate) fn new(
        shared: Arc<Shared<P>>,
        (key, target, terms): (Key, Target, Terms),
        forecast: Forecast,
        prompt_tokens: u64,
    ) -> Slot<P> {
        let started_at = shared.now();
        Slot {
            shared,
            key,
            target,
            terms,
            forecast,
            prompt_tokens,
            started_at,
            first_event_at: None,
            is_survived: false,
            last_event_at: None,
            event_count: 0,
            is_next_gap_ignored: false,
            is_finished: false,
        }
    }

    /// Records that one or more events were read together. The first call shows that the target
    /// has processed the prompt.
    pub(crate) fn record_event(&mut self) {
        let now = self.shared.now();
        self.event_count = self.event_count.saturating_add(1);
        let is_gap_ignored = std::mem::take(&mut self.is_next_gap_ignored);
        match self.last_event_at.replace(now) {
            Some(_) if is_gap_ignored => {}
            Some(last) => self.shared.balance().record_pass(now, self.key, now.since(last)),
            None => self.record_first_event(now),
        }
    }

    /// Returns the time since the first event; `None` if there was none.
    pub(crate) fn writing_time(&self) -> Option<Duration> {
        self.first_event_at.map(|it| self.shared.now().since(it))
    }

    /// Excludes the gap before the next event from the target's speed, since this entry reads that
    /// event late.
    pub(crate) fn ignore_next_gap(&mut self) {
        self.is_next_gap_ignored = true;
    }

    fn record_first_event(&mut self, now: Time) {
        self.first_event_at = Some(now);
        let elapsed = now.since(self.started_at);
        let prompt_tokens = std::mem::take(&mut self.prompt_tokens);
        let mut balancer = self.shared.balance();
        balancer.finish_prefill(self.key, prompt_tokens);
        balancer.record_first_token(self.key, &self.forecast, elapsed);
        drop(balancer);
        if self.target.model.is_some() {
            let expected = Duration::from_secs_f64(self.forecast.first_token_ms.max(0.0) / 1_000.0);
            let error = elapsed.abs_diff(expected);
            self.shared.metrics.time("rhubarblatch_first_token_error_seconds", "", error);
        }
        self.shared.load_changed.notify_one();
    }

    /// Records that the target sent bytes, with or without a whole event.
    pub(crate) fn record_activity(&self) {
        let now = self.shared.now();
        self.shared.balance().record_activity(now, self.key);
    }

    /// Ends the attempt with `completion` and releases the slot.
    pub(crate) fn finish(mut self, completion: Completion) {
        self.release(completion);
    }

    fn release(&mut self, completion: Completion) {
        if std::mem::replace(&mut self.is_finished, true) {
            return;
        }
        let now = self.shared.now();
        let mut balancer = self.shared.balance();
        if completion == Completion::Answered && self.event_count > 0 {
            balancer.record_answer(self.key, self.event_count);
        }
        balancer.finish_attempt(now, self.key, self.prompt_tokens, completion);
        drop(balancer);
        self.shared.slot_freed.notify_one();
        self.shared.load_changed.notify_one();
    }
}

impl<P> Drop for Slot<P> {
    /// Releases the slot as cancelled unless it was finished: a request that is dropped lost its
    /// caller.
    fn drop(&mut self) {
        self.release(Completion::Cancelled);
    }
}
