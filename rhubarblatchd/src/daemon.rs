//! One entry: its listeners and loops, from start to graceful stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use peer::listener::Listener;
use peer::token::Token;
use store::client::{self, Client};
use tokio::net::TcpListener;
use tokio::time;

use crate::claims::Claims;
use crate::control::Control;
use crate::dispatch::Dispatcher;
use crate::error::Error;
use crate::membership::Peers;
use crate::node::Node;
use crate::operators::Operators;
use crate::parts::Parts;
use crate::settings::{Secret, Settings};
use crate::telemetry::Telemeter;
use crate::{cache, configuration, control, digests, load, membership};

/// Bytes of the largest answer that is read from the store.
const STORE_ANSWER_BYTES: usize = 16 << 20;

/// Longest wait for callers to be told that their requests end with the entry.
const ANSWERS_PATIENCE: Duration = Duration::from_secs(1);

/// Longest wait for the ends of claimed requests to be on record.
const CLAIMS_PATIENCE: Duration = Duration::from_secs(5);

/// A running entry.
pub struct Daemon {
    node: Arc<Node>,
    addresses: Addresses,
    telemeter: Telemeter,
    claims: Arc<Claims<peer::client::Client>>,
    callers: Parts,
    operators: Parts,
    loops: Parts,
}

/// Where a running entry listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For other entries.
    pub peers: SocketAddr,
}

/// The secrets that the settings point to.
pub struct Secrets {
    /// What operators present.
    pub operators: String,
    /// What entries present to each other.
    pub peers: String,
    /// What the store demands, if anything.
    pub platform: Option<String>,
}

impl Secrets {
    /// Reads the secrets that `settings` points to.
    ///
    /// # Errors
    ///
    /// Names the field and the place of a secret that is not there.
    pub fn read(settings: &Settings) -> Result<Secrets, Error> {
        let platform = settings.platform.token.as_ref();
        Ok(Secrets {
            operators: settings.tokens.operators.read("tokens.operators")?,
            peers: settings.tokens.peers.read("tokens.peers")?,
            platform: platform.map(|secret: &Secret| secret.read("platform.token")).transpose()?,
        })
    }
}

impl Daemon {
    /// Opens the listeners and starts the loops.
    ///
    /// # Errors
    ///
    /// Fails if a listener's address or a setting cannot be used.
    pub async fn start(settings: Settings, secrets: Secrets) -> Result<Daemon, Error> {
        let telemeter = Telemeter::install(&settings)?;
        let callers = listen("callers", settings.listen.callers).await?;
        let operators = listen("operators", settings.listen.operators).await?;
        let peers = listen("peers", settings.listen.peers).await?;
        let addresses = Addresses {
            callers: local(&callers, settings.listen.callers),
            operators: local(&operators, settings.listen.operators),
            peers: local(&peers, settings.listen.peers),
        };
        let store = Client::new(client::Settings {
            address: format!("http://{}", settings.platform.address),
            token: secrets.platform.map(store::token::Token::new),
            timeout_ms: settings.platform.timeout_ms,
            answer_bytes: STORE_ANSWER_BYTES,
        })?;
        let node = Node::new(settings, store, Token::new(&secrets.peers)?);

        let mut served_operators = Parts::default();
        let token = store::token::Token::new(secrets.operators);
        let control = Control::new(node.clone());
        let handler = Operators::new(node.clone(), control.clone(), telemeter.clone());
        let stopped = node.stopped.clone().cancelled_owned();
        let limits = operator::listener::Settings {
            limits: node.settings.limits.operators.limits(),
            ..operator::listener::Settings::default()
        };
        served_operators.spawn(
            "operators",
            operator::listener::serve(operators, handler, token, limits, stopped),
        );

        let limits = caller::Settings {
            connections: node.settings.limits.connections,
            head_bytes: node.settings.limits.header_bytes,
            body_bytes: node.settings.limits.body_bytes,
            head_ms: node.settings.limits.header_ms,
            ..caller::Settings::default()
        };
        let token = peer::token::Token::new(&secrets.peers)?;
        let client = peer::client::Client::new(token, Default::default());
        let claims = Claims::new(node.clone(), client);
        let dispatcher = Arc::new(Dispatcher::new(node.clone(), claims.clone()));
        let leaving = node.leaving.clone().cancelled_owned();
        let served = caller::listener::serve(callers, dispatcher.clone(), limits, leaving);
        let mut served_callers = Parts::default();
        served_callers.spawn("callers", served);

        load::install(&node);
        let mut loops = Parts::default();
        loops.spawn("configuration", configuration::run(node.clone()));
        loops.spawn("digests", digests::run(node.clone()));
        loops.spawn("cache", cache::run(node.clone()));
        membership::start(&node, addresses.peers, &mut loops);
        let limits = peer::listener::Settings {
            limits: node.settings.limits.peers.limits(),
            ..peer::listener::Settings::default()
        };
        let handler = Arc::new(Peers::new(node.clone(), claims.clone(), dispatcher.clone()));
        let token = Token::new(&secrets.peers)?;
        let closed = node.membership.closed.clone();
        let listener = Listener::new(handler, token, limits);
        membership::observe(listener.count(), listener.traffic());
        loops.spawn("peers", listener.serve(peers, closed));
        loops.spawn("control", control::run(control));
        let routing = node.routing.clone();
        loops.spawn("routing", async move { routing.run().await });
        Ok(Daemon {
            node,
            addresses,
            telemeter,
            claims,
            callers: served_callers,
            operators: served_operators,
            loops,
        })
    }

    /// Where the entry listens.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Waits until a part of the entry ends although nobody asked it to.
    ///
    /// The entry can't be trusted from then on and is to be stopped.
    pub async fn failed(&mut self) -> Error {
        let ended = tokio::select! {
            ended = self.loops.ended() => ended,
            ended = self.callers.ended() => ended,
            ended = self.operators.ended() => ended,
        };
        Error::Part(ended)
    }

    /// Takes no new work, ends what is in progress and stops.
    pub async fn stop(mut self) {
        let node = &self.node;
        log::info!("takes no new work");
        node.leaving.cancel();
        node.routing.with(|_, router| router.drain());
        let patience = Duration::from_millis(node.settings.timing.stop_ms);
        if time::timeout(patience, self.callers.join()).await.is_err() {
            log::warn!("requests were still in progress after {patience:?}");
            node.closing.cancel();
            if time::timeout(ANSWERS_PATIENCE, self.callers.join()).await.is_err() {
                log::warn!("answers were still not with their callers after {ANSWERS_PATIENCE:?}");
            }
        }
        if time::timeout(CLAIMS_PATIENCE, self.claims.close()).await.is_err() {
            log::warn!("ends of requests were still not on record after {CLAIMS_PATIENCE:?}");
        }
        membership::leave(node).await;
        node.stopped.cancel();
        node.membership.close();
        self.operators.join().await;
        self.loops.shutdown().await;
        self.telemeter.flush().await;
        log::info!("stopped");
    }
}

async fn listen(listener: &'static str, address: SocketAddr) -> Result<TcpListener, Error> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| Error::Listen { listener, address, source })
}

/// The address that the system chose for port 0.
fn local(listener: &TcpListener, wanted: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(wanted)
}
