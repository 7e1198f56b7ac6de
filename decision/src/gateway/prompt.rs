//! Parts of prompts that requests share, such as the instructions of a service or a document.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Most parts of one prompt that are looked at; the others are passed on unread.
pub const MAX_PARTS: usize = 32;

/// A part of a prompt, as it is read by one model.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Part {
    /// Tag of the model; 0 if the request names none.
    pub model: u32,
    /// Identifier that callers give the part.
    pub id: u64,
}

impl Part {
    /// Returns the name under which the part is stored.
    pub fn name(&self) -> String {
        format!("{:08x}-{:016x}", self.model, self.id)
    }

    /// Returns the part that is stored under `name`; `None` if that is no name of a part.
    pub fn from_name(name: &str) -> Option<Part> {
        let (model, id) = name.split_once('-')?;
        let part = Part {
            model: u32::from_str_radix(model, 16).ok()?,
            id: u64::from_str_radix(id, 16).ok()?,
        };
        (part.name() == name).then_some(part)
    }
}

impl fmt::Display for Part {
    /// Writes the identifier as callers do, in hexadecimal.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:08x}", self.id)
    }
}

/// The parts of a prompt that other requests may share, in their order.
pub type Prompt = Arc<[Part]>;
