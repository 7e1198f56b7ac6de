//! Drives the owner machine of one fabric domain.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use decision::clock::Time;
use decision::election;
use decision::evidence::standby;
use decision::fabric::Holder;
use decision::head::Generation;
use decision::name::Name;
use decision::order::Dispatch;
use decision::owner::{self, Action, Event, Object, Owner};
use decision::probe::Probe;
use decision::report::Report;
use decision::track;
use store::{Error, Kind, Store as _, Version};
use target::order;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time;

use super::Control;

const TICK: Duration = Duration::from_millis(100);

/// Time between two reads of the object by an entry that doesn't hold the lease.
const READ: Duration = Duration::from_secs(1);

/// Events that wait for one driver.
const EVENTS: usize = 1_024;

/// Entries that probe each fabric domain, from several failure domains.
const PROBERS: usize = 3;

/// An entry that stands in for silent probers keeps quiet of its counts for `QUIET` in each
/// `ROUND`, so that it hears whether another entry probes too.
const ROUND: Duration = Duration::from_secs(30);
const QUIET: Duration = Duration::from_secs(5);

/// Places in the ranking that stand by to take over.
const OBSERVERS: usize = 3;

/// The running driver of one fabric domain. Ends when dropped.
pub(super) struct Driver {
    events: mpsc::Sender<Event>,
    /// Ends the driver's task when dropped.
    _task: JoinSet<()>,
}

impl Driver {
    pub(super) fn start(control: Arc<Control>, fabric: Name) -> Driver {
        let (events, receiver) = mpsc::channel(EVENTS);
        let mut task = JoinSet::new();
        task.spawn(Loop::new(control, fabric, events.clone()).run(receiver));
        Driver { events, _task: task }
    }

    /// Passes an event on. A full queue sheds it; the next round repeats it.
    pub(super) fn tell(&self, event: Event) {
        drop(self.events.try_send(event));
    }
}

struct Loop {
    control: Arc<Control>,
    fabric: Name,
    owner: Owner,
    events: mpsc::Sender<Event>,
    calls: JoinSet<()>,
    place: Place,
    read: Time,
    held: bool,
    /// When this driver began.
    began: Time,
    /// When it began to stand in for silent probers.
    stands_in: Option<Time>,
}

/// This entry's place among the entries of one roster.
#[derive(Clone, Debug, Default)]
struct Place {
    /// The roster's generation.
    generation: Generation,
    /// The entries that were silent for long.
    silent: Arc<BTreeSet<Name>>,
    /// How long it waits for evidence from others before it probes by itself.
    patience: Duration,
    /// Its place in the ranking, from 0.
    rank: usize,
    /// Whether it is one of the probers.
    prober: bool,
}

impl Loop {
    fn new(control: Arc<Control>, fabric: Name, events: mpsc::Sender<Event>) -> Loop {
        let node = &control.node;
        let me = Holder { entry: node.settings.name.clone(), incarnation: node.incarnation };
        let timing = &node.settings.timing;
        let mut settings = owner::Settings::default();
        settings.probe.interval = Duration::from_millis(timing.probe_ms);
        settings.lease.duration = Duration::from_millis(timing.lease_ms);
        settings.lease.renew = settings.lease.duration * 3 / 10;
        settings.lease.margin = settings.lease.duration / 10;
        let owner = Owner::new(fabric.clone(), me, settings);
        let (read, began) = (Time::ZERO, control.node.now());
        let (calls, place) = (JoinSet::new(), Place::default());
        Loop {
            control,
            fabric,
            owner,
            events,
            calls,
            place,
            read,
            held: false,
            began,
            stands_in: None,
        }
    }

    async fn run(mut self, mut events: mpsc::Receiver<Event>) {
        // A queue without events ticks; a closed one ends the driver.
        while let Some(event) =
            time::timeout(TICK, events.recv()).await.unwrap_or(Some(Event::Tick))
        {
            let now = self.control.node.now();
            let mut actions = self.place(now);
            actions.extend(self.owner.step(now, event));
            if self.reads(now) {
                self.read = now + READ;
                actions.push(Action::Read);
            }
            for action in actions {
                let call = Call {
                    control: self.control.clone(),
                    fabric: self.fabric.clone(),
                    events: self.events.clone(),
                };
                self.calls.spawn(call.carry_out(action));
            }
            while self.calls.try_join_next().is_some() {}
            self.judge(now);
        }
    }

    /// Tells the machine its place in the ranking and whether it probes.
    fn place(&mut self, now: Time) -> Vec<Action> {
        self.rank();
        let mut actions = self.owner.step(now, Event::Rank(self.place.rank));
        let patience = self.place.patience;
        let told = now < self.began + patience || self.control.is_told(now, &self.fabric, patience);
        let stands_in = !self.place.prober && !told;
        self.stands_in = stands_in.then(|| self.stands_in.unwrap_or(now));
        let prober = self.place.prober || stands_in;
        actions.extend(self.owner.step(now, Event::Prober(prober)));
        if self.control.node.leaving.is_cancelled() {
            actions.extend(self.owner.step(now, Event::Stop));
        }
        let whole = self.control.whole(now, &self.fabric);
        actions.extend(self.owner.step(now, Event::Whole(whole)));
        actions
    }

    /// Ranks the entries again if the roster has changed. Entries that were silent for long don't
    /// count as probers.
    fn rank(&mut self) {
        let configuration = self.control.node.configuration.load();
        let head = &configuration.head;
        let silent = self.control.silent.load_full();
        if self.place.generation == head.roster_generation
            && Arc::ptr_eq(&self.place.silent, &silent)
        {
            return;
        }
        let (name, key) = (&self.control.node.settings.name, self.fabric.as_str());
        let rank = election::rank(&head.roster, key, name);
        let mut heard = head.roster.clone();
        heard.retain(|it, _| it == name || !silent.contains(it));
        self.place = Place {
            generation: head.roster_generation,
            patience: standby::patience(head.roster.len(), rank),
            rank,
            prober: election::spread(&heard, key, PROBERS).contains(&name),
            silent,
        };
    }

    /// Whether others are to hear of this entry's counts now.
    fn counts(&self, now: Time) -> bool {
        let part = |since: Time| now.since(since).as_millis() % ROUND.as_millis();
        let quiet = |since: Time| part(since) >= (ROUND - QUIET).as_millis();
        self.owner.probes(now) && !self.stands_in.is_some_and(quiet)
    }

    /// Whether the object is due to be read: by those who stand by, by probers, and by those who
    /// have heard of a newer layout.
    fn reads(&self, now: Time) -> bool {
        if now < self.read || self.owner.held(now).is_some() {
            return false;
        }
        self.place.rank < OBSERVERS
            || self.place.prober
            || self.stands_in.is_some()
            || self.control.is_behind(now, &self.fabric)
    }

    fn judge(&mut self, now: Time) {
        let held = self.owner.held(now);
        let mut evidence = self.control.evidence();
        if let (Some(object), Some(confirmed)) = (self.owner.object(), self.owner.confirmed(now)) {
            evidence.learn(now, confirmed, &self.fabric, &object.fabric);
        }
        evidence.judge(now, &self.fabric, self.owner.reports());
        if self.counts(now) {
            evidence.count(now, &self.fabric, self.owner.alive(now));
        }
        drop(evidence);
        self.control.note(&self.fabric, held.is_some(), self.owner.probes(now));
        if self.held != held.is_some() {
            self.held = held.is_some();
            let verb = if self.held { "holds" } else { "no longer holds" };
            log::info!("{verb} the lease of fabric domain {}", self.fabric);
        }
    }
}

/// One call that the machine asked for.
struct Call {
    control: Arc<Control>,
    fabric: Name,
    events: mpsc::Sender<Event>,
}

impl Call {
    async fn carry_out(self, action: Action) {
        let event = match action {
            Action::Read => Some(self.read().await),
            Action::Put(object) => Some(self.put(object).await),
            Action::Send(dispatch) => self.send(dispatch).await,
            Action::Probe(probe) => Some(self.probe(probe).await),
        };
        if let Some(event) = event {
            // A closed queue means that the driver has ended.
            drop(self.events.send(event).await);
        }
    }

    async fn read(&self) -> Event {
        let Some(found) = self.control.objects.read(&self.fabric).await else {
            return Event::ReadFailed;
        };
        let (sent, object) = (found.sent, found.object);
        self.control.reach(sent);
        let mut evidence = self.control.evidence();
        evidence.learn(self.control.node.now(), sent, &self.fabric, &object.fabric);
        drop(evidence);
        Event::Read(object)
    }

    async fn put(&self, object: Object) -> Event {
        let version = Version(object.version);
        let sent = self.control.node.now();
        let store = &self.control.node.store;
        let put = store.put(Kind::Fabric, self.fabric.as_str(), version, &object.fabric).await;
        if matches!(put, Ok(_) | Err(Error::Conflict { .. })) {
            self.control.reach(sent);
        }
        let (outcome, event) = match put {
            Ok(version) => ("written", Event::Written(version.0)),
            Err(Error::Conflict { .. }) => ("conflict", Event::Conflict),
            Err(Error::Unknown { .. }) => ("unknown", Event::Unknown),
            // Nothing was written. The machine reads the object again before it goes on.
            Err(_) => ("failed", Event::Conflict),
        };
        self.control.meter.write(outcome);
        event
    }

    async fn send(&self, dispatch: Dispatch) -> Option<Event> {
        if !dispatch.may_leave(self.control.node.now()) {
            self.control.meter.order("expired");
            return None;
        }
        let sent = self.control.orders.send(dispatch.address, &dispatch.order).await;
        let (outcome, event) = match sent {
            Ok(()) => ("accepted", None),
            Err(order::Error::Stale(epoch)) => ("stale", Some(Event::Stale(epoch))),
            Err(_) => ("failed", None),
        };
        self.control.meter.order(outcome);
        event
    }

    /// Tells the router how many requests a replica has in progress.
    fn show_load(&self, taken: Time, report: &Report) {
        if let (Some(replica), 0) = (&report.replica, report.rank) {
            let load = track::Report { running: report.running, taken };
            let routing = &self.control.node.routing;
            routing.with(|now, router| router.report_replica(now, replica, load));
        }
    }

    async fn probe(&self, probe: Probe) -> Event {
        let Ok(_permit) = self.control.probes.acquire().await else {
            return Event::Silent(probe.instance);
        };
        let sent = self.control.node.now();
        match self.control.reports.get(probe.address).await {
            Ok(report) => {
                self.control.meter.probe("answered");
                self.show_load(sent, &report);
                Event::Report(probe.instance, sent, Box::new(report))
            }
            Err(_) => {
                self.control.meter.probe("failed");
                Event::Silent(probe.instance)
            }
        }
    }
}
