//! What the parts of one entry share.

use std::sync::{Arc, Weak};

use arc_swap::ArcSwap;
use decision::clock::Time;
use decision::configuration::Configuration;
use decision::head::Incarnation;
use decision::router::{self, Router};
use peer::token::Token;
use store::client::Client;
use tokio_util::sync::CancellationToken;

use crate::configuration::{self, Follower, Local, Others};
use crate::membership::Membership;
use crate::routing::Routing;
use crate::settings::Settings;
use crate::uptime::Uptime;

/// Incarnations and nonces stay below this, so that they are exact in JSON.
const MAX_NUMBER: u64 = 1 << 53;

/// What the parts of one entry share.
pub struct Node {
    /// What the entry was told about itself.
    pub settings: Settings,
    /// This run of the entry's process.
    pub incarnation: Incarnation,
    /// The entry's clock.
    pub uptime: Uptime,
    /// The platform's store.
    pub store: Client,
    /// Requests and the router that decides about them.
    pub routing: Arc<Routing>,
    /// The configuration that the entry acts on.
    pub configuration: ArcSwap<Configuration>,
    /// Keeps that configuration up to date.
    pub follower: Follower,
    /// The entry's part among the entries.
    pub membership: Arc<Membership>,
    /// Ends when the entry begins to stop: it takes no new work.
    pub leaving: CancellationToken,
    /// Ends when the entry waits no longer for what is in progress, which is then answered.
    pub closing: CancellationToken,
    /// Ends when the entry has ended its work: its loops stop.
    pub stopped: CancellationToken,
}

impl Node {
    /// An entry that knows nothing yet.
    pub fn new(settings: Settings, store: Client, peers: Token) -> Arc<Node> {
        let uptime = Uptime::start();
        let seed = random_number();
        let router = Router::new(router::Settings {
            failure_domain: settings.failure_domain.clone(),
            seed,
            ..router::Settings::default()
        });
        let incarnation = Incarnation(random_number());
        let membership = Arc::new(Membership::new(settings.timing, incarnation, peers));
        let following = configuration::settings(settings.name.clone(), settings.timing, seed);
        Arc::new_cyclic(|node: &Weak<Node>| {
            let (others, local) = (Others::new(node.clone()), Local::new(node.clone()));
            let follower = Follower::new(following, uptime, store.clone(), others, local);
            Node {
                settings,
                incarnation,
                uptime,
                store,
                routing: Routing::new(router, uptime, membership.clone()),
                configuration: ArcSwap::default(),
                follower,
                membership,
                leaving: CancellationToken::new(),
                closing: CancellationToken::new(),
                stopped: CancellationToken::new(),
            }
        })
    }

    /// The time on the entry's clock.
    pub fn now(&self) -> Time {
        self.uptime.now()
    }

    /// Whether the entry takes new work.
    pub fn is_ready(&self) -> bool {
        !self.leaving.is_cancelled()
            && self.configuration.load().head.generation.0 > 0
            && self.membership.is_current(self.now())
    }
}

/// A random number that is exact in JSON.
pub fn random_number() -> u64 {
    rand::random_range(1..MAX_NUMBER)
}
