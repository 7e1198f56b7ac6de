//! Entries that follow the cache events of stand-in engines.

#[path = "support/settings.rs"]
mod settings;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context as _, Result};
use bytes::Bytes;
use caller::request::{Generate, Meta};
use caller::{Event, Handler as _};
use decision::configuration::Configuration;
use decision::declaration::{Declaration, Set};
use decision::head::{Generation, Head};
use decision::name::Name;
use decision::order::{Action, Order};
use decision::prefix::BLOCK_BYTES;
use decision::report::State;
use decision::share::{Force, View};
use decision::target::{Epoch, Phase, Process, Target, Temperature};
use futures_util::StreamExt as _;
use peer::token::Token;
use rhubarblatchd::cache;
use rhubarblatchd::claims::{Alone, Claims};
use rhubarblatchd::dispatch::Dispatcher;
use rhubarblatchd::node::Node;
use serde_json::json;
use settings::settings;
use standin::engine::{self, Engine};
use store::client::Client;
use tokio::net::TcpListener;
use tokio::time;

/// Longest wait for events to arrive.
const PATIENCE: Duration = Duration::from_secs(30);

/// Blocks of a test's prompt.
const BLOCKS: usize = 4;

struct Entry {
    node: Arc<Node>,
    dispatcher: Dispatcher<Alone>,
}

async fn replica(name: &str, lose_every: u64) -> Result<(Engine, Target)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let load = Duration::ZERO;
    let cache = standin::cache::Settings { lag: Duration::ZERO, lose_every, ..Default::default() };
    let engine = Engine::new(engine::Config { cache, load, ..Default::default() });
    tokio::spawn(engine.clone().serve(listener));
    let order = Order {
        epoch: Epoch(1),
        action: Action::Load,
        replica: Name::new(name)?,
        model: Name::new("m")?,
        members: Vec::new(),
        rank: 0,
    };
    target::order::Client::new(Default::default()).send(address, &order).await?;
    while target::report::Client::new(Default::default()).get(address).await?.state != State::Ready
    {
        tokio::task::yield_now().await;
    }
    Ok((engine, target(name, address)?))
}

fn target(name: &str, address: SocketAddr) -> Result<Target> {
    Ok(Target {
        name: Name::new(name)?,
        service: Name::new("chat")?,
        failure_domain: Name::new("riga-a")?,
        address,
        process: Process(1),
        epoch: Epoch(1),
        temperature: Temperature::Warm,
        phase: Phase::Serving,
    })
}

fn entry(targets: &[&Target]) -> Result<Entry> {
    let nowhere: SocketAddr = "127.0.0.1:1".parse()?;
    let settings = settings("entry-1", nowhere)?;
    let store = Client::new(store::client::Settings {
        address: format!("http://{nowhere}"),
        ..Default::default()
    })?;
    let node = Node::new(settings, store, Token::new("peers")?);
    let declared: Vec<Declaration> = serde_json::from_value(json!([
        { "kind": "profile", "name": "interactive", "repeat": "idempotent" },
        { "kind": "service", "name": "chat", "profile": "interactive",
          "backend": { "type": "model", "model": "m", "replicas": 2, "instances": 1 } },
    ]))?;
    let set: Set = declared.into_iter().map(|it| (it.id(), it)).collect();
    let head = Head { generation: Generation(1), ..Head::default() };
    node.membership.apply(&node, &Arc::new(Configuration { head, set }));
    node.membership.read(node.now(), Generation(1));
    node.routing.with(|now, router| {
        let (members, generation) = (vec![Name::default()], Generation(1));
        router.roster(now, View { members, generation, force: Force::InForce, ..View::default() });
        router.targets(now, targets.iter().map(|it| (*it).clone()));
    });
    let routing = node.routing.clone();
    tokio::spawn(async move { routing.run().await });
    tokio::spawn(cache::run(node.clone()));
    let claims = Claims::new(node.clone(), Alone);
    Ok(Entry { node: node.clone(), dispatcher: Dispatcher::new(node, claims) })
}

impl Entry {
    /// Sends a prompt of its own blocks and reads the whole answer.
    async fn generate(&self, letter: &str) -> Result<()> {
        let meta = Meta {
            service: Name::new("chat")?,
            workspace: Name::default(),
            key: None,
            deadline: None,
            traceparent: None,
        };
        let prompt = letter.repeat(BLOCKS * BLOCK_BYTES);
        let request = Generate { meta, body: Bytes::new(), prompt, max_tokens: 1 };
        let events: Vec<Event> = self.dispatcher.generate(request).await?.collect().await;
        assert_eq!(events.last(), Some(&Event::End { tokens: 1 }));
        Ok(())
    }

    fn cached(&self) -> usize {
        self.node.routing.with(|now, router| router.status(now)[0].cached)
    }

    /// Waits until it knows other than `blocks` cached blocks.
    async fn learns(&self, blocks: usize) -> Result<usize> {
        let change = async {
            while self.cached() == blocks {
                time::sleep(Duration::from_millis(10)).await;
            }
        };
        time::timeout(PATIENCE, change).await.context("the known blocks do not change")?;
        Ok(self.cached())
    }
}

#[tokio::test]
async fn an_entry_finds_the_engine_that_another_entry_warmed() -> Result<()> {
    let (warm, one) = replica("chat-1", 0).await?;
    let (other, two) = replica("chat-2", 0).await?;
    let (first, second) = (entry(&[&one])?, entry(&[&one, &two])?);
    let prompts = ["a", "b", "c", "d", "e", "f", "g", "h"];
    for prompt in prompts {
        first.generate(prompt).await?;
    }
    while second.cached() < prompts.len() * BLOCKS {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    for prompt in prompts {
        second.generate(prompt).await?;
    }
    assert_eq!((warm.counts().started, other.counts().started), (16, 0));
    assert_eq!(warm.counts().cached, 32);
    Ok(())
}

#[tokio::test]
async fn a_gap_forgets_what_was_known_of_the_engine() -> Result<()> {
    let (_engine, target) = replica("chat-1", 5).await?;
    let (first, second) = (entry(&[&target])?, entry(&[&target])?);
    first.generate("a").await?;
    assert_eq!(second.learns(0).await?, BLOCKS);
    first.generate("b").await?;
    assert_eq!(second.learns(BLOCKS).await?, BLOCKS - 1, "the fifth event is lost");
    Ok(())
}

#[tokio::test]
async fn what_a_restarted_engine_held_is_forgotten() -> Result<()> {
    let (engine, target) = replica("chat-1", 0).await?;
    let (first, second) = (entry(&[&target])?, entry(&[&target])?);
    first.generate("a").await?;
    assert_eq!(second.learns(0).await?, BLOCKS);
    engine.restart();
    assert_eq!(second.learns(BLOCKS).await?, 0);
    Ok(())
}
