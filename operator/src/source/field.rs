//! Finds every field of a declaration that cannot be read.

use decision::declaration::Declaration;
use serde::Deserialize as _;
use serde_json::{Map, Value};

/// Longest part of a value that a message quotes, in characters.
const MAX_QUOTE: usize = 60;
/// The fields that say which of several forms an object has.
const TAGS: [&str; 2] = ["kind", "type"];
const MISSING: &str = "missing field";

/// A field that cannot be read.
pub(super) struct Field {
    pub(super) path: String,
    pub(super) value: Option<String>,
    pub(super) reason: String,
}

/// Reads a declaration, or finds every field that is wrong.
pub(super) fn read(value: &Value) -> Result<Declaration, Vec<Field>> {
    let error = match Declaration::deserialize(value) {
        Ok(declaration) if value.get("name").is_some() => return Ok(declaration),
        Ok(_) => return Err(vec![missing("name")]),
        Err(error) => error.to_string(),
    };
    let mut fields = Vec::new();
    if let Value::Object(object) = value {
        dig(object, "", &|inner| inner, &mut fields);
        let kind = object.get("kind").and_then(Value::as_str);
        if kind.is_some() && !object.contains_key("name") {
            fields.push(missing("name"));
        }
    }
    if fields.is_empty() {
        fields.push(whole(&error));
    }
    Err(fields)
}

/// How messages call the declaration: its kind and name, or its place in the file.
pub(super) fn subject(value: &Value, index: usize) -> String {
    let text = |key| value.get(key).and_then(Value::as_str);
    match (text("kind"), text("name")) {
        (Some(kind), Some(name)) => format!("{kind} {}", quote(&Value::from(name))),
        (Some(kind), None) => format!("{kind} at place {}", index + 1),
        _ => format!("declaration at place {}", index + 1),
    }
}

/// Tries each field of `object` alone, with its tag. `wrap` puts the object into its declaration.
fn dig(
    object: &Map<String, Value>,
    path: &str,
    wrap: &dyn Fn(Value) -> Value,
    out: &mut Vec<Field>,
) {
    let tag = TAGS.iter().find_map(|tag| object.get_key_value(*tag));
    let with_tag = |key: &str, value: Value| {
        let tag = tag.map(|(key, value)| (key.clone(), value.clone()));
        let fields = tag.into_iter().chain([(key.to_owned(), value)]);
        wrap(Value::Object(fields.collect()))
    };
    for (key, value) in object {
        let Some(reason) = fault(&with_tag(key, value.clone())) else { continue };
        let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
        let known = out.len();
        match value {
            Value::Object(inner) => {
                dig(inner, &path, &|inner| with_tag(key, inner), out);
            }
            Value::Array(values) => {
                for (index, value) in values.iter().enumerate() {
                    let Value::Object(inner) = value else { continue };
                    let path = format!("{path}[{index}]");
                    dig(inner, &path, &|inner| with_tag(key, Value::Array(vec![inner])), out);
                }
            }
            _ => (),
        }
        if out.len() == known {
            out.push(Field { path, value: Some(quote(value)), reason });
        }
        if TAGS.contains(&key.as_str()) {
            return;
        }
    }
}

/// Why `value` is no declaration, unless fields are missing only.
fn fault(value: &Value) -> Option<String> {
    let error = Declaration::deserialize(value).err()?.to_string();
    (!error.starts_with(MISSING)).then_some(error)
}

fn missing(field: &str) -> Field {
    Field { path: field.to_owned(), value: None, reason: "is missing".to_owned() }
}

fn whole(error: &str) -> Field {
    let name = error.strip_prefix(MISSING).map(|rest| rest.trim_matches([' ', '`']));
    match name {
        Some(name) => missing(name),
        None => Field { path: "object".to_owned(), value: None, reason: error.to_owned() },
    }
}

fn quote(value: &Value) -> String {
    let text = value.to_string();
    if text.chars().count() <= MAX_QUOTE {
        return text;
    }
    let start: String = text.chars().take(MAX_QUOTE).collect();
    format!("{start}...")
}
