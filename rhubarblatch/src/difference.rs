//! Differences between declarations as text.

use std::collections::BTreeSet;

use decision::declaration::{Declaration, Id};
use decision::head::item_key;
use operator::change::Difference;
use operator::plan::Plan;
use serde::Serialize;
use serde_json::Value;

use crate::output::{Colour, Output};

/// A declaration that differs, as `diff --json` prints it.
#[derive(Serialize)]
pub(crate) struct Entry<'a> {
    id: &'a Id,
    previous: Option<&'a Declaration>,
    next: Option<&'a Declaration>,
}

/// What a plan changes.
pub(crate) fn entries(plan: &Plan) -> Vec<Entry<'_>> {
    let differences = plan.differences().into_iter();
    differences.map(|(id, previous, next)| Entry { id, previous, next }).collect()
}

/// What a plan changes, as lines for the standard output.
pub(crate) fn lines(plan: &Plan, output: &Output) -> Vec<String> {
    let mut lines = Vec::new();
    for (id, previous, next) in plan.differences() {
        let key = item_key(id);
        lines.push(match (previous, next) {
            (None, _) => output.painted(Colour::Green, &format!("+ {key}")),
            (_, None) => output.painted(Colour::Red, &format!("- {key}")),
            _ => output.painted(Colour::Yellow, &format!("~ {key}")),
        });
        if let (Some(previous), Some(next)) = (previous, next) {
            lines.extend(fields(previous, next));
        }
    }
    lines
}

/// What another operator stored and what was wanted instead.
pub(crate) fn conflict(difference: &Difference) -> Vec<String> {
    let key = item_key(&difference.id);
    match (&difference.theirs, &difference.yours) {
        (None, _) => vec![format!("{key}: removed by another operator")],
        (Some(_), None) => vec![format!("{key}: changed by another operator, removed by you")],
        (Some(theirs), Some(yours)) => {
            let first = format!("{key}: theirs -> yours");
            std::iter::once(first).chain(fields(theirs, yours)).collect()
        }
    }
}

/// One line for each field that differs.
fn fields(previous: &Declaration, next: &Declaration) -> Vec<String> {
    let (previous, next) = (serde_json::to_value(previous), serde_json::to_value(next));
    let mut lines = Vec::new();
    if let (Ok(previous), Ok(next)) = (previous, next) {
        compare("", &previous, &next, &mut lines);
    }
    lines
}

fn compare(path: &str, previous: &Value, next: &Value, lines: &mut Vec<String>) {
    let (Value::Object(before), Value::Object(after)) = (previous, next) else {
        if previous != next {
            lines.push(format!("    {path}: {previous} -> {next}"));
        }
        return;
    };
    let keys: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    for key in keys {
        let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
        let value = |object: &serde_json::Map<String, Value>| {
            object.get(key).cloned().unwrap_or(Value::Null)
        };
        compare(&path, &value(before), &value(after), lines);
    }
}
