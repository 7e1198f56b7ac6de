//! The entry daemon as a library.
//!
//! [`Daemon::start`] opens the listeners of one entry and runs its loops until [`Daemon::stop`].

pub mod cache;
pub mod claims;
pub mod configuration;
pub mod control;
mod daemon;
mod digests;
pub mod dispatch;
mod error;
pub mod follower;
mod gauge;
mod hop;
mod load;
pub mod logging;
pub mod membership;
pub mod node;
pub mod operators;
pub mod parts;
mod pass;
mod refusals;
mod relay;
pub mod routing;
pub mod settings;
mod streams;
pub mod telemetry;
mod uptime;

pub use daemon::{Addresses, Daemon, Secrets};
pub use error::Error;
pub use uptime::Uptime;
