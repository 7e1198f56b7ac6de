//! The roster of one generation with members numbered in the order of their names.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

use crate::head::{Generation, Head, Incarnation, Member};
use crate::name::Name;

/// The roster of one generation.
#[derive(Clone, Debug, Default)]
pub struct View {
    names: Vec<Name>,
    members: Vec<Member>,
    positions: BTreeMap<Incarnation, u16>,
    fingerprint: u64,
    previous: Vec<Option<u16>>,
    changed: Generation,
}

impl View {
    /// The roster of `head`.
    pub fn new(head: &Head) -> View {
        let (names, members): (Vec<Name>, Vec<Member>) = head.roster.clone().into_iter().unzip();
        let positions = (0_u16..).zip(&members).map(|(at, it)| (it.incarnation, at)).collect();
        let fingerprint = fingerprint(&names, &members);
        let mut view = View {
            names,
            members,
            positions,
            fingerprint,
            previous: Vec::new(),
            changed: head.roster_generation,
        };
        view.previous = head.previous.iter().map(|(name, peer)| view.at(name, *peer)).collect();
        view
    }

    /// The number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there is no member.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Identifies the names, addresses and incarnations of the members.
    pub fn fingerprint(&self) -> u64 {
        self.fingerprint
    }

    /// The generation that last changed the set of entries.
    pub fn changed(&self) -> Generation {
        self.changed
    }

    /// The member at a position.
    pub fn member(&self, position: u16) -> Option<(&Name, &Member)> {
        let at = usize::from(position);
        Some((self.names.get(at)?, self.members.get(at)?))
    }

    /// The position of the process, if it is listed.
    pub fn position(&self, incarnation: Incarnation) -> Option<u16> {
        self.positions.get(&incarnation).copied()
    }

    /// For each entry of the previous set, its position now if its address is still the same.
    pub fn previous(&self) -> &[Option<u16>] {
        &self.previous
    }

    /// The position under which `other` lists the same process as this roster does at `position`.
    pub fn translate(&self, position: u16, other: &View) -> Option<u16> {
        let (name, member) = self.member(position)?;
        let there = other.position(member.incarnation)?;
        let (other_name, other_member) = other.member(there)?;
        (name == other_name && member.peer == other_member.peer).then_some(there)
    }

    /// The member among `candidates` that does the work named by `key`.
    ///
    /// Entries that agree on the candidates agree on the member, and a change of the candidates
    /// moves only the work of those that came or went.
    pub fn chosen(&self, key: u64, candidates: impl Iterator<Item = u16>) -> Option<u16> {
        candidates
            .filter_map(|position| Some((position, self.names.get(usize::from(position))?)))
            .max_by_key(|(_, name)| xxh3_64_with_seed(name.as_str().as_bytes(), key))
            .map(|(position, _)| position)
    }

    fn at(&self, name: &Name, peer: SocketAddr) -> Option<u16> {
        let position = self.names.binary_search(name).ok()?;
        let member = self.members.get(position)?;
        (member.peer == peer).then_some(u16::try_from(position).ok()?)
    }
}

fn fingerprint(names: &[Name], members: &[Member]) -> u64 {
    let mut hash = Xxh3::new();
    for (name, member) in names.iter().zip(members) {
        hash.update(name.as_str().as_bytes());
        hash.update(&[0]);
        hash.update(member.peer.to_string().as_bytes());
        hash.update(&member.incarnation.0.to_le_bytes());
    }
    hash.digest()
}
