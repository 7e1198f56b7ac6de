//! Settings of entries in a test's own process.

use std::net::SocketAddr;

use anyhow::Result;
use rhubarblatchd::settings::Settings;
use serde_json::json;

/// The entry `name` before the store at `platform`, which acts on what it knows for an hour.
pub(crate) fn settings(name: &str, platform: SocketAddr) -> Result<Settings> {
    let any = "127.0.0.1:0";
    let settings = json!({
        "name": name,
        "failure_domain": "riga-a",
        "listen": { "callers": any, "operators": any, "peers": any },
        "platform": { "address": platform },
        "tokens": { "operators": { "env": "A" }, "peers": { "env": "B" } },
        "timing": { "freshness_ms": 3_600_000 },
    });
    Ok(Settings::parse("settings", &settings.to_string())?)
}
