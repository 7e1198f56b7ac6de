//! Changes through one entry come into force at every entry, also when the store loses answers.

#![cfg(test)]

mod support;

use std::time::Duration;

use decision::declaration::{Declaration, FailureDomain, Id, Kind, State};
use decision::head::{Generation, Hash};
use decision::name::Name;
use http::{Request, header};
use operator::change::{Applied, Change, Edit};
use operator::status::Status;
use rhubarblatchd::Daemon;
use serde::de::DeserializeOwned;
use standin::store::{Fault, Store};
use store::exchange::{Bounds, Connection, connect, send};
use support::entry;
use tokio::net::TcpListener;

const PATIENCE: Duration = Duration::from_secs(30);
const LOOKS: u32 = 600;

/// Calls the operators' listener of an entry.
async fn call<T: DeserializeOwned>(
    connection: &Connection,
    entry: &Daemon,
    path: &str,
    body: Option<&Change>,
) -> T {
    let uri = format!("http://{}{path}", entry.addresses().operators);
    let method = if body.is_some() { "POST" } else { "GET" };
    let body = body.map(|it| serde_json::to_vec(it).unwrap()).unwrap_or_default();
    let request = Request::builder().method(method).uri(uri);
    let request = request.header(header::AUTHORIZATION, "Bearer secret").body(body.into());
    let bounds = Bounds { timeout: PATIENCE, answer_bytes: 1 << 20 };
    let answer = send(connection, request.unwrap(), &bounds).await.unwrap();
    assert!(answer.status.is_success(), "{answer:?}");
    serde_json::from_slice(&answer.body).unwrap()
}

fn domain(state: State) -> Declaration {
    Declaration::FailureDomain(FailureDomain { name: Name::default(), state })
}

fn change(nonce: u64, from: Option<State>, to: Option<State>) -> Change {
    let id = Id { kind: Kind::FailureDomain, name: Name::default() };
    let expected = from.map(|state| Hash::of(&domain(state)).unwrap());
    let edits = vec![Edit { id, expected, declaration: to.map(domain) }];
    Change { base: Generation(0), nonce, edits }
}

/// Looks at the entries until `generation` is in force at all of them.
async fn in_force(connection: &Connection, entries: &[Daemon], generation: Generation) {
    let mut seen: Vec<Status> = Vec::new();
    for _ in 0..LOOKS {
        seen.clear();
        for entry in entries {
            seen.push(call(connection, entry, "/v1/status", None).await);
        }
        if seen.iter().all(|status| status.has_in_force(generation) && status.current) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("not in force: {seen:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_domain_taken_out_is_out_at_every_entry_although_answers_are_lost() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let platform = listener.local_addr().unwrap();
    let store = Store::new();
    tokio::spawn(store.clone().serve(listener));
    let connection = connect(PATIENCE);
    let mut entries = Vec::new();
    for name in ["entry-1", "entry-2", "entry-3"] {
        entries.push(entry(name, platform).await);
    }
    let change_in = change(1, None, Some(State::In));
    let path = "/v1/configuration";
    let applied: Applied = call(&connection, &entries[0], path, Some(&change_in)).await;
    in_force(&connection, &entries, applied.generation).await;

    // The answers to the write of the body are lost.
    store.set_fault(Fault { lose_answers: 2, ..Fault::default() });
    let out = change(2, Some(State::In), Some(State::Out));
    let applied: Applied = call(&connection, &entries[1], path, Some(&out)).await;
    in_force(&connection, &entries, applied.generation).await;
    for entry in &entries {
        let status: Status = call(&connection, entry, "/v1/status", None).await;
        let seen = status.failure_domains.iter().find(|it| it.name == Name::default());
        assert_eq!(seen.map(|it| it.state), Some(State::Out), "{status:?}");
    }
    // A removal writes the head only, so that the answer to that is lost.
    store.set_fault(Fault { lose_answers: 1, ..Fault::default() });
    let removal = change(3, Some(State::Out), None);
    let applied: Applied = call(&connection, &entries[1], path, Some(&removal)).await;
    in_force(&connection, &entries, applied.generation).await;
    let again: Applied = call(&connection, &entries[2], path, Some(&removal)).await;
    assert_eq!(again.generation, applied.generation, "the change took effect twice");

    for entry in entries {
        entry.stop().await;
    }
}
