//! Bytes that arrive piece by piece and are kept until they are complete.

use bytes::Bytes;

use super::{Limiter, Reservation, Use};

/// Bytes that are read piece by piece. Each piece is reserved before it is kept, and copied, so
/// that nothing else of what was read with it stays in memory.
#[derive(Debug)]
pub struct Hold {
    limiter: Limiter,
    purpose: Use,
    bytes: Vec<u8>,
    reservation: Reservation,
}

/// The error of a piece that may not be kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no memory left to keep more bytes")]
pub struct Full;

/// Bytes that stay reserved as long as they are referred to.
struct Kept {
    bytes: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Kept {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Hold {
    /// Returns an empty hold, whose first bytes are reserved already.
    pub(super) fn new(limiter: Limiter, purpose: Use, reservation: Reservation) -> Hold {
        Hold { limiter, purpose, bytes: Vec::new(), reservation }
    }

    /// Returns the number of bytes that are kept.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether nothing is kept.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Adds `piece` to the bytes that are kept.
    ///
    /// # Errors
    ///
    /// Fails if the entry has no memory left for it. What was added before stays.
    pub fn push(&mut self, piece: &[u8]) -> Result<(), Full> {
        let needed = self.bytes.len() + piece.len();
        if needed > self.bytes.capacity() {
            let size = self.next_size(needed).ok_or(Full)?;
            self.bytes.reserve_exact(size - self.bytes.len());
        }
        self.bytes.extend_from_slice(piece);
        Ok(())
    }

    /// Reserves memory for `needed` bytes, if possible for twice as many as now. Returns for how
    /// many.
    fn next_size(&mut self, needed: usize) -> Option<usize> {
        let reserved = self.reservation.bytes();
        let doubled = needed.max(self.bytes.capacity().saturating_mul(2));
        if needed <= reserved {
            return Some(doubled.min(reserved));
        }
        [doubled, needed].into_iter().find(|size| {
            self.limiter.extend(&mut self.reservation, size.saturating_sub(reserved), self.purpose)
        })
    }

    /// Returns the bytes. They stay reserved until the last reference to them is dropped.
    pub fn into_bytes(mut self) -> Bytes {
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        self.bytes.shrink_to_fit();
        self.reservation.shrink(self.bytes.capacity());
        Bytes::from_owner(Kept { bytes: self.bytes, _reservation: self.reservation })
    }
}
