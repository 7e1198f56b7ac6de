//! Tests of the bound on the bytes that an entry buffers for callers that read slowly.

use std::time::Duration;

use bytes::Bytes;
use gateway::memory::{Full, Limiter};
use tokio::time::timeout;

const BLOCKED_TIMEOUT: Duration = Duration::from_millis(50);

fn bytes(count: usize) -> Bytes {
    Bytes::from(vec![0; count])
}

#[test]
fn bodies_are_held_within_the_bound_and_given_back() {
    let limiter = Limiter::new(100);
    let (first, second) = (limiter.reserve(60), limiter.reserve(60));
    assert!(first.is_some() && second.is_none());
    assert_eq!(limiter.used(), 60);
    drop(first);
    assert!(limiter.reserve(100).is_some() && limiter.reserve(101).is_none());
    assert!(limiter.reserve(usize::MAX).is_none());
    assert_eq!(limiter.used(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_stream_is_read_ahead_up_to_its_own_bound() {
    let limiter = Limiter::new(1_000_000);
    let ahead = limiter.read_ahead(100);
    let first = ahead.buffer(bytes(60)).await;
    let second = ahead.buffer(bytes(40)).await;
    assert!(!first.has_waited && !second.has_waited);
    assert!(
        timeout(BLOCKED_TIMEOUT, ahead.buffer(bytes(1))).await.is_err(),
        "the stream is read beyond its bound"
    );
    drop(first);
    let third = ahead.buffer(bytes(50)).await;
    assert_eq!((third.bytes.len(), limiter.used()), (50, 90));
}

#[tokio::test(start_paused = true)]
async fn a_piece_larger_than_the_bound_goes_alone() {
    let limiter = Limiter::new(1_000_000);
    let ahead = limiter.read_ahead(100);
    let large = ahead.buffer(bytes(5_000)).await;
    assert!(timeout(BLOCKED_TIMEOUT, ahead.buffer(bytes(1))).await.is_err());
    drop(large);
    assert!(ahead.buffer(bytes(1)).await.has_waited || limiter.used() == 0);
}

#[tokio::test(start_paused = true)]
async fn every_stream_goes_on_while_slow_callers_hold_all_there_is() {
    let limiter = Limiter::new(100);
    let slow_caller = limiter.read_ahead(100);
    let held_chunk = slow_caller.buffer(bytes(100)).await;
    let other_stream = limiter.read_ahead(100);
    for _ in 0..10 {
        let chunk = timeout(BLOCKED_TIMEOUT, other_stream.buffer(bytes(10)))
            .await
            .expect("the stream goes on");
        assert_eq!(limiter.used(), 100);
        drop(chunk);
    }
    let chunk = other_stream.buffer(bytes(10)).await;
    assert!(
        timeout(BLOCKED_TIMEOUT, other_stream.buffer(bytes(10))).await.is_err(),
        "a second chunk is buffered"
    );
    drop((held_chunk, chunk));
    assert_eq!(limiter.used(), 0);
}

#[test]
fn an_answer_stays_reserved_as_long_as_it_is_referred_to() {
    let limiter = Limiter::new(1_000_000);
    let mut hold = limiter.hold_answer().expect("an open limiter");
    for _ in 0..30 {
        hold.push(&[b'x'; 1_000]).expect("memory");
        assert!(limiter.used() >= hold.len(), "{} bytes are reserved", limiter.used());
    }
    let bytes = hold.into_bytes();
    let piece = bytes.slice(10_000..10_001);
    assert_eq!((bytes.len(), limiter.used()), (30_000, 30_000));
    drop(bytes);
    assert_eq!(limiter.used(), 30_000);
    drop(piece);
    assert_eq!(limiter.used(), 0);
}

/// Guards against answers without end that leave no memory to other requests.
#[test]
fn answers_without_end_leave_memory_to_requests_and_to_usual_answers() {
    let limiter = Limiter::new(4_000_000);
    let piece = [b'x'; 16_000];
    let mut endless = Vec::new();
    for _ in 0..200 {
        let mut hold = limiter.hold_answer().expect("an open limiter");
        while hold.push(&piece).is_ok() {}
        assert!(hold.len() <= 1_000_000, "{} bytes of one answer", hold.len());
        endless.push(hold);
    }
    assert!(limiter.used() <= 3_000_000, "{} bytes are reserved", limiter.used());
    assert!(limiter.hold_request(900_000).is_some());
}

#[test]
fn a_request_body_of_unknown_length_is_reserved_as_it_grows() {
    let limiter = Limiter::new(100_000);
    let mut hold = limiter.hold_request(4_000).expect("memory");
    assert_eq!(hold.push(&[b'x'; 3_000]), Ok(()));
    assert_eq!(limiter.used(), 4_000);
    assert_eq!(hold.push(&[b'x'; 90_000]), Ok(()));
    assert!(limiter.used() >= 93_000);
    assert_eq!(hold.push(&[b'x'; 10_000]), Err(Full));
    assert_eq!(hold.into_bytes().len(), 93_000);
    assert_eq!(limiter.used(), 0);
}
