//! The store's object of one fabric domain: its replicas and the lease of the entry that owns it.
//!
//! Replicas never cross fabric domains, so one conditional update of this object moves an
//! instance from one replica to another.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::head::Incarnation;
use crate::name::Name;
use crate::target::{Epoch, Process};

/// The kind of the object in the store. Its name is the fabric domain's name.
pub const KIND: &str = "fabric";

/// Most instances of one replica.
pub const MAX_MEMBERS: usize = 32;

/// The value of a fabric domain's object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fabric {
    /// The lease of the entry that owns the fabric domain.
    pub lease: Lease,
    /// Counts the changes of `replicas`. Renewals of the lease leave it alone.
    pub layout: Layout,
    /// The replicas by name. A name is never used twice.
    pub replicas: BTreeMap<Name, Replica>,
}

/// Counts the changes of a fabric domain's replicas.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Layout(pub u64);

/// The lease on a fabric domain. Only its holder writes replicas and sends orders.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The entry that holds the lease; absent after a hand-over.
    pub holder: Option<Holder>,
    /// The fencing number of the holder's orders. Grows with each take-over.
    pub epoch: Epoch,
    /// Grows with every write of the holder.
    pub renewal: u64,
}

/// One run of an entry that holds a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The entry's name.
    pub entry: Name,
    /// The run of its process.
    pub incarnation: Incarnation,
}

/// One loaded copy of a model. Its members never change: healing makes a new replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// The service that it works for.
    pub service: Name,
    /// The model that its members load.
    pub model: Name,
    /// The failure domain of its fabric domain.
    pub failure_domain: Name,
    /// Where it stands in its life.
    pub state: State,
    /// The epoch of the order that loaded it. Zero until then.
    pub epoch: Epoch,
    /// Its instances, by rank.
    pub members: Vec<Member>,
}

/// One instance of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The instance.
    pub instance: Name,
    /// Its engine's address.
    pub address: SocketAddr,
    /// The run of its engine that was claimed. Another run is another engine.
    pub process: Process,
}

/// The lifecycle of a replica. It passes the states in this order and may skip some; one that drains
/// and is wanted again returns to [`State::Cold`].
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Its instances are set aside. No order has been sent.
    #[default]
    Claimed,
    /// Load orders are being sent.
    Loading,
    /// Every member reported ready. Bears its cold limit.
    Cold,
    /// Bears its full limit.
    Warm,
    /// Takes no new work.
    Draining,
    /// Unload orders are being sent. The replica goes when every member left it.
    Released,
}

/// Why a fabric domain's object is not sound.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// An instance belongs to two replicas.
    #[error("instance \"{instance}\" belongs to replica \"{second}\" and to another one")]
    Shared {
        /// The instance.
        instance: Name,
        /// The second of its replicas, by name.
        second: Name,
    },
    /// A replica has no members or too many.
    #[error("replica \"{replica}\" has {members} members, allowed are 1 to {MAX_MEMBERS}")]
    Size {
        /// The replica.
        replica: Name,
        /// Its members.
        members: usize,
    },
}

impl Fabric {
    /// Checks that no instance belongs to two replicas and that every replica has members.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] that names the first replica that breaks a rule.
    pub fn check(&self) -> Result<(), Error> {
        let mut seen = BTreeSet::new();
        for (name, replica) in &self.replicas {
            let members = replica.members.len();
            if members == 0 || members > MAX_MEMBERS {
                return Err(Error::Size { replica: name.clone(), members });
            }
            for member in &replica.members {
                if !seen.insert(&member.instance) {
                    let instance = member.instance.clone();
                    return Err(Error::Shared { instance, second: name.clone() });
                }
            }
        }
        Ok(())
    }

    /// The instances that belong to a replica.
    pub fn claimed(&self) -> BTreeSet<&Name> {
        let members = self.replicas.values().flat_map(|it| &it.members);
        members.map(|it| &it.instance).collect()
    }
}

impl State {
    /// Whether a replica in this state may serve, given evidence.
    pub fn serves(self) -> bool {
        matches!(self, State::Cold | State::Warm)
    }

    /// Whether a replica in this state still works towards serving, or serves.
    pub fn lives(self) -> bool {
        self < State::Draining
    }

    /// The state's name, as in the object.
    pub const fn as_str(self) -> &'static str {
        match self {
            State::Claimed => "claimed",
            State::Loading => "loading",
            State::Cold => "cold",
            State::Warm => "warm",
            State::Draining => "draining",
            State::Released => "released",
        }
    }
}
