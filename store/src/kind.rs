//! The kinds of objects that the system keeps on the platform.

use std::fmt;

/// A kind of object on the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// The head of the configuration, one object named [`Kind::HEAD`].
    Configuration,
    /// Bodies of declarations, named by their hash.
    Declaration,
    /// Replicas and the owner of one fabric domain.
    Fabric,
    /// Idempotency keys and outcomes of one shard.
    Claim,
    /// Instances as the platform lists them. Written by the platform only.
    Instance,
}

impl Kind {
    /// The name of the only [`Kind::Configuration`] object.
    pub const HEAD: &'static str = "head";

    /// The kind as it stands in paths of the object API.
    pub const fn as_str(self) -> &'static str {
        match self {
            Kind::Configuration => "configuration",
            Kind::Declaration => "declaration",
            Kind::Fabric => "fabric",
            Kind::Claim => "claim",
            Kind::Instance => "instance",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}
