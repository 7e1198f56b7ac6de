//! Connects the follower of the head with the store, the peers and the rest of the entry.

mod meter;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::time::Duration;

use decision::clock::Time;
use decision::configuration::{Cadence, Configuration};
use decision::gossip::message::MAX_BODIES;
use decision::gossip::{Answer, Ask};
use decision::head::{Generation, Hash, Incarnation};
use decision::name::Name;
use serde_json::Value;
use store::client::Client;

use crate::follower::{self, Newer, Peers, Settings, Sink};
use crate::node::Node;
use crate::settings::Timing;

/// The follower of one entry.
pub type Follower = follower::Follower<Client, Others, Local>;

/// The other entries as sources of heads and bodies.
pub struct Others {
    node: Weak<Node>,
}

/// The rest of the entry.
pub struct Local {
    node: Weak<Node>,
}

/// How an entry `name` with these `timing` settings follows the head.
pub(crate) fn settings(name: Name, timing: Timing, seed: u64) -> Settings {
    let cadence = Cadence {
        wait: Duration::from_millis(timing.read_ms),
        silence: Duration::from_millis(timing.freshness_ms) * 2 / 3,
        ..Cadence::default()
    };
    Settings { name, seed, cadence, ..Settings::default() }
}

/// Follows the head until the entry has stopped.
pub async fn run(node: Arc<Node>) {
    meter::install(&node);
    node.follower.run().await;
}

impl Others {
    /// The other entries as `node` knows them.
    pub(crate) fn new(node: Weak<Node>) -> Others {
        Others { node }
    }

    async fn ask(&self, peer: Incarnation, ask: Ask) -> Option<Answer> {
        let node = self.node.upgrade()?;
        let address: SocketAddr = node.membership.address(peer)?;
        match node.membership.client().exchange(address, &ask).await {
            Ok(answer) => Some(answer),
            Err(error) => {
                log::debug!("the peer at {address} does not answer: {error}");
                None
            }
        }
    }
}

impl Peers for Others {
    async fn head(&self, peer: Incarnation, held: Generation) -> Option<Newer> {
        match self.ask(peer, Ask::Head(held)).await? {
            Answer::Head(head) => head.map(Newer::Whole),
            Answer::Delta(delta) => Some(Newer::Difference(delta)),
            _ => None,
        }
    }

    async fn bodies(&self, peer: Incarnation, hashes: Vec<Hash>) -> Vec<Value> {
        let hashes = hashes.into_iter().take(MAX_BODIES).collect();
        let Some(Answer::Bodies(bodies)) = self.ask(peer, Ask::Bodies(hashes)).await else {
            return Vec::new();
        };
        bodies.iter().filter_map(|body| serde_json::from_slice(&body.0).ok()).collect()
    }
}

impl Local {
    /// The rest of the entry `node`.
    pub(crate) fn new(node: Weak<Node>) -> Local {
        Local { node }
    }
}

impl Sink for Local {
    fn read(&self, sent: Time, generation: Generation) {
        if let Some(node) = self.node.upgrade() {
            node.membership.read(sent, generation);
        }
    }

    fn apply(&self, configuration: &Arc<Configuration>) {
        if let Some(node) = self.node.upgrade() {
            node.membership.apply(&node, configuration);
        }
    }

    fn silent(&self) -> BTreeSet<Name> {
        self.node.upgrade().map(|node| node.membership.silent(node.now())).unwrap_or_default()
    }
}
