//! Cost model of an inference engine: how long passes, prompts and whole requests take.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Capacity and speed of a service's engine. Times apply to a replica whose time factor is 1.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests that one replica runs concurrently.
    pub slots: u32,
    /// Tokens that fit into the key-value cache of one replica.
    pub kv_tokens: u64,
    /// Time of one decoding step without running requests, in milliseconds.
    pub step_ms: f64,
    /// Time that each running request adds to a decoding step, in milliseconds.
    pub sequence_ms: f64,
    /// Decoding steps per pass. A stream gets one event per pass.
    pub steps_per_pass: u32,
    /// Prompt tokens that a replica processes per second; 0 if prompts take no time.
    pub prefill_rate: f64,
    /// Largest number of prompt tokens processed in one step; 0 if unlimited.
    pub chunk_tokens: u32,
    /// Concurrent weight loads that the weight store serves at full speed.
    pub parallel_loads: u32,
    /// Weight loads that may begin per second.
    pub load_rate: f64,
    /// Time from the order to serve until a replica serves.
    pub open_time: Duration,
    /// Models that share the instances.
    pub models: Vec<Model>,
}

/// A model that instances can form replicas of.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Model {
    /// Name of the model.
    pub name: Arc<str>,
    /// Number of instances in one replica.
    pub size: usize,
    /// Fraction of the instances that the model is given until demand is known.
    pub share: f64,
    /// Factor on all times of the model's replicas; above 1 is slower.
    pub time_factor: f64,
    /// Time to load the weights from the weight store.
    pub load_time: Duration,
    /// Time to load the weights from the host's memory.
    pub warm_load_time: Duration,
}

impl Engine {
    /// Returns the model called `name`.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|it| &*it.name == name)
    }

    /// Returns the time between two events of a stream while `running` requests run, in
    /// milliseconds.
    pub fn pass_ms(&self, time_factor: f64, running: u32) -> f64 {
        let step_ms = self.step_ms + self.sequence_ms * f64::from(running.min(self.slots));
        step_ms * f64::from(self.steps_per_pass.max(1)) * time_factor
    }

    /// Returns the largest number of prompt tokens processed between two events of a stream.
    pub fn pass_tokens(&self) -> u64 {
        match u64::from(self.chunk_tokens) * u64::from(self.steps_per_pass.max(1)) {
            0 => u64::MAX,
            tokens => tokens,
        }
    }

    /// Returns the work of a request: the time for which it would keep a whole replica busy, if all
    /// slots of the replica are in use, in milliseconds. `passes` is the number of passes that the
    /// answer takes.
    pub fn work_ms(&self, time_factor: f64, prompt_tokens: u64, passes: f64) -> f64 {
        let decoding_ms =
            self.pass_ms(time_factor, self.slots) * passes / f64::from(self.slots.max(1));
        self.prefill_ms(time_factor, prompt_tokens) + decoding_ms
    }

    /// Returns the time to process `tokens` prompt tokens, in milliseconds.
    pub fn prefill_ms(&self, time_factor: f64, tokens: u64) -> f64 {
        match self.prefill_rate > 0.0 {
            true => tokens as f64 / self.prefill_rate * 1_000.0 * time_factor,
            false => 0.0,
        }
    }
}
