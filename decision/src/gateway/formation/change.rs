//! What becomes of a replica, and why, for those who read the log.

use std::sync::Arc;

/// A step in the life of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Name of the replica.
    pub group: Arc<str>,
    /// Its epoch.
    pub epoch: u64,
    /// The model that it serves.
    pub model: Arc<str>,
    /// What has become of it.
    pub step: Step,
}

/// What has become of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// An earlier owner formed it, and all that its members say fits.
    Adopted,
    /// Its members are told to join.
    Formed,
    /// All members are ready.
    Whole,
    /// It is being ended.
    Ending(Cause),
    /// What it had lost is back before its end.
    Resumed,
    /// It is over, and its members can be used.
    Over(Cause),
}

/// Why a replica ends or is over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cause {
    /// The instance that it is about, if it is about one.
    pub instance: Option<Arc<str>>,
    /// What is the matter.
    pub reason: Reason,
}

/// What is the matter with a replica or an instance of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Its entry is gone, so that no requests may be sent to it.
    NotListed,
    /// It does not answer.
    Unreachable,
    /// Another process has its name.
    Restarted,
    /// It drains.
    Draining,
    /// It says that it is no member.
    NotMember,
    /// The head says that a member is lost.
    Broken,
    /// It is not what it was taken for.
    Mismatch,
    /// It took too long to form.
    FormationTimeout,
    /// Its instances are wanted for another model.
    Rebalanced,
    /// Callers want its instances for another model.
    Reallotted,
    /// The head has left.
    HeadLeft,
    /// Nothing has been heard of the head for so long that it is forgotten.
    HeadExpired,
    /// Its members joined by the orders of an earlier owner, who did not open it.
    Inherited,
    /// No such model is configured.
    UnknownModel,
}

impl Step {
    /// Its name in the log.
    pub fn name(&self) -> &'static str {
        match self {
            Step::Adopted => "adopted",
            Step::Formed => "formed",
            Step::Whole => "whole",
            Step::Ending(_) => "ending",
            Step::Resumed => "resumed",
            Step::Over(_) => "over",
        }
    }

    /// Why it was taken, if that isn't plain.
    pub fn cause(&self) -> Option<&Cause> {
        match self {
            Step::Ending(cause) | Step::Over(cause) => Some(cause),
            Step::Adopted | Step::Formed | Step::Whole | Step::Resumed => None,
        }
    }
}

impl Cause {
    /// A cause that is about one instance.
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
    /// Its name in the log.
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
            Reason::Reallotted => "callers want another model",
            Reason::HeadLeft => "the head has left",
            Reason::HeadExpired => "the head is forgotten",
            Reason::Inherited => "joined for an earlier owner",
            Reason::UnknownModel => "no such model",
        }
    }
}
