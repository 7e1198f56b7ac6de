//! Values that are read one by one.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;

use crate::kind::Kind;

/// What an object holds, or why that can't be read. In a list or in changes, an object of another
/// writer then makes no other unreadable.
#[derive(Debug)]
pub struct Reading<T>(pub Result<T, serde_json::Error>);

impl<T> Reading<T> {
    /// Returns what the object `name` holds, or logs why that can't be read.
    pub fn readable(self, kind: Kind, name: &str) -> Option<T> {
        if let Err(error) = &self.0 {
            log::warn!("object {kind}/{name:?} cannot be read: {error}");
        }
        self.0.ok()
    }
}

impl<'de, T: DeserializeOwned> Deserialize<'de> for Reading<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Reading<T>, D::Error> {
        let raw = Box::<RawValue>::deserialize(deserializer)?;
        Ok(Reading(serde_json::from_str(raw.get())))
    }
}
