//! What entries tell each other, by datagrams: what they have in progress, which targets they
//! suspect or know to leave, and who gives orders to the instances.
//!
//! A few entries all tell each other everything. Of many, each tells the hub of its failure domain
//! and hears from it (see [`decision::gateway::exchange`]).

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
use decision::gateway::exchange::{Rank, Silence};
use decision::prelude::*;
use tokio::net::UdpSocket;

pub(crate) use self::tell::Neighbor;
use self::word::{News, Who};
use crate::port::Platform;
use crate::state::Shared;

/// Time after which a peer counts as gone that tells something in each round.
const ALIVE: Duration = Duration::from_millis(900);

/// Time after which that counts as gone which a hub tells of others.
const ALIVE_TOLD: Duration = Duration::from_millis(1_500);

/// Time after which a peer that is gone is forgotten.
const FORGET: Duration = Duration::from_secs(60);

/// Most peers that are known.
const MAX_PEERS: usize = 4_096;

/// Largest datagram, in bytes.
const MAX_BYTES: usize = 2_048;

/// What this entry last heard of its peers.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    peers: HashMap<String, Peer>,
    /// What the hubs of other failure domains told, by failure domain.
    domains: HashMap<String, Domain>,
    /// What the hub of this failure domain told.
    told: Told,
    /// Peers that want to be told what the others have in progress.
    askers: HashMap<String, Asker>,
    silence: Silence,
    /// Readers of the store that could not tell, and until when that counts.
    doubted: HashMap<String, Time>,
    own: Option<u64>,
    /// When an owner was heard last.
    owner_heard: Option<Time>,
    /// When a datagram was last noted that can't be read.
    garbled: Option<Time>,
}

/// A peer that told something itself, or that a hub told of.
#[derive(Clone, Debug)]
struct Peer {
    heard: Time,
    /// Whether it told something itself.
    direct: bool,
    failure_domain: String,
    who: Who,
    news: News,
    demands: Demands,
    loads: HashMap<u32, Load>,
}

/// Another failure domain, as its hub tells of it.
#[derive(Clone, Debug)]
struct Domain {
    heard: Time,
    alive: usize,
    news: News,
    demands: Demands,
    loads: HashMap<u32, Load>,
}

/// What a hub told of all others.
#[derive(Clone, Debug, Default)]
struct Told {
    heard: Time,
    news: News,
    /// How many entries live in this failure domain beside the hub, and in the other ones.
    near_alive: usize,
    far_alive: usize,
}

#[derive(Clone, Copy, Debug)]
struct Asker {
    asked: Time,
    address: SocketAddr,
    /// Whether it was told who lives.
    met: bool,
}

impl Peers {
    /// Says under which fencing token this entry gives orders, if it does.
    pub(crate) fn own(&self, fence: Option<u64>) {
        self.state().own = fence;
    }

    /// Under which fencing token this entry gives orders, if it does.
    pub(crate) fn owned(&self) -> Option<u64> {
        self.state().own
    }

    /// The peers that are alive and don't leave, as far as they come first.
    pub(crate) fn candidates(&self, now: Time) -> Vec<Candidate> {
        let state = self.state();
        state.alive(now).filter(|it| !it.who.leaving).map(|it| it.who.candidate()).collect()
    }

    /// How many peers live.
    pub(crate) fn alive(&self, now: Time, failure_domain: &str) -> usize {
        let state = self.state();
        let near = state.alive(now).filter(|it| it.failure_domain == failure_domain).count();
        let far = state.alive(now).filter(|it| it.failure_domain != failure_domain).count();
        let domains = state.domains(now).map(|it| it.alive).sum();
        let told = state.is_told(now).then_some(&state.told);
        let (near_told, far_told) = told.map_or((0, 0), |it| (it.near_alive, it.far_alive));
        near.max(near_told) + far.max(domains).max(far_told)
    }

    /// Whether the start `life` of the peer `name` is alive.
    pub(crate) fn lives(&self, now: Time, name: &str, life: u64) -> bool {
        let state = self.state();
        let peer = state.peers.get(name).filter(|it| it.is_alive(now));
        peer.is_some_and(|it| it.who.life == life && !it.who.leaving)
    }

    /// The highest fencing token under which a living peer gives orders.
    pub(crate) fn owner(&self, now: Time) -> Option<u64> {
        let state = self.state();
        let told = if state.is_told(now) { state.told.news.owner } else { None };
        state.owner_of_others(now).max(told)
    }

    /// When an owner was heard last.
    pub(crate) fn owner_heard(&self) -> Option<Time> {
        self.state().owner_heard
    }

    /// Whether a living peer reaches the store.
    pub(crate) fn any_with_store(&self, now: Time) -> bool {
        self.state().alive(now).any(|it| it.who.store && !it.who.leaving)
    }

    /// The first living peer of a failure domain that reaches the store, and of which nothing else
    /// is known lately, if it comes before `own`.
    pub(crate) fn reader(&self, now: Time, failure_domain: &str, own: Rank<'_>) -> Option<String> {
        self.state().reader(now, own, |it| it.failure_domain == failure_domain)
    }

    /// The first living peer of all that reaches the store, and of which nothing else is known
    /// lately, if it comes before `own`.
    pub(crate) fn reader_of_all(&self, now: Time, own: Rank<'_>) -> Option<String> {
        self.state().reader(now, own, |_| true)
    }

    /// Notes that a peer could not tell what the store says, until `until`.
    pub(crate) fn doubt(&self, name: &str, until: Time) {
        self.state().doubted.insert(name.to_owned(), until);
    }

    /// How many living peers there are in a failure domain.
    pub(crate) fn near(&self, now: Time, failure_domain: &str) -> usize {
        let state = self.state();
        let near = state.alive(now).filter(|it| it.failure_domain == failure_domain).count();
        near.max(if state.is_told(now) { state.told.near_alive } else { 0 })
    }

    /// The tags of the targets that living peers suspect.
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

    /// The highest fencing token of an owner that is known otherwise than by a hub of this failure
    /// domain, which tells what it was told here, too.
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
            store: self.store,
            seasoned: self.seasoned,
        }
    }

    fn rank(&self) -> Rank<'_> {
        Rank::new(&self.name, self.millicores)
    }
}

/// Tells and hears peers on `socket`. `life` identifies this start of the process.
pub(crate) async fn run<P: Platform>(shared: Arc<Shared<P>>, socket: UdpSocket, life: u64) {
    let socket = Arc::new(socket);
    tokio::join!(tell::run(shared.clone(), socket.clone(), life), hear::run(shared, socket));
}
