//! What entries tell each other, by datagrams: what they have in progress, which targets they
//! suspect, and who gives orders to the instances.
//!
//! A few entries all tell each other everything. With many, an entry tells those of its own
//! failure domain, and the one that reads the store tells the others the sum of all of them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use decision::gateway::balance::{Load, hash};
use decision::gateway::candidate::Candidate;
use decision::prelude::*;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

use crate::port::Platform;
use crate::state::Shared;

/// Longest pause between two rounds.
const ROUND: Duration = Duration::from_millis(100);

/// Shortest pause between two rounds, if what is in progress changes. Entries that place requests
/// by older loads place them on the same targets.
const ROUND_LEAST: Duration = Duration::from_millis(25);

/// The same with many peers, which costs each of them as many datagrams.
const ROUND_MANY: Duration = Duration::from_millis(50);

/// Peers up to which all are told everything in each round.
const FEW: usize = 12;

/// Peers in other failure domains that an entry of many tells in one round that it lives.
const ROTATION: usize = 2;

/// Time after which a peer counts as gone that tells something in each round.
const ALIVE: Duration = Duration::from_millis(900);

/// Time after which a peer counts as gone that is heard now and then.
const ALIVE_RARE: Duration = Duration::from_secs(8);

/// Largest datagram, in bytes.
const MAX_BYTES: usize = 2_048;

/// Loads that fit into a datagram.
const MAX_ITEMS: usize = 64;

/// Suspects that fit into a datagram beside them.
const MAX_SUSPECTS: usize = 16;

/// Time after which a peer that is gone is forgotten.
const FORGET: Duration = Duration::from_secs(60);

/// What an entry tells.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Word {
    name: String,
    failure_domain: String,
    life: u64,
    owner: Option<u64>,
    store: bool,
    seasoned: bool,
    seen: bool,
    leaving: bool,
    /// Whether the peer that hears this hears such a word in each round.
    often: bool,
    /// Whether the loads are the sum of the sender's failure domain.
    sum: bool,
    loads: Vec<(u64, Load)>,
    suspects: Vec<u64>,
}

/// What this entry last heard of its peers.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    peers: HashMap<String, Peer>,
    doubted: HashMap<String, Time>,
    own: Option<u64>,
    /// When an owner was heard last.
    owner_heard: Option<Time>,
}

#[derive(Clone, Debug)]
struct Peer {
    heard: Time,
    failure_domain: String,
    life: u64,
    owner: Option<u64>,
    store: bool,
    seasoned: bool,
    leaving: bool,
    often: bool,
    loads: Vec<(u64, Load)>,
    suspects: Vec<u64>,
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

    /// The peers that are alive and don't leave.
    pub(crate) fn candidates(&self, now: Time) -> Vec<Candidate> {
        let state = self.state();
        let alive = state.peers.iter().filter(|(_, it)| it.is_alive(now) && !it.leaving);
        let candidate = |(name, it): (&String, &Peer)| Candidate {
            name: name.clone(),
            store: it.store,
            seasoned: it.seasoned,
        };
        alive.map(candidate).collect()
    }

    /// Whether the start `life` of the peer `name` is alive.
    pub(crate) fn lives(&self, now: Time, name: &str, life: u64) -> bool {
        let state = self.state();
        state.peers.get(name).is_some_and(|it| it.is_alive(now) && it.life == life && !it.leaving)
    }

    /// The highest fencing token under which a living peer gives orders.
    pub(crate) fn owner(&self, now: Time) -> Option<u64> {
        let state = self.state();
        let alive = state.peers.values().filter(|it| it.is_alive(now));
        alive.filter_map(|it| it.owner).max()
    }

    /// When an owner was heard last.
    pub(crate) fn owner_heard(&self) -> Option<Time> {
        self.state().owner_heard
    }

    /// Whether a living peer reaches the store.
    pub(crate) fn any_with_store(&self, now: Time) -> bool {
        let state = self.state();
        state.peers.values().any(|it| it.is_alive(now) && it.store && !it.leaving)
    }

    /// The first living peer of a failure domain by name that reaches the store, and of which
    /// nothing else is known lately.
    pub(crate) fn reader(&self, now: Time, failure_domain: &str) -> Option<String> {
        let state = self.state();
        let readers = state.peers.iter().filter(|(name, it)| {
            let doubted = state.doubted.get(*name).is_some_and(|until| now < *until);
            let reads = it.store && !it.leaving && !doubted;
            it.is_alive(now) && reads && it.failure_domain == failure_domain
        });
        readers.map(|(name, _)| name.clone()).min()
    }

    /// Notes that a peer could not tell what the store says, until `until`.
    pub(crate) fn doubt(&self, name: &str, until: Time) {
        self.state().doubted.insert(name.to_owned(), until);
    }

    /// How many living peers there are in a failure domain.
    pub(crate) fn near(&self, now: Time, failure_domain: &str) -> usize {
        let state = self.state();
        let near = state.peers.values().filter(|it| it.failure_domain == failure_domain);
        near.filter(|it| it.is_alive(now)).count()
    }

    /// How many living peers suspect each target, by its hash.
    pub(crate) fn suspects(&self, now: Time) -> HashMap<u64, usize> {
        let mut counts = HashMap::new();
        let state = self.state();
        for peer in state.peers.values().filter(|it| it.is_alive(now)) {
            for target in &peer.suspects {
                *counts.entry(*target).or_default() += 1;
            }
        }
        counts
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Peer {
    fn is_alive(&self, now: Time) -> bool {
        now.since(self.heard) < if self.often { ALIVE } else { ALIVE_RARE }
    }
}

/// Tells and hears peers on `socket`. `life` identifies this start of the process.
pub(crate) async fn run<P: Platform>(shared: Arc<Shared<P>>, socket: UdpSocket, life: u64) {
    let socket = Arc::new(socket);
    tokio::join!(tell(shared.clone(), socket.clone(), life), hear(shared, socket));
}

async fn tell<P: Platform>(shared: Arc<Shared<P>>, socket: Arc<UdpSocket>, life: u64) {
    let mut round = 0;
    loop {
        let entries = shared.knowledge().entries.len();
        sleep(if entries > FEW { ROUND_MANY } else { ROUND_LEAST }).await;
        // Without a change, the round comes at its time.
        let _elapsed = timeout(ROUND - ROUND_LEAST, shared.loaded.notified()).await;
        for (word, peers) in words(&shared, life, round) {
            let Ok(bytes) = rmp_serde::to_vec(&word) else { continue };
            for peer in peers {
                // A datagram that can't be sent is like one that is lost: the next round
                // repeats it.
                let _sent = socket.try_send_to(&bytes, peer);
            }
        }
        round += 1;
    }
}

/// What to tell whom in a round.
fn words<P: Platform>(shared: &Shared<P>, life: u64, round: usize) -> Vec<(Word, Vec<SocketAddr>)> {
    let (near, far) = addresses(shared);
    let own = word(shared, life);
    if near.len() + far.len() <= FEW {
        return vec![(own, [near, far].concat())];
    }
    let now = shared.now();
    let settings = &shared.settings();
    let reader = shared.peers.reader(now, &settings.failure_domain);
    let reads = own.store && reader.is_none_or(|it| settings.instance < it);
    let far_word = if reads {
        (sum(shared, &own, now), far)
    } else if own.owner.is_some() {
        (Word { loads: Vec::new(), ..own.clone() }, far)
    } else {
        let count = far.len().max(1);
        let some = (0..ROTATION.min(far.len())).map(|it| far[(round * ROTATION + it) % count]);
        (Word { often: false, loads: Vec::new(), ..own.clone() }, some.collect())
    };
    vec![(own, near), far_word]
}

/// Addresses of the peers in this failure domain, and of the others.
fn addresses<P: Platform>(shared: &Shared<P>) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
    let settings = shared.settings();
    let knowledge = shared.knowledge();
    let others = knowledge.entries.iter().filter(|(name, _)| ***name != *settings.instance);
    let near = |it: &crate::port::Entry| it.failure_domain == settings.failure_domain;
    let (near, far): (Vec<_>, Vec<_>) = others.map(|(_, it)| it).partition(|it| near(it));
    let address = |it: Vec<&crate::port::Entry>| it.into_iter().map(|it| it.address).collect();
    (address(near), address(far))
}

/// The sum of what the entries of this failure domain have in progress, and all their suspects.
fn sum<P: Platform>(shared: &Shared<P>, own: &Word, now: Time) -> Word {
    let mut loads: HashMap<u64, Load> = own.loads.iter().copied().collect();
    let mut suspects = own.suspects.clone();
    let state = shared.peers.state();
    let near = state
        .peers
        .values()
        .filter(|it| it.is_alive(now) && it.failure_domain == shared.settings().failure_domain);
    for peer in near {
        for (target, load) in &peer.loads {
            let sum =
                loads.entry(*target).or_insert(Load { quiet_ms: u32::MAX, ..Load::default() });
            sum.running += load.running;
            sum.prefill = sum.prefill.saturating_add(load.prefill);
            sum.quiet_ms = sum.quiet_ms.min(load.quiet_ms);
        }
        suspects.extend(&peer.suspects);
    }
    suspects.sort_unstable();
    suspects.dedup();
    suspects.truncate(MAX_SUSPECTS);
    let loads = loads.into_iter().take(MAX_ITEMS).collect();
    Word { sum: true, loads, suspects, ..own.clone() }
}

fn word<P: Platform>(shared: &Shared<P>, life: u64) -> Word {
    let balance = shared.balance();
    let loads = balance.loads(shared.now()).into_iter().take(MAX_ITEMS).collect();
    let suspects = balance.suspects().take(MAX_SUSPECTS).map(|it| hash(&it.id)).collect();
    drop(balance);
    Word {
        name: shared.settings().instance.clone(),
        failure_domain: shared.settings().failure_domain.clone(),
        life,
        owner: shared.peers.state().own,
        store: shared.is_store_up(),
        seasoned: shared.is_seasoned(),
        seen: shared.seen.load(Ordering::Relaxed),
        leaving: shared.stopping.load(Ordering::Relaxed),
        often: true,
        sum: false,
        loads,
        suspects,
    }
}

async fn hear<P: Platform>(shared: Arc<Shared<P>>, socket: Arc<UdpSocket>) {
    let mut bytes = [0; MAX_BYTES];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut bytes).await else {
            sleep(ROUND).await;
            continue;
        };
        if let Ok(word) = rmp_serde::from_slice::<Word>(&bytes[..length]) {
            take(&shared, word);
        }
    }
}

fn take<P: Platform>(shared: &Shared<P>, word: Word) {
    let now = shared.now();
    if word.name == shared.settings().instance {
        return;
    }
    let loads: HashMap<u64, Load> = word.loads.iter().take(MAX_ITEMS).copied().collect();
    let source = if word.sum { &word.failure_domain } else { &word.name };
    let near = word.failure_domain == shared.settings().failure_domain;
    if word.often && !(word.sum && near) {
        shared.balance().hear_peer(now, hash(source), &loads);
    }
    if word.seen && !shared.seen.swap(true, Ordering::Relaxed) {
        shared.changed.notify_waiters();
    }
    let mut state = shared.peers.state();
    let known = state.peers.get(&word.name);
    let news = known.is_none_or(|it| it.suspects != word.suspects || it.life != word.life);
    let peer = Peer {
        heard: now,
        failure_domain: word.failure_domain,
        life: word.life,
        owner: word.owner,
        store: word.store,
        seasoned: word.seasoned,
        leaving: word.leaving,
        often: word.often,
        loads: if word.sum { Vec::new() } else { word.loads },
        suspects: word.suspects,
    };
    state.peers.retain(|_, it| now.since(it.heard) < FORGET);
    state.doubted.retain(|_, until| now < *until);
    if peer.owner.is_some() {
        state.owner_heard = Some(now);
    }
    state.peers.insert(word.name, peer);
    drop(state);
    if news {
        shared.changed.notify_waiters();
    }
}
