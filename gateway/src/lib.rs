//! Serves callers over HTTP in front of targets that it finds in a platform's store.
//!
//! Requests and answers pass through unread. [`port::Platform`] translates between the platform
//! and the product; decisions are those of [`decision::gateway`].

pub mod body;
mod call;
pub mod clock;
pub mod daemon;
pub mod error;
mod follow;
mod intake;
pub mod journal;
pub mod metrics;
pub mod mirror;
mod owner;
pub mod peers;
pub mod pool;
pub mod port;
mod ready;
pub mod relay;
pub mod request;
pub mod settings;
pub mod splitter;
pub mod state;
mod stream;

pub use error::Error;
