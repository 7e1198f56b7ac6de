//! Splits a stream of server-sent events, so that only complete events reach the caller.

use bytes::{Bytes, BytesMut};

use crate::memory::{Limiter, Reservation, Use};

/// Largest size of one event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Size up to which an event is kept without a reservation, in bytes, so that usual streams go on
/// while the entry has no memory left.
const UNRESERVED_EVENT_BYTES: usize = 8 << 10;

/// Buffers the bytes of a stream until they form complete events.
#[derive(Debug)]
pub struct Splitter {
    limiter: Limiter,
    pending: BytesMut,
    scanned: usize,
    reservation: Option<Reservation>,
}

/// The error of an event that is longer than [`Splitter`] accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event is longer than {MAX_EVENT_BYTES} bytes, or than there is memory for")]
pub struct Error;

impl Splitter {
    /// Returns an empty splitter, whose long events `limiter` bounds.
    pub fn new(limiter: Limiter) -> Splitter {
        Splitter { limiter, pending: BytesMut::new(), scanned: 0, reservation: None }
    }

    /// Adds `bytes` to the buffer, then removes and returns everything up to the end of the last
    /// complete event. Returns `None` if no event is complete yet.
    ///
    /// # Errors
    ///
    /// Fails if the incomplete event is longer than 1 MiB, or the entry has no memory left for it.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, Error> {
        self.pending.extend_from_slice(bytes);
        let from = self.scanned.saturating_sub(1);
        let end = self.pending[from..].windows(2).rposition(|it| it == b"\n\n");
        self.scanned = self.pending.len();
        let Some(end) = end.map(|it| from + it + 2) else {
            return self.reserve().map(|()| None);
        };
        let whole = self.pending.split_to(end).freeze();
        self.scanned = self.pending.len();
        // What follows the event is at most one read; the next call reserves it.
        self.reservation = None;
        Ok(Some(whole))
    }

    /// Reserves memory for the incomplete event, whose buffer may be twice as large.
    fn reserve(&mut self) -> Result<(), Error> {
        let size = self.pending.len();
        if size <= UNRESERVED_EVENT_BYTES {
            return Ok(());
        }
        if size > MAX_EVENT_BYTES {
            return Err(Error);
        }
        if self.reservation.is_none() {
            self.reservation = self.limiter.reserve(0);
        }
        let reservation = self.reservation.as_mut().ok_or(Error)?;
        let missing = (2 * size).saturating_sub(reservation.bytes());
        match missing == 0 || self.limiter.extend(reservation, missing, Use::Answer) {
            true => Ok(()),
            false => Err(Error),
        }
    }

    /// Returns the bytes of the last event, which is incomplete. Empty if there is none.
    pub fn incomplete(&self) -> &[u8] {
        &self.pending
    }

    /// Discards the bytes of the incomplete event.
    pub fn clear(&mut self) {
        self.pending = BytesMut::new();
        self.scanned = 0;
        self.reservation = None;
    }
}
