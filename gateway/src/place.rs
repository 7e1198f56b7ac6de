//! A place of a request at a target.

use std::sync::Arc;

use decision::gateway::balance::{Completion, Forecast, Key, Target};
use decision::prelude::*;

use crate::state::Shared;

/// A target that a request was given to, counted there until the end.
pub(crate) struct Place<P> {
    shared: Arc<Shared<P>>,
    /// The target.
    pub(crate) key: Key,
    /// The target as it was listed.
    pub(crate) target: Target,
    /// What was expected when it was placed.
    pub(crate) forecast: Forecast,
    prompt: u64,
    since: Time,
    /// When its last event came, and how many did.
    event: Option<Time>,
    events: u32,
    /// Whether this entry waited for its caller before it read on.
    late: bool,
    ended: bool,
}

impl<P> Place<P> {
    /// A place at `target`, which already counts it with `prompt` tokens.
    pub(crate) fn new(
        shared: Arc<Shared<P>>,
        (key, target): (Key, Target),
        forecast: Forecast,
        prompt: u64,
    ) -> Place<P> {
        let since = shared.now();
        Place {
            shared,
            key,
            target,
            forecast,
            prompt,
            since,
            event: None,
            events: 0,
            late: false,
            ended: false,
        }
    }

    /// Notes that events came. The first of them says that the prompt was read.
    pub(crate) fn event(&mut self) {
        let now = self.shared.now();
        self.events = self.events.saturating_add(1);
        let late = std::mem::take(&mut self.late);
        match self.event.replace(now) {
            Some(_) if late => {}
            Some(last) => self.shared.balance().record_pass(now, self.key, now.since(last)),
            None => self.first(now),
        }
    }

    /// Notes that the next event says nothing of the target, since this entry read it late.
    pub(crate) fn skip(&mut self) {
        self.late = true;
    }

    fn first(&mut self, now: Time) {
        let took = now.since(self.since);
        let prompt = std::mem::take(&mut self.prompt);
        let mut balance = self.shared.balance();
        balance.finish_prefill(self.key, prompt);
        balance.record_first_token(self.key, &self.forecast, took);
        drop(balance);
        if self.target.model.is_some() {
            let expected = Duration::from_secs_f64(self.forecast.first_token_ms.max(0.0) / 1_000.0);
            let error = took.abs_diff(expected);
            self.shared.metrics.time("rhubarblatch_first_token_error_seconds", "", error);
        }
        self.shared.loaded.notify_one();
    }

    /// Notes a sign of life.
    pub(crate) fn hear(&self) {
        let now = self.shared.now();
        self.shared.balance().record_activity(now, self.key);
    }

    /// Notes how it ended.
    pub(crate) fn end(mut self, end: Completion) {
        self.finish(end);
    }

    fn finish(&mut self, end: Completion) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let now = self.shared.now();
        let mut balance = self.shared.balance();
        if end == Completion::Answered && self.events > 0 {
            balance.record_answer(self.key, self.events);
        }
        balance.finish_attempt(now, self.key, self.prompt, end);
        drop(balance);
        self.shared.freed.notify_one();
        self.shared.loaded.notify_one();
    }
}

impl<P> Drop for Place<P> {
    /// A request that is dropped was left by its caller.
    fn drop(&mut self) {
        self.finish(Completion::Cancelled);
    }
}
