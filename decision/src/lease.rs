//! The lease on a fabric domain, as one entry sees it.
//!
//! Clocks of different entries are never compared. An observer counts elapsed time from the moment
//! it first saw a renewal. The holder counts from the moment it sent the renewal, which is earlier,
//! and stops a margin before the observers may act.

use crate::fabric::{Holder, Lease};
use crate::prelude::*;
use crate::target::Epoch;

/// Times of a lease. The same for every entry.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long observers must see the lease unchanged before they take it over.
    pub duration: Duration,
    /// How often the holder renews it.
    pub renew: Duration,
    /// How long before the end of the duration the holder stops acting.
    pub margin: Duration,
    /// Longest time an order may be on its way. A new holder waits it out.
    pub validity: Duration,
    /// Further wait per place in the ranking, so that one entry tries first.
    pub stagger: Duration,
}

/// What one entry knows of one lease.
#[derive(Clone, Debug)]
pub struct View {
    me: Holder,
    settings: Settings,
    seen: Option<Seen>,
    held: Option<Held>,
}

/// The lease while this entry holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    /// The fencing number of its orders.
    pub epoch: Epoch,
    /// When it began to hold this epoch.
    pub since: Time,
    /// When the last renewal that took effect was sent.
    pub renewed: Time,
    /// When it must stop acting.
    pub until: Time,
}

#[derive(Clone, Debug)]
struct Seen {
    lease: Lease,
    at: Time,
}

impl View {
    /// A view by `me`, who has seen nothing yet.
    pub fn new(me: Holder, settings: Settings) -> View {
        View { me, settings, seen: None, held: None }
    }

    /// Takes in the lease as read from the store.
    pub fn observe(&mut self, now: Time, lease: &Lease) {
        if self.held.is_some_and(|it| it.epoch != lease.epoch) || !self.is_mine(lease) {
            self.held = None;
        }
        if self.seen.as_ref().is_none_or(|it| it.lease != *lease) {
            self.seen = Some(Seen { lease: lease.clone(), at: now });
        }
    }

    /// Takes in that this entry's write of `lease`, sent at `sent`, took effect.
    pub fn written(&mut self, now: Time, sent: Time, lease: &Lease) {
        self.observe(now, lease);
        if !self.is_mine(lease) {
            return;
        }
        let until = (sent + self.settings.duration).back(self.settings.margin);
        let same = self.held(now).filter(|it| it.epoch == lease.epoch);
        let since = same.map_or(now, |it| it.since);
        self.held = Some(Held { epoch: lease.epoch, since, renewed: sent, until });
    }

    /// Stops acting at once, before the write that gives up the lease is sent.
    pub fn give_up(&mut self) {
        self.held = None;
    }

    /// The lease, if this entry holds it at `now`.
    pub fn held(&self, now: Time) -> Option<Held> {
        self.held.filter(|it| now < it.until)
    }

    /// The lease, if this entry holds it and every order of earlier holders has arrived or died.
    pub fn settled(&self, now: Time) -> Option<Held> {
        self.held(now).filter(|it| now >= it.since + self.settings.validity)
    }

    /// Whether this entry may try to take over at `now`, as number `rank` of the ranking.
    pub fn vacant(&self, now: Time, rank: usize) -> bool {
        let Some(seen) = &self.seen else { return false };
        let place = u32::try_from(rank).unwrap_or(u32::MAX);
        let stagger = self.settings.stagger.saturating_mul(place);
        let wait = match seen.lease.holder {
            Some(_) => self.settings.duration + stagger,
            None => stagger,
        };
        now >= seen.at + wait
    }

    /// Whether this run of this entry wrote `lease` last.
    pub fn is_mine(&self, lease: &Lease) -> bool {
        lease.holder.as_ref() == Some(&self.me)
    }

    /// The lease to write in order to renew or take over `lease`.
    ///
    /// `stale` is the highest epoch that an engine has seen; orders of it or below are refused.
    pub fn next(&self, lease: &Lease, stale: Epoch) -> Lease {
        let epoch = match self.is_mine(lease) && stale <= lease.epoch {
            true => lease.epoch,
            false => Epoch(lease.epoch.max(stale).0 + 1),
        };
        Lease { holder: Some(self.me.clone()), epoch, renewal: lease.renewal + 1 }
    }
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            duration: Duration::from_secs(10),
            renew: Duration::from_secs(3),
            margin: Duration::from_secs(1),
            validity: Duration::from_secs(2),
            stagger: Duration::from_secs(3),
        }
    }
}
