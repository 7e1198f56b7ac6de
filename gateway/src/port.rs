//! Interface of a platform's adapter, which translates requests, responses, orders and the store's
//! objects between the platform's protocol and the gateway's types.
//!
//! An adapter does no I/O and makes no decisions.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use decision::gateway::config::Config;
use decision::gateway::era::Era;
use decision::gateway::fleet::{Instance, Report};
use decision::gateway::formation::{Order, Reply};
use decision::gateway::prompt::Prompt;
use decision::prelude::*;
use http::{HeaderMap, Request, StatusCode, request, response};
use http_body_util::Full;
use serde::{Deserialize, Serialize};

/// An HTTP request to a target or to the store.
pub type Outgoing = Request<Full<Bytes>>;

/// Translates between a platform's protocol and the gateway's types.
pub trait Platform: Send + Sync + 'static {
    /// Parses the head of a caller's request.
    ///
    /// # Errors
    ///
    /// If a header is malformed.
    fn head(&self, parts: &request::Parts) -> Result<Head, Malformed>;

    /// Replaces the headers of a caller's request by those that the target receives.
    fn forward(&self, headers: &mut HeaderMap, envelope: &Envelope);

    /// Parses the head of a target's response.
    fn answer(&self, parts: &response::Parts) -> Answer;

    /// Returns a request for an instance's report, which also shows whether it is alive.
    fn probe(&self, address: SocketAddr) -> Outgoing;

    /// Parses an instance's report of its own state.
    ///
    /// # Errors
    ///
    /// If the body isn't a report.
    fn report(&self, body: &[u8]) -> Result<Report, Malformed>;

    /// Returns a request with an order to an instance. Another instance that has its address by
    /// then must reject it.
    fn order(&self, address: SocketAddr, command: &Command<'_>) -> Outgoing;

    /// Returns what the status of the response to an order means.
    fn reply(&self, status: StatusCode) -> Reply;

    /// Returns a request for the objects of a kind: all of them, or those whose names follow
    /// `after`.
    fn list(&self, store: SocketAddr, kind: Kind, after: Option<&str>) -> Outgoing;

    /// Returns a request for one object.
    fn get(&self, store: SocketAddr, kind: Kind, name: &str) -> Outgoing;

    /// Returns a request for the changes after `revision`, which the store answers at the first
    /// change or after `wait`.
    fn watch(&self, store: SocketAddr, kind: Kind, revision: u64, wait: Duration) -> Outgoing;

    /// Returns a request for a conditional write.
    fn put(&self, store: SocketAddr, write: &Write<'_>) -> Outgoing;

    /// Returns a request that deletes an object if its revision is still `revision`.
    fn delete(&self, store: SocketAddr, kind: Kind, name: &str, revision: u64) -> Outgoing;

    /// Parses the response to [`Platform::list`]. Objects that can't be read become
    /// [`Object::Unreadable`].
    ///
    /// # Errors
    ///
    /// If the body isn't a list.
    fn page(&self, kind: Kind, body: &[u8]) -> Result<Page, Malformed>;

    /// Parses the response to [`Platform::get`]. An object that can't be read becomes
    /// [`Object::Unreadable`].
    ///
    /// # Errors
    ///
    /// If the body isn't an object with a name.
    fn object(&self, kind: Kind, body: &[u8]) -> Result<Item, Malformed>;

    /// Parses the response to [`Platform::watch`].
    ///
    /// # Errors
    ///
    /// As for [`Platform::page`].
    fn changes(&self, kind: Kind, body: &[u8]) -> Result<Changes, Malformed>;

    /// Parses the era that a response of the store states; `None` if it states none.
    ///
    /// # Errors
    ///
    /// If the era isn't a number.
    fn era(&self, headers: &HeaderMap) -> Result<Option<Era>, Malformed>;

    /// Returns the path of the platform's readiness check.
    fn ready_path(&self) -> &'static str;
}

/// Why a header, a body or an object can't be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{what} {reason}")]
pub struct Malformed {
    /// Name of the header, or what else can't be parsed.
    pub what: &'static str,
    /// What is wrong with it.
    pub reason: String,
}

/// Head of a caller's request.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// Identifier of the request.
    pub id: Arc<str>,
    /// Host that the request is for.
    pub host: Arc<str>,
    /// Key of the caller, if the request has one.
    pub key: Option<Arc<str>>,
    /// Time for which the caller waits, if it is stated.
    pub deadline: Option<Duration>,
    /// Model that the request is for, if it is stated.
    pub model: Option<Arc<str>>,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// Largest number of tokens of the response.
    pub max_output_tokens: u64,
    /// Parts of the prompt that other requests may share.
    pub prompt: Prompt,
}

/// What a target is told along with a request.
#[derive(Clone, Debug, Default)]
pub struct Envelope {
    /// Time for which the caller still waits.
    pub deadline: Option<Duration>,
    /// Instance that is to run the request.
    pub instance: Arc<str>,
    /// Workspace on whose behalf the request is made.
    pub workspace: Option<Arc<str>>,
    /// Identifier of the last event of a resumed stream that the caller has received.
    pub last_event: Option<Arc<str>>,
    /// Priority at the engine; 0 is the most urgent.
    pub urgency: Option<u8>,
}

/// Head of a target's response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Identifier of the request that the response belongs to.
    pub id: Option<Arc<str>>,
    /// Whether the request may have run.
    pub run: Run,
    /// Whether the body has a content encoding, which shows that it isn't the target's own.
    pub encoded: bool,
    /// Whether the body is declared to be a stream of events.
    pub is_event_stream: bool,
    /// Whether the response carries the stamp of a replica.
    pub has_stamp: bool,
    /// Whether the target is shutting down, if that can be parsed.
    pub is_leaving: Result<bool, Malformed>,
    /// Time for which the target asks to be sent no requests, if it does and that can be parsed.
    pub pause: Result<Option<Duration>, Malformed>,
}

/// Whether a request may have run at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Run {
    /// The request ran, or may have.
    Possible,
    /// The target states that the request did not run, as it can't run it now.
    Refused,
    /// The address belongs to another instance.
    Misdirected,
}

/// An order to one instance, with the condition under which the instance may carry it out.
#[derive(Clone, Copy, Debug)]
pub struct Command<'a> {
    /// Identifier of the instance.
    pub id: &'a str,
    /// What the instance is to do.
    pub order: &'a Order,
    /// Fencing token of the owner.
    pub fence: u64,
    /// Number of orders that the instance must have accepted before this one, if that matters.
    pub expected_orders: Option<u64>,
}

/// Kind of the objects in the platform's store that the gateway reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The operator's configuration.
    Config,
    /// Failure domains that are out of service.
    Evacuations,
    /// Instances.
    Instances,
    /// Entries of the gateway.
    Entries,
    /// The lease on the replicas.
    Leases,
    /// Parts of prompts that are not sent to replicas.
    Quarantines,
}

/// An object of the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Object {
    /// The operator's configuration.
    Config(Box<Config>),
    /// A failure domain that is out of service; its name is that of the item.
    Evacuation,
    /// An instance.
    Instance(Box<Instance>),
    /// An entry of the gateway.
    Entry(Entry),
    /// The lease on the replicas.
    Lease(Lease),
    /// A part of prompts that is not sent to replicas; the name of the item tells which.
    Quarantine,
    /// An object that can't be parsed and isn't used.
    Unreadable,
}

/// An entry as it registers itself in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Address at which it receives datagrams and relay requests of its peers.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub failure_domain: String,
    /// CPU that it may use, in thousandths of a core.
    #[serde(default)]
    pub millicores: u32,
}

/// Lease on the replicas: names the entry that gives orders to the instances.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Name of the entry that holds the lease.
    pub holder: String,
    /// Identifies one start of that entry.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Fencing token, which grows each time the lease is taken.
    pub fence: u64,
}

/// An object with its name and revision.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Item {
    /// Name of the object.
    pub name: Arc<str>,
    /// Revision of its last change.
    pub revision: u64,
    /// Content of the object.
    pub object: Object,
}

/// One page of a list.
#[derive(Clone, Debug)]
pub struct Page {
    /// Objects of this page.
    pub items: Vec<Item>,
    /// Whether more pages follow.
    pub more: bool,
    /// Revision of the store at which the page was read.
    pub revision: u64,
}

/// Changes of the objects of one kind.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Changes {
    /// Objects that were created or replaced.
    pub put: Vec<Item>,
    /// Names of objects that were deleted.
    pub gone: Vec<Arc<str>>,
    /// Revision from which the next watch continues.
    pub revision: u64,
}

/// A conditional write of an object that the gateway owns.
#[derive(Clone, Debug)]
pub struct Write<'a> {
    /// Kind of the object.
    pub kind: Kind,
    /// Name of the object.
    pub name: &'a str,
    /// Condition under which the object is written.
    pub condition: Condition,
    /// New content of the object.
    pub value: serde_json::Value,
}

/// Condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The object doesn't exist.
    Absent,
    /// The object exists at this revision.
    Revision(u64),
    /// The object exists, at any revision.
    Exists,
}
