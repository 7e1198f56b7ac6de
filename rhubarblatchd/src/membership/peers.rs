//! What the entry does for its peers.

use std::sync::Arc;

use bytes::Bytes;
use decision::claim::Change;
use decision::gossip::message::MAX_BODIES;
use decision::gossip::{Answer, Ask, Blob};
use decision::head::Hash;
use decision::roster::{Joiner, MAX_MEMBERS};
use http::Response;
use peer::client::Client;
use peer::listener::{Handler, Refusal};
use peer::{forward, wire};
use serde_json::Value;

use crate::claims::Claims;
use crate::dispatch::Dispatcher;
use crate::follower::Newer;
use crate::node::Node;
use crate::relay;

/// Answers peers on behalf of a node.
pub(crate) struct Peers {
    node: Arc<Node>,
    claims: Arc<Claims<Client>>,
    dispatcher: Arc<Dispatcher<Client>>,
}

impl Peers {
    pub(crate) fn new(
        node: Arc<Node>,
        claims: Arc<Claims<Client>>,
        dispatcher: Arc<Dispatcher<Client>>,
    ) -> Peers {
        Peers { node, claims, dispatcher }
    }

    fn join(&self, joiner: Joiner) -> bool {
        let listed = self.node.membership.lock().state().position().is_some();
        let mut joiners = super::listing::joiners(&self.node.membership);
        let room = joiners.len() < MAX_MEMBERS;
        if listed && room {
            joiners.insert(joiner.name.clone(), joiner);
        }
        listed && room
    }

    fn bodies(&self, hashes: &[Hash]) -> Vec<Blob> {
        let bodies = self.node.follower.bodies(hashes);
        let text = |body: &Value| serde_json::to_vec(body).ok().map(Blob);
        bodies.iter().take(MAX_BODIES).filter_map(text).collect()
    }
}

impl Handler for Peers {
    type Stream = relay::Body;

    async fn exchange(&self, ask: Ask) -> Answer {
        let membership = &self.node.membership;
        match ask {
            Ask::Beat(question) => {
                let now = self.node.now();
                let view = membership.evidence().view(now, question.wants_digests);
                let reply = membership.lock().reply_with(now, &question, view);
                membership.pass_on(&self.node);
                Answer::Beat(reply)
            }
            Ask::Head(held) => match self.node.follower.newer(held) {
                Some(Newer::Difference(delta)) => Answer::Delta(delta),
                Some(Newer::Whole(head)) => Answer::Head(Some(head)),
                None => Answer::Head(None),
            },
            Ask::Bodies(hashes) => Answer::Bodies(self.bodies(&hashes)),
            Ask::Join(joiner) => Answer::Join(self.join(joiner)),
        }
    }

    async fn claim(&self, frame: Bytes) -> Result<wire::Frame, Refusal> {
        let change: Change = wire::Frame::decode(&frame)?;
        // Without a verdict the peer writes the claim itself.
        let verdict = self.claims.write(change).await.map_err(|_| Refusal::Unavailable)?;
        Ok(wire::Frame::encode(&verdict)?)
    }

    async fn forward(&self, request: forward::Request) -> Response<Self::Stream> {
        Response::new(self.dispatcher.serve_passed(&request))
    }
}
