//! Takes stragglers out of the choice for a while, and never more than a bounded part.

use crate::pool::Pool;
use crate::prelude::*;
use crate::track::Track;

/// When a target counts as a straggler.
#[derive(Clone, Debug)]
pub struct Settings {
    /// First tokens this many times slower than the median target's, relative to what is expected.
    pub factor: f32,
    /// Largest part of a service's targets that is out at one time, in hundredths.
    pub most_percent: usize,
    /// How long a straggler stays out.
    pub span: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { factor: 3.0, most_percent: 10, span: Duration::from_secs(10) }
    }
}

/// Ejects the slowest stragglers of `pool`.
pub(crate) fn eject(now: Time, pool: &mut Pool, settings: &Settings) {
    let mut slow: Vec<f32> = pool.tracks.values().map(|it| it.first_token).collect();
    slow.retain(|ratio| *ratio > 0.0);
    if slow.len() < 3 {
        return;
    }
    let middle = slow.len() / 2;
    let (_, median, _) = slow.select_nth_unstable_by(middle, f32::total_cmp);
    let bound = *median * settings.factor;
    let out = |track: &Track| track.ejected_until.is_some_and(|until| now < until);
    let already = pool.tracks.values().filter(|it| out(it)).count();
    let most = pool.tracks.len() * settings.most_percent / 100;
    let room = most.saturating_sub(already);
    let stragglers = pool.tracks.values_mut().filter(|it| it.first_token > bound && !out(it));
    for track in stragglers.take(room) {
        track.ejected_until = Some(now + settings.span);
        track.first_token = 0.0;
    }
}
