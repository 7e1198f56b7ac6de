//! HTTP gateway that forwards callers' requests to targets registered in a platform's store.
//!
//! The bodies of requests and responses are forwarded without being parsed. [`port::Platform`]
//! translates between the platform's protocol and the gateway's types; [`decision::gateway`] makes
//! the decisions.
//!
//! | modules | purpose |
//! | --- | --- |
//! | `intake`, `routing`, `request`, `retry`, `slot`, `exchange`, `call`, `content`, `stream`, `event`, `silence`, `reason`, `refusal` | handling of callers' requests |
//! | `follow`, `relay`, [`mirror`], `history`, `apply` | objects of the store, read from it or from a peer |
//! | `inform` | what peers know better than a store that was restored |
//! | `owner`, `order` | orders to instances, given by one entry at a time |
//! | `peers` | state that entries exchange |
//! | `lapse` | registrations of entries that are gone |
//! | [`pool`], `socket` | connections to targets and to the store |
//! | `progress`, `stop` | connections of callers, how far their requests are, and their end in a planned stop |
//! | `journal`, `metrics`, `ready` | log, metrics and readiness |

mod apply;
mod body;
mod call;
mod clock;
mod content;
pub mod daemon;
mod dropped;
pub mod error;
mod event;
mod exchange;
mod follow;
mod history;
mod inform;
mod intake;
mod journal;
mod lapse;
mod lease;
pub mod memory;
mod metrics;
pub mod mirror;
mod order;
mod owner;
mod peers;
pub mod pool;
pub mod port;
mod progress;
mod quarantine;
mod ready;
mod reason;
mod refusal;
pub mod relay;
mod request;
mod retry;
pub mod rewind;
mod routing;
pub mod settings;
mod silence;
mod slot;
mod socket;
pub mod splitter;
mod state;
mod stop;
mod stream;
mod takeover;
mod wait;

pub use error::Error;
