//! The types that nearly every module uses.

pub use std::time::Duration;

pub use crate::clock::Time;
pub use crate::name::Name;
