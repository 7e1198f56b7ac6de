//! Moves that make room for a replica that fits nowhere, or restore a service's spread.

use super::board::{Board, Spot};
use super::{Move, best};

/// The moves to make. Starts the new replica of each on `board`; the old one stays in the plan
/// until the new one serves and makes it surplus.
pub(crate) fn moves(board: &mut Board<'_>, order: &[usize], limit: usize) -> Vec<Move> {
    let mut moves = Vec::new();
    while moves.len() < limit {
        let found = spread(board, order).or_else(|| room(board, order));
        let Some((from, to)) = found else { break };
        moves.push(Move {
            service: board.demands[from.demand].service.clone(),
            from: board.domains[from.domain].name.clone(),
            to: board.domains[to.domain].name.clone(),
        });
        board.add(to);
        // The old replica counts as gone for further moves, its room as taken.
        board.count(from).serving -= 1;
        board.count(from).awaited += 1;
    }
    moves
}

/// A move out of a failure domain whose loss would leave less than the floor.
fn spread(board: &Board<'_>, order: &[usize]) -> Option<(Spot, Spot)> {
    order.iter().find_map(|&demand| {
        let wanted = &board.demands[demand];
        let (crowded, left) = board.weakest(demand)?;
        if left >= wanted.floor || board.planned(demand) < wanted.replicas {
            return None;
        }
        let from = board.spots(demand).find(|(spot, count)| {
            board.domains[spot.domain].failure_domain == crowded && count.serving > 0
        });
        let to = best(board, demand)?;
        let spread = board.spread(demand);
        let there = &board.domains[to].failure_domain;
        let most = spread.get(&crowded).copied().unwrap_or_default();
        let fewer = spread.get(there).copied().unwrap_or_default() + 1 < most;
        from.filter(|_| fewer).map(|(from, _)| (from, Spot { demand, domain: to }))
    })
}

/// A move of a smaller replica that makes room for a larger one that fits nowhere.
fn room(board: &Board<'_>, order: &[usize]) -> Option<(Spot, Spot)> {
    let need = board.need()?;
    let smaller = order.iter().filter(|it| board.demands[**it].instances < need);
    let moves = smaller.flat_map(|&demand| {
        let size = board.demands[demand].instances;
        board.spots(demand).filter_map(move |(from, count)| {
            let free = board.free[from.domain] + size;
            let helps = count.serving > 0 && free >= need;
            let to = helps.then(|| destination(board, from)).flatten()?;
            Some((free - need, size, from, Spot { demand, domain: to }))
        })
    });
    moves.min().map(|(_, _, from, to)| (from, to))
}

/// The closest fit for a replica that leaves `from`, without a loss of spread.
fn destination(board: &Board<'_>, from: Spot) -> Option<usize> {
    let size = board.demands[from.demand].instances;
    let keeps_spread = |it: &usize| {
        let (old, new) = (&board.domains[from.domain], &board.domains[*it]);
        board.demands[from.demand].floor == 0 || old.failure_domain == new.failure_domain
    };
    let others = (0..board.domains.len()).filter(|it| *it != from.domain);
    let fits = others.filter(|it| board.free[*it] >= size).filter(keeps_spread);
    fits.min_by_key(|it| board.free[*it])
}
