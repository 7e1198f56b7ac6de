//! Events in the bodies of the targets that send one stream (`text/event-stream`).

use bytes::Bytes;
use decision::gateway::continuation::{Continuation, Event, Head, Verdict};

use crate::memory::Limiter;
use crate::reason::Reason;
use crate::splitter::Splitter;

/// Reads the events of one stream, of which several targets may send parts.
#[derive(Debug)]
pub(crate) struct Reader {
    splitter: Splitter,
    /// Decides what continues the stream.
    pub(crate) continuation: Continuation,
}

impl Reader {
    /// Returns a reader of a stream that has not begun, whose long events `limiter` bounds.
    pub(crate) fn new(limiter: Limiter) -> Reader {
        Reader { splitter: Splitter::new(limiter), continuation: Continuation::default() }
    }

    /// Begins the response of another target. What is left of the last one is dropped.
    pub(crate) fn begin(&mut self, head: Head) {
        self.splitter.clear();
        self.continuation.begin(head);
    }

    /// Reads `data`, and returns the events that the caller gets. Also returns why the event after
    /// them is not one of the stream, if it isn't.
    pub(crate) fn push(&mut self, data: &[u8]) -> (Bytes, Result<(), Reason>) {
        match self.splitter.push(data) {
            Ok(Some(events)) => self.select(&events),
            Ok(None) => (Bytes::new(), Ok(())),
            Err(_) => (Bytes::new(), Err(Reason::LargeEvent)),
        }
    }

    /// Ends a response whose body has ended, and returns what the caller gets of the incomplete
    /// event at its end: that is part of the body only if its framing shows that nothing is missing.
    ///
    /// # Errors
    ///
    /// Returns why the stream is not complete.
    pub(crate) fn end(&mut self) -> Result<Bytes, Reason> {
        self.check_framing()?;
        let rest = Bytes::copy_from_slice(self.splitter.incomplete());
        let (rest, result) = self.select(&rest);
        result?;
        self.continuation.end().map_err(Reason::Rejected)?;
        Ok(rest)
    }

    /// Returns whether the stream would be complete if the body ended now.
    pub(crate) fn may_end(&self) -> bool {
        let has_rest = !self.splitter.incomplete().is_empty();
        self.check_framing().is_ok() && (has_rest || self.continuation.end().is_ok())
    }

    fn check_framing(&self) -> Result<(), Reason> {
        match self.splitter.incomplete().is_empty() || self.continuation.is_framed() {
            true => Ok(()),
            false => Err(Reason::StreamBrokeOff),
        }
    }

    fn select(&mut self, bytes: &Bytes) -> (Bytes, Result<(), Reason>) {
        let (mut start, mut end, mut from) = (0, 0, 0);
        while from < bytes.len() {
            let next = end_of_event(bytes, from);
            match self.continuation.check(&parse(&bytes[from..next])) {
                Ok(Verdict::Forward) => end = next,
                // Only events before the first that is forwarded are skipped.
                Ok(Verdict::Skip) => (start, end) = (next, next),
                Err(rejection) => {
                    return (bytes.slice(start..end), Err(Reason::Rejected(rejection)));
                }
            }
            from = next;
        }
        (bytes.slice(start..end), Ok(()))
    }
}

/// Returns the end of the event that begins at `from`.
fn end_of_event(bytes: &[u8], from: usize) -> usize {
    let blank = bytes[from..].windows(2).position(|it| it == b"\n\n");
    blank.map_or(bytes.len(), |it| from + it + 2)
}

/// Reads the fields of one event.
fn parse(bytes: &[u8]) -> Event<'_> {
    let mut event = Event::default();
    for line in bytes.split(|it| *it == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let colon = line.iter().position(|it| *it == b':');
        let (name, value) = colon.map_or((line, &[][..]), |it| (&line[..it], &line[it + 1..]));
        match name {
            b"id" => event.id = std::str::from_utf8(value).ok().map(str::trim),
            b"data" => event.has_data = true,
            _ => event.is_malformed |= !is_field_name(name),
        }
    }
    event
}

/// Returns whether `name` may name a field. A comment has an empty name.
fn is_field_name(name: &[u8]) -> bool {
    name.iter().all(|it| it.is_ascii_alphanumeric() || matches!(it, b'-' | b'_'))
}
