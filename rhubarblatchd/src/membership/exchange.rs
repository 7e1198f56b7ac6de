//! Asks one peer after the other.

use std::sync::Arc;
use std::time::Duration;

use decision::gossip::{Answer, Ask, Partner};
use tokio::time::{self, MissedTickBehavior};

use super::meter::Counter;
use super::show;
use crate::node::Node;

/// Asks a peer at every interval and tells the router when a roster comes into force.
pub(super) async fn run(node: Arc<Node>) {
    let interval = Duration::from_millis(node.settings.timing.exchange_ms);
    time::sleep(interval.mul_f64(rand::random())).await;
    let mut ticks = time::interval(interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let partner = node.membership.lock().partner(node.now());
        if let Some(partner) = partner {
            // A slow peer must not keep the entry from asking the next one.
            tokio::spawn(ask(node.clone(), partner));
        }
        show(&node, &node.configuration.load().head, node.membership.in_force());
    }
}

async fn ask(node: Arc<Node>, partner: Partner) {
    let membership = &node.membership;
    let sent = node.now();
    let mut question = membership.lock().question();
    question.wants_digests = membership.evidence().wants_digests(sent);
    match membership.client.exchange(partner.address, &Ask::Beat(question)).await {
        Ok(Answer::Beat(reply)) => {
            membership.count.add(Counter::Answered);
            membership.lock().learn(node.now(), sent, &reply);
            membership.pass_on(&node);
            if let Err(refusal) = membership.evidence().learn_view(sent, &reply.view) {
                membership.count.add(Counter::Refused);
                log::debug!("{} told evidence that is refused: {refusal}", partner.address);
            }
        }
        Ok(_) => membership.count.add(Counter::Invalid),
        Err(error) => {
            membership.count.add(Counter::Failed);
            log::debug!("no exchange: {error}");
        }
    }
}
