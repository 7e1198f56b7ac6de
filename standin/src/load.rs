//! What an engine is ordered to load, and whether its replica is complete.

use std::net::SocketAddr;

use http::Method;
use serde::Deserialize;
use serde_json::Value;

use crate::generation::Order;
use crate::web;

/// What an engine has loaded or loads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Loaded {
    pub(crate) order: LoadOrder,
    pub(crate) ready: bool,
}

/// An order of the system's owner.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub(crate) struct LoadOrder {
    pub(crate) epoch: u64,
    pub(crate) action: Action,
    #[serde(default)]
    pub(crate) replica: String,
    #[serde(default)]
    pub(crate) model: String,
    #[serde(default)]
    pub(crate) members: Vec<Member>,
    #[serde(default)]
    pub(crate) rank: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Action {
    Load,
    Unload,
}

/// One instance of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub(crate) struct Member {
    instance: String,
    address: SocketAddr,
}

impl Loaded {
    /// Whether the engine answers for the replica that `order` is for.
    pub(crate) fn takes(&self, order: &Order) -> bool {
        let same = self.order.replica == order.replica && self.order.epoch == order.epoch;
        self.ready && self.order.rank == 0 && same
    }
}

/// Whether every other instance of the replica holds it too.
pub(crate) async fn members_hold(order: &LoadOrder) -> bool {
    for member in order.members.iter().skip(1) {
        let uri = format!("http://{}/report", member.address);
        let Ok((_, body)) = web::send(Method::GET, uri, Vec::new()).await else { return false };
        let report: Value = serde_json::from_slice(&body).unwrap_or_default();
        let same = report["replica"] == order.replica.as_str()
            && report["epoch"] == order.epoch
            && report["instance"] == member.instance.as_str();
        if !same {
            return false;
        }
    }
    true
}
