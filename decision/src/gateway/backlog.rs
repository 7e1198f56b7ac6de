//! Backlog of requests that wait at an entry for a free slot at a target, ordered by priority
//! class, and shared fairly among workspaces within a class.

use std::collections::HashMap;
use std::sync::Arc;

use slotmap::SlotMap;

use crate::gateway::balance::tag;
use crate::prelude::*;
use crate::queue::Queue;
use crate::request::Ticket;

/// Largest number of requests of one queue that are tried per dispatch. More than one, since the
/// first ones may not fit where later ones do.
const MAX_TRIED: usize = 32;

/// Bounds of a backlog.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Largest number of requests that wait at an entry.
    pub capacity: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { capacity: 1_024 }
    }
}

/// What a request waits for: a service, and one of its models if it has models.
pub type Lane = (Arc<str>, Option<Arc<str>>);

/// A request that waits.
#[derive(Clone, Debug)]
pub struct Waiter {
    /// What the request waits for.
    pub lane: Lane,
    /// Priority class; 0 is the most urgent.
    pub rank: u8,
    /// Workspace on whose behalf the request is made.
    pub workspace: Option<Arc<str>>,
    /// Cost of the request, in tokens.
    pub cost: u64,
}

impl Waiter {
    /// Returns the priority for the queue, where higher values go first.
    fn priority(&self) -> u8 {
        u8::MAX - self.rank
    }

    /// Returns a valid name for the workspace's flow, since a workspace may have any name.
    fn flow(&self) -> Name {
        let workspace = self.workspace.as_deref().unwrap_or_default();
        Name::new(format!("w{:08x}", tag(workspace))).unwrap_or_default()
    }
}

/// Requests that wait, each with a payload that is returned when the request is dispatched or
/// removed.
#[derive(Debug)]
pub struct Backlog<T> {
    settings: Settings,
    /// The tickets of each lane, in the order in which they are dispatched.
    queues: HashMap<Lane, Queue>,
    waiters: SlotMap<Ticket, (Waiter, T)>,
}

impl<T> Default for Backlog<T> {
    fn default() -> Backlog<T> {
        Backlog::new(Settings::default())
    }
}

impl<T> Backlog<T> {
    /// Returns an empty backlog.
    pub fn new(settings: Settings) -> Backlog<T> {
        Backlog { settings, queues: HashMap::new(), waiters: SlotMap::with_key() }
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Returns whether a request waits in `lane`, so that a new one has to wait behind it.
    pub fn has_waiting(&self, lane: &Lane) -> bool {
        self.queues.get(lane).is_some_and(|it| !it.is_empty())
    }

    /// Adds a request, or returns `None` if the backlog is full.
    pub fn push(&mut self, waiter: Waiter, payload: T) -> Option<Ticket> {
        if self.waiters.len() >= self.settings.capacity {
            return None;
        }
        let (lane, flow) = (waiter.lane.clone(), waiter.flow());
        let (priority, cost) = (waiter.priority(), waiter.cost);
        let ticket = self.waiters.insert((waiter, payload));
        self.queues.entry(lane).or_default().push(ticket, &flow, priority, 1, cost);
        Some(ticket)
    }

    /// Removes a request, and returns its payload unless it was already dispatched or removed.
    pub fn remove(&mut self, ticket: Ticket) -> Option<T> {
        let (waiter, payload) = self.waiters.remove(ticket)?;
        if let Some(queue) = self.queues.get_mut(&waiter.lane) {
            queue.remove(ticket, &waiter.flow(), waiter.priority());
            if queue.is_empty() {
                self.queues.remove(&waiter.lane);
            }
        }
        Some(payload)
    }

    /// Calls `place` for the waiting requests in their order. Requests for which it returns a value
    /// leave the backlog and are returned with it; the others keep their positions.
    pub fn dispatch<R>(&mut self, mut place: impl FnMut(&T) -> Option<R>) -> Vec<(T, R)> {
        let mut placed = Vec::new();
        let lanes: Vec<Lane> = self.queues.keys().cloned().collect();
        for lane in lanes {
            self.dispatch_lane(&lane, &mut place, &mut placed);
        }
        placed
    }

    /// Tries up to [`MAX_TRIED`] requests of `lane`.
    fn dispatch_lane<R>(
        &mut self,
        lane: &Lane,
        place: &mut impl FnMut(&T) -> Option<R>,
        placed: &mut Vec<(T, R)>,
    ) {
        let Some(queue) = self.queues.get_mut(lane) else { return };
        let mut unplaced = Vec::new();
        for _ in 0..MAX_TRIED {
            let Some(ticket) = queue.pop() else { break };
            let Some((waiter, payload)) = self.waiters.get(ticket) else { continue };
            match place(payload) {
                None => unplaced.push((ticket, waiter.flow(), waiter.priority(), waiter.cost)),
                Some(outcome) => {
                    placed
                        .extend(self.waiters.remove(ticket).map(|(_, payload)| (payload, outcome)));
                }
            }
        }
        for (ticket, flow, priority, cost) in unplaced.into_iter().rev() {
            queue.put_back(ticket, &flow, priority, 1, cost);
        }
        if queue.is_empty() {
            self.queues.remove(lane);
        }
    }
}
