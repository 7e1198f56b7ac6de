//! Takes entries off the roster that are lost for good.

use std::collections::BTreeMap;

use decision::name::Name;
use operator::entry::Forget;

use crate::apply::{self, Wait};
use crate::client::Client;
use crate::error::Error;
use crate::output::Output;

/// What an operator asks for.
pub(crate) struct Order<'a> {
    pub(crate) names: &'a [Name],
    pub(crate) lost_for_good: bool,
    pub(crate) force: bool,
    pub(crate) wait: Wait,
}

/// Checks the order, before anything is called.
pub(crate) fn check(order: &Order<'_>) -> Result<(), Error> {
    if order.names.is_empty() {
        return Err(Error::NoName);
    }
    match order.lost_for_good {
        true => Ok(()),
        false => Err(Error::Unconfirmed(order.names.to_vec())),
    }
}

/// Takes the entries off and waits as the order says.
pub(crate) async fn run(client: &Client, output: &Output, order: &Order<'_>) -> Result<(), Error> {
    check(order)?;
    let listed = client.entries().await?;
    let mut entries = BTreeMap::new();
    for name in order.names {
        let found = listed.entries.iter().find(|it| it.name == *name);
        let entry = found.ok_or_else(|| Error::Unlisted(name.clone()))?;
        entries.insert(name.clone(), entry.incarnation);
    }
    let (base, nonce, force) = (listed.generation, apply::nonce(), order.force);
    let applied = client.forget(&Forget { base, nonce, entries, force }).await?;
    let names: Vec<&str> = order.names.iter().map(Name::as_str).collect();
    output.line(&format!("generation {} stored: without {}", applied.generation, names.join(", ")));
    apply::finish(client, output, &applied, order.wait).await
}
