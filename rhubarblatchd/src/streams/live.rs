//! The live attempt of one streamed answer: its state machine and its connection.

use std::sync::Arc;

use decision::stream::Stream;
use decision::target::Target;

use super::source::Source;

/// The live attempt.
pub(super) struct Live {
    pub(super) stream: Stream,
    /// Where it is, unless at a peer.
    pub(super) place: Option<Place>,
    pub(super) source: Option<Source>,
    pub(super) begun: Begun,
}

/// The target that may have the live attempt.
pub(super) struct Place {
    pub(super) target: Arc<Target>,
    /// The router's own number of the attempt.
    pub(super) attempt: u32,
}

/// Whether a token of the live attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Begun {
    No,
    Yes,
}

impl Live {
    /// An attempt that is about to be sent.
    pub(super) fn new(stream: Stream) -> Live {
        Live { stream, place: None, source: None, begun: Begun::No }
    }

    /// Gives up the connection and the place, whose target may have to be told.
    pub(super) fn leave(&mut self) -> Option<Place> {
        self.source = None;
        self.begun = Begun::No;
        self.place.take()
    }
}
