//! Routers over targets that serve one model.

use decision::declaration::{Backend, Declaration, Profile, Service, Workspace};
use decision::head::Generation;
use decision::prelude::*;
use decision::router::{Router, Settings};
use decision::share::{Force, View};
use decision::target::{Epoch, Phase, Process, Target, Temperature};

pub(crate) fn name(text: String) -> Name {
    Name::new(text).unwrap_or_default()
}

/// The first of `entries` with `replicas` targets, `workspaces`, and room for `queue` requests.
pub(crate) fn router(entries: usize, replicas: usize, workspaces: usize, queue: u32) -> Router {
    let profile = Profile { cold_limit: 32, queue, ..Profile::default() };
    let service = Service {
        name: name("s".into()),
        profile: profile.name.clone(),
        backend: Backend::Model { model: Name::default(), replicas: 1, instances: 1 },
    };
    let mut all = vec![Declaration::Profile(profile), Declaration::Service(service)];
    let workspace = |it| Workspace { name: name(format!("w{it}")), weight: 1 };
    all.extend((0..workspaces).map(|it| Declaration::Workspace(workspace(it))));
    let mut router = Router::new(Settings::default());
    router.configure(Time::ZERO, &all.into_iter().map(|it| (it.id(), it)).collect());
    let view = View {
        own: name("e0".into()),
        generation: Generation(1),
        members: (0..entries).map(|it| name(format!("e{it}"))).collect(),
        force: Force::InForce,
        ..View::default()
    };
    router.roster(Time::ZERO, view);
    router.targets(Time::ZERO, (0..replicas).map(target));
    router.next(Time::from_millis(500));
    router
}

pub(crate) fn target(index: usize) -> Target {
    Target {
        name: name(format!("t{index}")),
        service: name("s".into()),
        failure_domain: name(format!("d{}", index % 8)),
        address: ([127, 0, 0, 1], 1).into(),
        process: Process(1),
        epoch: Epoch(1),
        temperature: Temperature::Warm,
        phase: Phase::Serving,
    }
}
