//! Decides how many replicas of each service every fabric domain runs.
//!
//! The plan is a function of what all entries know, so that the owners of all fabric domains come
//! to the same plan without a planner of their own. Each owner follows the part that concerns its
//! fabric domain and picks the instances itself. What runs stays where it is unless a move heals
//! something, and a move starts the new replica before it drains the old one.

mod board;
mod repair;

use std::collections::BTreeMap;

use crate::prelude::*;
use crate::reconcile::Want;

use board::{Board, Spot};

/// Bounds of a plan.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Replicas that may load at once, over all fabric domains. Keeps the weight store's rate.
    pub loads: usize,
    /// Moves that may be under way at once.
    pub moves: usize,
    /// Replicas beyond those wanted that each service runs while there is room for them. One that
    /// serves already takes over at once where another one dies.
    pub standby: u32,
}

/// What a service asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demand {
    /// The service.
    pub service: Name,
    /// Its model.
    pub model: Name,
    /// Instances of each replica. 1 to 32.
    pub instances: u32,
    /// Replicas wanted.
    pub replicas: u32,
    /// Replicas that must remain after the loss of any one failure domain. Zero: no matter.
    pub floor: u32,
}

/// A fabric domain as it stands.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Domain {
    /// The fabric domain.
    pub name: Name,
    /// The failure domain that it belongs to.
    pub failure_domain: Name,
    /// Instances that answer and stay, also those in replicas.
    pub instances: u32,
    /// Its replicas.
    pub replicas: Vec<Present>,
}

/// A replica as it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Present {
    /// Its service.
    pub service: Name,
    /// Its model.
    pub model: Name,
    /// Its instances.
    pub instances: u32,
    /// How it does.
    pub health: Health,
}

/// How a replica does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It serves.
    Serving,
    /// It is on its way to serving.
    Starting {
        /// Whether it already loads from the weight store.
        loading: bool,
    },
    /// It has served and has lost members. It may return.
    Lost {
        /// Members that still answer.
        alive: u32,
    },
    /// It drains. Its instances are not free yet.
    Leaving,
}

/// What every fabric domain is to do.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// What each fabric domain runs, by its name.
    pub wants: BTreeMap<Name, Vec<Want>>,
    /// How many replicas may load in each fabric domain.
    pub loads: BTreeMap<Name, usize>,
    /// What could not be had.
    pub lacks: Vec<Lack>,
    /// The moves under way.
    pub moves: Vec<Move>,
}

/// Something that a service asks for and does not get.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Lack {
    /// Fewer replicas than wanted have a place.
    #[error(
        "service \"{service}\" lacks {missing} replicas: the roomiest fabric domain has {largest} \
         free instances, one replica takes {instances}"
    )]
    Room {
        /// The service.
        service: Name,
        /// Replicas without a place.
        missing: u32,
        /// Instances of a replica.
        instances: u32,
        /// Free instances of the fabric domain that has most.
        largest: u32,
    },
    /// The loss of one failure domain would leave fewer replicas than the profile's floor.
    #[error(
        "service \"{service}\" would keep {left} replicas without failure domain \
         \"{failure_domain}\", its profile's floor is {floor}"
    )]
    Floor {
        /// The service.
        service: Name,
        /// The failure domain whose loss hurts.
        failure_domain: Name,
        /// Replicas that would be left.
        left: u32,
        /// The profile's floor.
        floor: u32,
    },
}

impl Lack {
    /// The service that lacks something.
    pub fn service(&self) -> &Name {
        match self {
            Lack::Room { service, .. } | Lack::Floor { service, .. } => service,
        }
    }
}

/// A replica that moves: the new one starts, then the old one drains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The service.
    pub service: Name,
    /// The fabric domain that it leaves.
    pub from: Name,
    /// The fabric domain that it enters.
    pub to: Name,
}

/// Plans for `demands` on `domains`. Both must be sorted by name.
pub fn plan(domains: &[Domain], demands: &[Demand], settings: &Settings) -> Plan {
    let mut board = Board::new(domains, demands);
    let order = board.order();
    for &demand in &order {
        board.trim(demand);
    }
    for &demand in &order {
        fill(&mut board, demand, demands[demand].floor.min(demands[demand].replicas));
    }
    for &demand in &order {
        fill(&mut board, demand, demands[demand].replicas);
    }
    for &demand in &order {
        board.wait(demand);
        board.replace(demand);
    }
    let moves = repair::moves(&mut board, &order, settings.moves);
    let lacks = lacks(&board);
    if !lacks.iter().any(|it| matches!(it, Lack::Room { .. })) {
        for &demand in &order {
            standby(&mut board, demand, settings.standby);
        }
    }
    Plan { wants: board.wants(), loads: loads(&board, settings.loads), lacks, moves }
}

/// Gives places to replicas of `demand` until `replicas` have one.
fn fill(board: &mut Board<'_>, demand: usize, replicas: u32) {
    while board.planned(demand) < replicas {
        let Some(domain) = best(board, demand) else { return };
        board.add(Spot { demand, domain });
    }
}

/// Lets up to `count` replicas beyond those wanted run, as long as one that dies can be replaced.
fn standby(board: &mut Board<'_>, demand: usize, count: u32) {
    let kept = board.restore(demand, count);
    for _ in kept..count {
        match best(board, demand).map(|domain| Spot { demand, domain }) {
            Some(spot) if board.leaves_room(spot) => board.add(spot),
            _ => return,
        }
    }
}

/// The best fabric domain for one more replica of `demand`.
///
/// Failure domains with the fewest replicas of the service come first, then the closest fit that
/// leaves a spare instance, then the closest fit.
pub(crate) fn best(board: &Board<'_>, demand: usize) -> Option<usize> {
    let size = board.demands[demand].instances;
    let per_failure_domain = board.spread(demand);
    let fits = (0..board.domains.len()).filter(|it| board.free[*it] >= size);
    fits.min_by_key(|&domain| {
        let there = &board.domains[domain];
        let crowd = match board.demands[demand].floor {
            0 => 0,
            _ => per_failure_domain.get(&there.failure_domain).copied().unwrap_or_default(),
        };
        let left = board.free[domain] - size;
        (crowd, left == 0, left, domain)
    })
}

/// Shares the loads allowed at once: those under way go on, then the services with the smallest
/// part of their replicas serving come first. A failure domain where nothing serves while others
/// serve has just returned: it loads one replica at a time until one serves.
fn loads(board: &Board<'_>, limit: usize) -> BTreeMap<Name, usize> {
    let mut waiting = Vec::new();
    let mut loads = BTreeMap::new();
    let mut returning = BTreeMap::new();
    let mut under_way = 0;
    for (index, domain) in board.domains.iter().enumerate() {
        let health = |wanted| domain.replicas.iter().filter(move |it| it.health == wanted);
        let here = health(Health::Starting { loading: true }).count();
        let serving = health(Health::Serving).count();
        for present in health(Health::Starting { loading: false }) {
            waiting.push((board.satisfied(&present.service), index));
        }
        let (loading, served) = returning.entry(&domain.failure_domain).or_insert((0, 0));
        *loading += here;
        *served += serving;
        under_way += here;
        loads.insert(domain.name.clone(), here);
    }
    let any = returning.values().any(|(_, served)| *served > 0);
    waiting.sort_unstable();
    for (_, index) in waiting {
        let domain = &board.domains[index];
        let Some((loading, served)) = returning.get_mut(&domain.failure_domain) else { continue };
        let gated = any && *served == 0 && *loading > 0;
        if under_way >= limit || gated {
            continue;
        }
        *loading += 1;
        under_way += 1;
        *loads.entry(domain.name.clone()).or_default() += 1;
    }
    loads
}

fn lacks(board: &Board<'_>) -> Vec<Lack> {
    let largest = board.free.iter().copied().max().unwrap_or_default();
    let mut lacks = Vec::new();
    for (index, demand) in board.demands.iter().enumerate() {
        let service = demand.service.clone();
        let missing = demand.replicas.saturating_sub(board.planned(index));
        if missing > 0 {
            let instances = demand.instances;
            lacks.push(Lack::Room { service, missing, instances, largest });
        } else if let Some((failure_domain, left)) = board.weakest(index) {
            let (service, floor) = (demand.service.clone(), demand.floor);
            if left < floor {
                lacks.push(Lack::Floor { service, failure_domain, left, floor });
            }
        }
    }
    lacks
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { loads: 16, moves: 1, standby: 1 }
    }
}
