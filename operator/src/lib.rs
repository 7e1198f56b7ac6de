//! The listener for operators: declarations, their checks, status.
//!
//! [`source`] reads declarations from files, [`plan`] compares them with the stored
//! configuration, [`writer`] puts a change into the store, [`listener`] serves operators over
//! HTTP by means of a [`Handler`].

pub mod change;
pub mod entry;
mod handler;
pub mod listener;
pub mod plan;
mod refusal;
pub mod source;
pub mod status;
pub mod writer;

pub use handler::Handler;
pub use refusal::Refusal;
