//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use decision::declaration::State;
use decision::name::Name;
use operator::plan::Removal;

use crate::output::Format;

/// Applies declarations to a rhubarblatch system and shows its state.
///
/// Exit codes: 0 done, 1 failed, 2 usage or invalid declarations, 3 conflict with another
/// operator, 4 stored but not yet in force.
#[derive(Debug, FromArgs)]
pub(crate) struct Arguments {
    /// address of an entry's listener for operators, such as 10.0.0.1:7111; may be given more
    /// than once
    #[argh(option)]
    pub(crate) entry: Vec<SocketAddr>,
    /// settings file; RHUBARBLATCH_TOOL_SETTINGS names it otherwise
    #[argh(option)]
    pub(crate) settings: Option<PathBuf>,
    /// the command
    #[argh(subcommand)]
    pub(crate) command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Check(Check),
    Diff(Diff),
    Apply(Apply),
    Status(Status),
    Domain(Domain),
    Instance(Instance),
    Entry(Entry),
    Explain(Explain),
}

/// Checks declarations without a system.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct Check {
    /// files or directories, or - for the standard input
    #[argh(positional)]
    pub(crate) sources: Vec<String>,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Shows what apply would change.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub(crate) struct Diff {
    /// files or directories, or - for the standard input
    #[argh(positional)]
    pub(crate) sources: Vec<String>,
    /// remove what is stored and not declared here
    #[argh(switch)]
    pub(crate) prune: bool,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Stores declarations in one step.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub(crate) struct Apply {
    /// files or directories, or - for the standard input
    #[argh(positional)]
    pub(crate) sources: Vec<String>,
    /// remove what is stored and not declared here
    #[argh(switch)]
    pub(crate) prune: bool,
    /// wait until the change is in force at every entry
    #[argh(switch)]
    pub(crate) wait: bool,
    /// longest wait, in milliseconds (60000)
    #[argh(option, default = "WAIT_MS")]
    pub(crate) wait_ms: u64,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Shows generations, failure domains and services.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Takes a failure domain out of service or back in.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "domain")]
pub(crate) struct Domain {
    /// out or in
    #[argh(positional, from_str_fn(state))]
    pub(crate) state: State,
    /// the failure domain
    #[argh(positional)]
    pub(crate) name: Name,
    /// wait until the change is in force at every entry
    #[argh(switch)]
    pub(crate) wait: bool,
    /// longest wait, in milliseconds (60000)
    #[argh(option, default = "WAIT_MS")]
    pub(crate) wait_ms: u64,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Takes an instance out of service or back in.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "instance")]
pub(crate) struct Instance {
    /// out or in
    #[argh(positional, from_str_fn(state))]
    pub(crate) state: State,
    /// the instance, as the platform lists it
    #[argh(positional)]
    pub(crate) name: Name,
    /// wait until the change is in force at every entry
    #[argh(switch)]
    pub(crate) wait: bool,
    /// longest wait, in milliseconds (60000)
    #[argh(option, default = "WAIT_MS")]
    pub(crate) wait_ms: u64,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Changes which entries count.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "entry")]
pub(crate) struct Entry {
    /// what to do
    #[argh(subcommand)]
    pub(crate) deed: Deed,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Deed {
    Forget(Forget),
}

/// Takes entries off the roster that are lost for good.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "forget")]
pub(crate) struct Forget {
    /// the entries
    #[argh(positional)]
    pub(crate) names: Vec<Name>,
    /// state that their processes have ended and cannot come back
    #[argh(switch)]
    pub(crate) lost_for_good: bool,
    /// forget also those that were heard lately
    #[argh(switch)]
    pub(crate) force: bool,
    /// wait until the change is in force at every entry
    #[argh(switch)]
    pub(crate) wait: bool,
    /// longest wait, in milliseconds (60000)
    #[argh(option, default = "WAIT_MS")]
    pub(crate) wait_ms: u64,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Shows why something is as it is.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct Explain {
    /// replica, request, instance, entry, service or fabric
    #[argh(positional)]
    pub(crate) kind: Name,
    /// its name
    #[argh(positional)]
    pub(crate) name: Name,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

const WAIT_MS: u64 = 60_000;

impl Command {
    /// How the command prints.
    pub(crate) fn format(&self) -> Format {
        let json = match self {
            Command::Check(it) => it.json,
            Command::Diff(it) => it.json,
            Command::Apply(it) => it.json,
            Command::Status(it) => it.json,
            Command::Domain(it) => it.json,
            Command::Instance(it) => it.json,
            Command::Entry(Entry { deed: Deed::Forget(it) }) => it.json,
            Command::Explain(it) => it.json,
        };
        if json { Format::Json } else { Format::Text }
    }
}

/// What `--prune` says.
pub(crate) fn removal(prune: bool) -> Removal {
    if prune { Removal::Prune } else { Removal::Keep }
}

fn state(word: &str) -> Result<State, String> {
    match word {
        "in" => Ok(State::In),
        "out" => Ok(State::Out),
        other => Err(format!("\"{other}\" is neither \"in\" nor \"out\"")),
    }
}
