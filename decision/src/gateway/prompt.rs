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

impl fmt::Display for Part {
    /// Writes the identifier as callers do, in hexadecimal.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:08x}", self.id)
    }
}

/// The parts of a prompt that other requests may share, in their order.
pub type Prompt = Arc<[Part]>;
