//! Why a stand-in cannot start.

use std::io;

/// Why a stand-in cannot start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The listener's socket cannot be used.
    #[error("cannot listen: {0}")]
    Listen(#[from] io::Error),
    /// The engine cannot enter itself in the platform's list of instances.
    #[error("cannot register instance {instance} at the store {store}: {cause}")]
    Register {
        /// The engine's instance.
        instance: String,
        /// The store's address.
        store: String,
        /// What the store or the connection said.
        cause: String,
    },
}
