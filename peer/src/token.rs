//! The bearer token that entries show each other.

use std::fmt;

use http::HeaderValue;

/// A secret shared by all entries. Never printed.
#[derive(Clone)]
pub struct Token(HeaderValue);

/// The token cannot be sent in a header.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the peer token must be 1 to 512 visible ASCII characters")]
pub struct Error;

/// Longest accepted token, in bytes.
pub const MAX_BYTES: usize = 512;

impl Token {
    /// Checks `secret` and makes it a token.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the secret is empty, too long or holds other than visible ASCII.
    pub fn new(secret: impl AsRef<str>) -> Result<Token, Error> {
        let secret = secret.as_ref();
        let visible = secret.bytes().all(|byte| byte.is_ascii_graphic());
        if secret.is_empty() || secret.len() > MAX_BYTES || !visible {
            return Err(Error);
        }
        let mut value =
            HeaderValue::from_str(&format!("Bearer {secret}")).map_err(|_invalid| Error)?;
        value.set_sensitive(true);
        Ok(Token(value))
    }

    /// The value of the `authorization` header.
    pub(crate) fn header(&self) -> HeaderValue {
        self.0.clone()
    }

    /// Whether `shown` is this token's header, in a time that depends on the length only.
    pub(crate) fn accepts(&self, shown: Option<&HeaderValue>) -> bool {
        let Some(shown) = shown else {
            return false;
        };
        let (ours, theirs) = (self.0.as_bytes(), shown.as_bytes());
        if ours.len() != theirs.len() {
            return false;
        }
        let difference = ours.iter().zip(theirs).fold(0, |sum, (a, b)| sum | (a ^ b));
        difference == 0
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(..)")
    }
}
