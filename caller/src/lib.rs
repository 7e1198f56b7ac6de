//! The listener for callers: requests, streams and refusals.

pub mod answer;
mod body;
pub mod event;
pub mod handler;
mod json;
pub mod listener;
pub mod refusal;
pub mod request;
pub mod settings;

pub use answer::Answer;
pub use event::Event;
pub use handler::Handler;
pub use refusal::Refusal;
pub use settings::Settings;
