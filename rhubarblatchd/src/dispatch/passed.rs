//! Requests that peers passed to this entry.

use std::convert::Infallible;

use bytes::Bytes;
use caller::Event;
use hyper::body::Body;
use peer::{forward, wire};
use tokio::sync::mpsc;

use super::{Dispatcher, EVENTS};
use crate::claims::Peer;
use crate::relay::{self, Item, Order, Work};

impl<P: Peer> Dispatcher<P> {
    /// Answers a request that a peer passed on. The answer's form belongs to this build.
    pub fn forward(
        &self,
        request: &forward::Request,
    ) -> impl Body<Data = Bytes, Error = Infallible> + Send + use<P> {
        self.serve_passed(request)
    }

    /// As [`Dispatcher::forward`].
    pub(crate) fn serve_passed(&self, request: &forward::Request) -> relay::Body {
        let mut order: Order = match wire::Frame::decode(&request.body) {
            Ok(order) => order,
            Err(error) => return relay::refuse(&error),
        };
        let (sender, receiver) = mpsc::channel(relay::ITEMS);
        let origin = order.origin(self.shared.node.now());
        let shared = self.shared.clone();
        match order.work(request.trace.as_ref()) {
            Ok(Work::Generate(request)) => {
                let (events, receiver) = mpsc::channel(EVENTS);
                tokio::spawn(shared.generate(request, origin, events));
                tokio::spawn(copy(receiver, sender));
            }
            Ok(Work::Call(call)) => {
                tokio::spawn(async move {
                    let item = shared.call(call, origin).await.into();
                    // A peer that has left takes no answer.
                    drop(sender.send(item).await);
                });
            }
            // The channel is empty, so there is room.
            Err(refusal) => drop(sender.try_send(refusal.into())),
        }
        relay::body(receiver)
    }
}

/// Hands events on until the peer has left, which the end of `events` tells the request's task.
async fn copy(mut events: mpsc::Receiver<Event>, items: mpsc::Sender<Item>) {
    loop {
        let event = tokio::select! {
            event = events.recv() => event,
            () = items.closed() => return,
        };
        let Some(event) = event else { return };
        if items.send(event.into()).await.is_err() {
            return;
        }
    }
}
