//! Sends this entry's state to peers, in rounds.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use decision::gateway::balance::{Load, tag};
use decision::gateway::demand::Demands;
use decision::gateway::exchange::{self, Rank};
use decision::prelude::*;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

use super::message::{
    ClusterState, Heartbeat, Loads, MAX_PARTS_PER_MESSAGE, Message, Status, VERSION,
};
use crate::port::Platform;
use crate::quarantine;
use crate::state::Shared;

/// Longest interval between two rounds.
const MAX_ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// Shortest interval between two rounds, which applies when the requests in progress change. With
/// older loads, entries would place their requests on the same targets.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(25);

/// Shortest interval between two rounds where entries exchange state through hubs.
const MIN_ROUND_INTERVAL_WITH_HUBS: Duration = Duration::from_millis(50);

/// The standby hub gets a heartbeat in one of so many rounds, so that it can take over at once.
const STANDBY_HUB_ROUNDS: usize = 4;

/// Interval at which all evidence of crashes is sent, for entries that missed some or started.
const EVIDENCE_INTERVAL: Duration = Duration::from_secs(3);

/// Most suspect targets in a message.
pub(super) const MAX_SUSPECTS: usize = 32;

/// Most leaving instances in a message.
const MAX_LEAVING_INSTANCES: usize = 6;

/// Sends the rounds of one entry.
pub(super) struct Sender<P> {
    pub(super) shared: Arc<Shared<P>>,
    socket: Arc<UdpSocket>,
    incarnation: u64,
    /// Rounds so far.
    round: usize,
    /// Time of the next round as a hub.
    pub(super) next_hub_round_at: Time,
    /// Rounds as a hub so far.
    pub(super) hub_round: usize,
    /// Version of the evidence of crashes that was sent last.
    sent_evidence: u64,
    /// When all evidence is sent next.
    next_complete_evidence_at: Time,
}

/// Sends rounds on `socket` until the process ends.
pub(super) async fn run<P: Platform>(
    shared: Arc<Shared<P>>,
    socket: Arc<UdpSocket>,
    incarnation: u64,
) {
    let mut sender = Sender {
        shared: shared.clone(),
        socket,
        incarnation,
        round: 0,
        next_hub_round_at: Time::ZERO,
        hub_round: 0,
        sent_evidence: 0,
        next_complete_evidence_at: Time::ZERO,
    };
    loop {
        sleep(if shared.has_hubs() { MIN_ROUND_INTERVAL_WITH_HUBS } else { MIN_ROUND_INTERVAL })
            .await;
        // Without a change of the load, the round starts at the longest interval.
        let _elapsed =
            timeout(MAX_ROUND_INTERVAL - MIN_ROUND_INTERVAL, shared.load_changed.notified()).await;
        sender.run_round();
        sender.round += 1;
    }
}

impl<P: Platform> Sender<P> {
    fn run_round(&mut self) {
        let entries = self.shared.neighbors();
        let own = self.own_state();
        if !self.shared.has_hubs() {
            let others: Vec<SocketAddr> = entries.iter().map(|it| it.address).collect();
            self.send_heartbeat(&own, false, &others);
            return self.send_evidence(&others);
        }
        let hubs = self.hubs(&entries, &self.shared.settings().failure_domain);
        let own_position = hubs.iter().position(|it| it.is_none());
        let is_hub = own_position == Some(0);
        let others = hubs.into_iter().enumerate();
        for (position, hub) in others.filter_map(|(position, it)| Some((position, it?))) {
            // A hub that is back is heard by the one that replaced it, which tells the others.
            if position == 0 || self.round.is_multiple_of(STANDBY_HUB_ROUNDS) {
                self.send_heartbeat(&own, position == 0, &[hub.address]);
            }
        }
        if self.shared.now() >= self.next_hub_round_at {
            self.run_hub_round(&entries, &own, is_hub);
        }
        let receivers = self.evidence_receivers(&entries, is_hub);
        self.send_evidence(&receivers);
    }

    /// Sends what is new about crashes, and from time to time all that is known.
    fn send_evidence(&mut self, to: &[SocketAddr]) {
        let now = self.shared.now();
        let is_complete = now >= self.next_complete_evidence_at;
        let known = if is_complete { 0 } else { self.sent_evidence };
        if !is_complete && self.shared.quarantine().version() == known {
            return;
        }
        let (version, evidence) = quarantine::evidence(&self.shared, known);
        self.sent_evidence = version;
        if is_complete {
            self.next_complete_evidence_at = now + EVIDENCE_INTERVAL;
        }
        for piece in evidence.split(MAX_PARTS_PER_MESSAGE) {
            self.send_all(&Message::Crashes(piece), to);
        }
    }

    /// Returns the addresses of the entries that get evidence from this one, in a cluster with hubs:
    /// its hub and its standby and, from a hub, its subscribers and the other hubs.
    fn evidence_receivers(&self, entries: &[Neighbor], is_hub: bool) -> Vec<SocketAddr> {
        let domain = self.shared.settings().failure_domain.clone();
        let own_hubs = self.hubs(entries, &domain).into_iter().flatten().map(|it| it.address);
        let mut receivers: Vec<SocketAddr> = own_hubs.collect();
        receivers.extend(self.shared.peers.state().subscribers_at(self.shared.now()));
        if is_hub {
            receivers.extend(self.other_hubs(entries, &domain));
        }
        receivers
    }

    /// Returns the hub of a failure domain and its standby. `None` stands for this entry.
    pub(super) fn hubs<'a>(
        &self,
        entries: &'a [Neighbor],
        failure_domain: &str,
    ) -> Vec<Option<&'a Neighbor>> {
        let settings = self.shared.settings();
        let own = settings.instance.as_str();
        let in_domain = entries.iter().filter(|it| it.failure_domain == failure_domain);
        let by_name: HashMap<&str, &Neighbor> = in_domain.map(|it| (&*it.name, it)).collect();
        let others = by_name.values().map(|it| Rank::new(&it.name, it.millicores));
        let this = (settings.failure_domain == failure_domain).then(|| self.shared.rank(&settings));
        let mut state = self.shared.peers.state();
        let (now, exchange_settings) = (self.shared.now(), exchange::Settings::default());
        let hubs =
            exchange::hubs(now, own, others.chain(this), &mut state.liveness, &exchange_settings);
        if let Some(hub) = hubs.first().filter(|it| **it != own) {
            state.liveness.record_sent(now, hub);
        }
        hubs.into_iter().map(|it| by_name.get(it).copied()).collect()
    }

    /// Collects what this entry sends about itself.
    fn own_state(&self) -> OwnState {
        let shared = &self.shared;
        let now = shared.now();
        let settings = shared.settings();
        let balance = shared.balance();
        let loads = balance.own_loads(now);
        let demands = balance.demand().local(now);
        let suspects = balance.suspects().take(MAX_SUSPECTS).map(|it| tag(&it.id)).collect();
        drop(balance);
        let knowledge = shared.knowledge();
        let leaving = knowledge.fleet.leaving(now).take(MAX_LEAVING_INSTANCES);
        let leaving = leaving.map(|(id, incarnation)| (id.to_string(), incarnation)).collect();
        drop(knowledge);
        let owner_fence = shared.peers.own_fence();
        let status = Status {
            name: settings.instance.clone(),
            incarnation: self.incarnation,
            millicores: settings.millicores(),
            owner_fence,
            has_store: shared.has_recent_store(),
            has_history: shared.has_fleet_history(),
            is_leaving: shared.stop.has_begun(),
        };
        let has_seen_request = shared.has_seen_request.load(Ordering::Relaxed);
        OwnState {
            status,
            loads,
            demands,
            cluster: ClusterState { owner_fence, has_seen_request, suspects, leaving },
        }
    }

    fn send_heartbeat(&self, own: &OwnState, is_subscribing: bool, to: &[SocketAddr]) {
        let failure_domain = self.shared.settings().failure_domain.clone();
        for loads in Loads::partitions(&own.loads) {
            let heartbeat = Heartbeat {
                status: own.status.clone(),
                failure_domain: failure_domain.clone(),
                is_subscribing,
                cluster: own.cluster.clone(),
                demands: own.demands.clone(),
                loads,
            };
            self.send_all(&Message::Word(heartbeat), to);
        }
    }

    pub(super) fn send(&self, message: &Message, to: SocketAddr) {
        self.send_all(message, &[to]);
    }

    fn send_all(&self, message: &Message, to: &[SocketAddr]) {
        // Only an excessive length makes the encoding fail, and messages are bounded below the
        // largest datagram.
        let Ok(bytes) = rmp_serde::to_vec(&(VERSION, message)) else { return };
        for address in to {
            self.shared.metrics.count("rhubarblatch_datagrams_sent_total", "");
            // A datagram that can't be sent counts as lost: the next round repeats it.
            let _sent = self.socket.try_send_to(&bytes, *address);
        }
    }
}

/// Another entry, as listed in the store.
#[derive(Clone, Debug)]
pub(crate) struct Neighbor {
    pub(crate) name: String,
    /// Address for datagrams and for relayed reads of the store.
    pub(crate) address: SocketAddr,
    pub(crate) failure_domain: String,
    /// Thousandths of a core that it may use.
    pub(crate) millicores: u32,
}

/// What this entry sends about itself.
pub(super) struct OwnState {
    pub(super) status: Status,
    pub(super) loads: HashMap<u32, Load>,
    pub(super) demands: Demands,
    pub(super) cluster: ClusterState,
}
