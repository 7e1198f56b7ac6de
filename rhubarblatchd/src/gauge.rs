//! Gauges that read a node when the metrics are collected.

use std::sync::{Arc, Weak};

use opentelemetry::global;

use crate::node::Node;
use crate::telemetry::SCOPE;

/// Shows `value` of `node` as the gauge `name`, for as long as the node lives.
pub(crate) fn show(
    node: &Arc<Node>,
    name: &'static str,
    description: &'static str,
    value: impl Fn(&Node) -> u64 + Send + Sync + 'static,
) {
    let node: Weak<Node> = Arc::downgrade(node);
    global::meter(SCOPE)
        .u64_observable_gauge(name)
        .with_description(description)
        .with_callback(move |observer| {
            if let Some(node) = node.upgrade() {
                observer.observe(value(&node), &[]);
            }
        })
        .build();
}
