//! The checks of the settings.

use gateway::settings::Settings;
use rstest::rstest;
use serde_json::json;

#[rstest]
#[case::negative_ratio("bounds", "retry_ratio", -0.1, "bounds.retry_ratio")]
#[case::negative_slack("bounds", "retry_slack", -1.0, "bounds.retry_slack")]
#[case::endless_window("bounds", "retry_window_s", 1e30, "bounds.retry_window_s")]
#[case::no_window("bounds", "retry_window_s", 0.0, "bounds.retry_window_s")]
#[case::no_evidence("quarantine", "window_s", 0.0, "quarantine.window_s")]
#[case::endless_quarantine("quarantine", "duration_s", 1e30, "quarantine.duration_s")]
fn bounds_that_make_no_sense_are_rejected_by_name(
    #[case] section: &str,
    #[case] field: &str,
    #[case] value: f64,
    #[case] named: &str,
) {
    let name = format!("rhubarblatch-{}-{section}-{field}-{value}.json", std::process::id());
    let path = std::env::temp_dir().join(name);
    let settings = json!({
        "instance": "e1", "failure_domain": "a", "store": "127.0.0.1:1",
        "listen": {"callers": "127.0.0.1:0", "ready": "127.0.0.1:0", "peers": "127.0.0.1:0"},
        section: {field: value},
    });
    std::fs::write(&path, settings.to_string()).expect("a file");
    let result = Settings::read(&path);
    std::fs::remove_file(&path).expect("the file is there");
    let error = result.expect_err("the value is out of range").to_string();
    assert!(error.contains(named), "{error}");
}
