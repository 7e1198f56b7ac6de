//! The order in which an engine's requests are prefilled: higher priorities first.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::oneshot;

/// The places for prefill of one engine.
#[derive(Clone, Debug)]
pub struct Prefill {
    state: Arc<Mutex<State>>,
}

/// The right to prefill, given on when dropped.
#[derive(Debug)]
pub struct Turn {
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    free: usize,
    arrived: u64,
    waiting: BTreeMap<(Reverse<u8>, u64), oneshot::Sender<Turn>>,
}

impl Prefill {
    /// `places` requests are prefilled at one time.
    pub fn new(places: usize) -> Prefill {
        let state = State { free: places.max(1), arrived: 0, waiting: BTreeMap::new() };
        Prefill { state: Arc::new(Mutex::new(state)) }
    }

    /// Waits for a place.
    pub async fn turn(&self, priority: u8) -> Turn {
        let waiting = {
            let mut state = lock(&self.state);
            if state.free > 0 {
                state.free -= 1;
                return Turn { state: self.state.clone() };
            }
            let (sender, receiver) = oneshot::channel();
            state.arrived += 1;
            let key = (Reverse(priority), state.arrived);
            state.waiting.insert(key, sender);
            receiver
        };
        waiting.await.unwrap_or_else(|_| Turn { state: self.state.clone() })
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        let next = {
            let mut state = lock(&self.state);
            let next = state.waiting.pop_first();
            if next.is_none() {
                state.free += 1;
            }
            next
        };
        if let Some((_, next)) = next {
            // Whoever has left drops the turn, which gives it on.
            drop(next.send(Turn { state: self.state.clone() }));
        }
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
