//! Checks two rules of replicas after each accepted order: no instance is used by two replicas
//! (TWO), and no replica serves without all its members (PARTIAL).

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use decision::gateway::formation::Order;

use super::ReplicaKey;
use super::node::Node;

/// Maximum number of trace lines that are kept.
const MAX_TRACE_LINES: usize = 4_000;

/// Maximum number of trace lines that the message of a violation shows.
const MAX_SHOWN_LINES: usize = 60;

/// Checks the rules, and keeps the trace that explains a violation.
#[derive(Debug)]
pub(super) struct Checker {
    seed: u64,
    /// Instances that have been ready members, each with its replica.
    ready: BTreeSet<(ReplicaKey, Arc<str>)>,
    /// The instance and the text of each line.
    trace: VecDeque<(Arc<str>, String)>,
}

impl Checker {
    /// Returns the checker of the simulation with this seed, which the message of a violation
    /// names.
    pub(super) fn new(seed: u64) -> Checker {
        Checker { seed, ready: BTreeSet::new(), trace: VecDeque::new() }
    }

    /// Records that an instance has become a ready member of a replica.
    pub(super) fn note_ready(&mut self, key: ReplicaKey, id: &Arc<str>) {
        self.ready.insert((key, id.clone()));
    }

    /// Adds a line on an instance to the trace.
    pub(super) fn note(&mut self, id: &Arc<str>, line: String) {
        if self.trace.len() == MAX_TRACE_LINES {
            self.trace.pop_front();
        }
        self.trace.push_back((id.clone(), line));
    }

    /// Panics if an accepted order broke a rule. `before` and `after` are the state of its instance
    /// before and after the order, and `nodes` are all instances after it.
    pub(super) fn check_order(
        &self,
        nodes: &BTreeMap<Arc<str>, Node>,
        before: &Node,
        order: &Order,
        after: &Node,
    ) {
        match order {
            Order::Join { .. } if before.key() != after.key() => {
                self.check_not_serving(nodes, before)
            }
            Order::Open { .. } => self.check_members_ready(before),
            _ => {}
        }
    }

    /// Panics if an instance is assigned to another replica although the head of its previous one
    /// may still run requests.
    fn check_not_serving(&self, nodes: &BTreeMap<Arc<str>, Node>, before: &Node) {
        let Some(key) = before.key() else { return };
        let others = nodes.values().filter(|it| it.instance.id != before.instance.id);
        let mut group = others.chain([before]).filter(|it| it.key().as_ref() == Some(&key));
        let Some(head) = group.find(|it| it.may_serve()) else { return };
        let (id, other, state) = (&before.instance.id, &head.instance.id, head.state());
        let violation = format!("TWO: {id} is taken from {key:?}, whose head {other} is {state:?}");
        self.assert_rule(false, &violation, [id, other]);
    }

    /// Panics if a head is opened although some member has never been ready in its replica.
    fn check_members_ready(&self, head: &Node) {
        let Some(key) = head.key() else { return };
        let id = &head.instance.id;
        for member in &head.members {
            let violation =
                format!("PARTIAL: {id} opens {key:?} though {member} was never ready in it");
            self.assert_rule(
                self.ready.contains(&(key.clone(), member.clone())),
                &violation,
                [id, member],
            );
        }
    }

    /// Panics with the trace of the instances `involved` unless the rule `is_kept`.
    fn assert_rule(&self, is_kept: bool, violation: &str, involved: [&Arc<str>; 2]) {
        let lines = self.trace.iter().filter(|(id, _)| involved.contains(&id));
        let lines: Vec<&str> = lines.map(|(_, line)| &**line).collect();
        let start = lines.len().saturating_sub(MAX_SHOWN_LINES);
        assert!(is_kept, "seed {}: {violation}\n{}", self.seed, lines[start..].join("\n"));
    }
}
