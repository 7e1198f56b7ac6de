//! Which model is missed most.

use std::collections::HashMap;
use std::sync::Arc;

use crate::gateway::engine::{Engine, Model};

/// How far a model may get ahead of the one that is missed most, by cost.
const MAX_EXCESS: f64 = 1.15;

/// How far a model must be ahead, by cost, for one of its replicas to give way.
pub(super) const FAR_AHEAD: f64 = 1.4;

/// What speaks against one more replica of `model`: those that there are, by its share.
pub(super) fn cost(model: &Model, counts: &HashMap<Arc<str>, usize>) -> f64 {
    let count = counts.get(&model.name).copied().unwrap_or_default() as f64;
    let wanted = model.share / model.size as f64;
    (count + 1.0) / wanted.max(f64::MIN_POSITIVE)
}

/// What the last replica of `model` cost.
pub(super) fn last_cost(model: &Model, counts: &HashMap<Arc<str>, usize>) -> f64 {
    let count = counts.get(&model.name).copied().unwrap_or_default() as f64;
    let wanted = model.share / model.size as f64;
    count / wanted.max(f64::MIN_POSITIVE)
}

/// Whether a replica of `model`, which is far ahead, would take instances that could complete one
/// of the model that is missed most, out of `room`.
pub(super) fn is_in_the_way(
    engine: &Engine,
    model: &Model,
    counts: &HashMap<Arc<str>, usize>,
    room: usize,
) -> bool {
    let others = engine.models.iter().filter(|it| it.name != model.name);
    let mut behind = others.filter(|it| cost(model, counts) >= FAR_AHEAD * cost(it, counts));
    behind.any(|it| it.size <= room && room - model.size < it.size)
}

/// Whether one more replica of `model` is due. If another model is missed far more, instances
/// rather wait for what it lacks than serve what is not asked for.
pub(super) fn is_due(model: &Model, engine: &Engine, counts: &HashMap<Arc<str>, usize>) -> bool {
    let least = engine.models.iter().map(|it| cost(it, counts)).fold(f64::INFINITY, f64::min);
    cost(model, counts) <= least * MAX_EXCESS
}
