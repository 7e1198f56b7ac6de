//! Compressed updates, encoded once and sent to all peers that request them.
//!
//! When many entries start at the same time, each needs the whole list of instances. Encoding the
//! list for each of them, without compression, takes longer than their timeout, so that all of them
//! repeat their requests.

use std::io::{Read as _, Write as _};
use std::sync::{Mutex, PoisonError};

use bytes::Bytes;
use decision::gateway::era::Era;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

use crate::mirror::Update;
use crate::port::{Kind, Object};

/// Smallest number of objects in a list that is sent compressed.
const MIN_PACKED_OBJECTS: usize = 64;

/// Largest size of unpacked updates. What lies beyond is cut off, so that decoding fails.
const MAX_UNPACKED_BYTES: u64 = 64 << 20;

/// Error while updates are packed or unpacked.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The updates can't be encoded.
    #[error("updates cannot be encoded: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    /// The decompressed bytes aren't updates, or are truncated.
    #[error("updates cannot be decoded: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
    /// Compression failed, or the bytes aren't compressed data.
    #[error("updates cannot be compressed or decompressed: {0}")]
    Compress(#[from] std::io::Error),
}

/// Identity of packed updates: the era, and kind and revision of each, and whether it has a whole
/// list.
type CacheKey = (Era, Vec<(Kind, u64, bool)>);

/// Packs updates, and caches the last ones that consist of whole lists.
#[derive(Debug, Default)]
pub struct Packer {
    cached: Mutex<Option<(CacheKey, Bytes)>>,
}

/// Returns whether `updates` contain a list that is long enough to be packed.
pub fn is_large(updates: &[Update]) -> bool {
    updates.iter().any(|it| it.list.as_ref().is_some_and(|list| list.len() >= MIN_PACKED_OBJECTS))
}

impl Packer {
    /// Returns `updates` in packed form: MessagePack, compressed with DEFLATE. Whole lists come
    /// from the cache unless a revision has changed.
    ///
    /// # Errors
    ///
    /// Returns an error if the updates can't be encoded or compressed.
    pub fn pack(&self, era: Era, updates: &[Update]) -> Result<Bytes, Error> {
        let identity = |it: &Update| (it.kind, it.changes.revision, it.list.is_some());
        let key: CacheKey = (era, updates.iter().map(identity).collect());
        let mut cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
        // Whole lists are the same for all peers; changes depend on the peer's revision.
        let is_whole = updates.iter().all(|it| it.list.is_some());
        if let Some((_, bytes)) = cached.as_ref().filter(|it| is_whole && it.0 == key) {
            return Ok(bytes.clone());
        }
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        let mut encoded = rmp_serde::to_vec(updates)?;
        append_sequences(&mut encoded, updates)?;
        encoder.write_all(&encoded)?;
        let bytes = Bytes::from(encoder.finish()?);
        if is_whole {
            *cached = Some((key, bytes.clone()));
        }
        Ok(bytes)
    }
}

/// Returns the updates in `bytes`, as a peer packed them.
///
/// # Errors
///
/// Returns an error if `bytes` aren't packed updates, or are too large when unpacked.
pub fn unpack(bytes: &[u8]) -> Result<Vec<Update>, Error> {
    let mut unpacked = Vec::new();
    DeflateDecoder::new(bytes).take(MAX_UNPACKED_BYTES).read_to_end(&mut unpacked)?;
    let mut rest = unpacked.as_slice();
    let mut updates: Vec<Update> = rmp_serde::from_read(&mut rest)?;
    read_sequences(rest, &mut updates)?;
    Ok(updates)
}

/// Appends the sequences of all instances in `updates` to their encoded form, where builds that
/// don't know them don't read.
///
/// # Errors
///
/// Returns an error if they can't be encoded.
pub fn append_sequences(encoded: &mut Vec<u8>, updates: &[Update]) -> Result<(), Error> {
    let objects = updates.iter().flat_map(|it| it.list.iter().flatten().chain(&it.changes.put));
    let sequences = objects.filter_map(|it| match &it.object {
        Object::Instance(instance) => Some(instance.sequence),
        _ => None,
    });
    let sequences: Vec<Option<u64>> = sequences.collect();
    rmp_serde::encode::write(encoded, &sequences)?;
    Ok(())
}

/// Sets the sequences of the instances in `updates` from the bytes behind their encoded form. A
/// build that doesn't know them appends none, and the instances keep none.
///
/// # Errors
///
/// Returns an error if there are such bytes and they aren't sequences.
pub fn read_sequences(rest: &[u8], updates: &mut [Update]) -> Result<(), rmp_serde::decode::Error> {
    if rest.is_empty() {
        return Ok(());
    }
    let sequences: Vec<Option<u64>> = rmp_serde::from_slice(rest)?;
    let objects =
        updates.iter_mut().flat_map(|it| it.list.iter_mut().flatten().chain(&mut it.changes.put));
    let instances = objects.filter_map(|it| match &mut it.object {
        Object::Instance(instance) => Some(instance),
        _ => None,
    });
    for (instance, sequence) in instances.zip(sequences) {
        instance.sequence = sequence;
    }
    Ok(())
}
