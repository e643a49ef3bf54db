//! The caller's side of a claim that is queued for a write.

use std::sync::{
    Arc,
    atomic::{AtomicU8, Ordering},
};

use tokio::sync::oneshot;

use crate::commit::ClaimOutcome;

const QUEUED: u8 = 0;
const SENT: u8 = 1;
const ABANDONED: u8 = 2;

/// State of a claim, shared by caller and worker: a queued claim becomes either sent or abandoned.
#[derive(Debug, Clone, Default)]
pub(crate) struct SendState(Arc<AtomicU8>);

impl SendState {
    fn transition(&self, to: u8) -> bool {
        let exchanged = self
            .0
            .compare_exchange(QUEUED, to, Ordering::AcqRel, Ordering::Acquire);
        exchanged.is_ok()
    }

    /// Marks the claim as sent. Returns false if the caller has abandoned it before.
    pub(crate) fn mark_sent(&self) -> bool {
        self.transition(SENT) || self.is_sent()
    }

    /// True if a write with this claim may have been sent.
    pub(crate) fn is_sent(&self) -> bool {
        self.0.load(Ordering::Acquire) == SENT
    }

    /// Abandons the claim. Returns true if no write has contained it or ever will.
    fn abandon(&self) -> bool {
        self.transition(ABANDONED)
    }
}

/// Waits for the outcome. If dropped before, makes sure that the claim does not stay open.
pub(crate) struct Waiter<F: Fn()> {
    pub(crate) send_state: SendState,
    pub(crate) rx: oneshot::Receiver<ClaimOutcome>,
    /// Ends the claim as not run.
    pub(crate) end_as_not_run: F,
    pub(crate) received: bool,
}

impl<F: Fn()> Waiter<F> {
    /// Waits until the outcome is known.
    pub(crate) async fn outcome(&mut self) -> ClaimOutcome {
        let outcome = (&mut self.rx).await;
        self.received = true;
        // The worker drops the sender without an outcome only at shutdown of the runtime.
        outcome.unwrap_or(ClaimOutcome::Unknown)
    }

    /// Outcome of a claim that was not answered by the deadline.
    pub(crate) fn at_deadline(&mut self) -> ClaimOutcome {
        if self.send_state.abandon() {
            ClaimOutcome::Unavailable
        } else {
            ClaimOutcome::Unknown
        }
    }
}

impl<F: Fn()> Drop for Waiter<F> {
    fn drop(&mut self) {
        if self.received || self.send_state.abandon() {
            return;
        }
        // From here on the worker sees the closed channel; an outcome sent before is handled here.
        self.rx.close();
        if let Ok(ClaimOutcome::Claimed) = self.rx.try_recv() {
            (self.end_as_not_run)();
        }
    }
}
