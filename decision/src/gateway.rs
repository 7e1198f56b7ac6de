//! State machines of the gateway, which forwards requests without interpreting their bodies:
//! routes, keys, limits and the replicas that instances form.
//!
//! | question | decided by |
//! | --- | --- |
//! | Which service and which workspace does a request belong to? | [`route::Table`] |
//! | Which instances are known, and which replicas do they form? | [`fleet::Fleet`] |
//! | Which replica or single-instance target serves it, or is it refused? | [`balance::Balancer`] |
//! | In which order do requests wait for a free slot? | [`backlog::Backlog`] |
//! | May it be retried? | [`budget::Budget`] |
//! | Does the response of another target continue a broken stream? | [`continuation::Continuation`] |
//! | May it be sent to a target that is still warming up? | [`warmup::Limiter`] |
//! | Which entry takes over the replicas next? | [`candidate::takeover_delay`] |
//! | Which era of the store does a response belong to? | [`era::Tracker`] |
//! | Which parts of prompts crash replicas and are not sent any more? | [`quarantine::Quarantine`] |
//! | Which registrations of entries that are gone are removed? | [`registration::Absences`] |
//! | May a stopping entry still pass it on? | [`grace::Grace`] |
//! | How is a kind of objects read after a try failed? | [`reading::Reading`] |
//! | Which objects stay in force after the store was restored? | [`hold::Holds`] |
//! | Which replicas to form, repair or end, where to stage weights? | [`formation::Formation`] |

pub mod allotment;
pub mod backlog;
pub mod balance;
pub mod budget;
pub mod candidate;
pub mod config;
pub mod continuation;
pub mod demand;
pub mod engine;
pub mod era;
pub mod exchange;
pub mod fleet;
pub mod formation;
pub mod grace;
pub mod hold;
pub mod prompt;
pub mod quarantine;
pub mod reading;
pub mod registration;
pub mod route;
pub mod warmup;
