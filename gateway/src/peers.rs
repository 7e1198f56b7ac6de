//! State that entries exchange in UDP datagrams: requests in progress, suspect targets, instances
//! that are leaving, and which entry gives orders to the instances.
//!
//! In a small cluster every entry sends to every other one. In a larger one, each entry exchanges
//! state only with the hub of its failure domain (see [`decision::gateway::exchange`]).

mod hub;
mod message;
mod receive;
mod send;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use decision::gateway::balance::Load;
use decision::gateway::candidate::Candidate;
use decision::gateway::demand::Demands;
use decision::gateway::exchange::{Liveness, Rank};
use decision::prelude::*;
use tokio::net::UdpSocket;

use self::message::{ClusterState, Status};
pub(crate) use self::send::Neighbor;
use crate::port::Platform;
use crate::state::Shared;

/// Time without a datagram after which a peer that sends to this entry itself counts as gone.
const PEER_TIMEOUT: Duration = Duration::from_millis(900);

/// Time after which what a hub reported about other entries no longer counts.
const REPORTED_PEER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time for which a peer is remembered after it was last heard of.
const PEER_RETENTION: Duration = Duration::from_secs(60);

/// Bound of the peers, subscribers and failure domains that are kept, each.
const MAX_PEERS: usize = 4_096;

/// Largest datagram that is read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 2_048;

/// What this entry last received from and about its peers.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    peers: HashMap<String, Peer>,
    /// Totals from the hubs of other failure domains, by failure domain.
    domains: HashMap<String, Domain>,
    /// What the hub of this failure domain reported about all other entries.
    hub_report: HubReport,
    /// Peers that use this entry as their hub, by name.
    subscriptions: HashMap<String, Subscription>,
    liveness: Liveness,
    /// Peers that could not answer for the store, each with the time until which it is not asked.
    excluded_readers: HashMap<String, Time>,
    /// The fencing token under which this entry owns the replicas, if it does.
    own_fence: Option<u64>,
    /// When an owner was last heard of.
    owner_heard_at: Option<Time>,
    /// The highest fencing token under which an owner was ever heard of.
    highest_fence: u64,
    /// When an unreadable datagram was last logged.
    unreadable_logged_at: Option<Time>,
}

/// A peer that sent a heartbeat itself, or that a hub reported.
#[derive(Clone, Debug)]
struct Peer {
    heard_at: Time,
    /// Whether the last message about it came from itself.
    is_direct: bool,
    failure_domain: String,
    status: Status,
    cluster: ClusterState,
    demands: Demands,
    loads: HashMap<u32, Load>,
}

/// Totals of another failure domain, from its hub.
#[derive(Clone, Debug)]
struct Domain {
    heard_at: Time,
    alive: usize,
    cluster: ClusterState,
    demands: Demands,
    loads: HashMap<u32, Load>,
}

/// What the hub of this failure domain reported about all other entries.
#[derive(Clone, Debug, Default)]
struct HubReport {
    heard_at: Time,
    cluster: ClusterState,
    /// Living entries of this failure domain, without the hub.
    domain_alive: usize,
    /// Living entries of the other failure domains.
    others_alive: usize,
}

/// A peer that uses this entry as its hub.
#[derive(Clone, Copy, Debug)]
struct Subscription {
    renewed_at: Time,
    address: SocketAddr,
    /// Whether it was sent the list of living entries.
    has_membership: bool,
}

impl Peers {
    /// Sets the fencing token under which this entry owns the replicas; `None` if it doesn't.
    pub(crate) fn set_own_fence(&self, fence: Option<u64>) {
        let mut state = self.state();
        state.own_fence = fence;
        state.highest_fence = state.highest_fence.max(fence.unwrap_or_default());
    }

    /// Returns the fencing token under which this entry owns the replicas, if it does.
    pub(crate) fn own_fence(&self) -> Option<u64> {
        self.state().own_fence
    }

    /// Returns the living peers that are not leaving and may take over the replicas. With hubs,
    /// these are only the first ones by rank.
    pub(crate) fn candidates(&self, now: Time) -> Vec<Candidate> {
        let state = self.state();
        state
            .alive(now)
            .filter(|it| !it.status.is_leaving)
            .map(|it| it.status.candidate())
            .collect()
    }

    /// Returns the number of living peers, without this entry. `failure_domain` is its own.
    pub(crate) fn alive_count(&self, now: Time, failure_domain: &str) -> usize {
        let state = self.state();
        let domain = state.alive(now).filter(|it| it.failure_domain == failure_domain).count();
        let others = state.alive(now).filter(|it| it.failure_domain != failure_domain).count();
        let domains = state.alive_domains(now).map(|it| it.alive).sum();
        let reported = state.has_hub_report(now).then_some(&state.hub_report);
        let (reported_domain, reported_others) =
            reported.map_or((0, 0), |it| (it.domain_alive, it.others_alive));
        domain.max(reported_domain) + others.max(domains).max(reported_others)
    }

    /// Returns whether the peer `name` is alive, not leaving, and still the process that
    /// `incarnation` identifies.
    pub(crate) fn is_alive(&self, now: Time, name: &str, incarnation: u64) -> bool {
        let state = self.state();
        let peer = state.peers.get(name).filter(|it| it.is_alive(now));
        peer.is_some_and(|it| it.status.incarnation == incarnation && !it.status.is_leaving)
    }

    /// Returns whether the peer `name` is alive, as it says itself or as a hub reports.
    pub(crate) fn is_heard(&self, now: Time, name: &str) -> bool {
        self.state().peers.get(name).is_some_and(|it| it.is_alive(now))
    }

    /// Returns whether no living peer of a failure domain ranks before `own`.
    pub(crate) fn leads(&self, now: Time, failure_domain: &str, own: Rank<'_>) -> bool {
        let state = self.state();
        let mut domain = state.alive(now).filter(|it| it.failure_domain == failure_domain);
        domain.all(|it| it.status.rank() > own)
    }

    /// Returns the highest fencing token under which a living peer owns the replicas.
    pub(crate) fn owner_fence(&self, now: Time) -> Option<u64> {
        let state = self.state();
        let reported =
            if state.has_hub_report(now) { state.hub_report.cluster.owner_fence } else { None };
        state.owner_except_hub(now).max(reported)
    }

    /// Returns the highest fencing token under which an owner was ever heard of, this entry
    /// included; 0 without one.
    pub(crate) fn highest_fence(&self) -> u64 {
        let state = self.state();
        state.highest_fence.max(state.own_fence.unwrap_or_default())
    }

    /// Returns when an owner was last heard of.
    pub(crate) fn owner_heard_at(&self) -> Option<Time> {
        self.state().owner_heard_at
    }

    /// Returns whether a living peer that is not leaving reaches the store.
    pub(crate) fn has_peer_with_store(&self, now: Time) -> bool {
        self.state().alive(now).any(|it| it.status.has_store && !it.status.is_leaving)
    }

    /// Returns the first peer of a failure domain by rank that reaches the store, unless `own`
    /// ranks before it; without `own`, whatever its rank. Peers that were excluded or are leaving
    /// are skipped.
    pub(crate) fn domain_reader(
        &self,
        now: Time,
        failure_domain: &str,
        own: Option<Rank<'_>>,
    ) -> Option<String> {
        self.state().reader(now, own, |it| it.failure_domain == failure_domain)
    }

    /// Returns the first peer of all failure domains by rank that reaches the store, unless `own`
    /// ranks before it. Peers that were excluded or are leaving are skipped.
    pub(crate) fn cluster_reader(&self, now: Time, own: Option<Rank<'_>>) -> Option<String> {
        self.state().reader(now, own, |_| true)
    }

    /// Excludes a peer that could not answer for the store as its reader until `until`, and forgets
    /// exclusions that are over.
    pub(crate) fn exclude_reader(&self, now: Time, name: &str, until: Time) {
        let mut state = self.state();
        state.excluded_readers.retain(|_, it| now < *it);
        state.excluded_readers.insert(name.to_owned(), until);
    }

    /// Returns the number of living peers in this entry's failure domain, without this entry.
    pub(crate) fn domain_alive_count(&self, now: Time, failure_domain: &str) -> usize {
        let state = self.state();
        let domain = state.alive(now).filter(|it| it.failure_domain == failure_domain).count();
        domain.max(if state.has_hub_report(now) { state.hub_report.domain_alive } else { 0 })
    }

    /// Returns the tags of the targets that living peers suspect.
    pub(crate) fn suspect_tags(&self, now: Time) -> HashSet<u32> {
        let state = self.state();
        let reported = state.has_hub_report(now).then_some(&state.hub_report.cluster);
        let reported = reported.into_iter().flat_map(|it| it.suspects.iter().copied());
        state.suspects_except_hub(now).chain(reported).collect()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn alive(&self, now: Time) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |it| it.is_alive(now))
    }

    fn reader(
        &self,
        now: Time,
        own: Option<Rank<'_>>,
        is_eligible: impl Fn(&Peer) -> bool,
    ) -> Option<String> {
        let readers = self.alive(now).filter(|it| {
            let is_excluded =
                self.excluded_readers.get(&it.status.name).is_some_and(|until| now < *until);
            it.status.has_store && !it.status.is_leaving && !is_excluded && is_eligible(it)
        });
        let first =
            readers.map(|it| it.status.rank()).min().filter(|it| own.is_none_or(|own| *it < own));
        first.map(|it| it.name().to_owned())
    }

    fn alive_domains(&self, now: Time) -> impl Iterator<Item = &Domain> {
        self.domains.values().filter(move |it| now.since(it.heard_at) < REPORTED_PEER_TIMEOUT)
    }

    fn has_hub_report(&self, now: Time) -> bool {
        self.hub_report.heard_at != Time::ZERO
            && now.since(self.hub_report.heard_at) < REPORTED_PEER_TIMEOUT
    }

    /// Returns the highest fencing token of an owner that is known from another source than the hub
    /// of this failure domain. What the hub reports may stem from this entry.
    fn owner_except_hub(&self, now: Time) -> Option<u64> {
        let peers =
            self.alive(now).filter_map(|it| it.status.owner_fence.max(it.cluster.owner_fence));
        peers.chain(self.alive_domains(now).filter_map(|it| it.cluster.owner_fence)).max()
    }

    fn suspects_except_hub(&self, now: Time) -> impl Iterator<Item = u32> {
        let peers = self.alive(now).flat_map(|it| it.cluster.suspects.iter());
        peers.chain(self.alive_domains(now).flat_map(|it| it.cluster.suspects.iter())).copied()
    }
}

impl Peer {
    fn is_alive(&self, now: Time) -> bool {
        now.since(self.heard_at) < if self.is_direct { PEER_TIMEOUT } else { REPORTED_PEER_TIMEOUT }
    }
}

impl Status {
    fn candidate(&self) -> Candidate {
        Candidate {
            name: self.name.clone(),
            millicores: self.millicores,
            has_store: self.has_store,
            has_history: self.has_history,
        }
    }

    fn rank(&self) -> Rank<'_> {
        Rank::new(&self.name, self.millicores)
    }
}

/// Exchanges state with peers on `socket` until the process ends. `incarnation` identifies
/// this start of the process.
pub(crate) async fn run<P: Platform>(shared: Arc<Shared<P>>, socket: UdpSocket, incarnation: u64) {
    let socket = Arc::new(socket);
    tokio::join!(
        send::run(shared.clone(), socket.clone(), incarnation),
        receive::run(shared, socket)
    );
}
