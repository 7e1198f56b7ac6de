//! What the entry does for operators.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use decision::configuration::Source;
use decision::declaration::{self, Backend, Declaration};
use decision::name::Name;
use decision::service;
use decision::target::{Phase, Temperature};
use operator::change::{Applied, Change, Configuration};
use operator::entry::{Entries, Entry, Forget};
use operator::status::{Explanation, Fact, Service, Status};
use operator::writer::{self, Writer};
use operator::{Handler, Refusal};
use store::client::Client;

use crate::control::Control;
use crate::node::Node;
use crate::telemetry::Telemeter;

/// Windows of the freshness rule without a word after which an entry may be forgotten.
const LOST_WINDOWS: u64 = 3;

/// Answers operators.
#[derive(Clone)]
pub struct Operators {
    node: Arc<Node>,
    control: Arc<Control>,
    writer: Writer<Client>,
    telemeter: Telemeter,
}

impl Operators {
    /// Answers on behalf of `node`.
    pub fn new(node: Arc<Node>, control: Arc<Control>, telemeter: Telemeter) -> Operators {
        let writer = Writer::new(node.store.clone(), writer::Settings::default());
        Operators { node, control, writer, telemeter }
    }
}

impl Handler for Operators {
    async fn configuration(&self) -> Result<Configuration, Refusal> {
        self.writer.configuration().await
    }

    async fn change(&self, change: Change) -> Result<Applied, Refusal> {
        let applied = self.writer.change(&change).await?;
        self.node.follower.heard(Source::Store, applied.generation);
        Ok(applied)
    }

    async fn entries(&self) -> Entries {
        let head = &self.node.configuration.load().head;
        let silences = self.node.membership.silences(self.node.now());
        let listed = head.roster.keys().chain(head.previous.keys()).collect::<BTreeSet<_>>();
        let entry = |name: &Name| Entry {
            name: name.clone(),
            incarnation: head.roster.get(name).map(|it| it.incarnation),
            silent_ms: silences.get(name).map(|it| milliseconds(*it)),
        };
        let entries = listed.into_iter().map(entry).collect();
        Entries { generation: head.generation, entries }
    }

    async fn forget(&self, forget: Forget) -> Result<Applied, Refusal> {
        let least_ms = LOST_WINDOWS * self.node.settings.timing.freshness_ms;
        if !forget.force {
            let mut heard = self.entries().await.entries;
            heard.retain(|it| {
                let is_heard = it.silent_ms.is_some_and(|silent_ms| silent_ms < least_ms);
                is_heard && forget.entries.contains_key(&it.name)
            });
            if !heard.is_empty() {
                return Err(Refusal::Heard { entries: heard, least_ms });
            }
        }
        let applied = self.writer.forget(&forget, self.node.membership.in_force()).await?;
        log::warn!("an operator states that these entries are lost: {:?}", forget.names());
        self.node.follower.heard(Source::Store, applied.generation);
        Ok(applied)
    }

    async fn status(&self) -> Status {
        let node = &self.node;
        let configuration = node.configuration.load();
        let known = node.routing.with(|now, router| router.status(now));
        let services = configuration.set.values().filter_map(|declaration| match declaration {
            Declaration::Service(service) => {
                let known = known.iter().find(|it| it.service == service.name);
                Some(summary(service, known))
            }
            _ => None,
        });
        let overview = node.membership.overview();
        Status {
            entry: node.settings.name.clone(),
            failure_domain: node.settings.failure_domain.clone(),
            current: node.is_ready(),
            generation: overview.generation,
            in_force: overview.in_force,
            confirmed: overview.confirmed,
            unconfirmed: overview.unconfirmed,
            failure_domains: self.control.failure_domains(),
            services: services.collect(),
        }
    }

    async fn explain(&self, kind: &str, name: &str) -> Result<Explanation, Refusal> {
        let subject = format!("{kind}/{name}");
        let found = self.control.facts(kind, name);
        let configuration = self.node.configuration.load();
        let declared = configuration.head.items.contains_key(&subject);
        if !declared && found.is_none() {
            return Err(Refusal::Absent { path: subject });
        }
        let mut facts = found.unwrap_or_default();
        if declared {
            let text = format!("declared in generation {}", configuration.head.generation);
            facts.push(Fact { about: subject.clone(), text, age_ms: None });
        }
        Ok(Explanation { subject, facts })
    }

    fn metrics(&self) -> String {
        self.telemeter.page().unwrap_or_default()
    }

    fn is_ready(&self) -> bool {
        self.node.is_ready()
    }
}

fn summary(declared: &declaration::Service, known: Option<&service::Status>) -> Service {
    let targets = known.map(|it| it.targets.as_slice()).unwrap_or_default();
    let serving = || targets.iter().filter(|it| it.phase == Phase::Serving);
    let cold = serving().filter(|it| it.temperature == Temperature::Cold);
    Service {
        name: declared.name.clone(),
        profile: declared.profile.clone(),
        wanted: wanted(&declared.backend),
        serving: count(serving().count()),
        cold: count(cold.count()),
        draining: count(targets.len() - serving().count()),
        queued: count(known.map_or(0, |it| it.queued)),
        running: targets.iter().map(|it| it.running).sum(),
    }
}

fn milliseconds(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

fn wanted(backend: &Backend) -> u32 {
    match backend {
        Backend::Model { replicas, .. } => *replicas,
        Backend::Plain { targets } => u32::try_from(targets.len()).unwrap_or(u32::MAX),
    }
}
