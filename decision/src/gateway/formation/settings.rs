//! How replicas are formed.

use crate::prelude::*;

/// How replicas are formed.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Instances of a fabric domain that stay free to heal its replicas.
    pub reserved_spares: usize,
    /// Time after which an order without effect is sent again.
    pub resend_interval: Duration,
    /// Time that a replica may take to form beyond the load of its weights.
    pub formation_slack: Duration,
    /// Window in which loads are counted.
    pub load_window: Duration,
    /// Time without a change of the free instances after which a replica may give way to another
    /// model.
    pub rebalance_delay: Duration,
    /// Longest time that a head which stops has for the requests that it runs.
    pub close_timeout: Duration,
    /// The same if it gives way to another model, so that nothing is cut off for that.
    pub yield_close_timeout: Duration,
    /// Time without a new instance after which the first replicas are formed at a first start,
    /// and without a change of the free instances after which weights are staged on them.
    pub settle_time: Duration,
    /// Time for which an instance whose entry is gone counts as living after it answered.
    pub answer_validity: Duration,
    /// Time after which a member that said it has left is believed no more, if the list shows
    /// something else.
    pub leave_validity: Duration,
    /// Time that an earlier owner's order to open has to show in the list.
    pub inherited_open_timeout: Duration,
    /// Time for which an instance is left alone that is not what it was taken for.
    pub mismatch_backoff: Duration,
    /// Time for which a dead instance is left alone before it counts as living again.
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
            yield_close_timeout: Duration::from_secs(8),
            settle_time: Duration::from_millis(400),
            answer_validity: Duration::from_millis(2_000),
            leave_validity: Duration::from_millis(1_500),
            inherited_open_timeout: Duration::from_millis(800),
            mismatch_backoff: Duration::from_millis(600),
            unreachable_backoff: Duration::from_secs(4),
        }
    }
}
