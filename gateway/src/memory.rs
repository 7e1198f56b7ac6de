//! Bound on the bytes that an entry buffers for callers and targets.
//!
//! A request's body reserves its bytes before it is read, or the request is refused. The events
//! of a stream are read ahead of a caller that reads slowly, so that the target's connection
//! doesn't stall: up to a bound per stream, and as long as the entry has memory left. Beyond that,
//! only this stream waits for its caller.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Divisor of an entry's memory that gives the bytes for buffers.
const BUFFER_DIVISOR: usize = 4;

/// Limiter of the buffered bytes of all requests and answers of an entry.
#[derive(Clone, Debug)]
pub struct Limiter {
    available: Arc<Semaphore>,
    max_bytes: usize,
}

/// Bytes that stay reserved until this is dropped.
#[derive(Debug)]
pub struct Reservation {
    _permit: OwnedSemaphorePermit,
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

    /// Returns the number of bytes that are reserved.
    pub fn used(&self) -> usize {
        self.max_bytes.saturating_sub(self.available.available_permits())
    }

    /// Reserves `bytes`, or returns `None` if fewer are available.
    pub fn reserve(&self, bytes: usize) -> Option<Reservation> {
        let bytes = u32::try_from(bytes).ok()?;
        let permit = self.available.clone().try_acquire_many_owned(bytes).ok()?;
        Some(Reservation { _permit: permit })
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
