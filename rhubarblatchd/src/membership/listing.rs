//! Keeps the entry listed in the roster, lists others and removes those that are gone.

use std::collections::BTreeMap;
use std::mem;
use std::net::SocketAddr;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Duration;

use decision::gossip::{Answer, Ask};
use decision::head::{Generation, Head, Member};
use decision::name::Name;
use decision::roster::{self, Joiner};
use store::{Error, Kind, Store as _, Version};
use tokio::time;

use super::Membership;
use crate::node::{self, Node};

/// The mean time between two looks at the roster.
const INTERVAL: Duration = Duration::from_millis(500);

/// How often that time doubles while looks fail.
const MAX_DOUBLINGS: u32 = 3;

/// Silence after which a member is removed. A restart takes less.
const GONE: Duration = Duration::from_secs(120);

/// Longest wait to be taken off the roster when the entry stops.
const LEAVE: Duration = Duration::from_secs(6);

/// Lists the entry and those that asked for it, and removes members that are gone.
pub(super) async fn run(node: Arc<Node>, peer: SocketAddr) {
    let mut failures = 0;
    loop {
        time::sleep(pause(failures, rand::random())).await;
        failures = match look(&node, peer).await {
            Ok(()) => 0,
            Err(error) => {
                log::debug!("the roster was not changed: {error}");
                failures + 1
            }
        };
    }
}

/// The pause before the next look after so many failures in a row. `draw` is a random number from
/// 0 to 1, so that entries that start together do not collide for ever.
pub fn pause(failures: u32, draw: f64) -> Duration {
    let doubled = INTERVAL * (1 << failures.min(MAX_DOUBLINGS));
    doubled.mul_f64(0.5 + draw)
}

async fn look(node: &Node, peer: SocketAddr) -> Result<(), Error> {
    if node.leaving.is_cancelled() {
        return Ok(());
    }
    if node.membership.lock().state().position().is_none() {
        return join(node, peer).await;
    }
    // Each is tried once: an entry that is still not listed asks again, one that has left doesn't.
    let waiting: Vec<Joiner> = mem::take(&mut *joiners(&node.membership)).into_values().collect();
    if !waiting.is_empty() {
        write(node, |head, in_force, nonce| roster::join(head, &waiting, in_force, nonce)).await?;
    }
    let gone = gone(node);
    if !gone.is_empty() {
        write(node, |head, in_force, nonce| roster::remove(head, &gone, in_force, nonce)).await?;
    }
    Ok(())
}

/// Lists the entry itself, or lets a listed peer do it while a change of the set is pending.
async fn join(node: &Node, peer: SocketAddr) -> Result<(), Error> {
    let failure_domain = node.settings.failure_domain.clone();
    let member = Member { incarnation: node.incarnation, peer, failure_domain };
    let joiner = Joiner { name: node.settings.name.clone(), member };
    let own = [joiner.clone()];
    if write(node, |head, in_force, nonce| roster::join(head, &own, in_force, nonce)).await? {
        return Ok(());
    }
    let scribe = node.membership.lock().partner(node.now());
    if let Some(scribe) = scribe {
        let asked = node.membership.client.exchange(scribe.address, &Ask::Join(joiner)).await;
        if !matches!(asked, Ok(Answer::Join(true))) {
            log::debug!("the peer at {} does not list this entry", scribe.address);
        }
    }
    Ok(())
}

/// Members that have been silent for long, if this entry is the one to remove them.
fn gone(node: &Node) -> Vec<Name> {
    let gossip = node.membership.lock();
    let (state, now) = (gossip.state(), node.now());
    let silent = gossip.silent(now, GONE);
    let size = u16::try_from(state.view().len()).unwrap_or(u16::MAX);
    let live: Vec<u16> = (0..size).filter(|it| !silent.contains(it)).collect();
    let majority = live.len() > usize::from(size) / 2;
    let chosen = state.view().chosen(state.view().changed().0, live.into_iter());
    if !majority || chosen != state.position() || !state.is_current(now) {
        return Vec::new();
    }
    let name = |position: u16| state.view().member(position).map(|(name, _)| name.clone());
    silent.into_iter().filter_map(name).collect()
}

/// Takes the entry off the roster, once its work has ended.
pub(crate) async fn leave(node: &Node) {
    let name = &node.settings.name;
    let leaving = async {
        while node.membership.lock().state().position().is_some() {
            let left = write(node, |head, in_force, nonce| {
                roster::leave(head, name, node.incarnation, in_force, nonce)
            });
            match left.await {
                Ok(true) => return,
                Ok(false) => {}
                Err(error) => log::debug!("not off the roster: {error}"),
            }
            time::sleep(INTERVAL.mul_f64(0.5 + rand::random::<f64>())).await;
        }
    };
    if time::timeout(LEAVE, leaving).await.is_err() {
        log::warn!("still on the roster after {LEAVE:?}; the other entries remove it later");
    }
}

/// Reads the head, plans a change and writes it. Returns whether there was something to write.
///
/// A lost answer needs no care here: the next look reads what took effect.
async fn write(
    node: &Node,
    plan: impl FnOnce(&Head, Generation, u64) -> Result<Head, roster::Error>,
) -> Result<bool, Error> {
    let sent = node.now();
    let object = node.store.get::<Head>(Kind::Configuration, Kind::HEAD).await?;
    let (version, head) =
        object.map_or((Version::ABSENT, Head::default()), |it| (it.version, it.value));
    node.membership.read(sent, head.generation);
    node.membership.note(&head, &node.settings.name);
    let next = match plan(&head, node.membership.in_force(), node::random_number()) {
        Ok(next) => next,
        Err(error) => {
            log::debug!("{error}");
            return Ok(false);
        }
    };
    node.store.put(Kind::Configuration, Kind::HEAD, version, &next).await?;
    node.follower.written(next);
    Ok(true)
}

/// The entries that asked to be listed.
pub(super) fn joiners(membership: &Membership) -> MutexGuard<'_, BTreeMap<Name, Joiner>> {
    membership.joiners.lock().unwrap_or_else(PoisonError::into_inner)
}
