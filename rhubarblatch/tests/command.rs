//! The tool as operators run it: what it prints, and its exit codes.

mod support;

use std::process::Command;

use rstest::rstest;
use serde_json::{Value, json};
use store::count::Call;
use support::{Entry, Fault, Run, TOKEN, run, run_command};
use tokio::net::TcpListener;

const DOMAINS: &str = r#"[{"kind":"failure_domain","name":"riga"},
    {"kind":"failure_domain","name":"cesis"}]"#;
const WORKSPACE: &str = r#"{"kind":"workspace","name":"canteen","weight":10}"#;
const APPLY: &[&str] = &["apply", "-"];

#[tokio::test(flavor = "multi_thread")]
async fn apply_stores_and_waits_until_it_is_in_force() {
    let entry = Entry::new(2);
    let entries = [entry.start().await.unwrap()];
    let seen = run(&entries, &["apply", "-", "--wait"], DOMAINS).await.unwrap();
    assert_eq!(seen.code, 0, "{seen:?}");
    let expected = "generation 1 stored: failure_domain/cesis, failure_domain/riga\n\
        generation 1 in force\n";
    assert_eq!(seen.output, expected);
    assert_eq!(seen.error, "stored, 1 of 2 confirmed, waiting for entry-2\n");
    let seen = run(&entries, APPLY, DOMAINS).await.unwrap();
    assert!(seen.output.starts_with("generation 1 stored: nothing to change"), "{seen:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_that_is_not_in_force_in_time_ends_with_4() {
    let entries = [Entry::new(u64::MAX).start().await.unwrap()];
    let words = ["apply", "-", "--wait", "--wait-ms", "10"];
    let seen = run(&entries, &words, WORKSPACE).await.unwrap();
    assert_eq!(seen.code, 4, "{seen:?}");
    assert!(seen.error.contains("generation 1 is stored and not yet in force"), "{seen:?}");
    let seen = run(&entries, &["domain", "out", "riga"], "").await.unwrap();
    assert_eq!(seen.code, 2, "{seen:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_domain_taken_out_stays_out_when_files_are_applied() {
    let entries = [Entry::new(1).start().await.unwrap()];
    run(&entries, APPLY, DOMAINS).await.unwrap();
    let seen = run(&entries, &["domain", "out", "riga", "--wait"], "").await.unwrap();
    assert_eq!(seen.code, 0, "{seen:?}");
    let seen = run(&entries, &["apply", "-", "--prune"], "[]").await.unwrap();
    assert!(seen.output.contains("generation 3 stored: failure_domain/cesis"), "{seen:?}");
    let seen = run(&entries, APPLY, DOMAINS).await.unwrap();
    assert!(seen.output.contains("generation 4 stored: failure_domain/cesis"), "{seen:?}");
    let back = r#"{"kind":"failure_domain","name":"riga","state":"in"}"#;
    let seen = run(&entries, &["diff", "-"], back).await.unwrap();
    assert_eq!(seen.output, "~ failure_domain/riga\n    state: \"out\" -> \"in\"\n");
    let seen = run(&entries, &["instance", "out", "i-7", "--json"], "").await.unwrap();
    let report: serde_json::Value = serde_json::from_str(&seen.output).unwrap();
    assert_eq!(report["generation"], 5);
    assert_eq!(report["changed"][0]["name"], "i-7");
}

#[rstest]
#[case::no_source(&["check"], "", 2, "no declarations are named")]
#[case::bad_command(&["applyy"], "", 2, "applyy")]
#[case::bad_state(&["domain", "off", "riga"], "", 2, "\"off\" is neither \"in\" nor \"out\"")]
#[case::syntax(&["check", "-"], "{", 2, "standard input: not JSON")]
#[case::rule(&["check", "-"], r#"{"kind":"workspace","name":"w","weight":0}"#, 2, "weight is 0")]
#[case::rule_applied(APPLY, r#"{"kind":"workspace","name":"w","weight":0}"#, 2, "weight is 0")]
#[case::hint(&["check", "-"], r#"{"kind":"profile","name":"p","deadline_ms":60,"stall_ms":60}"#,
    0, "warning: profile \"p\": deadline_ms is 60 milliseconds; if 60 seconds are meant, write 60000")]
#[case::absent(&["explain", "shard", "1"], "", 1, "\"shard/1\" does not exist")]
#[tokio::test(flavor = "multi_thread")]
async fn a_complaint(
    #[case] words: &[&str],
    #[case] input: &str,
    #[case] code: i32,
    #[case] message: &str,
) {
    let entries = [Entry::new(0).start().await.unwrap()];
    let seen = run(&entries, words, input).await.unwrap();
    assert_eq!(seen.code, code, "{seen:?}");
    assert!(seen.error.contains(message), "{seen:?}");
    assert!(!seen.error.contains(TOKEN), "{seen:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn explain_and_status_print_text_or_json() {
    let entries = [Entry::new(0).start().await.unwrap()];
    let seen = run(&entries, &["explain", "replica", "r-1"], "").await.unwrap();
    let expected = "replica/r-1\nABOUT  AGE   FACT\ni-7    9 ms  is missing\n";
    assert_eq!((seen.code, seen.output.as_str()), (0, expected));
    let seen = run(&entries, &["status"], "").await.unwrap();
    let expected = "default in default: current\n\
        generation 0 stored, 2 of 2 confirmed, in force\n";
    assert_eq!(seen.output, expected);
    let seen = run(&entries, &["status", "--json"], "").await.unwrap();
    let status: serde_json::Value = serde_json::from_str(&seen.output).unwrap();
    assert_eq!(status["confirmed"][1], "entry-2");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_cannot_be_reached_is_passed_over() {
    let entry = Entry::new(0);
    let dead = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let entries = [dead.local_addr().unwrap(), entry.start().await.unwrap()];
    drop(dead);
    let seen = run(&entries, APPLY, WORKSPACE).await.unwrap();
    assert_eq!(seen.code, 0, "{seen:?}");
    let seen = run(&entries[..1], &["status"], "").await.unwrap();
    assert_eq!(seen.code, 1, "{seen:?}");
    assert!(seen.error.contains("no entry answers"), "{seen:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_that_is_down_refuses_and_changes_nothing() {
    let entry = Entry::new(0);
    let entries = [entry.start().await.unwrap()];
    entry.store.set_down(true);
    let seen = run(&entries, APPLY, WORKSPACE).await.unwrap();
    assert_eq!(seen.code, 1, "{seen:?}");
    assert!(seen.error.contains("nothing was changed"), "{seen:?}");
    assert_eq!(entry.store.counter().total(Call::Put), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_missing_or_wrong_token_is_refused() {
    let entry = Entry::new(0).start().await.unwrap().to_string();
    let tool = |token: Option<&str>| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_rhubarblatch"));
        command.env_clear().args(["--entry", &entry, "status"]);
        command.envs(token.map(|token| ("RHUBARBLATCH_OPERATOR_TOKEN", token)));
        command
    };
    let seen = run_command(tool(None), "").await.unwrap();
    assert_eq!(seen.code, 2, "{seen:?}");
    let seen = run_command(tool(Some("wrong")), "").await.unwrap();
    assert_eq!(seen.code, 1, "{seen:?}");
    assert!(seen.error.contains("token is missing or wrong"), "{seen:?}");
    let directory = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"));
    std::fs::write(directory.join("token"), format!("{TOKEN}\n")).unwrap();
    let settings = directory.join("settings.json");
    let text = serde_json::json!({"entries": [entry], "token_file": directory.join("token")});
    std::fs::write(&settings, text.to_string()).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_rhubarblatch"));
    command.env_clear().arg("--settings").arg(&settings).arg("status");
    let seen = run_command(command, "").await.unwrap();
    assert_eq!(seen.code, 0, "{seen:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_conflict_ends_with_3_and_shows_what_the_other_operator_stored() {
    let entry = Entry { fault: Fault::Race, ..Entry::new(0) };
    let entries = [entry.start().await.unwrap()];
    let seen = run(&entries, APPLY, DOMAINS).await.unwrap();
    assert_eq!(seen.code, 3, "{seen:?}");
    let shown = "failure_domain/riga: theirs -> yours\n      state: \"out\" -> \"in\"\n";
    assert!(seen.error.contains(shown), "{}", seen.error);
}

#[rstest]
#[case::stored(Fault::LoseAnswer, 0, "", "generation 1 in force")]
#[case::not_stored(Fault::LoseChange, 1, "whether the change is stored is unknown", "")]
#[tokio::test(flavor = "multi_thread")]
async fn a_change_whose_answer_is_lost_is_looked_up(
    #[case] fault: Fault,
    #[case] code: i32,
    #[case] error: &str,
    #[case] output: &str,
) {
    let entry = Entry { fault, ..Entry::new(0) }.start().await.unwrap();
    let name = format!("lost-{fault:?}.json");
    let settings = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let text = serde_json::json!({"entries": [entry], "timeout_ms": 300});
    std::fs::write(&settings, text.to_string()).unwrap();
    let settings = settings.display().to_string();
    let seen = run(&[], &["--settings", &settings, "apply", "-"], WORKSPACE).await.unwrap();
    assert_eq!(seen.code, code, "{seen:?}");
    assert!(seen.error.contains(error) && seen.output.contains(output), "{seen:?}");
}

/// The one object that the tool printed to the standard error.
fn error(seen: &Run) -> Value {
    let whole: Value = serde_json::from_str(&seen.error).unwrap_or_default();
    whole["error"].clone()
}

#[rstest]
#[case::usage(&["applyy"], "", 2, "usage")]
#[case::no_source(&["check"], "", 2, "usage")]
#[case::syntax(&["check", "-"], "{", 2, "unreadable")]
#[case::undeclared(&["domain", "out", "riga"], "", 2, "undeclared")]
#[case::absent(&["explain", "shard", "1"], "", 1, "absent")]
#[case::pending(&["apply", "-", "--wait", "--wait-ms", "10"], WORKSPACE, 4, "pending")]
#[case::conflict(APPLY, DOMAINS, 3, "conflict")]
#[case::unconfirmed(&["entry", "forget", "entry-1"], "", 2, "unconfirmed")]
#[case::heard(&["entry", "forget", "--lost-for-good", "entry-2"], "", 1, "heard")]
#[case::replaced(&["entry", "forget", "--lost-for-good", "entry-1"], "", 3, "replaced")]
#[tokio::test(flavor = "multi_thread")]
async fn an_error_is_one_object_with_json(
    #[case] words: &[&str],
    #[case] input: &str,
    #[case] code: i32,
    #[case] kind: &str,
) {
    let entry = Entry { fault: Fault::Race, ..Entry::new(u64::MAX) };
    let entries = [entry.start().await.unwrap()];
    let words = [words, &["--json"]].concat();
    let seen = run(&entries, &words, input).await.unwrap();
    assert_eq!((seen.code, error(&seen)["kind"].as_str()), (code, Some(kind)), "{seen:?}");
    assert!(error(&seen)["message"].as_str().is_some_and(|it| !it.is_empty()), "{seen:?}");
    assert_eq!(seen.output, "");
}

#[rstest]
#[case::fields(
    r#"[{"kind":"workspace","name":"w","weight":"ten"},{"kind":"workspace","name":"v","weigth":1}]"#,
    json!([["workspace \"w\"", "weight", "ten"], ["workspace \"v\"", "weigth", 1]])
)]
#[case::rules(
    r#"[{"kind":"workspace","name":"w","weight":0},{"kind":"workspace","name":"v","weight":2000}]"#,
    json!([["workspace \"v\"", "weight", 2000], ["workspace \"w\"", "weight", 0]])
)]
#[tokio::test(flavor = "multi_thread")]
async fn all_errors_of_declarations_are_listed_with_json(
    #[case] input: &str,
    #[case] expected: Value,
) {
    let seen = run(&[], &["check", "-", "--json"], input).await.unwrap();
    let errors = error(&seen)["errors"].as_array().cloned().unwrap_or_default();
    let place = |it: &Value| json!([it["object"], it["field"], it["value"]]);
    assert_eq!(Value::from_iter(errors.iter().map(place)), expected, "{seen:?}");
    assert!(errors.iter().all(|it| it["file"] == "standard input" && it["message"].is_string()));
}

#[rstest]
#[case::unconfirmed(&["entry-1"], 2, "if a process of entry-1 still runs")]
#[case::no_name(&["--lost-for-good"], 2, "no entry is named")]
#[case::unlisted(&["--lost-for-good", "entry-9"], 2, "\"entry-9\" is not on the roster")]
#[case::heard(&["--lost-for-good", "entry-2"], 1, "entry-2 (12 ms) heard less than 9000 ms ago")]
#[case::forced(&["--lost-for-good", "--force", "entry-2"], 0, "")]
#[case::silent(&["--lost-for-good", "entry-1"], 0, "")]
#[tokio::test(flavor = "multi_thread")]
async fn entries_are_forgotten_on_an_operators_word(
    #[case] words: &[&str],
    #[case] code: i32,
    #[case] message: &str,
) {
    let entries = [Entry::new(0).start().await.unwrap()];
    let seen = run(&entries, &[&["entry", "forget"], words].concat(), "").await.unwrap();
    assert_eq!(seen.code, code, "{seen:?}");
    assert!(seen.error.contains(message), "{seen:?}");
    assert_eq!(seen.output.contains("stored: without entry-"), code == 0, "{seen:?}");
}
