//! What the router does when an attempt makes progress, ends or fails.

use rand_pcg::rand_core::Rng;

use crate::job::{Attempt, Job, Progress, Remnant, State};
use crate::outcome::Outcome;
use crate::pool::{Prompt, TargetKey};
use crate::prelude::*;
use crate::ramp::{Bounds, Sign};
use crate::refusal::Refusal;
use crate::request::{Decision, Failure, Ticket, Wait};
use crate::retry;
use crate::router::Router;
use crate::track::Track;

impl Router {
    /// Notes that the first token of the request's attempt came.
    pub fn first_token(&mut self, now: Time, ticket: Ticket) {
        let Some(job) = self.jobs.get_mut(ticket) else { return };
        let State::Running(attempt) = job.state else { return };
        if attempt.progress == Progress::Decode {
            return;
        }
        job.state = State::Running(Attempt { progress: Progress::Decode, ..attempt });
        let (name, prompt) = (job.request.service.clone(), job.prompt);
        let tokens = job.request.prompt_tokens;
        let elapsed = now.since(attempt.sent);
        let sign = self.settings.ramp.judge(elapsed, tokens);
        let expected = self.settings.ramp.expected(tokens);
        if let Some(track) = self.track(&name, attempt.target) {
            if track.ejected_until.is_none_or(|until| until <= attempt.sent) {
                track.measure(elapsed.as_secs_f32() / expected.as_secs_f32());
            }
            if let Prompt::Long(tokens) = prompt {
                track.prefill = track.prefill.saturating_sub(tokens);
            }
        }
        self.settle_gate(now, &name, attempt);
        self.sign(now, &name, attempt, sign);
    }

    /// Notes that the request's whole answer came, and forgets the request.
    pub fn finished(&mut self, now: Time, ticket: Ticket) {
        let Some(job) = self.remove(now, ticket) else { return };
        let name = &job.request.service;
        let Some(service) = self.services.get_mut(name) else { return };
        service.budget.earn(&self.settings.retry);
        if let State::Running(attempt) = job.state {
            service.ran(now.since(attempt.sent));
            if attempt.progress == Progress::Prefill {
                self.sign(now, name, attempt, Sign::Good);
            }
        }
    }

    /// Forgets a request whose caller went away, or whose answer was relayed from a peer.
    ///
    /// An attempt in progress stays counted until [`Router::cancelled`] says that it ended.
    pub fn abandon(&mut self, now: Time, ticket: Ticket) {
        self.linger(now, ticket);
        self.remove(now, ticket);
    }

    /// Notes that a target confirmed the end of an attempt that broke or was abandoned.
    pub fn cancelled(&mut self, now: Time, ticket: Ticket, attempt: u32) {
        if let Some(remnant) = self.remnants.remove(&(ticket, attempt)) {
            self.settle(now, &remnant);
        }
    }

    /// Ends the remnants whose time has passed or whose target's process is gone.
    pub(crate) fn settle_due(&mut self, now: Time) {
        let ended = |remnant: &Remnant| {
            let track = self.services.get(&remnant.service)?.pool.tracks.get(remnant.target)?;
            let process = track.ramp.stage().process;
            let unseen = track.last_empty() <= remnant.since;
            Some(now < remnant.until && process == remnant.process && unseen)
        };
        let is_over = |remnant: &Remnant| !ended(remnant).unwrap_or(false);
        let over = self.remnants.iter().filter(|(_, it)| is_over(it)).map(|(key, _)| *key);
        for (ticket, attempt) in over.collect::<Vec<_>>() {
            self.cancelled(now, ticket, attempt);
        }
    }

    /// Decides what becomes of a request whose attempt failed.
    pub fn failed(&mut self, now: Time, ticket: Ticket, failure: Failure) -> Decision {
        match self.fail(now, ticket, failure) {
            Decision::Retry => Decision::Retry,
            Decision::Refused(refusal) => {
                let refusal = self.certain(ticket, refusal);
                self.remove(now, ticket);
                Decision::Refused(refusal)
            }
        }
    }

    fn fail(&mut self, now: Time, ticket: Ticket, failure: Failure) -> Decision {
        let Some(job) = self.jobs.get(ticket) else {
            return Decision::Refused(Refusal::Uncertain(Name::default()));
        };
        let name = job.request.service.clone();
        match job.state {
            State::Running(attempt) => {
                let domain = self.track(&name, attempt.target);
                let domain = domain.map(|it| it.target.failure_domain.clone());
                if failure == Failure::Broken {
                    self.linger(now, ticket);
                }
                self.leave(now, ticket);
                self.sign(now, &name, attempt, Sign::Bad);
                self.jobs[ticket].avoid = domain;
                self.jobs[ticket].state = State::Backoff;
            }
            State::Forwarded(wait) if failure.certainly_not_run() => {
                return self.requeue(now, ticket, wait, failure);
            }
            State::Forwarded(_) => self.jobs[ticket].attempts += 1,
            State::Queued | State::Backoff => return Decision::Retry,
        }
        self.retry(now, ticket, failure)
    }

    /// Takes back a request that found no slot at a peer.
    fn requeue(&mut self, now: Time, ticket: Ticket, wait: Wait, failure: Failure) -> Decision {
        let job = &mut self.jobs[ticket];
        let name = job.request.service.clone();
        let pause = self.settings.peer_pause;
        let Some(service) = self.services.get_mut(&name) else {
            return Decision::Refused(Refusal::UnknownService(name));
        };
        service.peers_busy_until = now + pause;
        if let Some(give_up) = job.give_up.take() {
            let (workspace, cost) = (&job.request.workspace, job.request.cost());
            let queue = service.queue(job.prompt);
            queue.put_back(ticket, workspace, job.priority, job.weight, cost);
            job.state = State::Queued;
            self.touched.insert(name);
            self.set_timer(ticket, Some(give_up));
            return Decision::Retry;
        }
        job.state = State::Backoff;
        let asked = wait == Wait::Never && failure == Failure::Busy;
        let delay = if asked { Duration::ZERO } else { pause };
        self.set_timer(ticket, Some(now + delay));
        Decision::Retry
    }

    fn retry(&mut self, now: Time, ticket: Ticket, failure: Failure) -> Decision {
        let job = &mut self.jobs[ticket];
        if !failure.certainly_not_run() {
            job.outcome = Outcome::Unknown;
        }
        let Some(service) = self.services.get_mut(&job.request.service) else {
            return Decision::Refused(Refusal::UnknownService(job.request.service.clone()));
        };
        if !retry::may_repeat(service.profile.repeat, job.outcome) {
            return Decision::Refused(Refusal::Uncertain(job.request.service.clone()));
        }
        let settings = &self.settings.retry;
        let delay = settings.delay(job.attempts, self.random.next_u64());
        let at = now + delay;
        let in_time = at < job.deadline.back(service.run());
        if !in_time || job.attempts >= settings.attempts || !service.budget.spend() {
            let wait = service.wait(job.prompt, &job.request.workspace, job.weight);
            let retry_after = service.retry_after(wait).max(settings.cap);
            return Decision::Refused(self.exhausted(&self.jobs[ticket], retry_after));
        }
        job.state = State::Backoff;
        self.set_timer(ticket, Some(at));
        Decision::Retry
    }

    /// Tells the ramp of the attempt's target how it went.
    fn sign(&mut self, now: Time, name: &Name, attempt: Attempt, sign: Sign) {
        if let Some(domain) = self.domain(name, attempt) {
            self.gate(now, &domain, |gate, with| gate.record(now, attempt.sent, sign, with));
        }
        let Some(service) = self.services.get_mut(name) else { return };
        let limit_of = &service.profile;
        let Some(track) = service.pool.tracks.get_mut(attempt.target) else { return };
        let before = track.ramp.stage();
        if attempt.process != before.process {
            return;
        }
        let slots = track.share(now, limit_of);
        let bounds = Bounds { slots, temperature: track.target.temperature };
        track.ramp.record(now, attempt.sent, sign, bounds, &self.settings.ramp);
        let hash = track.hash;
        if track.ramp.stage() != before {
            self.announce(hash);
        }
        self.index(now, name, attempt.target);
    }

    /// Counts the request's attempt until it is known to have ended on its target.
    fn linger(&mut self, now: Time, ticket: Ticket) {
        let Some(job) = self.jobs.get(ticket) else { return };
        let State::Running(attempt) = job.state else { return };
        let remnant = Remnant {
            service: job.request.service.clone(),
            target: attempt.target,
            process: attempt.process,
            since: now,
            until: attempt.sent + self.settings.longest_attempt,
        };
        let number = job.attempts.saturating_sub(1);
        if let Some(track) = self.track(&remnant.service, attempt.target) {
            track.running += 1;
            self.remnants.insert((ticket, number), remnant);
        }
    }

    fn settle(&mut self, now: Time, remnant: &Remnant) {
        if let Some(track) = self.track(&remnant.service, remnant.target) {
            track.running = track.running.saturating_sub(1);
        }
        self.index(now, &remnant.service, remnant.target);
    }

    /// Takes the request off its target.
    fn leave(&mut self, now: Time, ticket: Ticket) {
        let Some(job) = self.jobs.get(ticket) else { return };
        let State::Running(attempt) = job.state else { return };
        let (name, prompt) = (job.request.service.clone(), job.prompt);
        let Some(track) = self.track(&name, attempt.target) else { return };
        track.running = track.running.saturating_sub(1);
        track.ended += 1;
        if let (Prompt::Long(tokens), Progress::Prefill) = (prompt, attempt.progress) {
            track.prefill = track.prefill.saturating_sub(tokens);
        }
        if attempt.progress == Progress::Prefill {
            self.settle_gate(now, &name, attempt);
        }
        self.index(now, &name, attempt.target);
    }

    fn settle_gate(&mut self, now: Time, name: &Name, attempt: Attempt) {
        let Some(domain) = self.domain(name, attempt) else { return };
        self.gate(now, &domain, |gate, _| gate.settle(attempt.sent));
    }

    /// The failure domain of the attempt's target, if any has a gate.
    fn domain(&mut self, name: &Name, attempt: Attempt) -> Option<Name> {
        if self.gates.is_empty() {
            return None;
        }
        let track = self.track(name, attempt.target)?;
        Some(track.target.failure_domain.clone())
    }

    pub(crate) fn remove(&mut self, now: Time, ticket: Ticket) -> Option<Job> {
        self.set_timer(ticket, None);
        self.leave(now, ticket);
        let job = self.jobs.remove(ticket)?;
        if job.state == State::Queued
            && let Some(service) = self.services.get_mut(&job.request.service)
        {
            let queue = service.queue(job.prompt);
            queue.remove(ticket, &job.request.workspace, job.priority);
        }
        Some(job)
    }

    fn track(&mut self, name: &Name, key: TargetKey) -> Option<&mut Track> {
        self.services.get_mut(name)?.pool.tracks.get_mut(key)
    }
}
