//! Checks of the head of an HTTP response beyond those of the HTTP library.

use std::ops::RangeInclusive;

/// Status codes that a final response may have. A protocol is never switched, as no request asks
/// for that, and the library skips other interim responses.
const FINAL_STATUS_CODES: RangeInclusive<u16> = 200..=599;

/// The only transfer coding that is read.
const CHUNKED: &str = "chunked";

/// Why the head of a response breaks the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// Its status code is not one of a final response.
    #[error("{0} is not the status code of a final response")]
    Status(u16),
    /// Its body has another transfer coding than chunks alone, so that neither its end nor its
    /// content is that of the body.
    #[error("its transfer coding is not \"chunked\" alone")]
    Coding,
}

/// Checks the head of a response by its status code and the values of its `transfer-encoding`
/// headers.
///
/// # Errors
///
/// If it breaks the protocol, so that nothing in it can be relied on.
pub fn check<C: AsRef<[u8]>>(
    status: u16,
    codings: impl IntoIterator<Item = C>,
) -> Result<(), Violation> {
    if !FINAL_STATUS_CODES.contains(&status) {
        return Err(Violation::Status(status));
    }
    let mut codings = codings.into_iter();
    let is_plain = match (codings.next(), codings.next()) {
        (None, _) => true,
        (Some(coding), None) => {
            coding.as_ref().trim_ascii().eq_ignore_ascii_case(CHUNKED.as_bytes())
        }
        (Some(_), Some(_)) => false,
    };
    match is_plain {
        true => Ok(()),
        false => Err(Violation::Coding),
    }
}
