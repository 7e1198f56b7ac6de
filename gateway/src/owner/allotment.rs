//! Demand by model: passes it to the formations, and logs it with the wanted and the existing
//! replicas.

use std::collections::HashMap;
use std::sync::Arc;

use decision::gateway::balance::tag;
use decision::gateway::demand::Demands;
use decision::gateway::engine::Engine;
use decision::gateway::formation::Formation;
use decision::prelude::*;

use crate::journal::{Event, Journal};

/// Shortest interval between two log lines about a model.
const LOG_INTERVAL: Duration = Duration::from_secs(2);

/// Relative change of the wanted replicas above which they are logged again.
const LOGGED_CHANGE_RATIO: f64 = 0.15;

/// The last log line of each model: its time, the wanted replicas, and the existing ones.
#[derive(Debug, Default)]
pub(super) struct Log(HashMap<Arc<str>, (Time, f64, usize)>);

/// Passes the demand for each model of `engine` to a formation.
pub(super) fn record_demand(
    now: Time,
    formation: &mut Formation,
    engine: &Engine,
    demands: &Demands,
) {
    let demand_of = |name: &str| demands.get(&tag(name)).copied().unwrap_or_default();
    formation
        .record_demand(now, engine.models.iter().map(|it| (it.name.clone(), demand_of(&it.name))));
}

impl Log {
    /// Logs the demand, the wanted and the existing replicas of each model whose numbers have
    /// changed.
    pub(super) fn write(
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
            if let Some((logged_at, last_wanted, last_replicas)) = self.0.get(&model.name) {
                let has_changed =
                    (wanted - last_wanted).abs() > LOGGED_CHANGE_RATIO * last_wanted.max(1.0);
                if now.since(*logged_at) < LOG_INTERVAL
                    || !(has_changed || *last_replicas != replicas)
                {
                    continue;
                }
            }
            self.0.insert(model.name.clone(), (now, wanted, replicas));
            journal.note(&Event::Allotted {
                service,
                model: &model.name,
                requests: round_to_tenth(demand.requests),
                work: round_to_tenth(demand.work),
                missed: round_to_tenth(demand.missed),
                wanted: round_to_tenth(wanted),
                replicas,
            });
        }
    }
}

fn round_to_tenth(value: f64) -> f64 {
    (value * 10.0).round() / 10.0
}
