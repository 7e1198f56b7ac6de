//! Changes of replicas and their causes, for the log.

use std::sync::Arc;

/// A change of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Name of the replica.
    pub group: Arc<str>,
    /// Its epoch.
    pub epoch: u64,
    /// The model that it serves.
    pub model: Arc<str>,
    /// The step of its lifecycle that it took.
    pub step: Step,
}

/// A step in the lifecycle of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Taken over from an earlier owner, since the reports of its members agree.
    Adopted,
    /// Its members are ordered to join.
    Formed,
    /// All members are ready.
    Complete,
    /// Its end has begun.
    Ending(Cause),
    /// Its lost members came back before it ended.
    Resumed,
    /// It has ended, and its members can be used for other replicas.
    Ended(Cause),
}

/// The cause of the end of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cause {
    /// The instance that caused it, if a single one did.
    pub instance: Option<Arc<str>>,
    /// What happened.
    pub reason: Reason,
}

/// The reason why a replica ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The head is no longer listed, so that no requests may be sent to it, or a member is no
    /// longer known.
    NotListed,
    /// An instance does not answer.
    Unreachable,
    /// An instance has restarted: another process uses its identifier.
    Restarted,
    /// An instance is draining.
    Draining,
    /// An instance reports that it is not a member.
    NotMember,
    /// The head reports that it has lost a member.
    Broken,
    /// The state of an instance that is to join differs from the plan.
    Mismatch,
    /// The replica took too long to form.
    FormationTimeout,
    /// Its instances are needed to complete a replica of a model that has too few.
    Rebalanced,
    /// The demand of the callers moves its instances to another model.
    Reallocated,
    /// The head has left.
    HeadLeft,
    /// The head has been unlisted for so long that it is no longer known.
    HeadExpired,
    /// Its members joined on the orders of an earlier owner, which didn't open it. This owner may
    /// not open it either.
    Inherited,
    /// Its model is not configured.
    UnknownModel,
}

impl Step {
    /// Returns the name that the log shows.
    pub fn name(&self) -> &'static str {
        match self {
            Step::Adopted => "adopted",
            Step::Formed => "formed",
            Step::Complete => "whole",
            Step::Ending(_) => "ending",
            Step::Resumed => "resumed",
            Step::Ended(_) => "over",
        }
    }

    /// Returns the cause of an end.
    pub fn cause(&self) -> Option<&Cause> {
        match self {
            Step::Ending(cause) | Step::Ended(cause) => Some(cause),
            Step::Adopted | Step::Formed | Step::Complete | Step::Resumed => None,
        }
    }
}

impl Cause {
    /// Creates a cause that concerns one instance.
    pub(super) fn of(instance: &Arc<str>, reason: Reason) -> Cause {
        Cause { instance: Some(instance.clone()), reason }
    }
}

impl From<Reason> for Cause {
    fn from(reason: Reason) -> Cause {
        Cause { instance: None, reason }
    }
}

impl Reason {
    /// Returns the text that the log shows.
    pub fn name(self) -> &'static str {
        match self {
            Reason::NotListed => "not listed",
            Reason::Unreachable => "unreachable",
            Reason::Restarted => "restarted",
            Reason::Draining => "leaves",
            Reason::NotMember => "no member",
            Reason::Broken => "broken",
            Reason::Mismatch => "not what it was taken for",
            Reason::FormationTimeout => "not formed in time",
            Reason::Rebalanced => "gives way to another model",
            Reason::Reallocated => "callers want another model",
            Reason::HeadLeft => "the head has left",
            Reason::HeadExpired => "the head is forgotten",
            Reason::Inherited => "joined for an earlier owner",
            Reason::UnknownModel => "no such model",
        }
    }
}
