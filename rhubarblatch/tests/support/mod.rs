//! An operators' listener on a store in memory, and the tool run against it.

use std::io::Write;
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use decision::declaration::{Declaration, State};
use decision::head::{Generation, Incarnation};
use decision::name::Name;
use operator::change::{Applied, Change, Configuration};
use operator::entry::{self as listed, Entries, Forget};
use operator::listener;
use operator::status::{Explanation, Fact, Status};
use operator::writer::{self, Writer};
use operator::{Handler, Refusal};
use store::memory::Memory;
use store::token::Token;
use tokio::net::TcpListener;

/// The token that the listener asks for.
pub(crate) const TOKEN: &str = "a-long-secret";

/// What goes wrong with a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Nothing.
    None,
    /// Another operator's change, the same but for its state, comes first.
    Race,
    /// It is stored and never answered.
    LoseAnswer,
    /// It is neither stored nor answered.
    LoseChange,
}

/// An entry whose peers confirm a generation after some looks at the status.
#[derive(Clone)]
pub(crate) struct Entry {
    pub(crate) store: Memory,
    pub(crate) fault: Fault,
    pub(crate) writer: Writer<Memory>,
    pub(crate) looks_left: Arc<AtomicU64>,
}

/// What a run of the tool left behind.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) code: i32,
    pub(crate) output: String,
    pub(crate) error: String,
}

impl Entry {
    pub(crate) fn new(looks: u64) -> Entry {
        let store = Memory::default();
        let settings = writer::Settings { backoff_ms: 1, ..writer::Settings::default() };
        let writer = Writer::new(store.clone(), settings);
        Entry { store, fault: Fault::None, writer, looks_left: Arc::new(AtomicU64::new(looks)) }
    }

    /// Serves on a free port until the runtime ends.
    pub(crate) async fn start(&self) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let settings = listener::Settings::default();
        let stop = std::future::pending();
        tokio::spawn(listener::serve(listener, self.clone(), Token::new(TOKEN), settings, stop));
        Ok(address)
    }
}

impl Handler for Entry {
    async fn configuration(&self) -> Result<Configuration, Refusal> {
        self.writer.configuration().await
    }

    async fn change(&self, change: Change) -> Result<Applied, Refusal> {
        match self.fault {
            Fault::None => (),
            Fault::Race => drop(self.writer.change(&other(&change)).await?),
            Fault::LoseAnswer => {
                self.writer.change(&change).await?;
                std::future::pending().await
            }
            Fault::LoseChange => std::future::pending().await,
        }
        self.writer.change(&change).await
    }

    async fn entries(&self) -> Entries {
        let entry = |(number, silent_ms)| listed::Entry {
            name: Name::new(format!("entry-{number}")).unwrap_or_default(),
            incarnation: Some(Incarnation(number)),
            silent_ms: Some(silent_ms),
        };
        let entries = [(1, 60_000), (2, 12)].map(entry).to_vec();
        Entries { generation: Generation(0), entries }
    }

    async fn forget(&self, forget: Forget) -> Result<Applied, Refusal> {
        let mut heard = self.entries().await.entries;
        heard.retain(|it| it.silent_ms == Some(12) && forget.entries.contains_key(&it.name));
        if !heard.is_empty() && !forget.force {
            return Err(Refusal::Heard { entries: heard, least_ms: 9_000 });
        }
        if self.fault == Fault::Race {
            let (generation, names) = (Generation(3), forget.names());
            return Err(Refusal::Replaced { generation, names });
        }
        Ok(Applied { generation: Generation(0), changed: Vec::new() })
    }

    async fn status(&self) -> Status {
        let stored = self.writer.configuration().await.unwrap_or_default();
        let take = |left: u64| left.checked_sub(1);
        let looks = &self.looks_left;
        let waits = looks.fetch_update(Ordering::SeqCst, Ordering::SeqCst, take).is_ok();
        let (late, name) = (Name::new("entry-2").into_iter(), Name::default());
        let in_force = if waits { Generation(0) } else { stored.generation };
        let (confirmed, unconfirmed) = match waits {
            true => (vec![name], late.collect()),
            false => (std::iter::once(name).chain(late).collect(), Vec::new()),
        };
        let generation = stored.generation;
        Status { current: true, generation, in_force, confirmed, unconfirmed, ..Status::default() }
    }

    async fn explain(&self, kind: &str, name: &str) -> Result<Explanation, Refusal> {
        if kind != "replica" {
            return Err(Refusal::Absent { path: format!("{kind}/{name}") });
        }
        let fact = Fact { about: "i-7".to_owned(), text: "is missing".to_owned(), age_ms: Some(9) };
        Ok(Explanation { subject: format!("{kind}/{name}"), facts: vec![fact] })
    }

    fn metrics(&self) -> String {
        String::new()
    }

    fn is_ready(&self) -> bool {
        true
    }
}

/// The same change, except that failure domains are out.
fn other(change: &Change) -> Change {
    let mut other = Change { nonce: change.nonce + 1, ..change.clone() };
    for edit in &mut other.edits {
        if let Some(Declaration::FailureDomain(it)) = &mut edit.declaration {
            it.state = State::Out;
        }
    }
    other
}

/// Runs the tool with `input` as its standard input.
pub(crate) async fn run(
    entries: &[SocketAddr],
    words: &[&str],
    input: &str,
) -> std::io::Result<Run> {
    let mut command = Command::new(env!("CARGO_BIN_EXE_rhubarblatch"));
    for entry in entries {
        command.args(["--entry", &entry.to_string()]);
    }
    command.args(words).env_clear().env("RHUBARBLATCH_OPERATOR_TOKEN", TOKEN);
    run_command(command, input).await
}

/// Runs `command` with `input` as its standard input.
pub(crate) async fn run_command(mut command: Command, input: &str) -> std::io::Result<Run> {
    let input = input.to_owned();
    let run = move || {
        command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
        let mut child = command.spawn()?;
        if let Some(mut stdin) = child.stdin.take() {
            // A tool that does not read its input closes the pipe.
            let _ = stdin.write_all(input.as_bytes());
        }
        let ended = child.wait_with_output()?;
        Ok(Run {
            code: ended.status.code().unwrap_or(-1),
            output: String::from_utf8_lossy(&ended.stdout).into_owned(),
            error: String::from_utf8_lossy(&ended.stderr).into_owned(),
        })
    };
    tokio::task::spawn_blocking(run).await?
}
