//! Every refusal of the router, the claims, the entry and the streams, as callers get it.

use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ::store::{Kind, Store as _, Version};
use anyhow::Result;
use bytes::Bytes;
use decision::claim::{Digest, Record, SHARD_BYTES, Shard, State};
use decision::declaration::{Declaration, Set};
use decision::head::{Head, Incarnation};
use decision::name::Name;
use futures_util::StreamExt as _;
use http::Request;
use http_body_util::{BodyExt as _, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use rhubarblatchd::claims::{Alone, Claims};
use rhubarblatchd::dispatch::Dispatcher;
use rstest::rstest;
use serde_json::{Value, json};
use standin::plain::{Fault, Plain};
use standin::store::{self, Store};
use tokio::net::TcpListener;
use tokio::time;

use super::support::{self, Entry, bind, node, replica, target, until, view};

/// Status, type, outcome and whole seconds of `retry-after`.
type Told = (u16, String, String, Option<u64>);

/// An entry that holds every slot, behind its listener for callers.
struct Bench {
    entry: Entry,
    callers: SocketAddr,
    store: Store,
    plain: Plain,
}

fn told(status: u16, kind: &str, outcome: &str, retry_after: Option<u64>) -> Told {
    (status, kind.to_owned(), outcome.to_owned(), retry_after)
}

fn declarations() -> Result<Set> {
    let profile = |name: &str, repeat: &str| {
        json!({ "kind": "profile", "name": name, "repeat": repeat, "resume": "none",
                "cold_limit": 1, "warm_limit": 1, "queue": 1, "body_bytes": 64, "stall_ms": 50 })
    };
    let service = |name: &str, profile: &str| {
        json!({ "kind": "service", "name": name, "profile": profile,
                "backend": { "type": "plain", "targets": [] } })
    };
    let declared = json!([
        profile("payment", "once_with_key"),
        profile("once", "once"),
        profile("any", "idempotent"),
        service("fees", "payment"),
        service("lookups", "any"),
        service("chat", "any"),
        service("chat-once", "once"),
    ]);
    let declared: Vec<Declaration> = serde_json::from_value(declared)?;
    Ok(declared.into_iter().map(|it| (it.id(), it)).collect())
}

async fn callers(dispatcher: &Arc<Dispatcher<Alone>>) -> Result<SocketAddr> {
    let (listener, address) = bind().await?;
    let settings = caller::Settings::default();
    tokio::spawn(caller::listener::serve(listener, dispatcher.clone(), settings, pending::<()>()));
    Ok(address)
}

async fn bench() -> Result<Bench> {
    let (store, platform) = support::store().await?;
    let own = Name::new("entry-1")?;
    let node = node("entry-1", platform)?;
    let view = view(&own, std::slice::from_ref(&own));
    let entry = Entry::new(&node, Head::default(), declarations()?, view);
    let (plain, target) = support::plain().await?;
    let lookups = decision::target::Target { service: Name::new("lookups")?, ..target.clone() };
    entry.list(&[target, lookups]);
    let callers = callers(&entry.dispatcher).await?;
    Ok(Bench { entry, callers, store, plain })
}

/// Sends a request, with a key and a deadline if they are not empty, and returns the refusal.
async fn ask(
    callers: SocketAddr,
    path: &str,
    key: &str,
    deadline: &str,
    body: &str,
) -> Result<Told> {
    let mut request = Request::post(format!("http://{callers}/v1/services/{path}"));
    for (name, value) in [("idempotency-key", key), ("x-deadline-ms", deadline)] {
        if !value.is_empty() {
            request = request.header(name, value);
        }
    }
    let request = request.body(Full::new(Bytes::from(body.to_owned())))?;
    let client = Client::builder(TokioExecutor::new()).build_http();
    let response = client.request(request).await?;
    let (head, body) = response.into_parts();
    let after = head.headers.get("retry-after").map(|it| it.to_str()).transpose()?;
    let after = after.map(str::parse).transpose()?;
    let body: Value = serde_json::from_slice(&body.collect().await?.to_bytes())?;
    assert_eq!(body["retry_after_ms"].is_number(), after.is_some());
    let text = |field: &str| body[field].as_str().unwrap_or_default().to_owned();
    Ok((head.status.as_u16(), text("type"), text("outcome"), after))
}

const PROMPT: &str = r#"{"prompt":"one two","max_tokens":5}"#;

impl Bench {
    async fn pay(&self, key: &str) -> Result<Told> {
        ask(self.callers, "fees/call/pay", key, "", "{}").await
    }

    /// An engine that does as told with its connections, as the only target of `service`.
    async fn engine(&self, service: &str, end: End) -> Result<()> {
        let (listener, address) = bind().await?;
        tokio::spawn(serve(listener, end));
        self.entry.list(&[target("engine", service, address)?]);
        Ok(())
    }

    /// Puts a shard with `record` of the key, and with `more` other records, into the store.
    async fn record(&self, key: &str, record: Option<State>, more: usize) -> Result<()> {
        let name = |key: &str| -> Result<Digest> {
            Ok(Digest::of_key(&Name::default(), &Name::new("fees")?, key))
        };
        let make = |state| Record {
            request: Digest::of(&[b"call", b"POST", b"/pay", b"{}"]),
            owner: Incarnation(7),
            nonce: 7,
            tick: 0,
            state,
        };
        let mut shard = Shard::default();
        for other in 0..more {
            shard.records.insert(name(&format!("other-{other}"))?, make(State::Claimed));
        }
        if let Some(state) = record {
            shard.records.insert(name(key)?, make(state));
        }
        let object = name(key)?.shard().to_string();
        self.entry.node.store.put(Kind::Claim, &object, Version(0), &shard).await?;
        Ok(())
    }
}

/// What an engine does with a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Close,
    Silence,
}

async fn serve(listener: TcpListener, end: End) {
    let mut kept = Vec::new();
    while let Ok((mut stream, _)) = listener.accept().await {
        if end == End::Silence {
            kept.push(stream);
            continue;
        }
        // Read first, so that the close is a lost answer and not a reset before the request.
        let mut bytes = [0; 4_096];
        drop(tokio::io::AsyncReadExt::read(&mut stream, &mut bytes).await);
    }
}

#[rstest]
#[case::malformed("chat/generate", "", "x", told(400, "malformed", "not_run", None))]
#[case::no_key("fees/call/pay", "", "{}", told(400, "key_required", "not_run", None))]
#[case::no_path("fees/other", "", "", told(404, "not_found", "not_run", None))]
#[case::no_service("no/generate", "", PROMPT, told(404, "unknown_service", "not_run", None))]
#[case::past("lookups/call/a", "0", "", told(504, "deadline", "not_run", None))]
#[case::too_large(
    "lookups/call/a",
    "",
    "0123456789012345678901234567890123456789012345678901234567890123456789",
    told(413, "too_large", "not_run", None)
)]
#[case::no_target("chat/generate", "", PROMPT, told(503, "no_target", "not_run", Some(2)))]
#[tokio::test]
async fn requests_that_cannot_be_served_are_refused(
    #[case] path: &str,
    #[case] deadline: &str,
    #[case] body: &str,
    #[case] wanted: Told,
) -> Result<()> {
    let bench = bench().await?;
    assert_eq!(ask(bench.callers, path, "", deadline, body).await?, wanted);
    assert!(bench.plain.runs().is_empty());
    Ok(())
}

#[rstest]
#[case::in_progress(Some(State::Claimed), 0, told(409, "in_progress", "unknown", Some(1)))]
#[case::not_kept(Some(State::Done { answer: None }), 0, told(409, "not_kept", "ran", None))]
#[case::full(None, SHARD_BYTES / 256, told(503, "store_unavailable", "not_run", Some(2)))]
#[tokio::test]
async fn keys_that_are_not_granted_are_refused(
    #[case] record: Option<State>,
    #[case] more: usize,
    #[case] wanted: Told,
) -> Result<()> {
    let bench = bench().await?;
    bench.record("a", record, more).await?;
    assert_eq!(bench.pay("a").await?, wanted);
    assert!(bench.plain.runs().is_empty());
    Ok(())
}

#[tokio::test]
async fn a_key_whose_claimant_is_gone_is_lost() -> Result<()> {
    let bench = bench().await?;
    bench.record("a", Some(State::Claimed), 0).await?;
    let mut seen = Vec::new();
    for _ in 0..5 {
        seen.push(bench.pay("a").await?);
        time::pause();
        time::advance(Duration::from_secs(30)).await;
        time::resume();
    }
    let in_progress = told(409, "in_progress", "unknown", Some(1));
    assert_eq!(seen[..4], vec![in_progress; 4]);
    assert_eq!(seen[4], told(502, "lost", "unknown", None));
    assert!(bench.plain.runs().is_empty());
    Ok(())
}

#[tokio::test]
async fn a_key_used_again_or_a_store_out_of_reach_is_refused() -> Result<()> {
    let bench = bench().await?;
    bench.record("a", Some(State::Claimed), 0).await?;
    let reused = ask(bench.callers, "fees/call/pay", "a", "", "{ }").await?;
    assert_eq!(reused, told(422, "key_reused", "not_run", None));

    // The claim takes longer than the caller's deadline.
    bench.store.set_fault(store::Fault { slow_ms: 50, ..store::Fault::default() });
    let expired = ask(bench.callers, "fees/call/pay", "b", "1", "{}").await?;
    assert_eq!(expired, told(504, "deadline", "not_run", None));

    bench.store.set_fault(store::Fault { down: true, ..store::Fault::default() });
    let refused = bench.pay("c").await?;
    assert_eq!(refused, told(503, "store_unavailable", "not_run", Some(2)));
    assert!(bench.plain.runs().is_empty());
    Ok(())
}

#[tokio::test]
async fn requests_whose_attempts_fail_are_refused() -> Result<()> {
    let bench = bench().await?;
    bench.plain.set_fault(Fault { refuse: u32::MAX, ..Fault::default() });
    let exhausted = bench.pay("a").await?;
    assert_eq!((exhausted.0, &*exhausted.1, &*exhausted.2), (503, "exhausted", "not_run"));
    assert!(exhausted.3.is_some() && bench.plain.runs().is_empty());

    let bench = self::bench().await?;
    bench.plain.set_fault(Fault { lose_answers: u32::MAX, ..Fault::default() });
    let exhausted = ask(bench.callers, "lookups/call/a", "k", "1500", "").await?;
    assert_eq!((exhausted.0, &*exhausted.1, &*exhausted.2), (503, "exhausted", "unknown"));
    assert!(exhausted.3.is_some() && bench.plain.runs()["k"] <= 3);

    let bench = self::bench().await?;
    bench.plain.set_fault(Fault { lose_answers: 1, ..Fault::default() });
    assert_eq!(bench.pay("a").await?, told(502, "lost", "unknown", None));
    assert_eq!(bench.plain.runs()["a"], 1);
    Ok(())
}

#[tokio::test]
async fn a_full_queue_and_a_wait_past_the_deadline_are_refused() -> Result<()> {
    let bench = bench().await?;
    let (engine, chat) = replica("chat-1").await?;
    bench.entry.list(&[chat]);
    let mut running = bench.entry.generate(1_000_000).await?;
    assert!(running.next().await.is_some());
    let late = ask(bench.callers, "chat/generate", "", "50", PROMPT).await?;
    assert_eq!((late.0, &*late.1, &*late.2), (504, "deadline", "not_run"));
    assert!(late.3.is_some());

    let waiting = ask(bench.callers, "chat/generate", "", "2000", PROMPT);
    let full = async {
        let status = || bench.entry.node.routing.with(|now, router| router.status(now));
        until(|| status().iter().any(|it| it.queued == 1)).await;
        ask(bench.callers, "chat/generate", "", "", PROMPT).await
    };
    let (_, full) = tokio::join!(waiting, full);
    let full = full?;
    assert_eq!((full.0, &*full.1, &*full.2), (429, "overloaded", "not_run"));
    assert!(full.3.is_some());
    assert_eq!(engine.counts().started, 1);
    Ok(())
}

#[tokio::test]
async fn an_entry_that_takes_no_new_work_says_so() -> Result<()> {
    let bench = bench().await?;
    bench.entry.node.routing.with(|_, router| router.drain());
    assert_eq!(bench.pay("a").await?, told(503, "leaving", "not_run", Some(1)));
    bench.entry.node.leaving.cancel();
    assert_eq!(bench.pay("a").await?, told(503, "leaving", "not_run", Some(1)));

    let (_store, platform) = support::store().await?;
    let unread = node("entry-2", platform)?;
    let claims = Claims::new(unread.clone(), Alone);
    let callers = callers(&Arc::new(Dispatcher::new(unread, claims))).await?;
    let refused = ask(callers, "fees/call/pay", "a", "", "{}").await?;
    assert_eq!(refused, told(503, "not_current", "not_run", Some(1)));
    assert!(bench.plain.runs().is_empty());
    Ok(())
}

#[rstest]
#[case::broken(End::Close, "", told(502, "broken", "unknown", None))]
#[case::stalled(End::Silence, "", told(504, "stalled", "unknown", None))]
#[case::deadline(End::Silence, "100", told(504, "deadline", "unknown", None))]
#[tokio::test]
async fn a_stream_that_does_not_begin_is_refused(
    #[case] end: End,
    #[case] deadline: &str,
    #[case] wanted: Told,
) -> Result<()> {
    let bench = bench().await?;
    bench.engine("chat-once", end).await?;
    let refused = ask(bench.callers, "chat-once/generate", "", deadline, PROMPT).await?;
    assert_eq!(refused, wanted);
    Ok(())
}
