//! Claims of idempotency keys: drives a writer for each shard, here or at the shard's writer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use decision::claim::{self, Change, Shard, Verdict};
use decision::clock::Time;
use decision::commit::{self, Failure, Task, Ticket, Writer};
use decision::election;
use opentelemetry::metrics::Counter;
use opentelemetry::{KeyValue, global};
use store::{Error, Kind, Store, Version};
use tokio::sync::{Notify, oneshot};
use tokio::task::JoinHandle;
use tokio::time;
use tokio_util::task::TaskTracker;

use crate::node::Node;
use crate::telemetry;

/// Asks another entry, which writes a shard, to carry out a change.
pub trait Peer: Send + Sync + 'static {
    /// Carries out `change` at `peer`, or fails if no verdict came.
    fn claim(
        &self,
        peer: SocketAddr,
        change: &Change,
    ) -> impl Future<Output = Option<Verdict>> + Send;
}

/// No other entry is asked; every change is written here.
#[derive(Clone, Copy, Debug, Default)]
pub struct Alone;

/// The claims as one entry carries them out.
pub struct Claims<P = Alone> {
    node: Arc<Node>,
    peers: P,
    lanes: Vec<Arc<Lane>>,
    endings: TaskTracker,
    verdicts: Counter<u64>,
}

/// One shard of claims.
struct Lane {
    shard: u32,
    state: Mutex<State>,
    changed: Notify,
    writes: Counter<u64>,
}

struct State {
    writer: Writer,
    waiting: HashMap<Ticket, oneshot::Sender<Result<Verdict, commit::Error>>>,
    drive: Drive,
}

/// Whether a task carries out what the writer asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Drive {
    Stopped,
    Running,
}

impl Peer for Alone {
    async fn claim(&self, _: SocketAddr, _: &Change) -> Option<Verdict> {
        None
    }
}

impl Peer for peer::client::Client {
    async fn claim(&self, peer: SocketAddr, change: &Change) -> Option<Verdict> {
        peer::client::Client::claim(self, peer, change).await.ok()
    }
}

impl<P: Peer> Claims<P> {
    /// The claims of `node`, which asks `peers` to write the shards that are theirs.
    pub fn new(node: Arc<Node>, peers: P) -> Arc<Claims<P>> {
        let meter = global::meter(telemetry::SCOPE);
        let writes = meter.u64_counter("rhubarblatch.claim.writes").build();
        let verdicts = meter.u64_counter("rhubarblatch.claim.verdicts").build();
        let lane = |shard| Arc::new(Lane::new(shard, writes.clone()));
        let lanes = (0..claim::SHARDS).map(lane).collect();
        Arc::new(Claims { node, peers, lanes, endings: TaskTracker::new(), verdicts })
    }

    /// Carries out `change` at the entry that writes its shard, or here if that one fails.
    ///
    /// # Errors
    ///
    /// Fails if no verdict came in time. A claim without a verdict must not be dispatched.
    pub async fn submit(&self, change: &Change) -> Result<Verdict, commit::Error> {
        if let Some(peer) = self.writer(change.key.shard())
            && let Some(verdict) = self.peers.claim(peer, change).await
        {
            return Ok(verdict);
        }
        self.write(change.clone()).await
    }

    /// Carries out `change` with this entry's own writer, as a peer or a caller asks.
    ///
    /// # Errors
    ///
    /// As [`Claims::submit`].
    pub async fn write(&self, change: Change) -> Result<Verdict, commit::Error> {
        let shard = usize::try_from(change.key.shard()).unwrap_or_default();
        let lane = self.lanes.get(shard).ok_or(commit::Error::Store)?;
        let answer = lane.submit(self.node.now(), change)?;
        if lane.begin() {
            tokio::spawn(lane.clone().drive(self.node.clone()));
        }
        lane.changed.notify_one();
        let result = answer.await.unwrap_or(Err(commit::Error::Store));
        self.count(&result);
        result
    }

    /// Records the end of a request in the background. The handle is ready once it is on record or
    /// given up.
    pub fn end(self: &Arc<Self>, change: Change) -> JoinHandle<()> {
        let claims = self.clone();
        self.endings.spawn(async move {
            if let Err(error) = claims.submit(&change).await {
                log::debug!("the end of key {} is not on record: {error}", change.key);
            }
        })
    }

    /// Waits until the ends of all requests are on record or given up.
    pub async fn close(&self) {
        self.endings.close();
        self.endings.wait().await;
    }

    /// Where the shard's writer listens, unless it is this entry.
    fn writer(&self, shard: u32) -> Option<SocketAddr> {
        let configuration = self.node.configuration.load();
        let roster = &configuration.head.roster;
        let first = *election::ranking(roster, &format!("claim/{shard}")).first()?;
        if *first == self.node.settings.name {
            return None;
        }
        roster.get(first).map(|member| member.peer)
    }

    fn count(&self, result: &Result<Verdict, commit::Error>) {
        let verdict = match result {
            Ok(Verdict::Granted) => "granted",
            Ok(Verdict::Taken { .. }) => "taken",
            Ok(Verdict::Done { .. }) => "done",
            Ok(Verdict::Reused) => "reused",
            Ok(Verdict::Full) => "full",
            Ok(Verdict::Stored) => "stored",
            Ok(Verdict::Gone) => "gone",
            Err(_) => "none",
        };
        self.verdicts.add(1, &[KeyValue::new("verdict", verdict)]);
    }
}

impl Lane {
    fn new(shard: u32, writes: Counter<u64>) -> Lane {
        let writer = Writer::new(commit::Settings::default());
        let state = State { writer, waiting: HashMap::new(), drive: Drive::Stopped };
        Lane { shard, state: Mutex::new(state), changed: Notify::new(), writes }
    }

    fn submit(
        &self,
        now: Time,
        change: Change,
    ) -> Result<oneshot::Receiver<Result<Verdict, commit::Error>>, commit::Error> {
        let mut state = self.lock();
        let ticket = state.writer.submit(now, change)?;
        let (sender, receiver) = oneshot::channel();
        state.waiting.insert(ticket, sender);
        Ok(receiver)
    }

    /// Whether the caller is to start the task that drives the writer.
    fn begin(&self) -> bool {
        std::mem::replace(&mut self.lock().drive, Drive::Running) == Drive::Stopped
    }

    /// Carries out what the writer asks for, until it needs nothing more.
    async fn drive(self: Arc<Self>, node: Arc<Node>) {
        let name = self.shard.to_string();
        loop {
            let task = self.lock().writer.poll(node.now());
            match task {
                Some(Task::Read) => {
                    let object = node.store.get::<Shard>(Kind::Claim, &name).await;
                    let object = object.map(|it| it.map(|it| (it.version.0, it.value)));
                    let result = object.map_err(|error| failure(&error));
                    self.lock().writer.read(node.now(), result);
                }
                Some(Task::Write { version, shard }) => {
                    let put = node.store.put(Kind::Claim, &name, Version(version), &shard).await;
                    let result = put.map(|it| it.0).map_err(|error| failure(&error));
                    self.writes.add(1, &[KeyValue::new("result", outcome(&result))]);
                    self.lock().writer.written(node.now(), result);
                }
                Some(Task::Reply { ticket, result }) => self.reply(ticket, result),
                None => {
                    let Some(wake) = self.pause() else { return };
                    tokio::select! {
                        () = time::sleep_until(node.uptime.instant(wake)) => {}
                        () = self.changed.notified() => {}
                    }
                }
            }
        }
    }

    /// When the writer wants to go on, or none if the driving task may end.
    fn pause(&self) -> Option<Time> {
        let mut state = self.lock();
        let wake = state.writer.wake();
        if wake.is_none() {
            state.drive = Drive::Stopped;
        }
        wake
    }

    fn reply(&self, ticket: Ticket, result: Result<Verdict, commit::Error>) {
        let waiting = self.lock().waiting.remove(&ticket);
        if let Some(waiting) = waiting {
            // A submitter that has left takes no answer.
            drop(waiting.send(result));
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What a failed call of the store means for the writer.
fn failure(error: &Error) -> Failure {
    match error {
        Error::Conflict { .. } | Error::Absent { .. } => Failure::Conflict,
        Error::Unknown { .. } => Failure::Unknown,
        _ => Failure::Unavailable,
    }
}

fn outcome(result: &Result<u64, Failure>) -> &'static str {
    match result {
        Ok(_) => "written",
        Err(Failure::Conflict) => "conflict",
        Err(Failure::Unavailable) => "unavailable",
        Err(Failure::Unknown) => "unknown",
    }
}
