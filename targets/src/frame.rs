//! The lines of an engine's stream.

use decision::attempt::Attempt;
use decision::stream::{Content, Frame};
use serde::Deserialize;

/// The two shapes of a line, told apart by their fields.
#[derive(Deserialize)]
#[serde(untagged)]
enum Line {
    Token {
        #[serde(flatten)]
        attempt: Attempt,
        offset: u64,
        token: String,
    },
    End {
        #[serde(flatten)]
        attempt: Attempt,
        end: u64,
    },
}

/// Reads one line.
///
/// # Errors
///
/// Fails if the line is neither a token nor an end mark.
pub fn parse(line: &str) -> Result<Frame, serde_json::Error> {
    let frame = match serde_json::from_str(line)? {
        Line::Token { attempt, offset, token } => {
            Frame { attempt, content: Content::Token { offset, token } }
        }
        Line::End { attempt, end } => Frame { attempt, content: Content::End { tokens: end } },
    };
    Ok(frame)
}
