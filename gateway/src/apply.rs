//! Applies lists and changes of the store's objects to the state of this entry, whether they come
//! from the store or from a peer.

use std::sync::Arc;

use decision::gateway::fleet::Change;
use decision::gateway::route::Table;
use decision::prelude::*;

use crate::journal::Event;
use crate::mirror::{Mirror, Outdated};
use crate::port::{Changes, Entry, Item, Kind, Object};
use crate::state::{Knowledge, Shared};

/// Applies a complete list of the objects of a kind, which was up to date at `known`.
pub(crate) fn list<P>(shared: &Shared<P>, kind: Kind, revision: u64, known: Time, items: &[Item]) {
    let mut mirror = shared.mirror();
    match mirror.list(kind, revision, known, items) {
        Ok(news) => take(shared, &mirror, kind, news),
        Err(outdated) => tell_outdated(shared, kind, outdated),
    }
    drop(mirror);
    shared.mirrored.notify_waiters();
}

/// Applies changes of the objects of a kind, which were complete at `known`.
pub(crate) fn changes<P>(shared: &Shared<P>, kind: Kind, known: Time, changes: &Changes) {
    let mut mirror = shared.mirror();
    match mirror.change(kind, known, changes) {
        Ok(news) => take(shared, &mirror, kind, news),
        Err(_) if changes.is_empty() => {}
        Err(outdated) => tell_outdated(shared, kind, outdated),
    }
}

/// Applies what is new of a kind. The objects and the times of their confirmation both come from
/// the mirror, so that they can't disagree.
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
            changes.for_each(|it| knowledge.fleet.apply(shared.now(), it));
        }
        Kind::Evacuations => {
            knowledge.fleet.set_evacuated(mirror.items(kind).map(|it| it.name.clone()))
        }
        Kind::Entries => knowledge.entries = mirror.items(kind).filter_map(entry).collect(),
        Kind::Leases => return,
    }
    drop(knowledge);
    shared.mirrored.notify_waiters();
    shared.refresh();
}

/// Copies the time at which a kind was last known to be up to date.
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

/// Puts a configuration in force, unless one of the same or a later version is.
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

/// Returns the change of the fleet for an object. An instance that can't be read counts as gone.
fn instance(item: Item) -> Change {
    match item.object {
        Object::Instance(instance) => Change::Put(*instance),
        _ => Change::Gone(item.name),
    }
}

/// Returns an entry with its name, if the object can be read.
fn entry(item: &Item) -> Option<(Arc<str>, Entry)> {
    match &item.object {
        Object::Entry(entry) => Some((item.name.clone(), entry.clone())),
        _ => None,
    }
}
