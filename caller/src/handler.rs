//! What the listener hands requests to.

use std::future::Future;

use futures_util::Stream;

use crate::request::{Call, Generate};
use crate::{Answer, Event, Refusal};

/// Answers the requests that the listener has read and checked.
///
/// A future or stream that is dropped means that the caller has left.
pub trait Handler: Send + Sync + 'static {
    /// The events of one answer. Bounded: a slow caller must slow down the target.
    type Events: Stream<Item = Event> + Send + 'static;

    /// Answers with a stream of tokens.
    fn generate(
        &self,
        request: Generate,
    ) -> impl Future<Output = Result<Self::Events, Refusal>> + Send;

    /// Answers a call of a plain service.
    fn call(&self, call: Call) -> impl Future<Output = Result<Answer, Refusal>> + Send;

    /// Whether the entry takes new work, for the balancer.
    ///
    /// # Errors
    ///
    /// The refusal that new work would get.
    fn ready(&self) -> Result<(), Refusal>;
}
