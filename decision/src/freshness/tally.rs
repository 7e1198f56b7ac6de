//! Majorities of the two live sets of entries.

use super::State;
use crate::head::Generation;
use crate::prelude::*;

impl State {
    /// The latest time at which a majority of the roster held no higher generation than this one.
    pub(super) fn majority_at(&self, now: Time) -> Option<Time> {
        let own = self.position().map(|_| now);
        let mut times: Vec<Time> = self
            .statements
            .iter()
            .filter(|statement| statement.held <= self.held)
            .filter_map(|statement| statement.at)
            .chain(own)
            .collect();
        nth_largest(&mut times, majority(self.view.len())?)
    }

    /// The highest generation that a majority of each live set holds.
    ///
    /// The previous set is live until the generation that replaced it is in force: from then on
    /// nobody is current on a roster with that set. The result is never above the generation
    /// held, whose sets are the ones known here, and never below the one that changed the set
    /// last.
    pub fn majority_holds(&self) -> Generation {
        let mut current: Vec<Generation> =
            (0_u16..).zip(&self.statements).map(|(position, _)| self.holds(position)).collect();
        let replaced = self.in_force >= self.view.changed();
        let live = if replaced { &[] } else { self.view.previous() };
        let mut previous: Vec<Generation> = live
            .iter()
            .map(|position| position.map_or(Generation::default(), |it| self.holds(it)))
            .collect();
        let lowest = [&mut current, &mut previous]
            .into_iter()
            .filter(|set| !set.is_empty())
            .filter_map(|set| {
                let needed = majority(set.len())?;
                nth_largest(set, needed)
            })
            .min();
        lowest.filter(|it| *it >= self.view.changed()).unwrap_or_default()
    }

    /// The members that hold at least `generation`.
    pub fn confirmations(&self, generation: Generation) -> usize {
        (0_u16..)
            .zip(&self.statements)
            .filter(|(position, _)| self.holds(*position) >= generation)
            .count()
    }

    /// The generation that the member holds for certain, as far as it is not above the own one.
    fn holds(&self, position: u16) -> Generation {
        if Some(position) == self.position() {
            return self.held();
        }
        let statement = self.statements.get(usize::from(position)).copied().unwrap_or_default();
        statement.held.min(self.held())
    }
}

/// The smallest number that is more than half of `count`, or nothing for an empty set.
fn majority(count: usize) -> Option<usize> {
    (count > 0).then_some(count / 2 + 1)
}

fn nth_largest<T: Ord + Copy>(values: &mut [T], n: usize) -> Option<T> {
    if n > values.len() {
        return None;
    }
    let (_, nth, _) = values.select_nth_unstable_by(n - 1, |a, b| b.cmp(a));
    Some(*nth)
}
