//! Settings for forming replicas.

use crate::prelude::*;

/// Settings for forming, repairing and ending replicas.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Instances of a fabric domain that stay free to replace lost members of its replicas.
    pub reserved_spares: usize,
    /// Time after which an order without effect is sent again.
    pub resend_interval: Duration,
    /// Time that a replica may take to form, beyond three times the load time of its weights, and
    /// that an instance may take to become a spare before it is ordered to again.
    pub formation_slack: Duration,
    /// Window over which the rate of weight loads is limited.
    pub load_window: Duration,
    /// Time without a change of the free instances after which a replica may be ended for one of
    /// another model.
    pub rebalance_delay: Duration,
    /// Time that a head has to complete its requests when its replica ends.
    pub close_timeout: Duration,
    /// Time that a head has to complete its requests when its replica ends in favor of another
    /// model. Longer, so that this aborts no request.
    pub preempt_close_timeout: Duration,
    /// Time without a new instance after which the first replicas are formed at the first start,
    /// and without a change of the free instances after which weights are staged on them.
    pub settle_time: Duration,
    /// Time for which an instance that is no longer listed counts as reachable after it answered.
    pub answer_validity: Duration,
    /// Time for which a member that accepted an order to leave counts as gone, although the list
    /// still shows it.
    pub leave_validity: Duration,
    /// Time that the list has to show the effect of an earlier owner's order to open. A replica
    /// that isn't open by then is ended.
    pub inherited_open_timeout: Duration,
    /// Time for which an instance is not used for a replica after its state differed from the plan.
    pub mismatch_backoff: Duration,
    /// Time for which an unreachable instance is not used, unless it answers before.
    pub unreachable_backoff: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            reserved_spares: 2,
            resend_interval: Duration::from_millis(700),
            formation_slack: Duration::from_secs(4),
            load_window: Duration::from_secs(5),
            rebalance_delay: Duration::from_secs(8),
            close_timeout: Duration::from_millis(2_500),
            preempt_close_timeout: Duration::from_secs(8),
            settle_time: Duration::from_millis(400),
            answer_validity: Duration::from_millis(2_000),
            leave_validity: Duration::from_millis(1_500),
            inherited_open_timeout: Duration::from_millis(800),
            mismatch_backoff: Duration::from_millis(600),
            unreachable_backoff: Duration::from_secs(4),
        }
    }
}
