//! Observed speed of targets, relative to the cost model of the engine.
//!
//! [`Baseline`] holds per model what the cost model leaves out: a time before the first token that
//! doesn't depend on the load, and a factor on the duration of passes. [`Slowness`] holds per
//! target how much longer its passes take than those of other targets of its model.

use crate::prelude::*;

/// Time in which the known slowness of a target halves, so that the target is tried again.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(2);

/// Weight of the old value when one pass updates the slowness of a target.
const SLOWNESS_DECAY: f64 = 0.8;

/// Weight of the old value when one observation updates the baseline of a model.
const BASELINE_DECAY: f64 = 0.95;

/// Weight of the old value for the first observations, so that an entry that has just started
/// adapts at once.
const EARLY_DECAY: f64 = 0.5;

/// Observations of a model that count as the first ones.
const EARLY_SAMPLES: u32 = 8;

/// Slowness below which a target counts as normal: passes that also prefill long prompts take
/// longer without the target being slow.
const MIN_SLOWNESS: f64 = 1.6;

/// Upper bound of the slowness of a target.
const MAX_SLOWNESS: f64 = 25.0;

/// Largest change of a model's overhead by one first token.
const MAX_OVERHEAD_STEP_MS: f64 = 20.0;

/// Upper bound of a model's overhead. A longer time before the first token is not counted in
/// full, since it points to a fault.
const MAX_OVERHEAD_MS: f64 = 2_000.0;

/// Largest ratio of one pass to the model's pass factor that counts in full.
const MAX_PASS_FACTOR_STEP: f64 = 1.5;

/// Passes per answer that are assumed until answers have been observed.
const INITIAL_ANSWER_PASSES: f64 = 25.0;

/// Tokens above which a prompt counts as this long in the average.
const MAX_PROMPT_TOKENS: f64 = 1e6;

/// Passes above which an answer counts as this long in the average.
const MAX_ANSWER_PASSES: f64 = 1_000.0;

/// Upper bound of the factor on the duration of a model's passes.
const MAX_PASS_FACTOR: f64 = 4.0;

/// Averages over all targets of one model.
#[derive(Clone, Copy, Debug)]
pub struct Baseline {
    overhead_ms: f64,
    first_token_count: u32,
    pass_factor: f64,
    pass_count: u32,
    /// Mean number of passes per answer.
    answer_passes: f64,
    /// Mean number of tokens per prompt; 0 before the first request.
    prompt_tokens: f64,
}

impl Default for Baseline {
    /// Returns the baseline of a model that behaves exactly as the cost model states.
    fn default() -> Baseline {
        Baseline {
            overhead_ms: 0.0,
            first_token_count: 0,
            pass_factor: 1.0,
            pass_count: 0,
            answer_passes: INITIAL_ANSWER_PASSES,
            prompt_tokens: 0.0,
        }
    }
}

impl Baseline {
    /// Returns the part of the time to the first token that the load doesn't explain, in
    /// milliseconds.
    pub fn overhead_ms(&self) -> f64 {
        self.overhead_ms
    }

    /// Returns how many times longer passes take than the cost model states, from 1 to 4.
    pub fn pass_factor(&self) -> f64 {
        self.pass_factor
    }

    /// Returns the mean number of passes per answer.
    pub fn answer_passes(&self) -> f64 {
        self.answer_passes
    }

    /// Returns the mean number of tokens per prompt; 0 before the first request.
    pub fn prompt_tokens(&self) -> f64 {
        self.prompt_tokens
    }

    /// Records a request with a prompt of `tokens` tokens.
    pub fn record_prompt(&mut self, tokens: u64) {
        let tokens = (tokens as f64).min(MAX_PROMPT_TOKENS);
        let decay = if self.prompt_tokens > 0.0 { BASELINE_DECAY } else { 0.0 };
        self.prompt_tokens = self.prompt_tokens * decay + tokens * (1.0 - decay);
    }

    /// Records an answer that was complete after `passes` passes.
    pub fn record_answer(&mut self, passes: u32) {
        let passes = f64::from(passes).clamp(1.0, MAX_ANSWER_PASSES);
        self.answer_passes = self.answer_passes * BASELINE_DECAY + passes * (1.0 - BASELINE_DECAY);
    }

    /// Records a first token that came after `elapsed_ms`, of which the load explains
    /// `expected_ms`.
    pub fn record_first_token(&mut self, expected_ms: f64, elapsed_ms: f64) {
        let overhead_ms = (elapsed_ms - expected_ms).clamp(0.0, MAX_OVERHEAD_MS);
        if self.first_token_count == 0 {
            self.overhead_ms = overhead_ms;
        } else if self.first_token_count < EARLY_SAMPLES {
            // The minimum of the first few, since most disruptions delay a first token.
            self.overhead_ms = self.overhead_ms.min(overhead_ms);
        } else {
            let step =
                (overhead_ms - self.overhead_ms).clamp(-MAX_OVERHEAD_STEP_MS, MAX_OVERHEAD_STEP_MS);
            self.overhead_ms += step * (1.0 - BASELINE_DECAY);
        }
        self.first_token_count = self.first_token_count.saturating_add(1);
    }

    /// Records a pass that took `ratio` times as long as the cost model states.
    fn record_pass(&mut self, ratio: f64) {
        let ratio = ratio.min(self.pass_factor * MAX_PASS_FACTOR_STEP);
        let decay = if self.pass_count < EARLY_SAMPLES { EARLY_DECAY } else { BASELINE_DECAY };
        self.pass_factor =
            (self.pass_factor * decay + ratio * (1.0 - decay)).clamp(1.0, MAX_PASS_FACTOR);
        self.pass_count = self.pass_count.saturating_add(1);
    }
}

/// How much slower one target is than others of its model, as one source observed it. Decays with
/// time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Slowness {
    /// The factor less 1, as of `updated_at`.
    excess: f64,
    updated_at: Time,
    is_known: bool,
}

impl Slowness {
    /// Returns how many times longer the target's passes take; 1 if nothing was observed.
    pub fn factor(&self, now: Time) -> f64 {
        1.0 + self.excess_at(now)
    }

    fn excess_at(&self, now: Time) -> f64 {
        let half_lives =
            now.since(self.updated_at).as_secs_f64() / SLOWNESS_HALF_LIFE.as_secs_f64();
        self.excess * 0.5_f64.powf(half_lives)
    }

    /// Records a pass that took `elapsed_ms`, where the cost model states `expected_ms`. Updates
    /// the model's baseline too, unless the target is slow. Ignores a pass without an expected
    /// duration, or with one that isn't finite.
    pub fn record_pass(
        &mut self,
        now: Time,
        baseline: &mut Baseline,
        expected_ms: f64,
        elapsed_ms: f64,
    ) {
        if expected_ms <= 0.0 || !elapsed_ms.is_finite() {
            return;
        }
        let ratio = elapsed_ms / expected_ms;
        let factor = (ratio / baseline.pass_factor()).clamp(1.0, MAX_SLOWNESS);
        let decay = if self.is_known { SLOWNESS_DECAY } else { EARLY_DECAY };
        self.excess = self.excess_at(now) * decay + (factor - 1.0) * (1.0 - decay);
        self.updated_at = now;
        self.is_known = true;
        if self.factor(now) < MIN_SLOWNESS {
            baseline.record_pass(ratio);
        }
    }

    /// Sets the factor that peers report, in tenths; 0 means that they observed nothing and changes
    /// nothing.
    pub fn set_reported(&mut self, now: Time, tenths: u8) {
        if tenths == 0 {
            return;
        }
        let factor = (f64::from(tenths) / 10.0).clamp(1.0, MAX_SLOWNESS);
        self.excess = factor - 1.0;
        self.updated_at = now;
        self.is_known = true;
    }

    /// Returns the factor in tenths, as it is reported to peers; 0 if nothing was observed.
    pub fn tenths(&self, now: Time) -> u8 {
        // The factor is from 1 to 25, so its tenths fit.
        if self.is_known { (self.factor(now) * 10.0).round().clamp(10.0, 250.0) as u8 } else { 0 }
    }
}

/// Returns the factor on a target's times: the higher one of what this entry (`own`) and its peers
/// (`others`) observed, since a target may be slow for the callers of one failure domain only.
/// Factors below 1.6 count as 1.
pub fn combined_factor(now: Time, own: &Slowness, others: &Slowness) -> f64 {
    let factor = own.factor(now).max(others.factor(now));
    if factor < MIN_SLOWNESS { 1.0 } else { factor }
}
