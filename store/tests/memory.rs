//! The store in memory keeps the rules of the object API.

use std::time::Duration;

use store::memory::Memory;
use store::{Error, Kind, Store, Version};

const WAIT: Duration = Duration::from_secs(1);

#[tokio::test]
async fn only_a_write_against_the_present_version_takes_effect() {
    let store = Memory::default();
    let first = store.put(Kind::Claim, "1", Version::ABSENT, &1).await.unwrap();
    let error = store.put(Kind::Claim, "1", Version::ABSENT, &2).await.unwrap_err();
    assert!(matches!(error, Error::Conflict { version, .. } if version == first), "{error}");
    store.put(Kind::Claim, "1", first, &3).await.unwrap();
    let error = store.delete(Kind::Claim, "1", first).await.unwrap_err();
    assert!(matches!(error, Error::Conflict { .. }), "{error}");
    let object = store.get::<u32>(Kind::Claim, "1").await.unwrap().unwrap();
    assert_eq!(object.value, 3);
}

#[tokio::test]
async fn a_lost_answer_hides_a_write_that_took_effect() {
    let store = Memory::default();
    store.lose_answers(1);
    let error = store.put(Kind::Claim, "1", Version::ABSENT, &1).await.unwrap_err();
    assert!(matches!(error, Error::Unknown { .. }), "{error}");
    assert_eq!(store.get::<u32>(Kind::Claim, "1").await.unwrap().unwrap().value, 1);
}

#[tokio::test(start_paused = true)]
async fn a_watch_wakes_for_its_kind_only() {
    let store = Memory::default();
    let version = store.put(Kind::Claim, "1", Version::ABSENT, &1).await.unwrap();
    let watch = |after| {
        let store = store.clone();
        async move { store.watch::<u32>(Kind::Claim, after, WAIT).await.unwrap() }
    };
    let waiting = tokio::spawn(watch(version));
    tokio::task::yield_now().await;
    store.put(Kind::Fabric, "f", Version::ABSENT, &1).await.unwrap();
    store.delete(Kind::Claim, "1", version).await.unwrap();
    let changes = waiting.await.unwrap();
    assert_eq!(changes.objects.len(), 1);
    assert_eq!(changes.objects[0].value, None);
    let start = tokio::time::Instant::now();
    assert!(watch(changes.revision).await.objects.is_empty());
    assert_eq!(start.elapsed(), WAIT);
}
