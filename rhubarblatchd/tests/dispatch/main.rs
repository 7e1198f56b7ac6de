//! The dispatcher over stand-ins: keys, streams, leaving callers, peers, refusals and bad input.

#![cfg(test)]

mod refusals;
mod relay;
#[path = "../support/settings.rs"]
mod settings;
mod support;
mod takeover;

use std::collections::BTreeMap;

use anyhow::{Result, anyhow};
use bytes::Bytes;
use caller::answer::Source;
use caller::refusal::Kind;
use caller::request::Generate;
use caller::{Event, Handler as _, Refusal};
use decision::declaration::Declaration;
use decision::outcome::Outcome;
use decision::target::{Phase, Target};
use futures_util::StreamExt as _;
use serde_json::json;
use standin::plain::Fault;
use standin::store;
use support::{bind, declarations, entry, meta, plain, replica, until};

#[tokio::test]
async fn a_key_runs_once_through_two_entries_at_the_same_moment() -> Result<()> {
    let (_store, store) = support::store().await?;
    let (plain, target) = plain().await?;
    plain.set_fault(Fault { slow_ms: 50, ..Fault::default() });
    let entries = [entry(store, std::slice::from_ref(&target))?, entry(store, &[target])?];
    let (first, second) =
        tokio::join!(entries[0].pay(Some("a"), "{}"), entries[1].pay(Some("a"), "{}"));
    let results = [first?, second?];
    let answered = results.iter().filter(|it| it.is_ok()).count();
    let told = results.iter().filter_map(|it| it.as_ref().err());
    let kinds: Vec<(Kind, Outcome)> = told.map(|it| (it.kind, it.outcome)).collect();
    assert_eq!((answered, kinds), (1, vec![(Kind::InProgress, Outcome::Unknown)]));

    // Once the end is on record, a repeat gets the same answer and another request is refused.
    let repeat = loop {
        match entries[1].pay(Some("a"), "{}").await? {
            Ok(answer) => break answer,
            Err(refusal) => assert_eq!(refusal.kind, Kind::InProgress),
        }
    };
    assert_eq!((repeat.source, &*repeat.body), (Source::Record, &b"{\"ran\":\"a\"}"[..]));
    let reused = entries[0].pay(Some("a"), "{ }").await?.err();
    assert_eq!(reused.map(|it| (it.kind, it.outcome)), Some((Kind::KeyReused, Outcome::NotRun)));
    assert_eq!(plain.runs(), BTreeMap::from([("a".to_owned(), 1)]));
    Ok(())
}

#[tokio::test]
async fn a_payment_refused_by_one_entry_is_not_in_progress_at_the_next() -> Result<()> {
    let (platform, store) = support::store().await?;
    let (plain, target) = plain().await?;
    let (without, with) = (entry(store, &[])?, entry(store, &[target])?);
    platform.set_fault(store::Fault { slow_ms: 20, ..store::Fault::default() });
    let refused = without.pay(Some("a"), "{}").await?.err();
    assert_eq!(refused.map(|it| it.outcome), Some(Outcome::NotRun));
    assert_eq!(with.pay(Some("a"), "{}").await?.err(), None);
    assert_eq!(plain.runs(), BTreeMap::from([("a".to_owned(), 1)]));
    Ok(())
}

#[tokio::test]
async fn a_payment_whose_answer_is_lost_is_unknown_and_never_runs_again() -> Result<()> {
    let (_store, store) = support::store().await?;
    let (plain, target) = plain().await?;
    let entry = entry(store, &[target])?;
    plain.set_fault(Fault { lose_answers: 1, ..Fault::default() });
    let lost = entry.pay(Some("a"), "{}").await?.err();
    assert_eq!(lost.map(|it| it.outcome), Some(Outcome::Unknown));
    let repeat = entry.pay(Some("a"), "{}").await?.err();
    assert_eq!(repeat.map(|it| it.outcome), Some(Outcome::Unknown));
    assert_eq!(plain.runs(), BTreeMap::from([("a".to_owned(), 1)]));
    Ok(())
}

#[tokio::test]
async fn a_payment_that_the_target_declines_is_retried_and_runs_once() -> Result<()> {
    let (_store, store) = support::store().await?;
    let (plain, target) = plain().await?;
    let entry = entry(store, &[target])?;
    plain.set_fault(Fault { refuse: 1, ..Fault::default() });
    assert!(entry.pay(Some("a"), "{}").await?.is_ok());
    assert_eq!(plain.runs(), BTreeMap::from([("a".to_owned(), 1)]));
    Ok(())
}

#[tokio::test]
async fn a_payment_is_refused_as_not_run_while_the_store_is_down() -> Result<()> {
    let (plain, target) = plain().await?;
    let (listener, store) = bind().await?;
    drop(listener);
    let refused = entry(store, &[target])?.pay(Some("a"), "{}").await?.err();
    let refused = refused.map(|it| (it.kind, it.outcome, it.retry_after.is_some()));
    assert_eq!(refused, Some((Kind::StoreUnavailable, Outcome::NotRun, true)));
    assert!(plain.runs().is_empty());
    Ok(())
}

#[tokio::test]
async fn a_lost_answer_of_the_store_does_not_lose_the_payment() -> Result<()> {
    let (platform, store) = support::store().await?;
    let (plain, target) = plain().await?;
    let entry = entry(store, &[target])?;
    platform.set_fault(store::Fault { lose_answers: 1, ..store::Fault::default() });
    assert!(entry.pay(Some("a"), "{}").await?.is_ok());
    assert_eq!(plain.runs(), BTreeMap::from([("a".to_owned(), 1)]));
    Ok(())
}

#[tokio::test]
async fn bad_input_is_refused_as_not_run_and_reaches_no_target() -> Result<()> {
    let (_store, store) = support::store().await?;
    let (plain, target) = plain().await?;
    let entry = entry(store, &[target])?;
    let long = "x".repeat(65).leak();
    let refused = [entry.pay(None, "{}").await?.err(), entry.pay(Some("a"), long).await?.err()];
    let refused: Vec<_> = refused.into_iter().flatten().map(|it| (it.kind, it.outcome)).collect();
    let kinds = [Kind::KeyRequired, Kind::TooLarge];
    assert_eq!(refused, kinds.map(|kind| (kind, Outcome::NotRun)));
    let request = Generate {
        meta: meta("nothing", None)?,
        body: Bytes::new(),
        prompt: String::new(),
        max_tokens: 1,
    };
    let unknown = entry.dispatcher.generate(request).await.err();
    let unknown = unknown.map(|it| (it.kind, it.outcome));
    assert_eq!(unknown, Some((Kind::UnknownService, Outcome::NotRun)));
    assert!(plain.runs().is_empty());
    Ok(())
}

#[tokio::test]
async fn a_stream_whose_engine_restarts_is_continued_on_another_replica() -> Result<()> {
    let (_store, store) = support::store().await?;
    let (first, one) = replica("chat-1").await?;
    let (second, two) = replica("chat-2").await?;
    let entry = entry(store, &[one, two])?;
    let mut events = entry.generate(100).await?;
    let mut offsets = Vec::new();
    let end = loop {
        match events.next().await.ok_or_else(|| anyhow!("no end"))? {
            Event::Token { offset, .. } => offsets.push(offset),
            end => break end,
        }
        if offsets.len() == 10 {
            let serving = if first.counts().started > 0 { &first } else { &second };
            serving.restart();
        }
    };
    assert_eq!(end, Event::End { tokens: 100 });
    assert_eq!(offsets, (0..100).collect::<Vec<u64>>());
    assert_eq!((first.counts().started, second.counts().started), (1, 1));
    Ok(())
}

#[tokio::test]
async fn a_caller_that_leaves_cancels_its_work_on_the_target() -> Result<()> {
    let (_store, store) = support::store().await?;
    let (engine, target) = replica("chat-1").await?;
    let entry = entry(store, &[target])?;
    let mut events = entry.generate(1_000_000).await?;
    assert!(events.next().await.is_some());
    drop(events);
    until(|| engine.counts().cancelled == 1).await;
    Ok(())
}

#[tokio::test]
async fn what_leaves_takes_nothing_new_and_cuts_off_nothing() -> Result<()> {
    let (_store, store) = support::store().await?;
    let (engine, target) = replica("chat-1").await?;
    let entry = entry(store, std::slice::from_ref(&target))?;
    let mut events = entry.generate(100).await?;
    assert!(matches!(events.next().await, Some(Event::Token { offset: 0, .. })));

    // The failure domain is taken out, its target drains, and then the entry leaves as well.
    let out = json!({ "kind": "failure_domain", "name": "riga-a", "state": "out" });
    let out: Declaration = serde_json::from_value(out)?;
    let mut set = declarations()?;
    set.insert(out.id(), out);
    entry.node.routing.with(|now, router| {
        router.configure(now, &set);
        router.targets(now, [Target { phase: Phase::Draining, ..target }]);
    });
    let refused = entry.generate(1).await.err().and_then(|it| it.downcast::<Refusal>().ok());
    let refused = refused.map(|it| (it.kind, it.outcome));
    assert_eq!(refused, Some((Kind::NoTarget, Outcome::NotRun)));
    entry.node.leaving.cancel();
    let refused = entry.generate(1).await.err().and_then(|it| it.downcast::<Refusal>().ok());
    let refused = refused.map(|it| (it.kind, it.outcome));
    assert_eq!(refused, Some((Kind::Leaving, Outcome::NotRun)));

    let rest: Vec<Event> = events.collect().await;
    assert_eq!((rest.len(), rest.last()), (100, Some(&Event::End { tokens: 100 })));
    assert_eq!(engine.counts().started, 1);
    Ok(())
}
