//! A bounded queue that shares a service's capacity fairly over workspaces.
//!
//! Deficit round robin, weighted by estimated tokens, within each priority; a higher priority
//! leaves first.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, VecDeque};

use crate::prelude::*;
use crate::request::Ticket;

/// Tokens that a workspace of weight 1 may send in one round.
const QUANTUM: u64 = 4_096;

/// Largest cost of one request, in tokens. Bounds the rounds that one request can wait.
const MAX_COST: u64 = 65_536;

/// A queue of one service's requests.
#[derive(Debug, Default)]
pub struct Queue {
    levels: BTreeMap<Reverse<u8>, Level>,
    len: usize,
    cost: u64,
}

#[derive(Debug, Default)]
struct Level {
    flows: HashMap<Name, Flow>,
    round: VecDeque<Name>,
    cost: u64,
    weight: u64,
}

#[derive(Debug)]
struct Flow {
    weight: u32,
    deficit: u64,
    cost: u64,
    items: VecDeque<(Ticket, u64)>,
}

impl Queue {
    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Tokens that wait.
    pub fn cost(&self) -> u64 {
        self.cost
    }

    /// Tokens that leave before a new request of `workspace`, estimated.
    pub fn ahead(&self, workspace: &Name, priority: u8, weight: u32) -> u64 {
        let mut ahead = 0;
        for (level, flows) in self.levels.range(..=Reverse(priority)) {
            match level.0 == priority {
                true => ahead += flows.ahead(workspace, weight),
                false => ahead += flows.cost,
            }
        }
        ahead.min(self.cost)
    }

    /// Appends a request of `cost` tokens.
    pub fn push(&mut self, ticket: Ticket, workspace: &Name, priority: u8, weight: u32, cost: u64) {
        let cost = cost.clamp(1, MAX_COST);
        let level = self.levels.entry(Reverse(priority)).or_default();
        level.push(ticket, workspace, weight, cost);
        self.len += 1;
        self.cost += cost;
    }

    /// The request whose turn it is. It stays the next one until it leaves.
    pub fn peek(&mut self) -> Option<Ticket> {
        let mut level = self.levels.first_entry()?;
        level.get_mut().peek().map(|(ticket, _)| ticket)
    }

    /// Takes the request whose turn it is.
    pub fn pop(&mut self) -> Option<Ticket> {
        let mut level = self.levels.first_entry()?;
        let popped = level.get_mut().pop();
        if level.get().round.is_empty() {
            level.remove();
        }
        let (ticket, cost) = popped?;
        self.len -= 1;
        self.cost -= cost;
        Some(ticket)
    }

    /// Puts a request back that [`Queue::pop`] took, ahead of its workspace's others.
    pub fn put_back(
        &mut self,
        ticket: Ticket,
        workspace: &Name,
        priority: u8,
        weight: u32,
        cost: u64,
    ) {
        let cost = cost.clamp(1, MAX_COST);
        let level = self.levels.entry(Reverse(priority)).or_default();
        level.push(ticket, workspace, weight, cost);
        level.turn(workspace, cost);
        self.len += 1;
        self.cost += cost;
    }

    /// Removes a request that was given up. Does nothing if it does not wait here.
    pub fn remove(&mut self, ticket: Ticket, workspace: &Name, priority: u8) {
        let Some(level) = self.levels.get_mut(&Reverse(priority)) else { return };
        let removed = level.remove(ticket, workspace);
        if level.round.is_empty() {
            self.levels.remove(&Reverse(priority));
        }
        if let Some(cost) = removed {
            self.len -= 1;
            self.cost -= cost;
        }
    }
}

impl Level {
    fn ahead(&self, workspace: &Name, weight: u32) -> u64 {
        let flow = self.flows.get(workspace);
        let own = flow.map_or(0, |flow| flow.cost);
        let others = self.weight - flow.map_or(0, |flow| u64::from(flow.weight));
        let fair = (own + QUANTUM).saturating_mul(others) / u64::from(weight.max(1));
        own + fair.min(self.cost - own)
    }

    fn push(&mut self, ticket: Ticket, workspace: &Name, weight: u32, cost: u64) {
        if !self.flows.contains_key(workspace) {
            self.round.push_back(workspace.clone());
            let flow = Flow { weight: 0, deficit: 0, cost: 0, items: VecDeque::new() };
            self.flows.insert(workspace.clone(), flow);
        }
        let Some(flow) = self.flows.get_mut(workspace) else { return };
        let weight = weight.max(1);
        self.weight = self.weight + u64::from(weight) - u64::from(flow.weight);
        self.cost += cost;
        flow.weight = weight;
        flow.cost += cost;
        flow.items.push_back((ticket, cost));
    }

    /// Moves the last request of `workspace` to its front and returns what its turn had cost.
    fn turn(&mut self, workspace: &Name, cost: u64) {
        let Some(flow) = self.flows.get_mut(workspace) else { return };
        flow.items.rotate_right(1);
        flow.deficit += cost;
    }

    fn peek(&mut self) -> Option<(Ticket, u64)> {
        loop {
            let flow = self.flows.get_mut(self.round.front()?)?;
            let (ticket, cost) = *flow.items.front()?;
            if flow.deficit >= cost {
                return Some((ticket, cost));
            }
            flow.deficit += QUANTUM * u64::from(flow.weight);
            self.round.rotate_left(1);
        }
    }

    fn pop(&mut self) -> Option<(Ticket, u64)> {
        let (ticket, cost) = self.peek()?;
        let flow = self.flows.get_mut(self.round.front()?)?;
        flow.items.pop_front();
        flow.deficit -= cost;
        flow.cost -= cost;
        self.cost -= cost;
        if flow.items.is_empty()
            && let Some(name) = self.round.pop_front()
        {
            self.weight -= u64::from(flow.weight);
            self.flows.remove(&name);
        }
        Some((ticket, cost))
    }

    fn remove(&mut self, ticket: Ticket, workspace: &Name) -> Option<u64> {
        let flow = self.flows.get_mut(workspace)?;
        let at = flow.items.iter().position(|(it, _)| *it == ticket)?;
        let (_, cost) = flow.items.remove(at)?;
        flow.cost -= cost;
        self.cost -= cost;
        if flow.items.is_empty() {
            self.weight -= u64::from(flow.weight);
            self.flows.remove(workspace);
            self.round.retain(|it| it != workspace);
        }
        Some(cost)
    }
}
