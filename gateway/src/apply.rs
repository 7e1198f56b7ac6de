//! Applies lists and changes of the store's objects to the state of this entry, whether they come
//! from the store or from a peer.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use decision::gateway::era::{Era, Version};
use decision::gateway::fleet::Change;
use decision::gateway::route::Table;
use decision::prelude::*;

use crate::journal::Event;
use crate::mirror::{Held, Mirror, Outdated};
use crate::port::{Changes, Entry, Item, Kind, Object};
use crate::quarantine;
use crate::state::{Knowledge, Shared};

/// Applies a complete list of the objects of a kind, which was up to date at `confirmed_at`.
pub(crate) fn list<P>(
    shared: &Shared<P>,
    kind: Kind,
    version: Version,
    confirmed_at: Time,
    items: &[Item],
) {
    let mut mirror = shared.mirror();
    let before = mirror.version(kind);
    let is_restored = before.era < version.era && mirror.confirmed_at(kind).is_some();
    match mirror.apply_list(kind, version, confirmed_at, items, shared.hold_until()) {
        Ok(new_changes) => {
            if is_restored {
                report_held(shared, kind, version, before, mirror.held_count(kind));
            }
            apply(shared, &mirror, kind, new_changes);
        }
        Err(outdated) => report_outdated(shared, kind, outdated),
    }
    drop(mirror);
    shared.mirror_changed.notify_waiters();
}

/// Applies changes of the objects of a kind, which were complete at `confirmed_at`.
pub(crate) fn changes<P>(
    shared: &Shared<P>,
    kind: Kind,
    era: Era,
    confirmed_at: Time,
    changes: &Changes,
) {
    let mut mirror = shared.mirror();
    match mirror.apply_changes(kind, era, confirmed_at, changes) {
        Ok(new_changes) => apply(shared, &mirror, kind, new_changes),
        Err(_) if changes.is_empty() => {}
        Err(outdated) => report_outdated(shared, kind, outdated),
    }
}

/// Holds objects that peers know better than the store.
pub(crate) fn adopt<P>(shared: &Shared<P>, held: Held) -> bool {
    let kind = held.kind;
    let mut mirror = shared.mirror();
    let new_changes = mirror.adopt(shared.now(), held, shared.hold_until());
    let is_new = !new_changes.is_empty();
    apply(shared, &mirror, kind, new_changes);
    is_new
}

/// Puts the stored states of objects in force whose holds have expired.
pub(crate) fn expire_holds<P>(shared: &Shared<P>) {
    let mut mirror = shared.mirror();
    for (kind, new_changes) in mirror.expire_holds(shared.now()) {
        let objects = new_changes.put.len() + new_changes.gone.len();
        shared.journal.note(&Event::HoldExpired { kind, objects });
        let labels = format!("kind=\"{}\"", label(kind));
        shared.metrics.add("rhubarblatch_holds_expired_total", &labels, objects as u64);
        apply(shared, &mirror, kind, new_changes);
    }
}

/// Applies what is new of a kind. The objects and the times of their confirmation both come from
/// the mirror, so that they can't disagree.
fn apply<P>(shared: &Shared<P>, mirror: &Mirror, kind: Kind, new_changes: Changes) {
    let mut knowledge = shared.knowledge();
    copy_confirmation(&mut knowledge, mirror, kind, shared.now());
    if kind == Kind::Config {
        shared.is_config_untaken.store(false, Ordering::Relaxed);
        // All kinds are read from the same source, and this one is confirmed most often.
        shared.retries.record_confirmation(mirror.confirmed_at(kind));
    }
    if new_changes.is_empty() {
        return;
    }
    report_unreadable(shared, kind, &new_changes.put);
    match kind {
        Kind::Config => {
            drop(knowledge);
            let era = mirror.version(kind).era;
            return new_changes.put.into_iter().for_each(|it| apply_config(shared, era, it));
        }
        Kind::Instances => {
            let changes = new_changes.put.into_iter().map(instance_change);
            let changes = changes.chain(new_changes.gone.into_iter().map(Change::Gone));
            changes.for_each(|it| knowledge.fleet.apply(shared.now(), it));
        }
        Kind::Evacuations => {
            knowledge.fleet.set_evacuated(mirror.items(kind).map(|it| it.name.clone()))
        }
        Kind::Entries => {
            knowledge.entries = mirror.items(kind).filter_map(readable_entry).collect();
            record_entries(shared, &knowledge);
        }
        Kind::Quarantines => {
            drop(knowledge);
            quarantine::apply_stored(shared, &new_changes);
            return shared.mirror_changed.notify_waiters();
        }
        Kind::Leases => return,
    }
    drop(knowledge);
    shared.mirror_changed.notify_waiters();
    shared.refresh_targets();
}

/// Tells the retry budgets how many entries there are, and whether this one is listed.
fn record_entries<P>(shared: &Shared<P>, knowledge: &Knowledge) {
    let settings = shared.settings();
    let is_listed = knowledge.entries.contains_key(&*settings.instance);
    let entries = knowledge.entries.len();
    shared.retries.record_list(shared.now(), &settings.bounds, entries, is_listed);
}

/// Copies the time at which a kind was last known to be up to date.
fn copy_confirmation(knowledge: &mut Knowledge, mirror: &Mirror, kind: Kind, now: Time) {
    let Some(confirmed_at) = mirror.confirmed_at(kind) else { return };
    match kind {
        Kind::Config => knowledge.config_confirmed_at = Some(confirmed_at),
        Kind::Instances => {
            knowledge.fleet_confirmed_at = Some(confirmed_at);
            knowledge.fleet_listed_at.get_or_insert(now);
        }
        Kind::Evacuations | Kind::Entries | Kind::Leases | Kind::Quarantines => {}
    }
}

/// Puts a configuration in force, unless one of the same or a later version is. In a later era, a
/// lower version comes into force too: it gets here only after the known one was held.
fn apply_config<P>(shared: &Shared<P>, era: Era, item: Item) {
    let Object::Config(config) = item.object else { return };
    let mut knowledge = shared.knowledge();
    let is_later_era = knowledge.config_era < era;
    let known = knowledge.table.version();
    if config.version < known && !is_later_era {
        return;
    }
    knowledge.config_era = era;
    if config.version == known {
        return;
    }
    let table = Arc::new(Table::new(&config));
    let former = std::mem::replace(&mut knowledge.table, table.clone());
    knowledge.dropped.forget_unused();
    knowledge.dropped.record(&former, &table);
    // From here on, only requests keep the services that were dropped.
    drop(former);
    drop(knowledge);
    let limits = Some(table.limits());
    shared.limits.send_if_modified(|it| std::mem::replace(it, limits) != limits);
    shared.journal.note(&Event::Configured {
        version: config.version,
        era,
        routes: config.routes.len(),
        workspaces: config.workspaces.len(),
    });
    shared.refresh_targets();
}

fn report_unreadable<P>(shared: &Shared<P>, kind: Kind, items: &[Item]) {
    let unreadable = items.iter().filter(|it| matches!(it.object, Object::Unreadable));
    let count = unreadable.count();
    if count > 0 {
        shared.journal.note(&Event::Unreadable { kind, count });
    }
}

fn report_outdated<P>(shared: &Shared<P>, kind: Kind, outdated: Outdated) {
    let Outdated { received, known } = outdated;
    shared.journal.note(&Event::Outdated {
        kind,
        era: received.era,
        told: received.revision,
        known_era: known.era,
        known: known.revision,
    });
    let labels = format!("kind=\"{}\"", label(kind));
    shared.metrics.count("rhubarblatch_outdated_total", &labels);
}

/// Logs what is held after the first list of a new era.
fn report_held<P>(
    shared: &Shared<P>,
    kind: Kind,
    version: Version,
    before: Version,
    objects: usize,
) {
    let hold = shared.settings().bounds.restore_hold();
    shared.journal.note(&Event::Held {
        kind,
        era: version.era,
        revision: version.revision,
        known_era: before.era,
        known_revision: before.revision,
        objects,
        hold_ms: u64::try_from(hold.as_millis()).unwrap_or(u64::MAX),
    });
    let labels = format!("kind=\"{}\"", label(kind));
    shared.metrics.add("rhubarblatch_held_objects_total", &labels, objects as u64);
}

/// Returns the name of a kind in metrics.
pub(crate) fn label(kind: Kind) -> &'static str {
    match kind {
        Kind::Config => "config",
        Kind::Evacuations => "evacuations",
        Kind::Instances => "instances",
        Kind::Entries => "entries",
        Kind::Leases => "leases",
        Kind::Quarantines => "quarantines",
    }
}

/// Returns the change of the fleet for an object. An instance that can't be read counts as gone.
fn instance_change(item: Item) -> Change {
    match item.object {
        Object::Instance(instance) => Change::Put(*instance),
        _ => Change::Gone(item.name),
    }
}

/// Returns an entry with its name, if the object can be read.
fn readable_entry(item: &Item) -> Option<(Arc<str>, Entry)> {
    match &item.object {
        Object::Entry(entry) => Some((item.name.clone(), entry.clone())),
        _ => None,
    }
}
