//! Where the frames of a live attempt come from: its target, or a peer that relays them.

use caller::Refusal;
use decision::attempt::Attempt;
use decision::stream::{Content, Frame};
use target::generate::Frames;

use crate::relay::{self, Item, Items};

/// Where frames come from. Dropping it closes the connection.
pub(super) enum Source {
    /// From a target.
    Target(Frames),
    /// From a peer, which counts attempts of its own.
    Peer(Items),
}

/// What comes next.
pub(super) enum Next {
    /// A frame.
    Frame(Frame),
    /// The peer's refusal of the request, or of the rest of its stream.
    Refused(Refusal),
    /// Nothing: the connection broke off.
    Broken,
}

impl Source {
    /// Waits for what comes next. Safe to drop while it waits.
    pub(super) async fn next(&mut self, live: Attempt) -> Next {
        match self {
            Source::Target(frames) => match frames.next().await {
                Some(Ok(frame)) => Next::Frame(frame),
                Some(Err(_)) | None => Next::Broken,
            },
            Source::Peer(items) => read(items.next().await, live),
        }
    }
}

/// An item as a frame of the live attempt, as the connection belongs to it alone.
fn read(item: Option<Item>, live: Attempt) -> Next {
    let content = match item {
        Some(Item::Token { offset, token }) => Content::Token { offset, token },
        Some(Item::End { tokens }) => Content::End { tokens },
        Some(Item::Refused { kind, outcome, message, retry_after_ms }) => {
            return Next::Refused(relay::refusal(kind, outcome, message, retry_after_ms));
        }
        Some(Item::Answer { .. }) | None => return Next::Broken,
    };
    Next::Frame(Frame { attempt: live, content })
}
