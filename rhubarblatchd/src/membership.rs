//! The entry's part among the entries: what it holds, whether it is current, and its listing.

mod exchange;
pub mod listing;
mod meter;
mod peers;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use decision::clock::Time;
use decision::configuration::{Configuration, Source};
use decision::evidence::{self, Evidence};
use decision::freshness::{self, Permit, Stale};
use decision::gossip;
use decision::head::{Generation, Head, Incarnation};
use decision::name::Name;
use decision::roster::Joiner;
use decision::share::{Force, Start, View};
use peer::client::Client;
use peer::token::Token;
use tokio_util::sync::CancellationToken;

use crate::node::{self, Node};
use crate::parts::Parts;
use crate::settings::Timing;
use meter::Count;

pub(crate) use listing::leave;
pub(crate) use meter::observe;
pub(crate) use peers::Peers;

/// Largest answer of a peer, in bytes.
const ANSWER_BYTES: usize = 4 << 20;

/// What the entry knows of the other entries and of the generation that it holds.
pub struct Membership {
    gossip: Mutex<gossip::Node>,
    /// What the exchange tells of replicas. Never locked together with `gossip`.
    evidence: Mutex<Evidence>,
    joiners: Mutex<BTreeMap<Name, Joiner>>,
    client: Client,
    shown: Mutex<Shown>,
    restarted: AtomicBool,
    count: Arc<Count>,
    /// Ends when the peers' listener closes.
    pub closed: CancellationToken,
}

/// What operators are told of the entries.
pub struct Overview {
    /// The newest generation known to be stored.
    pub generation: Generation,
    /// The newest generation known to be in force.
    pub in_force: Generation,
    /// Entries that have confirmed `generation`.
    pub confirmed: Vec<Name>,
    /// Entries that have not.
    pub unconfirmed: Vec<Name>,
}

impl Membership {
    /// An entry that has just started.
    pub fn new(timing: Timing, incarnation: Incarnation, token: Token) -> Membership {
        let freshness = freshness::Settings {
            window: Duration::from_millis(timing.freshness_ms),
            margin: Duration::from_millis(timing.margin_ms),
        };
        let interval = Duration::from_millis(timing.exchange_ms);
        let settings = gossip::Settings { interval, freshness, ..gossip::Settings::default() };
        let gossip = gossip::Node::new(settings, incarnation, node::random_number());
        let calls = peer::client::Settings {
            max_answer_bytes: ANSWER_BYTES,
            ..peer::client::Settings::default()
        };
        Membership {
            gossip: Mutex::new(gossip),
            evidence: Mutex::new(Evidence::new(evidence::Settings::default())),
            joiners: Mutex::default(),
            client: Client::new(token, calls),
            shown: Mutex::default(),
            restarted: AtomicBool::new(false),
            count: Arc::default(),
            closed: CancellationToken::new(),
        }
    }

    /// Calls to other entries.
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// What this entry knows of all replicas, from its own probes and from its peers.
    pub(crate) fn evidence(&self) -> MutexGuard<'_, Evidence> {
        self.evidence.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The right to begin one piece of new work. Its check is the last step before bytes leave.
    ///
    /// # Errors
    ///
    /// Returns [`Stale`] if the entry is not current.
    pub fn permit(&self, now: Time) -> Result<Permit, Stale> {
        self.lock().state().permit(now)
    }

    /// Whether the entry may begin new work.
    pub fn is_current(&self, now: Time) -> bool {
        self.lock().state().is_current(now)
    }

    /// The latest time at which the entry knew that it holds what is in force, if it is current.
    pub fn confirmed(&self, now: Time) -> Option<Time> {
        let gossip = self.lock();
        let state = gossip.state();
        let age = state.age(now).filter(|_| state.is_current(now));
        age.map(|age| now.back(age))
    }

    /// The newest generation known to be in force.
    pub fn in_force(&self) -> Generation {
        self.lock().state().in_force()
    }

    /// What operators are told of the entries, about the newest generation known.
    pub fn overview(&self) -> Overview {
        let gossip = self.lock();
        let state = gossip.state();
        let (mut confirmed, mut unconfirmed) = (Vec::new(), Vec::new());
        for (position, statement) in (0_u16..).zip(state.statements()) {
            let own = Some(position) == state.position();
            let held = if own { state.held() } else { statement.held };
            let Some((name, _)) = state.view().member(position) else { continue };
            let list = if held >= state.known() { &mut confirmed } else { &mut unconfirmed };
            list.push(name.clone());
        }
        let (generation, in_force) = (state.known(), state.in_force());
        Overview { generation, in_force, confirmed, unconfirmed }
    }

    /// Publishes a digest for all entries.
    ///
    /// # Errors
    ///
    /// Returns an error if the digest is too large or of no topic.
    pub fn publish(&self, now: Time, topic: u8, body: Vec<u8>) -> Result<(), gossip::board::Error> {
        self.lock().publish(now, topic, body)
    }

    /// The newest digests of a topic, with the names of those who published them.
    pub fn digests(&self, topic: u8) -> Vec<(Name, gossip::board::Digest)> {
        let gossip = self.lock();
        let named = |(origin, digest): (u16, &gossip::board::Digest)| {
            let (name, _) = gossip.state().view().member(origin)?;
            Some((name.clone(), digest.clone()))
        };
        gossip.board().topic(topic).filter_map(named).collect()
    }

    /// Notes that a read of the store, sent at `sent`, found the head at `generation`.
    pub fn read(&self, sent: Time, generation: Generation) {
        self.lock().read(sent, generation);
    }

    /// Notes whether a head lists an earlier process of this entry, which ended without leaving.
    fn note(&self, head: &Head, name: &Name) {
        let listed = head.roster.get(name);
        let own = self.lock().state().incarnation();
        if listed.is_some_and(|member| member.incarnation != own) {
            self.restarted.store(true, Ordering::Relaxed);
        }
    }

    /// Acts on `next`, which is newer than what is held: the router first, then peers are told.
    ///
    /// Only the follower calls it, so that no two calls overlap. The router asks for permits
    /// while it hands out work, so no lock of the membership is held meanwhile.
    pub fn apply(&self, node: &Node, next: &Arc<Configuration>) {
        self.note(&next.head, &node.settings.name);
        node.routing.with(|now, router| router.configure(now, &next.set));
        show(node, &next.head, self.in_force());
        node.configuration.store(next.clone());
        self.lock().apply(node.now(), &next.head);
    }

    /// Where the process `peer` listens, if the roster held lists it.
    pub(crate) fn address(&self, peer: Incarnation) -> Option<SocketAddr> {
        let gossip = self.lock();
        let view = gossip.state().view();
        let (_, member) = view.member(view.position(peer)?)?;
        Some(member.peer)
    }

    /// The entries that were not heard of within the freshness rule's window.
    pub(crate) fn silent(&self, now: Time) -> BTreeSet<Name> {
        let gossip = self.lock();
        let state = gossip.state();
        let silent = gossip.silent(now, state.settings().window);
        let name = |position| state.view().member(position).map(|(name, _)| name.clone());
        silent.into_iter().filter_map(name).collect()
    }

    /// How long each entry of the roster held has been silent. Zero for this one.
    pub(crate) fn silences(&self, now: Time) -> BTreeMap<Name, Duration> {
        let gossip = self.lock();
        let named = |(position, silence)| {
            let (name, _) = gossip.state().view().member(position)?;
            Some((name.clone(), silence))
        };
        gossip.silences(now).filter_map(named).collect()
    }

    /// The entries that were not heard of for so long that others take over their probes.
    pub(crate) fn silent_for_long(&self, now: Time) -> BTreeSet<Name> {
        let gossip = self.lock();
        let silent = gossip.silent(now, gossip::Settings::default().silence);
        let view = gossip.state().view();
        silent.into_iter().filter_map(|it| Some(view.member(it)?.0.clone())).collect()
    }

    /// Tells the follower what the last exchange brought.
    fn pass_on(&self, node: &Node) {
        let (wants, age) = {
            let gossip = self.lock();
            (gossip.wants(), gossip.state().age(node.now()))
        };
        if let Some(age) = age {
            node.follower.vouched(node.now().back(age));
        }
        if let Some(fetch) = wants {
            let peer = fetch.source.map(|partner| Source::Peer(partner.incarnation));
            node.follower.heard(peer.unwrap_or(Source::Store), fetch.generation);
        }
    }

    /// Ends the entry's part for good and closes the peers' listener.
    pub(crate) fn close(&self) {
        self.lock().retire();
        self.closed.cancel();
    }

    fn lock(&self) -> MutexGuard<'_, gossip::Node> {
        self.gossip.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts the loops that keep the entry listed and current. They end when they are aborted.
pub(crate) fn start(node: &Arc<Node>, peer: SocketAddr, loops: &mut Parts) {
    meter::install(node);
    loops.spawn("exchange", exchange::run(node.clone()));
    loops.spawn("listing", listing::run(node.clone(), peer));
}

/// The roster that the router was shown last, and whether it was in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Shown {
    generation: Generation,
    is_in_force: bool,
}

/// Shows the router the roster that the entry holds, if that or its force has changed.
fn show(node: &Node, head: &Head, in_force: Generation) {
    let settled = in_force >= head.roster_generation;
    let restarted = node.membership.restarted.load(Ordering::Relaxed);
    let now = Shown { generation: head.roster_generation, is_in_force: settled };
    let mut shown = node.membership.shown.lock().unwrap_or_else(PoisonError::into_inner);
    if *shown == now {
        return;
    }
    *shown = now;
    let view = View {
        own: node.settings.name.clone(),
        generation: head.roster_generation,
        members: head.roster.keys().cloned().collect(),
        previous: head.previous.keys().cloned().collect(),
        force: if settled { Force::InForce } else { Force::Pending },
        start: if restarted { Start::Restart } else { Start::First },
    };
    node.routing.with(|now, router| router.roster(now, view));
}
