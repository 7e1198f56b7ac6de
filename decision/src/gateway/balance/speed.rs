//! How fast targets really are: what was observed, against what the cost model expects.
//!
//! Two things are learnt. For each model, what the cost model leaves out: time before the first
//! token that doesn't depend on the load, and how much longer passes take than stated. And for
//! each target, how much slower it is than the others of its model.

use crate::prelude::*;

/// Time after which half of what is known of a target's slowness is forgotten, so that it is tried
/// again.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Part of the old value that an observation of a target leaves.
const KEEP: f64 = 0.8;

/// Part of the old value that an observation of a model leaves.
const MODEL_KEEP: f64 = 0.95;

/// The same for the first observations, so that an entry that has just started learns at once.
const EARLY_KEEP: f64 = 0.5;

/// Observations of a model that count as the first ones.
const EARLY: u32 = 8;

/// Slowness below which a target is as fast as others: passes that read long prompts take longer.
const NOISE: f64 = 1.6;

/// Most that a target is taken to be slower than stated.
const MAX_SLOWNESS: f64 = 25.0;

/// Most by which one first token may change what is known of its model.
const MAX_STEP_MS: f64 = 20.0;

/// Longest time before a first token that is taken for the model's, not for a fault.
const MAX_START_MS: f64 = 2_000.0;

/// Times that one pass may be longer than usual to count as such at its model.
const MAX_STRETCH_STEP: f64 = 1.5;

/// Passes of an answer before any was seen.
const USUAL_LENGTH: f64 = 25.0;

/// Most tokens of one prompt that count.
const MAX_PROMPT: f64 = 1e6;

/// Most passes of one answer that count.
const MAX_LENGTH: f64 = 1_000.0;

/// Most that passes of a model may take longer than stated.
const MAX_STRETCH: f64 = 4.0;

/// What was learnt of all targets of one model together.
#[derive(Clone, Copy, Debug)]
pub struct Baseline {
    start_ms: f64,
    starts: u32,
    stretch: f64,
    passes: u32,
    /// Passes of a whole answer.
    length: f64,
    /// Tokens of a prompt.
    prompt: f64,
}

impl Default for Baseline {
    /// As the cost model says.
    fn default() -> Baseline {
        Baseline {
            start_ms: 0.0,
            starts: 0,
            stretch: 1.0,
            passes: 0,
            length: USUAL_LENGTH,
            prompt: 0.0,
        }
    }
}

impl Baseline {
    /// Milliseconds until the first token that the load doesn't explain.
    pub fn start_ms(&self) -> f64 {
        self.start_ms
    }

    /// How many times longer passes take than stated.
    pub fn stretch(&self) -> f64 {
        self.stretch
    }

    /// Passes that an answer takes, on average.
    pub fn length(&self) -> f64 {
        self.length
    }

    /// Tokens of a prompt, on average.
    pub fn prompt(&self) -> f64 {
        self.prompt
    }

    /// Takes the prompt of a request.
    pub fn asked(&mut self, tokens: u64) {
        let tokens = (tokens as f64).min(MAX_PROMPT);
        let keep = if self.prompt > 0.0 { MODEL_KEEP } else { 0.0 };
        self.prompt = self.prompt * keep + tokens * (1.0 - keep);
    }

    /// Takes an answer that ended after so many passes.
    pub fn ended(&mut self, passes: u32) {
        let passes = f64::from(passes).clamp(1.0, MAX_LENGTH);
        self.length = self.length * MODEL_KEEP + passes * (1.0 - MODEL_KEEP);
    }

    /// Takes a first token that came after `took_ms`, of which the load explains `expected_ms`.
    pub fn started(&mut self, expected_ms: f64, took_ms: f64) {
        let rest = (took_ms - expected_ms).clamp(0.0, MAX_START_MS);
        if self.starts == 0 {
            self.start_ms = rest;
        } else if self.starts < EARLY {
            // The least of the first few: most of what disturbs one makes it later.
            self.start_ms = self.start_ms.min(rest);
        } else {
            let step = (rest - self.start_ms).clamp(-MAX_STEP_MS, MAX_STEP_MS);
            self.start_ms += step * (1.0 - MODEL_KEEP);
        }
        self.starts = self.starts.saturating_add(1);
    }

    /// Takes a pass that took `ratio` times what the cost model says.
    fn passed(&mut self, ratio: f64) {
        let ratio = ratio.min(self.stretch * MAX_STRETCH_STEP);
        let keep = if self.passes < EARLY { EARLY_KEEP } else { MODEL_KEEP };
        self.stretch = (self.stretch * keep + ratio * (1.0 - keep)).clamp(1.0, MAX_STRETCH);
        self.passes = self.passes.saturating_add(1);
    }
}

/// How much slower a target is than others of its model, by one source. Fades with time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Slowness {
    excess: f64,
    at: Time,
    known: bool,
}

impl Slowness {
    /// How many times longer its passes take. 1 without any knowledge.
    pub fn factor(&self, now: Time) -> f64 {
        1.0 + self.faded(now)
    }

    fn faded(&self, now: Time) -> f64 {
        let lives = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.excess * 0.5_f64.powf(lives)
    }

    /// Takes a pass that took `took_ms` instead of `expected_ms`, and lets the model learn from it.
    pub fn passed(&mut self, now: Time, norm: &mut Baseline, expected_ms: f64, took_ms: f64) {
        if expected_ms <= 0.0 || !took_ms.is_finite() {
            return;
        }
        let ratio = took_ms / expected_ms;
        let slow = (ratio / norm.stretch()).clamp(1.0, MAX_SLOWNESS);
        let keep = if self.known { KEEP } else { EARLY_KEEP };
        self.excess = self.faded(now) * keep + (slow - 1.0) * (1.0 - keep);
        self.at = now;
        self.known = true;
        if self.factor(now) < NOISE {
            norm.passed(ratio);
        }
    }

    /// Takes what others tell, in tenths. 0 says that they don't know.
    pub fn told(&mut self, now: Time, tenths: u8) {
        if tenths == 0 {
            return;
        }
        let told = (f64::from(tenths) / 10.0).clamp(1.0, MAX_SLOWNESS);
        self.excess = told - 1.0;
        self.at = now;
        self.known = true;
    }

    /// What peers are told, in tenths, if something was observed.
    pub fn tenths(&self, now: Time) -> u8 {
        // Between 10 and 250, as the factor is bounded.
        if self.known { (self.factor(now) * 10.0).round().clamp(10.0, 250.0) as u8 } else { 0 }
    }
}

/// The factor on a target's times, by what this entry and what others observed. The higher one
/// holds: some targets are slow for the callers of one failure domain only.
pub fn factor(now: Time, own: &Slowness, others: &Slowness) -> f64 {
    let factor = own.factor(now).max(others.factor(now));
    if factor < NOISE { 1.0 } else { factor }
}
