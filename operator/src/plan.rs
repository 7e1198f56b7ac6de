//! What has to change for the stored configuration to be as declared.

use decision::declaration::{Declaration, Id, Kind, Set, State};
use decision::head::{Generation, Hash};
use decision::name::Name;
use serde_json::Error;

use crate::change::{Change, Configuration, Edit};
use crate::source::{Declared, Mention};

/// What becomes of stored declarations that the files do not hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Removal {
    /// They stay.
    Keep,
    /// They are removed, but for failure domains and instances that are out of service.
    Prune,
}

/// What has to change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The generation that the plan was made against.
    pub base: Generation,
    /// What was stored.
    pub previous: Set,
    /// What is to be stored.
    pub next: Set,
}

impl Plan {
    /// Compares `declared` with `stored`.
    ///
    /// A failure domain or an instance whose declaration leaves out `state` keeps the state that
    /// is stored, so that files do not undo what an operator took out of service.
    pub fn new(stored: &Configuration, declared: &[Declared], removal: Removal) -> Plan {
        let previous = stored.set();
        let mut next = match removal {
            Removal::Keep => previous.clone(),
            Removal::Prune => out_of_service(&previous),
        };
        for it in declared {
            let mut declaration = it.declaration.clone();
            if it.state == Mention::Omitted {
                keep_state(&mut declaration, &previous);
            }
            next.insert(declaration.id(), declaration);
        }
        Plan { base: stored.generation, previous, next }
    }

    /// Takes one failure domain or instance out of service or back in.
    ///
    /// Only an instance may be undeclared before. None if `id` is a failure domain that is not
    /// declared, or of another kind.
    pub fn set_state(stored: &Configuration, id: &Id, state: State) -> Option<Plan> {
        let previous = stored.set();
        let mut declaration = match (previous.get(id), id.kind) {
            (Some(declaration), _) => declaration.clone(),
            (None, Kind::Instance) => instance(&id.name),
            (None, _) => return None,
        };
        *state_of(&mut declaration)? = state;
        let mut next = previous.clone();
        next.insert(id.clone(), declaration);
        Some(Plan { base: stored.generation, previous, next })
    }

    /// The declarations that differ, with what was stored and what is to be stored.
    pub fn differences(&self) -> Vec<(&Id, Option<&Declaration>, Option<&Declaration>)> {
        let removed = self.previous.keys().filter(|id| !self.next.contains_key(id));
        let ids = self.next.keys().chain(removed);
        let pairs = ids.map(|id| (id, self.previous.get(id), self.next.get(id)));
        pairs.filter(|(_, previous, next)| previous != next).collect()
    }

    /// The change that carries out the plan.
    ///
    /// # Errors
    ///
    /// Fails only if a declaration cannot be serialised as JSON.
    pub fn change(&self, nonce: u64) -> Result<Change, Error> {
        let edit = |(id, previous, next): (&Id, Option<&Declaration>, Option<&Declaration>)| {
            let expected = previous.map(Hash::of).transpose()?;
            Ok(Edit { id: id.clone(), expected, declaration: next.cloned() })
        };
        let edits: Result<Vec<Edit>, Error> = self.differences().into_iter().map(edit).collect();
        Ok(Change { base: self.base, nonce, edits: edits? })
    }
}

fn out_of_service(set: &Set) -> Set {
    let is_out = |declaration: &Declaration| {
        state_of(&mut declaration.clone()).is_some_and(|state| *state == State::Out)
    };
    let out = set.iter().filter(|(_, declaration)| is_out(declaration));
    out.map(|(id, declaration)| (id.clone(), declaration.clone())).collect()
}

fn keep_state(declaration: &mut Declaration, previous: &Set) {
    let stored = previous.get(&declaration.id()).cloned();
    let stored = stored.and_then(|mut it| state_of(&mut it).copied());
    if let (Some(stored), Some(state)) = (stored, state_of(declaration)) {
        *state = stored;
    }
}

fn state_of(declaration: &mut Declaration) -> Option<&mut State> {
    match declaration {
        Declaration::FailureDomain(it) => Some(&mut it.state),
        Declaration::Instance(it) => Some(&mut it.state),
        _ => None,
    }
}

fn instance(name: &Name) -> Declaration {
    let state = State::default();
    Declaration::Instance(decision::declaration::Instance { name: name.clone(), state })
}
