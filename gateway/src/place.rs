//! A place of a request at a target.

use std::sync::Arc;

use decision::gateway::balance::{End, Key, Target};

use crate::state::Shared;

/// A target that a request was given to, counted there until the end.
pub(crate) struct Place<P> {
    shared: Arc<Shared<P>>,
    /// The target.
    pub(crate) key: Key,
    /// The target as it was listed.
    pub(crate) target: Target,
    prompt: u64,
    ended: bool,
}

impl<P> Place<P> {
    /// A place at `target`, which already counts it with `prompt` tokens.
    pub(crate) fn new(shared: Arc<Shared<P>>, key: Key, target: Target, prompt: u64) -> Place<P> {
        Place { shared, key, target, prompt, ended: false }
    }

    /// Notes the first token.
    pub(crate) fn first(&mut self) {
        let prompt = std::mem::take(&mut self.prompt);
        if prompt > 0 {
            self.shared.balance().first(self.key, prompt);
            self.shared.loaded.notify_one();
        }
    }

    /// Notes a sign of life.
    pub(crate) fn hear(&self) {
        let now = self.shared.now();
        self.shared.balance().hear(now, self.key);
    }

    /// Notes how it ended.
    pub(crate) fn end(mut self, end: End) {
        self.finish(end);
    }

    fn finish(&mut self, end: End) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let now = self.shared.now();
        self.shared.balance().end(now, self.key, self.prompt, end);
        self.shared.freed.notify_one();
        self.shared.loaded.notify_one();
    }
}

impl<P> Drop for Place<P> {
    /// A request that is dropped was left by its caller.
    fn drop(&mut self) {
        self.finish(End::Left);
    }
}
