//! Whole lists for many peers at once: written and compressed once, and sent to all that ask.
//!
//! When many entries start at the same time, each needs the whole list of instances. Written for
//! each of them, and in full, that takes longer than their patience, and all ask again.

use std::io::{Read as _, Write as _};
use std::sync::{Mutex, PoisonError};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

use crate::mirror::Update;
use crate::port::Kind;

/// Objects in a list from which on it is packed.
const MANY: usize = 64;

/// Largest list, unpacked, in bytes.
const MAX_BYTES: u64 = 64 << 20;

/// Why news can't be packed or unpacked.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// They can't be written.
    #[error("news can't be written: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    /// They can't be read.
    #[error("news can't be read: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
    /// They can't be compressed, or aren't.
    #[error("news can't be compressed or decompressed: {0}")]
    Compress(#[from] std::io::Error),
}

/// Which news were packed: kind, revision, and whether all objects are in them.
type Name = Vec<(Kind, u64, bool)>;

/// The last news that were packed.
#[derive(Debug, Default)]
pub struct Packer {
    last: Mutex<Option<(Name, Bytes)>>,
}

/// Whether there is so much in `news` that it is packed.
pub fn is_large(news: &[Update]) -> bool {
    news.iter().any(|it| it.list.as_ref().is_some_and(|list| list.len() >= MANY))
}

impl Packer {
    /// The packed form of `news`, from before if nothing has changed since.
    ///
    /// # Errors
    ///
    /// If they can't be written.
    pub fn pack(&self, news: &[Update]) -> Result<Bytes, Error> {
        let name: Name =
            news.iter().map(|it| (it.kind, it.changes.revision, it.list.is_some())).collect();
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        // Only whole lists are the same for everyone who asks.
        let whole = news.iter().all(|it| it.list.is_some());
        if let Some((_, bytes)) = last.as_ref().filter(|it| whole && it.0 == name) {
            return Ok(bytes.clone());
        }
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&rmp_serde::to_vec(news)?)?;
        let bytes = Bytes::from(encoder.finish()?);
        if whole {
            *last = Some((name, bytes.clone()));
        }
        Ok(bytes)
    }
}

/// The news in `bytes`, as a peer packed them.
///
/// # Errors
///
/// If they aren't packed news, or are too large.
pub fn unpack(bytes: &[u8]) -> Result<Vec<Update>, Error> {
    let mut all = Vec::new();
    DeflateDecoder::new(bytes).take(MAX_BYTES).read_to_end(&mut all)?;
    Ok(rmp_serde::from_slice(&all)?)
}
