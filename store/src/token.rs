//! Bearer tokens, kept out of logs and messages.

use std::fmt;

use serde::Deserialize;

/// A bearer token. Its text never appears in `Debug` output and cannot be serialised.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct Token(String);

impl Token {
    /// A token with this text.
    pub fn new(text: impl Into<String>) -> Token {
        Token(text.into())
    }

    /// The value of an `authorization` header with this token.
    pub fn authorization(&self) -> String {
        format!("Bearer {}", self.0)
    }

    /// Whether an `authorization` header holds this token. Takes the same time for every header
    /// of the same length.
    pub fn admits(&self, header: &str) -> bool {
        let wanted = self.authorization();
        let difference =
            wanted.bytes().zip(header.bytes()).fold(0, |sum, (left, right)| sum | (left ^ right));
        !self.0.is_empty() && wanted.len() == header.len() && difference == 0
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(..)")
    }
}
