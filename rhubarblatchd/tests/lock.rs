//! A configuration lets a queued request go without locking the entry up.

#![cfg(test)]

#[path = "support/settings.rs"]
mod settings;

use std::sync::{Arc, mpsc};
use std::time::Duration;

use anyhow::Result;
use decision::configuration::Configuration;
use decision::declaration::Declaration;
use decision::head::{Generation, Head};
use decision::name::Name;
use decision::request::Request;
use decision::share::{Force, Start, View};
use decision::target::{Epoch, Phase, Process, Target, Temperature};
use peer::token::Token;
use rhubarblatchd::node::Node;
use rhubarblatchd::routing::Route;
use serde_json::json;
use settings::settings;
use store::client::{self, Client};

/// Time after which a step that takes microseconds counts as locked up.
const LOCKED_UP: Duration = Duration::from_secs(30);

fn node() -> Result<Arc<Node>> {
    let settings = settings("entry-1", "127.0.0.1:0".parse()?)?;
    Ok(Node::new(settings, Client::new(client::Settings::default())?, Token::new("peers")?))
}

/// A cold target that bears `cold_limit` requests.
fn configuration(generation: u64, cold_limit: u32) -> Result<Arc<Configuration>> {
    let declared: Vec<Declaration> = serde_json::from_value(json!([
        { "kind": "profile", "name": "assistant", "cold_limit": cold_limit },
        { "kind": "service", "name": "chat", "profile": "assistant",
          "backend": { "type": "model", "model": "m", "replicas": 1, "instances": 1 } },
    ]))?;
    let head = Head { generation: Generation(generation), ..Head::default() };
    let set = declared.into_iter().map(|it| (it.id(), it)).collect();
    Ok(Arc::new(Configuration { head, set }))
}

fn target() -> Result<Target> {
    Ok(Target {
        name: Name::new("chat-1")?,
        service: Name::new("chat")?,
        failure_domain: Name::new("riga-a")?,
        address: "127.0.0.1:1".parse()?,
        process: Process(1),
        epoch: Epoch(1),
        temperature: Temperature::Cold,
        phase: Phase::Serving,
    })
}

fn alone() -> View {
    View {
        own: Name::default(),
        members: vec![Name::default()],
        generation: Generation(1),
        previous: Vec::new(),
        force: Force::InForce,
        start: Start::First,
    }
}

#[tokio::test]
async fn a_configuration_lets_a_queued_request_go() -> Result<()> {
    let node = node()?;
    node.membership.apply(&node, &configuration(1, 1)?);
    node.membership.read(node.now(), Generation(1));
    let target = target()?;
    node.routing.with(|now, router| {
        router.roster(now, alone());
        router.targets(now, [target]);
    });
    let request = Request { service: Name::new("chat")?, ..Request::default() };
    let (_first, _) = node.routing.admit(request.clone()).await?;
    let routing = node.routing.clone();
    let queued = tokio::spawn(async move { routing.admit(request).await });
    tokio::task::yield_now().await;
    assert!(!queued.is_finished());

    let (done, applied) = mpsc::channel();
    let (apart, next) = (node.clone(), configuration(2, 2)?);
    std::thread::spawn(move || {
        apart.membership.apply(&apart, &next);
        done.send(())
    });
    if applied.recv_timeout(LOCKED_UP).is_err() {
        // The end of the test would wait for the same lock.
        eprintln!("the entry is locked up");
        std::process::abort();
    }
    let (_second, route) = queued.await??;
    assert!(matches!(route, Route::Target { permit: Ok(_), .. }), "{route:?}");
    Ok(())
}
