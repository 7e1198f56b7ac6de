//! Tests of the decisions in `decision::gateway`: where requests go that are forwarded without
//! reading their bodies, and which replicas instances form.

mod admission;
mod allotment;
mod backlog;
mod balance;
mod budget;
mod candidate;
mod continuation;
mod demand;
mod ending;
mod era;
mod exchange;
mod fleet;
mod formation;
mod grace;
mod hold;
mod opening;
mod owner;
mod owners;
mod precondition;
mod quarantine;
mod reading;
mod registration;
mod route;
mod silence;
mod simulation;
mod spare;
mod speed;
mod support;
mod warmup;
