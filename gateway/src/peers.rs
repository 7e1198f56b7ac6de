//! What entries tell each other, by datagrams: what they have in progress, which targets they
//! suspect, and who gives orders to the instances.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use decision::gateway::balance::{Load, hash};
use decision::prelude::*;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::port::Platform;
use crate::state::Shared;

/// Pause between two rounds.
const ROUND: Duration = Duration::from_millis(100);

/// Peers that are told in one round. With more, each is told every few rounds.
const FANOUT: usize = 10;

/// Time after which a peer that is silent counts as gone.
const ALIVE: Duration = Duration::from_millis(900);

/// Largest datagram, in bytes.
const MAX_BYTES: usize = 1_400;

/// Loads and suspects that fit into a datagram with room to spare.
const MAX_ITEMS: usize = 64;

/// What an entry tells.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Word {
    name: String,
    failure_domain: String,
    life: u64,
    owner: Option<u64>,
    store: bool,
    seen: bool,
    leaving: bool,
    loads: Vec<(u64, Load)>,
    suspects: Vec<u64>,
}

/// What this entry last heard of its peers.
#[derive(Debug, Default)]
pub struct Peers {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    peers: HashMap<String, Peer>,
    own: Option<u64>,
}

#[derive(Clone, Debug)]
struct Peer {
    heard: Time,
    failure_domain: String,
    life: u64,
    owner: Option<u64>,
    store: bool,
    leaving: bool,
    suspects: Vec<u64>,
}

impl Peers {
    /// Says under which fencing token this entry gives orders, if it does.
    pub fn own(&self, fence: Option<u64>) {
        self.state().own = fence;
    }

    /// Names of the peers that are alive and don't leave.
    pub fn alive(&self, now: Time) -> Vec<String> {
        let state = self.state();
        let alive = state.peers.iter().filter(|(_, it)| it.is_alive(now) && !it.leaving);
        alive.map(|(name, _)| name.clone()).collect()
    }

    /// The highest fencing token under which a living peer gives orders.
    pub fn owner(&self, now: Time) -> Option<u64> {
        let state = self.state();
        let alive = state.peers.values().filter(|it| it.is_alive(now));
        alive.filter_map(|it| it.owner).max()
    }

    /// Whether a living peer reaches the store.
    pub fn any_with_store(&self, now: Time) -> bool {
        let state = self.state();
        state.peers.values().any(|it| it.is_alive(now) && it.store && !it.leaving)
    }

    /// The first living peer of a failure domain by name that reaches the store.
    pub fn reader(&self, now: Time, failure_domain: &str) -> Option<String> {
        let state = self.state();
        let readers = state.peers.iter().filter(|(_, it)| {
            it.is_alive(now) && it.store && !it.leaving && it.failure_domain == failure_domain
        });
        readers.map(|(name, _)| name.clone()).min()
    }

    /// How many living peers suspect each target, by its hash.
    pub fn suspects(&self, now: Time) -> HashMap<u64, usize> {
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
        now.since(self.heard) < ALIVE
    }
}

/// Tells and hears peers on `socket`. `life` identifies this start of the process.
pub async fn run<P: Platform>(shared: Arc<Shared<P>>, socket: UdpSocket, life: u64) {
    let socket = Arc::new(socket);
    tokio::join!(tell(shared.clone(), socket.clone(), life), hear(shared, socket));
}

async fn tell<P: Platform>(shared: Arc<Shared<P>>, socket: Arc<UdpSocket>, life: u64) {
    let mut next = 0;
    loop {
        sleep(ROUND).await;
        let peers: Vec<SocketAddr> = {
            let knowledge = shared.knowledge();
            let own = shared.settings.instance.as_str();
            let others = knowledge.entries.iter().filter(|(name, _)| &***name != own);
            others.map(|(_, it)| it.address).collect()
        };
        if peers.is_empty() {
            continue;
        }
        let Ok(bytes) = rmp_serde::to_vec(&word(&shared, life)) else { continue };
        for place in 0..peers.len().min(FANOUT) {
            let peer = peers[(next + place) % peers.len()];
            // A datagram that can't be sent is like one that is lost: the next round repeats it.
            let _sent = socket.try_send_to(&bytes, peer);
        }
        next = (next + FANOUT) % peers.len();
    }
}

fn word<P: Platform>(shared: &Shared<P>, life: u64) -> Word {
    let balance = shared.balance();
    let loads = balance.loads(shared.now()).into_iter().take(MAX_ITEMS).collect();
    let suspects = balance.suspects().take(MAX_ITEMS).map(|it| hash(&it.id)).collect();
    drop(balance);
    Word {
        name: shared.settings.instance.clone(),
        failure_domain: shared.settings.failure_domain.clone(),
        life,
        owner: shared.peers.state().own,
        store: shared.is_store_up(),
        seen: shared.seen.load(Ordering::Relaxed),
        leaving: shared.stopping.load(Ordering::Relaxed),
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
    if word.name == shared.settings.instance {
        return;
    }
    let loads: HashMap<u64, Load> = word.loads.iter().take(MAX_ITEMS).copied().collect();
    shared.balance().hear_peer(now, hash(&word.name), &loads);
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
        leaving: word.leaving,
        suspects: word.suspects,
    };
    state.peers.insert(word.name, peer);
    drop(state);
    if news {
        shared.changed.notify_waiters();
    }
}
