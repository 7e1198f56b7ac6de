//! Stores a plan and waits until it is in force.

use std::time::Duration;

use decision::declaration::Id;
use decision::head::{Generation, item_key};
use operator::Refusal;
use operator::change::{Applied, Configuration};
use operator::plan::Plan;
use serde::Serialize;
use tokio::time::{Instant, sleep};

use crate::client::Client;
use crate::error::Error;
use crate::output::{Colour, Output};

/// Time between two looks at the status.
const POLL: Duration = Duration::from_millis(250);
/// Plans made anew because the stored generation had moved on too far.
const MAX_PLANS: u32 = 3;
/// Nonces are JSON integers that every parser keeps exactly.
const NONCE_BITS: u32 = 53;

/// What is waited for after a change is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Wait {
    /// Nothing.
    Stored,
    /// That it is in force, for so many milliseconds at most.
    InForce(u64),
}

/// What came of a change, as `--json` prints it.
#[derive(Serialize)]
struct Report<'a> {
    generation: Generation,
    changed: &'a [Id],
    in_force: bool,
    confirmed: usize,
    members: usize,
}

/// Stores what `make` plans against the stored configuration, and waits as `wait` says.
pub(crate) async fn run(
    client: &Client,
    output: &Output,
    wait: Wait,
    make: impl Fn(&Configuration) -> Result<Plan, Error>,
) -> Result<(), Error> {
    let mut applied = store(client, &make).await;
    for _ in 1..MAX_PLANS {
        if !matches!(applied, Err(Error::Refused(Refusal::Stale { .. }))) {
            break;
        }
        applied = store(client, &make).await;
    }
    let applied = applied?;
    let what = match applied.changed.is_empty() {
        true => "nothing to change".to_owned(),
        false => list(&applied.changed),
    };
    output.line(&format!("generation {} stored: {what}", applied.generation));
    finish(client, output, &applied, wait).await
}

/// A number that tells a change from all others.
pub(crate) fn nonce() -> u64 {
    rand::random::<u64>() >> (u64::BITS - NONCE_BITS)
}

async fn store(
    client: &Client,
    make: &impl Fn(&Configuration) -> Result<Plan, Error>,
) -> Result<Applied, Error> {
    let stored = client.configuration().await?;
    let plan = make(&stored)?;
    let change = plan.change(nonce())?;
    if change.edits.is_empty() {
        return Ok(Applied { generation: stored.generation, changed: Vec::new() });
    }
    match client.change(&change).await {
        Err(error @ Error::Lost(_)) => read_back(client, &plan).await.ok_or(error),
        result => result,
    }
}

/// Looks whether a change whose answer was lost is stored.
async fn read_back(client: &Client, plan: &Plan) -> Option<Applied> {
    let stored = client.configuration().await.ok()?;
    let set = stored.set();
    let differences = plan.differences();
    let is_stored = differences.iter().all(|(id, _, next)| set.get(*id) == *next);
    let changed = differences.iter().map(|(id, ..)| (*id).clone()).collect();
    is_stored.then_some(Applied { generation: stored.generation, changed })
}

/// Waits as `wait` says and prints what came of the change.
pub(crate) async fn finish(
    client: &Client,
    output: &Output,
    applied: &Applied,
    wait: Wait,
) -> Result<(), Error> {
    let start = Instant::now();
    let mut shown = String::new();
    let (mut confirmed, mut members) = (0, 0);
    loop {
        let status = client.status().await;
        let generation = applied.generation;
        if let Ok(status) = &status {
            let in_force = status.has_in_force(generation);
            members = status.members();
            confirmed = if in_force || status.generation == generation {
                status.confirmed.len()
            } else {
                0
            };
            if in_force || wait == Wait::Stored {
                let changed = &applied.changed;
                output.line(&sentence(output, generation, in_force, (confirmed, members)));
                return output.json(&Report { generation, changed, in_force, confirmed, members });
            }
            let waiting = list_names(&status.unconfirmed);
            let line = format!("stored, {confirmed} of {members} confirmed{waiting}");
            if line != shown {
                output.progress(&line);
                shown = line;
            }
        }
        let Wait::InForce(wait_ms) = wait else { return status.map(drop) };
        if start.elapsed() >= Duration::from_millis(wait_ms) {
            return Err(Error::Pending { generation, wait_ms, confirmed, members });
        }
        sleep(POLL).await;
    }
}

fn sentence(
    output: &Output,
    generation: Generation,
    in_force: bool,
    (confirmed, members): (usize, usize),
) -> String {
    match in_force {
        true => {
            let state = output.painted(Colour::Green, "in force");
            format!("generation {generation} {state}")
        }
        false => {
            let state = output.painted(Colour::Yellow, "stored");
            format!("generation {generation} {state}, {confirmed} of {members} confirmed")
        }
    }
}

fn list(ids: &[Id]) -> String {
    ids.iter().map(item_key).collect::<Vec<_>>().join(", ")
}

fn list_names(names: &[decision::name::Name]) -> String {
    if names.is_empty() {
        return String::new();
    }
    let names: Vec<&str> = names.iter().map(|name| name.as_str()).collect();
    format!(", waiting for {}", names.join(", "))
}
