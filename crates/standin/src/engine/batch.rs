//! The slots of the running batch, given out by priority.

use std::{
    cmp::Reverse,
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio::sync::oneshot;

/// The order of waiting runs: higher priority first, then first come first served.
type Rank = (Reverse<i64>, u64);

/// A fixed number of slots.
#[derive(Debug, Clone)]
pub(super) struct Batch {
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    slots: usize,
    /// Invariant: at most `slots`.
    running: usize,
    waiting: BTreeMap<Rank, oneshot::Sender<Slot>>,
    last_ticket: u64,
}

/// A slot of the batch, free again when dropped.
#[derive(Debug)]
pub(super) struct Slot {
    batch: Batch,
}

impl Batch {
    pub(super) fn new(slots: usize) -> Self {
        Self {
            state: Arc::new(Mutex::new(State {
                slots: slots.max(1),
                running: 0,
                waiting: BTreeMap::new(),
                last_ticket: 0,
            })),
        }
    }

    /// Waits for a slot; `None` if the engine goes away.
    pub(super) async fn enter(&self, priority: i64) -> Option<Slot> {
        let rx = {
            let mut state = self.state();
            if state.running < state.slots {
                state.running += 1;
                return Some(Slot {
                    batch: self.clone(),
                });
            }
            state.last_ticket += 1;
            let (tx, rx) = oneshot::channel();
            let rank = (Reverse(priority), state.last_ticket);
            state.waiting.insert(rank, tx);
            rx
        };
        rx.await.ok()
    }

    pub(super) fn running(&self) -> usize {
        self.state().running
    }

    pub(super) fn waiting(&self) -> usize {
        let state = self.state();
        state.waiting.values().filter(|tx| !tx.is_closed()).count()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let next = {
            let mut state = self.batch.state();
            let next = state.waiting.pop_first();
            if next.is_none() {
                state.running -= 1;
            }
            next
        };
        if let Some((_, tx)) = next {
            let slot = Slot {
                batch: self.batch.clone(),
            };
            // If the waiting run has gone, the slot comes back, is dropped and goes to the next.
            drop(tx.send(slot));
        }
    }
}
