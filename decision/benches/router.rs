//! Time of one decision by number of replicas and workspaces, and bytes of state.

mod support;

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use decision::head::Generation;
use decision::prelude::*;
use decision::request::{Admission, Event, Request, Ticket};
use decision::router::Router;
use decision::share::{Force, Start, View};
use decision::target::Target;
use support::{name, router, target};

const QUEUE: u32 = 10_000;

fn request(index: u64, workspaces: usize) -> Request {
    Request {
        service: name("s".into()),
        workspace: name(format!("w{}", index as usize % workspaces)),
        prompt_tokens: 500,
        output_tokens: 200,
        prefix: (0..8).map(|block| block * 7 + index % 100).collect(),
        ..Request::default()
    }
}

/// A request that finds a free slot, from arrival to its end.
fn free(bench: &mut Criterion) {
    let mut group = bench.benchmark_group("free_slot");
    for (entries, replicas) in [(9, 65), (9, 600), (360, 600)] {
        let id = BenchmarkId::from_parameter(format!("{entries}_entries_{replicas}_replicas"));
        group.bench_function(id, |bench| {
            let mut router = router(entries, replicas, 10, QUEUE);
            let requests: Vec<Request> = (0..100).map(|it| request(it, 10)).collect();
            let mut turn = 0;
            let now = Time::from_millis(600);
            bench.iter(|| {
                turn += 1;
                let admission = router.admit(now, requests[turn % 100].clone());
                if let Admission::Dispatch(it) = black_box(admission) {
                    router.first_token(now, it.ticket);
                    router.finished(now, it.ticket);
                    black_box(router.next(now));
                }
            });
        });
    }
    group.finish();
}

/// A request that waits until another one ends, with all slots in use.
fn full(bench: &mut Criterion) {
    let mut group = bench.benchmark_group("full");
    for (replicas, workspaces) in [(65, 10), (65, 1_000), (600, 10), (600, 1_000)] {
        let id =
            BenchmarkId::from_parameter(format!("{replicas}_replicas_{workspaces}_workspaces"));
        group.bench_function(id, |bench| {
            let mut router = router(1, replicas, workspaces, QUEUE);
            let now = Time::from_millis(600);
            let mut running = fill(&mut router, now, workspaces);
            let requests: Vec<Request> = (0..1_000).map(|it| request(it, workspaces)).collect();
            let mut turn = 0;
            bench.iter(|| {
                turn += 1;
                black_box(router.admit(now, requests[turn % 1_000].clone()));
                let at = turn % running.len();
                router.finished(now, running[at]);
                for event in router.next(now) {
                    if let Event::Dispatch(it) = event {
                        running[at] = it.ticket;
                    }
                }
            });
        });
    }
    group.finish();
}

fn fill(router: &mut Router, now: Time, workspaces: usize) -> Vec<Ticket> {
    let mut running = Vec::new();
    let mut waiting = 0;
    for index in 0.. {
        match router.admit(now, request(index, workspaces)) {
            Admission::Dispatch(it) => running.push(it.ticket),
            _ => waiting += 1,
        }
        if waiting == 2_000 {
            break;
        }
    }
    running
}

/// What recurs without requests: upkeep, an unchanged list of targets, and a change of roster.
fn background(bench: &mut Criterion) {
    let mut group = bench.benchmark_group("background");
    for (entries, replicas) in [(9, 65), (360, 600)] {
        let label = format!("{entries}_entries_{replicas}_replicas");
        let mut router = router(entries, replicas, 10, QUEUE);
        let mut now = Time::from_millis(600);
        group.bench_function(BenchmarkId::new("upkeep", &label), |bench| {
            bench.iter(|| {
                now = now + Duration::from_millis(250);
                black_box(router.next(now));
            });
        });
        let targets: Vec<Target> = (0..replicas).map(target).collect();
        group.bench_function(BenchmarkId::new("same_targets", &label), |bench| {
            bench.iter(|| router.targets(now, targets.clone()));
        });
        let mut generation = 1;
        group.bench_function(BenchmarkId::new("roster", &label), |bench| {
            bench.iter(|| {
                generation += 1;
                let members = |count| (0..count).map(|it| name(format!("e{it}"))).collect();
                let (more, less) = (members(entries), members(entries - 1));
                let grows = generation % 2 == 0;
                let (members, previous) = if grows { (more, less) } else { (less, more) };
                let own = name("e0".into());
                let generation = Generation(generation);
                let (force, start) = (Force::InForce, Start::First);
                let view = View { own, generation, members, previous, force, start };
                router.roster(now, view);
            });
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .measurement_time(Duration::from_secs(2))
        .warm_up_time(Duration::from_millis(500));
    targets = free, full, background
}
criterion_main!(benches);
