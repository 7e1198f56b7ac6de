//! How a request reaches a target: admission, forwarding and departure from the queue.

use crate::declaration::Repeat;
use crate::job::{Attempt, Job, Progress, State};
use crate::outcome::Outcome;
use crate::pool::{Isolation, Prompt, below};
use crate::prefix::MAX_BLOCKS_OF_PROMPT;
use crate::prelude::*;
use crate::refusal::Refusal;
use crate::request::{
    Admission, Dispatch, Event, Forward, Forwarding, Hop, Key, Past, Request, Ticket, Wait,
};
use crate::router::Router;
use crate::service::Service;
use crate::target::Phase;
use crate::track::LONG_RIGHTS;

/// Draws of a slot before an entry without peers' slots gives up.
const MAX_DRAWS: usize = 8;

/// The first of these draws pass over the failure domain of a failed attempt.
const MAX_AVOIDING_DRAWS: usize = 6;

/// Time after a long prompt during which short ones keep off the targets of long ones.
const ISOLATION: Duration = Duration::from_secs(60);

/// When a caller may come back to a service without targets.
const NO_TARGET_RETRY: Duration = Duration::from_secs(2);

impl Router {
    /// Decides what becomes of a request on arrival.
    pub fn admit(&mut self, now: Time, request: Request) -> Admission {
        if self.phase == Phase::Draining {
            return Admission::Refused(Refusal::Draining);
        }
        let job = match self.check(now, request) {
            Ok(job) => job,
            Err(refusal) => return Admission::Refused(refusal),
        };
        let name = job.request.service.clone();
        let hop = job.request.hop;
        if let Prompt::Long(_) = job.prompt {
            self.isolate(now, &name);
        }
        let waiting = self.services.get(&name).is_some_and(|it| it.has_waiting(job.prompt));
        let ticket = self.jobs.insert(job);
        if !waiting && let Some(dispatch) = self.dispatch(now, ticket) {
            return Admission::Dispatch(dispatch);
        }
        if hop == Hop::Forwarded(Wait::Never) {
            self.jobs.remove(ticket);
            return Admission::Refused(Refusal::NoSlot(name));
        }
        if hop == Hop::First
            && let Some(forward) = self.probe(now, ticket)
        {
            return Admission::Forward(forward);
        }
        match self.wait(now, ticket) {
            Ok(None) => Admission::Queued(ticket),
            Ok(Some(forward)) => Admission::Forward(forward),
            Err(refusal) => {
                self.jobs.remove(ticket);
                Admission::Refused(refusal)
            }
        }
    }

    /// What leaves the queues, is due for a retry or is given up by now.
    pub fn next(&mut self, now: Time) -> Vec<Event> {
        let mut events = Vec::new();
        self.upkeep(now);
        while let Some((at, ticket)) = self.timers.first().copied() {
            if at > now {
                break;
            }
            self.timers.pop_first();
            self.due(now, ticket, &mut events);
        }
        while let Some(name) = self.touched.pop_first() {
            self.release(now, &name, &mut events);
        }
        if now >= self.probe_at {
            self.probe_at = now + self.settings.peer_pause;
            self.probe_queues(now, &mut events);
        }
        events
    }

    fn check(&self, now: Time, request: Request) -> Result<Job, Refusal> {
        let name = request.service.clone();
        let service = match self.services.get(&name) {
            Some(service) if !service.retired => service,
            _ => return Err(Refusal::UnknownService(name)),
        };
        let profile = &service.profile;
        if request.bytes > profile.body_bytes as usize {
            let (bytes, limit) = (request.bytes, profile.body_bytes);
            return Err(Refusal::Oversized { service: name, bytes, limit });
        }
        if profile.repeat == Repeat::OnceWithKey && request.key == Key::Absent {
            return Err(Refusal::MissingKey(name));
        }
        let latest = now + Duration::from_millis(profile.deadline_ms);
        let deadline = request.deadline.map_or(latest, |it| it.min(latest));
        if deadline <= now {
            return Err(Refusal::Expired(name));
        }
        Ok(Job {
            prompt: service.prompt(request.prompt_tokens),
            priority: profile.priority,
            weight: self.weights.get(&request.workspace).copied().unwrap_or(1),
            deadline,
            state: State::Queued,
            timer: None,
            give_up: None,
            attempts: request.past.attempts,
            outcome: Outcome::NotRun,
            avoid: request.past.avoid.clone(),
            request,
        })
    }

    /// Keeps short prompts off the targets of long ones for a while.
    fn isolate(&mut self, now: Time, name: &Name) {
        let Some(service) = self.services.get_mut(name) else { return };
        service.long_until = now + ISOLATION;
        if service.pool.isolation == Isolation::Off {
            service.pool.isolation = Isolation::On;
            self.index_service(now, name);
        }
    }

    /// Sends the request to a target if this entry has a free slot for it.
    fn dispatch(&mut self, now: Time, ticket: Ticket) -> Option<Dispatch> {
        let job = self.jobs.get_mut(ticket)?;
        let name = job.request.service.clone();
        let service = self.services.get_mut(&name)?;
        let spill = service.spill();
        let key = service.pool.choose(job.want(spill), &service.profile, &mut self.random)?;
        let track = service.pool.tracks.get_mut(key)?;
        track.running += 1;
        track.sent += 1;
        if let Prompt::Long(tokens) = job.prompt {
            track.prefill = track.prefill.saturating_add(tokens);
        }
        let target = track.target.clone();
        let process = target.process;
        for block in job.request.prefix.iter().take(MAX_BLOCKS_OF_PROMPT) {
            service.pool.prefix.add(*block, key);
        }
        service.departed(now, job.request.cost());
        let progress = Progress::Prefill;
        job.state = State::Running(Attempt { target: key, process, sent: now, progress });
        let attempt = job.attempts;
        job.attempts += 1;
        self.set_timer(ticket, None);
        self.index(now, &name, key);
        self.gate(now, &target.failure_domain, |gate, _| gate.send());
        Some(Dispatch { ticket, target, attempt })
    }

    /// Asks a peer for a free slot, unless one had none just now.
    fn probe(&mut self, now: Time, ticket: Ticket) -> Option<Forward> {
        let job = self.jobs.get(ticket)?;
        let service = self.services.get(&job.request.service)?;
        if now < service.peers_busy_until {
            return None;
        }
        self.forward(now, ticket, Wait::Never)
    }

    /// Asks a peer for a free slot for the first request of each queue.
    fn probe_queues(&mut self, now: Time, events: &mut Vec<Event>) {
        let waiting = self.services.iter().filter(|(_, it)| it.queued() > 0);
        let names: Vec<Name> = waiting.map(|(name, _)| name.clone()).collect();
        for name in names {
            for lane in [Prompt::Long(0), Prompt::Short] {
                let forward = self.probe_queue(now, &name, lane);
                events.extend(forward.map(Event::Forward));
            }
        }
    }

    fn probe_queue(&mut self, now: Time, name: &Name, lane: Prompt) -> Option<Forward> {
        let ticket = self.services.get_mut(name)?.queue(lane).peek()?;
        let job = self.jobs.get(ticket)?;
        let give_up = job.timer;
        if job.request.hop != Hop::First {
            return None;
        }
        let forward = self.forward(now, ticket, Wait::Never)?;
        self.services.get_mut(name)?.queue(lane).pop();
        self.jobs.get_mut(ticket)?.give_up = give_up;
        Some(forward)
    }

    fn forward(&mut self, now: Time, ticket: Ticket, wait: Wait) -> Option<Forward> {
        if self.settings.forwarding == Forwarding::Off {
            return None;
        }
        let job = self.jobs.get(ticket)?;
        let service = self.services.get(&job.request.service)?;
        let own = &self.handover.view().own;
        for draw in 0..MAX_DRAWS {
            let track = service.pool.any_open(job.prompt, &mut self.random)?;
            let avoided = job.avoid.as_ref() == Some(&track.target.failure_domain);
            if avoided && draw < MAX_AVOIDING_DRAWS {
                continue;
            }
            let limit = track.limit(now, &service.profile).max(1);
            let limit = match job.prompt {
                Prompt::Short => limit,
                Prompt::Long(_) => limit.min(LONG_RIGHTS),
            };
            let slot = below(&mut self.random, limit as usize) as u32;
            let Some(peer) = self.handover.owner(track.hash, slot).filter(|it| *it != own) else {
                continue;
            };
            let peer = peer.clone();
            self.set_timer(ticket, None);
            let job = self.jobs.get_mut(ticket)?;
            job.state = State::Forwarded(wait);
            let past = Past { attempts: job.attempts, avoid: job.avoid.clone() };
            return Some(Forward { ticket, peer, wait, past });
        }
        None
    }

    /// Queues the request, or sends it to wait at a peer if this entry has no slot at all.
    fn wait(&mut self, now: Time, ticket: Ticket) -> Result<Option<Forward>, Refusal> {
        let Some(job) = self.jobs.get(ticket) else { return Ok(None) };
        let name = job.request.service.clone();
        let Some(service) = self.services.get(&name) else {
            return Err(Refusal::UnknownService(name));
        };
        let first = job.request.hop == Hop::First;
        let shared = service.pool.has_share(now, job.prompt, &service.profile);
        let listed = !self.handover.view().members.is_empty() && service.pool.is_any_open();
        let none = listed && !service.pool.has_slot();
        if first
            && !shared
            && let Some(forward) = self.forward(now, ticket, Wait::Queue)
        {
            return Ok(Some(forward));
        }
        if first && none {
            return Err(Refusal::NoSlot(name));
        }
        self.enqueue(now, ticket).map(|()| None)
    }

    fn enqueue(&mut self, now: Time, ticket: Ticket) -> Result<(), Refusal> {
        let Some(job) = self.jobs.get(ticket) else { return Ok(()) };
        let name = job.request.service.clone();
        let Some(service) = self.services.get_mut(&name) else {
            return Err(Refusal::UnknownService(name));
        };
        if !service.pool.is_any_open() {
            return Err(Refusal::NoTarget { service: name, retry_after: NO_TARGET_RETRY });
        }
        let wait = service.wait(job.prompt, &job.request.workspace, job.weight);
        let retry_after = service.retry_after(wait);
        let limit = service.profile.queue;
        if service.queued() >= limit as usize {
            return Err(Refusal::QueueFull { service: name, limit, retry_after });
        }
        let give_up = job.deadline.back(service.run());
        if now + wait >= give_up {
            return Err(Refusal::TooLate { service: name, wait, retry_after });
        }
        let queue = service.queue(job.prompt);
        queue.push(ticket, &job.request.workspace, job.priority, job.weight, job.request.cost());
        self.jobs[ticket].state = State::Queued;
        self.set_timer(ticket, Some(give_up));
        Ok(())
    }

    fn due(&mut self, now: Time, ticket: Ticket, events: &mut Vec<Event>) {
        let Some(job) = self.jobs.get_mut(ticket) else { return };
        job.timer = None;
        let refusal = match job.state {
            State::Queued => self.expired(ticket),
            State::Backoff if job.deadline <= now => self.expired(ticket),
            State::Backoff => {
                if let Some(dispatch) = self.dispatch(now, ticket) {
                    events.push(Event::Dispatch(dispatch));
                    return;
                }
                match self.wait(now, ticket) {
                    Ok(None) => return,
                    Ok(Some(forward)) => return events.push(Event::Forward(forward)),
                    Err(refusal) => refusal,
                }
            }
            State::Running(_) | State::Forwarded(_) => return,
        };
        let refusal = self.certain(ticket, refusal);
        self.remove(now, ticket);
        events.push(Event::Refused(ticket, refusal));
    }

    fn expired(&self, ticket: Ticket) -> Refusal {
        let job = &self.jobs[ticket];
        let service = job.request.service.clone();
        let state = self.services.get(&service);
        let wait = state.map(|it| it.wait(job.prompt, &job.request.workspace, job.weight));
        let wait = wait.unwrap_or_default();
        let retry_after = state.map(|it| it.retry_after(wait)).unwrap_or(NO_TARGET_RETRY);
        Refusal::TooLate { service, wait, retry_after }
    }

    /// The refusal as it may be told after earlier attempts of the request.
    pub(crate) fn certain(&self, ticket: Ticket, refusal: Refusal) -> Refusal {
        if refusal.outcome() != Outcome::NotRun {
            return refusal;
        }
        match self.jobs.get(ticket) {
            Some(job) if job.outcome == Outcome::Unknown => {
                let retry_after = refusal.retry_after().unwrap_or(NO_TARGET_RETRY);
                self.exhausted(job, retry_after)
            }
            _ => refusal,
        }
    }

    pub(crate) fn exhausted(&self, job: &Job, retry_after: Duration) -> Refusal {
        let service = job.request.service.clone();
        let Job { attempts, outcome, .. } = *job;
        Refusal::Exhausted { service, attempts, outcome, retry_after }
    }

    fn release(&mut self, now: Time, name: &Name, events: &mut Vec<Event>) {
        for lane in [Prompt::Long(0), Prompt::Short] {
            while let Some(ticket) = self.head(name, lane) {
                let Some(dispatch) = self.dispatch(now, ticket) else { break };
                if let Some(service) = self.services.get_mut(name) {
                    service.queue(lane).pop();
                }
                events.push(Event::Dispatch(dispatch));
            }
        }
    }

    fn head(&mut self, name: &Name, lane: Prompt) -> Option<Ticket> {
        let service = self.services.get_mut(name)?;
        if !service.pool.has_free(lane) {
            return None;
        }
        service.queue(lane).peek()
    }

    pub(crate) fn set_timer(&mut self, ticket: Ticket, at: Option<Time>) {
        let Some(job) = self.jobs.get_mut(ticket) else { return };
        if let Some(old) = std::mem::replace(&mut job.timer, at) {
            self.timers.remove(&(old, ticket));
        }
        if let Some(at) = at {
            self.timers.insert((at, ticket));
        }
    }
}

impl Service {
    fn has_waiting(&self, prompt: Prompt) -> bool {
        match prompt {
            Prompt::Short => !self.short.is_empty(),
            Prompt::Long(_) => !self.long.is_empty(),
        }
    }
}
