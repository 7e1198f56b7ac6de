//! Cache events: asks a model engine what its prefix cache gained and lost.

use std::net::SocketAddr;

use bytes::Bytes;
use decision::cache::Answer;
use http::{Method, Request};
use http_body_util::Empty;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;

use crate::order::{exchange, pool};
use crate::report::Settings;

pub use crate::order::Error;

/// Reads cache events. Cheap to clone; clones share their connections.
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

    /// Asks the engine at `address` for its cache events after number `after`.
    ///
    /// # Errors
    ///
    /// Fails if the engine does not answer in time, or not with events of a known kind within the
    /// allowed size.
    pub async fn get(&self, address: SocketAddr, after: u64) -> Result<Answer, Error> {
        let uri = format!("http://{address}/cache?after={after}");
        let request = Request::builder().method(Method::GET).uri(uri).body(Empty::new())?;
        let send = exchange(&self.http, request, self.settings.body_bytes);
        let (status, body) = tokio::time::timeout(self.settings.timeout, send).await??;
        if !status.is_success() {
            return Err(Error::Status(status));
        }
        Ok(serde_json::from_slice(&body)?)
    }
}
