//! Requests that wait at an entry for a place at a target: in order of rank, and fair over
//! workspaces within a rank.

use std::collections::HashMap;
use std::sync::Arc;

use slotmap::SlotMap;

use crate::gateway::balance::tag;
use crate::prelude::*;
use crate::queue::Queue;
use crate::request::Ticket;

/// Requests that are tried in one turn of a queue. The first ones may not fit where others do.
const TRIED: usize = 32;

/// How many may wait.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Requests that wait at an entry at most.
    pub capacity: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { capacity: 1_024 }
    }
}

/// What requests wait for: a service, and a model of it if it has models.
pub type Lane = (Arc<str>, Option<Arc<str>>);

/// Who waits.
#[derive(Clone, Debug)]
pub struct Waiter {
    /// What it waits for.
    pub lane: Lane,
    /// Its rank; 0 is the most urgent.
    pub rank: u8,
    /// The workspace on whose behalf it is made.
    pub workspace: Option<Arc<str>>,
    /// What it costs, in tokens.
    pub cost: u64,
}

impl Waiter {
    fn priority(&self) -> u8 {
        u8::MAX - self.rank
    }

    /// A name for the workspace, whatever the platform calls it.
    fn flow(&self) -> Name {
        let workspace = self.workspace.as_deref().unwrap_or_default();
        Name::new(format!("w{:08x}", tag(workspace))).unwrap_or_default()
    }
}

/// The requests that wait, each with what is to be told once its turn has come.
#[derive(Debug)]
pub struct Backlog<T> {
    settings: Settings,
    lanes: HashMap<Lane, Queue>,
    waiters: SlotMap<Ticket, (Waiter, T)>,
}

impl<T> Default for Backlog<T> {
    fn default() -> Backlog<T> {
        Backlog::new(Settings::default())
    }
}

impl<T> Backlog<T> {
    /// Nobody waits.
    pub fn new(settings: Settings) -> Backlog<T> {
        Backlog { settings, lanes: HashMap::new(), waiters: SlotMap::with_key() }
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Whether somebody waits in `lane`, so that who comes now waits behind.
    pub fn has_waiting(&self, lane: &Lane) -> bool {
        self.lanes.get(lane).is_some_and(|it| !it.is_empty())
    }

    /// Lets a request wait, unless too many do.
    pub fn push(&mut self, waiter: Waiter, told: T) -> Option<Ticket> {
        if self.waiters.len() >= self.settings.capacity {
            return None;
        }
        let (lane, flow) = (waiter.lane.clone(), waiter.flow());
        let (priority, cost) = (waiter.priority(), waiter.cost);
        let ticket = self.waiters.insert((waiter, told));
        self.lanes.entry(lane).or_default().push(ticket, &flow, priority, 1, cost);
        Some(ticket)
    }

    /// A request waits no longer. Returns what was to be told, if its turn had not come.
    pub fn remove(&mut self, ticket: Ticket) -> Option<T> {
        let (waiter, told) = self.waiters.remove(ticket)?;
        if let Some(queue) = self.lanes.get_mut(&waiter.lane) {
            queue.remove(ticket, &waiter.flow(), waiter.priority());
            if queue.is_empty() {
                self.lanes.remove(&waiter.lane);
            }
        }
        Some(told)
    }

    /// Offers what may be free to those who wait, in their order. `place` says what becomes of one;
    /// those for whom there is nothing stay where they are.
    pub fn dispatch<R>(&mut self, mut place: impl FnMut(&T) -> Option<R>) -> Vec<(T, R)> {
        let mut placed = Vec::new();
        let lanes: Vec<Lane> = self.lanes.keys().cloned().collect();
        for lane in lanes {
            self.turn_of(&lane, &mut place, &mut placed);
        }
        placed
    }

    fn turn_of<R>(
        &mut self,
        lane: &Lane,
        place: &mut impl FnMut(&T) -> Option<R>,
        placed: &mut Vec<(T, R)>,
    ) {
        let Some(queue) = self.lanes.get_mut(lane) else { return };
        let mut stay = Vec::new();
        for _ in 0..TRIED {
            let Some(ticket) = queue.pop() else { break };
            let Some((waiter, told)) = self.waiters.get(ticket) else { continue };
            match place(told) {
                None => stay.push((ticket, waiter.flow(), waiter.priority(), waiter.cost)),
                Some(found) => {
                    placed.extend(self.waiters.remove(ticket).map(|(_, told)| (told, found)));
                }
            }
        }
        for (ticket, flow, priority, cost) in stay.into_iter().rev() {
            queue.put_back(ticket, &flow, priority, 1, cost);
        }
        if queue.is_empty() {
            self.lanes.remove(lane);
        }
    }
}
