//! Pure state machines that decide what an entry does.
//!
//! Nothing here performs I/O, reads a clock or spawns a task. Every machine takes the current
//! [`clock::Time`] and an event, and returns actions for its caller to carry out.
//!
//! | question | machine | parts |
//! | --- | --- | --- |
//! | May this entry act on what it knows? | [`freshness::State`] | [`roster`], [`gossip`], [`head`] |
//! | Which configuration does it act on? | [`configuration::State`] | [`declaration`], [`check`], [`backoff`] |
//! | What becomes of a request? | [`router::Router`] | [`queue`], [`share`], [`handover`], [`ramp`], [`gate`], [`pool`], [`prefix`], [`cache`], [`ejection`], [`retry`] |
//! | Is a streamed answer whole? | [`stream::Stream`] | [`attempt`], [`outcome`] |
//! | May a request with a key run? | [`claimant::Claimant`] | [`claim`], [`commit`] |
//! | What must a fabric domain's owner do? | [`owner::Owner`] | [`fabric`], [`lease`], [`lifecycle`], [`reconcile`], [`order`], [`probe`] |
//! | Which replicas may serve? | [`evidence::Evidence`] | [`report`], [`target`] |
//! | What becomes of a request that passes through unread? | [`gateway`] | [`gateway::route`], [`gateway::balance`], [`gateway::formation`] |
//! | May the head of a response be relied on? | [`response::check`] | |
//! | What is to run where? | [`placement::plan`] | [`survey`] |

pub mod attempt;
pub mod backoff;
pub mod cache;
pub mod check;
pub mod claim;
pub mod claimant;
pub mod clock;
pub mod commit;
pub mod configuration;
pub mod declaration;
mod dispatch;
pub mod ejection;
pub mod election;
pub mod evidence;
pub mod fabric;
pub mod freshness;
pub mod gate;
pub mod gateway;
pub mod gossip;
pub mod handover;
pub mod head;
mod job;
pub mod lease;
pub mod lifecycle;
pub mod name;
pub mod order;
pub mod outcome;
pub mod owner;
pub mod placement;
pub mod pool;
pub mod prefix;
pub mod prelude;
pub mod probe;
mod progress;
pub mod queue;
pub mod ramp;
pub mod reconcile;
pub mod refusal;
pub mod report;
pub mod request;
pub mod response;
pub mod retry;
pub mod roster;
pub mod router;
pub mod service;
pub mod share;
pub mod stream;
pub mod survey;
pub mod target;
pub mod track;
