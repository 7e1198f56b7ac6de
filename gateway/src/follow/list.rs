//! Reads the objects of a kind: as a list, or one at a time.

use std::sync::Arc;

use decision::gateway::era::{Era, Observation, Version};
use decision::gateway::reading::Outcome;
use decision::prelude::*;
use http::StatusCode;

use super::cursor::Cursor;
use super::{CALL_TIMEOUT_MARGIN, Error, after_outage, announce_era, call_store};
use crate::apply;
use crate::journal::Event;
use crate::port::{Changes, Kind, Object, Platform};
use crate::state::Shared;

/// Most objects that are read one at a time before changes are tried again.
const MAX_OBJECTS_PER_PASS: usize = 64;

/// Result of reading objects one at a time.
pub(super) struct Pass {
    /// The object after which the next pass goes on; `None` after the last one.
    pub(super) next: Option<Arc<str>>,
    /// Why an object could not be read.
    pub(super) unread: Option<Error>,
}

/// Lists all objects of a kind, page by page, and applies them. Returns the version to watch from,
/// which is that of the first page. `time_limit` bounds each page.
pub(super) async fn fetch_list<P: Platform>(
    shared: &Shared<P>,
    kind: Kind,
    time_limit: Duration,
) -> Result<Version, Error> {
    let requested_at = shared.now();
    let known = shared.mirror().version(kind);
    let mut items = Vec::new();
    let mut first: Option<Version> = None;
    let mut cursor = Cursor::default();
    loop {
        let store = shared.settings().store;
        let request = shared.platform.list(store, kind, cursor.after());
        let reply = call_store(shared, request, time_limit).await?;
        let page = shared.platform.page(kind, &reply.body)?;
        let version = first.get_or_insert(Version { era: reply.era, revision: page.revision });
        if version.era != reply.era {
            return Err(Error::EraChanged);
        }
        let has_next = cursor.advance(&page)?;
        items.extend(page.items);
        if !has_next {
            break;
        }
    }
    let mut version = first.unwrap_or_default();
    let observation = shared.mirror().observe_revision(known, version.revision);
    if let Some(Observation::Restored { from, to }) = observation {
        announce_era(shared, from, to, "revision");
        version.era = to;
    }
    after_outage(shared, kind, || {
        apply::list(shared, kind, version, requested_at, &items);
    });
    Ok(version)
}

/// Lists the instances again. Returns whether that succeeded.
pub(crate) async fn relist_instances<P: Platform>(shared: &Shared<P>) -> bool {
    match fetch_list(shared, Kind::Instances, CALL_TIMEOUT_MARGIN).await {
        Ok(_) => true,
        Err(error) => {
            let reason = error.to_string();
            let event = Event::Lost { dependency: "store", kind: Kind::Instances, reason: &reason };
            shared.journal.note(&event);
            false
        }
    }
}

/// Reads the known objects whose names follow `after`, one at a time, and applies them. An object
/// that can't be read stops no other. Objects that were created since stay unknown, so the kind is
/// not confirmed, except the configuration, which is one object.
pub(super) async fn fetch_objects<P: Platform>(
    shared: &Shared<P>,
    kind: Kind,
    known: Version,
    after: Option<Arc<str>>,
    time_limit: Duration,
) -> Result<Pass, Error> {
    let names = shared.mirror().names_after(kind, after.as_deref(), MAX_OBJECTS_PER_PASS);
    let next = names.last().filter(|_| names.len() == MAX_OBJECTS_PER_PASS).cloned();
    let mut unread = None;
    for name in names {
        match fetch_object(shared, kind, known.era, &name, time_limit).await {
            Ok(()) => {}
            Err(error) if error.outcome() == Some(Outcome::Untaken) => unread = Some(error),
            Err(error) => return Err(error),
        }
    }
    Ok(Pass { next, unread })
}

/// Reads the object `name` and applies it.
async fn fetch_object<P: Platform>(
    shared: &Shared<P>,
    kind: Kind,
    era: Era,
    name: &Arc<str>,
    time_limit: Duration,
) -> Result<(), Error> {
    let requested_at = shared.now();
    let (version, listed_at) = {
        let mirror = shared.mirror();
        (mirror.version(kind), mirror.confirmed_at(kind))
    };
    let mut confirmed_at = listed_at.unwrap_or(requested_at);
    let mut changes = Changes { revision: version.revision, ..Changes::default() };
    let request = shared.platform.get(shared.settings().store, kind, name);
    match call_store(shared, request, time_limit).await {
        Ok(reply) if reply.era != era => return Err(Error::EraChanged),
        Ok(reply) => {
            let item = shared.platform.object(kind, &reply.body)?;
            if matches!(item.object, Object::Config(_)) {
                confirmed_at = requested_at;
                changes.revision = changes.revision.max(item.revision);
            }
            changes.put.push(item);
        }
        Err(Error::Status(StatusCode::NOT_FOUND)) if kind != Kind::Config => {
            changes.gone.push(name.clone());
        }
        Err(error) => return Err(error),
    }
    apply::changes(shared, kind, era, confirmed_at, &changes);
    Ok(())
}
