//! The calls of the object API as a trait.

use std::future::Future;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::Error;
use crate::kind::Kind;
use crate::object::{Changes, List, Object, Version};

/// The calls of the object API. Every method is one call that the platform counts.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads one object. None if there is no such object.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`], [`Error::Body`], [`Error::Refused`] or [`Error::Name`].
    fn get<T: DeserializeOwned + Send>(
        &self,
        kind: Kind,
        name: &str,
    ) -> impl Future<Output = Result<Option<Object<T>>, Error>> + Send;

    /// Reads all objects of a kind.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`], [`Error::Body`] or [`Error::Refused`].
    fn list<T: DeserializeOwned + Send>(
        &self,
        kind: Kind,
    ) -> impl Future<Output = Result<List<T>, Error>> + Send;

    /// Writes an object if it is at `version`; [`Version::ABSENT`] creates it. Returns the new
    /// version.
    ///
    /// # Errors
    ///
    /// [`Error::Conflict`] if the object is at another version. [`Error::Unknown`] if the answer
    /// was lost: the write may have taken effect. All other errors say that nothing was written.
    fn put<T: Serialize + Sync>(
        &self,
        kind: Kind,
        name: &str,
        version: Version,
        value: &T,
    ) -> impl Future<Output = Result<Version, Error>> + Send;

    /// Deletes an object if it is at `version`. Returns the revision of the deletion.
    ///
    /// # Errors
    ///
    /// As [`Store::put`], and [`Error::Absent`] if there is no such object.
    fn delete(
        &self,
        kind: Kind,
        name: &str,
        version: Version,
    ) -> impl Future<Output = Result<Version, Error>> + Send;

    /// Waits up to `wait` for changes of a kind after `revision`.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`], [`Error::Body`] or [`Error::Refused`].
    fn watch<T: DeserializeOwned + Send>(
        &self,
        kind: Kind,
        revision: Version,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes<T>, Error>> + Send;
}
