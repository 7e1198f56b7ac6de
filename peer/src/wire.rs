//! Frames: one version byte, then one message in MessagePack.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The version of the messages that this build speaks.
pub const VERSION: u8 = 1;

/// One message as it travels between entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame(Bytes);

/// Why a frame was not understood.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The frame holds no byte.
    #[error("the frame is empty")]
    Empty,
    /// The frame is of a version that this build does not speak.
    #[error("frame version {0} is not spoken here; this build speaks version {VERSION}")]
    Version(u8),
    /// The message could not be read.
    #[error("the frame's message cannot be read: {0}")]
    Garbled(#[from] rmp_serde::decode::Error),
    /// Bytes follow the message.
    #[error("{0} bytes follow the frame's message")]
    Trailing(usize),
    /// The message could not be written.
    #[error("the frame's message cannot be written: {0}")]
    Write(#[from] rmp_serde::encode::Error),
}

impl Frame {
    /// Puts `message` into a frame of the current version.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Write`] if the message cannot be serialised.
    pub fn encode(message: &impl Serialize) -> Result<Frame, Error> {
        let mut bytes = vec![VERSION];
        rmp_serde::encode::write(&mut bytes, message)?;
        Ok(Frame(bytes.into()))
    }

    /// Reads the message of a frame.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the version is not [`VERSION`] or the message is not a whole `T`.
    pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
        let (version, message) = bytes.split_first().ok_or(Error::Empty)?;
        if *version != VERSION {
            return Err(Error::Version(*version));
        }
        let mut rest = message;
        let value = rmp_serde::decode::from_read(&mut rest)?;
        if !rest.is_empty() {
            return Err(Error::Trailing(rest.len()));
        }
        Ok(value)
    }

    /// The frame's bytes.
    pub fn into_bytes(self) -> Bytes {
        self.0
    }
}
