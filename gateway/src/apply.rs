//! Takes what the store said into what this entry knows, whoever passed it on.

use std::sync::Arc;

use decision::gateway::fleet::Change;
use decision::gateway::route::Table;
use decision::prelude::*;

use crate::journal::Event;
use crate::mirror::{Mirror, Outdated};
use crate::port::{Changes, Entry, Item, Kind, Object};
use crate::state::{Knowledge, Shared};

/// Takes a whole list, known to hold at `known`.
pub(crate) fn list<P>(shared: &Shared<P>, kind: Kind, revision: u64, known: Time, items: &[Item]) {
    let mut mirror = shared.mirror();
    match mirror.list(kind, revision, known, items) {
        Ok(news) => take(shared, &mirror, kind, news),
        Err(outdated) => tell_outdated(shared, kind, outdated),
    }
    drop(mirror);
    shared.mirrored.notify_waiters();
}

/// Takes changes, known to be all until `known`.
pub(crate) fn changes<P>(shared: &Shared<P>, kind: Kind, known: Time, changes: &Changes) {
    let mut mirror = shared.mirror();
    match mirror.change(kind, known, changes) {
        Ok(news) => take(shared, &mirror, kind, news),
        Err(_) if changes.is_empty() => {}
        Err(outdated) => tell_outdated(shared, kind, outdated),
    }
}

/// Takes what is new of a kind. All that this entry knows of the store, and since when, comes from
/// the mirror, so that the two can't disagree.
fn take<P>(shared: &Shared<P>, mirror: &Mirror, kind: Kind, news: Changes) {
    let mut knowledge = shared.knowledge();
    confirm(&mut knowledge, mirror, kind, shared.now());
    if news.is_empty() {
        return;
    }
    tell_unreadable(shared, kind, &news.put);
    match kind {
        Kind::Config => {
            drop(knowledge);
            return news.put.into_iter().for_each(|it| configure(shared, it));
        }
        Kind::Instances => {
            let changes = news.put.into_iter().map(instance);
            let changes = changes.chain(news.gone.into_iter().map(Change::Gone));
            changes.for_each(|it| knowledge.fleet.change(shared.now(), it));
        }
        Kind::Evacuations => knowledge.fleet.evacuate(mirror.items(kind).map(|it| it.name.clone())),
        Kind::Entries => knowledge.entries = mirror.items(kind).filter_map(entry).collect(),
        Kind::Leases => return,
    }
    drop(knowledge);
    shared.mirrored.notify_waiters();
    shared.refresh();
}

fn confirm(knowledge: &mut Knowledge, mirror: &Mirror, kind: Kind, now: Time) {
    let Some(known) = mirror.known(kind) else { return };
    match kind {
        Kind::Config => knowledge.config_at = Some(known),
        Kind::Instances => {
            knowledge.fleet_at = Some(known);
            knowledge.fleet_since.get_or_insert(now);
        }
        Kind::Evacuations | Kind::Entries | Kind::Leases => {}
    }
}

/// Takes a configuration, unless a later one is in force.
fn configure<P>(shared: &Shared<P>, item: Item) {
    let Object::Config(config) = item.object else { return };
    let mut knowledge = shared.knowledge();
    if config.version <= knowledge.table.version() {
        return;
    }
    knowledge.table = Arc::new(Table::new(&config));
    drop(knowledge);
    shared.journal.note(&Event::Configured {
        version: config.version,
        routes: config.routes.len(),
        workspaces: config.workspaces.len(),
    });
    shared.refresh();
}

fn tell_unreadable<P>(shared: &Shared<P>, kind: Kind, items: &[Item]) {
    let unreadable = items.iter().filter(|it| matches!(it.object, Object::Unreadable));
    let count = unreadable.count();
    if count > 0 {
        shared.journal.note(&Event::Unreadable { kind, count });
    }
}

fn tell_outdated<P>(shared: &Shared<P>, kind: Kind, outdated: Outdated) {
    let Outdated { told, known } = outdated;
    shared.journal.note(&Event::Outdated { kind, told, known });
    let labels = format!("kind=\"{}\"", label(kind));
    shared.metrics.count("rhubarblatch_outdated_total", &labels);
}

fn label(kind: Kind) -> &'static str {
    match kind {
        Kind::Config => "config",
        Kind::Evacuations => "evacuations",
        Kind::Instances => "instances",
        Kind::Entries => "entries",
        Kind::Leases => "leases",
    }
}

/// An instance that can't be read names nothing to use.
fn instance(item: Item) -> Change {
    match item.object {
        Object::Instance(instance) => Change::Put(*instance),
        _ => Change::Gone(item.name),
    }
}

fn entry(item: &Item) -> Option<(Arc<str>, Entry)> {
    match &item.object {
        Object::Entry(entry) => Some((item.name.clone(), entry.clone())),
        _ => None,
    }
}
