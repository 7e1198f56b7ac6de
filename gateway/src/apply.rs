//! Takes what the store said into what this entry knows, whoever passed it on.

use std::sync::Arc;

use decision::gateway::fleet::{Change, Instance};
use decision::gateway::route::Table;
use decision::prelude::*;

use crate::journal::Event;
use crate::port::{Changes, Entry, Item, Kind, Object};
use crate::state::Shared;

/// Takes a whole list, known to hold at `known`.
pub(crate) fn list<P>(
    shared: &Shared<P>,
    kind: Kind,
    revision: u64,
    known: Time,
    items: Vec<Item>,
) {
    tell_unreadable(shared, kind, &items);
    shared.mirror().list(kind, revision, known, &items);
    shared.mirrored.notify_waiters();
    let now = shared.now();
    let mut knowledge = shared.knowledge();
    match kind {
        Kind::Config => {
            knowledge.config_at = knowledge.config_at.max(Some(known));
            drop(knowledge);
            return items.into_iter().for_each(|it| configure(shared, it));
        }
        Kind::Instances => {
            knowledge.fleet_at = knowledge.fleet_at.max(Some(known));
            knowledge.fleet_since.get_or_insert(now);
            knowledge.fleet.list(now, items.into_iter().filter_map(instance));
        }
        Kind::Evacuations => knowledge.fleet.evacuate(items.into_iter().map(|it| it.name)),
        Kind::Entries => knowledge.entries = items.into_iter().filter_map(entry).collect(),
        Kind::Leases => return,
    }
    drop(knowledge);
    shared.refresh();
}

/// Takes changes, known to be all until `known`.
pub(crate) fn changes<P>(shared: &Shared<P>, kind: Kind, known: Time, changes: Changes) {
    tell_unreadable(shared, kind, &changes.put);
    shared.mirror().change(kind, known, &changes);
    let some = !changes.is_empty();
    if some {
        shared.mirrored.notify_waiters();
    }
    let now = shared.now();
    let mut knowledge = shared.knowledge();
    let Changes { put, gone, .. } = changes;
    match kind {
        Kind::Config => {
            knowledge.config_at = knowledge.config_at.max(Some(known));
            drop(knowledge);
            return put.into_iter().for_each(|it| configure(shared, it));
        }
        Kind::Instances => {
            knowledge.fleet_at = knowledge.fleet_at.max(Some(known));
            for item in put {
                let name = item.name.clone();
                let change = instance(item).map_or(Change::Gone(name), Change::Put);
                knowledge.fleet.change(now, change);
            }
            gone.into_iter().for_each(|it| knowledge.fleet.change(now, Change::Gone(it)));
        }
        Kind::Evacuations if some => {
            let mut out = knowledge.fleet.evacuated().clone();
            out.extend(put.into_iter().map(|it| it.name));
            out.retain(|it| !gone.contains(it));
            knowledge.fleet.evacuate(out);
        }
        Kind::Entries => {
            knowledge.entries.extend(put.into_iter().filter_map(entry));
            gone.iter().for_each(|it| drop(knowledge.entries.remove(it)));
        }
        Kind::Evacuations | Kind::Leases => return,
    }
    drop(knowledge);
    if some {
        shared.refresh();
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

fn instance(item: Item) -> Option<Instance> {
    match item.object {
        Object::Instance(instance) => Some(*instance),
        _ => None,
    }
}

fn entry(item: Item) -> Option<(Arc<str>, Entry)> {
    match item.object {
        Object::Entry(entry) => Some((item.name, entry)),
        _ => None,
    }
}
