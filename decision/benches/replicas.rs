//! Measures how long an owner and an entry take to process the list of instances, by the number of
//! instances.

#[path = "../tests/gateway/support.rs"]
mod support;

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use decision::gateway::balance::{Balancer, Settings as BalanceSettings, Target};
use decision::gateway::config::Service;
use decision::gateway::engine::{Engine, Model};
use decision::gateway::fleet::{Fleet, Instance, Member, Presence, State};
use decision::gateway::formation::{Action, Formation, Order, Settings};
use decision::prelude::*;
use support::{at, engine, instance, ms, target};

/// Number of instances in a fabric domain.
const FABRIC_DOMAIN_SIZE: usize = 35;

/// Numbers of instances that are measured.
const INSTANCE_COUNTS: [usize; 3] = [210, 875, 3_500];

fn models() -> Engine {
    let sizes = [("large", 16, 0.5), ("small", 4, 0.5)];
    let model = |(name, size, share): (&str, usize, f64)| Model {
        name: name.into(),
        size,
        share,
        time_factor: 1.0,
        load_time: ms(16_000),
        warm_load_time: ms(1_600),
    };
    Engine { models: sizes.map(model).to_vec(), load_rate: 70.0, ..engine() }
}

fn unassigned(count: usize) -> Vec<Instance> {
    let name = |it: usize| (format!("i{it:05}"), format!("f{:03}", it / FABRIC_DOMAIN_SIZE));
    (0..count).map(name).map(|(id, fabric)| instance(&id, &fabric)).collect()
}

fn plan(formation: &mut Formation, now: Time, instances: &[Instance]) -> Vec<Action> {
    formation.plan(now, &models(), instances.iter().map(|it| (it, Presence::Listed)))
}

/// Returns a new owner that has seen all instances and given no order yet.
fn owner(instances: &[Instance]) -> Formation {
    let mut formation = Formation::new(1, Settings::default());
    formation.set_loads_exempt(true);
    plan(&mut formation, at(1_000), instances);
    formation
}

/// Returns the instances after as many replicas as fit have been formed and serve, and their owner.
fn settled(count: usize) -> (Formation, Vec<Instance>) {
    let mut instances = unassigned(count);
    let mut formation = owner(&instances);
    for action in plan(&mut formation, at(2_000), &instances) {
        let Order::Join { group, epoch, model, members } = action.order else { continue };
        let rank = members.iter().position(|it| *it == action.id).unwrap_or_default();
        let state = if rank == 0 { State::Open } else { State::Ready };
        let joined = instances.iter_mut().find(|it| it.id == action.id);
        let Some(joined) = joined else { continue };
        joined.staged = vec![model.clone()];
        joined.model = Some(model);
        let rank = u32::try_from(rank).unwrap_or_default();
        joined.member = Some(Member { group, epoch, rank, state });
    }
    plan(&mut formation, at(3_000), &instances);
    (formation, instances)
}

fn bench_plans(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("replicas");
    for count in INSTANCE_COUNTS {
        let instances = unassigned(count);
        group.bench_function(BenchmarkId::new("formed from nothing", count), |bencher| {
            bencher.iter_batched_ref(
                || owner(&instances),
                |it| plan(it, at(2_000), &instances),
                BatchSize::SmallInput,
            );
        });
        let (mut formation, instances) = settled(count);
        let mut now = 4_000;
        group.bench_function(BenchmarkId::new("settled", count), |bencher| {
            bencher.iter(|| {
                now += 1;
                plan(&mut formation, at(now), &instances)
            });
        });
    }
    group.finish();
}

fn bench_lists(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("list");
    for count in INSTANCE_COUNTS {
        let (_, instances) = settled(count);
        let mut fleet = Fleet::default();
        fleet.replace_all(at(0), instances);
        let service = Service {
            name: "models".into(),
            warmup_rate: 2.0,
            warmup: ms(1_000),
            engine: Some(models()),
        };
        group.bench_function(BenchmarkId::new("replicas", count), |bencher| {
            bencher.iter(|| fleet.replicas(&service));
        });
        let replicas = fleet.replicas(&service);
        let targets: Vec<(Target, Duration)> = replicas
            .iter()
            .map(|it| (target(&it.members[0], "a", Some("small")), Duration::ZERO))
            .collect();
        let mut balance = Balancer::new(BalanceSettings::default());
        let engine = models();
        group.bench_function(BenchmarkId::new("targets", count), |bencher| {
            bencher.iter(|| {
                let targets = targets.iter().cloned();
                balance.set_targets(at(0), &service.name, Some(&engine), 2.0, targets);
            });
        });
    }
    group.finish();
}

criterion_group!(benches, bench_plans, bench_lists);
criterion_main!(benches);
