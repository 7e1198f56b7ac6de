//! The rules of replicas: nothing serves twice (TWO) and nothing serves in part (PARTIAL).

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use decision::gateway::formation::Order;

use super::Key;
use super::node::Node;

/// Lines of the trace that are kept.
const LINES: usize = 4_000;

/// Lines that a violation shows.
const SHOWN: usize = 60;

/// Watches what instances do.
#[derive(Debug)]
pub(super) struct Checker {
    seed: u64,
    ready: BTreeSet<(Key, Arc<str>)>,
    trace: VecDeque<(Arc<str>, String)>,
}

impl Checker {
    /// Watches the world of `seed`.
    pub(super) fn new(seed: u64) -> Checker {
        Checker { seed, ready: BTreeSet::new(), trace: VecDeque::new() }
    }

    /// Notes that an instance became a ready member of a replica.
    pub(super) fn ready(&mut self, key: Key, id: &Arc<str>) {
        self.ready.insert((key, id.clone()));
    }

    /// Notes what happened at an instance.
    pub(super) fn note(&mut self, id: &Arc<str>, line: String) {
        if self.trace.len() == LINES {
            self.trace.pop_front();
        }
        self.trace.push_back((id.clone(), line));
    }

    /// Panics if an order that was taken broke a rule. `before` are the nodes before it.
    pub(super) fn judge(
        &self,
        nodes: &BTreeMap<Arc<str>, Node>,
        before: &Node,
        order: &Order,
        after: &Node,
    ) {
        match order {
            Order::Join { .. } if before.key() != after.key() => self.two(nodes, before),
            Order::Open { .. } => self.partial(before),
            _ => {}
        }
    }

    /// No instance is taken for another replica while the head of its own one may serve, or stands
    /// still.
    fn two(&self, nodes: &BTreeMap<Arc<str>, Node>, before: &Node) {
        let Some(key) = before.key() else { return };
        let others = nodes.values().filter(|it| it.instance.id != before.instance.id);
        let mut group = others.chain([before]).filter(|it| it.key().as_ref() == Some(&key));
        let Some(head) = group.find(|it| it.may_serve()) else { return };
        let (id, other, state) = (&before.instance.id, &head.instance.id, head.state());
        let what = format!("TWO: {id} is taken from {key:?}, whose head {other} is {state:?}");
        self.check(false, &what, [id, other]);
    }

    /// No head is opened whose members were not all ready.
    fn partial(&self, head: &Node) {
        let Some(key) = head.key() else { return };
        let id = &head.instance.id;
        for member in &head.members {
            let what = format!("PARTIAL: {id} opens {key:?} though {member} was never ready in it");
            self.check(self.ready.contains(&(key.clone(), member.clone())), &what, [id, member]);
        }
    }

    fn check(&self, kept: bool, what: &str, about: [&Arc<str>; 2]) {
        let lines = self.trace.iter().filter(|(id, _)| about.contains(&id));
        let lines: Vec<&str> = lines.map(|(_, line)| &**line).collect();
        let from = lines.len().saturating_sub(SHOWN);
        assert!(kept, "seed {}: {what}\n{}", self.seed, lines[from..].join("\n"));
    }
}
