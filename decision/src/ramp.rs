//! How much of its full load a target gets after it was cold.
//!
//! A target starts at its cold limit. Each step doubles the limit, and is kept until requests
//! that were sent during the step had their first token in time. The first bad sign takes the
//! target back to its cold limit. Steps and signs are told to peers.

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::target::{Process, Temperature};

/// Highest step. 2^16 times the cold limit.
const MAX_STEP: u8 = 16;

/// When a step is passed and what counts as a bad sign.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Time to the first token of a short prompt that is in time.
    pub first_token: Duration,
    /// Additional time for each prompt token.
    pub per_prompt_token: Duration,
    /// A first token this many times later than in time is a bad sign.
    pub late_factor: u32,
    /// Requests in time that pass a step, for each slot that this entry has in it.
    pub passes_per_slot: u32,
    /// Requests in time, one by one, that end the wait after a bad sign at the cold limit.
    pub probes: u32,
    /// Time without new requests after a bad sign at the cold limit.
    pub hold: Duration,
    /// Longest such time. Each further bad sign doubles it.
    pub max_hold: Duration,
}

/// How far a target has come, comparable between entries.
///
/// The greatest wins: a later process's stages replace earlier ones, a bad sign starts the next
/// turn, and within a turn the highest step counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stage {
    /// The target's process.
    pub process: Process,
    /// Bad signs seen of this process.
    pub turn: u32,
    /// Steps passed since the last bad sign.
    pub step: u8,
}

/// How a first token or an answer came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// In time.
    Good,
    /// Late, but no sign of a cold target.
    Slow,
    /// An error, or far too late.
    Bad,
}

/// What bounds a step.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Slots that this entry has in the step.
    pub slots: u32,
    /// What the target says of itself. A cold target's requests pass no step.
    pub temperature: Temperature,
}

/// The state of one target's ramp at this entry.
#[derive(Clone, Debug, Default)]
pub struct Ramp {
    stage: Stage,
    began: Time,
    passes: u32,
    hold: Duration,
    held_until: Option<Time>,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            first_token: Duration::from_millis(890),
            per_prompt_token: Duration::from_micros(200),
            late_factor: 4,
            passes_per_slot: 1,
            probes: 4,
            hold: Duration::from_secs(1),
            max_hold: Duration::from_secs(30),
        }
    }
}

impl Settings {
    /// The time to the first token of a prompt of `prompt_tokens` that is in time.
    pub fn expected(&self, prompt_tokens: u32) -> Duration {
        self.first_token + self.per_prompt_token * prompt_tokens
    }

    /// Judges a first token that came `elapsed` after a prompt of `prompt_tokens` was sent.
    pub fn judge(&self, elapsed: Duration, prompt_tokens: u32) -> Sign {
        let in_time = self.expected(prompt_tokens);
        match elapsed {
            it if it <= in_time => Sign::Good,
            it if it <= in_time * self.late_factor => Sign::Slow,
            _ => Sign::Bad,
        }
    }
}

impl Stage {
    fn rank(&self) -> (u32, u8) {
        (self.turn, self.step)
    }
}

impl Ramp {
    /// The ramp of a target's new process.
    pub fn new(now: Time, process: Process) -> Ramp {
        let stage = Stage { process, ..Stage::default() };
        Ramp { stage, began: now, ..Ramp::default() }
    }

    /// How far the target has come.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Requests that all entries together may have on the target.
    pub fn limit(&self, now: Time, temperature: Temperature, cold: u32, warm: u32) -> u32 {
        let warm = warm.max(cold);
        if self.held_until.is_some_and(|until| now < until) {
            return 0;
        }
        if self.held_until.is_some() {
            return 1;
        }
        match temperature {
            Temperature::Cold => cold,
            Temperature::Warm => {
                let limit = u64::from(cold) << self.stage.step;
                u32::try_from(limit).unwrap_or(warm).min(warm)
            }
        }
    }

    /// When a hold ends, if one is on.
    pub fn held_until(&self) -> Option<Time> {
        self.held_until
    }

    /// Counts how a request went that was sent at `sent`.
    pub fn record(&mut self, now: Time, sent: Time, sign: Sign, bounds: Bounds, with: &Settings) {
        match sign {
            Sign::Bad => self.fall(now, sent, with),
            Sign::Slow => self.passes = 0,
            Sign::Good if sent >= self.began => self.pass(now, bounds, with),
            Sign::Good => {}
        }
    }

    /// The target itself says that it is cold: back to the cold limit.
    pub fn cool(&mut self, now: Time) {
        if self.stage.step > 0 {
            self.next_turn(now);
        }
    }

    /// Takes another entry's view of the same process if it is further.
    pub fn hear(&mut self, now: Time, stage: Stage, settings: &Settings) {
        if stage.process != self.stage.process || stage.rank() <= self.stage.rank() {
            return;
        }
        match stage.step == 0 && self.stage.step == 0 {
            true => self.hold(now, settings),
            false => self.held_until = None,
        }
        self.stage = Stage { step: stage.step.min(MAX_STEP), ..stage };
        self.began = now;
        self.passes = 0;
    }

    fn pass(&mut self, now: Time, bounds: Bounds, settings: &Settings) {
        let probing = self.held_until.is_some();
        let needed = bounds.slots.max(1) * settings.passes_per_slot;
        let needed = if probing { needed.max(settings.probes) } else { needed };
        self.passes += 1;
        if self.passes < needed {
            return;
        }
        self.held_until = None;
        self.hold = Duration::ZERO;
        self.passes = 0;
        if bounds.temperature == Temperature::Cold {
            return;
        }
        self.stage.step = (self.stage.step + 1).min(MAX_STEP);
        self.began = now;
    }

    fn fall(&mut self, now: Time, sent: Time, settings: &Settings) {
        let at_cold = self.stage.step == 0 && sent >= self.began;
        if at_cold {
            self.hold(now, settings);
        }
        if at_cold || self.stage.step > 0 {
            self.next_turn(now);
        }
    }

    fn hold(&mut self, now: Time, settings: &Settings) {
        let doubled = (self.hold * 2).max(settings.hold);
        self.hold = doubled.min(settings.max_hold);
        self.held_until = Some(now + self.hold);
    }

    fn next_turn(&mut self, now: Time) {
        self.stage.turn += 1;
        self.stage.step = 0;
        self.began = now;
        self.passes = 0;
    }
}
