//! Reachability of the store, from the outcomes of this entry's calls.

use std::collections::VecDeque;

use cyc_types::Millis;

/// Consecutive failed calls that count as an outage; a single one may be a lost connection.
const OUTAGE_FAILURES: u32 = 2;

/// The calls that have failed since the last successful one.
#[derive(Debug, Clone, Copy)]
struct Failing {
    since: Millis,
    calls: u32,
}

/// Successful calls that are remembered: those of a few seconds, the longest time that a failed call
/// takes.
const MAX_SUCCESSES: usize = 64;

/// Whether the store answers this entry.
#[derive(Debug, Clone, Default)]
pub struct StoreHealth {
    failing: Option<Failing>,
    /// When the last calls succeeded, oldest first.
    successes: VecDeque<Millis>,
}

impl StoreHealth {
    /// Records a call that the store answered.
    pub fn record_success(&mut self, now: Millis) {
        self.failing = None;
        if self.successes.len() == MAX_SUCCESSES {
            self.successes.pop_front();
        }
        self.successes.push_back(now);
    }

    /// When the first call succeeded after `since`. A call that fails after that may have been sent
    /// before the store's return.
    pub fn first_success_after(&self, since: Millis) -> Option<Millis> {
        self.successes.iter().find(|at| **at > since).copied()
    }

    /// Records a call that was refused, had no answer or could not be sent.
    pub fn record_failure(&mut self, now: Millis) {
        let failing = self.failing.get_or_insert(Failing {
            since: now,
            calls: 0,
        });
        failing.calls += 1;
    }

    /// Length so far of the current outage, if there is one.
    pub fn outage(&self, now: Millis) -> Option<Millis> {
        let failing = self.failing?;
        (failing.calls >= OUTAGE_FAILURES).then(|| now.saturating_sub(failing.since))
    }
}
