//! How a kind of the store's objects is read next.
//!
//! A call that failed is not repeated as it was: a watch whose answer can't be taken is replaced by
//! a list, which is as small as the objects are, and that by reads of single objects. Each try has
//! more time than the one before.

use crate::prelude::*;

/// Watches without any answer in a row after which the kind is listed instead.
const MAX_UNANSWERED_WATCHES: u32 = 2;

/// Doublings of the time limit after answers that couldn't be taken.
const MAX_DOUBLINGS: u32 = 3;

/// A way to read a kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Way {
    /// The changes since the known revision.
    #[default]
    Watch,
    /// All objects, page by page.
    List,
    /// The known objects, one at a time.
    Objects,
}

/// What came of a try to read a kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The answer was taken.
    Taken,
    /// The store answered, but the answer was too large, too slow or malformed.
    Untaken,
    /// No answer came.
    Unanswered,
}

/// State of one kind's reading.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reading {
    way: Way,
    /// Answers in a row that couldn't be taken, whichever way they were asked for.
    untaken: u32,
    /// Watches in a row without an answer.
    unanswered: u32,
}

impl Reading {
    /// Returns the way of the next try.
    pub fn way(&self) -> Way {
        self.way
    }

    /// Returns the time limit of the next try, which is `first` unless answers couldn't be taken.
    pub fn time_limit(&self, first: Duration) -> Duration {
        first * (1 << self.untaken.min(MAX_DOUBLINGS))
    }

    /// Returns whether the next try comes at once: it is the first list in place of a watch.
    pub fn is_urgent(&self) -> bool {
        self.way == Way::List && self.untaken == 1
    }

    /// Decides on the next try by the outcome of the last one.
    pub fn record(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Taken if self.way == Way::Watch => *self = Reading::default(),
            // The next watch shows whether changes can be taken again.
            Outcome::Taken => self.way = Way::Watch,
            Outcome::Untaken => {
                self.untaken = self.untaken.saturating_add(1);
                self.unanswered = 0;
                self.way = self.way.next();
            }
            Outcome::Unanswered => self.record_unanswered(),
        }
    }

    fn record_unanswered(&mut self) {
        let was_watch = self.way == Way::Watch;
        self.unanswered = if was_watch { self.unanswered.saturating_add(1) } else { 0 };
        self.way = match self.unanswered >= MAX_UNANSWERED_WATCHES {
            true => Way::List,
            false => Way::Watch,
        };
    }
}

impl Way {
    fn next(self) -> Way {
        match self {
            Way::Watch => Way::List,
            Way::List => Way::Objects,
            Way::Objects => Way::Watch,
        }
    }
}
