//! Times, engines, instances and targets that the tests share.

use std::net::SocketAddr;
use std::sync::Arc;

use decision::gateway::balance::Target;
use decision::gateway::engine::{Engine, Model};
use decision::gateway::fleet::{Instance, Phase};
use decision::prelude::*;

/// Returns the time `millis` milliseconds after the start of the clock.
pub(crate) fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

pub(crate) const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub(crate) fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

/// Returns an engine with two models: replicas of the large one have 6 instances and take two
/// thirds of the work at the start, replicas of the small one have 3.
pub(crate) fn engine() -> Engine {
    let model = |name: &str, size, share, time_factor, load_ms, warm_load_ms| Model {
        name: name.into(),
        size,
        share,
        time_factor,
        load_time: ms(load_ms),
        warm_load_time: ms(warm_load_ms),
    };
    Engine {
        slots: 26,
        kv_tokens: 2_470_000,
        step_ms: 6.45,
        sequence_ms: 0.0967,
        steps_per_pass: 6,
        prefill_rate: 56_100.0,
        chunk_tokens: 2_048,
        parallel_loads: 8,
        load_rate: 5.5,
        open_time: ms(300),
        models: vec![
            model("large", 6, 0.67, 1.0, 16_000, 1_600),
            model("small", 3, 0.33, 0.6, 12_000, 1_100),
        ],
    }
}

/// Returns a free instance without weights that takes work.
pub(crate) fn instance(id: &str, fabric_domain: &str) -> Instance {
    Instance {
        id: id.into(),
        service: "models".into(),
        address: address(),
        failure_domain: "a".into(),
        phase: Phase::Ready,
        slots: 26,
        warmup_left: Duration::ZERO,
        fabric_domain: Some(fabric_domain.into()),
        staged: Vec::new(),
        model: None,
        member: None,
        incarnation: 1,
        sequence: None,
    }
}

/// Returns a target of one instance.
pub(crate) fn target(id: &str, failure_domain: &str, model: Option<&str>) -> Target {
    Target {
        id: id.into(),
        incarnation: (1, 1),
        address: address(),
        failure_domain: failure_domain.into(),
        slots: 4,
        model: model.map(Arc::from),
        time_factor: 1.0,
        members: vec![id.into()],
    }
}
