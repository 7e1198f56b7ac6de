//! One bound over the bytes that an entry holds for callers and targets.
//!
//! Bodies of requests take their part before they are read, or the request is refused. The events
//! of a stream are read ahead of a caller that reads slowly, so that its target isn't left unread:
//! up to a bound of its own and as long as the entry has room. Beyond that, only this stream
//! waits for its caller.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Part of an entry's memory that is held for callers and targets: one in so many.
const PART: usize = 4;

/// The bytes of all requests and answers.
#[derive(Clone, Debug)]
pub struct Hold {
    room: Arc<Semaphore>,
    most: usize,
}

/// Bytes that are held until this is dropped.
#[derive(Debug)]
pub struct Held {
    _permit: OwnedSemaphorePermit,
}

/// How far a stream is read ahead of its caller.
#[derive(Debug)]
pub struct Ahead {
    own: Arc<Semaphore>,
    most: u32,
    hold: Hold,
}

/// A part of a stream that waits for its caller.
#[derive(Debug)]
pub struct Piece {
    /// What the caller gets.
    pub bytes: Bytes,
    /// Whether the stream had to wait for its caller before.
    pub waited: bool,
    _own: Vec<OwnedSemaphorePermit>,
    _held: Option<Held>,
}

impl Hold {
    /// The bound for an entry with so many bytes of memory.
    pub fn of_memory(bytes: usize) -> Hold {
        Hold::new(bytes / PART)
    }

    /// At most so many bytes.
    pub fn new(most: usize) -> Hold {
        let most = most.clamp(1, Semaphore::MAX_PERMITS);
        Hold { room: Arc::new(Semaphore::new(most)), most }
    }

    /// Bytes that are held now.
    pub fn used(&self) -> usize {
        self.most.saturating_sub(self.room.available_permits())
    }

    /// Holds so many bytes, if there is room.
    pub fn take(&self, bytes: usize) -> Option<Held> {
        let bytes = u32::try_from(bytes).ok()?;
        let permit = self.room.clone().try_acquire_many_owned(bytes).ok()?;
        Some(Held { _permit: permit })
    }

    /// Room for a stream that is read ahead by at most so many bytes.
    pub fn ahead(&self, most: u32) -> Ahead {
        let most = most.max(1);
        Ahead { own: Arc::new(Semaphore::new(most as usize)), most, hold: self.clone() }
    }
}

impl Ahead {
    /// Makes room for `bytes`, and waits for the caller if there is none. The first piece always
    /// has room, so that every stream goes on.
    pub async fn piece(&self, bytes: Bytes) -> Piece {
        let size = u32::try_from(bytes.len()).unwrap_or(u32::MAX).clamp(1, self.most);
        let mut waited = self.own.available_permits() < size as usize;
        let mut own = Vec::new();
        own.extend(self.own.clone().acquire_many_owned(size).await);
        let held = self.hold.take(bytes.len());
        if held.is_none() && size < self.most {
            // Nothing else of this stream may be held beside it.
            waited |= self.own.available_permits() < (self.most - size) as usize;
            own.extend(self.own.clone().acquire_many_owned(self.most - size).await);
        }
        Piece { bytes, waited, _own: own, _held: held }
    }
}
