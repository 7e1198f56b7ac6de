//! Splits a stream into whole events, so that only whole ones reach the caller.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};

/// Most bytes of one event.
const MAX_EVENT: usize = 1 << 20;

/// Gathers bytes until events are whole.
#[derive(Debug, Default)]
pub struct Splitter {
    pending: BytesMut,
    scanned: usize,
    last: Option<Arc<str>>,
}

/// An event is longer than any that is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event is longer than {MAX_EVENT} bytes")]
pub struct Long;

impl Splitter {
    /// Takes bytes and returns those up to the end of the last whole event.
    ///
    /// # Errors
    ///
    /// If an event is longer than any that is served.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, Long> {
        self.pending.extend_from_slice(bytes);
        let from = self.scanned.saturating_sub(1);
        let end = self.pending[from..].windows(2).rposition(|it| it == b"\n\n");
        self.scanned = self.pending.len();
        let Some(end) = end.map(|it| from + it + 2) else {
            return if self.pending.len() > MAX_EVENT { Err(Long) } else { Ok(None) };
        };
        let whole = self.pending.split_to(end).freeze();
        self.scanned = self.pending.len();
        if let Some(id) = last_id(&whole) {
            self.last = Some(id);
        }
        Ok(Some(whole))
    }

    /// Bytes of an event that isn't whole.
    pub fn rest(&self) -> &[u8] {
        &self.pending
    }

    /// Drops the bytes of an event that isn't whole.
    pub fn clear(&mut self) {
        self.pending.clear();
        self.scanned = 0;
    }

    /// The identifier of the last whole event.
    pub fn last(&self) -> Option<&Arc<str>> {
        self.last.as_ref()
    }
}

/// The last line of the field `id`.
fn last_id(events: &[u8]) -> Option<Arc<str>> {
    let lines = events.split(|it| *it == b'\n').rev();
    let id = lines.filter_map(|it| it.strip_prefix(b"id:")).next()?;
    std::str::from_utf8(id).ok().map(|it| it.trim().into())
}
