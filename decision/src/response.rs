//! Checks of the head of an HTTP response beyond those of the HTTP library.

use std::ops::RangeInclusive;

/// Status codes that a final response may have. A protocol is never switched, as no request asks
/// for that, and the library skips other interim responses.
const FINAL_STATUS_CODES: RangeInclusive<u16> = 200..=599;

/// Why the head of a response breaks the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// Its status code is not one of a final response.
    #[error("{0} is not the status code of a final response")]
    Status(u16),
}

/// Checks the head of a response by its status code.
///
/// # Errors
///
/// If it breaks the protocol, so that nothing in it can be relied on.
pub fn check(status: u16) -> Result<(), Violation> {
    match FINAL_STATUS_CODES.contains(&status) {
        true => Ok(()),
        false => Err(Violation::Status(status)),
    }
}
