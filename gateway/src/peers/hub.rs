//! The work of a hub: adds up what its subscribers report, and sends the totals to them and to the
//! other hubs.

use std::collections::HashMap;
use std::net::SocketAddr;

use decision::gateway::balance::{Load, Partition};
use decision::gateway::demand::{self, Demands};
use decision::gateway::exchange;
use decision::prelude::*;

use super::message::{
    ClusterState, DomainTotal, Loads, MAX_NAMED_PER_DOMAIN, MAX_NAMED_PER_MESSAGE, Membership,
    Message, OthersTotal, Status,
};
use super::receive::HUB_SOURCE;
use super::send::{MAX_SUSPECTS, Neighbor, OwnState, Sender};
use super::{PEER_TIMEOUT, Peer, State, Subscription};
use crate::port::Platform;

/// A hub sends the list of living entries in one of so many rounds.
const MEMBERSHIP_ROUNDS: usize = 3;

/// Most entries that a hub names to other failure domains besides itself: those that would take
/// over the replicas first.
const MAX_CANDIDATES: usize = 2;

/// A peer that uses this entry as its hub, with what it reported last.
struct Subscriber {
    /// Whether it was sent the list of living entries before.
    has_membership: bool,
    address: SocketAddr,
    demands: Demands,
    loads: HashMap<u32, Load>,
}

impl<P: Platform> Sender<P> {
    /// Sends totals to the subscribers and, if this entry is the hub of its failure domain, to the
    /// other hubs.
    pub(super) fn run_hub_round(&mut self, entries: &[Neighbor], own: &OwnState, is_hub: bool) {
        let now = self.shared.now();
        let subscribers = self.shared.peers.state().subscribers(now);
        if subscribers.is_empty() && !is_hub {
            return;
        }
        self.next_hub_round_at =
            now + exchange::Settings::default().round_interval(subscribers.len());
        self.hub_round += 1;
        self.send_to_subscribers(now, &subscribers, own);
        if is_hub {
            self.send_to_other_hubs(now, entries, own);
        }
    }

    /// Sends each subscriber the totals of all others, and gives this entry its own.
    fn send_to_subscribers(&self, now: Time, subscribers: &[Subscriber], own: &OwnState) {
        let domain = &self.shared.settings().failure_domain;
        let state = self.shared.peers.state();
        let all = state.total_loads(now, domain, own);
        let cluster = state.cluster_state(now, own);
        let demands = state.total_demands(now, domain, own);
        let memberships = state.memberships(now, domain, own);
        drop(state);
        let is_membership_round = self.hub_round.is_multiple_of(MEMBERSHIP_ROUNDS);
        for subscriber in subscribers {
            for loads in Loads::partitions(&subtract_loads(&all, &subscriber.loads)) {
                let total = OthersTotal {
                    from: own.status.name.clone(),
                    cluster: cluster.clone(),
                    demands: demand::subtract(&demands, &subscriber.demands),
                    loads,
                };
                self.send(&Message::Rest(total), subscriber.address);
            }
            for part in
                memberships.iter().filter(|_| is_membership_round || !subscriber.has_membership)
            {
                self.send(&Message::Roll(part.clone()), subscriber.address);
            }
        }
        let others = subtract_loads(&all, &own.loads);
        let mut balance = self.shared.balance();
        balance.set_peer_loads(now, HUB_SOURCE, Partition::default(), &others);
        balance.set_peer_demand(now, HUB_SOURCE, demand::subtract(&demands, &own.demands));
    }

    /// Sends the totals of this failure domain to the other hubs.
    fn send_to_other_hubs(&self, now: Time, entries: &[Neighbor], own: &OwnState) {
        let domain = self.shared.settings().failure_domain.clone();
        let hubs = self.other_hubs(entries, &domain);
        let state = self.shared.peers.state();
        let total = DomainTotal {
            from: own.status.name.clone(),
            failure_domain: domain.clone(),
            alive: u32::try_from(state.domain_peers(now, &domain).count() + 1).unwrap_or(u32::MAX),
            candidates: state.candidates(now, &domain, own),
            cluster: state.domain_cluster_state(now, &domain, own),
            demands: state.domain_demands(now, &domain, own),
            loads: Loads::default(),
        };
        let domain_loads = state.domain_loads(now, &domain, own);
        drop(state);
        for loads in Loads::partitions(&domain_loads) {
            let message = Message::Sum(DomainTotal { loads, ..total.clone() });
            hubs.iter().for_each(|it| self.send(&message, *it));
        }
    }

    /// Returns the addresses of the hubs of all failure domains but `own`.
    pub(super) fn other_hubs(&self, entries: &[Neighbor], own: &str) -> Vec<SocketAddr> {
        let mut domains: Vec<&str> = entries.iter().map(|it| &*it.failure_domain).collect();
        domains.sort_unstable();
        domains.dedup();
        let others = domains.into_iter().filter(|it| *it != own);
        let first = others.filter_map(|it| self.hubs(entries, it).into_iter().flatten().next());
        first.map(|it| it.address).collect()
    }
}

impl State {
    /// Returns the peers that use this entry as their hub, and marks the list of living entries as
    /// sent to them. Drops those that have stopped.
    fn subscribers(&mut self, now: Time) -> Vec<Subscriber> {
        self.subscriptions.retain(|_, it| now.since(it.renewed_at) < PEER_TIMEOUT);
        let peers = &self.peers;
        let subscriber = |(name, subscription): (&String, &mut Subscription)| Subscriber {
            has_membership: std::mem::replace(&mut subscription.has_membership, true),
            address: subscription.address,
            demands: peers.get(name).map(|it| it.demands.clone()).unwrap_or_default(),
            loads: peers.get(name).map(|it| it.loads.clone()).unwrap_or_default(),
        };
        self.subscriptions.iter_mut().map(subscriber).collect()
    }

    /// Returns the addresses of the peers that use this entry as their hub.
    pub(super) fn subscribers_at(&self, now: Time) -> Vec<SocketAddr> {
        let living =
            self.subscriptions.values().filter(|it| now.since(it.renewed_at) < PEER_TIMEOUT);
        living.map(|it| it.address).collect()
    }

    /// Returns the living peers of this failure domain.
    fn domain_peers<'a>(&'a self, now: Time, domain: &'a str) -> impl Iterator<Item = &'a Peer> {
        self.alive(now).filter(move |it| it.failure_domain == domain)
    }

    /// Adds up the loads of this failure domain.
    fn domain_loads(&self, now: Time, domain: &str, own: &OwnState) -> HashMap<u32, Load> {
        let mut sum = own.loads.clone();
        let peers = self.domain_peers(now, domain).filter(|it| it.is_direct);
        peers.for_each(|it| add_loads(&mut sum, &it.loads, now.since(it.heard_at)));
        sum
    }

    /// Adds up the demand in this failure domain.
    fn domain_demands(&self, now: Time, domain: &str, own: &OwnState) -> Demands {
        let mut sum = own.demands.clone();
        let peers = self.domain_peers(now, domain).filter(|it| it.is_direct);
        peers.for_each(|it| demand::add(&mut sum, &it.demands));
        sum
    }

    /// Adds up the demand at all entries.
    fn total_demands(&self, now: Time, domain: &str, own: &OwnState) -> Demands {
        let mut sum = self.domain_demands(now, domain, own);
        self.alive_domains(now).for_each(|it| demand::add(&mut sum, &it.demands));
        sum
    }

    /// Adds up the loads of all entries.
    fn total_loads(&self, now: Time, domain: &str, own: &OwnState) -> HashMap<u32, Load> {
        let mut sum = self.domain_loads(now, domain, own);
        self.alive_domains(now)
            .for_each(|it| add_loads(&mut sum, &it.loads, now.since(it.heard_at)));
        sum
    }

    /// Returns the cluster state as this failure domain reports it to the others.
    fn domain_cluster_state(&self, now: Time, domain: &str, own: &OwnState) -> ClusterState {
        let owner_fence =
            self.domain_peers(now, domain).filter_map(|it| it.status.owner_fence).max();
        let suspects =
            self.domain_peers(now, domain).flat_map(|it| it.cluster.suspects.iter().copied());
        let suspects = bounded_suspects(own.cluster.suspects.iter().copied().chain(suspects));
        ClusterState {
            owner_fence: owner_fence.max(own.status.owner_fence),
            suspects,
            ..own.cluster.clone()
        }
    }

    /// Returns the cluster state as a hub reports it to its subscribers.
    fn cluster_state(&self, now: Time, own: &OwnState) -> ClusterState {
        let owner_fence = self.owner_except_hub(now).max(own.status.owner_fence);
        let suspects = own.cluster.suspects.iter().copied().chain(self.suspects_except_hub(now));
        ClusterState { owner_fence, suspects: bounded_suspects(suspects), ..own.cluster.clone() }
    }

    /// Returns the entries of this failure domain that would take over the replicas first, and this
    /// entry, its hub, from which other failure domains may read the store.
    fn candidates(&self, now: Time, domain: &str, own: &OwnState) -> Vec<Status> {
        let mut candidates: Vec<Status> =
            self.domain_peers(now, domain).map(|it| it.status.clone()).collect();
        candidates.retain(|it| it.has_store && !it.is_leaving);
        candidates.sort_by(|a, b| a.candidate().rank().cmp(&b.candidate().rank()));
        candidates.truncate(MAX_CANDIDATES);
        candidates.push(own.status.clone());
        candidates
    }

    /// Returns the entries of this failure domain that the others of it need to know: those that
    /// would take over the replicas or read the store first, and owners.
    fn named(&self, now: Time, domain: &str, own: &OwnState) -> Vec<Status> {
        let peers = self.domain_peers(now, domain).map(|it| it.status.clone());
        let mut statuses: Vec<Status> = peers.chain([own.status.clone()]).collect();
        statuses.sort_by(|a, b| a.candidate().rank().cmp(&b.candidate().rank()));
        let mut position = 0;
        statuses.retain(|it| {
            position += 1;
            position <= MAX_NAMED_PER_DOMAIN || it.owner_fence.is_some()
        });
        statuses
    }

    /// Returns the living entries, in as many messages as their bound requires.
    fn memberships(&self, now: Time, domain: &str, own: &OwnState) -> Vec<Membership> {
        let domain_alive =
            u32::try_from(self.domain_peers(now, domain).count()).unwrap_or(u32::MAX);
        let named = self.named(now, domain, own);
        let others = self.alive(now).filter(|it| it.failure_domain != domain);
        let others: Vec<(String, Status)> =
            others.map(|it| (it.failure_domain.clone(), it.status.clone())).collect();
        let others_alive: usize = self.alive_domains(now).map(|it| it.alive).sum();
        let others_alive = u32::try_from(others_alive).unwrap_or(u32::MAX);
        let part = |domain: &[Status], others: &[(String, Status)]| Membership {
            from: own.status.name.clone(),
            domain: domain.to_vec(),
            domain_alive,
            others_alive,
            others: others.to_vec(),
        };
        let parts = named.chunks(MAX_NAMED_PER_MESSAGE).map(|it| part(it, &[]));
        parts.chain(others.chunks(MAX_NAMED_PER_MESSAGE).map(|it| part(&[], it))).collect()
    }
}

/// Adds `loads`, which were received `age` ago, to `sum`.
fn add_loads(sum: &mut HashMap<u32, Load>, loads: &HashMap<u32, Load>, age: Duration) {
    let age_ms = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
    for (target, load) in loads {
        let all = sum.entry(*target).or_insert(Load { quiet_ms: u32::MAX, ..Load::default() });
        all.slowness = mean_slowness(all, load);
        all.running = all.running.saturating_add(load.running);
        all.prefill = all.prefill.saturating_add(load.prefill);
        all.quiet_ms = all.quiet_ms.min(load.quiet_ms.saturating_add(age_ms));
    }
}

/// Returns the mean of two reports of a target's slowness, weighted by the requests that each has
/// in progress there. A report of 0 says nothing.
fn mean_slowness(a: &Load, b: &Load) -> u8 {
    if a.slowness == 0 || b.slowness == 0 {
        return a.slowness.max(b.slowness);
    }
    let weighted = |it: &Load| u64::from(it.slowness) * u64::from(it.running.max(1));
    let running = u64::from(a.running.max(1)) + u64::from(b.running.max(1));
    u8::try_from((weighted(a) + weighted(b)) / running).unwrap_or(u8::MAX)
}

/// Subtracts the loads of one entry from those of all.
fn subtract_loads(all: &HashMap<u32, Load>, one: &HashMap<u32, Load>) -> HashMap<u32, Load> {
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
fn bounded_suspects(suspects: impl Iterator<Item = u32>) -> Vec<u32> {
    let mut suspects: Vec<u32> = suspects.collect();
    suspects.sort_unstable();
    suspects.dedup();
    suspects.truncate(MAX_SUSPECTS);
    suspects
}
