//! Attempts that are over without a run: barred, or refused with an outcome worth remembering.

use std::collections::{HashMap, VecDeque};

use cyc_proto::sidecar::RunRequest;
use cyc_types::{ErrorKind, Incarnation, RequestId};

/// Attempts that are remembered; the oldest is forgotten first.
///
/// The message or the question that one is remembered for can only arrive on a connection that is
/// still open, so far fewer are needed.
const MAX_OVER: usize = 65_536;

/// One attempt of one entry to have a request run.
pub type Attempt = (RequestId, Incarnation, u64);

/// Names the attempt of a request.
pub fn attempt_of(req: &RunRequest) -> Attempt {
    (req.request, req.entry.clone(), req.attempt)
}

/// The attempts that are over.
#[derive(Debug, Default)]
pub struct Over {
    /// The kind is that of the refusal; `None` if the attempt was barred unseen.
    attempts: HashMap<Attempt, Option<ErrorKind>>,
    /// Invariant: the keys of `attempts`, each once, oldest first.
    order: VecDeque<Attempt>,
}

impl Over {
    /// Returns true if a message of the attempt must not start anything.
    pub fn contains(&self, attempt: &Attempt) -> bool {
        self.attempts.contains_key(attempt)
    }

    /// Returns the kind of the refusal of an attempt that was refused.
    pub fn refusal(&self, attempt: &Attempt) -> Option<ErrorKind> {
        self.attempts.get(attempt).copied().flatten()
    }

    /// Bars an attempt.
    pub fn bar(&mut self, attempt: Attempt) {
        self.add(attempt, None);
    }

    /// Remembers how an attempt was refused.
    pub fn refuse(&mut self, attempt: Attempt, kind: ErrorKind) {
        self.add(attempt, Some(kind));
    }

    fn add(&mut self, attempt: Attempt, kind: Option<ErrorKind>) {
        if self.attempts.contains_key(&attempt) {
            return;
        }
        self.order.push_back(attempt.clone());
        self.attempts.insert(attempt, kind);
        if self.order.len() > MAX_OVER
            && let Some(oldest) = self.order.pop_front()
        {
            self.attempts.remove(&oldest);
        }
    }
}
