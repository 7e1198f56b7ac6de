//! State that entries exchange in UDP datagrams: requests in progress, suspect targets, instances
//! that are leaving, and which entry gives orders to the instances.
//!
//! In a small cluster every entry sends to every other one. In a larger one, each entry exchanges
//! state only with the hub of its failure domain (see [`decision::gateway::exchange`]).

mod hear;
mod hub;
mod tell;
mod word;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use decision::gateway::balance::Load;
use decision::gateway::candidate::Candidate;
use decision::gateway::demand::Demands;
use decision::gateway::exchange::{Liveness, Rank};
use decision::prelude::*;
use tokio::net::UdpSocket;

pub(crate) use self::tell::Neighbor;
use self::word::{News, Who};
use crate::port::Platform;
use crate::state::Shared;

/// Time without a datagram after which a peer that sends to this entry itself counts as gone.
const ALIVE: Duration = Duration::from_millis(900);

/// Time after which what a hub reported about other entries no longer counts.
const ALIVE_TOLD: Duration = Duration::from_millis(1_500);

/// Time for which a peer is remembered after it was last heard of.
const FORGET: Duration = Duration::from_secs(60);

/// Bound of the peers, subscribers and failure domains that are kept, each.
const MAX_PEERS: usize = 4_096;

/// Largest datagram that is read, in bytes.
const MAX_BYTES: usize = 2_048;

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
    told: Told,
    /// Peers that use this entry as their hub, by name.
    askers: HashMap<String, Asker>,
    silence: Liveness,
    /// Peers that could not answer for the store, each with the time until which it is not asked.
    doubted: HashMap<String, Time>,
    /// The fencing token under which this entry owns the replicas, if it does.
    own: Option<u64>,
    /// When an owner was last heard of.
    owner_heard: Option<Time>,
    /// When an unreadable datagram was last logged.
    garbled: Option<Time>,
}

/// A peer that sent a heartbeat itself, or that a hub reported.
#[derive(Clone, Debug)]
struct Peer {
    heard: Time,
    /// Whether the last message about it came from itself.
    direct: bool,
    failure_domain: String,
    who: Who,
    news: News,
    demands: Demands,
    loads: HashMap<u32, Load>,
}

/// Totals of another failure domain, from its hub.
#[derive(Clone, Debug)]
struct Domain {
    heard: Time,
    alive: usize,
    news: News,
    demands: Demands,
    loads: HashMap<u32, Load>,
}

/// What the hub of this failure domain reported about all other entries.
#[derive(Clone, Debug, Default)]
struct Told {
    heard: Time,
    news: News,
    /// Living entries of this failure domain, without the hub.
    near_alive: usize,
    /// Living entries of the other failure domains.
    far_alive: usize,
}

/// A peer that uses this entry as its hub.
#[derive(Clone, Copy, Debug)]
struct Asker {
    asked: Time,
    address: SocketAddr,
    /// Whether it was sent the list of living entries.
    met: bool,
}

impl Peers {
    /// Sets the fencing token under which this entry owns the replicas; `None` if it doesn't.
    pub(crate) fn own(&self, fence: Option<u64>) {
        self.state().own = fence;
    }

    /// Returns the fencing token under which this entry owns the replicas, if it does.
    pub(crate) fn owned(&self) -> Option<u64> {
        self.state().own
    }

    /// Returns the living peers that are not leaving and may take over the replicas. With hubs,
    /// these are only the first ones by rank.
    pub(crate) fn candidates(&self, now: Time) -> Vec<Candidate> {
        let state = self.state();
        state.alive(now).filter(|it| !it.who.leaving).map(|it| it.who.candidate()).collect()
    }

    /// Returns the number of living peers, without this entry. `failure_domain` is its own.
    pub(crate) fn alive(&self, now: Time, failure_domain: &str) -> usize {
        let state = self.state();
        let near = state.alive(now).filter(|it| it.failure_domain == failure_domain).count();
        let far = state.alive(now).filter(|it| it.failure_domain != failure_domain).count();
        let domains = state.domains(now).map(|it| it.alive).sum();
        let told = state.is_told(now).then_some(&state.told);
        let (near_told, far_told) = told.map_or((0, 0), |it| (it.near_alive, it.far_alive));
        near.max(near_told) + far.max(domains).max(far_told)
    }

    /// Returns whether the peer `name` is alive, is the same process as `life`, and is not leaving.
    pub(crate) fn lives(&self, now: Time, name: &str, life: u64) -> bool {
        let state = self.state();
        let peer = state.peers.get(name).filter(|it| it.is_alive(now));
        peer.is_some_and(|it| it.who.life == life && !it.who.leaving)
    }

    /// Returns the highest fencing token under which a living peer owns the replicas.
    pub(crate) fn owner(&self, now: Time) -> Option<u64> {
        let state = self.state();
        let told = if state.is_told(now) { state.told.news.owner } else { None };
        state.owner_of_others(now).max(told)
    }

    /// Returns when an owner was last heard of.
    pub(crate) fn owner_heard(&self) -> Option<Time> {
        self.state().owner_heard
    }

    /// Returns whether a living peer that is not leaving reaches the store.
    pub(crate) fn any_with_store(&self, now: Time) -> bool {
        self.state().alive(now).any(|it| it.who.store && !it.who.leaving)
    }

    /// Returns the first peer of a failure domain by rank that reaches the store, unless `own`
    /// ranks before it. Peers that were excluded or are leaving are skipped.
    pub(crate) fn reader(&self, now: Time, failure_domain: &str, own: Rank<'_>) -> Option<String> {
        self.state().reader(now, own, |it| it.failure_domain == failure_domain)
    }

    /// Returns the first peer of all failure domains by rank that reaches the store, unless `own`
    /// ranks before it. Peers that were excluded or are leaving are skipped.
    pub(crate) fn reader_of_all(&self, now: Time, own: Rank<'_>) -> Option<String> {
        self.state().reader(now, own, |_| true)
    }

    /// Excludes a peer that could not answer for the store as its reader until `until`.
    pub(crate) fn doubt(&self, name: &str, until: Time) {
        self.state().doubted.insert(name.to_owned(), until);
    }

    /// Returns the number of living peers in this entry's failure domain, without this entry.
    pub(crate) fn near(&self, now: Time, failure_domain: &str) -> usize {
        let state = self.state();
        let near = state.alive(now).filter(|it| it.failure_domain == failure_domain).count();
        near.max(if state.is_told(now) { state.told.near_alive } else { 0 })
    }

    /// Returns the tags of the targets that living peers suspect.
    pub(crate) fn suspects(&self, now: Time) -> HashSet<u32> {
        let state = self.state();
        let told = state.is_told(now).then_some(&state.told.news);
        let told = told.into_iter().flat_map(|it| it.suspects.iter().copied());
        state.suspects_of_others(now).chain(told).collect()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn alive(&self, now: Time) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |it| it.is_alive(now))
    }

    fn reader(&self, now: Time, own: Rank<'_>, fits: impl Fn(&Peer) -> bool) -> Option<String> {
        let readers = self.alive(now).filter(|it| {
            let doubted = self.doubted.get(&it.who.name).is_some_and(|until| now < *until);
            it.who.store && !it.who.leaving && !doubted && fits(it)
        });
        let first = readers.map(|it| it.who.rank()).min().filter(|it| *it < own);
        first.map(|it| it.name().to_owned())
    }

    fn domains(&self, now: Time) -> impl Iterator<Item = &Domain> {
        self.domains.values().filter(move |it| now.since(it.heard) < ALIVE_TOLD)
    }

    fn is_told(&self, now: Time) -> bool {
        self.told.heard != Time::ZERO && now.since(self.told.heard) < ALIVE_TOLD
    }

    /// Returns the highest fencing token of an owner that is known from another source than the hub
    /// of this failure domain. What the hub reports may stem from this entry.
    fn owner_of_others(&self, now: Time) -> Option<u64> {
        let near = self.alive(now).filter_map(|it| it.who.owner.max(it.news.owner));
        near.chain(self.domains(now).filter_map(|it| it.news.owner)).max()
    }

    fn suspects_of_others(&self, now: Time) -> impl Iterator<Item = u32> {
        let near = self.alive(now).flat_map(|it| it.news.suspects.iter());
        near.chain(self.domains(now).flat_map(|it| it.news.suspects.iter())).copied()
    }
}

impl Peer {
    fn is_alive(&self, now: Time) -> bool {
        now.since(self.heard) < if self.direct { ALIVE } else { ALIVE_TOLD }
    }
}

impl Who {
    fn candidate(&self) -> Candidate {
        Candidate {
            name: self.name.clone(),
            millicores: self.millicores,
            has_store: self.store,
            has_history: self.seasoned,
        }
    }

    fn rank(&self) -> Rank<'_> {
        Rank::new(&self.name, self.millicores)
    }
}

/// Exchanges state with peers on `socket` until the process ends. `life` identifies this start of
/// the process.
pub(crate) async fn run<P: Platform>(shared: Arc<Shared<P>>, socket: UdpSocket, life: u64) {
    let socket = Arc::new(socket);
    tokio::join!(tell::run(shared.clone(), socket.clone(), life), hear::run(shared, socket));
}
