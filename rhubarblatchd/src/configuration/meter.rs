//! Metrics of the configuration and of the calls of the platform's store.

use std::sync::Arc;

use opentelemetry::{KeyValue, global};

use crate::gauge;
use crate::node::Node;
use crate::telemetry::SCOPE;

/// Reports on `node` until it is gone.
pub(super) fn install(node: &Arc<Node>) {
    let meter = global::meter(SCOPE);
    let counted = Arc::downgrade(node);
    meter
        .u64_observable_counter("rhubarblatch.platform.calls")
        .with_description("Calls of the platform's store, by kind of call and outcome")
        .with_callback(move |observer| {
            let Some(node) = counted.upgrade() else { return };
            for count in node.store.counter().snapshot().filter(|count| count.calls > 0) {
                let call = KeyValue::new("call", count.call.as_str());
                let outcome = KeyValue::new("outcome", count.outcome.as_str());
                observer.observe(count.calls, &[call, outcome]);
            }
        })
        .build();
    gauge::show(
        node,
        "rhubarblatch.configuration.known",
        "The newest generation known to be stored",
        |node| node.follower.known().0,
    );
    gauge::show(
        node,
        "rhubarblatch.configuration.missing",
        "Bodies that are wanted and not here",
        |node| node.follower.missing() as u64,
    );
}
