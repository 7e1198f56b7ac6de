//! Small stand-ins for the platform's store, model engines and plain services, for tests.
//!
//! They play the outside systems that `docs/INTERFACES.md` describes, each as a task on a listener
//! of its own, so that a test or a demonstration runs them in processes or in one process.

pub mod cache;
pub mod engine;
pub mod error;
mod generation;
mod load;
pub mod plain;
pub mod prefill;
pub mod store;
mod web;

pub use error::Error;
