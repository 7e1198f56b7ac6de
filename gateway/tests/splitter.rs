//! Tests of the bound on events of a stream that are not complete.

use gateway::memory::Limiter;
use gateway::splitter::Splitter;

/// Bytes for buffers.
const MEMORY_BYTES: usize = 400_000;

/// Guards against an event without end, which is kept until it is complete.
#[test]
fn an_event_without_end_is_given_up_within_its_part_of_the_memory() {
    let limiter = Limiter::new(MEMORY_BYTES);
    let mut splitter = Splitter::new(limiter.clone());
    let given_up = (0..1_000).find(|_| splitter.push(&[b'x'; 1_000]).is_err());
    assert!(given_up.is_some_and(|it| it > 8), "given up after {given_up:?} kB");
    assert!(limiter.used() <= MEMORY_BYTES / 4, "{} bytes are reserved", limiter.used());
    splitter.clear();
    assert_eq!(limiter.used(), 0);
}

/// Guards against streams that break as others use up the memory.
#[test]
fn a_usual_event_passes_while_no_memory_is_left() {
    let limiter = Limiter::new(MEMORY_BYTES);
    let _others = limiter.reserve(MEMORY_BYTES).expect("memory");
    let mut splitter = Splitter::new(limiter);
    assert_eq!(splitter.push(&[b'x'; 4_000]), Ok(None));
    let whole = splitter.push(b"\n\n").expect("a usual event").expect("a whole event");
    assert_eq!(whole.len(), 4_002);
    let many = b"data: x\n\n".repeat(10_000);
    assert_eq!(splitter.push(&many).map(|it| it.map(|it| it.len())), Ok(Some(many.len())));
}

#[test]
fn a_long_event_is_reserved_until_it_is_complete() {
    let limiter = Limiter::new(MEMORY_BYTES);
    let mut splitter = Splitter::new(limiter.clone());
    let long = [b'x'; 20_000];
    assert_eq!(splitter.push(&long), Ok(None));
    assert!(limiter.used() >= long.len(), "{} bytes are reserved", limiter.used());
    assert!(splitter.push(b"\n\n").is_ok_and(|it| it.is_some()));
    assert_eq!(limiter.used(), 0);
}
