//! A plain service: lookups that may be repeated and payments that may not.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::{Method, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::time;

use crate::web::{self, Body, Call};

/// Where a run is recorded when the caller sent no key.
pub const NO_KEY: &str = "no-key";

/// A plain service that lives as long as its clones.
#[derive(Clone, Default)]
pub struct Plain {
    state: Arc<Mutex<State>>,
}

/// What the service can be told to do wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Waits this long before it runs a call, in milliseconds.
    pub slow_ms: u64,
    /// Closes the connection after this many further calls have run.
    pub lose_answers: u32,
    /// Refuses this many further calls with 503 and says that they were not run.
    pub refuse: u32,
}

#[derive(Default)]
struct State {
    runs: BTreeMap<String, u64>,
    lookups: u64,
    fault: Fault,
}

impl Plain {
    /// A service that ran nothing yet.
    pub fn new() -> Plain {
        Plain::default()
    }

    /// Serves calls on `listener` for ever.
    pub async fn serve(self, listener: TcpListener) {
        web::serve(listener, move |call| {
            let plain = self.clone();
            async move { plain.answer(call).await }
        })
        .await;
    }

    /// How often each key ran.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        self.lock().runs.clone()
    }

    /// Makes the service misbehave from now on.
    pub fn set_fault(&self, fault: Fault) {
        self.lock().fault = fault;
    }

    async fn answer(&self, call: Call) -> Option<Response<Body>> {
        match (&call.method, call.parts().as_slice()) {
            (&Method::GET, ["runs"]) => Some(web::json(StatusCode::OK, &self.runs())),
            (&Method::POST, ["control"]) => {
                self.set_fault(call.json()?);
                Some(web::empty(StatusCode::OK))
            }
            (&Method::GET, _) => Some(self.look_up(&call)),
            _ => self.run(&call).await,
        }
    }

    fn look_up(&self, call: &Call) -> Response<Body> {
        self.lock().lookups += 1;
        web::json(StatusCode::OK, &json!({ "found": call.path.join("/") }))
    }

    async fn run(&self, call: &Call) -> Option<Response<Body>> {
        if self.takes_fault(|fault| &mut fault.refuse) {
            let mut response = web::empty(StatusCode::SERVICE_UNAVAILABLE);
            response.headers_mut().insert("x-not-run", http::HeaderValue::from_static("true"));
            return Some(response);
        }
        let slow = self.lock().fault.slow_ms;
        time::sleep(Duration::from_millis(slow)).await;
        let key = call.headers.get("idempotency-key").and_then(|key| key.to_str().ok());
        let key = key.unwrap_or(NO_KEY).to_owned();
        *self.lock().runs.entry(key.clone()).or_default() += 1;
        if self.takes_fault(|fault| &mut fault.lose_answers) {
            return None;
        }
        Some(web::json(StatusCode::OK, &json!({ "ran": key })))
    }

    fn takes_fault(&self, field: impl Fn(&mut Fault) -> &mut u32) -> bool {
        let mut state = self.lock();
        let left = field(&mut state.fault);
        let takes = *left > 0;
        *left = left.saturating_sub(1);
        takes
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
