//! The long-running tasks of an entry, and what happens if one of them ends too early.

use std::collections::HashMap;

use tokio::task::{Id, JoinError, JoinSet};

/// The long-running tasks of an entry, each with the name of its part.
///
/// Dropping it aborts them.
#[derive(Debug, Default)]
pub struct Parts {
    tasks: JoinSet<()>,
    names: HashMap<Id, &'static str>,
}

/// A part ended although the entry had not been asked to stop.
#[derive(Debug, thiserror::Error)]
pub enum Ended {
    /// Its task returned.
    #[error("part \"{0}\" of the entry ended by itself")]
    Returned(&'static str),
    /// Its task panicked.
    #[error("part \"{part}\" of the entry failed: {source}")]
    Failed {
        /// The part.
        part: &'static str,
        /// What the runtime says of the task.
        source: JoinError,
    },
}

impl Parts {
    /// Runs `task` as the part `name`.
    pub fn spawn(&mut self, name: &'static str, task: impl Future<Output = ()> + Send + 'static) {
        let handle = self.tasks.spawn(task);
        self.names.insert(handle.id(), name);
    }

    /// Waits until some part ends. Waits forever if there is none.
    pub async fn ended(&mut self) -> Ended {
        match self.tasks.join_next_with_id().await {
            Some(Ok((id, ()))) => Ended::Returned(self.name(id)),
            Some(Err(source)) => Ended::Failed { part: self.name(source.id()), source },
            None => std::future::pending().await,
        }
    }

    /// Waits until all parts have ended.
    pub async fn join(&mut self) {
        while self.tasks.join_next().await.is_some() {}
    }

    /// Aborts all parts and waits until they are gone.
    pub async fn shutdown(&mut self) {
        self.tasks.shutdown().await;
    }

    fn name(&self, id: Id) -> &'static str {
        self.names.get(&id).copied().unwrap_or_default()
    }
}
