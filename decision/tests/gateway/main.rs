//! Tests of the decisions for requests that pass through unread.

mod admission;
mod allotment;
mod backlog;
mod balance;
mod budget;
mod candidate;
mod demand;
mod ending;
mod exchange;
mod fleet;
mod formation;
mod opening;
mod owner;
mod owners;
mod premise;
mod route;
mod simulation;
mod spare;
mod speed;
mod support;
mod warmup;
