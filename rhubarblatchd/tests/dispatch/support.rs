//! Entries in this process, over stand-ins.

use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::Result;
use bytes::Bytes;
use caller::request::{Call, Generate, Meta};
use caller::{Answer, Event, Handler as _, Refusal};
use decision::configuration::Configuration;
use decision::declaration::{Declaration, Set};
use decision::head::{Generation, Head};
use decision::name::Name;
use decision::share::{Force, Start, View};
use decision::target::{Epoch, Phase, Process, Target, Temperature};
use futures_util::Stream;
use peer::token::Token;
use rhubarblatchd::claims::{Alone, Claims};
use rhubarblatchd::dispatch::Dispatcher;
use rhubarblatchd::node::Node;
use serde_json::json;
use standin::engine::{self, Engine};
use standin::plain::Plain;
use standin::store::Store;
use store::client::Client;
use tokio::net::TcpListener;

use crate::settings::settings;

/// One entry that routes to the given targets.
pub(crate) struct Entry {
    pub(crate) node: Arc<Node>,
    pub(crate) dispatcher: Arc<Dispatcher<Alone>>,
}

pub(crate) async fn bind() -> Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

pub(crate) async fn store() -> Result<(Store, SocketAddr)> {
    let (listener, address) = bind().await?;
    let store = Store::new();
    tokio::spawn(store.clone().serve(listener));
    Ok((store, address))
}

pub(crate) async fn plain() -> Result<(Plain, Target)> {
    let (listener, address) = bind().await?;
    let plain = Plain::new();
    tokio::spawn(plain.clone().serve(listener));
    Ok((plain, target("fees-1", "fees", address)?))
}

/// An engine that alone forms the replica `name`.
pub(crate) async fn replica(name: &str) -> Result<(Engine, Target)> {
    let (listener, address) = bind().await?;
    let engine = Engine::new(engine::Config { cold_limit: 16, ..engine::Config::default() });
    tokio::spawn(engine.clone().serve(listener));
    let order = json!({
        "epoch": 1, "action": "load", "replica": name, "model": "m", "rank": 0,
        "members": [{ "instance": "instance", "address": address }],
    });
    let client = target::call::Client::new(&target::Settings::default());
    let call = target::call::Call {
        method: http::Method::POST,
        path: "/orders".to_owned(),
        headers: http::HeaderMap::new(),
        body: order.to_string().into(),
    };
    client.call(address, call, target::connection::Open).await?;
    tokio::time::sleep(engine::Config::default().load * 2).await;
    Ok((engine, target(name, "chat", address)?))
}

pub(crate) fn target(name: &str, service: &str, address: SocketAddr) -> Result<Target> {
    Ok(Target {
        name: Name::new(name)?,
        service: Name::new(service)?,
        failure_domain: Name::new("riga-a")?,
        address,
        process: Process(1),
        epoch: Epoch(1),
        temperature: Temperature::Warm,
        phase: Phase::Serving,
    })
}

pub(crate) fn declarations() -> Result<Set> {
    let declared: Vec<Declaration> = serde_json::from_value(json!([
        { "kind": "profile", "name": "payment", "repeat": "once_with_key", "body_bytes": 64 },
        { "kind": "profile", "name": "assistant" },
        { "kind": "service", "name": "fees", "profile": "payment",
          "backend": { "type": "plain", "targets": [] } },
        { "kind": "service", "name": "chat", "profile": "assistant",
          "backend": { "type": "model", "model": "m", "replicas": 2, "instances": 1 } },
    ]))?;
    Ok(declared.into_iter().map(|it| (it.id(), it)).collect())
}

/// An entry alone, which holds every slot.
pub(crate) fn entry(store: SocketAddr, targets: &[Target]) -> Result<Entry> {
    let node = node("entry-1", store)?;
    let own = Name::default();
    let entry =
        Entry::new(&node, Head::default(), declarations()?, view(&own, std::slice::from_ref(&own)));
    entry.list(targets);
    Ok(entry)
}

pub(crate) fn node(name: &str, store: SocketAddr) -> Result<Arc<Node>> {
    let settings = settings(name, store)?;
    let store = Client::new(store::client::Settings {
        address: format!("http://{store}"),
        timeout_ms: 200,
        ..store::client::Settings::default()
    })?;
    Ok(Node::new(settings, store, Token::new("peers")?))
}

/// The roster of `members` in force, as `own` sees it.
pub(crate) fn view(own: &Name, members: &[Name]) -> View {
    View {
        members: members.to_vec(),
        own: own.clone(),
        generation: Generation(1),
        previous: Vec::new(),
        force: Force::InForce,
        start: Start::First,
    }
}

pub(crate) fn meta(service: &str, key: Option<&str>) -> Result<Meta> {
    Ok(Meta {
        service: Name::new(service)?,
        workspace: Name::default(),
        key: key.map(str::to_owned),
        deadline: None,
        traceparent: None,
    })
}

impl Entry {
    /// An entry that acts on the given configuration and roster.
    pub(crate) fn new(node: &Arc<Node>, head: Head, set: Set, view: View) -> Entry {
        let head = Head { generation: Generation(1), ..head };
        let generation = head.generation;
        // The evidence of one read is enough for an entry alone; the router gets its own view.
        let alone = Head { generation, ..Head::default() };
        node.membership.apply(node, &Arc::new(Configuration { head: alone, set: set.clone() }));
        node.membership.read(node.now(), generation);
        node.configuration.store(Arc::new(Configuration { head, set }));
        node.routing.with(|now, router| router.roster(now, view));
        let routing = node.routing.clone();
        tokio::spawn(async move { routing.run().await });
        let claims = Claims::new(node.clone(), Alone);
        Entry { node: node.clone(), dispatcher: Arc::new(Dispatcher::new(node.clone(), claims)) }
    }

    /// From now on the entry knows these targets.
    pub(crate) fn list(&self, targets: &[Target]) {
        self.node.routing.with(|now, router| router.targets(now, targets.to_vec()));
    }

    pub(crate) async fn pay(
        &self,
        key: Option<&str>,
        body: &'static str,
    ) -> Result<Result<Answer, Refusal>> {
        let call = Call {
            meta: meta("fees", key)?,
            method: http::Method::POST,
            path: "/pay".to_owned(),
            content_type: None,
            body: Bytes::from_static(body.as_bytes()),
        };
        Ok(self.dispatcher.call(call).await)
    }

    pub(crate) async fn generate(
        &self,
        max_tokens: u64,
    ) -> Result<impl Stream<Item = Event> + Unpin> {
        let prompt = "one two three".to_owned();
        let body = json!({ "prompt": prompt, "max_tokens": max_tokens }).to_string().into();
        let request = Generate { meta: meta("chat", None)?, body, prompt, max_tokens };
        Ok(self.dispatcher.generate(request).await?)
    }
}

/// Waits for a state that must come.
pub(crate) async fn until(mut holds: impl FnMut() -> bool) {
    while !holds() {
        tokio::task::yield_now().await;
    }
}
