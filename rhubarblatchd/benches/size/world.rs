//! What surrounds the measured entry: a store, engines and other entries.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anyhow::{Context as _, Result};
use bytes::Bytes;
use decision::clock::Time;
use decision::declaration::Declaration;
use decision::election;
use decision::evidence::{self, Digest, Evidence, Verdict, View};
use decision::fabric::{Fabric, Holder, Layout, Lease, Member, Replica, State};
use decision::gossip::{self, Answer, Ask, Blob, Node, Question};
use decision::head::{self, Generation, Hash, Head, Incarnation, item_key};
use decision::name::Name;
use decision::target::{Epoch, Process, Temperature};
use http::Response;
use http_body_util::Full;
use peer::client::Client;
use peer::listener::{self, Handler, Listener, Refusal};
use peer::meter::Traffic;
use peer::token::Token;
use peer::{forward, wire};
use serde_json::{Value, json};
use standin::engine::{Config, Engine};
use standin::store::Store;
use store::{Kind, Store as _, Version};
use tokio::net::TcpListener;
use tokio::time::{self, Instant};
use tokio_util::sync::CancellationToken;

use crate::entry::{Entry, SECRET, call};

const FAILURE_DOMAINS: usize = 8;
const REPLICAS_PER_DOMAIN: usize = 8;
const DECLARATIONS: usize = 800;

const EXCHANGE: Duration = Duration::from_millis(250);
const STEPS: u32 = 10;
const RENEW: Duration = Duration::from_secs(3);

/// Age of the evidence that peers tell of, and how often they tell of each fabric domain.
const TOLD_AGE: Duration = Duration::from_millis(500);

/// The unit of the age of a count, in milliseconds.
const AGE_UNIT_MS: u128 = 16;

/// The world around one entry, which it ends with.
pub(crate) struct World {
    pub(crate) entry: Entry,
    others: Arc<Others>,
    traffic: Vec<Arc<Traffic>>,
}

/// The other entries.
struct Others {
    start: Instant,
    nodes: BTreeMap<Incarnation, Mutex<Node>>,
    head: Mutex<Head>,
    bodies: BTreeMap<Hash, Value>,
    /// What they all know of the fabric domains.
    evidence: Mutex<Evidence>,
    /// What probers tell of them. Empty: nothing.
    digests: Vec<Digest>,
}

/// One of the other entries.
struct Other {
    others: Arc<Others>,
    own: Incarnation,
}

impl World {
    /// Starts `entries` entries, one of them a process, and `domains` fabric domains. If `told`,
    /// the others tell the entry of every fabric domain once a second.
    pub(crate) async fn start(entries: usize, domains: usize, told: bool) -> Result<World> {
        let store = bind().await?;
        let platform = store.local_addr()?;
        tokio::spawn(Store::new().serve(store));
        let client = store::client::Client::new(store::client::Settings {
            address: format!("http://{platform}"),
            ..store::client::Settings::default()
        })?;

        let (mut roster, mut sockets) = (head::Roster::new(), Vec::new());
        for number in 1..entries {
            let socket = bind().await?;
            let member = head::Member {
                incarnation: Incarnation(number as u64),
                peer: socket.local_addr()?,
                failure_domain: failure_domain(number)?,
            };
            roster.insert(Name::new(format!("entry-{number:04}"))?, member);
            sockets.push((Incarnation(number as u64), socket));
        }
        let name = named(&roster)?;
        let mut ranked = roster.clone();
        ranked.insert(
            name.clone(),
            head::Member {
                incarnation: Incarnation(0),
                peer: platform,
                failure_domain: failure_domain(0)?,
            },
        );
        let mut fabrics = BTreeMap::new();
        for domain in 0..domains {
            let key = fabric(domain)?;
            let fabric = start_domain(platform, domain).await?;
            let owned = election::rank(&ranked, key.as_str(), &name) == 0;
            fabrics.insert(key, if owned { fabric } else { with_holder(fabric, &roster) });
        }
        for (name, fabric) in &fabrics {
            client.put(Kind::Fabric, name.as_str(), Version::ABSENT, fabric).await?;
        }
        let (items, bodies) = declare(&client, domains).await?;
        let generation = Generation(1);
        let head =
            Head { generation, roster, items, roster_generation: generation, ..Head::default() };
        client.put(Kind::Configuration, Kind::HEAD, Version::ABSENT, &head).await?;
        let mut evidence = Evidence::new(evidence::Settings::default());
        for (name, fabric) in &fabrics {
            evidence.learn(Time::ZERO, Time::ZERO, name, fabric);
        }
        let digests = if told {
            fabrics.iter().map(|(name, it)| digest(name, it)).collect()
        } else {
            Vec::new()
        };

        let nodes = sockets.iter().map(|(own, _)| {
            let mut node = Node::new(gossip::Settings::default(), *own, own.0);
            node.apply(Time::ZERO, &head);
            (*own, Mutex::new(node))
        });
        let others = Arc::new(Others {
            start: Instant::now(),
            nodes: nodes.collect(),
            head: Mutex::new(head),
            bodies,
            evidence: Mutex::new(evidence),
            digests,
        });
        let mut traffic = Vec::new();
        for (own, socket) in sockets {
            let other = Arc::new(Other { others: others.clone(), own });
            let listener = Listener::new(other, Token::new(SECRET)?, listener::Settings::default());
            traffic.push(listener.traffic());
            tokio::spawn(listener.serve(socket, CancellationToken::new()));
        }
        tokio::spawn(others.clone().run(Client::new(Token::new(SECRET)?, Default::default())));
        tokio::spawn(others.clone().follow(client.clone()));
        tokio::spawn(renew(client, fabrics));
        let entry = Entry::start(&name, &failure_domain(0)?, platform)?;
        Ok(World { entry, others, traffic })
    }

    /// Bytes of the questions to the other entries and of their answers.
    pub(crate) fn asked(&self) -> (u64, u64) {
        let sum = |count: fn(&Traffic) -> u64| self.traffic.iter().map(|it| count(it)).sum();
        (sum(Traffic::received), sum(Traffic::sent))
    }

    /// Whether the other entries are current.
    pub(crate) fn current(&self) -> usize {
        let others = &self.others;
        let current = |it: &&Mutex<Node>| lock(it).state().is_current(others.now());
        others.nodes.values().filter(current).count()
    }
}

impl Others {
    fn now(&self) -> Time {
        Time::ZERO + self.start.elapsed()
    }

    /// Lets every other entry ask its next partner once in every interval.
    async fn run(self: Arc<Self>, client: Client) {
        let mut ticks = time::interval(EXCHANGE / STEPS);
        let mut step = 0;
        loop {
            ticks.tick().await;
            for (position, node) in self.nodes.values().enumerate() {
                if position % STEPS as usize == step {
                    self.ask(node, &client).await;
                }
            }
            step = (step + 1) % STEPS as usize;
        }
    }

    async fn ask(&self, node: &Mutex<Node>, client: &Client) {
        let sent = self.now();
        let Some(partner) = lock(node).partner(sent) else { return };
        let question = lock(node).question();
        let reply = match self.nodes.get(&partner.incarnation) {
            Some(other) => lock(other).reply(sent, &question),
            None => match client.exchange(partner.address, &Ask::Beat(question)).await {
                Ok(Answer::Beat(reply)) => reply,
                _ => return,
            },
        };
        lock(node).learn(self.now(), sent, &reply);
    }

    /// Keeps the other entries at the newest head.
    async fn follow(self: Arc<Self>, store: store::client::Client) {
        let mut ticks = time::interval(EXCHANGE);
        loop {
            ticks.tick().await;
            let sent = self.now();
            let Ok(Some(read)) = store.get::<Head>(Kind::Configuration, Kind::HEAD).await else {
                continue;
            };
            for node in self.nodes.values() {
                let mut node = lock(node);
                node.apply(sent, &read.value);
                node.read(sent, read.value.generation);
            }
            *self.head.lock().unwrap_or_else(PoisonError::into_inner) = read.value;
        }
    }

    /// What the others know of the fabric domains, from probes of this moment.
    fn view(&self, question: &Question) -> View {
        let now = self.now();
        let mut evidence = self.evidence.lock().unwrap_or_else(PoisonError::into_inner);
        evidence.confirm(now);
        for digest in &self.digests {
            evidence.hear(now, digest);
        }
        if self.digests.is_empty() {
            View::default()
        } else {
            evidence.view(now, question.wants_digests)
        }
    }
}

impl Handler for Other {
    type Stream = Full<Bytes>;

    async fn exchange(&self, ask: Ask) -> Answer {
        let others = &self.others;
        match ask {
            Ask::Beat(question) => {
                let Some(node) = others.nodes.get(&self.own) else { return Answer::Join(false) };
                let view = others.view(&question);
                Answer::Beat(lock(node).reply_with(others.now(), &question, view))
            }
            Ask::Head(held) => {
                let head = others.head.lock().unwrap_or_else(PoisonError::into_inner).clone();
                Answer::Head((head.generation > held).then_some(head))
            }
            Ask::Bodies(hashes) => {
                let found = hashes.iter().filter_map(|it| others.bodies.get(it));
                Answer::Bodies(found.map(|it| Blob(it.to_string().into_bytes())).collect())
            }
            Ask::Join(_) => Answer::Join(false),
        }
    }

    async fn claim(&self, _frame: Bytes) -> Result<wire::Frame, Refusal> {
        Err(Refusal::Unavailable)
    }

    async fn forward(&self, _request: forward::Request) -> Response<Self::Stream> {
        Response::new(Full::default())
    }
}

fn lock(node: &Mutex<Node>) -> MutexGuard<'_, Node> {
    node.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn bind() -> Result<TcpListener> {
    Ok(TcpListener::bind("127.0.0.1:0").await?)
}

fn failure_domain(number: usize) -> Result<Name> {
    Ok(Name::new(format!("zone-{}", number % FAILURE_DOMAINS))?)
}

fn fabric(domain: usize) -> Result<Name> {
    Ok(Name::new(format!("fabric-{domain}"))?)
}

/// A name under which the entry is the first in the ranking for the first fabric domain.
fn named(roster: &head::Roster) -> Result<Name> {
    let key = fabric(0)?;
    for number in 0.. {
        let name = Name::new(format!("measured-{number}"))?;
        let best = election::ranking(roster, key.as_str());
        let mut with = roster.clone();
        let Some(member) = best.first().and_then(|it| roster.get(*it)) else { return Ok(name) };
        with.insert(name.clone(), member.clone());
        if election::rank(&with, key.as_str(), &name) == 0 {
            return Ok(name);
        }
    }
    anyhow::bail!("no name")
}

/// Starts the engines of a fabric domain, each loaded as a replica of its own.
async fn start_domain(store: SocketAddr, domain: usize) -> Result<Fabric> {
    let mut fabric = Fabric { layout: Layout(1), ..Fabric::default() };
    for number in 0..REPLICAS_PER_DOMAIN {
        let instance = format!("instance-{domain}-{number}");
        let engine = Engine::new(Config {
            instance: instance.clone(),
            failure_domain: failure_domain(domain)?.to_string(),
            fabric_domain: self::fabric(domain)?.to_string(),
            warm_after: 0,
            ..Config::default()
        });
        let socket = bind().await?;
        let address = socket.local_addr()?;
        tokio::spawn(engine.clone().serve(socket));
        engine.register(store, address).await?;
        let replica = format!("service-{domain}-{number}");
        let order = json!({
            "epoch": 1, "action": "load", "replica": replica, "model": "m", "rank": 0,
            "members": [{ "instance": instance, "address": address }],
        });
        call(address, "POST", "/orders", order.to_string()).await?;
        let report: Value =
            serde_json::from_str(&call(address, "GET", "/report", String::new()).await?)?;
        let process = Process(report["process"].as_u64().context("no process")?);
        let replica = (
            Name::new(replica)?,
            Replica {
                service: Name::new(format!("service-{domain}"))?,
                model: Name::new("m")?,
                failure_domain: failure_domain(domain)?,
                state: State::Warm,
                epoch: Epoch(1),
                members: vec![Member { instance: Name::new(instance)?, address, process }],
            },
        );
        fabric.replicas.extend([replica]);
    }
    Ok(fabric)
}

/// The lease of a fabric domain that another entry owns.
fn with_holder(fabric: Fabric, roster: &head::Roster) -> Fabric {
    let holder = roster.first_key_value();
    let holder =
        holder.map(|(name, it)| Holder { entry: name.clone(), incarnation: it.incarnation });
    Fabric { lease: Lease { holder, epoch: Epoch(1), renewal: 1 }, ..fabric }
}

/// Renews the leases that the others hold.
async fn renew(store: store::client::Client, mut fabrics: BTreeMap<Name, Fabric>) {
    fabrics.retain(|_, it| it.lease.holder.is_some());
    loop {
        for (name, fabric) in &mut fabrics {
            fabric.lease.renewal += 1;
            let read = store.get::<Fabric>(Kind::Fabric, name.as_str()).await;
            let Ok(Some(read)) = read else { continue };
            drop(store.put(Kind::Fabric, name.as_str(), read.version, fabric).await);
        }
        time::sleep(RENEW).await;
    }
}

/// What a prober tells of a fabric domain that is whole.
fn digest(name: &Name, fabric: &Fabric) -> Digest {
    let now = Time::ZERO + TOLD_AGE;
    let whole = Verdict::Whole { at: Time::ZERO, temperature: Temperature::Warm };
    let verdicts = fabric.replicas.values().map(|_| whole.encode(now)).collect();
    let alive = fabric.replicas.len() as u16;
    let age = TOLD_AGE.as_millis().div_ceil(AGE_UNIT_MS) as u8;
    Digest { fabric: name.clone(), layout: fabric.layout, alive, age, verdicts }
}

/// Writes one service for each fabric domain, and workspaces up to the number of declarations.
async fn declare(
    store: &store::client::Client,
    domains: usize,
) -> Result<(BTreeMap<String, Hash>, BTreeMap<Hash, Value>)> {
    let mut declared = vec![json!({ "kind": "profile", "name": "assistant" })];
    declared.extend(
        (0..FAILURE_DOMAINS)
            .map(|it| json!({ "kind": "failure_domain", "name": format!("zone-{it}") })),
    );
    declared.extend((0..domains).map(|domain| json!({
        "kind": "service", "name": format!("service-{domain}"), "profile": "assistant",
        "backend": { "type": "model", "model": "m", "replicas": REPLICAS_PER_DOMAIN, "instances": 1 },
    })));
    let rest = DECLARATIONS - declared.len();
    declared.extend(
        (0..rest).map(
            |it| json!({ "kind": "workspace", "name": format!("workspace-{it}"), "weight": 1 }),
        ),
    );
    let (mut items, mut bodies) = (BTreeMap::new(), BTreeMap::new());
    for body in declared {
        let declaration: Declaration = serde_json::from_value(body)?;
        let hash = Hash::of(&declaration)?;
        let body = serde_json::to_value(&declaration)?;
        store.put(Kind::Declaration, hash.as_str(), Version::ABSENT, &body).await?;
        items.insert(item_key(&declaration.id()), hash.clone());
        bodies.insert(hash, body);
    }
    Ok((items, bodies))
}
