//! What the daemon does for operators.

use std::future::Future;

use crate::change::{Applied, Change, Configuration};
use crate::entry::{Entries, Forget};
use crate::refusal::Refusal;
use crate::status::{Explanation, Status};

/// What the daemon does for operators. The listener calls it for authorised calls only.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Reads the stored configuration.
    ///
    /// # Errors
    ///
    /// [`Refusal::Unavailable`] if the store cannot be read.
    fn configuration(&self) -> impl Future<Output = Result<Configuration, Refusal>> + Send;

    /// Stores a change.
    ///
    /// # Errors
    ///
    /// Any refusal; only [`Refusal::Unknown`] leaves open whether the change is stored.
    fn change(&self, change: Change) -> impl Future<Output = Result<Applied, Refusal>> + Send;

    /// Tells which entries count towards a majority, and how long they have been silent.
    fn entries(&self) -> impl Future<Output = Entries> + Send;

    /// Takes entries off the roster that are lost for good.
    ///
    /// # Errors
    ///
    /// Any refusal; only [`Refusal::Unknown`] leaves open whether the change is stored.
    fn forget(&self, forget: Forget) -> impl Future<Output = Result<Applied, Refusal>> + Send;

    /// Tells what this entry knows.
    fn status(&self) -> impl Future<Output = Status> + Send;

    /// Tells why the object `name` of `kind` is as it is.
    ///
    /// # Errors
    ///
    /// [`Refusal::Absent`] if nothing is known of it.
    fn explain(
        &self,
        kind: &str,
        name: &str,
    ) -> impl Future<Output = Result<Explanation, Refusal>> + Send;

    /// The metrics in Prometheus text format.
    fn metrics(&self) -> String;

    /// Whether this entry takes new work, for the platform's balancer.
    fn is_ready(&self) -> bool;
}
