//! Calls, orders and reports of model engines and plain services.

pub mod cache;
pub mod call;
pub mod connection;
pub mod error;
pub mod frame;
pub mod generate;
pub mod order;
pub mod report;
pub mod settings;

pub use error::Error;
pub use settings::Settings;
