//! The work of a hub: adds up what its subscribers report, and sends the totals to them and to the
//! other hubs.

use std::collections::HashMap;
use std::net::SocketAddr;

use decision::gateway::balance::{Load, Partition};
use decision::gateway::demand::{self, Demands};
use decision::gateway::exchange;
use decision::prelude::*;

use super::hear::HUB;
use super::tell::{MAX_SUSPECTS, Neighbor, Own, Teller};
use super::word::{Loads, MAX_FIRST, MAX_NAMED, Message, News, Rest, Roll, Sum, Who};
use super::{ALIVE, Asker, Peer, State};
use crate::port::Platform;

/// A hub sends the list of living entries in one of so many rounds.
const ROLL: usize = 3;

/// Most entries that a hub names to other failure domains besides itself: those that would take
/// over the replicas first.
const FIRST: usize = 2;

/// A peer that uses this entry as its hub, with what it reported last.
struct Follower {
    /// Whether it was sent the list of living entries before.
    met: bool,
    address: SocketAddr,
    demands: Demands,
    loads: HashMap<u32, Load>,
}

impl<P: Platform> Teller<P> {
    /// Sends totals to the subscribers and, if this entry is the hub of its failure domain, to the
    /// other hubs.
    pub(super) fn tell_as_hub(&mut self, entries: &[Neighbor], own: &Own, leads: bool) {
        let now = self.shared.now();
        let followers = self.shared.peers.state().followers(now);
        if followers.is_empty() && !leads {
            return;
        }
        self.next = now + exchange::Settings::default().round_interval(followers.len());
        self.hub_round += 1;
        self.tell_followers(now, &followers, own);
        if leads {
            self.tell_domains(now, entries, own);
        }
    }

    /// Sends each subscriber the totals of all others, and gives this entry its own.
    fn tell_followers(&self, now: Time, followers: &[Follower], own: &Own) {
        let domain = &self.shared.settings().failure_domain;
        let state = self.shared.peers.state();
        let all = state.all(now, domain, own);
        let news = state.news(now, own);
        let demands = state.all_demands(now, domain, own);
        let roll = state.roll(now, domain, own);
        drop(state);
        let all_meet = self.hub_round.is_multiple_of(ROLL);
        for follower in followers {
            for loads in Loads::parts(&without(&all, &follower.loads)) {
                let rest = Rest {
                    from: own.who.name.clone(),
                    news: news.clone(),
                    demands: demand::subtract(&demands, &follower.demands),
                    loads,
                };
                self.send(&Message::Rest(rest), follower.address);
            }
            for part in roll.iter().filter(|_| all_meet || !follower.met) {
                self.send(&Message::Roll(part.clone()), follower.address);
            }
        }
        let rest = without(&all, &own.loads);
        let mut balance = self.shared.balance();
        balance.set_peer_loads(now, HUB, Partition::default(), &rest);
        balance.set_peer_demand(now, HUB, demand::subtract(&demands, &own.demands));
    }

    /// Sends the totals of this failure domain to the other hubs.
    fn tell_domains(&self, now: Time, entries: &[Neighbor], own: &Own) {
        let domain = self.shared.settings().failure_domain.clone();
        let hubs = self.far_hubs(entries, &domain);
        let state = self.shared.peers.state();
        let sum = Sum {
            from: own.who.name.clone(),
            failure_domain: domain.clone(),
            alive: u32::try_from(state.near(now, &domain).count() + 1).unwrap_or(u32::MAX),
            first: state.first(now, &domain, own),
            news: state.near_news(now, &domain, own),
            demands: state.near_demands(now, &domain, own),
            loads: Loads::default(),
        };
        let near = state.near_loads(now, &domain, own);
        drop(state);
        for loads in Loads::parts(&near) {
            let message = Message::Sum(Sum { loads, ..sum.clone() });
            hubs.iter().for_each(|it| self.send(&message, *it));
        }
    }

    /// Returns the addresses of the hubs of all failure domains but `own`.
    fn far_hubs(&self, entries: &[Neighbor], own: &str) -> Vec<SocketAddr> {
        let mut domains: Vec<&str> = entries.iter().map(|it| &*it.failure_domain).collect();
        domains.sort_unstable();
        domains.dedup();
        let far = domains.into_iter().filter(|it| *it != own);
        let first = far.filter_map(|it| self.hubs(entries, it).into_iter().flatten().next());
        first.map(|it| it.address).collect()
    }
}

impl State {
    /// Returns the peers that use this entry as their hub, and marks the list of living entries as
    /// sent to them. Drops those that have stopped.
    fn followers(&mut self, now: Time) -> Vec<Follower> {
        self.askers.retain(|_, it| now.since(it.asked) < ALIVE);
        let peers = &self.peers;
        let follower = |(name, asker): (&String, &mut Asker)| Follower {
            met: std::mem::replace(&mut asker.met, true),
            address: asker.address,
            demands: peers.get(name).map(|it| it.demands.clone()).unwrap_or_default(),
            loads: peers.get(name).map(|it| it.loads.clone()).unwrap_or_default(),
        };
        self.askers.iter_mut().map(follower).collect()
    }

    /// Returns the living peers of this failure domain.
    fn near<'a>(&'a self, now: Time, domain: &'a str) -> impl Iterator<Item = &'a Peer> {
        self.alive(now).filter(move |it| it.failure_domain == domain)
    }

    /// Adds up the loads of this failure domain.
    fn near_loads(&self, now: Time, domain: &str, own: &Own) -> HashMap<u32, Load> {
        let mut sum = own.loads.clone();
        let near = self.near(now, domain).filter(|it| it.direct);
        near.for_each(|it| add(&mut sum, &it.loads, now.since(it.heard)));
        sum
    }

    /// Adds up the demand in this failure domain.
    fn near_demands(&self, now: Time, domain: &str, own: &Own) -> Demands {
        let mut sum = own.demands.clone();
        let near = self.near(now, domain).filter(|it| it.direct);
        near.for_each(|it| demand::add(&mut sum, &it.demands));
        sum
    }

    /// Adds up the demand at all entries.
    fn all_demands(&self, now: Time, domain: &str, own: &Own) -> Demands {
        let mut sum = self.near_demands(now, domain, own);
        self.domains(now).for_each(|it| demand::add(&mut sum, &it.demands));
        sum
    }

    /// Adds up the loads of all entries.
    fn all(&self, now: Time, domain: &str, own: &Own) -> HashMap<u32, Load> {
        let mut sum = self.near_loads(now, domain, own);
        self.domains(now).for_each(|it| add(&mut sum, &it.loads, now.since(it.heard)));
        sum
    }

    /// Returns the cluster state as this failure domain reports it to the others.
    fn near_news(&self, now: Time, domain: &str, own: &Own) -> News {
        let owner = self.near(now, domain).filter_map(|it| it.who.owner).max();
        let suspects = self.near(now, domain).flat_map(|it| it.news.suspects.iter().copied());
        let suspects = few(own.news.suspects.iter().copied().chain(suspects));
        News { owner: owner.max(own.who.owner), suspects, ..own.news.clone() }
    }

    /// Returns the cluster state as a hub reports it to its subscribers.
    fn news(&self, now: Time, own: &Own) -> News {
        let owner = self.owner_of_others(now).max(own.who.owner);
        let suspects = own.news.suspects.iter().copied().chain(self.suspects_of_others(now));
        News { owner, suspects: few(suspects), ..own.news.clone() }
    }

    /// Returns the entries of this failure domain that would take over the replicas first, and this
    /// entry, its hub, from which other failure domains may read the store.
    fn first(&self, now: Time, domain: &str, own: &Own) -> Vec<Who> {
        let mut near: Vec<Who> = self.near(now, domain).map(|it| it.who.clone()).collect();
        near.retain(|it| it.store && !it.leaving);
        near.sort_by(|a, b| a.candidate().rank().cmp(&b.candidate().rank()));
        near.truncate(FIRST);
        near.push(own.who.clone());
        near
    }

    /// Returns the entries of this failure domain that the others of it need to know: those that
    /// would take over the replicas or read the store first, and owners.
    fn first_named(&self, now: Time, domain: &str, own: &Own) -> Vec<Who> {
        let near = self.near(now, domain).map(|it| it.who.clone());
        let mut near: Vec<Who> = near.chain([own.who.clone()]).collect();
        near.sort_by(|a, b| a.candidate().rank().cmp(&b.candidate().rank()));
        let mut place = 0;
        near.retain(|it| {
            place += 1;
            place <= MAX_FIRST || it.owner.is_some()
        });
        near
    }

    /// Returns the living entries, in as many messages as their bound requires.
    fn roll(&self, now: Time, domain: &str, own: &Own) -> Vec<Roll> {
        let near_alive = u32::try_from(self.near(now, domain).count()).unwrap_or(u32::MAX);
        let near = self.first_named(now, domain, own);
        let far = self.alive(now).filter(|it| it.failure_domain != domain);
        let far: Vec<(String, Who)> =
            far.map(|it| (it.failure_domain.clone(), it.who.clone())).collect();
        let far_alive: usize = self.domains(now).map(|it| it.alive).sum();
        let far_alive = u32::try_from(far_alive).unwrap_or(u32::MAX);
        let part = |near: &[Who], far: &[(String, Who)]| Roll {
            from: own.who.name.clone(),
            near: near.to_vec(),
            near_alive,
            far_alive,
            far: far.to_vec(),
        };
        let near = near.chunks(MAX_NAMED).map(|it| part(it, &[]));
        near.chain(far.chunks(MAX_NAMED).map(|it| part(&[], it))).collect()
    }
}

/// Adds `loads`, which were received `age` ago, to `sum`.
fn add(sum: &mut HashMap<u32, Load>, loads: &HashMap<u32, Load>, age: Duration) {
    let age_ms = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
    for (target, load) in loads {
        let all = sum.entry(*target).or_insert(Load { quiet_ms: u32::MAX, ..Load::default() });
        all.slowness = slowness(all, load);
        all.running = all.running.saturating_add(load.running);
        all.prefill = all.prefill.saturating_add(load.prefill);
        all.quiet_ms = all.quiet_ms.min(load.quiet_ms.saturating_add(age_ms));
    }
}

/// Returns the mean of two reports of a target's slowness, weighted by the requests that each has
/// in progress there. A report of 0 says nothing.
fn slowness(a: &Load, b: &Load) -> u8 {
    if a.slowness == 0 || b.slowness == 0 {
        return a.slowness.max(b.slowness);
    }
    let part = |it: &Load| u64::from(it.slowness) * u64::from(it.running.max(1));
    let running = u64::from(a.running.max(1)) + u64::from(b.running.max(1));
    u8::try_from((part(a) + part(b)) / running).unwrap_or(u8::MAX)
}

/// Subtracts the loads of one entry from those of all.
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

/// Removes duplicates and cuts the suspects to the bound of a message.
fn few(suspects: impl Iterator<Item = u32>) -> Vec<u32> {
    let mut suspects: Vec<u32> = suspects.collect();
    suspects.sort_unstable();
    suspects.dedup();
    suspects.truncate(MAX_SUSPECTS);
    suspects
}
