//! Receives the messages of peers and applies them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use decision::gateway::balance::{Load, hash};
use decision::gateway::demand::Demands;
use decision::gateway::exchange;
use decision::prelude::*;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use super::message::{
    ClusterState, DomainTotal, Heartbeat, Loads, Membership, Message, OthersTotal, Status, VERSION,
};
use super::{Domain, MAX_DATAGRAM_BYTES, MAX_PEERS, PEER_RETENTION, Peer, State, Subscription};
use crate::journal::Event;
use crate::port::Platform;
use crate::quarantine;
use crate::state::Shared;

/// Source under which the totals from a hub are kept in the balance, in place of a peer's hash.
pub(super) const HUB_SOURCE: u64 = 0;

/// Delay after an error of the socket.
const SOCKET_ERROR_DELAY: Duration = Duration::from_millis(100);

/// Shortest interval between two log lines about unreadable datagrams.
const UNREADABLE_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Longest name of an entry or a failure domain, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// Receives datagrams on `socket` until the process ends.
pub(super) async fn run<P: Platform>(shared: Arc<Shared<P>>, socket: Arc<UdpSocket>) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            sleep(SOCKET_ERROR_DELAY).await;
            continue;
        };
        shared.metrics.count("rhubarblatch_datagrams_heard_total", "");
        let message = rmp_serde::from_slice::<(u8, Message)>(&buffer[..length]);
        match message {
            Ok((VERSION, message)) => dispatch(&shared, message, from),
            Ok(_) => report_unreadable(&shared, from, "its version is not supported"),
            Err(error) => report_unreadable(&shared, from, &error.to_string()),
        }
    }
}

/// Counts an unreadable datagram, and logs at most one per interval.
fn report_unreadable<P>(shared: &Shared<P>, from: SocketAddr, reason: &str) {
    shared.metrics.count("rhubarblatch_datagrams_unread_total", "");
    let now = shared.now();
    let mut state = shared.peers.state();
    if state.unreadable_logged_at.is_some_and(|it| now.since(it) < UNREADABLE_LOG_INTERVAL) {
        return;
    }
    state.unreadable_logged_at = Some(now);
    drop(state);
    shared.journal.note(&Event::Garbled { from, reason });
}

fn dispatch<P: Platform>(shared: &Shared<P>, message: Message, from: SocketAddr) {
    match message {
        Message::Word(heartbeat) => receive_heartbeat(shared, heartbeat, from),
        Message::Sum(total) => receive_domain_total(shared, total),
        Message::Rest(total) => receive_others_total(shared, total),
        Message::Roll(membership) => receive_membership(shared, membership),
        Message::Crashes(evidence) => quarantine::merge(shared, &evidence),
    }
}

fn receive_heartbeat<P: Platform>(shared: &Shared<P>, heartbeat: Heartbeat, from: SocketAddr) {
    let Heartbeat { status, failure_domain, is_subscribing, cluster, demands, loads } = heartbeat;
    let now = shared.now();
    if status.name == shared.settings().instance {
        return;
    }
    if shared.has_hubs() {
        update_subscription(shared, &status.name, is_subscribing, from);
    } else {
        let items: HashMap<u32, Load> = loads.items.iter().copied().collect();
        let mut balance = shared.balance();
        balance.set_peer_loads(now, hash(&status.name), loads.partition, &items);
        balance.set_peer_demand(now, hash(&status.name), demands.clone());
    }
    apply_cluster_state(shared, &cluster);
    let mut state = shared.peers.state();
    state.liveness.record_received(&status.name);
    state.peers.retain(|_, it| now.since(it.heard_at) < PEER_RETENTION);
    let Some(peer) = state.upsert_peer(now, status, failure_domain) else { return };
    peer.is_direct = true;
    replace_loads(&mut peer.loads, &loads);
    peer.demands = demands;
    let has_changed = peer.cluster.suspects != cluster.suspects;
    peer.cluster = cluster;
    state.note_owner(now);
    drop(state);
    if has_changed {
        shared.fleet_changed.notify_waiters();
    }
}

/// Adds, renews or removes the subscription of a peer to this entry as its hub.
fn update_subscription<P>(
    shared: &Shared<P>,
    name: &str,
    is_subscribing: bool,
    address: SocketAddr,
) {
    let renewed_at = shared.now();
    let mut state = shared.peers.state();
    match is_subscribing
        && (state.subscriptions.len() < MAX_PEERS || state.subscriptions.contains_key(name))
    {
        true => {
            let subscription = Subscription { renewed_at, address, has_membership: false };
            let subscription = state.subscriptions.entry(name.to_owned()).or_insert(subscription);
            *subscription = Subscription { renewed_at, address, ..*subscription };
        }
        false => drop(state.subscriptions.remove(name)),
    }
}

fn receive_domain_total<P: Platform>(shared: &Shared<P>, total: DomainTotal) {
    let DomainTotal { from, failure_domain, alive, candidates, cluster, demands, loads } = total;
    let now = shared.now();
    apply_cluster_state(shared, &cluster);
    let mut state = shared.peers.state();
    state.liveness.record_received(&from);
    for status in candidates {
        state.apply_hub_status(now, status, failure_domain.clone());
    }
    if state.domains.len() >= MAX_PEERS && !state.domains.contains_key(&failure_domain) {
        return;
    }
    let domain = state.domains.entry(failure_domain).or_insert_with(|| Domain {
        heard_at: now,
        alive: 0,
        cluster: ClusterState::default(),
        demands: Demands::new(),
        loads: HashMap::new(),
    });
    domain.heard_at = now;
    domain.alive = alive as usize;
    replace_loads(&mut domain.loads, &loads);
    domain.demands = demands;
    let has_changed = domain.cluster.suspects != cluster.suspects;
    domain.cluster = cluster;
    state.note_owner(now);
    drop(state);
    if has_changed {
        shared.fleet_changed.notify_waiters();
    }
}

fn receive_others_total<P: Platform>(shared: &Shared<P>, total: OthersTotal) {
    let OthersTotal { from, cluster, demands, loads } = total;
    let now = shared.now();
    let items: HashMap<u32, Load> = loads.items.iter().copied().collect();
    let mut balance = shared.balance();
    balance.set_peer_loads(now, HUB_SOURCE, loads.partition, &items);
    balance.set_peer_demand(now, HUB_SOURCE, demands);
    drop(balance);
    shared.slot_freed.notify_one();
    apply_cluster_state(shared, &cluster);
    let mut state = shared.peers.state();
    state.liveness.record_received(&from);
    let has_changed = state.hub_report.cluster.suspects != cluster.suspects;
    state.hub_report.heard_at = now;
    if let Some(fence) = cluster.owner_fence {
        state.owner_heard_at = Some(now);
        state.highest_fence = state.highest_fence.max(fence);
    }
    state.hub_report.cluster = cluster;
    drop(state);
    if has_changed {
        shared.fleet_changed.notify_waiters();
    }
}

fn receive_membership<P: Platform>(shared: &Shared<P>, membership: Membership) {
    let Membership { from, domain, domain_alive, others_alive, others } = membership;
    let now = shared.now();
    let settings = shared.settings();
    let mut state = shared.peers.state();
    state.liveness.record_received(&from);
    state.hub_report.domain_alive = domain_alive as usize;
    state.hub_report.others_alive = others_alive as usize;
    let domain = domain.into_iter().map(|it| (settings.failure_domain.clone(), it));
    for (failure_domain, status) in domain.chain(others) {
        if status.name != settings.instance {
            state.liveness.record_reported(now, &status.name, &exchange::Settings::default());
            state.apply_hub_status(now, status, failure_domain);
        }
    }
    state.peers.retain(|_, it| now.since(it.heard_at) < PEER_RETENTION);
}

impl State {
    /// Updates the peer with `status`, or adds it, as heard of now. Returns `None` if a name is too
    /// long or too many peers are known.
    fn upsert_peer(
        &mut self,
        now: Time,
        status: Status,
        failure_domain: String,
    ) -> Option<&mut Peer> {
        let is_bounded =
            status.name.len() <= MAX_NAME_BYTES && failure_domain.len() <= MAX_NAME_BYTES;
        let has_room = self.peers.len() < MAX_PEERS || self.peers.contains_key(&status.name);
        if !is_bounded || !has_room {
            return None;
        }
        let name = status.name.clone();
        let peer = self.peers.entry(name).or_insert_with(|| Peer {
            heard_at: now,
            is_direct: false,
            failure_domain: String::new(),
            status: Status::default(),
            cluster: ClusterState::default(),
            demands: Demands::new(),
            loads: HashMap::new(),
        });
        if peer.status.incarnation != status.incarnation {
            peer.loads.clear();
        }
        peer.heard_at = now;
        peer.failure_domain = failure_domain;
        peer.status = status;
        Some(peer)
    }

    /// Applies what a hub reports about a peer, unless the peer reports itself to this entry.
    fn apply_hub_status(&mut self, now: Time, status: Status, failure_domain: String) {
        let is_direct =
            self.peers.get(&status.name).is_some_and(|it| it.is_direct && it.is_alive(now));
        if is_direct {
            return;
        }
        if let Some(peer) = self.upsert_peer(now, status, failure_domain) {
            peer.is_direct = false;
            peer.cluster = ClusterState::default();
            peer.demands.clear();
            peer.loads.clear();
        }
    }

    /// Remembers when an owner was heard of, if one is known.
    fn note_owner(&mut self, now: Time) {
        if let Some(fence) = self.owner_except_hub(now) {
            self.owner_heard_at = Some(now);
            self.highest_fence = self.highest_fence.max(fence);
        }
    }
}

/// Replaces the known loads of the targets in one partition.
fn replace_loads(known: &mut HashMap<u32, Load>, loads: &Loads) {
    known.retain(|tag, _| !loads.partition.contains(*tag));
    known.extend(loads.items.iter().copied());
}

/// Applies what is passed on through the whole cluster, except for the owner and the suspects.
fn apply_cluster_state<P: Platform>(shared: &Shared<P>, cluster: &ClusterState) {
    if cluster.has_seen_request && !shared.has_seen_request.swap(true, Ordering::Relaxed) {
        shared.fleet_changed.notify_waiters();
    }
    for (instance, incarnation) in &cluster.leaving {
        shared.mark_leaving(instance, *incarnation);
    }
}
