//! Asks peers, before this entry serves, what they know better than the store.
//!
//! An entry that starts after the store was restored from an older copy would act on older states
//! than its peers do. They tell it what they hold.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use decision::gateway::exchange::Rank;
use decision::prelude::*;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::journal::Event;
use crate::mirror::Held;
use crate::port::{Kind, Platform};
use crate::state::Shared;
use crate::{apply, relay};

/// Most peers that are asked.
const MAX_ASKED_PEERS: usize = 8;

/// Time in which a peer must answer. One that is gone doesn't delay the start for longer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

/// Interval at which a starting entry checks whether it knows its peers.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Longest wait for the lists of entries and of quarantined parts once the configuration is known.
const LISTS_WAIT: Duration = Duration::from_millis(500);

/// Asks the peers once the configuration, the entries and the quarantined parts are known, then lets this entry serve.
pub(crate) async fn run<P: Platform>(shared: Arc<Shared<P>>) {
    wait_for(&shared, Kind::Config).await;
    let lists = async {
        wait_for(&shared, Kind::Entries).await;
        wait_for(&shared, Kind::Quarantines).await;
    };
    let _elapsed = timeout(LISTS_WAIT, lists).await;
    let mut asked = JoinSet::new();
    for address in first_peers(&shared) {
        let shared = shared.clone();
        asked.spawn(async move { relay::fetch_held(&shared, address, ANSWER_TIMEOUT).await });
    }
    let asked_count = asked.len();
    let (mut peers, mut objects) = (0, 0);
    while let Some(answer) = asked.join_next().await {
        // A peer that is gone, starts itself or is of an earlier build knows nothing better.
        let Ok(Ok(held)) = answer else { continue };
        peers += 1;
        objects += adopt(&shared, held);
    }
    if asked_count > 0 {
        shared.journal.note(&Event::Informed { asked: asked_count, peers, objects });
    }
    shared.is_informed.store(true, Ordering::Relaxed);
}

/// Waits until the objects of a kind were listed.
async fn wait_for<P>(shared: &Shared<P>, kind: Kind) {
    while shared.mirror().watch_version(kind).is_none() {
        sleep(POLL_INTERVAL).await;
    }
}

/// Returns the addresses of the first peers by rank.
fn first_peers<P: Platform>(shared: &Shared<P>) -> Vec<std::net::SocketAddr> {
    let mut peers = shared.neighbors();
    peers.sort_by(|a, b| Rank::new(&a.name, a.millicores).cmp(&Rank::new(&b.name, b.millicores)));
    peers.iter().take(MAX_ASKED_PEERS).map(|it| it.address).collect()
}

/// Holds what a peer holds, and returns how much of it is new.
fn adopt<P>(shared: &Shared<P>, held: Vec<Held>) -> usize {
    held.into_iter().filter(|it| apply::adopt(shared, it.clone())).count()
}
