//! The platform's object API: conditional updates, watches and the system's kinds of objects.
//!
//! [`Store`] is what the rest of the system calls. [`client::Client`] speaks HTTP with the
//! platform, [`memory::Memory`] keeps the objects in this process for tests and measurements.

pub mod client;
pub mod count;
pub mod error;
pub mod exchange;
mod kind;
pub mod memory;
pub mod object;
mod reading;
mod store;
pub mod token;

pub use error::Error;
pub use kind::Kind;
pub use object::Version;
pub use reading::Reading;
pub use store::Store;
