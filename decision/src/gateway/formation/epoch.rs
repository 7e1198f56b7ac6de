//! Epochs of replicas, which contain the fencing token of the owner that formed them.

use super::Formation;
use crate::gateway::fleet::Instance;

/// Epochs per owner: an epoch is the owner's fencing token times this, plus a counter.
const EPOCHS_PER_FENCE: u64 = 1_000_000;

/// Highest fencing token that is read from an epoch. Replicas formed by other writers than an owner
/// may have any epoch.
const MAX_FENCE: u64 = u32::MAX as u64;

/// Returns the fencing token of the owner that formed the replica of `instance`, if it is a member
/// of one and its epoch is one of an owner.
pub fn fence_of(instance: &Instance) -> Option<u64> {
    let fence = instance.member.as_ref()?.epoch / EPOCHS_PER_FENCE;
    (fence <= MAX_FENCE).then_some(fence)
}

impl Formation {
    /// Returns a new epoch, later than all before it.
    pub(super) fn next_epoch(&mut self) -> u64 {
        self.epoch_count += 1;
        self.fence * EPOCHS_PER_FENCE + self.epoch_count
    }

    /// Returns the first epoch of this owner.
    pub(super) fn first_epoch(&self) -> u64 {
        self.fence * EPOCHS_PER_FENCE
    }
}
