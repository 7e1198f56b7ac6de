//! When an entry that hears nothing of a fabric domain probes it by itself.

use crate::prelude::*;

/// Shortest silence.
const SILENCE: Duration = Duration::from_secs(2);

/// What each doubling of the fleet adds to the time that evidence takes to come round.
const STEP: Duration = Duration::from_millis(125);

/// Places in the ranking that go ahead together.
const AHEAD: usize = 8;

/// How long the entry in place `rank`, from 0, of `size` entries waits for evidence from others.
///
/// In larger fleets evidence takes longer to come round. The first in the ranking go ahead, and
/// the others hear from them before their own turn comes, so that not all probe at once.
pub fn patience(size: usize, rank: usize) -> Duration {
    let spread = STEP * size.max(1).ilog2();
    SILENCE + spread + spread * (1 + rank / AHEAD).ilog2()
}
