//! Metrics of the router: queues, slots and held targets by service.

use std::sync::{Arc, Weak};

use decision::service::{Status, TargetStatus};
use opentelemetry::{KeyValue, global};

use crate::node::Node;
use crate::telemetry::SCOPE;

/// Registers the metrics. They end with the node.
pub(crate) fn install(node: &Arc<Node>) {
    gauge(node, "rhubarblatch.router.queued", "Requests that wait at this entry", |it| {
        it.queued as u64
    });
    gauge(
        node,
        "rhubarblatch.router.cached_blocks",
        "Prompt blocks that some target is thought to have cached",
        |it| it.cached as u64,
    );
    gauge(
        node,
        "rhubarblatch.router.gated_domains",
        "Failure domains that returned and have not shown that they answer",
        |it| it.gated.len() as u64,
    );
    gauge(node, "rhubarblatch.router.running", "Requests that this entry has on targets", |it| {
        sum(it, |target| target.running)
    });
    gauge(
        node,
        "rhubarblatch.router.share",
        "Requests that this entry may have on targets",
        |it| sum(it, |target| target.share),
    );
    gauge(
        node,
        "rhubarblatch.router.idle_slots",
        "Slots that wait for their earlier holders",
        |it| sum(it, |target| target.idle_slots),
    );
    gauge(
        node,
        "rhubarblatch.router.held_targets",
        "Targets that get nothing new after bad signs",
        |it| sum(it, |target| u32::from(target.limit == 0)),
    );
    gauge(
        node,
        "rhubarblatch.router.ejected_targets",
        "Targets that are out as stragglers",
        |it| sum(it, |target| u32::from(target.ejected_until.is_some())),
    );
}

fn sum(status: &Status, of: impl Fn(&TargetStatus) -> u32) -> u64 {
    status.targets.iter().map(|it| u64::from(of(it))).sum()
}

fn gauge(
    node: &Arc<Node>,
    name: &'static str,
    description: &'static str,
    read: impl Fn(&Status) -> u64 + Send + Sync + 'static,
) {
    let node: Weak<Node> = Arc::downgrade(node);
    global::meter(SCOPE)
        .u64_observable_gauge(name)
        .with_description(description)
        .with_callback(move |observer| {
            let Some(node) = node.upgrade() else { return };
            for status in node.routing.with(|now, router| router.status(now)) {
                let service = KeyValue::new("service", status.service.to_string());
                observer.observe(read(&status), &[service]);
            }
        })
        .build();
}
