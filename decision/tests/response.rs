//! Heads of responses that may be relied on.

use decision::response::{self, Violation};
use rstest::rstest;

#[rstest]
#[case::first(200, Ok(()))]
#[case::last(599, Ok(()))]
#[case::unassigned(299, Ok(()))]
#[case::interim(101, Err(Violation::Status(101)))]
#[case::above(600, Err(Violation::Status(600)))]
#[case::none(0, Err(Violation::Status(0)))]
fn only_final_status_codes_are_accepted(
    #[case] status: u16,
    #[case] result: Result<(), Violation>,
) {
    assert_eq!(response::check(status, [""; 0]), result);
}

#[rstest]
#[case::none(&[], Ok(()))]
#[case::chunks(&["chunked"], Ok(()))]
#[case::chunks_in_capitals(&[" Chunked "], Ok(()))]
#[case::part_of_a_word(&["xchunked"], Err(Violation::Coding))]
#[case::list(&["gzip, chunked"], Err(Violation::Coding))]
#[case::two_lines(&["chunked", "identity"], Err(Violation::Coding))]
#[case::twice(&["chunked", "chunked"], Err(Violation::Coding))]
#[case::empty(&[""], Err(Violation::Coding))]
fn chunks_are_the_only_transfer_coding(
    #[case] codings: &[&str],
    #[case] result: Result<(), Violation>,
) {
    assert_eq!(response::check(200, codings), result);
}
