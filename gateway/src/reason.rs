//! Why an attempt at a target failed.

use decision::gateway::continuation::Rejection;

/// Reason why an attempt at a target ended without a whole response for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reason {
    /// No connection was made.
    CannotConnect,
    /// The connection closed before the request was sent.
    ConnectionClosed,
    /// The connection broke after the request was sent.
    ConnectionBroke,
    /// No response arrived in time.
    NoResponse,
    /// The target refused the request.
    Refused,
    /// Another instance has the target's address.
    OtherInstance,
    /// The response belongs to another request.
    OtherRequest,
    /// The response names no request.
    NoRequest,
    /// The response has a content encoding.
    Encoded,
    /// The head of the response exceeds its size limit.
    LargeHead,
    /// The head of the response breaks the protocol.
    MalformedHead,
    /// The body of the response ended early.
    ResponseBrokeOff,
    /// The stream ended early.
    StreamBrokeOff,
    /// An event of the stream exceeds its size limit.
    LargeEvent,
    /// The response is not one of the stream, or doesn't continue it.
    Rejected(Rejection),
    /// The target was silent for too long.
    Silent,
    /// The deadline of the request passed.
    DeadlinePassed,
    /// The caller disconnected.
    CallerLeft,
    /// This entry's process ends.
    EntryEnds,
}

impl Reason {
    /// Returns whether nothing of the request was sent.
    pub(crate) fn is_unsent(self) -> bool {
        matches!(self, Reason::CannotConnect | Reason::ConnectionClosed)
    }

    /// Returns whether the target broke the attempt off, as one that crashes does.
    pub(crate) fn is_broken(self) -> bool {
        matches!(self, Reason::ConnectionBroke | Reason::ResponseBrokeOff | Reason::StreamBrokeOff)
    }

    /// Returns the name of the reason in the log.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Reason::CannotConnect => "cannot connect",
            Reason::ConnectionClosed => "connection closed",
            Reason::ConnectionBroke => "connection broke",
            Reason::NoResponse => "no answer in time",
            Reason::Refused => "target refused",
            Reason::OtherInstance => "another instance",
            Reason::OtherRequest => "answer to another request",
            Reason::NoRequest => "answer to no request",
            Reason::Encoded => "answer is encoded",
            Reason::LargeHead => "head too long",
            Reason::MalformedHead => "malformed head",
            Reason::ResponseBrokeOff => "answer broke off",
            Reason::StreamBrokeOff => "stream broke off",
            Reason::LargeEvent => "event too long",
            Reason::Rejected(rejection) => rejection.name(),
            Reason::Silent => "silent",
            Reason::DeadlinePassed => "deadline",
            Reason::CallerLeft => "caller left",
            Reason::EntryEnds => "the entry ends",
        }
    }
}
