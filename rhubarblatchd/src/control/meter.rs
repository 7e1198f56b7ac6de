//! Counts what control does.

use opentelemetry::metrics::{Counter, Gauge};
use opentelemetry::{KeyValue, global};

use crate::telemetry::SCOPE;

/// The instruments of control.
pub(super) struct Meter {
    /// Orders, by `outcome`: `accepted`, `stale`, `expired` or `failed`.
    orders: Counter<u64>,
    /// Probes, by `outcome`: `answered` or `failed`.
    probes: Counter<u64>,
    /// Writes of fabric domains' objects, by `outcome`: `written`, `conflict`, `unknown` or
    /// `failed`.
    writes: Counter<u64>,
    /// Fabric domains whose lease this entry holds.
    leases: Gauge<u64>,
    /// Replicas that this entry knows to serve.
    serving: Gauge<u64>,
    /// Things that services ask for and do not get.
    lacks: Gauge<u64>,
}

impl Meter {
    /// Instruments of the process's provider.
    pub(super) fn new() -> Meter {
        let meter = global::meter(SCOPE);
        Meter {
            orders: meter.u64_counter("rhubarblatch.orders").build(),
            probes: meter.u64_counter("rhubarblatch.probes").build(),
            writes: meter.u64_counter("rhubarblatch.fabric.writes").build(),
            leases: meter.u64_gauge("rhubarblatch.fabric.leases").build(),
            serving: meter.u64_gauge("rhubarblatch.replicas.serving").build(),
            lacks: meter.u64_gauge("rhubarblatch.placement.lacks").build(),
        }
    }

    pub(super) fn order(&self, outcome: &'static str) {
        self.orders.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    pub(super) fn probe(&self, outcome: &'static str) {
        self.probes.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    pub(super) fn write(&self, outcome: &'static str) {
        self.writes.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    pub(super) fn leases(&self, held: usize) {
        self.leases.record(held as u64, &[]);
    }

    pub(super) fn serving(&self, replicas: usize) {
        self.serving.record(replicas as u64, &[]);
    }

    pub(super) fn lacks(&self, lacks: usize) {
        self.lacks.record(lacks as u64, &[]);
    }
}
