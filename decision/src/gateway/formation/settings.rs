//! How replicas are formed.

use crate::prelude::*;

/// How replicas are formed.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Instances of a fabric domain that stay free to heal its replicas.
    pub reserve: usize,
    /// Time after which an order without effect is sent again.
    pub repeat: Duration,
    /// Time that a replica may take to form beyond the load of its weights.
    pub slack: Duration,
    /// Window in which loads are counted.
    pub load_window: Duration,
    /// Time without a change of the free instances after which a replica may give way to another
    /// model.
    pub rebalance: Duration,
    /// Longest time that a head which stops has for the requests that it runs.
    pub closing: Duration,
    /// The same if it gives way to another model, so that nothing is cut off for that.
    pub yielding: Duration,
    /// Time without a new instance after which the first replicas are formed at a first start,
    /// and without a change of the free instances after which weights are staged on them.
    pub settle: Duration,
    /// Time for which an instance whose entry is gone counts as living after it answered.
    pub vouched: Duration,
    /// Time after which a member that said it has left is believed no more, if the list shows
    /// something else.
    pub left: Duration,
    /// Time that an earlier owner's order to open has to show in the list.
    pub inherited: Duration,
    /// Time for which an instance is left alone that is not what it was taken for.
    pub contested: Duration,
    /// Time for which a dead instance is left alone before it counts as living again.
    pub dead: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            reserve: 2,
            repeat: Duration::from_millis(700),
            slack: Duration::from_secs(4),
            load_window: Duration::from_secs(5),
            rebalance: Duration::from_secs(8),
            closing: Duration::from_millis(2_500),
            yielding: Duration::from_secs(8),
            settle: Duration::from_millis(400),
            vouched: Duration::from_millis(2_000),
            left: Duration::from_millis(1_500),
            inherited: Duration::from_millis(800),
            contested: Duration::from_millis(600),
            dead: Duration::from_secs(4),
        }
    }
}
