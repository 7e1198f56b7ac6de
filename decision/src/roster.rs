//! Changes of the roster, and the roster as the freshness rule sees it.
//!
//! Each function returns the head that a conditional update is to write in place of the one that
//! was read. At most two sets of entries are live at a time: the set may change again only when
//! the generation that changed it last is in force.

pub mod view;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::head::{Generation, Head, Incarnation, Member, Roster};
use crate::name::Name;

pub use view::View;

/// Most members of a roster.
pub const MAX_MEMBERS: usize = 1_024;

/// An entry that wants to be listed.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Joiner {
    /// The entry's name.
    pub name: Name,
    /// What is to be listed under that name.
    pub member: Member,
}

/// Why a change of the roster is not possible.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The last change of the set is not in force yet.
    #[error(
        "the set of entries last changed in generation {changed}, which is not in force yet \
         (in force: {in_force})"
    )]
    Pending {
        /// The generation of the last change.
        changed: Generation,
        /// The highest generation known to be in force.
        in_force: Generation,
    },
    /// The entry is not listed with this incarnation.
    #[error("entry \"{name}\" is not listed with incarnation {}", .incarnation.0)]
    Unlisted {
        /// The entry.
        name: Name,
        /// The process that wanted to leave.
        incarnation: Incarnation,
    },
    /// The roster is full.
    #[error("the roster cannot hold more than {MAX_MEMBERS} entries")]
    Full,
    /// The roster already reads as wanted.
    #[error("the roster already reads as wanted")]
    Unchanged,
}

/// Lists the joiners.
///
/// A joiner whose name and address are listed already only replaces the incarnation, which is no
/// change of the set and always possible. The others are left out while a change is pending.
///
/// # Errors
///
/// Returns an [`Error`] if no joiner can be listed now.
pub fn join(
    head: &Head,
    joiners: &[Joiner],
    in_force: Generation,
    nonce: u64,
) -> Result<Head, Error> {
    let settled = is_settled(head, in_force);
    let mut roster = head.roster.clone();
    let mut pending = false;
    for joiner in joiners {
        if settled || is_listed(head, joiner) {
            roster.insert(joiner.name.clone(), joiner.member.clone());
        } else {
            pending = true;
        }
    }
    if roster.len() > MAX_MEMBERS {
        return Err(Error::Full);
    }
    if roster == head.roster && pending {
        return Err(Error::Pending { changed: head.roster_generation, in_force });
    }
    change(head, roster, nonce)
}

/// Takes an entry that leaves off the roster.
///
/// # Errors
///
/// Returns an [`Error`] if the entry is not listed with `incarnation` or a change is pending.
pub fn leave(
    head: &Head,
    name: &Name,
    incarnation: Incarnation,
    in_force: Generation,
    nonce: u64,
) -> Result<Head, Error> {
    if head.roster.get(name).is_none_or(|member| member.incarnation != incarnation) {
        return Err(Error::Unlisted { name: name.clone(), incarnation });
    }
    remove(head, std::slice::from_ref(name), in_force, nonce)
}

/// Takes entries off the roster that have been silent for long.
///
/// # Errors
///
/// Returns an [`Error`] if none of them is listed or a change is pending.
pub fn remove(
    head: &Head,
    names: &[Name],
    in_force: Generation,
    nonce: u64,
) -> Result<Head, Error> {
    let mut roster = head.roster.clone();
    roster.retain(|name, _| !names.contains(name));
    if roster == head.roster {
        return Err(Error::Unchanged);
    }
    if !is_settled(head, in_force) {
        return Err(Error::Pending { changed: head.roster_generation, in_force });
    }
    change(head, roster, nonce)
}

/// Takes entries off the roster of which an operator states that their processes have ended.
///
/// They no longer count in either set, so that the others can go on after the loss of a majority.
/// The statement must be true: an entry that still runs could serve by an older generation.
/// While the last change of the set is pending, what is left of both sets counts; else what is left
/// of the present one.
///
/// # Errors
///
/// Returns [`Error::Unchanged`] if none of them counts.
pub fn forget(
    head: &Head,
    names: &[Name],
    in_force: Generation,
    nonce: u64,
) -> Result<Head, Error> {
    let before = match is_settled(head, in_force) {
        true => addresses(&head.roster),
        false => head.previous.clone(),
    };
    if !names.iter().any(|name| head.roster.contains_key(name) || before.contains_key(name)) {
        return Err(Error::Unchanged);
    }
    let mut next = head.successor(nonce);
    next.previous = before;
    next.previous.retain(|name, _| !names.contains(name));
    next.roster.retain(|name, _| !names.contains(name));
    next.roster_generation = next.generation;
    Ok(next)
}

/// Whether the set of entries may change again.
pub fn is_settled(head: &Head, in_force: Generation) -> bool {
    in_force >= head.roster_generation
}

fn is_listed(head: &Head, joiner: &Joiner) -> bool {
    head.roster.get(&joiner.name).is_some_and(|member| member.peer == joiner.member.peer)
}

fn change(head: &Head, roster: Roster, nonce: u64) -> Result<Head, Error> {
    if roster == head.roster {
        return Err(Error::Unchanged);
    }
    let mut next = head.successor(nonce);
    let before = addresses(&head.roster);
    if before != addresses(&roster) {
        next.previous = before;
        next.roster_generation = next.generation;
    }
    next.roster = roster;
    Ok(next)
}

fn addresses(roster: &Roster) -> BTreeMap<Name, SocketAddr> {
    roster.iter().map(|(name, member)| (name.clone(), member.peer)).collect()
}
