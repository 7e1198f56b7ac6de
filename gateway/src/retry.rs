//! The retry budgets of the services, and permits to send single retries.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use decision::gateway::budget::{self, Budget, Share, Usage};
use decision::prelude::*;

use crate::settings::Bounds;
use crate::state::Shared;

/// The retry budgets of all services, and this entry's share of their slack.
pub(crate) struct Retries {
    state: Mutex<State>,
}

struct State {
    share: Share,
    budgets: HashMap<Arc<str>, Budget>,
}

/// What decided on a retry.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Verdict {
    /// Whether the retry may be sent.
    pub(crate) granted: bool,
    /// Use of the budget without the retry.
    pub(crate) usage: Usage,
    /// Entries that the slack is divided among.
    pub(crate) entries: usize,
    /// This entry's share of the slack.
    pub(crate) share: f64,
}

impl Retries {
    /// Returns budgets of which nothing is used. `is_first_start` is set when all entries start for
    /// the first time.
    pub(crate) fn new(is_first_start: bool) -> Retries {
        let state = State { share: Share::new(is_first_start), budgets: HashMap::new() };
        Retries { state: Mutex::new(state) }
    }

    /// Counts a caller's request to `service`.
    pub(crate) fn record_request(&self, now: Time, bounds: &Bounds, service: &Arc<str>) {
        self.state().budget(bounds, service).record_request(now);
    }

    /// Counts a retry to `service`.
    fn record_retry(&self, now: Time, bounds: &Bounds, service: &Arc<str>) {
        self.state().budget(bounds, service).record_retry(now);
    }

    /// Takes back a retry to `service` that was counted at `recorded_at`.
    fn cancel_retry(&self, recorded_at: Time, service: &Arc<str>) {
        if let Some(budget) = self.state().budgets.get_mut(service) {
            budget.cancel_retry(recorded_at);
        }
    }

    /// Decides whether one more retry may be sent to `service`.
    pub(crate) fn verdict(&self, now: Time, bounds: &Bounds, service: &Arc<str>) -> Verdict {
        let window = bounds.retry_window();
        let mut state = self.state();
        let share = state.share.fraction(now, window);
        let entries = state.share.entries(now, window);
        let usage = state.budget(bounds, service).usage(now, share);
        Verdict { granted: usage.has_room(), usage, entries, share }
    }

    /// Drops the budgets of services that are not among `services`, once nothing counted there
    /// matters any more.
    pub(crate) fn retain_services(&self, now: Time, services: &[Arc<str>]) {
        let mut state = self.state();
        state.budgets.retain(|name, it| services.contains(name) || it.is_in_use(now));
    }

    /// Records the list of entries, and whether it names this one.
    pub(crate) fn record_list(&self, now: Time, bounds: &Bounds, entries: usize, is_listed: bool) {
        self.state().share.record_list(now, bounds.retry_window(), entries, is_listed);
    }

    /// Records that what this entry knows of the store was up to date at `confirmed_at`, if it ever
    /// was.
    pub(crate) fn record_confirmation(&self, confirmed_at: Option<Time>) {
        self.state().share.record_confirmation(confirmed_at);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Permission to send one retry, which is counted already. On drop it is taken back, unless the
/// retry was sent.
pub(crate) struct Permit<P> {
    shared: Arc<Shared<P>>,
    service: Arc<str>,
    granted_at: Time,
    is_used: bool,
}

impl<P> Permit<P> {
    /// Counts one retry to `service`.
    pub(crate) fn new(shared: Arc<Shared<P>>, service: Arc<str>) -> Permit<P> {
        let granted_at = shared.now();
        shared.retries.record_retry(granted_at, &shared.settings().bounds, &service);
        Permit { shared, service, granted_at, is_used: false }
    }

    /// Leaves the retry counted for good.
    pub(crate) fn record_use(mut self) {
        self.is_used = true;
    }
}

impl<P> Drop for Permit<P> {
    fn drop(&mut self) {
        if !self.is_used {
            self.shared.retries.cancel_retry(self.granted_at, &self.service);
        }
    }
}

impl State {
    fn budget(&mut self, bounds: &Bounds, service: &Arc<str>) -> &mut Budget {
        let settings = budget::Settings {
            ratio: bounds.retry_ratio,
            window: bounds.retry_window(),
            slack: bounds.retry_slack,
        };
        let budget = self.budgets.entry(service.clone()).or_insert_with(|| Budget::new(settings));
        // A reload may have changed the bounds.
        budget.set_settings(settings);
        budget
    }
}
