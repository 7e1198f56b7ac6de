//! Decides whether the response of another target continues a stream that broke off.
//!
//! The caller sees one response: each event once, in order, and its end only if the last target's
//! stream is complete. What doesn't continue the stream is rejected before any byte of it is
//! forwarded.

use std::sync::Arc;

/// What the head of a response shows about its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// Status code.
    pub status: u16,
    /// Whether the body is declared to be a stream of events.
    pub is_event_stream: bool,
    /// Whether the response carries the stamp of a replica.
    pub has_stamp: bool,
    /// Whether a complete body can be told from a truncated one.
    pub is_framed: bool,
}

/// One event of a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Event<'a> {
    /// Its identifier, if it has one.
    pub id: Option<&'a str>,
    /// Whether it carries data.
    pub has_data: bool,
    /// Whether a line of it is not a field or a comment.
    pub is_malformed: bool,
}

/// What to do with an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Forward it to the caller.
    Forward,
    /// Drop it, as the caller has it already or it carries nothing.
    Skip,
}

/// Why a response doesn't continue the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// Its status is not that of the first response.
    Status,
    /// It is a success without the stamp of a replica.
    NoStamp,
    /// It is not declared to be a stream of events.
    NotEvents,
    /// A part of its body is not an event.
    Malformed,
    /// An event has no identifier, so that its place is not known.
    NoId,
    /// Its first event is one that precedes the last event of the caller.
    StartsAgain,
    /// Events are missing between the last one of the caller and its first one.
    EventsMissing,
    /// Its identifiers don't increase.
    OutOfOrder,
    /// It ends without an event, so that nothing shows that it is the stream.
    NoEvent,
}

/// How far the response of the current target is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The caller had no event when the response began.
    Initial,
    /// It has not reached the first event that the caller lacks.
    Joining {
        /// Whether it has repeated the last event of the caller.
        has_repeated: bool,
    },
    /// It continues the stream.
    Joined,
}

/// By how much the identifiers of the caller's events differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Steps {
    /// The caller has one event at most.
    Unknown,
    /// All are numbers that differ by one.
    One,
    /// Some differ by more, or are no numbers.
    Any,
}

/// State of one stream over all targets that send parts of it.
#[derive(Clone, Debug)]
pub struct Continuation {
    first: Option<Head>,
    current: Option<Head>,
    /// Whether the current response follows a broken one.
    is_resumed: bool,
    stage: Stage,
    /// Whether the current response had an event.
    has_event: bool,
    last_id: Option<Arc<str>>,
    /// Whether the caller has a part of the stream.
    has_begun: bool,
    /// Whether each event of the caller has an identifier above those before it.
    is_increasing: bool,
    steps: Steps,
    is_well_formed: bool,
}

impl Default for Continuation {
    fn default() -> Continuation {
        Continuation {
            first: None,
            current: None,
            is_resumed: false,
            stage: Stage::Initial,
            has_event: false,
            last_id: None,
            has_begun: false,
            is_increasing: true,
            steps: Steps::Unknown,
            is_well_formed: true,
        }
    }
}

impl Rejection {
    /// Returns the name of the reason in the log.
    pub fn name(self) -> &'static str {
        match self {
            Rejection::Status => "other status",
            Rejection::NoStamp => "no stamp of a replica",
            Rejection::NotEvents => "not an event stream",
            Rejection::Malformed => "not an event",
            Rejection::NoId => "event without id",
            Rejection::StartsAgain => "stream starts again",
            Rejection::EventsMissing => "events are missing",
            Rejection::OutOfOrder => "ids do not increase",
            Rejection::NoEvent => "stream without event",
        }
    }
}

impl Head {
    fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

impl Event<'_> {
    /// Returns whether it tells a caller nothing.
    fn is_empty(&self) -> bool {
        self.id.is_none() && !self.has_data && !self.is_malformed
    }
}

impl Continuation {
    /// Checks whether a response with `head` may be forwarded. The first response may have any
    /// status but success without a stamp.
    ///
    /// # Errors
    ///
    /// Returns why it may not.
    pub fn check_head(&self, head: &Head) -> Result<(), Rejection> {
        match self.first {
            None if !head.is_success() => Ok(()),
            Some(first) if first.status != head.status => Err(Rejection::Status),
            _ if !head.has_stamp => Err(Rejection::NoStamp),
            Some(first) if first.is_event_stream && !head.is_event_stream => {
                Err(Rejection::NotEvents)
            }
            _ => Ok(()),
        }
    }

    /// Begins a response that [`Continuation::check_head`] accepted.
    pub fn begin(&mut self, head: Head) {
        self.is_resumed = self.first.is_some();
        self.first.get_or_insert(head);
        self.current = Some(head);
        self.has_event = false;
        self.stage = match self.has_begun {
            true => Stage::Joining { has_repeated: false },
            false => Stage::Initial,
        };
    }

    /// Returns the event after which another target must continue; `None` if the caller has no
    /// event yet.
    ///
    /// # Errors
    ///
    /// Fails if the caller has events whose identifiers don't tell where to continue.
    pub fn resume_point(&self) -> Result<Option<Arc<str>>, Rejection> {
        match (self.has_begun, &self.last_id) {
            (false, _) => Ok(None),
            (true, Some(id)) if self.is_increasing => Ok(Some(id.clone())),
            (true, Some(_)) => Err(Rejection::OutOfOrder),
            (true, None) => Err(Rejection::NoId),
        }
    }

    /// Returns the identifier of the last event that the caller has.
    pub fn last_id(&self) -> Option<&Arc<str>> {
        self.last_id.as_ref()
    }

    /// Decides what to do with the next event of the current response.
    ///
    /// # Errors
    ///
    /// Returns why the event can't be part of the stream.
    pub fn check(&mut self, event: &Event<'_>) -> Result<Verdict, Rejection> {
        if event.is_malformed && self.is_well_formed && !self.accepts_malformed(event) {
            return Err(Rejection::Malformed);
        }
        match self.stage {
            Stage::Joining { .. } if event.is_empty() => return Ok(Verdict::Skip),
            Stage::Joining { has_repeated } => {
                let id = event.id.ok_or(Rejection::NoId)?;
                if self.check_first(id, has_repeated)? == Verdict::Skip {
                    self.has_event = true;
                    self.stage = Stage::Joining { has_repeated: true };
                    return Ok(Verdict::Skip);
                }
                self.stage = Stage::Joined;
            }
            Stage::Joined if !event.is_empty() => {
                let id = event.id.ok_or(Rejection::NoId)?;
                if !self.is_above_last(id) {
                    return Err(Rejection::OutOfOrder);
                }
            }
            Stage::Joined | Stage::Initial => {}
        }
        self.record(event);
        Ok(Verdict::Forward)
    }

    /// Checks that the current response, whose body has ended, is the end of the stream.
    ///
    /// # Errors
    ///
    /// Fails if the response has no event, and is to have some or may be truncated.
    pub fn end(&self) -> Result<(), Rejection> {
        let needs_event = match self.is_resumed {
            true => self.has_begun || self.is_event_stream() || !self.is_framed(),
            false => !self.is_framed(),
        };
        if needs_event && !self.has_event { Err(Rejection::NoEvent) } else { Ok(()) }
    }

    /// Returns whether a complete body of the current response can be told from a truncated one.
    pub fn is_framed(&self) -> bool {
        self.current.is_some_and(|it| it.is_framed)
    }

    /// Returns whether the first response is declared to be a stream of events.
    fn is_event_stream(&self) -> bool {
        self.first.is_some_and(|it| it.is_event_stream)
    }

    /// Returns whether an event with lines that are neither fields nor comments may be the first of
    /// this kind in the stream. If the first target's framing says so, it belongs to its body.
    fn accepts_malformed(&self, event: &Event<'_>) -> bool {
        match (self.has_begun, self.is_resumed) {
            (true, true) => false,
            (true, false) => self.is_framed(),
            (false, true) => event.id.is_some() || event.has_data || !self.is_event_stream(),
            (false, false) => true,
        }
    }

    /// Checks the first event of a response that continues the stream.
    fn check_first(&self, id: &str, has_repeated: bool) -> Result<Verdict, Rejection> {
        let Some(last) = self.last_id.as_deref() else { return Err(Rejection::NoId) };
        if id == last {
            return if has_repeated { Err(Rejection::OutOfOrder) } else { Ok(Verdict::Skip) };
        }
        if !self.is_above_last(id) {
            return Err(Rejection::StartsAgain);
        }
        match self.steps == Steps::One && !follows(last, id) {
            true => Err(Rejection::EventsMissing),
            false => Ok(Verdict::Forward),
        }
    }

    /// Returns whether `id` may follow the caller's last event. Identifiers that are no numbers are
    /// only compared for equality.
    fn is_above_last(&self, id: &str) -> bool {
        let Some(last) = self.last_id.as_deref() else { return true };
        match (number(last), number(id)) {
            (Some(last), Some(id)) => id > last,
            (None, None) => id != last,
            _ => false,
        }
    }

    /// Records that the caller gets `event`.
    fn record(&mut self, event: &Event<'_>) {
        if event.is_empty() {
            return;
        }
        self.has_begun = true;
        self.has_event |= event.id.is_some() || event.has_data;
        self.is_well_formed &= !event.is_malformed;
        let Some(id) = event.id else {
            self.is_increasing = false;
            return;
        };
        self.is_increasing &= self.is_above_last(id);
        if let Some(last) = self.last_id.as_deref() {
            let is_one = self.steps != Steps::Any && follows(last, id);
            self.steps = if is_one { Steps::One } else { Steps::Any };
        }
        self.last_id = Some(id.into());
    }
}

/// Returns whether `id` is the number after `last`.
fn follows(last: &str, id: &str) -> bool {
    let next = number(last).and_then(|it| it.checked_add(1));
    next.is_some() && number(id) == next
}

fn number(id: &str) -> Option<u64> {
    id.parse().ok()
}
