//! An engine's prefix cache of bounded size, and the events that tell of it, late and with gaps.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::time::Instant;

/// Events that are kept for those who ask.
const MAX_EVENTS: usize = 4_096;

/// Events in one answer.
const MAX_ANSWER: usize = 256;

/// How a cache behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Blocks that it holds. The one used longest ago goes first.
    pub blocks: usize,
    /// How late its events are.
    pub lag: Duration,
    /// One event in so many is lost. Zero: none.
    pub lose_every: u64,
}

/// The blocks that an engine holds.
#[derive(Debug)]
pub(crate) struct Cache {
    settings: Settings,
    blocks: VecDeque<u64>,
    log: VecDeque<(Instant, Event)>,
    seq: u64,
}

/// A change of the cache.
#[derive(Clone, Copy, Debug, Serialize)]
struct Event {
    seq: u64,
    op: Op,
    block: u64,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Op {
    Add,
    Drop,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { blocks: 1_024, lag: Duration::from_millis(50), lose_every: 0 }
    }
}

impl Cache {
    pub(crate) fn new(settings: Settings) -> Cache {
        Cache { settings, blocks: VecDeque::new(), log: VecDeque::new(), seq: 0 }
    }

    /// Caches the blocks of a prompt. Returns how many of the first ones were there already.
    pub(crate) fn take(&mut self, prompt: &[u64]) -> usize {
        let hits = prompt.iter().take_while(|it| self.blocks.contains(it)).count();
        for block in prompt {
            let held = self.blocks.len();
            self.blocks.retain(|it| it != block);
            if self.blocks.len() == held {
                self.note(Op::Add, *block);
            }
            self.blocks.push_back(*block);
        }
        while self.blocks.len() > self.settings.blocks {
            let Some(oldest) = self.blocks.pop_front() else { break };
            self.note(Op::Drop, oldest);
        }
        hits
    }

    /// Forgets all, as a new process does.
    pub(crate) fn clear(&mut self) {
        *self = Cache::new(self.settings);
    }

    /// The events after number `after`, as the interface gives them.
    pub(crate) fn events(&self, after: u64) -> Value {
        let told = self.log.iter().filter(|(at, _)| at.elapsed() >= self.settings.lag);
        let told = told.map(|(_, event)| event);
        let last = told.clone().next_back().map_or(0, |it| it.seq);
        let events: Vec<&Event> = told.filter(|it| it.seq > after).take(MAX_ANSWER).collect();
        let next = events.last().map_or(after.min(last), |it| it.seq);
        let gap = next.saturating_sub(after) > events.len() as u64;
        json!({ "next": next, "gap": gap, "events": events })
    }

    fn note(&mut self, op: Op, block: u64) {
        self.seq += 1;
        let every = self.settings.lose_every;
        if every > 0 && self.seq.is_multiple_of(every) {
            return;
        }
        if self.log.len() >= MAX_EVENTS {
            self.log.pop_front();
        }
        self.log.push_back((Instant::now(), Event { seq: self.seq, op, block }));
    }
}
