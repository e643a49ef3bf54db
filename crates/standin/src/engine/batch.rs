//! The slots of the running batch, assigned to waiting runs by priority.

use std::{
    cmp::Reverse,
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio::sync::oneshot;

/// Sort key of a waiting run: higher priority first, FIFO within a priority.
type QueueKey = (Reverse<i64>, u64);

/// A semaphore with a fixed number of slots and a priority queue of waiters.
#[derive(Debug, Clone)]
pub(super) struct Batch {
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    slots: usize,
    /// Invariant: at most `slots`.
    running: usize,
    waiting: BTreeMap<QueueKey, oneshot::Sender<Slot>>,
    last_sequence: u64,
}

/// A slot of the batch, released on drop.
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
                last_sequence: 0,
            })),
        }
    }

    /// Waits for a slot; `None` if the batch is dropped meanwhile.
    pub(super) async fn acquire_slot(&self, priority: i64) -> Option<Slot> {
        let rx = {
            let mut state = self.state();
            if state.running < state.slots {
                state.running += 1;
                return Some(Slot {
                    batch: self.clone(),
                });
            }
            state.last_sequence += 1;
            let (tx, rx) = oneshot::channel();
            let queue_key = (Reverse(priority), state.last_sequence);
            state.waiting.insert(queue_key, tx);
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
            // If the waiting run was dropped, `send` returns the slot; dropping the slot here
            // passes it on to the next waiting run.
            drop(tx.send(slot));
        }
    }
}
