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

use super::word::{Loads, Message, News, VERSION, Who, Word};
use crate::port::Platform;
use crate::state::Shared;

/// Longest interval between two rounds.
const ROUND: Duration = Duration::from_millis(100);

/// Shortest interval between two rounds, which applies when the requests in progress change. With
/// older loads, entries would place their requests on the same targets.
const ROUND_LEAST: Duration = Duration::from_millis(25);

/// Shortest interval between two rounds where entries exchange state through hubs.
const ROUND_HUBS: Duration = Duration::from_millis(50);

/// The standby hub gets a heartbeat in one of so many rounds, so that it can take over at once.
const SECOND: usize = 4;

/// Most suspect targets in a message.
pub(super) const MAX_SUSPECTS: usize = 32;

/// Most leaving instances in a message.
const MAX_LEAVING: usize = 6;

/// Sends the rounds of one entry.
pub(super) struct Teller<P> {
    pub(super) shared: Arc<Shared<P>>,
    socket: Arc<UdpSocket>,
    life: u64,
    /// Rounds so far.
    round: usize,
    /// Time of the next round as a hub.
    pub(super) next: Time,
    /// Rounds as a hub so far.
    pub(super) hub_round: usize,
}

/// Sends rounds on `socket` until the process ends.
pub(super) async fn run<P: Platform>(shared: Arc<Shared<P>>, socket: Arc<UdpSocket>, life: u64) {
    let mut teller =
        Teller { shared: shared.clone(), socket, life, round: 0, next: Time::ZERO, hub_round: 0 };
    loop {
        sleep(if shared.has_hubs() { ROUND_HUBS } else { ROUND_LEAST }).await;
        // Without a change of the load, the round starts at the longest interval.
        let _elapsed = timeout(ROUND - ROUND_LEAST, shared.loaded.notified()).await;
        teller.tell();
        teller.round += 1;
    }
}

impl<P: Platform> Teller<P> {
    fn tell(&mut self) {
        let entries = self.shared.neighbors();
        let own = self.word();
        if !self.shared.has_hubs() {
            let others: Vec<SocketAddr> = entries.iter().map(|it| it.address).collect();
            return self.send_word(&own, false, &others);
        }
        let hubs = self.hubs(&entries, &self.shared.settings().failure_domain);
        let own_place = hubs.iter().position(|it| it.is_none());
        let leads = own_place == Some(0);
        if !leads {
            let others = hubs.into_iter().enumerate();
            for (place, hub) in others.filter_map(|(place, it)| Some((place, it?))) {
                if place == 0 || self.round.is_multiple_of(SECOND) {
                    self.send_word(&own, place == 0, &[hub.address]);
                }
            }
        }
        if self.shared.now() >= self.next {
            self.tell_as_hub(&entries, &own, leads);
        }
    }

    /// Returns the hub of a failure domain and its standby. `None` stands for this entry.
    pub(super) fn hubs<'a>(
        &self,
        entries: &'a [Neighbor],
        failure_domain: &str,
    ) -> Vec<Option<&'a Neighbor>> {
        let settings = self.shared.settings();
        let own = settings.instance.as_str();
        let here = entries.iter().filter(|it| it.failure_domain == failure_domain);
        let here: HashMap<&str, &Neighbor> = here.map(|it| (&*it.name, it)).collect();
        let others = here.values().map(|it| Rank::new(&it.name, it.millicores));
        let this = (settings.failure_domain == failure_domain).then(|| self.shared.rank(&settings));
        let mut state = self.shared.peers.state();
        let (now, terms) = (self.shared.now(), exchange::Settings::default());
        let hubs = exchange::hubs(now, own, others.chain(this), &mut state.silence, &terms);
        if let Some(hub) = hubs.first().filter(|it| **it != own) {
            state.silence.record_sent(now, hub);
        }
        hubs.into_iter().map(|it| here.get(it).copied()).collect()
    }

    /// Collects what this entry sends about itself.
    fn word(&self) -> Own {
        let shared = &self.shared;
        let now = shared.now();
        let settings = shared.settings();
        let balance = shared.balance();
        let loads = balance.own_loads(now);
        let demands = balance.demand().local(now);
        let suspects = balance.suspects().take(MAX_SUSPECTS).map(|it| tag(&it.id)).collect();
        drop(balance);
        let knowledge = shared.knowledge();
        let leaving = knowledge.fleet.leaving(now).take(MAX_LEAVING);
        let leaving = leaving.map(|(id, born)| (id.to_string(), born)).collect();
        drop(knowledge);
        let owner = shared.peers.owned();
        let who = Who {
            name: settings.instance.clone(),
            life: self.life,
            millicores: settings.millicores(),
            owner,
            store: shared.is_store_up(),
            seasoned: shared.is_seasoned(),
            leaving: shared.stopping.load(Ordering::Relaxed),
        };
        let seen = shared.seen.load(Ordering::Relaxed);
        Own { who, loads, demands, news: News { owner, seen, suspects, leaving } }
    }

    fn send_word(&self, own: &Own, asks: bool, to: &[SocketAddr]) {
        let failure_domain = self.shared.settings().failure_domain.clone();
        for loads in Loads::parts(&own.loads) {
            let word = Word {
                who: own.who.clone(),
                failure_domain: failure_domain.clone(),
                asks,
                news: own.news.clone(),
                demands: own.demands.clone(),
                loads,
            };
            self.send_all(&Message::Word(word), to);
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
pub(super) struct Own {
    pub(super) who: Who,
    pub(super) loads: HashMap<u32, Load>,
    pub(super) demands: Demands,
    pub(super) news: News,
}
