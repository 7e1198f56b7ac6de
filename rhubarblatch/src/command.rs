//! The commands.

use decision::check::{self, Hint};
use decision::declaration::{Id, Kind, Set, State};
use decision::name::Name;
use operator::change::Configuration;
use operator::plan::{Plan, Removal};
use operator::source::{self, Declared, Source};
use operator::status::{Explanation, Status};
use serde::Serialize;

use crate::apply::{self, Wait};
use crate::arguments::{Arguments, Command, Deed, Entry, removal};
use crate::client::Client;
use crate::difference;
use crate::error::{Broken, Error};
use crate::forget;
use crate::output::{Colour, Output};
use crate::settings::Settings;
use crate::table::Table;

/// What `check --json` prints.
#[derive(Serialize)]
struct Checked {
    declarations: usize,
    hints: Vec<Hint>,
}

/// Runs the command of `arguments`.
pub(crate) fn run(arguments: &Arguments, output: &Output) -> Result<(), Error> {
    if let Command::Check(check) = &arguments.command {
        return check_sources(&check.sources, output);
    }
    if let Command::Entry(it) = &arguments.command {
        forget::check(&order(it))?;
    }
    let settings = Settings::read(arguments.settings.as_deref(), &arguments.entry)?;
    let client = Client::new(&settings)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(Error::Runtime)?;
    runtime.block_on(remote(&arguments.command, &client, output))
}

async fn remote(command: &Command, client: &Client, output: &Output) -> Result<(), Error> {
    match command {
        Command::Check(it) => check_sources(&it.sources, output),
        Command::Diff(it) => diff(client, output, &it.sources, removal(it.prune)).await,
        Command::Apply(it) => {
            let declared = read(&it.sources)?;
            let removal = removal(it.prune);
            let make = |stored: &Configuration| planned(stored, &declared, removal, output);
            apply::run(client, output, wait(it.wait, it.wait_ms), make).await
        }
        Command::Domain(it) => {
            let wait = wait(it.wait, it.wait_ms);
            set_state(client, output, (Kind::FailureDomain, &it.name), it.state, wait).await
        }
        Command::Instance(it) => {
            let wait = wait(it.wait, it.wait_ms);
            set_state(client, output, (Kind::Instance, &it.name), it.state, wait).await
        }
        Command::Entry(it) => forget::run(client, output, &order(it)).await,
        Command::Status(_) => status(client, output).await,
        Command::Explain(it) => {
            let explanation = client.explain(it.kind.as_str(), it.name.as_str()).await?;
            explain(output, &explanation)
        }
    }
}

fn order(entry: &Entry) -> forget::Order<'_> {
    let Deed::Forget(it) = &entry.deed;
    let wait = wait(it.wait, it.wait_ms);
    let (lost_for_good, force) = (it.lost_for_good, it.force);
    forget::Order { names: &it.names, lost_for_good, force, wait }
}

fn wait(wait: bool, wait_ms: u64) -> Wait {
    if wait { Wait::InForce(wait_ms) } else { Wait::Stored }
}

/// Reads all sources and reports all their errors at once.
fn read(sources: &[String]) -> Result<Vec<Declared>, Error> {
    if sources.is_empty() {
        return Err(Error::NoSource);
    }
    let (mut declared, mut errors) = (Vec::new(), Vec::new());
    for argument in sources {
        match source::read(&Source::from_argument(argument)) {
            Ok(found) => declared.extend(found),
            Err(found) => errors.extend(found),
        }
    }
    errors.extend(source::repeated(&declared));
    if errors.is_empty() { Ok(declared) } else { Err(Error::Sources(errors)) }
}

fn check_sources(sources: &[String], output: &Output) -> Result<(), Error> {
    let declared = read(sources)?;
    let plan = planned(&Configuration::default(), &declared, Removal::Keep, output)?;
    let declarations = plan.next.len();
    output.line(&format!("{declarations} declarations are valid"));
    output.json(&Checked { declarations, hints: check::hints(&plan.next) })
}

/// Plans and checks what is to be stored.
fn planned(
    stored: &Configuration,
    declared: &[Declared],
    removal: Removal,
    output: &Output,
) -> Result<Plan, Error> {
    let plan = Plan::new(stored, declared, removal);
    warn(&plan.next, output);
    let errors = check::errors(&plan.previous, &plan.next);
    if errors.is_empty() {
        return Ok(plan);
    }
    Err(Error::Invalid(errors.into_iter().map(|error| Broken::new(error, declared)).collect()))
}

fn warn(set: &Set, output: &Output) {
    for hint in check::hints(set) {
        output.warning(&hint.to_string());
    }
}

async fn diff(
    client: &Client,
    output: &Output,
    sources: &[String],
    removal: Removal,
) -> Result<(), Error> {
    let declared = read(sources)?;
    let stored = client.configuration().await?;
    let plan = planned(&stored, &declared, removal, output)?;
    let lines = difference::lines(&plan, output);
    match lines.is_empty() {
        true => output.line(&format!("generation {} is as declared", plan.base)),
        false => lines.iter().for_each(|line| output.line(line)),
    }
    output.json(&difference::entries(&plan))
}

async fn set_state(
    client: &Client,
    output: &Output,
    (kind, name): (Kind, &Name),
    state: State,
    wait: Wait,
) -> Result<(), Error> {
    let id = Id { kind, name: name.clone() };
    let undeclared = || Error::Undeclared { kind, name: name.clone() };
    let make = |stored: &Configuration| Plan::set_state(stored, &id, state).ok_or_else(undeclared);
    apply::run(client, output, wait, make).await
}

async fn status(client: &Client, output: &Output) -> Result<(), Error> {
    let status = client.status().await?;
    summary(&status, output).iter().for_each(|line| output.line(line));
    for table in [domains(&status, output), services(&status)] {
        let lines = table.lines();
        if !lines.is_empty() {
            output.line("");
        }
        lines.iter().for_each(|line| output.line(line));
    }
    output.json(&status)
}

fn summary(status: &Status, output: &Output) -> Vec<String> {
    let Status { entry, failure_domain, generation, in_force, .. } = status;
    let state = match status.current {
        true => output.painted(Colour::Green, "current"),
        false => output.painted(Colour::Red, "not current, takes no new work"),
    };
    let (confirmed, members) = (status.confirmed.len(), status.members());
    let force = match status.has_in_force(*generation) {
        true => output.painted(Colour::Green, "in force"),
        false => format!("generation {in_force} in force"),
    };
    let mut lines = vec![
        format!("{entry} in {failure_domain}: {state}"),
        format!("generation {generation} stored, {confirmed} of {members} confirmed, {force}"),
    ];
    if !status.unconfirmed.is_empty() {
        let names: Vec<&str> = status.unconfirmed.iter().map(Name::as_str).collect();
        lines.push(format!("not confirmed by {}", names.join(", ")));
    }
    lines
}

fn domains(status: &Status, output: &Output) -> Table {
    let mut table = Table::new(&["failure domain", "serving", "draining", "state"]);
    for it in &status.failure_domains {
        let state = match it.state {
            State::In => "in".to_owned(),
            State::Out => output.painted(Colour::Yellow, "out"),
        };
        table.row(vec![
            it.name.to_string(),
            it.serving.to_string(),
            it.draining.to_string(),
            state,
        ]);
    }
    table
}

fn services(status: &Status) -> Table {
    let titles =
        ["service", "profile", "wanted", "serving", "cold", "draining", "queued", "running"];
    let mut table = Table::new(&titles);
    for it in &status.services {
        let counts = [it.wanted, it.serving, it.cold, it.draining, it.queued, it.running];
        let names = [it.name.to_string(), it.profile.to_string()];
        table.row(names.into_iter().chain(counts.map(|count| count.to_string())).collect());
    }
    table
}

fn explain(output: &Output, explanation: &Explanation) -> Result<(), Error> {
    output.line(&explanation.subject);
    let mut table = Table::new(&["about", "age", "fact"]);
    for fact in &explanation.facts {
        let age = fact.age_ms.map(|age| format!("{age} ms")).unwrap_or_default();
        table.row(vec![fact.about.clone(), age, fact.text.clone()]);
    }
    table.lines().iter().for_each(|line| output.line(line));
    output.json(explanation)
}
