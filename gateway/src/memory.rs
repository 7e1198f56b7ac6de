//! Bound on the bytes that an entry buffers for callers and targets.
//!
//! A request's body reserves its bytes before it is read, or the request is refused. The events
//! of a stream are read ahead of a caller that reads slowly, so that the target's connection
//! doesn't stall: up to a bound per stream, and as long as the entry has memory left. Beyond that,
//! only this stream waits for its caller.
//!
//! An answer that is read as a whole, or an event that isn't complete, may take a part of the
//! memory and has to leave some to others, since its target may send bytes without end.

mod hold;

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

pub use self::hold::{Full, Hold};

/// Divisor of an entry's memory that gives the bytes for buffers.
const BUFFER_DIVISOR: usize = 4;

/// Divisor of the bytes for buffers that gives the largest size of one answer.
const ANSWER_DIVISOR: usize = 4;

/// Divisor of the bytes for buffers that gives those which answers leave to requests.
const SPARED_DIVISOR: usize = 4;

/// Divisor of the bytes for buffers that gives those which large answers leave to all others.
const SPARED_BY_LARGE_DIVISOR: usize = 2;

/// Size from which on an answer is large, in bytes.
const LARGE_ANSWER_BYTES: usize = 64 << 10;

/// What bytes are reserved for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    /// The body of a caller's request, whose size the configuration bounds.
    Request,
    /// What a target answers. Its size has no other bound.
    Answer,
}

/// Memory of an entry whose settings don't state it.
const DEFAULT_MEMORY_BYTES: usize = 256_000_000;

/// Limiter of the buffered bytes of all requests and answers of an entry.
#[derive(Clone, Debug)]
pub struct Limiter {
    available: Arc<Semaphore>,
    max_bytes: usize,
}

/// Bytes that stay reserved until this is dropped.
#[derive(Debug)]
pub struct Reservation {
    permit: OwnedSemaphorePermit,
}

impl Reservation {
    /// Returns the number of bytes that are reserved.
    pub fn bytes(&self) -> usize {
        self.permit.num_permits()
    }

    /// Gives back what is reserved beyond `bytes`.
    fn shrink(&mut self, bytes: usize) {
        let excess = self.bytes().saturating_sub(bytes);
        drop(self.permit.split(excess));
    }
}

/// Read-ahead buffer of one stream.
#[derive(Debug)]
pub struct ReadAhead {
    available: Arc<Semaphore>,
    max_bytes: u32,
    limiter: Limiter,
}

/// Part of a stream that is buffered for its caller.
#[derive(Debug)]
pub struct Chunk {
    /// Bytes for the caller.
    pub bytes: Bytes,
    /// Whether the stream had to wait for its caller before it could buffer this chunk.
    pub has_waited: bool,
    _permits: Vec<OwnedSemaphorePermit>,
    _reservation: Option<Reservation>,
}

impl Default for Limiter {
    fn default() -> Limiter {
        Limiter::of_memory(DEFAULT_MEMORY_BYTES)
    }
}

impl Limiter {
    /// Returns the limiter for an entry with `bytes` of memory, a quarter of which is for buffers.
    pub fn of_memory(bytes: usize) -> Limiter {
        Limiter::new(bytes / BUFFER_DIVISOR)
    }

    /// Returns a limiter of at most `max_bytes`, and of at least one byte.
    pub fn new(max_bytes: usize) -> Limiter {
        let max_bytes = max_bytes.clamp(1, Semaphore::MAX_PERMITS);
        Limiter { available: Arc::new(Semaphore::new(max_bytes)), max_bytes }
    }

    /// Returns the number of bytes that can be reserved in total.
    pub fn max_bytes(&self) -> usize {
        self.max_bytes
    }

    /// Returns the number of bytes that are reserved.
    pub fn used(&self) -> usize {
        self.max_bytes.saturating_sub(self.available.available_permits())
    }

    /// Reserves `bytes`, or returns `None` if fewer are available.
    pub fn reserve(&self, bytes: usize) -> Option<Reservation> {
        let bytes = u32::try_from(bytes).ok()?;
        let permit = self.available.clone().try_acquire_many_owned(bytes).ok()?;
        Some(Reservation { permit })
    }

    /// Adds `bytes` to `reservation`, which was made here. Returns whether there is enough memory
    /// for that `purpose`.
    pub(crate) fn extend(&self, reservation: &mut Reservation, bytes: usize, purpose: Use) -> bool {
        let size = reservation.bytes().saturating_add(bytes);
        let spared = match purpose {
            Use::Request => 0,
            Use::Answer if size > self.max_bytes / ANSWER_DIVISOR => return false,
            Use::Answer if size > LARGE_ANSWER_BYTES => self.max_bytes / SPARED_BY_LARGE_DIVISOR,
            Use::Answer => self.max_bytes / SPARED_DIVISOR,
        };
        if self.available.available_permits() < bytes.saturating_add(spared) {
            return false;
        }
        match self.reserve(bytes) {
            Some(added) => {
                reservation.permit.merge(added.permit);
                true
            }
            None => false,
        }
    }

    /// Returns a hold for the body of a request of which `bytes` are expected, or `None` if there
    /// is no memory left for them.
    pub fn hold_request(&self, bytes: usize) -> Option<Hold> {
        let reservation = self.reserve(bytes)?;
        Some(Hold::new(self.clone(), Use::Request, reservation))
    }

    /// Returns a hold for what a target answers, or `None` if the limiter is closed.
    pub fn hold_answer(&self) -> Option<Hold> {
        let reservation = self.reserve(0)?;
        Some(Hold::new(self.clone(), Use::Answer, reservation))
    }

    /// Returns the buffer of a stream that is read ahead by at most `max_bytes`.
    pub fn read_ahead(&self, max_bytes: u32) -> ReadAhead {
        let max_bytes = max_bytes.max(1);
        ReadAhead {
            available: Arc::new(Semaphore::new(max_bytes as usize)),
            max_bytes,
            limiter: self.clone(),
        }
    }
}

impl ReadAhead {
    /// Buffers `bytes`, and waits for the caller while the buffer is full. An empty buffer accepts
    /// a chunk of any size, even if the entry has no memory left, so that every stream progresses.
    pub async fn buffer(&self, bytes: Bytes) -> Chunk {
        let size = u32::try_from(bytes.len()).unwrap_or(u32::MAX).clamp(1, self.max_bytes);
        let mut has_waited = self.available.available_permits() < size as usize;
        let mut permits = Vec::new();
        permits.extend(self.available.clone().acquire_many_owned(size).await);
        let reservation = self.limiter.reserve(bytes.len());
        if reservation.is_none() && size < self.max_bytes {
            // Without a reservation, the chunk has to be the only one that this stream buffers.
            has_waited |= self.available.available_permits() < (self.max_bytes - size) as usize;
            permits.extend(self.available.clone().acquire_many_owned(self.max_bytes - size).await);
        }
        Chunk { bytes, has_waited, _permits: permits, _reservation: reservation }
    }
}
