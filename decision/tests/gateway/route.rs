use std::sync::Arc;

use decision::gateway::config::{Config, Kind, Limits, Route, Service, Workspace};
use decision::gateway::route::{Principal, Table};
use rstest::rstest;

use crate::support::ms;

fn route(name: &str, host: &str, prefix: &str, public: bool) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: Kind::Safe,
        timeout: ms(1_000),
        objective: ms(100),
        priority: 1,
        split: vec![("one".into(), 90), ("two".into(), 10)],
        max_attempts: 2,
        is_public: public,
        is_resumable: false,
        max_event_gap: None,
    }
}

fn service(name: &str) -> Service {
    Service { name: name.into(), warmup_rate: 0.0, warmup: ms(0), engine: None }
}

fn table() -> Table {
    let workspace = |name: &str, key: &str| Workspace {
        name: name.into(),
        keys: vec![key.into()],
        priority: None,
    };
    Table::new(&Config {
        version: 7,
        routes: vec![
            route("short", "a.example", "/x/", false),
            route("long", "a.example", "/x/y/", false),
            route("open", "b.example", "/", true),
        ],
        services: vec![service("one"), service("two")],
        limits: Limits::default(),
        workspaces: vec![workspace("w1", "k1"), workspace("w2", "k2")],
    })
}

#[rstest]
#[case("a.example", "/x/1", Some("short"))]
#[case("a.example", "/x/y/1", Some("long"))]
#[case("A.Example:8080", "/x/y/", Some("long"))]
#[case("a.example", "/xy/", None)]
#[case("a.example", "/x", None)]
#[case("b.example", "/x/1", Some("open"))]
#[case("c.example", "/x/1", None)]
fn the_longest_prefix_at_the_host_wins(
    #[case] host: &str,
    #[case] path: &str,
    #[case] name: Option<&str>,
) {
    assert_eq!(table().route(host, path).map(|it| &*it.name), name);
}

#[test]
fn a_split_follows_its_weights() {
    let table = table();
    let Some(route) = table.route("a.example", "/x/1") else { panic!("no route") };
    let services = (0..100).filter_map(|draw| table.pick_service(route, draw));
    assert_eq!(services.filter(|it| &*it.name == "one").count(), 90);
}

#[rstest]
#[case("/x/1", Some("k1"), Some("w1"))]
#[case("/x/1", Some("k2"), Some("w2"))]
#[case("/x/1", Some("k3"), None)]
#[case("/x/1", None, None)]
fn a_key_names_its_workspace(
    #[case] path: &str,
    #[case] key: Option<&str>,
    #[case] workspace: Option<&str>,
) {
    let table = table();
    let Some(route) = table.route("a.example", path) else { panic!("no route") };
    let name: Option<Arc<str>> = match table.principal(route, key) {
        Principal::Workspace(it) => Some(it.name.clone()),
        Principal::Unknown => None,
        Principal::Anonymous => panic!("the route requires a key"),
    };
    assert_eq!(name.as_deref(), workspace);
}

#[test]
fn a_public_route_requires_no_key() {
    let table = table();
    let Some(route) = table.route("b.example", "/") else { panic!("no route") };
    assert!(matches!(table.principal(route, None), Principal::Anonymous));
}

#[test]
fn keys_are_not_printed() {
    assert!(!format!("{:?}", table()).contains("k1\""), "a key is printed");
}
