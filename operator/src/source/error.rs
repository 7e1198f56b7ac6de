//! Why declarations cannot be read.

use std::io;

use decision::declaration::Kind;
use decision::name::Name;

use crate::source::Source;

/// Why declarations cannot be read. Each names the file.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be opened or read.
    #[error("{file}: {source}")]
    Unreadable {
        /// The file.
        file: Source,
        /// The reason.
        source: io::Error,
    },
    /// The file is too large.
    #[error("{file}: larger than {limit} bytes")]
    Large {
        /// The file.
        file: Source,
        /// The largest allowed size, in bytes.
        limit: u64,
    },
    /// A directory holds too many files.
    #[error("{file}: there are more than {limit} files")]
    Files {
        /// The first file too many.
        file: Source,
        /// The most files that are read.
        limit: usize,
    },
    /// The file holds no JSON. The reason names line and column.
    #[error("{file}: not JSON: {source}")]
    Syntax {
        /// The file.
        file: Source,
        /// The reason.
        source: serde_json::Error,
    },
    /// A field of a declaration is missing, unknown or of the wrong form.
    #[error("{file}: {subject}: {path}{}: {reason}", shown(value))]
    Field {
        /// The file.
        file: Source,
        /// The declaration's kind and name, or its place in the file.
        subject: String,
        /// The field, with dots between nested names.
        path: String,
        /// Its value as JSON, if it has one.
        value: Option<String>,
        /// What is wrong with it.
        reason: String,
    },
    /// Two declarations have one kind and name.
    #[error("{file}: {kind} \"{name}\" is declared in {first} already")]
    Twice {
        /// The file of the second one.
        file: Source,
        /// The file of the first one.
        first: Source,
        /// Their kind.
        kind: Kind,
        /// Their name.
        name: Name,
    },
}

fn shown(value: &Option<String>) -> String {
    value.as_ref().map(|value| format!(" = {value}")).unwrap_or_default()
}
