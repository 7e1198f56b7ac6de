//! Brings the replicas of one fabric domain to what is wanted there.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::fabric::{Fabric, MAX_MEMBERS, Member, Replica, State};
use crate::lifecycle::{self, Context, Listed, Spare, Step, Wish};
use crate::prelude::*;
use crate::report::{self, Report};
use crate::target::Epoch;

/// What one fabric domain is to run of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Want {
    /// The service.
    pub service: Name,
    /// The model that each instance loads.
    pub model: Name,
    /// Instances of each replica. 1 to 32.
    pub instances: u32,
    /// Replicas wanted in this fabric domain.
    pub replicas: u32,
    /// Replicas of the service with another model or size that serve on here until enough of
    /// those wanted do.
    #[serde(default)]
    pub outdated: u32,
}

/// Bytes of a service's name that the names of its replicas start with.
const PREFIX_BYTES: usize = 50;

/// The next version of `fabric`'s replicas. Equal to the present ones if nothing is to be done.
///
/// `loads` is how many replicas may be loading here at once.
pub(crate) fn advance(
    context: &Context<'_>,
    name: &Name,
    fabric: &Fabric,
    wants: &[Want],
    loads: usize,
) -> BTreeMap<Name, Replica> {
    let free = free(context, fabric);
    let unwanted = unwanted(context, fabric, wants);
    let mut replicas = BTreeMap::new();
    let mut loading = fabric.replicas.values().filter(|it| it.state == State::Loading).count();
    for (key, replica) in &fabric.replicas {
        let wish = if unwanted.contains(key) { Wish::Drain } else { Wish::Keep };
        let spare = spare(context, replica, &free);
        let step = lifecycle::step(context, key, replica, wish, spare);
        let step = match step {
            Step::Enter(State::Loading) if loading >= loads => Step::Stay,
            other => other,
        };
        loading += usize::from(step == Step::Enter(State::Loading));
        if let Some(next) = apply(replica, step, context.held.epoch) {
            replicas.insert(key.clone(), next);
        }
    }
    if replicas == fabric.replicas {
        create(name, fabric, wants, &unwanted, free, &mut replicas);
    }
    replicas
}

fn apply(replica: &Replica, step: Step, epoch: Epoch) -> Option<Replica> {
    let state = match step {
        Step::Stay => return Some(replica.clone()),
        Step::Remove => return None,
        Step::Enter(state) => state,
    };
    let epoch = if state == State::Loading { epoch } else { replica.epoch };
    Some(Replica { state, epoch, ..replica.clone() })
}

/// The instances that a new replica may claim, with what they report.
fn free<'a>(context: &'a Context<'_>, fabric: &Fabric) -> Vec<Free<'a>> {
    let claimed = fabric.claimed();
    let stay = context.listed.iter().filter(|(name, it)| it.stays && !claimed.contains(name));
    let idle = stay.filter_map(|(name, listed)| {
        let oldest = context.now.back(context.settings.report_age);
        let report = context.reports.fresh(name, oldest)?;
        let idle = report.state == report::State::Idle && report.replica.is_none();
        idle.then_some(Free { name, listed, report })
    });
    idle.collect()
}

#[derive(Clone, Copy)]
struct Free<'a> {
    name: &'a Name,
    listed: &'a Listed,
    report: &'a Report,
}

/// Whether the members that still answer and the free instances make a whole replica.
///
/// Only instances that answered for long enough count, so that a fabric domain that returns from
/// the dark is not torn apart by the first of its instances to answer.
fn spare(context: &Context<'_>, replica: &Replica, free: &[Free<'_>]) -> Spare {
    let since = context.now.back(context.settings.dead_after);
    let steady = |it: &Name| context.reports.steady(it, since, context.now);
    let alive = replica.members.iter().filter(|it| steady(&it.instance)).count();
    let free = free.iter().filter(|it| steady(it.name)).count();
    match alive < replica.members.len() && alive + free >= replica.members.len() {
        true => Spare::Ready,
        false => Spare::Lacking,
    }
}

/// The replicas that are to drain: on instances that leave, of services that are gone, and more
/// than wanted.
fn unwanted(context: &Context<'_>, fabric: &Fabric, wants: &[Want]) -> BTreeSet<Name> {
    let candidates = fabric.replicas.iter().filter(|(_, it)| it.state < State::Released);
    let mut unwanted: BTreeSet<_> = candidates.clone().map(|(name, _)| name.clone()).collect();
    for want in wants {
        let of_service = candidates.clone().filter(|(_, it)| {
            it.service == want.service && it.members.iter().all(|it| context.stays(it))
        });
        let (matching, others): (Vec<_>, Vec<_>) = of_service.partition(|(_, it)| want.matches(it));
        let outdated = others.into_iter().filter(|(_, it)| it.state.serves()).collect();
        let wanted = worthiest(context, matching, want.replicas);
        for name in wanted.chain(worthiest(context, outdated, want.outdated)) {
            unwanted.remove(name);
        }
    }
    unwanted
}

/// Up to `count` of `replicas`, those most worth keeping.
fn worthiest<'a>(
    context: &Context<'_>,
    mut replicas: Vec<(&'a Name, &'a Replica)>,
    count: u32,
) -> impl Iterator<Item = &'a Name> {
    replicas.sort_by_key(|(name, it)| (std::cmp::Reverse(context.worth(name, it)), *name));
    let count = usize::try_from(count).unwrap_or(usize::MAX);
    replicas.into_iter().take(count).map(|(name, _)| name)
}

/// Claims free instances for the replicas that are still lacking.
fn create(
    name: &Name,
    fabric: &Fabric,
    wants: &[Want],
    unwanted: &BTreeSet<Name>,
    mut free: Vec<Free<'_>>,
    replicas: &mut BTreeMap<Name, Replica>,
) {
    for want in wants {
        let members = usize::try_from(want.instances).unwrap_or(usize::MAX);
        if members == 0 || members > MAX_MEMBERS {
            continue;
        }
        let present = fabric
            .replicas
            .iter()
            .filter(|(key, it)| it.state.lives() && want.matches(it) && !unwanted.contains(*key));
        let present = u32::try_from(present.count()).unwrap_or(u32::MAX);
        free.sort_by_key(|it| (it.report.model.as_ref() != Some(&want.model), it.name));
        for _ in present..want.replicas {
            if free.len() < members {
                break;
            }
            let chosen: Vec<_> = free.drain(..members).collect();
            let replica = want.replica(&chosen);
            replicas.insert(replica_name(name, fabric, &replica), replica);
        }
    }
}

/// A name that no replica had before: lease, layout and the members' processes never recur
/// together, even if the store loses the object.
fn replica_name(name: &Name, fabric: &Fabric, replica: &Replica) -> Name {
    let incarnation = fabric.lease.holder.as_ref().map_or(0, |it| it.incarnation.0);
    let mut text = format!("{name}/{incarnation}/{}", fabric.layout.0);
    for member in &replica.members {
        text.push_str(&format!("/{}/{}", member.instance, member.process.0));
    }
    let hash = xxh3_64(text.as_bytes());
    let prefix: String = replica.service.as_str().chars().take(PREFIX_BYTES).collect();
    let text = format!("{prefix}-{:010x}", hash >> 24);
    Name::new(text).unwrap_or_else(|_| replica.service.clone())
}

impl Want {
    fn matches(&self, replica: &Replica) -> bool {
        replica.service == self.service
            && replica.model == self.model
            && u32::try_from(replica.members.len()) == Ok(self.instances)
    }

    fn replica(&self, chosen: &[Free<'_>]) -> Replica {
        let members = chosen.iter().map(|it| Member {
            instance: it.name.clone(),
            address: it.listed.address,
            process: it.report.process,
        });
        Replica {
            service: self.service.clone(),
            model: self.model.clone(),
            failure_domain: chosen
                .first()
                .map_or_else(Name::default, |it| it.listed.failure_domain.clone()),
            state: State::Claimed,
            epoch: Epoch::default(),
            members: members.collect(),
        }
    }
}
