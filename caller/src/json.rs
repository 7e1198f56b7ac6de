//! Bodies in JSON.

use serde::Serialize;

/// The value as JSON text on one line. What cannot be written leaves a line in the log and an empty body.
pub(crate) fn encode(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_else(|error| {
        log::error!("cannot write a body: {error}");
        String::new()
    })
}
