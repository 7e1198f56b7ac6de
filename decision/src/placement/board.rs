//! The counts that a plan is made on.

use std::collections::BTreeMap;

use super::{Demand, Domain, Health, Present};
use crate::name::Name;
use crate::reconcile::Want;

/// A service, by its index, in a fabric domain, by its index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Spot {
    pub(crate) demand: usize,
    pub(crate) domain: usize,
}

/// Replicas at one spot.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Count {
    /// Those that serve now and are kept.
    pub(crate) serving: u32,
    /// Those under way now.
    pub(crate) starting: u32,
    /// Those that have lost members.
    pub(crate) lost: u32,
    /// The members that those have left.
    pub(crate) survivors: u32,
    /// Those under way now or to be started, of which the plan knows.
    pub(crate) started: u32,
    /// Those lost that are kept until others serve in their place.
    pub(crate) awaited: u32,
    /// Those of another model or size that serve, and are kept as far as the plan says.
    pub(crate) outdated: u32,
    /// Those that drain.
    pub(crate) leaving: u32,
}

pub(crate) struct Board<'a> {
    pub(crate) domains: &'a [Domain],
    pub(crate) demands: &'a [Demand],
    /// Free instances of each fabric domain.
    pub(crate) free: Vec<u32>,
    counts: BTreeMap<Spot, Count>,
    /// Where a serving replica is surplus.
    surplus: Vec<Spot>,
}

impl<'a> Board<'a> {
    /// Counts what runs. Replicas under way give their instances back until the plan wants them.
    pub(crate) fn new(domains: &'a [Domain], demands: &'a [Demand]) -> Board<'a> {
        let (free, surplus) = (Vec::new(), Vec::new());
        let mut board = Board { domains, demands, free, counts: BTreeMap::new(), surplus };
        for (domain, there) in domains.iter().enumerate() {
            let mut free = there.instances;
            for present in &there.replicas {
                let demand = demands.binary_search_by(|it| it.service.cmp(&present.service)).ok();
                if matches!(present.health, Health::Serving | Health::Leaving) {
                    free = free.saturating_sub(present.instances);
                }
                if let Some(demand) = demand {
                    let is_current = demands[demand].fits(present);
                    board.count(Spot { demand, domain }).tally(present.health, is_current);
                }
            }
            board.free.push(free);
        }
        board
    }

    pub(crate) fn count(&mut self, spot: Spot) -> &mut Count {
        self.counts.entry(spot).or_default()
    }

    /// The counts of a service, by fabric domain.
    pub(crate) fn spots(&self, demand: usize) -> impl Iterator<Item = (Spot, Count)> {
        let first = Spot { demand, domain: 0 };
        let last = Spot { demand, domain: usize::MAX };
        self.counts.range(first..=last).map(|(spot, count)| (*spot, *count))
    }

    /// The services, those with the largest replicas first.
    pub(crate) fn order(&self) -> Vec<usize> {
        let mut order: Vec<_> = (0..self.demands.len()).collect();
        order.sort_by_key(|it| (u32::MAX - self.demands[*it].instances, *it));
        order
    }

    /// Replicas of a service that serve or are started.
    pub(crate) fn planned(&self, demand: usize) -> u32 {
        self.spots(demand).map(|(_, it)| it.serving + it.started).sum()
    }

    pub(crate) fn serving(&self, demand: usize) -> u32 {
        self.spots(demand).map(|(_, it)| it.serving).sum()
    }

    /// The part of a service's replicas that serves, in 1/1,000.
    pub(crate) fn satisfied(&self, service: &Name) -> u32 {
        let found = self.demands.binary_search_by(|it| it.service.cmp(service));
        found.map_or(u32::MAX, |it| self.serving(it) * 1_000 / self.demands[it].replicas.max(1))
    }

    /// Planned replicas of a service by failure domain.
    pub(crate) fn spread(&self, demand: usize) -> BTreeMap<&'a Name, u32> {
        let mut spread = BTreeMap::new();
        for (spot, count) in self.spots(demand) {
            let failure_domain = &self.domains[spot.domain].failure_domain;
            *spread.entry(failure_domain).or_default() += count.serving + count.started;
        }
        spread
    }

    /// The failure domain whose loss leaves the fewest replicas of a service, and that number.
    pub(crate) fn weakest(&self, demand: usize) -> Option<(Name, u32)> {
        let planned = self.planned(demand);
        let worst = self.spread(demand).into_iter().max_by_key(|(_, count)| *count);
        worst.map(|(name, count)| (name.clone(), planned - count))
    }

    /// Whether a replica that dies can be replaced, in place or elsewhere, with one more at `spot`.
    pub(crate) fn leaves_room(&self, spot: Spot) -> bool {
        let size = self.demands[spot.demand].instances;
        let elsewhere = self.free.iter().enumerate();
        self.free[spot.domain] > size
            || elsewhere.filter(|(it, _)| *it != spot.domain).any(|(_, free)| *free >= size)
    }

    /// Starts one more replica at `spot`, or lets one that is under way go on.
    pub(crate) fn add(&mut self, spot: Spot) {
        let size = self.demands[spot.demand].instances;
        self.free[spot.domain] = self.free[spot.domain].saturating_sub(size);
        self.count(spot).started += 1;
    }

    /// Keeps what is under way as far as it is wanted, heals what is lost where spares are at
    /// hand, and drains what serves beyond that.
    pub(crate) fn trim(&mut self, demand: usize) {
        let wanted = self.demands[demand].replicas;
        let under_way: Vec<_> = self.spots(demand).filter(|(_, it)| it.starting > 0).collect();
        for (spot, count) in under_way {
            for _ in 0..count.starting {
                let room = self.free[spot.domain] >= self.demands[demand].instances;
                if room && self.planned(demand) < wanted {
                    self.add(spot);
                }
            }
        }
        let lost: Vec<_> = self.spots(demand).filter(|(_, it)| it.lost > 0).collect();
        for (spot, count) in lost {
            for _ in 0..count.lost {
                let room = self.free[spot.domain] >= self.demands[demand].instances;
                if room && self.planned(demand) < wanted {
                    self.add(spot);
                    self.count(spot).lost -= 1;
                }
            }
        }
        while self.serving(demand) > wanted {
            let Some(spot) = self.surplus(demand) else { return };
            self.count(spot).serving -= 1;
            self.surplus.push(spot);
        }
    }

    /// Takes up to `limit` surplus replicas back into the plan, those that serve first, then those
    /// under way. Returns how many.
    pub(crate) fn restore(&mut self, demand: usize, limit: u32) -> u32 {
        let mut restored = 0;
        let surplus = std::mem::take(&mut self.surplus);
        for spot in surplus.into_iter().rev() {
            if spot.demand == demand && restored < limit {
                self.count(spot).serving += 1;
                restored += 1;
            } else {
                self.surplus.push(spot);
            }
        }
        let size = self.demands[demand].instances;
        let under_way: Vec<_> = self.spots(demand).collect();
        for (spot, count) in under_way {
            for _ in count.started..count.starting {
                let room = self.free[spot.domain] >= size;
                if restored < limit && room && self.leaves_room(spot) {
                    self.add(spot);
                    restored += 1;
                }
            }
        }
        restored
    }

    /// The spot that can best do without one of its serving replicas.
    ///
    /// Crowded failure domains come first, then the fabric domain where a service that lacks room
    /// fits closest afterwards, then the one that ends up emptiest.
    pub(crate) fn surplus(&self, demand: usize) -> Option<Spot> {
        let size = self.demands[demand].instances;
        let need = self.need();
        let spread = self.spread(demand);
        let spots = self.spots(demand).filter(|(_, it)| it.serving > 0);
        let chosen = spots.max_by_key(|(spot, _)| {
            let there = &self.domains[spot.domain];
            let crowd = match self.demands[demand].floor {
                0 => 0,
                _ => spread.get(&there.failure_domain).copied().unwrap_or_default(),
            };
            let free = self.free[spot.domain] + size;
            let unblocks = need.filter(|it| free >= *it && self.free[spot.domain] < *it);
            let fit = unblocks.map_or(0, |it| u32::MAX - (free - it));
            (crowd, fit, free, std::cmp::Reverse(spot.domain))
        });
        chosen.map(|(spot, _)| spot)
    }

    /// Instances of the largest replica that is lacking and fits nowhere.
    pub(crate) fn need(&self) -> Option<u32> {
        let largest = self.free.iter().copied().max().unwrap_or_default();
        let lacking = self
            .demands
            .iter()
            .enumerate()
            .filter(|(index, it)| it.instances > largest && self.planned(*index) < it.replicas);
        lacking.map(|(_, it)| it.instances).max()
    }

    /// Keeps lost replicas until as many others serve in their place, unless the plan uses the
    /// instances that they have left.
    pub(crate) fn wait(&mut self, demand: usize) {
        let mut open = self.demands[demand].replicas.saturating_sub(self.serving(demand));
        let lost: Vec<_> = self.spots(demand).filter(|(_, it)| it.lost > 0).collect();
        for (spot, count) in lost {
            if self.free[spot.domain] < count.survivors {
                continue;
            }
            let kept = count.lost.min(open);
            open -= kept;
            self.count(spot).awaited = kept;
        }
    }

    /// Keeps outdated replicas until as many others serve in their place.
    ///
    /// If those wanted find no room and none is on its way, one outdated replica makes room, so
    /// that a changed model or size never takes more than one replica out of service at a time.
    pub(crate) fn replace(&mut self, demand: usize) {
        let wanted = self.demands[demand].replicas;
        let outdated: u32 = self.spots(demand).map(|(_, it)| it.outdated).sum();
        let mut kept = outdated.min(wanted.saturating_sub(self.serving(demand)));
        let under_way = self.spots(demand).any(|(_, it)| it.started > 0 || it.leaving > 0);
        if self.planned(demand) < wanted && !under_way {
            kept = kept.min(outdated.saturating_sub(1));
        }
        for _ in kept..outdated {
            let Some(spot) = self.dispensable(demand) else { return };
            self.count(spot).outdated -= 1;
        }
    }

    /// The spot that can best do without one of its outdated replicas: the one where most free
    /// instances result.
    fn dispensable(&self, demand: usize) -> Option<Spot> {
        let spots = self.spots(demand).filter(|(_, it)| it.outdated > 0);
        let most_free = |spot: &Spot| (self.free[spot.domain], std::cmp::Reverse(spot.domain));
        spots.map(|(spot, _)| spot).max_by_key(most_free)
    }

    /// What each fabric domain is to run.
    pub(crate) fn wants(&self) -> BTreeMap<Name, Vec<Want>> {
        let names = self.domains.iter().map(|it| (it.name.clone(), Vec::new()));
        let mut wants: BTreeMap<_, Vec<_>> = names.collect();
        for (spot, count) in &self.counts {
            let replicas = count.serving + count.started + count.awaited;
            if replicas == 0 && count.outdated == 0 {
                continue;
            }
            let demand = &self.demands[spot.demand];
            let want = Want {
                service: demand.service.clone(),
                model: demand.model.clone(),
                instances: demand.instances,
                replicas,
                outdated: count.outdated,
            };
            wants.entry(self.domains[spot.domain].name.clone()).or_default().push(want);
        }
        wants
    }
}

impl Count {
    fn tally(&mut self, health: Health, is_current: bool) {
        match (health, is_current) {
            (Health::Leaving, _) => self.leaving += 1,
            (Health::Serving, false) => self.outdated += 1,
            (_, false) => {}
            (Health::Serving, true) => self.serving += 1,
            (Health::Starting { .. }, true) => self.starting += 1,
            (Health::Lost { alive }, true) => {
                self.lost += 1;
                self.survivors += alive;
            }
        }
    }
}

impl Demand {
    /// Whether a replica is what the service asks for now.
    fn fits(&self, present: &Present) -> bool {
        self.model == present.model && self.instances == present.instances
    }
}
