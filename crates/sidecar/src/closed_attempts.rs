//! Attempts that must not start a run any more: barred by an outcome query, or refused with an
//! outcome that the entry may query later.

use std::collections::{HashMap, VecDeque};

use cyc_proto::sidecar::RunRequest;
use cyc_types::{ErrorKind, Incarnation, RequestId};

/// Upper bound of the attempts kept; the oldest one is evicted first.
///
/// An attempt is kept for a late run message or outcome query, which can only arrive on a
/// connection that is still open, so far fewer are needed.
const MAX_CLOSED_ATTEMPTS: usize = 65_536;

/// One attempt of an entry to run a request: request id, entry incarnation and attempt number.
pub type Attempt = (RequestId, Incarnation, u64);

/// Returns the attempt that a run request belongs to.
pub fn attempt_of(req: &RunRequest) -> Attempt {
    (req.request, req.entry.clone(), req.attempt)
}

/// A bounded set of closed attempts.
#[derive(Debug, Default)]
pub struct ClosedAttempts {
    /// The error kind of the refusal; `None` if the attempt was barred.
    attempts: HashMap<Attempt, Option<ErrorKind>>,
    /// Invariant: the keys of `attempts`, each once, oldest first.
    eviction_order: VecDeque<Attempt>,
}

impl ClosedAttempts {
    /// Returns true if the attempt must not start a run.
    pub fn contains(&self, attempt: &Attempt) -> bool {
        self.attempts.contains_key(attempt)
    }

    /// Returns the error kind of a refused attempt; `None` if it was not refused or is not known.
    pub fn refusal(&self, attempt: &Attempt) -> Option<ErrorKind> {
        self.attempts.get(attempt).copied().flatten()
    }

    /// Closes an attempt that has not started a run.
    pub fn bar(&mut self, attempt: Attempt) {
        self.add(attempt, None);
    }

    /// Closes an attempt that was refused with `kind`.
    pub fn refuse(&mut self, attempt: Attempt, kind: ErrorKind) {
        self.add(attempt, Some(kind));
    }

    fn add(&mut self, attempt: Attempt, kind: Option<ErrorKind>) {
        if self.attempts.contains_key(&attempt) {
            return;
        }
        self.eviction_order.push_back(attempt.clone());
        self.attempts.insert(attempt, kind);
        if self.eviction_order.len() > MAX_CLOSED_ATTEMPTS
            && let Some(oldest) = self.eviction_order.pop_front()
        {
            self.attempts.remove(&oldest);
        }
    }
}
