//! Why a command failed, and with which exit code.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use decision::check;
use decision::declaration::{Id, Kind};
use decision::head::Generation;
use decision::name::Name;
use operator::Refusal;
use operator::source::{self, Declared, Source};
use store::error::Cause;

use crate::report;
use crate::settings::TOKEN_VARIABLE;

/// The tool's exit codes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Code {
    /// What was asked is done.
    Done = 0,
    /// It failed.
    Failed = 1,
    /// The command line, the settings or the declarations are wrong.
    Usage = 2,
    /// Another operator changed the same declarations first.
    Conflict = 3,
    /// The change is stored but not yet in force.
    Pending = 4,
}

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// No file, directory or `-` was named.
    #[error("no declarations are named: give a file, a directory or -")]
    NoSource,
    /// No entry was named.
    #[error("no entry is named: give --entry or a settings file")]
    NoEntry,
    /// No token was found.
    #[error("no token: set {TOKEN_VARIABLE} or \"token_file\" in the settings file")]
    NoToken,
    /// A file cannot be read.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The reason.
        source: io::Error,
    },
    /// The settings file cannot be parsed.
    #[error("{}: {source}", path.display())]
    Settings {
        /// The file.
        path: PathBuf,
        /// The reason.
        source: serde_json::Error,
    },
    /// Files of declarations cannot be read.
    #[error("{} errors in the files", .0.len())]
    Sources(Vec<source::Error>),
    /// The declarations break rules.
    #[error("{} rules are broken", .0.len())]
    Invalid(Vec<Broken>),
    /// No name was given.
    #[error("no entry is named: give the names of the entries that are lost")]
    NoName,
    /// The operator does not state that the entries are lost.
    #[error(
        "nothing was changed: if a process of {} still runs, it goes on giving work by an older \
         configuration, also to failure domains that are out, and may run once more what must run \
         at most once; make sure that the processes have ended and cannot come back, then repeat \
         with --lost-for-good", names(.0)
    )]
    Unconfirmed(Vec<Name>),
    /// The named entry is not listed.
    #[error("entry \"{0}\" is not on the roster")]
    Unlisted(Name),
    /// The named object is not declared.
    #[error("{kind} \"{name}\" is not declared")]
    Undeclared {
        /// Its kind.
        kind: Kind,
        /// Its name.
        name: Name,
    },
    /// No entry could be asked.
    #[error("no entry answers: {}", list(.0))]
    Unreachable(Vec<Attempt>),
    /// The answer to a change was lost.
    #[error("whether the change is stored is unknown, because {0}; look with diff")]
    Lost(Attempt),
    /// An entry refused the call.
    #[error("{0}")]
    Refused(Refusal),
    /// An entry's answer cannot be read.
    #[error("{entry}: the answer cannot be read: {source}")]
    Answer {
        /// The entry.
        entry: SocketAddr,
        /// The reason.
        source: serde_json::Error,
    },
    /// A declaration cannot be written as JSON.
    #[error("a declaration cannot be written as JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The change was not in force in time.
    #[error(
        "generation {generation} is stored and not yet in force after {wait_ms} ms: {confirmed} \
         of {members} entries confirmed it"
    )]
    Pending {
        /// The generation.
        generation: Generation,
        /// How long was waited, in milliseconds.
        wait_ms: u64,
        /// Entries that confirmed it.
        confirmed: usize,
        /// Entries that take part.
        members: usize,
    },
    /// The runtime cannot be started.
    #[error("the runtime cannot be started: {0}")]
    Runtime(io::Error),
}

/// A call of one entry that got no answer.
#[derive(Debug, thiserror::Error)]
#[error("{entry}: {cause}")]
pub(crate) struct Attempt {
    pub(crate) entry: SocketAddr,
    pub(crate) cause: Cause,
}

/// A rule that a declaration breaks.
#[derive(Debug)]
pub(crate) struct Broken {
    /// The rule and where it is broken.
    pub(crate) error: check::Error,
    /// The file of the declaration.
    pub(crate) file: Option<Source>,
}

impl Broken {
    /// Looks up the declaration that breaks the rule among those that files hold.
    pub(crate) fn new(error: check::Error, declared: &[Declared]) -> Broken {
        let file = report::subject(&error).and_then(|(kind, name)| {
            let id = Id { kind, name: name.clone() };
            declared.iter().find(|it| it.declaration.id() == id)
        });
        Broken { file: file.map(|it| it.file.clone()), error }
    }
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.file {
            Some(file) => write!(f, "{file}: {}", self.error),
            None => self.error.fmt(f),
        }
    }
}

impl Error {
    /// The exit code that the error leads to.
    pub(crate) fn code(&self) -> Code {
        match self {
            Error::NoSource
            | Error::NoEntry
            | Error::NoToken
            | Error::File { .. }
            | Error::Settings { .. }
            | Error::Sources(_)
            | Error::Invalid(_)
            | Error::Undeclared { .. }
            | Error::NoName
            | Error::Unconfirmed(_)
            | Error::Unlisted(_)
            | Error::Refused(Refusal::Invalid { .. }) => Code::Usage,
            Error::Refused(Refusal::Conflict { .. } | Refusal::Replaced { .. }) => Code::Conflict,
            Error::Pending { .. } => Code::Pending,
            _ => Code::Failed,
        }
    }

    /// The kind of error, as `--json` names it. Refusals are named by the entry.
    pub(crate) fn kind(&self) -> &'static str {
        match self {
            Error::NoSource | Error::NoEntry | Error::NoToken | Error::NoName => "usage",
            Error::Unconfirmed(_) => "unconfirmed",
            Error::File { .. } | Error::Settings { .. } => "settings",
            Error::Sources(_) => "unreadable",
            Error::Invalid(_) => "invalid",
            Error::Undeclared { .. } => "undeclared",
            Error::Unlisted(_) => "unlisted",
            Error::Unreachable(_) => "unreachable",
            Error::Lost(_) => "unknown",
            Error::Refused(_) => "refused",
            Error::Pending { .. } => "pending",
            Error::Answer { .. } => "answer",
            Error::Json(_) | Error::Runtime(_) => "internal",
        }
    }

    /// What lies behind the error, one line each.
    pub(crate) fn details(&self) -> Vec<String> {
        match self {
            Error::Sources(errors) => errors.iter().map(ToString::to_string).collect(),
            Error::Invalid(errors) => errors.iter().map(ToString::to_string).collect(),
            Error::Refused(Refusal::Invalid { errors }) => {
                errors.iter().map(ToString::to_string).collect()
            }
            Error::Refused(Refusal::Conflict { generation, differences }) => {
                let first = format!("generation {generation} holds:");
                let lines = differences.iter().flat_map(crate::difference::conflict);
                std::iter::once(first).chain(lines).collect()
            }
            _ => Vec::new(),
        }
    }
}

impl From<Code> for ExitCode {
    fn from(code: Code) -> ExitCode {
        ExitCode::from(code as u8)
    }
}

fn list(attempts: &[Attempt]) -> String {
    attempts.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}

fn names(names: &[Name]) -> String {
    names.iter().map(Name::as_str).collect::<Vec<_>>().join(", ")
}
