//! Drives the router: hands requests to it and its decisions to the requests' tasks.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use decision::clock::Time;
use decision::freshness::{Permit, Stale};
use decision::name::Name;
use decision::refusal::Refusal;
use decision::request::{Admission, Decision, Dispatch, Event, Failure, Forward, Request, Ticket};
use decision::router::Router;
use decision::target::Target;
use tokio::sync::{Notify, oneshot};
use tokio::time;

use crate::membership::Membership;
use crate::uptime::Uptime;

/// The router and the requests that wait for it.
pub struct Routing {
    uptime: Uptime,
    membership: Arc<Membership>,
    state: Mutex<State>,
    changed: Notify,
}

struct State {
    router: Router,
    waiting: HashMap<Ticket, oneshot::Sender<Result<Route, Refusal>>>,
}

/// Where a request goes next.
#[derive(Debug)]
pub enum Route {
    /// To a target.
    Target {
        /// The target.
        target: Arc<Target>,
        /// Attempts made before this one.
        attempt: u32,
        /// The right to begin, granted together with the decision.
        permit: Result<Permit, Stale>,
    },
    /// To a peer.
    Peer(Forward),
}

/// A request that the router holds. Dropping it without a result abandons the request.
pub struct Held {
    ticket: Ticket,
    routing: Arc<Routing>,
}

impl Routing {
    /// Puts `router` in charge of this entry's requests.
    ///
    /// Each decision to send comes with a permit of `membership`. A configuration reaches the
    /// router before it counts as held, so that a permit is never newer than its decision.
    pub fn new(router: Router, uptime: Uptime, membership: Arc<Membership>) -> Arc<Routing> {
        let state = Mutex::new(State { router, waiting: HashMap::new() });
        Arc::new(Routing { uptime, membership, state, changed: Notify::new() })
    }

    /// Waits until the request may leave.
    ///
    /// # Errors
    ///
    /// Returns the refusal that the caller gets at once.
    pub async fn admit(self: &Arc<Self>, request: Request) -> Result<(Held, Route), Refusal> {
        let service = request.service.clone();
        let (ticket, waiting) = {
            let mut state = self.lock();
            match state.router.admit(self.uptime.now(), request) {
                Admission::Refused(refusal) => return Err(refusal),
                Admission::Dispatch(dispatch) => {
                    let ticket = dispatch.ticket;
                    return Ok((self.held(ticket), self.route(dispatch)));
                }
                Admission::Forward(forward) => {
                    return Ok((self.held(forward.ticket), Route::Peer(forward)));
                }
                Admission::Queued(ticket) => (ticket, state.wait(ticket)),
            }
        };
        let held = self.held(ticket);
        self.changed.notify_one();
        let route = waiting.await.unwrap_or(Err(Refusal::Uncertain(service)))?;
        Ok((held, route))
    }

    /// Changes or asks the router, then hands out what follows from it.
    pub fn with<T>(&self, change: impl FnOnce(Time, &mut Router) -> T) -> T {
        let mut state = self.lock();
        let now = self.uptime.now();
        let result = change(now, &mut state.router);
        self.hand_out(&mut state, now);
        drop(state);
        self.changed.notify_one();
        result
    }

    /// Hands out what becomes due, for ever.
    pub async fn run(&self) {
        loop {
            let wake = {
                let mut state = self.lock();
                self.hand_out(&mut state, self.uptime.now());
                state.router.wake()
            };
            let wake = self.uptime.instant(wake);
            tokio::select! {
                () = time::sleep_until(wake) => {}
                () = self.changed.notified() => {}
            }
        }
    }

    fn hand_out(&self, state: &mut State, now: Time) {
        for event in state.router.next(now) {
            let (ticket, route) = match event {
                Event::Dispatch(dispatch) => (dispatch.ticket, Ok(self.route(dispatch))),
                Event::Forward(forward) => (forward.ticket, Ok(Route::Peer(forward))),
                Event::Refused(ticket, refusal) => (ticket, Err(refusal)),
            };
            let waiting = state.waiting.remove(&ticket);
            let taken = waiting.is_some_and(|waiting| waiting.send(route).is_ok());
            if !taken {
                state.router.abandon(now, ticket);
            }
        }
    }

    /// Must be called under the lock under which the router decided.
    fn route(&self, dispatch: Dispatch) -> Route {
        let permit = self.membership.permit(self.uptime.now());
        Route::Target { target: dispatch.target, attempt: dispatch.attempt, permit }
    }

    fn held(self: &Arc<Self>, ticket: Ticket) -> Held {
        Held { ticket, routing: self.clone() }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn wait(&mut self, ticket: Ticket) -> oneshot::Receiver<Result<Route, Refusal>> {
        let (sender, receiver) = oneshot::channel();
        self.waiting.insert(ticket, sender);
        receiver
    }
}

impl Held {
    /// Notes that the first token came.
    pub fn first_token(&self) {
        self.routing.with(|now, router| router.first_token(now, self.ticket));
    }

    /// The request's ticket at the router.
    pub const fn ticket(&self) -> Ticket {
        self.ticket
    }

    /// Notes that the whole answer came.
    pub fn finished(self) {
        self.routing.with(|now, router| router.finished(now, self.ticket));
    }

    /// Waits for another attempt after one has failed.
    ///
    /// # Errors
    ///
    /// Returns the refusal that the caller gets at once.
    pub async fn retry(&self, service: &Name, failure: Failure) -> Result<Route, Refusal> {
        let waiting = {
            let mut state = self.routing.lock();
            match state.router.failed(self.routing.uptime.now(), self.ticket, failure) {
                Decision::Refused(refusal) => return Err(refusal),
                Decision::Retry => state.wait(self.ticket),
            }
        };
        self.routing.changed.notify_one();
        waiting.await.unwrap_or_else(|_| Err(Refusal::Uncertain(service.clone())))
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.routing.with(|now, router| router.abandon(now, self.ticket));
        self.routing.lock().waiting.remove(&self.ticket);
    }
}
