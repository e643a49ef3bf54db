//! Attempts whose outcome is not known yet, with their reservations.
//!
//! Every attempt that may have reached a sidecar is kept here until it is resolved by a receipt, a
//! refusal, or proof that the sidecar incarnation has ended. Each request is billed at most once.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use cyc_budget::{Reservation, WalletHandle};
use cyc_ledger::{Billed, Ledger};
use cyc_proto::Receipt;
use cyc_types::{Incarnation, RequestId, TargetId, Tokens};

use crate::fleet::Sidecar;

/// An attempt whose outcome is not known yet.
#[derive(Debug)]
pub struct PendingAttempt {
    /// The attempt number, unique within this entry incarnation.
    pub attempt: u64,
    /// The target that it was sent to.
    pub target: TargetId,
    /// The sidecar incarnation that it was addressed to.
    pub sidecar: Incarnation,
    /// The tokens reserved for the attempt.
    pub reservation: Reservation,
    /// True if the request's task has stopped following the attempt; its outcome is then queried
    /// with each heartbeat.
    pub in_doubt: bool,
}

/// An attempt whose outcome must be queried from the sidecar.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InDoubtAttempt {
    /// The request.
    pub request: RequestId,
    /// The attempt number.
    pub attempt: u64,
    /// The sidecar incarnation that it was addressed to.
    pub sidecar: Incarnation,
}

#[derive(Debug, Default)]
struct State {
    pending: HashMap<RequestId, Vec<PendingAttempt>>,
    /// The sidecars that keep receipts of a request until the receipts are released.
    receipt_holders: HashMap<RequestId, Vec<Arc<Sidecar>>>,
}

/// The pending attempts of one entry, and the receipts that are not settled yet.
#[derive(Debug)]
pub struct PendingAttempts {
    wallet: WalletHandle,
    ledger: Ledger,
    state: Mutex<State>,
}

/// # Attempts
impl PendingAttempts {
    /// Creates an empty set.
    pub fn new(wallet: WalletHandle, ledger: Ledger) -> Self {
        Self {
            wallet,
            ledger,
            state: Mutex::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds an attempt. Must be called before the attempt is sent.
    pub fn insert(&self, request: RequestId, pending: PendingAttempt) {
        self.state()
            .pending
            .entry(request)
            .or_default()
            .push(pending);
    }

    /// Removes an attempt that did not run and returns its reservation.
    pub fn remove(&self, request: RequestId, attempt: u64) -> Option<Reservation> {
        self.state().remove(request, attempt)
    }

    /// Removes an attempt that is not billed and releases its reservation.
    pub fn release_unbilled(&self, request: RequestId, attempt: u64) {
        if let Some(reservation) = self.remove(request, attempt) {
            self.wallet.release(reservation);
        }
    }

    /// Marks an attempt in doubt: the request's task no longer follows it.
    pub fn mark_in_doubt(&self, request: RequestId, attempt: u64) {
        let mut state = self.state();
        let attempts = state.pending.get_mut(&request).into_iter().flatten();
        for pending in attempts.filter(|pending| pending.attempt == attempt) {
            pending.in_doubt = true;
        }
    }

    /// Returns the attempts in doubt that were sent to `target`.
    pub fn attempts_in_doubt(&self, target: &TargetId) -> Vec<InDoubtAttempt> {
        let state = self.state();
        let mut in_doubt = Vec::new();
        for (request, attempts) in &state.pending {
            let marked = attempts.iter().filter(|pending| pending.in_doubt);
            in_doubt.extend(
                marked
                    .filter(|pending| pending.target == *target)
                    .map(|pending| InDoubtAttempt {
                        request: *request,
                        attempt: pending.attempt,
                        sidecar: pending.sidecar.clone(),
                    }),
            );
        }
        in_doubt
    }

    /// Returns true if `target` has no pending attempt and no unsettled receipt.
    pub fn is_settled(&self, target: &TargetId) -> bool {
        let state = self.state();
        let mut attempts = state.pending.values().flatten();
        let mut receipt_holders = state.receipt_holders.values().flatten();
        !attempts.any(|pending| pending.target == *target)
            && !receipt_holders.any(|sidecar| sidecar.target == *target)
    }

    /// Returns the number of pending attempts.
    pub fn attempt_count(&self) -> usize {
        self.state().pending.values().map(Vec::len).sum()
    }
}

/// # Receipts
impl PendingAttempts {
    /// Records a receipt. The first receipt of a request bills it and settles the reservation of
    /// its attempt; a later receipt of another attempt only releases that attempt's reservation.
    /// A receipt of another entry is ignored.
    pub fn record_receipt(&self, sidecar: &Arc<Sidecar>, receipt: &Receipt) -> Billed {
        let mut state = self.state();
        // Billing and removing the reservation happen under one lock, so that a receipt delivered
        // twice concurrently is settled once.
        let billed = self.ledger.bill(receipt.clone());
        if billed == Billed::OtherEntry {
            return billed;
        }
        let reservation = state.remove(receipt.request, receipt.attempt);
        let receipt_holders = state.receipt_holders.entry(receipt.request).or_default();
        if !receipt_holders
            .iter()
            .any(|known| known.target == sidecar.target)
        {
            receipt_holders.push(sidecar.clone());
        }
        drop(state);
        if let Some(reservation) = reservation {
            let used = if billed == Billed::Accepted {
                receipt.tokens
            } else {
                Tokens::ZERO
            };
            self.wallet.settle(reservation, used);
        }
        billed
    }

    /// Removes and returns the sidecars that keep receipts of the settled `requests`, each with the
    /// requests concerned.
    pub fn take_receipt_holders(
        &self,
        requests: &[RequestId],
    ) -> Vec<(Arc<Sidecar>, Vec<RequestId>)> {
        let mut by_target: BTreeMap<TargetId, (Arc<Sidecar>, Vec<RequestId>)> = BTreeMap::new();
        let mut state = self.state();
        for request in requests {
            for sidecar in state.receipt_holders.remove(request).unwrap_or_default() {
                let target = sidecar.target.clone();
                by_target
                    .entry(target)
                    .or_insert((sidecar, Vec::new()))
                    .1
                    .push(*request);
            }
        }
        by_target.into_values().collect()
    }
}

impl State {
    fn remove(&mut self, request: RequestId, attempt: u64) -> Option<Reservation> {
        let attempts = self.pending.get_mut(&request)?;
        let index = attempts
            .iter()
            .position(|pending| pending.attempt == attempt)?;
        let pending = attempts.swap_remove(index);
        if attempts.is_empty() {
            self.pending.remove(&request);
        }
        Some(pending.reservation)
    }
}
