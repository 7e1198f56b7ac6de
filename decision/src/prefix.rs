//! Which targets probably hold which prompt prefixes in their caches.
//!
//! The index is a hint: cache events come late and with gaps, so a wrong hint costs a prefill and
//! nothing else.

use std::collections::{HashMap, VecDeque};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::pool::TargetKey;

/// Bytes of a prompt that make one block.
pub const BLOCK_BYTES: usize = 256;

/// Most blocks of one prompt that are told apart.
pub const MAX_BLOCKS_OF_PROMPT: usize = 32;

/// Blocks that one service's index holds. The oldest goes first.
const MAX_BLOCKS: usize = 65_536;

/// Targets that are remembered for one block.
const MAX_HOLDERS: usize = 2;

/// The hashes of the whole blocks that `prompt` starts with, each over all blocks up to it.
pub fn blocks(prompt: &str) -> Vec<u64> {
    let whole = prompt.as_bytes().chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS_OF_PROMPT);
    let chained = whole.scan(0, |seed, block| {
        *seed = xxh3_64_with_seed(block, *seed);
        Some(*seed)
    });
    chained.collect()
}

/// A change of a target's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The block with this hash is cached.
    Add(u64),
    /// The block with this hash is no longer cached.
    Drop(u64),
    /// Events were lost: nothing is known of the cache any more.
    Gap,
}

/// The blocks of one service and the targets that hold them.
#[derive(Debug, Default)]
pub struct Index {
    blocks: HashMap<u64, [Option<TargetKey>; MAX_HOLDERS]>,
    order: VecDeque<u64>,
    /// Blocks that some target is known to hold.
    held: usize,
}

impl Index {
    /// Notes that `target` holds `block`. The target noted last is the first choice.
    pub fn add(&mut self, block: u64, target: TargetKey) {
        if let Some(holders) = self.blocks.get_mut(&block) {
            self.held += usize::from(holders[0].is_none());
            if holders[0] != Some(target) {
                holders[1] = holders[0];
                holders[0] = Some(target);
            }
            return;
        }
        if self.order.len() >= MAX_BLOCKS
            && let Some(oldest) = self.order.pop_front()
        {
            let holders = self.blocks.remove(&oldest);
            self.held -= usize::from(holders.is_some_and(|it| it[0].is_some()));
        }
        self.blocks.insert(block, [Some(target), None]);
        self.held += 1;
        self.order.push_back(block);
    }

    /// Notes that `target` no longer holds `block`.
    pub fn drop(&mut self, block: u64, target: TargetKey) {
        if let Some(holders) = self.blocks.get_mut(&block) {
            self.held -= usize::from(remove(holders, target));
        }
    }

    /// Forgets all blocks of `target`.
    pub fn forget(&mut self, target: TargetKey) {
        let emptied = self.blocks.values_mut().filter_map(|it| remove(it, target).then_some(()));
        self.held -= emptied.count();
    }

    /// The targets that hold the longest known part of `prefix`.
    pub fn find(&self, prefix: &[u64]) -> impl Iterator<Item = TargetKey> + use<> {
        let known = |block: &u64| self.blocks.get(block).filter(|it| it[0].is_some());
        let holders = prefix.iter().rev().find_map(known).copied().unwrap_or_default();
        holders.into_iter().flatten()
    }

    /// Blocks that some target is known to hold.
    pub fn len(&self) -> usize {
        self.held
    }

    /// Whether no target is known to hold any block.
    pub fn is_empty(&self) -> bool {
        self.held == 0
    }
}

/// Removes `target`. Whether the block has no holder any more that had one.
fn remove(holders: &mut [Option<TargetKey>; MAX_HOLDERS], target: TargetKey) -> bool {
    let before = holders[0].is_some();
    if holders[0] == Some(target) {
        holders.swap(0, 1);
    }
    if holders[1] == Some(target) {
        holders[1] = None;
    }
    before && holders[0].is_none()
}
