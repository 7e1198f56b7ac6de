//! Decisions for requests that pass through unread: routes, keys, limits, replicas over hosts.
//!
//! | question | machine |
//! | --- | --- |
//! | Which service does a request go to, for whom? | [`route::Table`] |
//! | Which instances are known, and which replicas do they form? | [`fleet::Fleet`] |
//! | Which replica or plain target gets it, or is it refused? | [`balance::Balancer`] |
//! | May it be sent once more? | [`budget::Budget`] |
//! | May a cold target get it? | [`warmup::Limiter`] |
//! | Who owns the replicas next? | [`candidate::pause`] |
//! | What is to be formed, healed, staged? | [`formation::Formation`] |

pub mod allotment;
pub mod backlog;
pub mod balance;
pub mod budget;
pub mod candidate;
pub mod config;
pub mod demand;
pub mod engine;
pub mod exchange;
pub mod fleet;
pub mod formation;
pub mod route;
pub mod warmup;
