//! What an entry holds for callers that read slowly.

use std::time::Duration;

use bytes::Bytes;
use gateway::hold::Hold;
use tokio::time::timeout;

const SOON: Duration = Duration::from_millis(50);

fn bytes(count: usize) -> Bytes {
    Bytes::from(vec![0; count])
}

#[test]
fn bodies_are_held_within_the_bound_and_given_back() {
    let hold = Hold::new(100);
    let (first, second) = (hold.take(60), hold.take(60));
    assert!(first.is_some() && second.is_none());
    assert_eq!(hold.used(), 60);
    drop(first);
    assert!(hold.take(100).is_some() && hold.take(101).is_none());
    assert!(hold.take(usize::MAX).is_none());
    assert_eq!(hold.used(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_stream_is_read_ahead_up_to_its_own_bound() {
    let hold = Hold::new(1_000_000);
    let ahead = hold.ahead(100);
    let first = ahead.piece(bytes(60)).await;
    let second = ahead.piece(bytes(40)).await;
    assert!(!first.waited && !second.waited);
    assert!(timeout(SOON, ahead.piece(bytes(1))).await.is_err(), "read further ahead");
    drop(first);
    let third = ahead.piece(bytes(50)).await;
    assert_eq!((third.bytes.len(), hold.used()), (50, 90));
}

#[tokio::test(start_paused = true)]
async fn a_piece_larger_than_the_bound_goes_alone() {
    let hold = Hold::new(1_000_000);
    let ahead = hold.ahead(100);
    let large = ahead.piece(bytes(5_000)).await;
    assert!(timeout(SOON, ahead.piece(bytes(1))).await.is_err());
    drop(large);
    assert!(ahead.piece(bytes(1)).await.waited || hold.used() == 0);
}

#[tokio::test(start_paused = true)]
async fn every_stream_goes_on_while_slow_callers_hold_all_there_is() {
    let hold = Hold::new(100);
    let slow = hold.ahead(100);
    let held = slow.piece(bytes(100)).await;
    let sound = hold.ahead(100);
    for _ in 0..10 {
        let piece = timeout(SOON, sound.piece(bytes(10))).await.expect("it goes on");
        assert_eq!(hold.used(), 100);
        drop(piece);
    }
    let piece = sound.piece(bytes(10)).await;
    assert!(timeout(SOON, sound.piece(bytes(10))).await.is_err(), "one piece at a time");
    drop((held, piece));
    assert_eq!(hold.used(), 0);
}
