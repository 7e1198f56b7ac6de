//! The cost model of an engine: what a request costs and how long its first token takes.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// What a service's engine can do. Times are those of a replica whose pace is 1.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Engine {
    /// Requests that one replica runs at once.
    pub slots: u32,
    /// Tokens that fit into a replica's memory.
    pub kv_tokens: u64,
    /// Time of one token step, in milliseconds.
    pub step_ms: f64,
    /// Time that each running request adds to a step, in milliseconds.
    pub sequence_ms: f64,
    /// Steps of a pass that writes.
    pub steps_per_pass: u32,
    /// Prompt tokens read in a second.
    pub prefill_rate: f64,
    /// Prompt tokens read in one step at most, 0 if that isn't limited.
    pub chunk_tokens: u32,
    /// Weight loads that the weight store serves at full speed.
    pub parallel_loads: u32,
    /// Weight loads that may begin in a second.
    pub load_rate: f64,
    /// Time from an order to serve until a replica serves.
    pub open_time: Duration,
    /// The models that share the instances.
    pub models: Vec<Model>,
}

/// A model that instances can form replicas of.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Model {
    /// Name of the model.
    pub name: Arc<str>,
    /// Instances of one replica.
    pub size: usize,
    /// The model's share of the work at the start.
    pub share: f64,
    /// Factor on all times of its replicas.
    pub time_factor: f64,
    /// Time to load its weights from the weight store.
    pub load_time: Duration,
    /// Time to load its weights from the host's memory.
    pub warm_load_time: Duration,
}

impl Engine {
    /// The model called `name`.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|it| &*it.name == name)
    }

    /// Milliseconds between two events of a stream while `running` requests run.
    pub fn pass_ms(&self, pace: f64, running: u32) -> f64 {
        let step = self.step_ms + self.sequence_ms * f64::from(running.min(self.slots));
        step * f64::from(self.steps_per_pass.max(1)) * pace
    }

    /// Prompt tokens that are read between two events of a stream at most.
    pub fn pass_tokens(&self) -> u64 {
        match u64::from(self.chunk_tokens) * u64::from(self.steps_per_pass.max(1)) {
            0 => u64::MAX,
            tokens => tokens,
        }
    }

    /// Milliseconds for which a request keeps a replica busy that has all its slots taken, given the
    /// passes that its answer takes.
    pub fn work_ms(&self, pace: f64, prompt: u64, passes: f64) -> f64 {
        let writing = self.pass_ms(pace, self.slots) * passes / f64::from(self.slots.max(1));
        self.prefill_ms(pace, prompt) + writing
    }

    /// Milliseconds to read `tokens` prompt tokens.
    pub fn prefill_ms(&self, pace: f64, tokens: u64) -> f64 {
        match self.prefill_rate > 0.0 {
            true => tokens as f64 / self.prefill_rate * 1_000.0 * pace,
            false => 0.0,
        }
    }
}
