//! Names of declared and discovered things.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Longest accepted name, in bytes.
pub const MAX_BYTES: usize = 63;

/// A name of 1 to 63 lower-case letters, digits, `-` and `.`, starting with a letter or digit.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(Arc<str>);

/// Why a text is not a name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text is empty.
    #[error("a name must not be empty")]
    Empty,
    /// The text is longer than [`MAX_BYTES`].
    #[error("name \"{0}\" is longer than {MAX_BYTES} bytes")]
    Long(String),
    /// The text holds a character that names may not have, or starts with `-` or `.`.
    #[error("name \"{0}\" may hold only a-z, 0-9, '-' and '.', and starts with a letter or digit")]
    Character(String),
}

impl Name {
    /// Checks `text` and makes it a name.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] that quotes the text if it breaks the rule above.
    pub fn new(text: impl AsRef<str>) -> Result<Name, Error> {
        let text = text.as_ref();
        if text.is_empty() {
            return Err(Error::Empty);
        }
        if text.len() > MAX_BYTES {
            return Err(Error::Long(text.chars().take(MAX_BYTES).collect()));
        }
        let allowed =
            |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '.';
        if !text.chars().all(allowed) || text.starts_with(['-', '.']) {
            return Err(Error::Character(text.to_owned()));
        }
        Ok(Name(text.into()))
    }

    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", &*self.0)
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

impl TryFrom<String> for Name {
    type Error = Error;

    fn try_from(text: String) -> Result<Name, Error> {
        Name::new(text)
    }
}

impl std::str::FromStr for Name {
    type Err = Error;

    fn from_str(text: &str) -> Result<Name, Error> {
        Name::new(text)
    }
}

impl From<Name> for String {
    fn from(name: Name) -> String {
        name.0.as_ref().to_owned()
    }
}

impl Default for Name {
    /// The name `default`.
    fn default() -> Name {
        Name("default".into())
    }
}
