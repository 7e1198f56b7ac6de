//! The pages name only what exists.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use rhubarblatchd::settings::Settings;
use rstest::rstest;
use serde_json::{Value, json};

const TESTS_COLUMN: usize = 3;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

fn page(name: &str) -> String {
    std::fs::read_to_string(root().join("docs").join(name)).unwrap_or_default()
}

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).into_iter().flatten().flatten() {
        let path = entry.path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|it| it == "rs") {
            found.push(path);
        }
    }
}

/// The functions in the test folders of all packages.
fn test_functions() -> BTreeSet<String> {
    let mut files = Vec::new();
    for package in std::fs::read_dir(root()).into_iter().flatten().flatten() {
        sources(&package.path().join("tests"), &mut files);
    }
    let mut names = BTreeSet::new();
    for file in files {
        let text = std::fs::read_to_string(file).unwrap_or_default();
        let after_fn = text.split("fn ").skip(1).filter_map(|rest| rest.split('(').next());
        names.extend(after_fn.map(str::to_owned));
    }
    names
}

#[test]
fn tests_named_in_the_invariants_exist() {
    let known = test_functions();
    let rows = page("INVARIANTS.md");
    let is_row = |line: &&str| {
        line.starts_with("| ") && !line.starts_with("| rule ") && !line.starts_with("| ---")
    };
    let rows: Vec<&str> = rows.lines().filter(is_row).collect();
    // The points of the brief, and the rules of the users' platform that are kept.
    assert_eq!(rows.len(), 10 + 18);
    for row in rows {
        let column = row.split('|').nth(TESTS_COLUMN).unwrap_or_default();
        let named: Vec<&str> = column.split('`').skip(1).step_by(2).collect();
        assert!(!named.is_empty(), "{row}");
        for name in named {
            assert!(known.contains(name), "no test is called {name}");
        }
    }
}

#[rstest]
#[case("timing")]
#[case("limits")]
#[case("limits.operators")]
#[case("limits.peers")]
#[case("log")]
#[case("telemetry")]
fn settings_reference_names_every_field(#[case] part: &str) {
    let settings = json!({
        "name": "entry-1",
        "failure_domain": "riga-a",
        "listen": { "callers": "127.0.0.1:1", "operators": "127.0.0.1:2", "peers": "127.0.0.1:3" },
        "platform": { "address": "127.0.0.1:4" },
        "tokens": { "operators": { "env": "A" }, "peers": { "env": "B" } },
    });
    let settings = Settings::parse("settings", &settings.to_string()).expect("valid settings");
    let settings = serde_json::to_value(settings).expect("settings are JSON");
    let reference = page("OPERATORS.md");
    let part_of = settings.pointer(&format!("/{}", part.replace('.', "/"))).expect("a part");
    let fields = part_of.as_object().expect("an object");
    for (field, value) in fields.iter().filter(|(_, value)| !value.is_object()) {
        let row = format!("| `{part}.{field}` | {} |", shown(value));
        assert!(reference.contains(&row), "OPERATORS.md lacks {row:?}");
    }
}

fn shown(default: &Value) -> String {
    match default {
        Value::Null => "unset".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
