//! Splits a stream of server-sent events, so that only complete events reach the caller.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};

/// Largest size of one event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Buffers the bytes of a stream until they form complete events.
#[derive(Debug, Default)]
pub struct Splitter {
    pending: BytesMut,
    scanned: usize,
    last_id: Option<Arc<str>>,
}

/// The error of an event that is longer than [`Splitter`] accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
pub struct Error;

impl Splitter {
    /// Adds `bytes` to the buffer, then removes and returns everything up to the end of the last
    /// complete event. Returns `None` if no event is complete yet.
    ///
    /// # Errors
    ///
    /// Fails if the incomplete event is longer than 1 MiB.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, Error> {
        self.pending.extend_from_slice(bytes);
        let from = self.scanned.saturating_sub(1);
        let end = self.pending[from..].windows(2).rposition(|it| it == b"\n\n");
        self.scanned = self.pending.len();
        let Some(end) = end.map(|it| from + it + 2) else {
            return if self.pending.len() > MAX_EVENT_BYTES { Err(Error) } else { Ok(None) };
        };
        let whole = self.pending.split_to(end).freeze();
        self.scanned = self.pending.len();
        if let Some(id) = find_last_id(&whole) {
            self.last_id = Some(id);
        }
        Ok(Some(whole))
    }

    /// Returns the bytes of the last event, which is incomplete. Empty if there is none.
    pub fn incomplete(&self) -> &[u8] {
        &self.pending
    }

    /// Discards the bytes of the incomplete event.
    pub fn clear(&mut self) {
        self.pending.clear();
        self.scanned = 0;
    }

    /// Returns the identifier of the last complete event that has one.
    pub fn last_id(&self) -> Option<&Arc<str>> {
        self.last_id.as_ref()
    }
}

/// Returns the value of the last field `id` in `events`, without surrounding white space. `None` if
/// there is none or it is not UTF-8.
fn find_last_id(events: &[u8]) -> Option<Arc<str>> {
    let lines = events.split(|it| *it == b'\n').rev();
    let id = lines.filter_map(|it| it.strip_prefix(b"id:")).next()?;
    std::str::from_utf8(id).ok().map(|it| it.trim().into())
}
