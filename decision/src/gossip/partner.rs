//! Whom an entry asks next.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Node, Partner};
use crate::prelude::*;
use crate::roster::View;

/// The members in the order in which one entry asks them.
///
/// Each entry has an order of its own. As the order is kept, every live member is asked once in
/// each turn, so that a small fleet hears from all its members well within the window.
#[derive(Clone, Debug, Default)]
pub(super) struct Order {
    seed: u64,
    positions: Vec<u16>,
    live: usize,
    silent: usize,
    rounds: u64,
}

impl Order {
    pub(super) fn new(seed: u64) -> Order {
        Order { seed, ..Order::default() }
    }

    /// Starts again with the members of `view`.
    pub(super) fn renew(&mut self, view: &View) {
        let mut keyed: Vec<(u64, u16)> = (0_u16..)
            .map_while(|position| Some((position, view.member(position)?.0)))
            .map(|(position, name)| {
                (xxh3_64_with_seed(name.as_str().as_bytes(), self.seed), position)
            })
            .collect();
        keyed.sort_unstable();
        self.positions = keyed.into_iter().map(|(_, position)| position).collect();
    }

    /// The next position that `wanted` accepts after the one that `cursor` counts.
    fn next(positions: &[u16], cursor: &mut usize, wanted: impl Fn(u16) -> bool) -> Option<u16> {
        for _ in 0..positions.len() {
            *cursor = (*cursor + 1) % positions.len();
            let position = *positions.get(*cursor)?;
            if wanted(position) {
                return Some(position);
            }
        }
        None
    }
}

impl Node {
    /// Draws the conclusions of the time passed and names the member to ask in this round, or
    /// nothing while no other one is listed.
    ///
    /// Members heard of lately are asked in turn; a silent one is asked now and then, so that the
    /// two sides of a partition find each other again.
    pub fn partner(&mut self, now: Time) -> Option<Partner> {
        self.state.settle(now);
        self.order.rounds += 1;
        let own = self.state.position();
        let is_live = |position: u16| {
            let heard = self.heard_at.get(usize::from(position));
            heard.is_some_and(|at| now.since(*at) < self.settings.silence)
        };
        let order = &mut self.order;
        let is_probe = order.rounds.is_multiple_of(self.settings.probe_every);
        let mut live = || {
            let wanted = |it| Some(it) != own && is_live(it);
            Order::next(&order.positions, &mut order.live, wanted)
        };
        let mut silent = || {
            let wanted = |it| Some(it) != own && !is_live(it);
            Order::next(&order.positions, &mut order.silent, wanted)
        };
        let position = if is_probe { silent().or_else(live) } else { live().or_else(silent) }?;
        let (_, member) = self.state.view().member(position)?;
        Some(Partner::new(member))
    }
}
