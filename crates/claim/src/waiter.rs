//! The caller's side of a claim that waits for a write.

use std::sync::{
    Arc,
    atomic::{AtomicU8, Ordering},
};

use tokio::sync::oneshot;

use crate::commit::ClaimOutcome;

const WAITING: u8 = 0;
const SENT: u8 = 1;
const GIVEN_UP: u8 = 2;

/// Whether a claim has been put into a write, as agreed between caller and worker.
#[derive(Debug, Clone, Default)]
pub(crate) struct Stage(Arc<AtomicU8>);

impl Stage {
    fn step(&self, to: u8) -> bool {
        let step = self
            .0
            .compare_exchange(WAITING, to, Ordering::AcqRel, Ordering::Acquire);
        step.is_ok()
    }

    /// Marks the claim as sent. Returns false if the caller gave up before.
    pub(crate) fn send(&self) -> bool {
        self.step(SENT) || self.is_sent()
    }

    /// Returns true if a write with this claim may have left.
    pub(crate) fn is_sent(&self) -> bool {
        self.0.load(Ordering::Acquire) == SENT
    }

    /// Gives up. Returns true if no write has carried the claim nor ever will.
    fn give_up(&self) -> bool {
        self.step(GIVEN_UP)
    }
}

/// Waits for the outcome; when dropped before, makes sure that the claim does not stay open.
pub(crate) struct Waiter<F: Fn()> {
    pub(crate) stage: Stage,
    pub(crate) rx: oneshot::Receiver<ClaimOutcome>,
    /// Ends the claim as not run.
    pub(crate) abandon: F,
    pub(crate) taken: bool,
}

impl<F: Fn()> Waiter<F> {
    /// Returns the outcome once it is known.
    pub(crate) async fn outcome(&mut self) -> ClaimOutcome {
        let outcome = (&mut self.rx).await;
        self.taken = true;
        // The worker only goes away with the runtime.
        outcome.unwrap_or(ClaimOutcome::Unknown)
    }

    /// Returns what can be said at the deadline.
    pub(crate) fn at_deadline(&mut self) -> ClaimOutcome {
        if self.stage.give_up() {
            ClaimOutcome::Unavailable
        } else {
            ClaimOutcome::Unknown
        }
    }
}

impl<F: Fn()> Drop for Waiter<F> {
    fn drop(&mut self) {
        if self.taken || self.stage.give_up() {
            return;
        }
        // After this the worker sees that nobody listens; an outcome sent before is taken here.
        self.rx.close();
        if let Ok(ClaimOutcome::Claimed) = self.rx.try_recv() {
            (self.abandon)();
        }
    }
}
