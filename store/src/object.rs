//! Objects, versions and changes as the platform answers them.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The store-wide revision of an object's last write. Grows with every write to the store.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

/// An object that exists.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object<T> {
    /// The object's name, unique within its kind.
    pub name: String,
    /// The revision of its last write.
    pub version: Version,
    /// What it holds.
    pub value: T,
}

/// All objects of a kind at one revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct List<T> {
    /// The store's revision when the list was made. A watch goes on from here.
    pub revision: Version,
    /// The objects.
    pub objects: Vec<Object<T>>,
}

/// The last state of an object that was written or deleted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(bound(deserialize = "T: Deserialize<'de>"))]
pub struct Change<T> {
    /// The object's name, unique within its kind.
    pub name: String,
    /// The revision of the write or deletion.
    pub version: Version,
    /// What the object holds, or none if it was deleted.
    pub value: Option<T>,
}

/// What changed in a kind after a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(bound(deserialize = "T: Deserialize<'de>"))]
pub struct Changes<T> {
    /// The revision to continue the watch from.
    pub revision: Version,
    /// The changed objects. Empty if nothing changed within the wait.
    pub objects: Vec<Change<T>>,
}

impl Version {
    /// The version of an object that does not exist. A conditional write against it creates.
    pub const ABSENT: Version = Version(0);
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
