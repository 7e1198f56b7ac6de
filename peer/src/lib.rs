//! The exchange between entries: wire format, client and listener.

pub mod client;
pub mod forward;
pub mod listener;
pub mod meter;
pub mod token;
pub mod wire;
