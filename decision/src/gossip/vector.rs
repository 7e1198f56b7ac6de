//! The part of an answer that reports on every member in one or two bytes.

use super::{AGE_UNIT, Blob, Reply};
use crate::freshness::{State, Statement, before};
use crate::head::Generation;
use crate::prelude::*;

/// Stands for "nothing recent is known".
const NONE: u8 = u8::MAX;

/// Writes the recent statements of the members into `reply`.
pub(super) fn write(state: &State, now: Time, reply: &mut Reply) {
    let own = Statement { held: state.held(), at: Some(now) };
    let statements: Vec<(u8, Generation)> = (0_u16..)
        .zip(state.statements())
        .map(
            |(position, statement)| {
                if Some(position) == state.position() { own } else { *statement }
            },
        )
        .map(|statement| (age(now, statement.at), statement.held))
        .collect();
    let recent = statements.iter().filter(|(age, _)| *age != NONE);
    let base = recent.map(|(_, held)| *held).max().unwrap_or_default();
    let (ages, holds): (Vec<u8>, Vec<u8>) = statements
        .into_iter()
        .map(|(age, held)| if age == NONE { (NONE, 0) } else { (age, distance(base, held)) })
        .unzip();
    reply.base = base;
    reply.ages = Blob(ages);
    if holds.iter().any(|distance| *distance != 0) {
        reply.holds = Blob(holds);
    }
}

/// Takes over what `reply` reports, asked at `sent`. Both count in the same roster.
pub(super) fn read(state: &mut State, sent: Time, reply: &Reply) {
    let ages = &reply.ages.0;
    let holds = &reply.holds.0;
    if !holds.is_empty() && holds.len() != ages.len() {
        return;
    }
    for (position, age) in (0_u16..).zip(ages) {
        let distance = holds.get(usize::from(position)).copied().unwrap_or_default();
        if *age == NONE || distance == NONE {
            continue;
        }
        let held = Generation(reply.base.0.saturating_sub(distance.into()));
        state.heard(position, held, before(sent, AGE_UNIT * u32::from(*age)));
    }
}

/// How far `held` lies below `base`.
fn distance(base: Generation, held: Generation) -> u8 {
    u8::try_from(base.0.saturating_sub(held.0)).unwrap_or(NONE)
}

/// The age of a statement in units, rounded up.
fn age(now: Time, at: Option<Time>) -> u8 {
    let Some(at) = at else {
        return NONE;
    };
    let units = now.since(at).as_micros().div_ceil(AGE_UNIT.as_micros());
    u8::try_from(units).unwrap_or(NONE)
}
