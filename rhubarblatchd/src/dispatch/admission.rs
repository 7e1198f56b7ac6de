//! Admits requests: claims their keys, then waits for a place at a target or a peer.

use std::time::Duration;

use caller::Refusal;
use caller::refusal::Kind;
use caller::request::Meta;
use decision::claim::{self, Digest};
use decision::claimant::Claimant;
use decision::clock::Time;
use decision::declaration::{self, Declaration, Id, Profile};
use decision::name::Name;
use decision::request::{Hop as Arrival, Key, Request};

use super::Shared;
use super::claiming::Claimed;
use crate::claims::Peer;
use crate::hop::Hop;
use crate::refusals;
use crate::relay::Origin;
use crate::routing::{Held, Route};

/// A request that may go on.
pub(super) enum Admitted {
    /// To be sent, with its claim if it needs one.
    Run(Held, Route, Option<Claimant>),
    /// It ran before under the same key.
    Repeat(Option<claim::Answer>),
}

impl<P: Peer> Shared<P> {
    /// Claims the request's key if it may run only once, then waits for a place.
    ///
    /// The claim comes first, so that a repeat gets what is on record without a place. A request
    /// that a peer passed on was claimed by that peer.
    pub(super) async fn admit(
        &self,
        asked: Request,
        meta: &Meta,
        digest: Digest,
        hop: &Hop,
        left: impl Future<Output = ()>,
    ) -> Result<Admitted, Refusal> {
        self.ready()?;
        let key = match asked.hop {
            Arrival::First => self.keyed(meta, asked.bytes),
            Arrival::Forwarded(_) => None,
        };
        let mut claimant = match key {
            Some(key) => match self.claim(key, digest).await? {
                Claimed::Granted(claimant) => Some(claimant),
                Claimed::Repeat(answer) => return Ok(Admitted::Repeat(answer)),
            },
            None => None,
        };
        let queue = hop.within("queue");
        let admitted = tokio::select! {
            admitted = self.node.routing.admit(asked) => {
                admitted.map_err(|it| refusals::of_router(&it))
            }
            () = left => Err(Refusal::not_run(Kind::Broken, "the caller has left")),
            () = self.node.closing.cancelled() => {
                Err(refusals::of_entry(Kind::Leaving, "this entry is leaving"))
            }
        };
        drop(queue);
        match admitted {
            Ok((held, route)) => Ok(Admitted::Run(held, route, claimant)),
            Err(refusal) => {
                self.end(claimant.as_mut(), refusal.outcome, None).await;
                Err(refusal)
            }
        }
    }

    /// What the router is asked.
    pub(super) fn request(&self, meta: &Meta, bytes: usize, origin: &Origin) -> Request {
        Request {
            service: meta.service.clone(),
            workspace: meta.workspace.clone(),
            bytes,
            deadline: meta.deadline.map(|deadline| self.node.now() + deadline),
            key: if meta.key.is_some() { Key::Present } else { Key::Absent },
            hop: origin.hop,
            past: origin.past.clone(),
            ..Request::default()
        }
    }

    /// When the whole answer to a request that arrives now must be with the caller.
    pub(super) fn deadline(&self, meta: &Meta) -> Time {
        let profile = self.profile(&meta.service).unwrap_or_default();
        let span = Duration::from_millis(profile.deadline_ms);
        self.node.now() + meta.deadline.map_or(span, |it| it.min(span))
    }

    /// The profile of a declared service.
    pub(super) fn profile(&self, service: &Name) -> Option<Profile> {
        let configuration = self.node.configuration.load();
        let find = |kind, name: &Name| configuration.set.get(&Id { kind, name: name.clone() });
        let Some(Declaration::Service(service)) = find(declaration::Kind::Service, service) else {
            return None;
        };
        match find(declaration::Kind::Profile, &service.profile) {
            Some(Declaration::Profile(profile)) => Some(profile.clone()),
            _ => None,
        }
    }

    pub(super) fn ready(&self) -> Result<(), Refusal> {
        if self.node.leaving.is_cancelled() {
            return Err(refusals::of_entry(Kind::Leaving, "this entry is leaving"));
        }
        if !self.node.is_ready() {
            let message = "this entry's knowledge of the configuration is too old to take new work";
            return Err(refusals::of_entry(Kind::NotCurrent, message));
        }
        Ok(())
    }
}
