//! Receives the messages of peers and applies them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use decision::gateway::balance::{Load, hash};
use decision::gateway::demand::Demands;
use decision::prelude::*;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use super::word::{Loads, Message, News, Rest, Roll, Sum, VERSION, Who, Word};
use super::{Asker, Domain, FORGET, MAX_BYTES, MAX_PEERS, Peer, State};
use crate::journal::Event;
use crate::port::Platform;
use crate::state::Shared;

/// Source under which the totals from a hub are kept in the balance, in place of a peer's hash.
pub(super) const HUB: u64 = 0;

/// Delay after an error of the socket.
const PAUSE: Duration = Duration::from_millis(100);

/// Shortest interval between two log lines about unreadable datagrams.
const GARBLED: Duration = Duration::from_secs(1);

/// Longest name of an entry or a failure domain, in bytes.
const MAX_NAME: usize = 256;

/// Receives datagrams on `socket` until the process ends.
pub(super) async fn run<P: Platform>(shared: Arc<Shared<P>>, socket: Arc<UdpSocket>) {
    let mut bytes = [0; MAX_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut bytes).await else {
            sleep(PAUSE).await;
            continue;
        };
        shared.metrics.count("rhubarblatch_datagrams_heard_total", "");
        let message = rmp_serde::from_slice::<(u8, Message)>(&bytes[..length]);
        match message {
            Ok((VERSION, message)) => take(&shared, message, from),
            Ok(_) => garbled(&shared, from, "another version"),
            Err(error) => garbled(&shared, from, &error.to_string()),
        }
    }
}

/// Counts an unreadable datagram, and logs at most one per interval.
fn garbled<P>(shared: &Shared<P>, from: SocketAddr, reason: &str) {
    shared.metrics.count("rhubarblatch_datagrams_unread_total", "");
    let now = shared.now();
    let mut state = shared.peers.state();
    if state.garbled.is_some_and(|it| now.since(it) < GARBLED) {
        return;
    }
    state.garbled = Some(now);
    drop(state);
    shared.journal.note(&Event::Garbled { from, reason });
}

fn take<P: Platform>(shared: &Shared<P>, message: Message, from: SocketAddr) {
    match message {
        Message::Word(word) => hear_word(shared, word, from),
        Message::Sum(sum) => hear_sum(shared, sum),
        Message::Rest(rest) => hear_rest(shared, rest),
        Message::Roll(roll) => hear_roll(shared, roll),
    }
}

fn hear_word<P: Platform>(shared: &Shared<P>, word: Word, from: SocketAddr) {
    let Word { who, failure_domain, asks, news, demands, loads } = word;
    let now = shared.now();
    if who.name == shared.settings().instance {
        return;
    }
    if shared.has_hubs() {
        hear_asker(shared, &who.name, asks, from);
    } else {
        let items: HashMap<u32, Load> = loads.items.iter().copied().collect();
        let mut balance = shared.balance();
        balance.set_peer_loads(now, hash(&who.name), loads.part, &items);
        balance.set_peer_demand(now, hash(&who.name), demands.clone());
    }
    spread(shared, &news);
    let mut state = shared.peers.state();
    state.silence.record_received(&who.name);
    state.peers.retain(|_, it| now.since(it.heard) < FORGET);
    let Some(peer) = state.peer(now, who, failure_domain) else { return };
    peer.direct = true;
    put(&mut peer.loads, &loads);
    peer.demands = demands;
    let changed = peer.news.suspects != news.suspects;
    peer.news = news;
    state.note_owner(now);
    drop(state);
    if changed {
        shared.changed.notify_waiters();
    }
}

/// Adds, renews or removes the subscription of a peer to this entry as its hub.
fn hear_asker<P>(shared: &Shared<P>, name: &str, asks: bool, address: SocketAddr) {
    let asked = shared.now();
    let mut state = shared.peers.state();
    match asks && (state.askers.len() < MAX_PEERS || state.askers.contains_key(name)) {
        true => {
            let asker = Asker { asked, address, met: false };
            let asker = state.askers.entry(name.to_owned()).or_insert(asker);
            *asker = Asker { asked, address, ..*asker };
        }
        false => drop(state.askers.remove(name)),
    }
}

fn hear_sum<P: Platform>(shared: &Shared<P>, sum: Sum) {
    let Sum { from, failure_domain, alive, first, news, demands, loads } = sum;
    let now = shared.now();
    spread(shared, &news);
    let mut state = shared.peers.state();
    state.silence.record_received(&from);
    for who in first {
        state.told_of(now, who, failure_domain.clone());
    }
    if state.domains.len() >= MAX_PEERS && !state.domains.contains_key(&failure_domain) {
        return;
    }
    let domain = state.domains.entry(failure_domain).or_insert_with(|| Domain {
        heard: now,
        alive: 0,
        news: News::default(),
        demands: Demands::new(),
        loads: HashMap::new(),
    });
    domain.heard = now;
    domain.alive = alive as usize;
    put(&mut domain.loads, &loads);
    domain.demands = demands;
    let changed = domain.news.suspects != news.suspects;
    domain.news = news;
    state.note_owner(now);
    drop(state);
    if changed {
        shared.changed.notify_waiters();
    }
}

fn hear_rest<P: Platform>(shared: &Shared<P>, rest: Rest) {
    let Rest { from, news, demands, loads } = rest;
    let now = shared.now();
    let items: HashMap<u32, Load> = loads.items.iter().copied().collect();
    let mut balance = shared.balance();
    balance.set_peer_loads(now, HUB, loads.part, &items);
    balance.set_peer_demand(now, HUB, demands);
    drop(balance);
    shared.freed.notify_one();
    spread(shared, &news);
    let mut state = shared.peers.state();
    state.silence.record_received(&from);
    let changed = state.told.news.suspects != news.suspects;
    state.told.heard = now;
    if news.owner.is_some() {
        state.owner_heard = Some(now);
    }
    state.told.news = news;
    drop(state);
    if changed {
        shared.changed.notify_waiters();
    }
}

fn hear_roll<P: Platform>(shared: &Shared<P>, roll: Roll) {
    let Roll { from, near, near_alive, far_alive, far } = roll;
    let now = shared.now();
    let settings = shared.settings();
    let mut state = shared.peers.state();
    state.silence.record_received(&from);
    state.told.near_alive = near_alive as usize;
    state.told.far_alive = far_alive as usize;
    let near = near.into_iter().map(|it| (settings.failure_domain.clone(), it));
    for (failure_domain, who) in near.chain(far) {
        if who.name != settings.instance {
            state.told_of(now, who, failure_domain);
        }
    }
    state.peers.retain(|_, it| now.since(it.heard) < FORGET);
}

impl State {
    /// Updates the peer `who`, or adds it, as heard of now. Returns `None` if a name is too long or
    /// too many peers are known.
    fn peer(&mut self, now: Time, who: Who, failure_domain: String) -> Option<&mut Peer> {
        let bounded = who.name.len() <= MAX_NAME && failure_domain.len() <= MAX_NAME;
        let room = self.peers.len() < MAX_PEERS || self.peers.contains_key(&who.name);
        if !bounded || !room {
            return None;
        }
        let name = who.name.clone();
        let peer = self.peers.entry(name).or_insert_with(|| Peer {
            heard: now,
            direct: false,
            failure_domain: String::new(),
            who: Who::default(),
            news: News::default(),
            demands: Demands::new(),
            loads: HashMap::new(),
        });
        if peer.who.life != who.life {
            peer.loads.clear();
        }
        peer.heard = now;
        peer.failure_domain = failure_domain;
        peer.who = who;
        Some(peer)
    }

    /// Applies what a hub reports about a peer, unless the peer reports itself to this entry.
    fn told_of(&mut self, now: Time, who: Who, failure_domain: String) {
        let speaks = self.peers.get(&who.name).is_some_and(|it| it.direct && it.is_alive(now));
        if speaks {
            return;
        }
        if let Some(peer) = self.peer(now, who, failure_domain) {
            peer.direct = false;
            peer.news = News::default();
            peer.demands.clear();
            peer.loads.clear();
        }
    }

    /// Remembers when an owner was heard of, if one is known.
    fn note_owner(&mut self, now: Time) {
        if self.owner_of_others(now).is_some() {
            self.owner_heard = Some(now);
        }
    }
}

/// Replaces the known loads of the targets that one part covers.
fn put(known: &mut HashMap<u32, Load>, loads: &Loads) {
    known.retain(|tag, _| !loads.part.contains(*tag));
    known.extend(loads.items.iter().copied());
}

/// Applies what is passed on through the whole cluster, except for the owner and the suspects.
fn spread<P: Platform>(shared: &Shared<P>, news: &News) {
    if news.seen && !shared.seen.swap(true, Ordering::Relaxed) {
        shared.changed.notify_waiters();
    }
    for (target, born) in &news.leaving {
        shared.leaves(target, *born);
    }
}
