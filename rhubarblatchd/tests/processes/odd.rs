//! Objects of other writers in the platform's store.

use anyhow::Result;
use http_body_util::Full;
use hyper::Request;
use serde_json::{Value, json};

use crate::fleet::{self, Fleet};
use crate::{answer, declarations, echo, generate};

/// Writes an object that does not exist yet.
async fn put(fleet: &Fleet, kind: &str, name: &str, value: &Value) -> Result<u16> {
    let uri = format!("http://{}/objects/{kind}/{name}?version=0", fleet.store);
    let request = Request::put(uri).body(Full::from(value.to_string()))?;
    Ok(fleet::send(request).await?.0)
}

/// Guards against a list, or changes, of which one odd object makes all the others unreadable.
#[tokio::test]
async fn odd_instances_stop_no_requests() -> Result<()> {
    let mut fleet = Fleet::start("odd-instances", 1, 0)?;
    assert_eq!(put(&fleet, "instance", "odd-1", &json!({ "address": 7 })).await?, 200);
    fleet.start_entry(1)?;
    assert!(fleet.apply(&declarations(&fleet, 16))?.status.success());
    fleet.served(0, crate::pay("fee-1")?).await?;
    assert_eq!(put(&fleet, "instance", "odd-2", &json!("text")).await?, 200);
    // The replica needs this one too, which only the changes tell of.
    fleet.start_engine(2, &[])?;
    let events = fleet.served(0, generate(20)?).await?;
    assert_eq!(answer(&events), Some(echo(20)), "{events}");
    Ok(())
}
