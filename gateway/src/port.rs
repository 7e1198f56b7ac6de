//! What a platform's adapter translates: requests, answers, orders and the store's objects.
//!
//! An adapter does no I/O and decides nothing. It turns what is sent into requests, and what
//! comes back into types of the product.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use decision::gateway::config::Config;
use decision::gateway::fleet::{Instance, Report};
use decision::gateway::formation::{Order, Reply};
use decision::prelude::*;
use http::{HeaderMap, Request, StatusCode, request, response};
use http_body_util::Full;
use serde::{Deserialize, Serialize};

/// A request to a target or to the store.
pub type Outgoing = Request<Full<Bytes>>;

/// The platform's way of speaking.
pub trait Platform: Send + Sync + 'static {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Says what is wrong with it.
    fn head(&self, parts: &request::Parts) -> Result<Head, Malformed>;

    /// Turns the headers of a caller's request into those that a target gets.
    fn forward(&self, headers: &mut HeaderMap, envelope: &Envelope);

    /// Reads the head of a target's answer.
    fn answer(&self, parts: &response::Parts) -> Answer;

    /// Asks an instance whether it is alive.
    fn probe(&self, address: SocketAddr) -> Outgoing;

    /// Reads what an instance says of itself.
    ///
    /// # Errors
    ///
    /// If it is no report.
    fn report(&self, body: &[u8]) -> Result<Report, Malformed>;

    /// Gives an order to an instance, and no other one at its address.
    fn order(&self, address: SocketAddr, command: &Command<'_>) -> Outgoing;

    /// What the status of an order's answer says.
    fn reply(&self, status: StatusCode) -> Reply;

    /// Asks for all objects of a kind, or for those after a name.
    fn list(&self, store: SocketAddr, kind: Kind, after: Option<&str>) -> Outgoing;

    /// Asks for the changes after a revision, once there is one or `wait` is over.
    fn watch(&self, store: SocketAddr, kind: Kind, revision: u64, wait: Duration) -> Outgoing;

    /// Creates an object, or replaces the one that has a revision.
    fn put(&self, store: SocketAddr, write: &Write<'_>) -> Outgoing;

    /// Reads the answer to [`Platform::list`].
    ///
    /// # Errors
    ///
    /// If the answer isn't a list. Objects that can't be read are left out and counted.
    fn page(&self, kind: Kind, body: &[u8]) -> Result<Page, Malformed>;

    /// Reads the answer to [`Platform::watch`].
    ///
    /// # Errors
    ///
    /// As for [`Platform::page`].
    fn changes(&self, kind: Kind, body: &[u8]) -> Result<Changes, Malformed>;

    /// The path on which the platform asks whether this entry is ready.
    fn ready_path(&self) -> &'static str;
}

/// Why something can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{what} {reason}")]
pub struct Malformed {
    /// What can't be read.
    pub what: &'static str,
    /// Why.
    pub reason: String,
}

/// What the head of a caller's request says.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The request's identifier.
    pub id: Arc<str>,
    /// The host that it is for.
    pub host: Arc<str>,
    /// The key, if there is one.
    pub key: Option<Arc<str>>,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The model that it is for.
    pub model: Option<Arc<str>>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Most tokens of the answer.
    pub max_output_tokens: u64,
}

/// What the system says to a target with a request.
#[derive(Clone, Debug, Default)]
pub struct Envelope {
    /// How long the caller still waits.
    pub deadline: Option<Duration>,
    /// The instance that is to run it.
    pub instance: Arc<str>,
    /// The workspace on whose behalf it runs.
    pub workspace: Option<Arc<str>>,
    /// The last event of a stream that the caller has.
    pub last_event: Option<Arc<str>>,
    /// Rank at the engine: 0 is the most urgent.
    pub urgency: Option<u8>,
}

/// What the head of a target's answer says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The identifier of the request that it answers.
    pub id: Option<Arc<str>>,
    /// Whether the request ran.
    pub run: Run,
    /// Whether the body is encoded, and so not the target's.
    pub encoded: bool,
    /// Whether the target leaves, if that can be read.
    pub is_leaving: Result<bool, Malformed>,
    /// How long the target wants to be left alone, if it says so and that can be read.
    pub pause: Result<Option<Duration>, Malformed>,
}

/// Whether a request ran at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Run {
    /// It may have.
    Possible,
    /// The target says that it did not, since it can't now.
    Refused,
    /// Another instance has the address.
    Misdirected,
}

/// An order to one instance, and when it may be carried out.
#[derive(Clone, Copy, Debug)]
pub struct Command<'a> {
    /// The instance.
    pub id: &'a str,
    /// What it shall do.
    pub order: &'a Order,
    /// The owner's fencing token.
    pub fence: u64,
    /// How many orders the instance must have taken before, if that matters.
    pub expected_orders: Option<u64>,
}

/// The kinds of objects in the platform's store that the gateway reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The operator's configuration.
    Config,
    /// Failure domains that are out of service.
    Evacuations,
    /// Instances.
    Instances,
    /// Entries like this one.
    Entries,
    /// The lease on the replicas.
    Leases,
}

/// An object of the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Object {
    /// The configuration.
    Config(Box<Config>),
    /// A failure domain is out of service.
    Evacuation,
    /// An instance.
    Instance(Box<Instance>),
    /// An entry like this one.
    Entry(Entry),
    /// The lease on the replicas.
    Lease(Lease),
    /// Something that can't be read, and so names nothing to use.
    Unreadable,
}

/// An entry as it lists itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Where it hears its peers.
    pub address: SocketAddr,
    /// The failure domain that it runs in.
    pub failure_domain: String,
    /// Thousandths of a core that it may use.
    #[serde(default)]
    pub millicores: u32,
}

/// Who gives orders to the instances.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The entry that holds it.
    pub holder: String,
    /// Identifies the start of that entry.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Fencing token; grows with each holder.
    pub fence: u64,
}

/// An object with its name and revision.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Item {
    /// Its name.
    pub name: Arc<str>,
    /// The revision of its last change.
    pub revision: u64,
    /// What it holds.
    pub object: Object,
}

/// Part of a list.
#[derive(Clone, Debug)]
pub struct Page {
    /// The objects.
    pub items: Vec<Item>,
    /// Whether there are more.
    pub more: bool,
    /// The store's revision.
    pub revision: u64,
}

/// What has changed.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Changes {
    /// Objects that were put.
    pub put: Vec<Item>,
    /// Names of objects that are gone.
    pub gone: Vec<Arc<str>>,
    /// The revision to go on from.
    pub revision: u64,
}

/// A conditional write of an object of the system's own.
#[derive(Clone, Debug)]
pub struct Write<'a> {
    /// Its kind.
    pub kind: Kind,
    /// Its name.
    pub name: &'a str,
    /// What must hold for it to be written.
    pub condition: Condition,
    /// What it shall hold.
    pub value: serde_json::Value,
}

/// What must hold for an object to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// It doesn't exist.
    Absent,
    /// It exists, at this revision.
    Revision(u64),
    /// It exists.
    Exists,
}
