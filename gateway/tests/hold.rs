//! Tests of the bound on the bytes that an entry buffers for callers that read slowly.

use std::time::Duration;

use bytes::Bytes;
use gateway::memory::Limiter;
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
