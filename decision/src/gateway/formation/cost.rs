//! The cost of one more replica of each model. The lowest cost marks the model that is furthest
//! below its share.

use std::collections::HashMap;
use std::sync::Arc;

use crate::gateway::engine::{Engine, Model};

/// Highest cost of a model, relative to the lowest cost, at which one more replica of it is due.
const MAX_COST_RATIO: f64 = 1.15;

/// Cost of a model, relative to that of another one, from which it counts as far ahead of it, so
/// that one of its replicas may be ended for the other model.
pub(super) const SURPLUS_COST_RATIO: f64 = 1.4;

/// Returns the cost of one more replica of `model`: the instances that the model would then use,
/// relative to its share of the work.
pub(super) fn next_cost(model: &Model, counts: &HashMap<Arc<str>, usize>) -> f64 {
    let count = counts.get(&model.name).copied().unwrap_or_default() as f64;
    let replica_share = model.share / model.size as f64;
    (count + 1.0) / replica_share.max(f64::MIN_POSITIVE)
}

/// Returns the cost of the last replica of `model`: the instances that the model uses, relative to
/// its share of the work.
pub(super) fn last_cost(model: &Model, counts: &HashMap<Arc<str>, usize>) -> f64 {
    let count = counts.get(&model.name).copied().unwrap_or_default() as f64;
    let replica_share = model.share / model.size as f64;
    count / replica_share.max(f64::MIN_POSITIVE)
}

/// Whether one more replica of `model` would take instances that could complete a replica of a
/// model that `model` is far ahead of. `usable_count` is the number of instances that may be used.
pub(super) fn is_blocking(
    engine: &Engine,
    model: &Model,
    counts: &HashMap<Arc<str>, usize>,
    usable_count: usize,
) -> bool {
    let others = engine.models.iter().filter(|it| it.name != model.name);
    let mut behind =
        others.filter(|it| next_cost(model, counts) >= SURPLUS_COST_RATIO * next_cost(it, counts));
    behind.any(|it| it.size <= usable_count && usable_count - model.size < it.size)
}

/// Whether one more replica of `model` is due. If another model is much further below its share,
/// instances stay free for that model instead.
pub(super) fn is_due(model: &Model, engine: &Engine, counts: &HashMap<Arc<str>, usize>) -> bool {
    let lowest = engine.models.iter().map(|it| next_cost(it, counts)).fold(f64::INFINITY, f64::min);
    next_cost(model, counts) <= lowest * MAX_COST_RATIO
}
