//! Metrics of the entry's part among the entries.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use opentelemetry::{KeyValue, global};
use peer::listener;
use peer::meter::Traffic;

use crate::gauge;
use crate::node::Node;
use crate::telemetry::SCOPE;

/// How an exchange ended.
#[derive(Clone, Copy, Debug)]
pub(super) enum Counter {
    Answered,
    Failed,
    Invalid,
    /// The answer was taken, but for its evidence.
    Refused,
}

/// How the exchanges ended.
#[derive(Debug, Default)]
pub(super) struct Count([AtomicU64; 4]);

impl Count {
    pub(super) fn add(&self, counter: Counter) {
        self.0[counter as usize].fetch_add(1, Ordering::Relaxed);
    }
}

/// Registers the metrics. They end with the node.
pub(super) fn install(node: &Arc<Node>) {
    let meter = global::meter(SCOPE);
    let count = node.membership.count.clone();
    meter
        .u64_observable_counter("rhubarblatch.peer.exchanges")
        .with_description("Exchanges begun with peers, by outcome")
        .with_callback(move |observer| {
            let outcomes = ["answered", "failed", "invalid", "evidence_refused"];
            for (value, outcome) in count.0.iter().zip(outcomes) {
                let attributes = [KeyValue::new("outcome", outcome)];
                observer.observe(value.load(Ordering::Relaxed), &attributes);
            }
        })
        .build();
    gauge::show(node, "rhubarblatch.membership.current", "1 while new work may begin", |node| {
        u64::from(node.membership.is_current(node.now()))
    });
    gauge::show(
        node,
        "rhubarblatch.membership.age",
        "Milliseconds since the last confirmation",
        |node| {
            let age = node.membership.lock().state().age(node.now());
            age.map_or(u64::MAX, |age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
        },
    );
    gauge::show(node, "rhubarblatch.membership.generation", "The generation held", |node| {
        node.membership.lock().state().held().0
    });
    gauge::show(
        node,
        "rhubarblatch.membership.in_force",
        "The newest generation in force",
        |node| node.membership.in_force().0,
    );
    gauge::show(node, "rhubarblatch.membership.members", "Entries in the roster held", |node| {
        node.membership.lock().state().view().len() as u64
    });
}

/// Registers the metrics of the peers' listener.
pub(crate) fn observe(count: Arc<listener::Count>, traffic: Arc<Traffic>) {
    let meter = global::meter(SCOPE);
    meter
        .u64_observable_counter("rhubarblatch.peer.calls")
        .with_description("Calls of peers, by what became of them")
        .with_callback(move |observer| {
            for counter in listener::Counter::ALL {
                let attributes = [KeyValue::new("result", counter.as_str())];
                observer.observe(count.get(counter), &attributes);
            }
        })
        .build();
    meter
        .u64_observable_counter("rhubarblatch.peer.traffic")
        .with_description("Bytes of peers' calls and their answers")
        .with_callback(move |observer| {
            observer.observe(traffic.received(), &[KeyValue::new("direction", "received")]);
            observer.observe(traffic.sent(), &[KeyValue::new("direction", "sent")]);
        })
        .build();
}
