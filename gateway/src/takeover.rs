//! Two attempts at work on one request: one whose target is silent, and one that is to take over.
//!
//! Silence doesn't show that a target is lost. So the silent attempt is kept until the other one has
//! an answer, and goes on if that fails.

use tokio::time::{Instant, timeout_at};

/// How two attempts at work ended. `A` is a result of the silent one.
pub(crate) enum Race<A, T, E> {
    /// The silent attempt goes on with this result, and the other one is dropped.
    Kept(A),
    /// The other attempt has taken over. Also how the silent one failed, if it did.
    TakenOver(Option<A>, T),
    /// The other attempt failed, and the silent one is still silent.
    Alone(E),
    /// Both attempts failed.
    Lost(A, E),
}

/// What a result of the silent attempt means.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Sign {
    /// The attempt failed.
    Failed,
    /// The attempt goes on. The other one may still take over until then.
    GoesOn(Instant),
}

/// Waits until one of two attempts is to go on. `sign` tells what a result of the silent one means.
pub(crate) async fn race<A, T, E>(
    silent: impl Future<Output = A>,
    other: impl Future<Output = Result<T, E>>,
    sign: impl FnOnce(&A) -> Sign,
) -> Race<A, T, E> {
    tokio::pin!(other);
    let result = tokio::select! {
        biased;
        result = &mut other => return match result {
            Ok(taken) => Race::TakenOver(None, taken),
            Err(error) => Race::Alone(error),
        },
        result = silent => result,
    };
    match sign(&result) {
        Sign::Failed => match other.await {
            Ok(taken) => Race::TakenOver(Some(result), taken),
            Err(error) => Race::Lost(result, error),
        },
        Sign::GoesOn(until) => match timeout_at(until, other).await {
            Ok(Ok(taken)) => Race::TakenOver(None, taken),
            Ok(Err(_)) | Err(_) => Race::Kept(result),
        },
    }
}
