//! Serves callers over HTTP in front of targets that it finds in a platform's store.
//!
//! Requests and answers pass through unread. [`port::Platform`] translates between the platform
//! and the product; decisions are those of [`decision::gateway`].
//!
//! | part | job |
//! | --- | --- |
//! | `intake`, `routing`, `request`, `slot`, `call`, `stream`, `refusal` | callers' requests, from the first byte to the last |
//! | `follow`, `relay`, [`mirror`], `apply` | what the store says, read there or at a peer |
//! | `owner`, `order` | orders to instances, by one entry at a time |
//! | `peers` | what entries tell each other |
//! | [`pool`] | connections to targets and to the store |
//! | `journal`, `metrics`, `ready` | what an operator sees |

mod apply;
mod body;
mod call;
mod clock;
pub mod daemon;
pub mod error;
mod follow;
mod intake;
mod journal;
mod lease;
pub mod memory;
mod metrics;
pub mod mirror;
mod order;
mod owner;
mod peers;
pub mod pool;
pub mod port;
mod ready;
mod refusal;
pub mod relay;
mod request;
mod routing;
pub mod settings;
mod slot;
pub mod splitter;
mod state;
mod stream;
mod wait;

pub use error::Error;
