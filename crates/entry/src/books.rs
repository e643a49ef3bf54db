//! Attempts that wait for their fate, with their reservations.
//!
//! Every attempt that may have reached a sidecar is kept here until its fate is known: a receipt,
//! a refusal, or the certain end of the sidecar. A request is billed once.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use cyc_budget::{Purse, Reservation};
use cyc_ledger::{Billed, Ledger};
use cyc_proto::Receipt;
use cyc_types::{Incarnation, RequestId, TargetId, Tokens};

use crate::fleet::Sidecar;

/// One attempt whose fate is open.
#[derive(Debug)]
pub struct Pending {
    /// Number of the attempt within this entry.
    pub attempt: u64,
    /// The target that it was sent to.
    pub target: TargetId,
    /// The sidecar incarnation that it was addressed to.
    pub sidecar: Incarnation,
    /// What was reserved.
    pub reservation: Reservation,
    /// True if no answer tells whether the attempt runs; the sidecar is asked again.
    pub in_doubt: bool,
}

/// An attempt in doubt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Doubt {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: u64,
    /// The sidecar incarnation that it was addressed to.
    pub sidecar: Incarnation,
}

#[derive(Debug, Default)]
struct State {
    pending: HashMap<RequestId, Vec<Pending>>,
    /// The sidecars that keep a receipt of a request until they are told to drop it.
    sources: HashMap<RequestId, Vec<Arc<Sidecar>>>,
}

/// The open attempts of one entry, and its receipts on their way to the ledger.
#[derive(Debug)]
pub struct Books {
    purse: Purse,
    ledger: Ledger,
    state: Mutex<State>,
}

/// # Attempts
impl Books {
    /// Creates empty books.
    pub fn new(purse: Purse, ledger: Ledger) -> Self {
        Self {
            purse,
            ledger,
            state: Mutex::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Enters an attempt before it is sent.
    pub fn open(&self, request: RequestId, pending: Pending) {
        self.state()
            .pending
            .entry(request)
            .or_default()
            .push(pending);
    }

    /// Takes out an attempt that surely has not run, with its reservation.
    pub fn take(&self, request: RequestId, attempt: u64) -> Option<Reservation> {
        self.state().take(request, attempt)
    }

    /// Ends an attempt that is not billed.
    pub fn unbilled(&self, request: RequestId, attempt: u64) {
        if let Some(reservation) = self.take(request, attempt) {
            self.purse.release(reservation);
        }
    }

    /// Marks an attempt whose fate the request itself no longer follows.
    pub fn doubt(&self, request: RequestId, attempt: u64) {
        let mut state = self.state();
        let pendings = state.pending.get_mut(&request).into_iter().flatten();
        for pending in pendings.filter(|pending| pending.attempt == attempt) {
            pending.in_doubt = true;
        }
    }

    /// Returns the attempts in doubt that were sent to `target`.
    pub fn doubts(&self, target: &TargetId) -> Vec<Doubt> {
        let state = self.state();
        let mut doubts = Vec::new();
        for (request, pendings) in &state.pending {
            let open = pendings.iter().filter(|pending| pending.in_doubt);
            doubts.extend(
                open.filter(|pending| pending.target == *target)
                    .map(|pending| Doubt {
                        request: *request,
                        attempt: pending.attempt,
                        sidecar: pending.sidecar.clone(),
                    }),
            );
        }
        doubts
    }

    /// Returns true if no attempt and no unsettled receipt of `target` is open.
    pub fn is_clear(&self, target: &TargetId) -> bool {
        let state = self.state();
        let mut attempts = state.pending.values().flatten();
        let mut sources = state.sources.values().flatten();
        !attempts.any(|pending| pending.target == *target)
            && !sources.any(|sidecar| sidecar.target == *target)
    }

    /// Returns the number of open attempts.
    pub fn open_attempts(&self) -> usize {
        self.state().pending.values().map(Vec::len).sum()
    }
}

/// # Receipts
impl Books {
    /// Takes in a receipt. The first one of a request bills it and takes its tokens from the
    /// reservation of the attempt; a later one of another attempt frees that reservation.
    pub fn post(&self, sidecar: &Arc<Sidecar>, receipt: &Receipt) -> Billed {
        let mut state = self.state();
        // Under the lock, so that a receipt that is offered twice at once meets its reservation
        // together with its bill.
        let billed = self.ledger.bill(receipt.clone());
        if billed == Billed::NotOurs {
            return billed;
        }
        let reservation = state.take(receipt.request, receipt.attempt);
        let sources = state.sources.entry(receipt.request).or_default();
        if !sources.iter().any(|known| known.target == sidecar.target) {
            sources.push(sidecar.clone());
        }
        drop(state);
        if let Some(reservation) = reservation {
            let used = if billed == Billed::Taken {
                receipt.tokens
            } else {
                Tokens::ZERO
            };
            self.purse.settle(reservation, used);
        }
        billed
    }

    /// Takes out the sidecars that keep receipts of settled requests.
    pub fn settled(&self, requests: &[RequestId]) -> Vec<(Arc<Sidecar>, Vec<RequestId>)> {
        let mut by_target: BTreeMap<TargetId, (Arc<Sidecar>, Vec<RequestId>)> = BTreeMap::new();
        let mut state = self.state();
        for request in requests {
            for sidecar in state.sources.remove(request).unwrap_or_default() {
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
    fn take(&mut self, request: RequestId, attempt: u64) -> Option<Reservation> {
        let pendings = self.pending.get_mut(&request)?;
        let index = pendings
            .iter()
            .position(|pending| pending.attempt == attempt)?;
        let pending = pendings.swap_remove(index);
        if pendings.is_empty() {
            self.pending.remove(&request);
        }
        Some(pending.reservation)
    }
}
