//! The stored configuration and changes of it, as operators exchange them with an entry.

use std::collections::BTreeSet;

use decision::declaration::{Declaration, Id, Set};
use decision::head::{Generation, Hash, item_key};
use serde::{Deserialize, Serialize};

/// Nonces are below this, so that every JSON parser keeps them exactly.
const MAX_NONCE: u64 = 1 << 53;

/// The configuration of one generation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// The generation.
    pub generation: Generation,
    /// What is declared, ordered by kind and name.
    pub declarations: Vec<Declaration>,
}

/// A change of the configuration. It takes effect as a whole or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The generation that the change was made against.
    pub base: Generation,
    /// Identifies the change: sent again, it takes effect once. Drawn at random, below 2^53.
    pub nonce: u64,
    /// What changes, at most one edit for each declaration.
    pub edits: Vec<Edit>,
}

/// The change of one declaration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// The declaration that changes.
    pub id: Id,
    /// The hash of what the operator saw, or none if it was not declared.
    pub expected: Option<Hash>,
    /// What it becomes, or none to remove it.
    pub declaration: Option<Declaration>,
}

/// A change that is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Applied {
    /// The generation that holds the change.
    pub generation: Generation,
    /// The declarations that changed. Empty if the configuration was as wanted already.
    pub changed: Vec<Id>,
}

/// A declaration that another operator changed first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// The declaration.
    pub id: Id,
    /// What is stored now, or none if it is not declared.
    pub theirs: Option<Declaration>,
    /// What the refused change would have made it, or none for a removal.
    pub yours: Option<Declaration>,
}

/// A change that contradicts itself.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Two edits change one declaration.
    #[error("{} is edited twice", item_key(.0))]
    Twice(Id),
    /// The edit's declaration has another kind or name.
    #[error("the edit of {} holds {}", item_key(id), item_key(held))]
    Other {
        /// What the edit says to change.
        id: Id,
        /// What it holds.
        held: Id,
    },
    /// The nonce is not exact in JSON.
    #[error("nonce {0} is not below 2^53")]
    Nonce(u64),
}

impl Change {
    /// Checks what can be checked without the stored configuration.
    ///
    /// # Errors
    ///
    /// Returns the first contradiction.
    pub fn check(&self) -> Result<(), Error> {
        if self.nonce >= MAX_NONCE {
            return Err(Error::Nonce(self.nonce));
        }
        let mut seen = BTreeSet::new();
        for Edit { id, declaration, .. } in &self.edits {
            if !seen.insert(id) {
                return Err(Error::Twice(id.clone()));
            }
            if let Some(held) = declaration.as_ref().map(Declaration::id)
                && held != *id
            {
                return Err(Error::Other { id: id.clone(), held });
            }
        }
        Ok(())
    }
}

impl Configuration {
    /// The declarations by kind and name.
    pub fn set(&self) -> Set {
        self.declarations.iter().map(|it| (it.id(), it.clone())).collect()
    }
}
