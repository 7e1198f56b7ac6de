//! What the owner tells its formations of demand, and what it writes of it.

use std::collections::HashMap;
use std::sync::Arc;

use decision::gateway::balance::tag;
use decision::gateway::demand::Demands;
use decision::gateway::engine::Engine;
use decision::gateway::formation::Formation;
use decision::prelude::*;

use crate::journal::{Event, Journal};

/// Pause between two lines about a model.
const PAUSE: Duration = Duration::from_secs(2);

/// Change of what is wanted that is worth a line, as a part of it.
const NEWS: f64 = 0.15;

/// What was last written of each model: when, what was wanted, and what there was.
#[derive(Debug, Default)]
pub(super) struct Told(HashMap<Arc<str>, (Time, f64, usize)>);

/// Tells a formation what is asked for of each model.
pub(super) fn hear(now: Time, formation: &mut Formation, engine: &Engine, demands: &Demands) {
    let of = |name: &str| demands.get(&tag(name)).copied().unwrap_or_default();
    formation.record_demand(now, engine.models.iter().map(|it| (it.name.clone(), of(&it.name))));
}

impl Told {
    /// Writes what is wanted of each model and what there is, if that is news.
    pub(super) fn tell(
        &mut self,
        now: Time,
        journal: &Journal,
        (service, engine): (&str, &Engine),
        formation: &Formation,
        demands: &Demands,
    ) {
        self.0.retain(|name, _| engine.model(name).is_some());
        for model in &engine.models {
            let (wanted, replicas) = formation.replica_counts(&model.name);
            let demand = demands.get(&tag(&model.name)).copied().unwrap_or_default();
            if let Some((at, before, had)) = self.0.get(&model.name) {
                let moved = (wanted - before).abs() > NEWS * before.max(1.0);
                if now.since(*at) < PAUSE || !(moved || *had != replicas) {
                    continue;
                }
            }
            self.0.insert(model.name.clone(), (now, wanted, replicas));
            journal.note(&Event::Allotted {
                service,
                model: &model.name,
                requests: round(demand.requests),
                work: round(demand.work),
                missed: round(demand.missed),
                wanted: round(wanted),
                replicas,
            });
        }
    }
}

fn round(value: f64) -> f64 {
    (value * 10.0).round() / 10.0
}
