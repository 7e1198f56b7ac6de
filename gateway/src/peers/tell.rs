//! Tells peers what they need to know, in rounds.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use decision::gateway::balance::{Load, Part, tag};
use decision::gateway::exchange::{self, Rank};
use decision::prelude::*;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

use super::hear::HUB;
use super::word::{Loads, MAX_NAMED, Message, News, Rest, Roll, Sum, VERSION, Who, Word};
use super::{ALIVE, Asker, State};
use crate::port::Platform;
use crate::state::Shared;

/// Longest pause between two rounds.
const ROUND: Duration = Duration::from_millis(100);

/// Shortest pause between two rounds, if what is in progress changes. Entries that place requests
/// by older loads place them on the same targets.
const ROUND_LEAST: Duration = Duration::from_millis(25);

/// The same where hubs stand between entries.
const ROUND_HUBS: Duration = Duration::from_millis(50);

/// Rounds after one of which the second hub is told, too, so that it can follow at once.
const SECOND: usize = 4;

/// Rounds of a hub after one of which it tells who lives.
const ROLL: usize = 3;

/// Entries of a failure domain that other ones hear of beside its hub, as they come first to own
/// the replicas.
const FIRST: usize = 2;

/// Suspects that are told.
const MAX_SUSPECTS: usize = 32;

/// Instances that leave of which peers are told at a time.
const MAX_LEAVING: usize = 6;

struct Teller<P> {
    shared: Arc<Shared<P>>,
    socket: Arc<UdpSocket>,
    life: u64,
    round: usize,
    /// When this entry next tells others as their hub.
    next: Time,
    hub_round: usize,
}

pub(super) async fn run<P: Platform>(shared: Arc<Shared<P>>, socket: Arc<UdpSocket>, life: u64) {
    let mut teller =
        Teller { shared: shared.clone(), socket, life, round: 0, next: Time::ZERO, hub_round: 0 };
    loop {
        sleep(if shared.has_hubs() { ROUND_HUBS } else { ROUND_LEAST }).await;
        // Without a change, the round comes at its time.
        let _elapsed = timeout(ROUND - ROUND_LEAST, shared.loaded.notified()).await;
        teller.tell();
        teller.round += 1;
    }
}

impl<P: Platform> Teller<P> {
    fn tell(&mut self) {
        let entries = self.shared.neighbors();
        let own = self.word();
        if !self.shared.has_hubs() {
            let others: Vec<SocketAddr> = entries.iter().map(|it| it.address).collect();
            return self.send_word(&own, false, &others);
        }
        let hubs = self.hubs(&entries, &self.shared.settings().failure_domain);
        let own_place = hubs.iter().position(|it| it.is_none());
        let leads = own_place == Some(0);
        if !leads {
            let others = hubs.into_iter().enumerate();
            for (place, hub) in others.filter_map(|(place, it)| Some((place, it?))) {
                if place == 0 || self.round.is_multiple_of(SECOND) {
                    self.send_word(&own, place == 0, &[hub.address]);
                }
            }
        }
        if self.shared.now() >= self.next {
            self.tell_as_hub(&entries, &own, leads);
        }
    }

    /// Tells those that ask this entry, and the other failure domains if it is their hub here.
    fn tell_as_hub(&mut self, entries: &[Neighbor], own: &Own, leads: bool) {
        let now = self.shared.now();
        let settings = self.shared.settings();
        let mut state = self.shared.peers.state();
        state.askers.retain(|_, it| now.since(it.asked) < ALIVE);
        let met = |it: &mut Asker| std::mem::replace(&mut it.met, true);
        let askers = state.askers.iter_mut();
        let askers: Vec<(String, Asker)> =
            askers.map(|(name, it)| (name.clone(), Asker { met: met(it), ..*it })).collect();
        if askers.is_empty() && !leads {
            return;
        }
        self.next = now + exchange::Settings::default().pause(askers.len());
        self.hub_round += 1;
        let near = state.near(now, &settings.failure_domain, own);
        let all = state.all(now, &near);
        let news = state.news(now, own);
        let near_news = state.near_news(now, &settings.failure_domain, own);
        let first = state.first(now, &settings.failure_domain, own);
        let roll = state.roll(now, own, &settings);
        let all_meet = self.hub_round.is_multiple_of(ROLL);
        let alive = state.alive(now).filter(|it| it.failure_domain == settings.failure_domain);
        let alive = u32::try_from(alive.count() + 1).unwrap_or(u32::MAX);
        let of_askers: Vec<HashMap<u32, Load>> = askers
            .iter()
            .map(|(name, _)| state.peers.get(name).map(|it| it.loads.clone()).unwrap_or_default())
            .collect();
        drop(state);
        let from = own.who.name.clone();
        for ((_, asker), theirs) in askers.iter().zip(&of_askers) {
            for loads in Loads::parts(&without(&all, theirs)) {
                let rest = Rest { from: from.clone(), news: news.clone(), loads };
                self.send(&Message::Rest(rest), asker.address);
            }
            for roll in roll.iter().filter(|_| all_meet || !asker.met) {
                self.send(&Message::Roll(roll.clone()), asker.address);
            }
        }
        let rest = without(&all, &own.loads);
        self.shared.balance().hear_peer(now, HUB, Part::default(), &rest);
        if !leads {
            return;
        }
        for address in self.far_hubs(entries) {
            for loads in Loads::parts(&near) {
                let sum = Sum {
                    from: from.clone(),
                    failure_domain: settings.failure_domain.clone(),
                    alive,
                    first: first.clone(),
                    news: near_news.clone(),
                    loads,
                };
                self.send(&Message::Sum(sum), address);
            }
        }
    }

    /// The hubs of the other failure domains.
    fn far_hubs(&self, entries: &[Neighbor]) -> Vec<SocketAddr> {
        let own = &self.shared.settings().failure_domain;
        let mut domains: Vec<&str> = entries.iter().map(|it| &*it.failure_domain).collect();
        domains.sort_unstable();
        domains.dedup();
        let far = domains.into_iter().filter(|it| *it != own);
        let first = far.filter_map(|it| self.hubs(entries, it).into_iter().flatten().next());
        first.map(|it| it.address).collect()
    }

    /// The hub of a failure domain, and the entry that follows it; none stands for this entry.
    fn hubs<'a>(&self, entries: &'a [Neighbor], failure_domain: &str) -> Vec<Option<&'a Neighbor>> {
        let settings = self.shared.settings();
        let own = settings.instance.as_str();
        let here = entries.iter().filter(|it| it.failure_domain == failure_domain);
        let here: HashMap<&str, &Neighbor> = here.map(|it| (&*it.name, it)).collect();
        let others = here.values().map(|it| Rank::new(&it.name, it.millicores));
        let this = (settings.failure_domain == failure_domain).then(|| self.shared.rank(&settings));
        let mut state = self.shared.peers.state();
        let (now, terms) = (self.shared.now(), exchange::Settings::default());
        let hubs = exchange::hubs(now, own, others.chain(this), &mut state.silence, &terms);
        if let Some(hub) = hubs.first().filter(|it| **it != own) {
            state.silence.told(now, hub);
        }
        hubs.into_iter().map(|it| here.get(it).copied()).collect()
    }

    fn word(&self) -> Own {
        let shared = &self.shared;
        let now = shared.now();
        let settings = shared.settings();
        let balance = shared.balance();
        let loads = balance.loads(now);
        let suspects = balance.suspects().take(MAX_SUSPECTS).map(|it| tag(&it.id)).collect();
        drop(balance);
        let knowledge = shared.knowledge();
        let leaving = knowledge.fleet.leaving(now).take(MAX_LEAVING);
        let leaving = leaving.map(|(id, born)| (id.to_string(), born)).collect();
        drop(knowledge);
        let owner = shared.peers.owned();
        let who = Who {
            name: settings.instance.clone(),
            life: self.life,
            millicores: settings.millicores(),
            owner,
            store: shared.is_store_up(),
            seasoned: shared.is_seasoned(),
            leaving: shared.stopping.load(Ordering::Relaxed),
        };
        let seen = shared.seen.load(Ordering::Relaxed);
        Own { who, loads, news: News { owner, seen, suspects, leaving } }
    }

    fn send_word(&self, own: &Own, asks: bool, to: &[SocketAddr]) {
        let failure_domain = self.shared.settings().failure_domain.clone();
        for loads in Loads::parts(&own.loads) {
            let word = Word {
                who: own.who.clone(),
                failure_domain: failure_domain.clone(),
                asks,
                news: own.news.clone(),
                loads,
            };
            self.send_all(&Message::Word(word), to);
        }
    }

    fn send(&self, message: &Message, to: SocketAddr) {
        self.send_all(message, &[to]);
    }

    fn send_all(&self, message: &Message, to: &[SocketAddr]) {
        // Only its length bounds what is sent, and that is below the largest datagram.
        let Ok(bytes) = rmp_serde::to_vec(&(VERSION, message)) else { return };
        for address in to {
            self.shared.metrics.count("rhubarblatch_datagrams_sent_total", "");
            // A datagram that can't be sent is like one that is lost: the next round repeats it.
            let _sent = self.socket.try_send_to(&bytes, *address);
        }
    }
}

/// Another entry, as the store lists it.
#[derive(Clone, Debug)]
pub(crate) struct Neighbor {
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
    pub(crate) failure_domain: String,
    pub(crate) millicores: u32,
}

/// What this entry has to tell of itself.
struct Own {
    who: Who,
    loads: HashMap<u32, Load>,
    news: News,
}

impl State {
    /// What the entries of this failure domain have in progress together.
    fn near(&self, now: Time, failure_domain: &str, own: &Own) -> HashMap<u32, Load> {
        let mut sum = own.loads.clone();
        let near = self.alive(now).filter(|it| it.direct && it.failure_domain == failure_domain);
        near.for_each(|it| add(&mut sum, &it.loads, now.since(it.heard)));
        sum
    }

    /// What all entries have in progress together, given that of this failure domain.
    fn all(&self, now: Time, near: &HashMap<u32, Load>) -> HashMap<u32, Load> {
        let mut sum = near.clone();
        self.domains(now).for_each(|it| add(&mut sum, &it.loads, now.since(it.heard)));
        sum
    }

    /// What this failure domain tells the others.
    fn near_news(&self, now: Time, failure_domain: &str, own: &Own) -> News {
        let near = || self.alive(now).filter(|it| it.failure_domain == failure_domain);
        let owner = near().filter_map(|it| it.who.owner).max().max(own.who.owner);
        let suspects = near().flat_map(|it| it.news.suspects.iter().copied());
        News {
            owner,
            suspects: few(own.news.suspects.iter().copied().chain(suspects)),
            ..own.news.clone()
        }
    }

    /// What a hub tells those that ask it.
    fn news(&self, now: Time, own: &Own) -> News {
        let owner = self.owner_of_others(now).max(own.who.owner);
        let suspects = own.news.suspects.iter().copied().chain(self.suspects_of_others(now));
        News { owner, suspects: few(suspects), ..own.news.clone() }
    }

    /// The entries of this failure domain that come first to own the replicas.
    fn first(&self, now: Time, failure_domain: &str, own: &Own) -> Vec<Who> {
        let near = self.alive(now).filter(|it| it.failure_domain == failure_domain);
        let mut near: Vec<Who> = near.map(|it| it.who.clone()).chain([own.who.clone()]).collect();
        near.retain(|it| it.store && !it.leaving);
        near.sort_by(|a, b| a.candidate().rank().cmp(&b.candidate().rank()));
        near.truncate(FIRST);
        // A hub is asked what the store says, too.
        near.push(own.who.clone());
        near
    }

    /// Who lives, in as many parts as it takes.
    fn roll(&self, now: Time, own: &Own, settings: &crate::settings::Settings) -> Vec<Roll> {
        let here = |it: &&super::Peer| it.failure_domain == settings.failure_domain;
        let near = self.alive(now).filter(here).map(|it| it.who.clone());
        let near: Vec<Who> = near.chain([own.who.clone()]).collect();
        let far = self.alive(now).filter(|it| !here(it));
        let far: Vec<(String, Who)> =
            far.map(|it| (it.failure_domain.clone(), it.who.clone())).collect();
        let far_alive: usize = self.domains(now).map(|it| it.alive).sum();
        let far_alive = u32::try_from(far_alive).unwrap_or(u32::MAX);
        let part = |near: &[Who], far: &[(String, Who)]| Roll {
            from: own.who.name.clone(),
            near: near.to_vec(),
            far_alive,
            far: far.to_vec(),
        };
        let near = near.chunks(MAX_NAMED).map(|it| part(it, &[]));
        near.chain(far.chunks(MAX_NAMED).map(|it| part(&[], it))).collect()
    }
}

/// Adds loads that were told `age` ago.
fn add(sum: &mut HashMap<u32, Load>, loads: &HashMap<u32, Load>, age: Duration) {
    let age_ms = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
    for (target, load) in loads {
        let all = sum.entry(*target).or_insert(Load { quiet_ms: u32::MAX, ..Load::default() });
        all.running += load.running;
        all.prefill = all.prefill.saturating_add(load.prefill);
        all.quiet_ms = all.quiet_ms.min(load.quiet_ms.saturating_add(age_ms));
    }
}

/// What others have in progress, given that of all and that of one.
fn without(all: &HashMap<u32, Load>, one: &HashMap<u32, Load>) -> HashMap<u32, Load> {
    let mut others = all.clone();
    for (target, load) in one {
        let Some(other) = others.get_mut(target) else { continue };
        other.running = other.running.saturating_sub(load.running);
        other.prefill = other.prefill.saturating_sub(load.prefill);
    }
    others.retain(|_, it| it.running > 0 || it.prefill > 0 || it.quiet_ms < u32::MAX);
    others
}

/// Suspects, each once, and not too many.
fn few(suspects: impl Iterator<Item = u32>) -> Vec<u32> {
    let mut suspects: Vec<u32> = suspects.collect();
    suspects.sort_unstable();
    suspects.dedup();
    suspects.truncate(MAX_SUSPECTS);
    suspects
}
