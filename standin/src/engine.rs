//! A model engine: one process per instance, several of which form a replica.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use decision::prefix;
use http::{Method, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time;

use crate::cache::{self, Cache};
use crate::error::Error;
use crate::generation::{Generation, Order, Speed};
use crate::load::{Action, LoadOrder, Loaded, members_hold};
use crate::prefill::Prefill;
use crate::web::{self, Body, Call};

const MEMBER_CHECK_INTERVAL: Duration = Duration::from_millis(50);
const MAX_STREAMS: usize = 4_096;
const MAX_PROCESS: u64 = 1 << 53;

/// How an engine behaves.
#[derive(Clone, Debug)]
pub struct Config {
    /// The instance's name in the platform's list.
    pub instance: String,
    /// The failure domain it runs in.
    pub failure_domain: String,
    /// The fabric domain it shares with the instances that it can form a replica with.
    pub fabric_domain: String,
    /// Accelerators of the instance.
    pub accelerators: u32,
    /// Whether orders with an old epoch are refused.
    pub fencing: Fencing,
    /// Time to load a model.
    pub load: Duration,
    /// Time to prefill a prompt of which nothing is cached.
    pub prefill: Duration,
    /// Prompts that are prefilled at one time. Others wait, higher priorities first.
    pub prefills: usize,
    /// The prefix cache.
    pub cache: cache::Settings,
    /// Time between two tokens.
    pub token: Duration,
    /// Requests in progress that the engine bears while it is cold.
    pub cold_limit: usize,
    /// Finished requests after which it is warm.
    pub warm_after: u64,
    /// Age of the load figures in its report.
    pub report_lag: Duration,
}

/// Whether an engine refuses orders with an old epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fencing {
    /// It refuses them.
    #[default]
    Checked,
    /// It carries them out.
    Ignored,
}

/// An engine that lives as long as its clones.
#[derive(Clone)]
pub struct Engine {
    config: Arc<Config>,
    state: Arc<Mutex<State>>,
    prefill: Prefill,
    complete: watch::Sender<bool>,
}

/// What the engine did so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests begun.
    pub started: u64,
    /// Requests finished whole.
    pub finished: u64,
    /// Requests begun while an instance of the replica was missing.
    pub incomplete: u64,
    /// Restarts because a cold engine got more than it bears.
    pub overloads: u64,
    /// Orders refused because of an old epoch.
    pub fenced: u64,
    /// Requests cancelled by the system.
    pub cancelled: u64,
    /// Prompt blocks found in the cache.
    pub cached: u64,
}

struct State {
    process: u64,
    highest_epoch: u64,
    loaded: Option<Loaded>,
    finished_since_load: u64,
    streams: HashMap<(u64, u64), Arc<Generation>>,
    cache: Cache,
    running: usize,
    reported_running: usize,
    counts: Counts,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            instance: "instance".to_owned(),
            failure_domain: "domain".to_owned(),
            fabric_domain: "fabric".to_owned(),
            accelerators: 8,
            fencing: Fencing::Checked,
            load: Duration::from_millis(50),
            prefill: Duration::from_millis(5),
            prefills: 32,
            cache: cache::Settings::default(),
            token: Duration::from_millis(2),
            cold_limit: 2,
            warm_after: 4,
            report_lag: Duration::from_millis(100),
        }
    }
}

impl Engine {
    /// An engine that has loaded nothing yet.
    pub fn new(config: Config) -> Engine {
        let state = State {
            process: new_process(),
            highest_epoch: 0,
            loaded: None,
            finished_since_load: 0,
            streams: HashMap::new(),
            cache: Cache::new(config.cache),
            running: 0,
            reported_running: 0,
            counts: Counts::default(),
        };
        Engine {
            prefill: Prefill::new(config.prefills),
            config: Arc::new(config),
            state: Arc::new(Mutex::new(state)),
            complete: watch::Sender::new(true),
        }
    }

    /// Enters the instance in the platform's list, as the platform does.
    ///
    /// # Errors
    ///
    /// Fails if the store cannot be reached or refuses the write.
    pub async fn register(&self, store: SocketAddr, address: SocketAddr) -> Result<(), Error> {
        let instance = &self.config.instance;
        let uri = format!("http://{store}/objects/instance/{instance}");
        let failure = |cause: String| Error::Register {
            instance: instance.clone(),
            store: store.to_string(),
            cause,
        };
        let (status, body) =
            web::send(Method::GET, uri.clone(), Vec::new()).await.map_err(failure)?;
        let held: Value = serde_json::from_slice(&body).unwrap_or_default();
        let version = if status.is_success() { held["version"].as_u64() } else { None };
        let value = json!({
            "address": address,
            "failure_domain": self.config.failure_domain,
            "fabric_domain": self.config.fabric_domain,
            "accelerators": self.config.accelerators,
            "leaving": false,
        });
        let uri = format!("{uri}?version={}", version.unwrap_or_default());
        let (status, _) =
            web::send(Method::PUT, uri, value.to_string().into_bytes()).await.map_err(failure)?;
        if !status.is_success() {
            return Err(failure(format!("status {status}")));
        }
        Ok(())
    }

    /// Serves reports, orders and requests on `listener` for ever.
    pub async fn serve(self, listener: TcpListener) {
        tokio::spawn(self.clone().publish_load());
        tokio::spawn(self.clone().watch_members());
        web::serve(listener, move |call| {
            let engine = self.clone();
            async move { engine.answer(&call) }
        })
        .await;
    }

    /// What the engine did so far.
    pub fn counts(&self) -> Counts {
        self.lock().counts
    }

    /// Turns the engine cold without notice.
    pub fn turn_cold(&self) {
        self.lock().finished_since_load = 0;
    }

    /// Starts the process anew: what was loaded and streamed is lost.
    pub fn restart(&self) {
        let mut state = self.lock();
        state.restart();
    }

    fn answer(&self, call: &Call) -> Option<Response<Body>> {
        let ok = || Some(web::empty(StatusCode::OK));
        match (&call.method, call.parts().as_slice()) {
            (&Method::GET, ["report"]) => Some(web::json(StatusCode::OK, &self.report())),
            (&Method::GET, ["counts"]) => Some(web::json(StatusCode::OK, &self.counts())),
            (&Method::GET, ["cache"]) => {
                let after = call.number("after").unwrap_or_default();
                Some(web::json(StatusCode::OK, &self.lock().cache.events(after)))
            }
            (&Method::POST, ["orders"]) => Some(self.order(call.json()?)),
            (&Method::POST, ["generate"]) => self.generate(call.json()?),
            (&Method::GET, ["generate", request, attempt]) => {
                let key = (request.parse().ok()?, attempt.parse().ok()?);
                Some(self.resume(key, call.number("from").unwrap_or_default()))
            }
            (&Method::DELETE, ["generate", request, attempt]) => {
                self.cancel((request.parse().ok()?, attempt.parse().ok()?));
                ok()
            }
            (&Method::POST, ["control", "cold"]) => {
                self.turn_cold();
                ok()
            }
            (&Method::POST, ["control", "restart"]) => {
                self.restart();
                ok()
            }
            _ => Some(web::empty(StatusCode::NOT_FOUND)),
        }
    }

    fn report(&self) -> Value {
        let state = self.lock();
        let loaded = state.loaded.as_ref();
        let phase = loaded.map_or("idle", |it| if it.ready { "ready" } else { "loading" });
        json!({
            "instance": self.config.instance,
            "process": state.process,
            "epoch": loaded.map_or(0, |it| it.order.epoch),
            "replica": loaded.map(|it| &it.order.replica),
            "rank": loaded.map_or(0, |it| it.order.rank),
            "size": loaded.map_or(0, |it| it.order.members.len()),
            "model": loaded.map(|it| &it.order.model),
            "state": phase,
            "cold": self.is_cold(&state),
            "running": state.reported_running,
            "prefill_tokens": 0,
        })
    }

    fn is_cold(&self, state: &State) -> bool {
        state.finished_since_load < self.config.warm_after
    }

    fn order(&self, order: LoadOrder) -> Response<Body> {
        let mut state = self.lock();
        if self.config.fencing == Fencing::Checked && order.epoch < state.highest_epoch {
            state.counts.fenced += 1;
            let body = json!({ "epoch": state.highest_epoch });
            return web::json(StatusCode::CONFLICT, &body);
        }
        state.highest_epoch = state.highest_epoch.max(order.epoch);
        let repeated = state.loaded.as_ref().is_some_and(|loaded| loaded.order == order);
        if repeated {
            return web::empty(StatusCode::ACCEPTED);
        }
        state.unload();
        if order.action == Action::Load {
            state.loaded = Some(Loaded { order: order.clone(), ready: false });
            tokio::spawn(self.clone().load(order));
        }
        web::empty(StatusCode::ACCEPTED)
    }

    async fn load(self, order: LoadOrder) {
        time::sleep(self.config.load).await;
        let mut state = self.lock();
        if let Some(loaded) = state.loaded.as_mut().filter(|loaded| loaded.order == order) {
            loaded.ready = true;
        }
    }

    fn generate(&self, order: Order) -> Option<Response<Body>> {
        let mut state = self.lock();
        let ready = state.loaded.as_ref().is_some_and(|loaded| loaded.takes(&order));
        if !ready {
            let body = json!({ "error": "not_ready", "ran": false });
            return Some(web::json(StatusCode::SERVICE_UNAVAILABLE, &body));
        }
        state.counts.started += 1;
        if !*self.complete.borrow() {
            state.counts.incomplete += 1;
        }
        if self.is_cold(&state) && state.running >= self.config.cold_limit {
            state.counts.overloads += 1;
            state.restart();
            return None;
        }
        state.forget_finished();
        let key = (order.request, order.attempt);
        let from = order.from;
        let prefill = self.prefill_time(&mut state, &order.prompt);
        let generation = Generation::new(order);
        state.streams.insert(key, generation.clone());
        state.running += 1;
        tokio::spawn(self.clone().run(key, generation.clone(), prefill));
        Some(web::streamed(generation.read(from)))
    }

    /// The time to prefill what is not cached of `prompt`.
    fn prefill_time(&self, state: &mut State, prompt: &str) -> Duration {
        let blocks = prefix::blocks(prompt);
        let hits = state.cache.take(&blocks);
        state.counts.cached += hits as u64;
        let missing = (blocks.len() - hits) as f64 / blocks.len().max(1) as f64;
        self.config.prefill.mul_f64(if blocks.is_empty() { 1.0 } else { missing })
    }

    async fn run(self, key: (u64, u64), generation: Arc<Generation>, prefill: Duration) {
        let turn = self.prefill.turn(generation.priority()).await;
        if generation.is_running() {
            time::sleep(prefill).await;
        }
        drop(turn);
        let speed = Speed { token: self.config.token };
        generation.run(speed, self.complete.subscribe()).await;
        let mut state = self.lock();
        let held = state.streams.get(&key).is_some_and(|held| Arc::ptr_eq(held, &generation));
        if held {
            state.running = state.running.saturating_sub(1);
            state.counts.finished += 1;
            state.finished_since_load += 1;
        }
    }

    fn resume(&self, key: (u64, u64), from: u64) -> Response<Body> {
        match self.lock().streams.get(&key) {
            Some(generation) => web::streamed(generation.clone().read(from)),
            None => web::empty(StatusCode::NOT_FOUND),
        }
    }

    fn cancel(&self, key: (u64, u64)) {
        let mut state = self.lock();
        if let Some(generation) = state.streams.remove(&key) {
            if generation.is_running() {
                state.counts.cancelled += 1;
                state.running = state.running.saturating_sub(1);
            }
            generation.lose();
        }
    }

    async fn publish_load(self) {
        loop {
            time::sleep(self.config.report_lag).await;
            let mut state = self.lock();
            state.reported_running = state.running;
        }
    }

    /// Stalls the streams of a replica while one of its instances is missing.
    async fn watch_members(self) {
        loop {
            time::sleep(MEMBER_CHECK_INTERVAL).await;
            let loaded = self.lock().loaded.clone();
            let complete = match loaded {
                Some(loaded) if loaded.ready && loaded.order.rank == 0 => {
                    members_hold(&loaded.order).await
                }
                _ => true,
            };
            self.complete.send_if_modified(|held| std::mem::replace(held, complete) != complete);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn unload(&mut self) {
        self.loaded = None;
        self.finished_since_load = 0;
        self.running = 0;
        for (_, generation) in self.streams.drain() {
            generation.lose();
        }
    }

    fn forget_finished(&mut self) {
        if self.streams.len() >= MAX_STREAMS {
            self.streams.retain(|_, generation| generation.is_running());
        }
    }

    fn restart(&mut self) {
        self.unload();
        self.cache.clear();
        self.process = new_process();
    }
}

fn new_process() -> u64 {
    rand::random_range(1..MAX_PROCESS)
}
