//! One streamed answer of an engine, which readers follow from any offset.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{Stream, stream};
use serde::Deserialize;
use serde_json::json;
use tokio::sync::watch;
use tokio::time;

use crate::web::Cut;

/// A caller's order to generate.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Order {
    pub(crate) request: u64,
    pub(crate) attempt: u64,
    pub(crate) replica: String,
    pub(crate) epoch: u64,
    pub(crate) prompt: String,
    pub(crate) max_tokens: u64,
    #[serde(default)]
    pub(crate) priority: u8,
    #[serde(default)]
    pub(crate) from: u64,
}

/// How far an answer is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// Tokens up to this offset exist and more will follow.
    Running(u64),
    /// Tokens up to this offset exist and the answer is whole.
    Whole(u64),
    /// The engine lost the answer.
    Lost,
}

/// One streamed answer. It echoes the words of its prompt, so that readers can check it.
pub(crate) struct Generation {
    order: Order,
    progress: watch::Sender<Progress>,
}

/// How fast an engine is.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Speed {
    pub(crate) token: Duration,
}

impl Generation {
    pub(crate) fn new(order: Order) -> Arc<Generation> {
        let progress = watch::Sender::new(Progress::Running(order.from));
        Arc::new(Generation { order, progress })
    }

    /// Makes one token after the other. Waits while `complete` is false, as a replica with a
    /// missing instance does.
    pub(crate) async fn run(&self, speed: Speed, mut complete: watch::Receiver<bool>) {
        for made in self.order.from..self.order.max_tokens {
            time::sleep(speed.token).await;
            if complete.wait_for(|complete| *complete).await.is_err() || self.is_lost() {
                return self.lose();
            }
            self.progress.send_replace(Progress::Running(made + 1));
        }
        if !self.is_lost() {
            self.progress.send_replace(Progress::Whole(self.order.max_tokens));
        }
    }

    /// The priority that its caller asked for.
    pub(crate) fn priority(&self) -> u8 {
        self.order.priority
    }

    /// Ends the answer in the middle: its readers' connections are cut.
    pub(crate) fn lose(&self) {
        self.progress.send_replace(Progress::Lost);
    }

    pub(crate) fn is_running(&self) -> bool {
        matches!(*self.progress.borrow(), Progress::Running(_))
    }

    fn is_lost(&self) -> bool {
        *self.progress.borrow() == Progress::Lost
    }

    /// The answer's lines from `offset` on.
    pub(crate) fn read(
        self: Arc<Self>,
        offset: u64,
    ) -> impl Stream<Item = Result<Bytes, Cut>> + Send + 'static {
        let progress = self.progress.subscribe();
        stream::unfold(Some((self, progress, offset)), |reader| async move {
            let (generation, mut progress, offset) = reader?;
            let ready = progress.wait_for(|progress| match progress {
                Progress::Running(made) => *made > offset,
                Progress::Whole(_) | Progress::Lost => true,
            });
            let ready = ready.await.map_or(Progress::Lost, |progress| *progress);
            match ready {
                Progress::Lost => Some((Err(Cut), None)),
                Progress::Whole(count) if offset >= count => {
                    Some((Ok(generation.end(count)), None))
                }
                Progress::Whole(_) | Progress::Running(_) => {
                    let line = generation.token(offset);
                    Some((Ok(line), Some((generation, progress, offset + 1))))
                }
            }
        })
    }

    fn token(&self, offset: u64) -> Bytes {
        let words: Vec<&str> = self.order.prompt.split_whitespace().collect();
        let index = usize::try_from(offset).unwrap_or_default() % words.len().max(1);
        let word = words.get(index).copied().unwrap_or_default();
        let Order { request, attempt, .. } = self.order;
        line(&json!({
            "request": request,
            "attempt": attempt,
            "offset": offset,
            "token": format!("{word} "),
        }))
    }

    fn end(&self, count: u64) -> Bytes {
        let Order { request, attempt, .. } = self.order;
        line(&json!({ "request": request, "attempt": attempt, "end": count }))
    }
}

fn line(value: &serde_json::Value) -> Bytes {
    Bytes::from(format!("{value}\n"))
}
