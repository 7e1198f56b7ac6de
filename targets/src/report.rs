//! Probes: asks a model engine what it reports of itself.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use decision::report::Report;
use http::{Method, Request};
use http_body_util::Empty;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;

use crate::order::{exchange, pool};

pub use crate::order::Error;

/// Bounds of a probe.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Longest time from connecting to the last byte of the answer.
    pub timeout: Duration,
    /// Longest answer, in bytes.
    pub body_bytes: usize,
}

/// Reads reports. Cheap to clone; clones share their connections.
#[derive(Clone, Debug)]
pub struct Client {
    http: legacy::Client<HttpConnector, Empty<Bytes>>,
    settings: Settings,
}

impl Client {
    /// A client with `settings`. Never repeats a request by itself.
    pub fn new(settings: Settings) -> Client {
        Client { http: pool(settings.timeout), settings }
    }

    /// Asks the engine at `address` for its report.
    ///
    /// # Errors
    ///
    /// Fails if the engine does not answer in time, or not with a report of allowed size.
    pub async fn get(&self, address: SocketAddr) -> Result<Report, Error> {
        let uri = format!("http://{address}/report");
        let request = Request::builder().method(Method::GET).uri(uri).body(Empty::new())?;
        let send = exchange(&self.http, request, self.settings.body_bytes);
        let (status, body) = tokio::time::timeout(self.settings.timeout, send).await??;
        if !status.is_success() {
            return Err(Error::Status(status));
        }
        Ok(serde_json::from_slice(&body)?)
    }
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { timeout: Duration::from_millis(500), body_bytes: 16 * 1024 }
    }
}
