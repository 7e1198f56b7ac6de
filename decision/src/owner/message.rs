//! What the machine is told and what it asks for.

use std::collections::BTreeMap;

use crate::fabric::Fabric;
use crate::lifecycle::Listed;
use crate::order::Dispatch;
use crate::prelude::*;
use crate::probe::Probe;
use crate::reconcile::Want;
use crate::report::Report;
use crate::target::Epoch;

/// The store's object, as last read or written.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Object {
    /// The version to update against; 0 if the object does not exist.
    pub version: u64,
    /// The object's value; the default if it does not exist.
    pub fabric: Fabric,
}

/// What the machine is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// The object was read, by this entry's read or its watch.
    Read(Object),
    /// A read failed.
    ReadFailed,
    /// The store took this entry's write, which is now at this version.
    Written(u64),
    /// The store refused this entry's write, as the object has changed.
    Conflict,
    /// The answer to this entry's write was lost; it may have taken effect.
    Unknown,
    /// The platform's list of the fabric domain's instances.
    Instances(BTreeMap<Name, Listed>),
    /// What the fabric domain is to run.
    Wants(Vec<Want>),
    /// How many replicas may be loading here at once.
    Loads(usize),
    /// This entry's place in the ranking for the fabric domain, from 0.
    Rank(usize),
    /// Whether this entry probes although it does not hold the lease.
    Prober(bool),
    /// An engine answered the probe that was sent to the instance at the given time.
    Report(Name, Time, Box<Report>),
    /// The last probe of an instance failed.
    Silent(Name),
    /// An engine refused an order because it has seen this epoch.
    Stale(Epoch),
    /// This entry knows that these replicas are whole.
    Whole(Vec<Name>),
    /// This entry is about to stop: it gives up the lease and takes none.
    Stop,
    /// Time has passed.
    Tick,
}

/// What the machine asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the object; answer with [`Event::Read`] or [`Event::ReadFailed`].
    Read,
    /// Write this value if the object still has that version; answer with [`Event::Written`],
    /// [`Event::Conflict`] or [`Event::Unknown`].
    Put(Object),
    /// Send the order unless it has expired; answer with [`Event::Stale`] if refused so.
    Send(Dispatch),
    /// Ask for a report; answer with [`Event::Report`] or [`Event::Silent`].
    Probe(Probe),
}
