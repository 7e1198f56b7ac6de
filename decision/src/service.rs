//! The state of one service at this entry: its targets, its queues and its retry budget.

use crate::declaration::Profile;
use crate::pool::{Pool, Prompt, Spill};
use crate::prelude::*;
use crate::queue::Queue;
use crate::ramp::Stage;
use crate::retry::{self, Budget};
use crate::target::{Phase, Temperature};
use crate::track::Track;

/// Prompts of more than this part of the prefill limit count as long.
const LONG_PART: u32 = 16;

/// Long prompts that wait before they may go to any target.
const MAX_LONG_WAITING: usize = 8;

/// Length of the windows over which the rate of departure is measured.
const WINDOW: Duration = Duration::from_secs(1);

/// Shortest time after which a refused caller is told to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// One service at this entry.
#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) profile: Profile,
    pub(crate) pool: Pool,
    pub(crate) short: Queue,
    pub(crate) long: Queue,
    pub(crate) budget: Budget,
    /// Until when no peer is asked for a free slot, as one had none.
    pub(crate) peers_busy_until: Time,
    /// Whether the service is no longer declared.
    pub(crate) retired: bool,
    /// Until when short prompts keep off the targets of long ones.
    pub(crate) long_until: Time,
    rate: Rate,
    run: Duration,
}

/// Tokens that leave the queue in a second, measured while something waits.
#[derive(Debug, Default)]
struct Rate {
    since: Time,
    tokens: u64,
    per_second: f64,
}

/// A service as operators see it.
#[derive(Clone, Debug)]
pub struct Status {
    /// The service.
    pub service: Name,
    /// Requests that wait at this entry.
    pub queued: usize,
    /// Prompt blocks that some target is thought to have cached.
    pub cached: usize,
    /// Failure domains that returned and have not shown that they answer.
    pub gated: Vec<Name>,
    /// Its targets.
    pub targets: Vec<TargetStatus>,
}

/// A target as operators see it from this entry.
#[derive(Clone, Debug)]
pub struct TargetStatus {
    /// The target.
    pub target: Name,
    /// Whether it takes new work.
    pub phase: Phase,
    /// Whether it bears only its cold limit.
    pub temperature: Temperature,
    /// How far its ramp has come.
    pub stage: Stage,
    /// Requests that all entries together may have on it.
    pub limit: u32,
    /// Requests that this entry may have on it.
    pub share: u32,
    /// Requests that this entry has on it.
    pub running: u32,
    /// Slots of this entry that wait for their earlier holders.
    pub idle_slots: u32,
    /// Until when the target is ejected as a straggler.
    pub ejected_until: Option<Time>,
}

impl Service {
    pub(crate) fn new(profile: Profile, settings: &retry::Settings) -> Service {
        Service {
            profile,
            pool: Pool::default(),
            short: Queue::default(),
            long: Queue::default(),
            budget: Budget::new(settings),
            peers_busy_until: Time::ZERO,
            retired: false,
            long_until: Time::ZERO,
            rate: Rate::default(),
            run: Duration::ZERO,
        }
    }

    /// Whether a prompt's prefill counts against the targets' limit.
    pub(crate) fn prompt(&self, tokens: u32) -> Prompt {
        match tokens > self.profile.prefill_tokens / LONG_PART {
            true => Prompt::Long(tokens),
            false => Prompt::Short,
        }
    }

    pub(crate) fn queue(&mut self, prompt: Prompt) -> &mut Queue {
        match prompt {
            Prompt::Short => &mut self.short,
            Prompt::Long(_) => &mut self.long,
        }
    }

    /// Whether long prompts may go to any target, as too many wait.
    pub(crate) fn spill(&self) -> Spill {
        match self.long.len() > MAX_LONG_WAITING {
            true => Spill::Yes,
            false => Spill::No,
        }
    }

    /// Requests that wait.
    pub(crate) fn queued(&self) -> usize {
        self.short.len() + self.long.len()
    }

    /// The expected time in the queue of a request of `workspace`.
    pub(crate) fn wait(&self, prompt: Prompt, workspace: &Name, weight: u32) -> Duration {
        let queue = match prompt {
            Prompt::Short => &self.short,
            Prompt::Long(_) => &self.long,
        };
        let ahead = queue.ahead(workspace, self.profile.priority, weight);
        self.rate.time(ahead)
    }

    /// The usual time from sending a request to its last byte, at most half of the deadline.
    pub(crate) fn run(&self) -> Duration {
        self.run.min(Duration::from_millis(self.profile.deadline_ms) / 2)
    }

    /// When a refused caller may come back, if the queue keeps its pace.
    pub(crate) fn retry_after(&self, wait: Duration) -> Duration {
        let all = self.rate.time(self.short.cost() + self.long.cost());
        wait.max(all / 2).max(MIN_RETRY_AFTER)
    }

    /// The targets as operators see them.
    pub(crate) fn targets(&self, now: Time) -> Vec<TargetStatus> {
        let status = |track: &Track| TargetStatus {
            target: track.target.name.clone(),
            phase: track.phase(),
            temperature: match track.limit(now, &self.profile) > self.profile.cold_limit {
                true => Temperature::Warm,
                false => Temperature::Cold,
            },
            stage: track.ramp.stage(),
            limit: track.limit(now, &self.profile),
            share: track.share(now, &self.profile),
            running: track.running,
            idle_slots: track.slots.iter().filter(|it| !it.is_ready()).count() as u32,
            ejected_until: track.ejected_until.filter(|until| now < *until),
        };
        self.pool.tracks.values().map(status).collect()
    }

    /// Counts a request of `cost` tokens that left the queue.
    pub(crate) fn departed(&mut self, now: Time, cost: u64) {
        let waiting = self.queued() > 0;
        self.rate.count(now, cost, waiting);
    }

    /// Counts the time of a whole request.
    pub(crate) fn ran(&mut self, elapsed: Duration) {
        self.run = match self.run {
            Duration::ZERO => elapsed,
            old => (old * 7 + elapsed) / 8,
        };
    }
}

impl Rate {
    fn count(&mut self, now: Time, tokens: u64, waiting: bool) {
        self.tokens += tokens;
        let elapsed = now.since(self.since);
        if elapsed < WINDOW && waiting {
            return;
        }
        if waiting && elapsed < WINDOW * 2 {
            let measured = self.tokens as f64 / elapsed.as_secs_f64();
            self.per_second = match self.per_second {
                0.0 => measured,
                old => (old + measured) / 2.0,
            };
        }
        self.since = now;
        self.tokens = 0;
    }

    fn time(&self, tokens: u64) -> Duration {
        if self.per_second < 1.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64((tokens as f64 / self.per_second).min(3_600.0))
    }
}
