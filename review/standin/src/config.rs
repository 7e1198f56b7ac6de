//! The operator's config, and small helpers of the cases.

use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::replicas::{ENGINE_SERVICE, MODELS, PLAIN_SERVICE};

/// Zones of the site `hab-riga`.
pub const ZONES: [&str; 3] = ["riga-a", "riga-b", "jelgava-c"];

pub fn seconds(count: f64) -> Duration {
    Duration::from_secs_f64(count)
}

/// Waits until `done`, for at most `limit`. Returns whether it was done in time.
pub fn until(limit: Duration, done: impl Fn() -> bool) -> bool {
    let end = Instant::now() + limit;
    while !done() {
        if Instant::now() >= end {
            return false;
        }
        sleep(Duration::from_millis(20));
    }
    true
}

/// The operator's configuration.
pub fn config(version: u64) -> String {
    let engine = format!(
        "{{\"slots\":26,\"kv_capacity\":2470000,\"kv_token_bytes\":35136,\"link_mbps\":400000.0,\"stride\":6,\"models\":[{}],\"step_ms\":6.45,\"per_seq_ms\":0.0967,\"context_per_k\":0.00293,\"read_per_s\":56100.0,\"pairs_per_m\":0.309,\"chunk\":2048,\"report_lag_ms\":200.0,\"loads_per_s\":5.5,\"loads_at_once\":8,\"delays\":[],\"usual\":{{\"prompt\":1115,\"answer\":152}},\"keeps\":1,\"far_x\":4.0,\"form_ms\":300.0}}",
        MODELS
            .iter()
            .zip([(0.67, 1.0), (0.33, 0.6)])
            .map(|((name, size, load, warm), (share, pace))| format!(
                "{{\"name\":\"{name}\",\"size\":{size},\"share\":{share},\"pace\":{pace},\"load_s\":{},\"warm_s\":{}}}",
                *load as f64 / 1_000.0,
                *warm as f64 / 1_000.0
            ))
            .collect::<Vec<_>>()
            .join(",")
    );
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-2yhvz3p\",\"hostname\":\"ficu95.example\",\"path_prefix\":\"/lohu930/\",\"type\":\"stream\",\"timeout_ms\":8000,\"goal_ms\":400,\"priority\":1,\"service\":\"{ENGINE_SERVICE}\",\"attempts\":2,\"public\":false,\"affinity\":true,\"resumable\":true,\"itl_target_ms\":250}},{{\"name\":\"r-fi6y7z5\",\"hostname\":\"ficu95.example\",\"path_prefix\":\"/puxa403/\",\"type\":\"unsafe\",\"timeout_ms\":800,\"goal_ms\":150,\"priority\":2,\"service\":\"{PLAIN_SERVICE}\",\"attempts\":1,\"public\":false}},{{\"name\":\"r-k2\",\"hostname\":\"ficu95.example\",\"path_prefix\":\"/cufi504/\",\"type\":\"safe\",\"timeout_ms\":800,\"goal_ms\":150,\"priority\":2,\"service\":\"{PLAIN_SERVICE}\",\"attempts\":2,\"public\":false}}],\"services\":[{{\"name\":\"{ENGINE_SERVICE}\",\"health_path\":\"/healthz\",\"max_conns\":474,\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":3.0,\"warmup_per_s\":36.0,\"engine\":{engine}}},{{\"name\":\"{PLAIN_SERVICE}\",\"health_path\":\"/healthz\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":0.0,\"warmup_per_s\":0.0}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"n2ctnfzs989anu6wsjnb\"],\"priority\":1}}]}}"
    )
}
