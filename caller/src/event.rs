//! The events of a stream and their text form.

use bytes::Bytes;
use serde::Serialize;

use crate::{Refusal, json};

/// One event of a stream. After [`Event::End`] or [`Event::Error`] nothing follows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// One token.
    Token {
        /// The token's place in the answer, from 0 without gaps.
        offset: u64,
        /// The token's text.
        token: String,
    },
    /// The end mark: the answer is whole.
    End {
        /// The count of tokens in the answer.
        tokens: u64,
    },
    /// The answer is not whole.
    Error(Refusal),
}

#[derive(Serialize)]
struct Token<'a> {
    token: &'a str,
}

#[derive(Serialize)]
struct End {
    tokens: u64,
}

impl Event {
    /// The event in the form of `text/event-stream`.
    pub(crate) fn encode(&self) -> Bytes {
        let text = match self {
            Event::Token { offset, token } => {
                let data = json::encode(&Token { token });
                format!("event: token\nid: {offset}\ndata: {data}\n\n")
            }
            Event::End { tokens } => {
                let data = json::encode(&End { tokens: *tokens });
                format!("event: end\ndata: {data}\n\n")
            }
            Event::Error(refusal) => {
                let data = json::encode(&refusal.body());
                format!("event: error\ndata: {data}\n\n")
            }
        };
        Bytes::from(text)
    }

    /// Whether nothing may follow.
    pub(crate) const fn is_last(&self) -> bool {
        !matches!(self, Event::Token { .. })
    }
}
