//! Tells the peers what the router knows and the router what the peers told.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use decision::name::Name;
use decision::router::Digest;
use tokio::time;

use crate::node::Node;

/// The topic of the router's digests among the entries.
const TOPIC: u8 = 1;

/// Entries from which on a digest carries a few stages only, so that marks come round as fast as
/// the bytes of the exchange allow.
const LARGE: usize = 64;
const FEW: usize = 2;

/// Publishes and reads digests until the entry has stopped.
pub(crate) async fn run(node: Arc<Node>) {
    let interval = Duration::from_millis(node.settings.timing.exchange_ms);
    let mut heard = BTreeMap::new();
    let mut rest = Digest::default();
    while !node.stopped.is_cancelled() {
        publish(&node, &mut rest);
        hear(&node, &mut heard);
        time::sleep(interval).await;
    }
}

/// Publishes the next part of what the router tells. `rest` holds what was left out so far.
fn publish(node: &Node, rest: &mut Digest) {
    if rest.stages.is_empty() {
        *rest = node.routing.with(|now, router| router.digest(now));
    }
    let entries = node.configuration.load().head.roster.len();
    let count = if entries < LARGE { rest.stages.len() } else { FEW.min(rest.stages.len()) };
    let stages = rest.stages.drain(..count).collect();
    let digest = Digest { mark: rest.mark.clone(), stages };
    let Ok(body) = rmp_serde::to_vec(&digest) else { return };
    if let Err(error) = node.membership.publish(node.now(), TOPIC, body) {
        log::debug!("digest not published: {error}");
    }
}

/// Hands each digest to the router once. `heard` holds the version last handed over.
fn hear(node: &Node, heard: &mut BTreeMap<Name, u64>) {
    for (from, digest) in node.membership.digests(TOPIC) {
        let known = heard.insert(from.clone(), digest.version);
        if from == node.settings.name || known == Some(digest.version) {
            continue;
        }
        if let Ok(digest) = rmp_serde::from_slice::<Digest>(&digest.body) {
            node.routing.with(|now, router| router.hear(now, &from, digest));
        }
    }
}
