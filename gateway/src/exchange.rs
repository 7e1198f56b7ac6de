//! Exchanges with targets up to the head of the response, and what the head says of the request.

use std::sync::Arc;

use decision::gateway::balance::Completion;
use http::response;

use crate::error::Call;
use crate::journal::Event;
use crate::pool::{Connection, Reply};
use crate::port::{Answer, Malformed, Outgoing, Platform, Run};
use crate::reason::Reason;
use crate::request::{Job, millis, remove_hop_by_hop};
use crate::slot::Slot;
use crate::state::Shared;

/// What an exchange needs of its request, which may begin another one meanwhile.
pub(crate) struct Exchange<P> {
    pub(crate) shared: Arc<Shared<P>>,
    request: Arc<str>,
    connection: Connection,
}

/// Response of a target to the request, which the target may have run.
pub(crate) struct Response {
    /// Its head, without the headers of its connection.
    pub(crate) head: response::Parts,
    /// Its body, of which nothing was read.
    pub(crate) body: Reply,
    /// What the head says.
    pub(crate) answer: Answer,
}

/// Why there is no such response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The target did not run the request.
    NotRun(Reason),
    /// The target may have run the request.
    Unknown(Reason),
}

impl Failure {
    /// Returns how the attempt ended for the target.
    pub(crate) fn completion(self) -> Completion {
        match self {
            Failure::NotRun(Reason::Refused) => Completion::Refused,
            Failure::NotRun(Reason::CannotConnect) => Completion::Unreached,
            Failure::NotRun(_) | Failure::Unknown(_) => Completion::Failed,
        }
    }
}

impl From<Call> for Failure {
    fn from(error: Call) -> Failure {
        match error {
            Call::Connect(_) => Failure::NotRun(Reason::CannotConnect),
            Call::Unsent => Failure::NotRun(Reason::ConnectionClosed),
            Call::Large => Failure::Unknown(Reason::LargeHead),
            Call::Malformed(_) => Failure::Unknown(Reason::MalformedHead),
            Call::Broken(_) | Call::Timeout | Call::Slow => {
                Failure::Unknown(Reason::ConnectionBroke)
            }
        }
    }
}

impl<P: Platform> Exchange<P> {
    /// Returns an exchange for an attempt of `job`.
    pub(crate) fn new(job: &Job<P>) -> Exchange<P> {
        let is_idempotent = job.route.is_idempotent();
        Exchange {
            shared: job.shared.clone(),
            request: job.head.id.clone(),
            connection: if is_idempotent { Connection::Reused } else { Connection::New },
        }
    }

    /// Sends `request` to the target of `slot` and reads the head of the response.
    ///
    /// # Errors
    ///
    /// If nothing was sent, the response is not that to the request, or it says that the request did
    /// not run.
    pub(crate) async fn send(
        &self,
        slot: &Slot<P>,
        request: Outgoing,
    ) -> Result<Response, Failure> {
        let Exchange { shared, connection, .. } = self;
        let response = shared.targets.send(slot.target.address, request, *connection).await?;
        let (mut head, body) = response.into_parts();
        let answer = read_head(&shared.platform, &mut head)
            .ok_or(Failure::Unknown(Reason::MalformedHead))?;
        self.apply_target_state(slot, &answer);
        if answer.id.as_ref().is_some_and(|it| *it != self.request) {
            return Err(Failure::Unknown(Reason::OtherRequest));
        }
        if answer.id.is_none() && needs_id(answer.run, *connection) {
            return Err(Failure::Unknown(Reason::NoRequest));
        }
        match answer.run {
            Run::Refused => Err(Failure::NotRun(Reason::Refused)),
            Run::Misdirected => Err(Failure::NotRun(Reason::OtherInstance)),
            Run::Possible if answer.encoded => Err(Failure::Unknown(Reason::Encoded)),
            Run::Possible => Ok(Response { head, body, answer }),
        }
    }

    /// Applies what the target reports about itself in its response: that it is leaving, or that it
    /// accepts no requests for some time. Logs reports that are malformed.
    fn apply_target_state(&self, slot: &Slot<P>, answer: &Answer) {
        let shared = &self.shared;
        let target = &*slot.target.id;
        for malformed in [answer.is_leaving.as_ref().err(), answer.pause.as_ref().err()] {
            let Some(Malformed { what, reason }) = malformed else { continue };
            shared.journal.note(&Event::Unheeded { target, what, reason });
        }
        if answer.is_leaving == Ok(true) {
            shared.mark_leaving(target, slot.target.incarnation.0);
        }
        if let Ok(Some(rest)) = answer.pause {
            let until = shared.now() + rest;
            shared.balance().pause(slot.key, until);
            shared.journal.note(&Event::Resting { target, rest_ms: millis(rest) });
        }
    }
}

/// Reads the head of a response and removes the headers of its connection. Returns `None` if the head
/// lists headers there that say what the response is, as its caller would not get these.
fn read_head<P: Platform>(platform: &P, head: &mut response::Parts) -> Option<Answer> {
    let answer = platform.answer(head);
    let listed = remove_hop_by_hop(&mut head.headers);
    (listed == 0 || platform.answer(head) == answer).then_some(answer)
}

/// Returns whether a response must name its request. On a reused connection it may belong to an
/// earlier one, also if it says that the request did not run.
fn needs_id(run: Run, connection: Connection) -> bool {
    run == Run::Possible || connection == Connection::Reused
}
