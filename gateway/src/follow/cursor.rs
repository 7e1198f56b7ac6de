//! Where the next page of a list begins.

use std::collections::HashSet;
use std::sync::Arc;

use super::Error;
use crate::port::Page;

/// Longest name that a page is asked for by, in bytes. Encoded, it fits into the heads of requests that
/// servers usually take.
const MAX_NAME_BYTES: usize = 2 << 10;

/// Position in a list that is read page by page.
#[derive(Debug, Default)]
pub(super) struct Cursor {
    after: Option<Arc<str>>,
    /// The names after which pages were asked for.
    asked: HashSet<Arc<str>>,
}

impl Cursor {
    /// Returns the name after which the next page begins; `None` for the first page.
    pub(super) fn after(&self) -> Option<&str> {
        self.after.as_deref()
    }

    /// Goes on to what follows `page`. Returns false if it is the last one.
    ///
    /// # Errors
    ///
    /// If another page follows, and no name tells where, or one after which it was asked for already.
    pub(super) fn advance(&mut self, page: &Page) -> Result<bool, Error> {
        if !page.more {
            return Ok(false);
        }
        let last = page.items.last().ok_or(Error::NamelessPage)?;
        let after = bounded(&last.name);
        if !self.asked.insert(after.clone()) {
            return Err(Error::RepeatedPage);
        }
        self.after = Some(after);
        Ok(true)
    }
}

/// Returns `name`, or if it is too long, one that follows all names with the same beginning.
fn bounded(name: &Arc<str>) -> Arc<str> {
    if name.len() <= MAX_NAME_BYTES {
        return name.clone();
    }
    let beginning = &name[..name.floor_char_boundary(MAX_NAME_BYTES)];
    format!("{beginning}{}", char::MAX).into()
}
